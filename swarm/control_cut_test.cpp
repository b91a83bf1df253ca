// A control node that is cut off: what it may still say, and what it may not (docs/survival.md).
#include "swarm/fleet.hpp"

#include "wax/ring.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace hive;

namespace {

auto calm_shape() -> shape {
  auto s = shape();
  s.callers = 0;
  return s;
}
auto a_follower(const fleet& f) -> std::string { return f.leader() == "queen-1" ? "queen-2" : "queen-1"; }
auto machine_of(const fleet& f, const std::string& node) -> std::string { return f.all.at(node)->box->name; }

// The answer of one node to one request.
auto answer_of(fleet& f, const std::string& node, const std::string& verb, const std::string& path,
               const std::string& body) -> reply {
  auto out = std::make_shared<reply>();
  auto web = f.all.at(node)->set.web;
  f.desk->spawn([](fleet& fl, std::string at, std::string v, std::string p, std::string b,
                   std::shared_ptr<reply> o) -> task<void> {
    *o = co_await fetch(*fl.outside, at, v, p, b, fl.outside->now() + 2 * sec);
  }(f, web, verb, path, body, out));
  f.world.run(f.world.clock + 2 * sec);
  return *out;
}
auto cut_from_control(fleet& f, const std::string& node, air::cut_kind kind = air::cut_kind::silent) -> void {
  for (const auto& other : f.names("queen")) {
    if (other == node) continue;
    f.world.cut(machine_of(f, node), machine_of(f, other), kind);
    f.world.cut(machine_of(f, other), machine_of(f, node), kind);
  }
}

}  // namespace

TEST_GROUP(control_cut){};

// To hear the leader is not enough: this one's own words do not reach it.
TEST(control_cut, a_follower_that_is_not_heard_is_not_ready) {
  auto f = fleet(51, calm_shape());
  CHECK(f.begin());
  auto node = a_follower(f);
  LONGS_EQUAL(200, answer_of(f, node, "GET", "/readyz", "").code);
  for (const auto& other : f.names("queen"))
    if (other != node) f.world.cut(machine_of(f, node), machine_of(f, other));
  // The leader's appends still come: their link ends only a while after that.
  f.world.run(f.world.clock + f.all.at(node)->set.lose * 21 / 20);
  CHECK(!f.all.at(node)->q->book.leader().empty());
  CHECK(!f.all.at(node)->q->ready());
  LONGS_EQUAL(503, answer_of(f, node, "GET", "/readyz", "").code);
  for (const auto& other : f.names("queen"))
    if (other != node) f.world.heal(machine_of(f, node), machine_of(f, other));
  f.world.run(f.world.clock + 3 * sec);
  LONGS_EQUAL(200, answer_of(f, node, "GET", "/readyz", "").code);
}

