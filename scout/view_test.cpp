#include "scout/view.hpp"

#include "wax/verdict.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
auto row(const std::string& name, const std::string& kind, const std::string& zone) -> hive::seat {
  auto s = hive::seat();
  s.name = name;
  s.kind = kind;
  s.zone = zone;
  s.disk = "1";
  return s;
}
auto version(const std::string& body) -> hive::configuration_ptr {
  return hive::configuration_record::from_charter(hive::compile(body));
}
// What b gets from a; the count of rows told, those that went included, or -1 if there was no news.
auto pull(const hive::view& a, hive::view& b, bool settle = false) -> int {
  auto t = a.lacks(b.vec(), settle);
  if (t.empty()) return -1;
  auto n = 0;
  for (const auto& kv : t["tables"].as_object()) {
    if (kv.value().is_null()) continue;
    n += static_cast<int>(hive::list(kv.value(), "rows").size());
    if (const auto& g = hive::sub(kv.value(), "gone"); g.is_object()) n += static_cast<int>(g.get_object().size());
  }
  b.merge(t);
  return n;
}
}  // namespace
TEST_GROUP(view_pulls){};
TEST(view_pulls, only_what_is_lacking_and_never_back) {
  auto a = hive::view(), b = hive::view();
  a.law = version(R"({"number":4,"spaces":[]})");
  a.cells["s/0"] = {3, 0, "x/1", {"x/1", "y/1"}, 9, ""};
  a.cells_ver = 9;
  a.tables["q1"].put(row("x", "comb", "z"), 7);
  CHECK(b.merge(a.lacks(b.vec())));
  CHECK(a.lacks(b.vec()).empty());
  CHECK(b.find("x") != nullptr);
  auto old = hive::view();
  old.law = version(R"({"number":3,"spaces":[]})");
  old.cells["s/0"] = {2, 0, "y/1", {"x/1", "y/1"}, 5, ""};
  old.cells_ver = 5;
  old.tables["q2"].ver = 1;
  auto none = hive::view();
  b.merge(old.lacks(none.vec()));
  LONGS_EQUAL(4, b.law->number);
  LONGS_EQUAL(3, b.cells["s/0"].epoch);
  b.merge(old.lacks(b.vec()));
  CHECK(b.find("x") == nullptr);  // q1 is not known there any more
}
// Nodes get what they need of a charter, in few bytes; the text it was translated from stays with the queens.
TEST(view_pulls, a_charter_comes_packed_and_without_its_origin) {
  auto a = hive::view(), b = hive::view(), c = hive::view();
  auto spaces = std::string();
  for (auto i = 0; i < 1000; ++i)
    spaces += std::string(i ? "," : "") + R"({"name":"s)" + std::to_string(i) +
              R"(","pool":"p","cells":4,"urgency":3,"keep_s":35,"timeout_ms":1500})";
  a.law = version(R"({"number":4,"origin":")" + std::string(50000, 'o') + R"(","spaces":[)" + spaces + "]}");
  auto t = a.lacks(b.vec());
  CHECK(hive::pack(t).size() < a.law->body().size() / 8);
  CHECK(b.merge(t));
  LONGS_EQUAL(4, b.law->number);
  LONGS_EQUAL(1000, b.law->compiled()->spaces.size());
  STRCMP_EQUAL("", b.law->compiled()->origin.c_str());
  CHECK(c.merge(b.lacks(c.vec())));  // as the scout hands it on
  LONGS_EQUAL(1000, c.law->compiled()->spaces.size());
  auto old = c.vec();
  old.as_object().erase("need");
  old.as_object()["charter"] = 3;
  STRCMP_EQUAL(a.law->body().c_str(), std::string(a.lacks(old)["charter"].as_string()).c_str());
  auto bad = t["packed"].as_string();
  bad[bad.size() / 2] ^= 1;
  auto d = hive::view();
  CHECK_THROWS(hive::bad_bytes, d.merge(hive::branch{{"packed", bad}}));
  CHECK_THROWS(hive::bad_bytes, d.merge(hive::branch{{"packed", "none"}}));
}
// A change costs its own row, whatever the fleet's size.
TEST(view_pulls, only_the_rows_that_changed) {
  auto a = hive::view(), b = hive::view();
  b.need = {"comb", "z1"};
  auto& t = a.tables["q1"];
  for (auto i = 0; i < 100; ++i)
    t.put(row("c" + std::to_string(i), "comb", "z1"), i + 1);
  LONGS_EQUAL(100, pull(a, b));
  LONGS_EQUAL(-1, pull(a, b));
  t.put(row("c5", "comb", "z2"), 101);
  t.cut("c6", 102);
  LONGS_EQUAL(3, pull(a, b));  // c5 went from its zone and came to another
  STRCMP_EQUAL("z2", b.find("c5")->zone.c_str());
  CHECK(b.find("c6") == nullptr);
  LONGS_EQUAL(99, b.all().size());
  // Another landing of the protocol says nothing of what it needs, and is given the whole.
  auto old = b.vec();
  old.as_object().erase("need");
  t.cut("c7", 103);
  auto whole = a.lacks(old);
  LONGS_EQUAL(98, hive::list(whole["tables"].as_object()["q1"], "rows").size());
  CHECK(hive::sub(whole["tables"].as_object()["q1"], "since").is_null());
}
// What one does not need is no news; its version comes along when something else does.
TEST(view_pulls, what_is_not_needed_is_no_news) {
  auto a = hive::view(), f = hive::view(), c = hive::view();
  f.need = {"forager", "z1"};
  c.need = {"comb", "z1"};
  auto& t = a.tables["q1"];
  t.put(row("f1", "forager", "z1"), 1);
  t.put(row("f2", "forager", "z2"), 2);
  t.put(row("c1", "comb", "z2"), 3);
  LONGS_EQUAL(2, pull(a, f));
  LONGS_EQUAL(1, pull(a, c));
  t.put(row("f3", "forager", "z2"), 4);
  LONGS_EQUAL(-1, pull(a, f));
  LONGS_EQUAL(-1, pull(a, c));
  t.cut("f1", 5);
  LONGS_EQUAL(-1, pull(a, c));
  LONGS_EQUAL(0, pull(a, c, true));
  LONGS_EQUAL(5, c.tables["q1"].ver);
  LONGS_EQUAL(1, pull(a, f));
  CHECK(f.find("f1") == nullptr);
}
// Rows that went are told of for a bounded time; who was away for longer gets the whole.
TEST(view_pulls, too_old_a_version_gets_the_whole) {
  auto a = hive::view(), b = hive::view(), late = hive::view();
  b.need = late.need = {"comb", "z1"};
  auto& t = a.tables["q1"];
  t.put(row("old", "comb", "z1"), 1);
  LONGS_EQUAL(1, pull(a, late));
  t.cut("old", 2);
  for (auto i = 0; i < 1000; ++i) {
    t.put(row("n" + std::to_string(i), "comb", "z1"), 3 + i * 2);
    t.cut("n" + std::to_string(i), 4 + i * 2);
    pull(a, b);
  }
  t.put(row("last", "comb", "z1"), 5000);
  LONGS_EQUAL(1, pull(a, b));
  LONGS_EQUAL(1, pull(a, late));
  CHECK(late.find("old") == nullptr);
  CHECK(t.gone.size() < 300);
}
// A forager that has to send its links far asks for all foragers, over a scout that did not hold them.
TEST(view_pulls, a_wider_need_is_filled_through_the_scout) {
  auto q = hive::view(), s = hive::view(), f = hive::view();
  s.need = f.need = {"forager", "z1"};
  q.tables["q1"].put(row("f1", "forager", "z1"), 1);
  q.tables["q1"].put(row("f2", "forager", "z2"), 2);
  LONGS_EQUAL(1, pull(q, s));
  LONGS_EQUAL(1, pull(s, f));
  f.need.wide = true;
  LONGS_EQUAL(-1, pull(s, f));  // the scout cannot know yet
  s.need.wide = true;
  LONGS_EQUAL(2, pull(q, s));
  LONGS_EQUAL(2, pull(s, f));
  CHECK(f.find("f2") != nullptr);
  q.tables["q1"].cut("f2", 3);
  LONGS_EQUAL(1, pull(q, s));
  LONGS_EQUAL(1, pull(s, f));
  CHECK(f.find("f2") == nullptr);
}
