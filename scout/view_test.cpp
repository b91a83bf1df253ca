#include "scout/view.hpp"

#include "wax/verdict.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

TEST_GROUP(view_pulls){};
TEST(view_pulls, only_what_is_lacking_and_never_back) {
  auto a = hive::view(), b = hive::view();
  a.law = hive::compile(R"({"number":4,"spaces":[]})");
  a.cells["s/0"] = {3, 0, "x/1", "y/1", {"x/1", "y/1"}, 9, ""};
  a.cells_ver = 9;
  a.tables["q1"] = {7, {{"x", {"x", "comb", "z", "", "", "1", true, false, 0}}}};
  CHECK(b.merge(a.lacks(b.vec())));
  CHECK(a.lacks(b.vec()).empty());
  CHECK(b.find("x") != nullptr);
  auto old = hive::view();
  old.law = hive::compile(R"({"number":3,"spaces":[]})");
  old.cells["s/0"] = {2, 0, "y/1", "x/1", {"x/1", "y/1"}, 5, ""};
  old.cells_ver = 5;
  old.tables["q2"] = {1, {}};
  auto none = hive::view();
  b.merge(old.lacks(none.vec()));
  LONGS_EQUAL(4, b.law->number);
  LONGS_EQUAL(3, b.cells["s/0"].epoch);
  b.merge(old.lacks(b.vec()));
  CHECK(b.find("x") == nullptr);  // q1 is not known there any more
}
