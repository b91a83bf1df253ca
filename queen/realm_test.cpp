#include "queen/realm.hpp"

#include <algorithm>

#include "wax/verdict.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
auto cell(std::int64_t e, const char* p, const char* b, hive::twigs s) -> hive::tree {
  return hive::branch{{"k", "cell"}, {"id", "a/0"}, {"epoch", e}, {"prim", p}, {"back", b}, {"step", s}};
}
auto law(int n, const char* more) -> hive::tree {
  return hive::branch{{"k", "charter"}, {"body", "{\"number\":" + std::to_string(n) + ",\"spaces\":[]" + more + "}"}};
}
}  // namespace
TEST_GROUP(realm_deeds){};
TEST(realm_deeds, one_claim_wins_and_only_in_step) {
  auto r = hive::realm();
  CHECK(hive::yes(r.apply(1, cell(0, "x/1", "y/1", {"x/1", "y/1"})), "ok"));
  CHECK_FALSE(hive::yes(r.apply(2, cell(1, "z/1", "y/1", {"z/1", "y/1"})), "ok"));
  CHECK(hive::yes(r.apply(3, cell(1, "y/1", "x/1", {"x/1", "y/1"})), "ok"));
  CHECK_FALSE(hive::yes(r.apply(4, cell(1, "x/1", "y/1", {"x/1", "y/1"})), "ok"));
  LONGS_EQUAL(2, r.cells["a/0"].epoch);
  auto again = hive::realm();
  again.restore(r.capture());
  CHECK(again.capture() == r.capture());
}
TEST(realm_deeds, a_kept_cell_is_founded_again_only_by_word) {
  auto r = hive::realm();
  r.apply(1, hive::branch{{"k", "charter"}, {"body", R"({"number":1,"spaces":[{"name":"a","keep_s":5}]})"}});
  r.apply(2, cell(0, "x/1", "y/1", {"x/1", "y/1"}));
  auto again = cell(1, "x/2", "y/2", {"x/2", "y/2"});
  again.as_object()["k"] = "refound";
  STRCMP_EQUAL("denied", hive::str(r.apply(3, again), "code").c_str());
  again.as_object()["forsake"] = true;
  CHECK(hive::yes(r.apply(4, again), "ok"));
  LONGS_EQUAL(2, r.cells["a/0"].root);
  CHECK(hive::yes(r.apply(5, cell(2, "x/2", "y/2", {"x/2", "y/2"})), "ok"));
  LONGS_EQUAL(2, r.cells["a/0"].root);
}
TEST(realm_deeds, charters_by_compare_and_set) {
  auto r = hive::realm();
  CHECK(hive::yes(r.apply(1, law(5, "")), "ok"));
  CHECK(hive::yes(r.apply(2, law(5, "")), "repeat"));
  STRCMP_EQUAL("taken", hive::str(r.apply(3, law(5, ",\"rules\":[]")), "code").c_str());
  STRCMP_EQUAL("stale", hive::str(r.apply(4, law(4, "")), "code").c_str());
  STRCMP_EQUAL("stale", hive::str(r.apply(5, law(9, ",\"after\":4")), "code").c_str());
  CHECK(hive::yes(r.apply(6, law(9, ",\"after\":5")), "ok"));
  LONGS_EQUAL(9, r.law->number);
}
TEST(realm_deeds, done_is_said_only_when_nothing_is_left) {
  auto r = hive::realm();
  r.apply(1, cell(0, "x/1", "y/1", {"x/1", "y/1"}));
  r.apply(2, hive::branch{{"k", "leave"}, {"name", "y"}, {"kind", "retire"}});
  CHECK_FALSE(hive::yes(r.apply(3, hive::branch{{"k", "left"}, {"name", "y"}}), "ok"));
  r.apply(4, cell(1, "x/1", "z/1", {"x/1", "z/1"}));
  CHECK(hive::yes(r.apply(5, hive::branch{{"k", "left"}, {"name", "y"}}), "ok"));
  CHECK(r.leavings["y"].done);
}