// It does not see the nodes whose sessions stand at the others; that does not make a copy the last one, nor the rest
// too few, nor a node unknown.
TEST(control_cut, an_order_is_not_refused_for_what_a_cut_off_node_does_not_see) {
  for (auto kind : {air::cut_kind::silent, air::cut_kind::refusing})
    for (auto leads : {false, true}) {
      auto f = fleet(52, calm_shape());
      CHECK(f.begin());
      auto node = leads ? f.leader() : a_follower(f);
      cut_from_control(f, node, kind);
      f.world.run(f.world.clock + 5 * sec);
      for (const auto* name : {"comb-1", "comb-2", "comb-3"}) {
        auto body = std::string(R"({"name":")") + name + R"(","kind":"retire"})";
        auto r = answer_of(f, node, "POST", "/v1/leave", body);
        CHECK(r.code == 503 || r.code == 504);
        CHECK(str(r.body, "code") != "last_copy");
      }
    }
}

// One follower does not see the nodes of the other follower, between which alone there is a cut. The leader sees all.
TEST(control_cut, an_order_to_a_follower_is_decided_by_what_the_leader_sees) {
  for (auto seed : {55, 56, 57, 58, 59, 60}) {
    auto f = fleet(static_cast<std::uint64_t>(seed), calm_shape());
    CHECK(f.begin());
    auto node = a_follower(f);
    for (const auto& other : f.names("queen")) {
      if (other == node || other == f.leader()) continue;
      f.world.cut(machine_of(f, node), machine_of(f, other));
      f.world.cut(machine_of(f, other), machine_of(f, node));
    }
    f.world.run(f.world.clock + 3 * sec);
    LONGS_EQUAL(200, answer_of(f, node, "POST", "/v1/leave", R"({"name":"comb-1","kind":"retire"})").code);
  }
}

// Between them, a cut that refuses dials looks like a dead leader: another is elected at once. Leases that the old one
// still gives end within the bound, and it neither reads nor confirms.
TEST(control_cut, a_leader_behind_a_refusing_cut_says_nothing_for_the_majority) {
  auto f = fleet(53, calm_shape());
  CHECK(f.begin());
  auto old = f.leader();
  auto set = f.all.at(old)->set;
  cut_from_control(f, old, air::cut_kind::refusing);
  auto from = f.world.clock;
  auto granted = from;
  while (f.world.clock < from + 3 * sec) {
    f.world.run(f.world.clock + 10 * msec);
    if (f.all.at(old)->q->ready()) granted = f.world.clock;
  }
  CHECK(granted - from <= set.contact_span() + 10 * msec);
  LONGS_EQUAL(503, answer_of(f, old, "GET", "/v1/charter", "").code);
  auto body = f.next_charter();
  CHECK(answer_of(f, old, "PUT", "/v1/charter", body).code >= 500);
}

// A copy that joins acknowledges what its disk has, not what came in while it was being written.
TEST(control_cut, a_joining_copy_counts_only_what_is_synced) {
  auto f = fleet(54, calm_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto node = std::string();
  for (const auto& n : f.names("comb"))
    if (n != f.primary_of(id) && n != f.backup_of(id)) node = n;
  auto set = f.all.at(node)->set;
  f.all.at(node)->box->sync_cost = 80 * msec;
  auto said = std::make_shared<tree>();
  auto row = [id](std::int64_t prev) {
    auto rows = twigs{branch{{"v", 1000}, {"g", true}, {"e", branch{{"k", "c"}, {"d", 1}}}}};
    return branch{{"op", "c.log"},      {"cell", id},   {"epoch", 1000},
                  {"from", "comb-9/x"}, {"prev", prev}, {"prev_epoch", prev ? 1000 : 0},
                  {"rows", rows}};
  };
  auto join = branch{{"op", "c.join"}, {"cell", id}, {"epoch", 1000}, {"from", "comb-9/x"}, {"last", 0}};
  // The first row is being written when the second join comes, the second row comes on an older link meanwhile.
  f.desk->spawn(
      [](fleet& fl, std::string to, tree ask, tree first, tree second, std::shared_ptr<tree> o) -> task<void> {
        auto old = colleague(*fl.outside, colleague::ways{"old", to, 100 * msec, sec});
        auto fresh = colleague(*fl.outside, colleague::ways{"fresh", to, 100 * msec, sec});
        while (!old.up() || !fresh.up())
          co_await rest(*fl.outside, msec);
        auto again = ask;
        co_await old.ask(std::move(ask), fl.outside->now() + sec);
        old.tell(first);
        co_await rest(*fl.outside, 5 * msec);
        fl.desk->spawn([](fleet& fleet_, colleague& link, tree row_) -> task<void> {
          co_await rest(*fleet_.outside, 10 * msec);
          link.tell(row_);
        }(fl, old, std::move(second)));
        *o = co_await fresh.ask(std::move(again), fl.outside->now() + sec);
      }(f, set.addr, join, row(0), row(1), said));
  f.world.run(f.world.clock + 2 * sec);
  CHECK(said->is_object());
  LONGS_EQUAL(2, num(*said, "last"));
  LONGS_EQUAL(1, num(*said, "synced"));
}
