#include "ledger/ledger.hpp"

#include "swarm/fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;
// Queens alone, with the seeds given, none of them started yet.
auto queens(std::int64_t n) -> shape {
  auto s = shape();
  s.queens = n;
  s.combs = s.foragers = s.callers = 0;
  return s;
}
auto addr(const fleet& f, const std::string& name) -> std::string { return f.all.at(name)->set.addr; }
}  // namespace

TEST_GROUP(ledger_founding){};
TEST(ledger_founding, two_seeds_are_enough_where_there_are_no_more) {
  auto f = fleet(5, queens(2));
  for (auto n : {"queen-1", "queen-2"}) {
    f.all.at(n)->set.seeds = {addr(f, "queen-1"), addr(f, "queen-2")};
    f.start(n);
  }
  f.world.run(f.world.clock + 3 * sec);
  CHECK(!f.leader().empty());
}
TEST(ledger_founding, all_seeds_must_be_there) {
  auto f = fleet(5, queens(2));
  f.all.at("queen-1")->set.seeds = {addr(f, "queen-1"), addr(f, "queen-2")};
  f.start("queen-1");
  f.world.run(f.world.clock + 5 * sec);
  STRCMP_EQUAL("", f.leader().c_str());
}
// One whose disk was lost and who knows nobody else would begin a second history.
TEST(ledger_founding, a_blank_disk_waits_where_no_ledger_may_begin) {
  auto f = fleet(5, queens(1));
  auto& set = f.all.at("queen-1")->set;
  set.seeds = {set.addr};
  set.found = false;
  f.start("queen-1");
  f.world.run(f.world.clock + 5 * sec);
  STRCMP_EQUAL("", f.leader().c_str());
  f.kill("queen-1");
  set.found = true;
  f.start("queen-1");
  f.world.run(f.world.clock + 3 * sec);
  STRCMP_EQUAL("queen-1", f.leader().c_str());
}
// Started again between its first start and the founding: the others found with it, and its vote counts.
TEST(ledger_founding, one_who_may_not_found_is_a_voter_all_the_same) {
  auto f = fleet(6, queens(3));
  f.all.at("queen-3")->set.found = false;
  for (auto n : {"queen-1", "queen-2", "queen-3"}) f.start(n);
  f.world.run(f.world.clock + 3 * sec);
  CHECK(!f.leader().empty());
  f.kill(f.leader() == "queen-1" ? "queen-1" : "queen-2");
  f.world.run(f.world.clock + 5 * sec);
  CHECK(!f.leader().empty());
}
