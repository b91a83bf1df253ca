#include "statediff/state_difference.hpp"

#include <algorithm>
#include <set>

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

TEST_GROUP(state_difference_tests){};
// Different primaries within one epoch violate an invariant; the same difference across epochs does not.
TEST(state_difference_tests, two_assignments_of_one_epoch_violate_an_invariant) {
  auto first = boost::json::parse(
      R"({"beliefs":{"charter":3,"cells":{"s/0":{"epoch":4,"prim":"x/1","back":"y/1","step":["x/1","y/1"]}},"members":{"x":{}}}})");
  CHECK(reachridge::compare(first, first).empty());
  auto second = boost::json::parse(
      R"({"beliefs":{"charter":2,"cells":{"s/0":{"epoch":4,"prim":"y/1","back":"y/1","step":["x/1","y/1"]}},"members":{}}})");
  auto found = reachridge::compare(first, second);
  LONGS_EQUAL(3, found.size());
  STRCMP_EQUAL("charter", found[0].description.c_str());
  CHECK_FALSE(found[0].violation);
  STRCMP_EQUAL("partition s/0 prim", found[1].description.c_str());
  CHECK(found[1].violation);
  STRCMP_EQUAL("member x", found[2].description.c_str());
  auto third = boost::json::parse(
      R"({"beliefs":{"charter":3,"cells":{"s/0":{"epoch":5,"prim":"y/1","back":"","step":["y/1"]}},"members":{"x":{}}}})");
  for (auto& item : reachridge::compare(first, third))
    CHECK_FALSE(item.violation);
}
TEST(state_difference_tests, two_primaries_of_one_epoch_violate_an_invariant) {
  auto first = boost::json::parse(R"({"cells":{"s/0":{"role":"primary","epoch":4,"last":9}}})");
  auto second = boost::json::parse(R"({"cells":{"s/0":{"role":"primary","epoch":4,"last":7}}})");
  CHECK(reachridge::compare(first, second)[0].violation);
  auto third = boost::json::parse(R"({"cells":{"s/0":{"role":"backup","epoch":4,"last":7}}})");
  CHECK_FALSE(reachridge::compare(first, third)[0].violation);
}
