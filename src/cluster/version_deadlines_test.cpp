#include "cluster/version_deadlines.hpp"

// Must be the last include: CppUTest redefines operator new.
#include <CppUTest/TestHarness.h>

namespace {
using reachridge::second;
}
TEST_GROUP(version_deadlines){};
TEST(version_deadlines, an_older_version_serves_until_the_newer_is_due) {
  auto deadlines = reachridge::version_deadlines();
  LONGS_EQUAL(0, deadlines.required(second));
  deadlines.add(4, 2 * second);
  deadlines.add(7, 3 * second);
  LONGS_EQUAL(0, deadlines.required(2 * second - 1));
  LONGS_EQUAL(4, deadlines.required(2 * second));
  LONGS_EQUAL(4, deadlines.required(3 * second - 1));
  LONGS_EQUAL(7, deadlines.required(3 * second));
  LONGS_EQUAL(7, deadlines.required(reachridge::never));
}
TEST(version_deadlines, a_newer_version_due_no_later_implies_the_older) {
  auto deadlines = reachridge::version_deadlines();
  deadlines.add(4, 2 * second);
  deadlines.add(5, 2 * second);
  LONGS_EQUAL(1, deadlines.size());
  deadlines.add(3, 3 * second);  // already implied by version 5
  LONGS_EQUAL(1, deadlines.size());
  LONGS_EQUAL(5, deadlines.required(2 * second));
  deadlines.add(6, second);  // due before the older version 5, which it replaces
  LONGS_EQUAL(1, deadlines.size());
  LONGS_EQUAL(6, deadlines.required(second));
}
// Adding a version again with a later deadline must not postpone its deadline.
TEST(version_deadlines, a_version_is_due_at_the_earliest_of_its_times) {
  auto deadlines = reachridge::version_deadlines();
  deadlines.add(4, 2 * second);
  deadlines.add(4, 3 * second);
  LONGS_EQUAL(4, deadlines.required(2 * second));
  deadlines.add(4, second);
  LONGS_EQUAL(4, deadlines.required(second));
}
TEST(version_deadlines, the_time_left_is_counted_from_the_request) {
  auto leader = reachridge::version_deadlines(), node = reachridge::version_deadlines();
  leader.add(4, 2 * second);
  leader.add(7, 5 * second);
  auto pending = leader.pending(3 * second,
                                3 * second);  // version 4 is already due, so it is sent as the required version instead
  LONGS_EQUAL(1, pending.size());
  node.merge(pending, 100 * second);
  LONGS_EQUAL(0, node.required(102 * second - 1));
  LONGS_EQUAL(7, node.required(102 * second));
}
TEST(version_deadlines, pruning_keeps_the_newest_version_that_is_due) {
  auto deadlines = reachridge::version_deadlines();
  for (auto n = 1; n <= 1000; ++n)
    deadlines.add(n, n * second);
  deadlines.prune(990 * second);
  LONGS_EQUAL(11, deadlines.size());
  LONGS_EQUAL(990, deadlines.required(990 * second));
  deadlines.prune(0);
  LONGS_EQUAL(11, deadlines.size());
}
