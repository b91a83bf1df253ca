// Tests of the table of valid leases.
#include "control/lease_table.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using reachridge::lease_table;
using names = std::vector<std::string>;
}  // namespace

TEST_GROUP(leases){};
TEST(leases, a_holder_of_an_older_version_is_listed_until_its_lease_ends) {
  auto leases = lease_table();
  leases.grant("a", 100, 4);
  leases.grant("b", 100, 5);
  CHECK(leases.holders_below(5, 99) == names{"a"});
  CHECK(leases.holders_below(5, 100).empty());
  leases.grant("a", 100, 5);
  CHECK(leases.holders_below(5, 99).empty());
}
TEST(leases, the_end_of_a_lease_never_moves_back) {
  auto leases = lease_table();
  leases.grant("a", 100, 4);
  leases.grant("a", 50, 4);
  CHECK(leases.holders_below(5, 99) == names{"a"});
}
TEST(leases, a_lease_ends_by_expiry_revocation_or_clearing_of_the_table) {
  auto leases = lease_table();
  for (const auto* name : {"a", "b", "c"})
    leases.grant(name, 100, 4);
  leases.revoke("a");
  leases.remove_expired(100);  // the leases end exactly now and are kept
  CHECK(leases.holders_below(5, 0) == (names{"b", "c"}));
  leases.remove_expired(101);
  CHECK(leases.holders_below(5, 0).empty());
  leases.grant("c", 200, 4);
  leases.clear();
  CHECK(leases.holders_below(5, 0).empty());
}
