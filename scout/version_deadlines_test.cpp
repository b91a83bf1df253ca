#include "scout/version_deadlines.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using hive::sec;
}
TEST_GROUP(version_deadlines){};
TEST(version_deadlines, an_older_version_serves_until_the_newer_is_due) {
  auto d = hive::version_deadlines();
  LONGS_EQUAL(0, d.required(sec));
  d.add(4, 2 * sec);
  d.add(7, 3 * sec);
  LONGS_EQUAL(0, d.required(2 * sec - 1));
  LONGS_EQUAL(4, d.required(2 * sec));
  LONGS_EQUAL(4, d.required(3 * sec - 1));
  LONGS_EQUAL(7, d.required(3 * sec));
  LONGS_EQUAL(7, d.required(hive::never));
}
TEST(version_deadlines, a_newer_version_due_no_later_implies_the_older) {
  auto d = hive::version_deadlines();
  d.add(4, 2 * sec);
  d.add(5, 2 * sec);
  LONGS_EQUAL(1, d.size());
  d.add(3, 3 * sec);  // implied already
  LONGS_EQUAL(1, d.size());
  LONGS_EQUAL(5, d.required(2 * sec));
  d.add(6, sec);  // due before what it overtakes
  LONGS_EQUAL(1, d.size());
  LONGS_EQUAL(6, d.required(sec));
}
// What is told twice never moves a moment back.
TEST(version_deadlines, a_version_is_due_at_the_earliest_it_was_said_to_be) {
  auto d = hive::version_deadlines();
  d.add(4, 2 * sec);
  d.add(4, 3 * sec);
  LONGS_EQUAL(4, d.required(2 * sec));
  d.add(4, sec);
  LONGS_EQUAL(4, d.required(sec));
}
TEST(version_deadlines, what_is_left_travels_and_counts_from_the_question) {
  auto leader = hive::version_deadlines(), node = hive::version_deadlines();
  leader.add(4, 2 * sec);
  leader.add(7, 5 * sec);
  auto rows = leader.to_tree(3 * sec, 3 * sec);  // 4 is due: it goes as the number required now
  LONGS_EQUAL(1, rows.size());
  node.merge(rows, 100 * sec);
  LONGS_EQUAL(0, node.required(102 * sec - 1));
  LONGS_EQUAL(7, node.required(102 * sec));
}
TEST(version_deadlines, passed_moments_are_forgotten_but_for_the_newest_version) {
  auto d = hive::version_deadlines();
  for (auto n = 1; n <= 1000; ++n)
    d.add(n, n * sec);
  d.prune(990 * sec);
  LONGS_EQUAL(11, d.size());
  LONGS_EQUAL(990, d.required(990 * sec));
  d.prune(0);
  LONGS_EQUAL(11, d.size());
}
TEST(version_deadlines, what_is_no_list_of_deadlines_is_refused) {
  auto d = hive::version_deadlines();
  for (const auto& row : {hive::tree(1), hive::tree(hive::twigs{1}), hive::tree(hive::twigs{"a", 1}),
                          hive::tree(hive::twigs{1, 2, 3}), hive::tree(nullptr)})
    CHECK_THROWS(hive::bad_bytes, d.merge(hive::twigs{row}, 0));
  LONGS_EQUAL(0, d.size());
}
