#include "swarm/fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "wax/ring.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;
auto quiet_shape() -> shape {
  auto s = shape();
  s.callers = 0;
  return s;
}
auto call(fleet& f, const std::string& verb, const std::string& path, const std::string& body) -> reply {
  auto out = std::make_shared<reply>();
  f.desk->spawn([](fleet& fl, std::string v, std::string p, std::string b, std::shared_ptr<reply> o) -> task<void> {
    *o = co_await fetch(*fl.outside, fl.webs[0], v, p, b, fl.outside->now() + 2 * sec);
  }(f, verb, path, body, out));
  f.world.run(f.world.clock + 2 * sec);
  return *out;
}
}  // namespace
TEST_GROUP(protections){};
// Asks a queen for its vote, as a candidate that has everything would; -1: no answer.
namespace {
auto vote(fleet& f, const std::string& voter, const std::string& from, bool go) -> int {
  auto ok = std::make_shared<int>(-1);
  auto addr = f.all.at(voter)->set.addr;
  f.desk->spawn([](fleet& fl, std::string to, std::string who, bool urged, std::shared_ptr<int> o) -> task<void> {
    auto c = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
    while (!c.up())
      co_await rest(*fl.outside, 10 * msec);
    auto q = tree(branch{{"op", "l.vote"},
                         {"term", 1000},
                         {"from", who},
                         {"last", 1000000},
                         {"last_term", 999},
                         {"dry", false},
                         {"go", urged}});
    auto r = co_await c.ask(std::move(q), fl.outside->now() + sec);
    *o = yes(r, "ok");
    fl.world.stop = true;
  }(f, addr, from, go, ok));
  auto end = f.world.clock + 3 * sec;
  while (*ok < 0 && f.world.clock < end)
    f.world.run(f.world.clock + 10 * msec);
  return *ok;
}
auto follower(const fleet& f) -> std::string { return f.leader() == "queen-1" ? "queen-2" : "queen-1"; }
}  // namespace
// A vote is on the disk before it is told: after a loss of power the same term has no second one.
TEST(protections, a_voter_votes_once_in_a_term) {
  auto f = fleet(21, quiet_shape());
  CHECK(f.begin());
  auto who = follower(f);
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", true));
  f.power(f.all.at(who)->box->name, false);
  f.power(f.all.at(who)->box->name, true);
  LONGS_EQUAL(0, vote(f, who, "10.7.7.2:1", true));
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", true));
}
// It may have promised its leader quiet just before it went down: leases hang on that.
TEST(protections, a_restarted_voter_is_quiet_first) {
  auto f = fleet(25, quiet_shape());
  CHECK(f.begin());
  auto who = follower(f);
  auto box = f.all.at(who)->box->name;
  for (const auto& q : f.names("queen"))
    if (q != who) {
      f.world.cut(box, f.all.at(q)->box->name);
      f.world.cut(f.all.at(q)->box->name, box);
    }
  f.power(box, false);
  f.power(box, true);
  LONGS_EQUAL(0, vote(f, who, "10.7.7.1:1", false));
  f.world.run(f.world.clock + 2 * sec);
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", false));
}
// What a thawed or cut-off primary still sends changes nothing, on a live primary or a backup.
TEST(protections, frames_and_joins_of_a_lower_epoch_are_refused) {
  auto f = fleet(22, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto tried = 0;
  for (const auto& who :
       {f.primary_of(id), name_of(f.all.at(f.primary_of(id))->c->ses.known.cells.at(id).backups().at(0))}) {
    auto& c = *f.all.at(who)->c;
    auto last = num(c.partition_at(id)->status(), "last");
    auto said = std::make_shared<std::string>();
    f.desk->spawn([](fleet& fl, std::string to, std::string cell_id, std::int64_t at, std::int64_t epoch,
                     std::shared_ptr<std::string> o) -> task<void> {
      auto link = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
      link.on_note = [o](const tree& t) { *o += yes(t, "nack") ? "nack " : "taken "; };
      while (!link.up())
        co_await rest(*fl.outside, 10 * msec);
      auto rows = twigs{branch{{"v", 1}, {"g", true}, {"e", branch{{"k", "c"}, {"d", 1}}}}};
      link.tell(branch{{"op", "c.log"},
                       {"cell", cell_id},
                       {"epoch", 1},
                       {"from", "comb-9/x"},
                       {"prev", at},
                       {"prev_epoch", epoch},
                       {"rows", rows}});
      try {
        auto q = tree(branch{{"op", "c.join"}, {"cell", cell_id}, {"epoch", 1}, {"from", "comb-9/x"}, {"last", at}});
        co_await link.ask(std::move(q), fl.outside->now() + sec);
        *o += "joined";
      } catch (const verdict& v) {
        *o += v.code;
      }
    }(f, f.all.at(who)->set.addr, id, last, num(c.partition_at(id)->status(), "epoch"), said));
    f.world.run(f.world.clock + 200 * msec);
    STRCMP_EQUAL("nack old", said->c_str());
    CHECK(num(c.partition_at(id)->status(), "last") < last + 3);
    STRCMP_EQUAL(tried ? "backup" : "primary", str(c.partition_at(id)->status(), "role").c_str());
    ++tried;
  }
}
// A lease alone is not enough: the charter that came with it, or a newer one, must be there.
TEST(protections, a_lease_serves_only_its_charter) {
  auto f = fleet(26, quiet_shape());
  auto& door = f.world.machine_at("x1", "out");
  auto there = sim_host(f.world, door, false, 5), here = sim_host(f.world, *f.world.machines.at("outside"), false, 6);
  auto upper = nest(there);
  auto charter = std::string();
  auto a = answers();
  a.ask = [&](wire_ptr, tree) -> task<tree> {
    auto out = branch{{"lease", 2 * sec}, {"need", 5}, {"cells_need", 0}};
    if (!charter.empty()) out["charter"] = charter;
    co_return out;
  };
  upper.spawn(serve(there, upper, there.listen(door.ip + ":7000"), a, "test"));
  auto c = f.all.at("scout-1")->set;
  auto ses = session(here, c, std::vector<std::string>(1, door.ip + ":7000"));
  charter = probe_charter(4, f.form.spaces());
  f.world.run(f.world.clock + 2 * sec);
  CHECK(ses.leased());
  LONGS_EQUAL(4, ses.known.law->number);
  CHECK(!ses.may_serve());
  charter = probe_charter(5, f.form.spaces());
  f.world.run(f.world.clock + 2 * sec);
  CHECK(ses.may_serve());
}
namespace {
// A session with a control node that answers as `answer` says, run for a while.
struct lone_session {
  fleet f;
  sim_host there, here;
  nest upper;
  branch answer;
  std::unique_ptr<session> node;
  explicit lone_session(branch first)
      : f(26, quiet_shape()),
        there(f.world, f.world.machine_at("x1", "out"), false, 5),
        here(f.world, *f.world.machines.at("outside"), false, 6),
        upper(there),
        answer(std::move(first)) {
    auto addr = f.world.machine_at("x1", "out").ip + ":7000";
    auto a = answers();
    a.ask = [this](wire_ptr, tree) -> task<tree> { co_return answer; };
    upper.spawn(serve(there, upper, there.listen(addr), a, "test"));
    node = std::make_unique<session>(here, f.all.at("scout-1")->set, std::vector<std::string>(1, addr));
  }
  auto run(tick span) -> void { f.world.run(f.world.clock + span); }
};
}  // namespace
// A version that is not due yet does not stop a node that holds the one before.
TEST(protections, an_older_version_serves_until_the_newer_is_due) {
  auto first = branch{{"lease", 10 * sec}, {"need", 4}, {"newest", 4}, {"cells_need", 0}};
  first["charter"] = probe_charter(4, shape().spaces());
  auto s = lone_session(first);
  s.run(sec);
  CHECK(s.node->may_serve());
  s.answer["newest"] = 5;
  s.answer["due"] = twigs{twigs{5, 3 * sec}};
  s.run(2 * sec);
  s.answer = branch{{"lease", 0}};  // as if cut off: the lease that it has runs on
  CHECK(s.node->may_serve());
  s.run(4 * sec);
  CHECK(s.node->leased());
  CHECK(!s.node->may_serve());
}
// What has just started goes by nothing older than the newest that a majority had agreed on.
TEST(protections, a_new_node_begins_with_the_newest_version) {
  auto first =
      branch{{"lease", 2 * sec}, {"need", 3}, {"newest", 5}, {"due", twigs{twigs{5, 60 * sec}}}, {"cells_need", 0}};
  first["charter"] = probe_charter(4, shape().spaces());
  auto s = lone_session(first);
  s.run(sec);
  CHECK(s.node->leased());
  CHECK(!s.node->may_serve());
  s.answer["charter"] = probe_charter(5, shape().spaces());
  s.run(sec);
  CHECK(s.node->may_serve());
}
// When the leader before it had versions agreed on is not known to a new one: it wants them at once.
TEST(protections, a_new_leader_wants_what_it_found_in_force_at_once) {
  auto f = fleet(31, quiet_shape());
  CHECK(f.begin());
  f.world.run(f.world.clock + 2 * sec);
  auto body = f.next_charter();
  auto told = std::make_shared<bool>(false);
  f.operate([&f, body, told](keeper& k) -> task<void> {
    *told = co_await k.put(2, body);
    f.world.stop = true;
  });
  while (!*told)
    f.world.run(f.world.clock + 10 * msec);
  auto agreed = f.world.clock;
  f.kill(f.leader());
  auto need = std::make_shared<std::int64_t>(-1);
  while (*need < 0 && f.world.clock < agreed + 10 * sec) {
    f.world.run(f.world.clock + 10 * msec);
    auto lead = f.leader();
    if (lead.empty()) continue;
    f.desk->spawn([](fleet& fl, std::string to, std::shared_ptr<std::int64_t> o) -> task<void> {
      auto link = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
      while (!link.up())
        co_await rest(*fl.outside, msec);
      auto me = seat();
      me.name = "node-9";
      me.kind = "forager";
      me.zone = "z1";
      auto q = tree(branch{{"op", "session"}, {"me", me.to_tree()}, {"vec", branch()}, {"deadlines", true}});
      auto r = co_await link.ask(std::move(q), fl.outside->now() + sec);
      if (num_or(r, "lease", 0) > 0) *o = num(r, "need");
    }(f, f.all.at(lead)->set.addr, need));
    f.world.run(f.world.clock + 50 * msec);
  }
  CHECK(f.world.clock < agreed + f.all.at("queen-1")->set.lease);  // not yet due by the time that it was agreed on
  LONGS_EQUAL(2, *need);
}
// A vote from a disk other than the one seated does not count: it may have voted before it was lost.
TEST(protections, an_amnesiac_elects_nobody) {
  auto f = fleet(27, quiet_shape());
  auto ids = std::make_shared<std::map<std::string, std::string>>();
  auto hosts = std::vector<std::unique_ptr<sim_host>>();
  auto homes = std::vector<std::unique_ptr<nest>>();
  for (const auto& n : f.names("queen")) {
    if (n == "queen-1") continue;
    auto& p = *f.all.at(n);
    hosts.push_back(std::make_unique<sim_host>(f.world, *p.box, false, 9));
    homes.push_back(std::make_unique<nest>(*hosts.back()));
    auto a = answers();
    (*ids)[n] = "seated-" + n;
    a.ask = [ids, n](wire_ptr, tree t) -> task<tree> {
      auto out = branch{{"id", (*ids)[n]},
                        {"founded", false},
                        {"empty", true},
                        {"lead", ""},
                        {"term", num_or(t, "term", 0)},
                        {"ok", str_or(t, "op") == "l.vote"},
                        {"last", 0}};
      if (yes(t, "dry")) out["term"] = 0;
      co_return out;
    };
    homes.back()->spawn(serve(*hosts.back(), *homes.back(), hosts.back()->listen(p.set.addr), a, "test"));
  }
  f.start("queen-1");
  f.world.run(f.world.clock + 200 * msec);
  for (auto& [n, id] : *ids)
    id = "lost";
  f.world.run(f.world.clock + 5 * sec);
  CHECK(!f.all.at("queen-1")->q->leads());
  for (auto& [n, id] : *ids)
    id = "seated-" + n;
  auto led = false;
  for (auto i = 0; i < 50; ++i) {
    f.world.run(f.world.clock + 100 * msec);
    led |= f.all.at("queen-1")->q->leads();
  }
  CHECK(led);
}
// Two changes at once could leave two majorities that do not meet. The second waits until the first is agreed, also
// when whoever asked for the first waits no longer.
TEST(protections, one_voter_is_changed_at_a_time) {
  auto f = fleet(28, quiet_shape());
  CHECK(f.begin());
  auto lead = f.leader();
  auto first = f.add_queen();
  for (const auto& n : f.names("queen"))
    if (n != lead && n != first) f.all.at(n)->box->sync_cost = 4 * sec;
  f.start(first);
  auto& book = f.all.at(lead)->q->book;
  for (auto i = 0; i < 200 && book.voters().size() == 3; ++i)
    f.world.run(f.world.clock + 10 * msec);
  LONGS_EQUAL(4, book.voters().size());  // in the log, and not agreed for seconds
  for (auto wait : {100 * msec, 1500 * msec}) {
    f.world.run(f.world.clock + wait);
    auto said = std::make_shared<std::string>("no answer");
    f.desk->spawn([](fleet& fl, std::string to, std::shared_ptr<std::string> o) -> task<void> {
      auto c = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
      while (!c.up())
        co_await rest(*fl.outside, 10 * msec);
      try {
        auto q = tree(branch{{"op", "l.enter"}, {"addr", "10.7.7.1:1"}, {"id", "new"}});
        co_await c.ask(std::move(q), fl.outside->now() + 500 * msec);
        *o = "ok";
      } catch (const verdict& v) {
        *o = v.code;
      }
    }(f, f.all.at(lead)->set.addr, said));
    f.world.run(f.world.clock + 700 * msec);
    STRCMP_EQUAL("busy", said->c_str());
    LONGS_EQUAL(4, book.voters().size());
    CHECK(book.leads());
  }
}
// Beside foragers of the first landing, which do not count their openings: each ask of theirs is answered,
// and one that counts is answered once for each opening, a late one not at all.
TEST(protections, openings_are_counted_where_the_forager_counts) {
  auto f = fleet(30, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto said = std::make_shared<std::string>();
  f.desk->spawn([](fleet& fl, std::string to, std::string cell_id, std::shared_ptr<std::string> o) -> task<void> {
    auto link = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
    link.on_note = [o](const tree& t) {
      if (str_or(t, "op") == "subbed") *o += str(t, "i") + std::to_string(num_or(t, "n", -1)) + " ";
    };
    while (!link.up())
      co_await rest(*fl.outside, 10 * msec);
    auto ask = branch{{"op", "sub"}, {"cell", cell_id}, {"i", "old"}, {"t", "alerts/x"}, {"d", "w"}, {"a", -1}};
    for (auto i = 0; i < 2; ++i) {
      link.tell(ask);
      co_await rest(*fl.outside, 100 * msec);
    }
    ask["i"] = "new";
    auto turns = std::vector<int>{1, 1, 2, 1};
    for (auto n : turns) {
      ask["n"] = n;
      link.tell(ask);
      co_await rest(*fl.outside, 100 * msec);
    }
  }(f, f.all.at(f.primary_of(id))->set.addr, id, said));
  f.world.run(f.world.clock + 2 * sec);
  STRCMP_EQUAL("old0 old0 new1 new2 ", said->c_str());
}
// The primary ends within an operation: what came of it is cut off, and the backup goes live.
TEST(protections, an_unfinished_operation_is_cut_off) {
  auto f = fleet(29, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto old = f.primary_of(id);
  auto row = f.all.at(old)->c->ses.known.cells.at(id);
  auto who = name_of(row.backups().at(0));
  f.kill(old);
  auto at = num(f.all.at(who)->c->partition_at(id)->status(), "last");
  f.desk->spawn([](fleet& fl, std::string to, std::string cell_id, cell_row r, std::int64_t prev) -> task<void> {
    auto link = colleague(*fl.outside, colleague::ways{"test", to, 100 * msec, sec});
    while (!link.up())
      co_await rest(*fl.outside, 10 * msec);
    auto rows = twigs{branch{{"v", r.epoch}, {"g", false}, {"e", branch{{"k", "c"}, {"d", 1}}}}};
    link.tell(branch{{"op", "c.log"},
                     {"cell", cell_id},
                     {"epoch", r.epoch},
                     {"from", r.prim},
                     {"prev", prev},
                     {"prev_epoch", r.epoch},
                     {"rows", rows}});
    co_await rest(*fl.outside, sec);
  }(f, f.all.at(who)->set.addr, id, row, at));
  f.world.run(f.world.clock + 100 * msec);
  LONGS_EQUAL(at + 1, num(f.all.at(who)->c->partition_at(id)->status(), "last"));
  f.world.run(f.world.clock + 4 * sec);
  STRCMP_EQUAL(who.c_str(), f.primary_of(id).c_str());
}
// The leader's own copy counts only once it is synced, and a follower's likewise.
TEST(protections, a_charter_told_accepted_is_on_two_disks) {
  for (auto slow_leader : {true, false}) {
    auto f = fleet(23, quiet_shape());
    CHECK(f.begin());
    auto lead = f.leader();
    auto far = lead == "queen-3" ? "queen-2" : "queen-3";
    for (auto& n : f.names("queen"))
      f.all.at(n)->box->sync_cost = (n == lead) == slow_leader ? 300 * msec : msec;
    f.world.cut(f.all.at(far)->box->name, "*");
    f.world.cut("*", f.all.at(far)->box->name);
    auto body = f.next_charter();
    auto told = std::make_shared<int>(-1);
    f.operate([&f, body, told](keeper& k) -> task<void> {
      auto ok = co_await k.put(2, body);
      if (ok) *told = f.queens_with(body);
      f.world.stop = true;
    });
    auto end = f.world.clock + 10 * sec;
    while (*told < 0 && f.world.clock < end)
      f.world.run(f.world.clock + 10 * msec);
    CHECK(*told >= 2);
  }
}
// "Took hold" waits for a forager that is frozen with a lease in its hands.
TEST(protections, took_hold_waits_for_each_lease) {
  auto f = fleet(24, quiet_shape());
  CHECK(f.begin());
  f.world.run(f.world.clock + sec);
  for (auto& n : f.names("f1"))
    f.freeze(n, true);
  CHECK(f.all.at("forager-1")->f->ready());
  auto body = f.next_charter();
  auto who = std::make_shared<std::string>("never held");
  f.operate([&f, body, who](keeper& k) -> task<void> {
    auto ok = co_await k.put(2, body);
    if (ok) ok = co_await k.await_held(2, f.outside->now() + 20 * sec);
    if (ok) *who = f.behind(2);
    f.world.stop = true;
  });
  auto end = f.world.clock + 20 * sec;
  while (f.operating && f.world.clock < end)
    f.world.run(f.world.clock + 10 * msec);
  STRCMP_EQUAL("", who->c_str());
}
// A node that is back with another disk is known not to have its copy: neither a claim nor a new pair waits
// for the silence of what is no more (design 6.5).
TEST(protections, a_disk_known_to_be_lost_is_not_waited_for) {
  for (auto led : {true, false}) {
    auto f = fleet(28, quiet_shape());
    CHECK(f.begin());
    auto id = std::string("alerts/0");
    auto lost = led ? f.primary_of(id) : f.backup_of(id);
    auto left = led ? f.backup_of(id) : f.primary_of(id);
    f.power("all", false);
    f.lose_disk(lost);
    f.power("all", true);
    auto& c = *f.all.at(left)->c;
    auto seen = never, whole = never;
    auto end = f.world.clock + 10 * sec;
    while (whole == never && f.world.clock < end) {
      f.world.run(f.world.clock + 10 * msec);
      const auto* s = c.ses.known.find(lost);
      if (seen == never && c.ses.fresh() && s && !s->disk.empty()) seen = f.world.clock;
      if (const auto* one = c.partition_at(id)) {
        auto now = one->status();
        auto back = str(now, "back");
        if (str(now, "role") == "primary" && yes(sub(sub(now, "copies"), back.c_str()), "joined")) {
          const auto* b = c.ses.known.find(name_of(back));
          if (b && b->member() == back) whole = f.world.clock;
        }
      }
    }
    CHECK(whole != never);
    CHECK(whole - seen < f.all.at(left)->set.lose / 2);
  }
}
// After a loss of all power: a leader as soon as the quiet is over, leases soon after, and cells led as soon as their
// combs hold the ledger's word.
TEST(protections, all_back_at_once_wait_for_the_quiet_and_little_else) {
  for (auto seed : {31, 32, 33, 34, 35, 36}) {
    auto f = fleet(static_cast<std::uint64_t>(seed), quiet_shape());
    CHECK(f.begin());
    auto set = f.all.at("queen-1")->set;
    f.power("all", false);
    f.power("all", true);
    auto start = f.world.clock;
    auto led = never;
    auto fresh = std::map<std::string, tick>(), lives = fresh, serves = fresh;
    while (f.world.clock < start + 3 * sec) {
      f.world.run(f.world.clock + 5 * msec);
      if (led == never && !f.leader().empty()) led = f.world.clock;
      for (const auto& n : f.names("forager"))
        if (f.all.at(n)->f->serves()) serves.emplace(n, f.world.clock);
      for (const auto& n : f.names("comb")) {
        auto& c = *f.all.at(n)->c;
        if (c.ses.fresh()) fresh.emplace(n, f.world.clock);
        for (const auto& [id, row] : c.ses.known.cells)
          if (const auto* one = c.partition_at(id); one && one->live() && name_of(row.prim) == n)
            lives.emplace(n + " " + id, f.world.clock);
      }
    }
    CHECK(led >= start + set.lose * 3 / 8);
    CHECK(led < start + set.lose * 3 / 8 + set.beat);
    LONGS_EQUAL(3, serves.size());
    for (const auto& [n, t] : serves)
      CHECK(t - led < set.beat * 3 / 2);
    CHECK(lives.size() >= 4);
    for (const auto& [at, t] : lives)
      CHECK(t - fresh.at(at.substr(0, at.find(' '))) < set.beat / 2);
  }
}
// A queen that the leader no longer grants leases to gives what is left of the old ones: who holds its session
// with her takes another queen while its lease still runs, not after it has ended.
TEST(protections, a_lease_that_is_no_longer_renewed_is_sought_elsewhere_before_it_ends) {
  auto f = fleet(41, quiet_shape());
  CHECK(f.begin());
  auto lead = f.leader();
  auto tried = 0;
  for (const auto& n : f.names("scout")) {
    auto& s = *f.all.at(n)->s;
    auto queen = std::string();
    for (const auto& q : f.names("queen"))
      if (f.all.at(q)->set.addr == s.ses.door()) queen = q;
    if (queen == lead) continue;
    ++tried;
    const auto& here = f.all.at(queen)->box->name;
    const auto& there = f.all.at(lead)->box->name;
    f.world.cut(here, there);
    f.world.cut(there, here);
    auto end = f.world.clock + 6 * sec;
    auto lacked = tick{0};
    while (f.world.clock < end) {
      f.world.run(f.world.clock + 10 * msec);
      if (!s.ses.leased()) lacked += 10 * msec;
    }
    CHECK(s.ses.door() != f.all.at(queen)->set.addr);
    LONGS_EQUAL(0, lacked);
    break;
  }
  LONGS_EQUAL(1, tried);
}
TEST_GROUP(disk_formats){};
// The disks of the first landing's format, written by that version, open in this one.
TEST(disk_formats, those_of_format_1_open) {
  auto file = std::string(HIVE_SOURCE) + "/fixtures/format-1.json";
  if (const auto* to = std::getenv("HIVE_SAVE_DISKS")) {  // how the fixture was made
    auto f = fleet(11, quiet_shape());
    CHECK(f.begin());
    for (auto i = 1; i <= 3; ++i)
      LONGS_EQUAL(200, call(f, "POST", "/v1/publish",
                            R"({"name":"old","topic":"alerts/x","seq":)" + std::to_string(i) + R"(,"body":"word )" +
                                std::to_string(i) + "\"}")
                           .code);
    f.power("all", false);
    f.save_disks(to);
    return;
  }
  auto f = fleet(12, quiet_shape());
  f.load_disks(file);
  for (auto& n : f.names("all"))
    f.start(n);
  f.world.run(f.world.clock + 10 * sec);
  auto r = call(f, "GET", "/v1/read?name=me&topic=alerts/x&after=0", "");
  LONGS_EQUAL(200, r.code);
  LONGS_EQUAL(3, list(r.body, "rows").size());
  STRCMP_EQUAL("word 2", str(list(r.body, "rows")[1], "body").c_str());
  r = call(f, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":3,"body":"word 3"})");
  CHECK(yes(r.body, "repeat"));
  LONGS_EQUAL(200, call(f, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":4,"body":"new"})").code);
}
TEST(disk_formats, a_foreign_or_damaged_folder_is_refused_with_the_reason) {
  auto refuses = [](const std::string& name, const std::string& key, const std::string& val, const std::string& why) {
    auto f = fleet(13, quiet_shape());
    auto box = f.names(name);
    f.all.at(name)->box->solid[key] = val;
    try {
      f.start(name);
    } catch (const verdict& v) {
      STRCMP_CONTAINS(why.c_str(), v.why.c_str());
      return;
    } catch (const bad_bytes& e) {
      STRCMP_CONTAINS(why.c_str(), e.what());
      return;
    }
    FAIL("it started");
  };
  refuses("comb-1", "somebody", "else", "foreign or damaged");
  refuses("comb-1", "B/disk", seal(branch{{"format", 2}, {"id", "x"}}), "format is not 1");
  refuses("comb-1", "B/disk", "torn", "checksum");
  refuses("queen-1", "L/e/0000000000000001", "x", "lacks its first record");
  refuses("queen-1", "L/meta", seal(branch{{"format", 9}, {"id", "x"}, {"term", 0}, {"voted", ""}, {"founded", false}}),
          "format is not 1");
}
TEST_GROUP(takeover){};
namespace {
// How long until `done` holds, at most `most`.
auto wait_for(fleet& f, tick most, const std::function<bool()>& done) -> tick {
  auto from = f.world.clock;
  while (!done() && f.world.clock < from + most)
    f.world.run(f.world.clock + msec);
  return f.world.clock - from;
}
}  // namespace
// A closed channel and a refused dial tell of a dead process: nobody waits for silence then (design 6.5).
TEST(takeover, a_killed_primary_is_claimed_at_once_and_a_silent_one_is_waited_for) {
  auto id = std::string("alerts/0");
  for (auto silent : {false, true}) {
    auto f = fleet(41, quiet_shape());
    CHECK(f.begin());
    auto old = f.primary_of(id);
    auto lose = f.all.at(old)->set.lose;
    if (silent)
      f.power(f.all.at(old)->box->name, false);
    else
      f.kill(old);
    auto took = wait_for(f, 3 * sec, [&] { return !f.primary_of(id).empty(); });
    if (silent)
      CHECK(took > lose * 9 / 10 && took < lose * 3 / 2);
    else
      CHECK(took < 100 * msec);
  }
}
// A kept cell whose second copy is killed has another before callers are told twice to come back.
TEST(takeover, a_killed_backup_is_replaced_at_once) {
  auto s = quiet_shape();
  s.combs = 4;
  s.zones = 4;
  auto f = fleet(42, s);
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto prim = f.primary_of(id), old = f.backup_of(id);
  f.kill(old);
  auto took = wait_for(f, 3 * sec, [&] { return f.backup_of(id) != old; });
  CHECK(took < 100 * msec);
  STRCMP_EQUAL(prim.c_str(), f.primary_of(id).c_str());
}
// A primary whose links all fall, but whose process answers, keeps its cells.
TEST(takeover, closed_links_of_a_living_primary_are_no_death) {
  auto f = fleet(43, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto old = f.primary_of(id);
  auto there = f.all.at(f.backup_of(id))->set.addr;
  auto epoch = f.all.at(old)->c->ses.known.cells.at(id).epoch;
  for (auto i = 0; i < 3; ++i) {
    f.all.at(old)->c->reach(there).line->drop();
    f.world.run(f.world.clock + 500 * msec);
  }
  STRCMP_EQUAL(old.c_str(), f.primary_of(id).c_str());
  LONGS_EQUAL(epoch, f.all.at(old)->c->ses.known.cells.at(id).epoch);
}
// The voters' quiet protects a leader that lives: killed, it has a successor at once; silent, it is waited for
// (design 4.4).
TEST(takeover, a_killed_leader_has_a_successor_at_once_and_a_silent_one_is_waited_for) {
  for (auto silent : {false, true}) {
    auto f = fleet(44, quiet_shape());
    CHECK(f.begin());
    auto old = f.leader();
    auto quiet = f.all.at(old)->set.lose * 3 / 8;
    if (silent)
      f.power(f.all.at(old)->box->name, false);
    else
      f.kill(old);
    auto took = wait_for(f, 5 * sec, [&] { return !f.leader().empty(); });
    if (silent)
      CHECK(took > quiet * 3 / 4);
    else
      CHECK(took < 150 * msec);
  }
}
// While a pair moves, the old copy's word still lets outputs out: the new one may claim a moment after
// the ledger has it in step, so it must hold every entry of which one has left (design 6.6).
TEST(protections, a_copy_in_step_has_all_that_was_said) {
  auto shape_ = shape();
  shape_.callers = 24;
  shape_.every = 20 * msec;
  shape_.pipeline = 8;
  shape_.cells = 1;
  shape_.keep_low = 35;
  auto moves = 0;
  for (auto seed : {41, 42}) {
    auto f = fleet(static_cast<std::uint64_t>(seed), shape_);
    CHECK(f.begin());
    f.world.run(f.world.clock + sec);
    auto id = std::string("alerts/0");
    auto prim = f.primary_of(id), back = f.backup_of(id), late = std::string();
    for (const auto& n : f.names("comb"))
      if (n != prim && n != back) late = n;
    f.all.at(late)->box->sync_cost = 60 * msec;  // the new copy trails behind the old one
    f.operate([&](keeper& k) -> task<void> {
      return [](keeper& kk, std::string n) -> task<void> { co_await kk.leave(n, "drain", 10 * sec); }(k, back);
    });
    auto end = f.world.clock + 8 * sec;
    auto said = std::int64_t{0};
    while (f.backup_of(id) != late && f.world.clock < end) {
      if (const auto* c = f.all.at(prim)->c->partition_at(id); c && c->live()) said = num(c->status(), "spoken");
      f.world.run(f.world.clock + msec);
    }
    if (f.backup_of(id) != late || f.primary_of(id) != prim) continue;
    ++moves;
    const auto* has = f.all.at(late)->c->partition_at(id);
    CHECK(has != nullptr);
    CHECK(said > 0);
    CHECK(num(has->status(), "solid") >= said);
  }
  CHECK(moves >= 2);
}
