#include "simulator/fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "rpc/server.hpp"
#include "runtime/log.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
auto quiet_shape() -> fleet_shape {
  auto s = fleet_shape();
  s.clients = 0;
  return s;
}
auto call(fleet& f, const std::string& verb, const std::string& path, const std::string& body) -> http_reply {
  auto out = std::make_shared<http_reply>();
  f.operator_tasks->spawn(
      [](fleet& fl, std::string v, std::string p, std::string b, std::shared_ptr<http_reply> o) -> task<void> {
        *o = co_await fetch(*fl.outside, fl.gateway_addresses[0], v, p, b, fl.outside->now() + 2 * second);
      }(f, verb, path, body, out));
  f.network.run(f.network.clock + 2 * second);
  return *out;
}
}  // namespace
TEST_GROUP(protections){};
// Asks a control node for its vote, as a candidate that has everything would; -1: no answer.
namespace {
auto vote(fleet& f, const std::string& voter, const std::string& from, bool go) -> int {
  auto ok = std::make_shared<int>(-1);
  auto addr = f.processes.at(voter)->settings.address;
  f.operator_tasks->spawn(
      [](fleet& fl, std::string to, std::string who, bool urged, std::shared_ptr<int> o) -> task<void> {
        auto c = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
        while (!c.is_up())
          co_await sleep_for(*fl.outside, 10 * millisecond);
        auto q = value(object{{"op", "l.vote"},
                              {"term", 1000},
                              {"from", who},
                              {"last", 1000000},
                              {"last_term", 999},
                              {"dry", false},
                              {"go", urged}});
        auto r = co_await c.call(std::move(q), fl.outside->now() + second);
        *o = get_bool(r, "ok");
        fl.network.stopped = true;
      }(f, addr, from, go, ok));
  auto end = f.network.clock + 3 * second;
  while (*ok < 0 && f.network.clock < end)
    f.network.run(f.network.clock + 10 * millisecond);
  return *ok;
}
auto follower(const fleet& f) -> std::string {
  return f.leader() == "queen-1" ? "queen-2" : "queen-1";
}
}  // namespace
// A vote is on the disk before it is told: after a loss of power the same term has no second one.
TEST(protections, a_voter_votes_once_in_a_term) {
  auto f = fleet(21, quiet_shape());
  CHECK(f.begin());
  auto who = follower(f);
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", true));
  f.power(f.processes.at(who)->machine->name, false);
  f.power(f.processes.at(who)->machine->name, true);
  LONGS_EQUAL(0, vote(f, who, "10.7.7.2:1", true));
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", true));
}
// It may have promised its leader quiet just before it went down: leases hang on that.
TEST(protections, a_restarted_voter_is_quiet_first) {
  auto f = fleet(25, quiet_shape());
  CHECK(f.begin());
  auto who = follower(f);
  auto box = f.processes.at(who)->machine->name;
  for (const auto& q : f.names("queen"))
    if (q != who) {
      f.network.cut(box, f.processes.at(q)->machine->name);
      f.network.cut(f.processes.at(q)->machine->name, box);
    }
  f.power(box, false);
  f.power(box, true);
  LONGS_EQUAL(0, vote(f, who, "10.7.7.1:1", false));
  f.network.run(f.network.clock + 2 * second);
  LONGS_EQUAL(1, vote(f, who, "10.7.7.1:1", false));
}
// What a thawed or cut-off primary still sends changes nothing, on a live primary or a backup.
TEST(protections, frames_and_joins_of_a_lower_epoch_are_refused) {
  auto f = fleet(22, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto tried = 0;
  for (const auto& who :
       {f.primary_of(id),
        node_of_member(f.processes.at(f.primary_of(id))->storage->session.view.partitions.at(id).backups().at(0))}) {
    auto& c = *f.processes.at(who)->storage;
    auto last = get_int(c.held_partition(id)->status(), "last");
    auto said = std::make_shared<std::string>();
    f.operator_tasks->spawn([](fleet& fl, std::string to, std::string cell_id, std::int64_t at, std::int64_t epoch,
                               std::shared_ptr<std::string> o) -> task<void> {
      auto link = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
      link.on_notification = [o](const value& t) {
        *o += get_bool(t, "nack") ? "nack " : "taken ";
      };
      while (!link.is_up())
        co_await sleep_for(*fl.outside, 10 * millisecond);
      auto rows = array{object{{"v", 1}, {"g", true}, {"e", object{{"k", "c"}, {"d", 1}}}}};
      link.send(object{{"op", "c.log"},
                       {"cell", cell_id},
                       {"epoch", 1},
                       {"from", "comb-9/x"},
                       {"prev", at},
                       {"prev_epoch", epoch},
                       {"rows", rows}});
      try {
        auto q = value(object{{"op", "c.join"}, {"cell", cell_id}, {"epoch", 1}, {"from", "comb-9/x"}, {"last", at}});
        co_await link.call(std::move(q), fl.outside->now() + second);
        *o += "joined";
      } catch (const request_error& v) {
        *o += v.code_text();
      }
    }(f, f.processes.at(who)->settings.address, id, last, get_int(c.held_partition(id)->status(), "epoch"), said));
    f.network.run(f.network.clock + 200 * millisecond);
    STRCMP_EQUAL("nack old", said->c_str());
    CHECK(get_int(c.held_partition(id)->status(), "last") < last + 3);
    STRCMP_EQUAL(tried ? "backup" : "primary", get_string(c.held_partition(id)->status(), "role").c_str());
    ++tried;
  }
}
// A lease alone is not enough: the configuration that came with it, or a newer one, must be there.
TEST(protections, a_lease_serves_only_its_configuration) {
  auto f = fleet(26, quiet_shape());
  auto& door = f.network.machine_at("x1", "out");
  auto there = sim_host(f.network, door, false, 5),
       here = sim_host(f.network, *f.network.machines.at("outside"), false, 6);
  auto upper = task_group(there);
  auto charter = std::string();
  auto a = rpc_handlers();
  a.on_call = [&](connection_ptr, value) -> task<value> {
    auto out = object{{"lease", 2 * second}, {"need", 5}, {"cells_need", 0}};
    if (!charter.empty())
      out["charter"] = charter;
    co_return out;
  };
  upper.spawn(serve(there, upper, there.listen(door.ip + ":7000"), a, "test"));
  auto c = f.processes.at("scout-1")->settings;
  auto ses = control_session(here, c, std::vector<std::string>(1, door.ip + ":7000"));
  charter = probe_configuration(4, f.shape.spaces());
  f.network.run(f.network.clock + 2 * second);
  CHECK(ses.has_lease());
  LONGS_EQUAL(4, ses.view.configuration->number);
  CHECK(!ses.may_serve());
  charter = probe_configuration(5, f.shape.spaces());
  f.network.run(f.network.clock + 2 * second);
  CHECK(ses.may_serve());
}
namespace {
// A session with a control node that answers as `answer` says, run for a while.
struct lone_session {
  fleet f;
  sim_host there, here;
  task_group upper;
  object answer;
  std::unique_ptr<control_session> node;
  explicit lone_session(object first)
      : f(26, quiet_shape()),
        there(f.network, f.network.machine_at("x1", "out"), false, 5),
        here(f.network, *f.network.machines.at("outside"), false, 6),
        upper(there),
        answer(std::move(first)) {
    auto addr = f.network.machine_at("x1", "out").ip + ":7000";
    auto a = rpc_handlers();
    a.on_call = [this](connection_ptr, value) -> task<value> {
      co_return answer;
    };
    upper.spawn(serve(there, upper, there.listen(addr), a, "test"));
    node =
        std::make_unique<control_session>(here, f.processes.at("scout-1")->settings, std::vector<std::string>(1, addr));
  }
  auto run(monotonic_time span) -> void {
    f.network.run(f.network.clock + span);
  }
};
}  // namespace
// A version that is not due yet does not stop a node that holds the one before.
TEST(protections, an_older_version_serves_until_the_newer_is_due) {
  auto first = object{{"lease", 10 * second}, {"need", 4}, {"newest", 4}, {"cells_need", 0}};
  first["charter"] = probe_configuration(4, fleet_shape().spaces());
  auto s = lone_session(first);
  s.run(second);
  CHECK(s.node->may_serve());
  s.answer["newest"] = 5;
  s.answer["due"] = array{array{5, 3 * second}};
  s.run(2 * second);
  s.answer = object{{"lease", 0}};  // as if cut off: the lease that it has runs on
  CHECK(s.node->may_serve());
  s.run(4 * second);
  CHECK(s.node->has_lease());
  CHECK(!s.node->may_serve());
}
// What has just started goes by nothing older than the newest that a majority had agreed on.
TEST(protections, a_new_node_begins_with_the_newest_version) {
  auto first = object{
      {"lease", 2 * second}, {"need", 3}, {"newest", 5}, {"due", array{array{5, 60 * second}}}, {"cells_need", 0}};
  first["charter"] = probe_configuration(4, fleet_shape().spaces());
  auto s = lone_session(first);
  s.run(second);
  CHECK(s.node->has_lease());
  CHECK(!s.node->may_serve());
  s.answer["charter"] = probe_configuration(5, fleet_shape().spaces());
  s.run(second);
  CHECK(s.node->may_serve());
}
// When the leader before it had versions agreed on is not known to a new one: it wants them at once.
TEST(protections, a_new_leader_wants_what_it_found_in_force_at_once) {
  auto f = fleet(31, quiet_shape());
  CHECK(f.begin());
  f.network.run(f.network.clock + 2 * second);
  auto body = f.next_configuration();
  auto told = std::make_shared<bool>(false);
  f.operate([&f, body, told](operator_client& k) -> task<void> {
    *told = co_await k.put(2, body);
    f.network.stopped = true;
  });
  while (!*told)
    f.network.run(f.network.clock + 10 * millisecond);
  auto agreed = f.network.clock;
  f.kill(f.leader());
  auto need = std::make_shared<std::int64_t>(-1);
  while (*need < 0 && f.network.clock < agreed + 10 * second) {
    f.network.run(f.network.clock + 10 * millisecond);
    auto lead = f.leader();
    if (lead.empty())
      continue;
    f.operator_tasks->spawn([](fleet& fl, std::string to, std::shared_ptr<std::int64_t> o) -> task<void> {
      auto link = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
      while (!link.is_up())
        co_await sleep_for(*fl.outside, millisecond);
      auto me = node_descriptor();
      me.name = "node-9";
      me.kind = "forager";
      me.zone = "z1";
      auto q = value(object{{"op", "session"}, {"me", me.to_value()}, {"vec", object()}, {"deadlines", true}});
      auto r = co_await link.call(std::move(q), fl.outside->now() + second);
      if (get_int_or(r, "lease", 0) > 0)
        *o = get_int(r, "need");
    }(f, f.processes.at(lead)->settings.address, need));
    f.network.run(f.network.clock + 50 * millisecond);
  }
  CHECK(f.network.clock <
        agreed + f.processes.at("queen-1")->settings.lease_duration);  // not yet due by the time that it was agreed on
  LONGS_EQUAL(2, *need);
}
// A vote from a disk other than the one seated does not count: it may have voted before it was lost.
TEST(protections, an_amnesiac_elects_nobody) {
  auto f = fleet(27, quiet_shape());
  auto ids = std::make_shared<std::map<std::string, std::string>>();
  auto hosts = std::vector<std::unique_ptr<sim_host>>();
  auto homes = std::vector<std::unique_ptr<task_group>>();
  for (const auto& n : f.names("queen")) {
    if (n == "queen-1")
      continue;
    auto& p = *f.processes.at(n);
    hosts.push_back(std::make_unique<sim_host>(f.network, *p.machine, false, 9));
    homes.push_back(std::make_unique<task_group>(*hosts.back()));
    auto a = rpc_handlers();
    (*ids)[n] = "seated-" + n;
    a.on_call = [ids, n](connection_ptr, value t) -> task<value> {
      auto out = object{{"id", (*ids)[n]},
                        {"founded", false},
                        {"empty", true},
                        {"lead", ""},
                        {"term", get_int_or(t, "term", 0)},
                        {"ok", get_string_or(t, "op") == "l.vote"},
                        {"last", 0}};
      if (get_bool(t, "dry"))
        out["term"] = 0;
      co_return out;
    };
    homes.back()->spawn(serve(*hosts.back(), *homes.back(), hosts.back()->listen(p.settings.address), a, "test"));
  }
  f.start("queen-1");
  f.network.run(f.network.clock + 200 * millisecond);
  for (auto& [n, id] : *ids)
    id = "lost";
  f.network.run(f.network.clock + 5 * second);
  CHECK(!f.processes.at("queen-1")->control->leads());
  for (auto& [n, id] : *ids)
    id = "seated-" + n;
  auto led = false;
  for (auto i = 0; i < 50; ++i) {
    f.network.run(f.network.clock + 100 * millisecond);
    led |= f.processes.at("queen-1")->control->leads();
  }
  CHECK(led);
}
// Two changes at once could leave two majorities that do not meet. The second waits until the first is agreed, also
// when whoever asked for the first waits no longer.
TEST(protections, one_voter_is_changed_at_a_time) {
  auto f = fleet(28, quiet_shape());
  CHECK(f.begin());
  auto lead = f.leader();
  auto first = f.add_control_node();
  for (const auto& n : f.names("queen"))
    if (n != lead && n != first)
      f.processes.at(n)->machine->sync_cost = 4 * second;
  f.start(first);
  auto& book = f.processes.at(lead)->control->raft;
  for (auto i = 0; i < 200 && book.voters().size() == 3; ++i)
    f.network.run(f.network.clock + 10 * millisecond);
  LONGS_EQUAL(4, book.voters().size());  // in the log, and not agreed for seconds
  for (auto wait : {100 * millisecond, 1500 * millisecond}) {
    f.network.run(f.network.clock + wait);
    auto said = std::make_shared<std::string>("no answer");
    f.operator_tasks->spawn([](fleet& fl, std::string to, std::shared_ptr<std::string> o) -> task<void> {
      auto c = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
      while (!c.is_up())
        co_await sleep_for(*fl.outside, 10 * millisecond);
      try {
        auto q = value(object{{"op", "l.enter"}, {"addr", "10.7.7.1:1"}, {"id", "new"}});
        co_await c.call(std::move(q), fl.outside->now() + 500 * millisecond);
        *o = "ok";
      } catch (const request_error& v) {
        *o = v.code_text();
      }
    }(f, f.processes.at(lead)->settings.address, said));
    f.network.run(f.network.clock + 700 * millisecond);
    STRCMP_EQUAL("busy", said->c_str());
    LONGS_EQUAL(4, book.voters().size());
    CHECK(book.is_leader());
  }
}
// Beside gateways of the first landing, which do not count their openings: each ask of theirs is answered,
// and one that counts is answered once for each opening, a late one not at all.
TEST(protections, openings_are_counted_where_the_gateway_counts) {
  auto f = fleet(30, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto said = std::make_shared<std::string>();
  f.operator_tasks->spawn(
      [](fleet& fl, std::string to, std::string cell_id, std::shared_ptr<std::string> o) -> task<void> {
        auto link = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
        link.on_notification = [o](const value& t) {
          if (get_string_or(t, "op") == "subbed")
            *o += get_string(t, "i") + std::to_string(get_int_or(t, "n", -1)) + " ";
        };
        while (!link.is_up())
          co_await sleep_for(*fl.outside, 10 * millisecond);
        auto ask = object{{"op", "sub"}, {"cell", cell_id}, {"i", "old"}, {"t", "alerts/x"}, {"d", "w"}, {"a", -1}};
        for (auto i = 0; i < 2; ++i) {
          link.send(ask);
          co_await sleep_for(*fl.outside, 100 * millisecond);
        }
        ask["i"] = "new";
        auto turns = std::vector<int>{1, 1, 2, 1};
        for (auto n : turns) {
          ask["n"] = n;
          link.send(ask);
          co_await sleep_for(*fl.outside, 100 * millisecond);
        }
      }(f, f.processes.at(f.primary_of(id))->settings.address, id, said));
  f.network.run(f.network.clock + 2 * second);
  STRCMP_EQUAL("old0 old0 new1 new2 ", said->c_str());
}
// The primary ends within an operation: what came of it is cut off, and the backup goes live.
TEST(protections, an_unfinished_operation_is_cut_off) {
  auto f = fleet(29, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto old = f.primary_of(id);
  auto row = f.processes.at(old)->storage->session.view.partitions.at(id);
  auto who = node_of_member(row.backups().at(0));
  f.kill(old);
  auto at = get_int(f.processes.at(who)->storage->held_partition(id)->status(), "last");
  f.operator_tasks->spawn(
      [](fleet& fl, std::string to, std::string cell_id, partition_assignment r, std::int64_t prev) -> task<void> {
        auto link = peer_connection(*fl.outside, peer_connection::options{"test", to, 100 * millisecond, second});
        while (!link.is_up())
          co_await sleep_for(*fl.outside, 10 * millisecond);
        auto rows = array{object{{"v", r.epoch}, {"g", false}, {"e", object{{"k", "c"}, {"d", 1}}}}};
        link.send(object{{"op", "c.log"},
                         {"cell", cell_id},
                         {"epoch", r.epoch},
                         {"from", r.primary},
                         {"prev", prev},
                         {"prev_epoch", r.epoch},
                         {"rows", rows}});
        co_await sleep_for(*fl.outside, second);
      }(f, f.processes.at(who)->settings.address, id, row, at));
  f.network.run(f.network.clock + 100 * millisecond);
  LONGS_EQUAL(at + 1, get_int(f.processes.at(who)->storage->held_partition(id)->status(), "last"));
  f.network.run(f.network.clock + 4 * second);
  STRCMP_EQUAL(who.c_str(), f.primary_of(id).c_str());
}
// The leader's own copy counts only once it is synced, and a follower's likewise.
TEST(protections, an_acknowledged_configuration_is_on_two_disks) {
  for (auto slow_leader : {true, false}) {
    auto f = fleet(23, quiet_shape());
    CHECK(f.begin());
    auto lead = f.leader();
    auto far = lead == "queen-3" ? "queen-2" : "queen-3";
    for (auto& n : f.names("queen"))
      f.processes.at(n)->machine->sync_cost = (n == lead) == slow_leader ? 300 * millisecond : millisecond;
    f.network.cut(f.processes.at(far)->machine->name, "*");
    f.network.cut("*", f.processes.at(far)->machine->name);
    auto body = f.next_configuration();
    auto told = std::make_shared<int>(-1);
    f.operate([&f, body, told](operator_client& k) -> task<void> {
      auto ok = co_await k.put(2, body);
      if (ok)
        *told = f.control_nodes_with(body);
      f.network.stopped = true;
    });
    auto end = f.network.clock + 10 * second;
    while (*told < 0 && f.network.clock < end)
      f.network.run(f.network.clock + 10 * millisecond);
    CHECK(*told >= 2);
  }
}
// "Took hold" waits for a gateway that is frozen with a lease in its hands.
TEST(protections, took_hold_waits_for_each_lease) {
  auto f = fleet(24, quiet_shape());
  CHECK(f.begin());
  f.network.run(f.network.clock + second);
  for (auto& n : f.names("f1"))
    f.freeze(n, true);
  CHECK(f.processes.at("forager-1")->gateway->ready());
  auto body = f.next_configuration();
  auto who = std::make_shared<std::string>("never held");
  f.operate([&f, body, who](operator_client& k) -> task<void> {
    auto ok = co_await k.put(2, body);
    if (ok)
      ok = co_await k.await_held(2, f.outside->now() + 20 * second);
    if (ok)
      *who = f.behind(2);
    f.network.stopped = true;
  });
  auto end = f.network.clock + 20 * second;
  while (f.operating && f.network.clock < end)
    f.network.run(f.network.clock + 10 * millisecond);
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
    auto& c = *f.processes.at(left)->storage;
    auto seen = never, whole = never;
    auto end = f.network.clock + 10 * second;
    while (whole == never && f.network.clock < end) {
      f.network.run(f.network.clock + 10 * millisecond);
      const auto* s = c.session.view.find(lost);
      if (seen == never && c.session.is_synchronized() && s && !s->disk_id.empty())
        seen = f.network.clock;
      if (const auto* one = c.held_partition(id)) {
        auto now = one->status();
        auto back = get_string(now, "back");
        if (get_string(now, "role") == "primary" &&
            get_bool(get_value(get_value(now, "copies"), back.c_str()), "joined")) {
          const auto* b = c.session.view.find(node_of_member(back));
          if (b && b->member() == back)
            whole = f.network.clock;
        }
      }
    }
    CHECK(whole != never);
    CHECK(whole - seen < f.processes.at(left)->settings.failure_timeout / 2);
  }
}
// After a loss of all power: a leader as soon as the quiet is over, leases soon after, and partitions led as soon as
// their storage nodes hold the replicated log's word.
TEST(protections, all_back_at_once_wait_for_the_quiet_and_little_else) {
  for (auto seed : {31, 32, 33, 34, 35, 36}) {
    auto f = fleet(static_cast<std::uint64_t>(seed), quiet_shape());
    CHECK(f.begin());
    auto set = f.processes.at("queen-1")->settings;
    f.power("all", false);
    f.power("all", true);
    auto start = f.network.clock;
    auto led = never;
    auto fresh = std::map<std::string, monotonic_time>(), lives = fresh, serves = fresh;
    while (f.network.clock < start + 3 * second) {
      f.network.run(f.network.clock + 5 * millisecond);
      if (led == never && !f.leader().empty())
        led = f.network.clock;
      for (const auto& n : f.names("forager"))
        if (f.processes.at(n)->gateway->is_serving())
          serves.emplace(n, f.network.clock);
      for (const auto& n : f.names("comb")) {
        auto& c = *f.processes.at(n)->storage;
        if (c.session.is_synchronized())
          fresh.emplace(n, f.network.clock);
        for (const auto& [id, row] : c.session.view.partitions)
          if (const auto* one = c.held_partition(id); one && one->is_primary() && node_of_member(row.primary) == n)
            lives.emplace(n + " " + id, f.network.clock);
      }
    }
    CHECK(led >= start + set.failure_timeout * 3 / 8);
    CHECK(led < start + set.failure_timeout * 3 / 8 + set.heartbeat_interval);
    LONGS_EQUAL(3, serves.size());
    for (const auto& [n, t] : serves)
      CHECK(t - led < set.heartbeat_interval * 3 / 2);
    CHECK(lives.size() >= 4);
    for (const auto& [at, t] : lives)
      CHECK(t - fresh.at(at.substr(0, at.find(' '))) < set.heartbeat_interval / 2);
  }
}
// A control node that the leader no longer grants leases to gives what is left of the old ones: who holds its session
// with her takes another control node while its lease still runs, not after it has ended.
TEST(protections, a_lease_that_is_no_longer_renewed_is_sought_elsewhere_before_it_ends) {
  auto f = fleet(41, quiet_shape());
  CHECK(f.begin());
  auto lead = f.leader();
  auto tried = 0;
  for (const auto& n : f.names("scout")) {
    auto& s = *f.processes.at(n)->agent;
    auto queen = std::string();
    for (const auto& q : f.names("queen"))
      if (f.processes.at(q)->settings.address == s.session.endpoint())
        queen = q;
    if (queen == lead)
      continue;
    ++tried;
    const auto& here = f.processes.at(queen)->machine->name;
    const auto& there = f.processes.at(lead)->machine->name;
    f.network.cut(here, there);
    f.network.cut(there, here);
    auto end = f.network.clock + 6 * second;
    auto lacked = monotonic_time{0};
    while (f.network.clock < end) {
      f.network.run(f.network.clock + 10 * millisecond);
      if (!s.session.has_lease())
        lacked += 10 * millisecond;
    }
    CHECK(s.session.endpoint() != f.processes.at(queen)->settings.address);
    LONGS_EQUAL(0, lacked);
    break;
  }
  LONGS_EQUAL(1, tried);
}
TEST_GROUP(disk_formats){};
// The disks of the first landing's format, written by that version, open in this one.
TEST(disk_formats, those_of_format_1_open) {
  auto file = std::string(REACHRIDGE_SOURCE) + "/fixtures/format-1.json";
  if (const auto* to = std::getenv("REACHRIDGE_SAVE_DISKS")) {  // how the fixture was made
    auto f = fleet(11, quiet_shape());
    CHECK(f.begin());
    for (auto i = 1; i <= 3; ++i)
      LONGS_EQUAL(200, call(f, "POST", "/v1/publish",
                            R"({"name":"old","topic":"alerts/x","seq":)" + std::to_string(i) + R"(,"body":"word )" +
                                std::to_string(i) + "\"}")
                           .status);
    f.power("all", false);
    f.save_disks(to);
    return;
  }
  auto f = fleet(12, quiet_shape());
  f.load_disks(file);
  for (auto& n : f.names("all"))
    f.start(n);
  f.network.run(f.network.clock + 10 * second);
  auto r = call(f, "GET", "/v1/read?name=me&topic=alerts/x&after=0", "");
  LONGS_EQUAL(200, r.status);
  LONGS_EQUAL(3, get_array(r.body, "rows").size());
  STRCMP_EQUAL("word 2", get_string(get_array(r.body, "rows")[1], "body").c_str());
  r = call(f, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":3,"body":"word 3"})");
  CHECK(get_bool(r.body, "repeat"));
  LONGS_EQUAL(200, call(f, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":4,"body":"new"})").status);
}
TEST(disk_formats, a_foreign_or_damaged_folder_is_refused_with_the_reason) {
  auto refuses = [](const std::string& name, const std::string& key, const std::string& val, const std::string& why) {
    auto f = fleet(13, quiet_shape());
    auto box = f.names(name);
    f.processes.at(name)->machine->durable[key] = val;
    try {
      f.start(name);
    } catch (const request_error& v) {
      STRCMP_CONTAINS(why.c_str(), v.message.c_str());
      return;
    } catch (const decode_error& e) {
      STRCMP_CONTAINS(why.c_str(), e.what());
      return;
    }
    FAIL("it started");
  };
  refuses("comb-1", "somebody", "else", "foreign or damaged");
  refuses("comb-1", "B/disk", encode_with_checksum(object{{"format", 2}, {"id", "x"}}), "format is not 1");
  refuses("comb-1", "B/disk", "torn", "checksum");
  refuses("queen-1", "L/e/0000000000000001", "x", "metadata record is missing");
  refuses("queen-1", "L/meta",
          encode_with_checksum(object{{"format", 9}, {"id", "x"}, {"term", 0}, {"voted", ""}, {"founded", false}}),
          "format is not 1");
}
TEST_GROUP(takeover){};
namespace {
// How long until `done` holds, at most `most`.
auto wait_for(fleet& f, monotonic_time most, const std::function<bool()>& done) -> monotonic_time {
  auto from = f.network.clock;
  while (!done() && f.network.clock < from + most)
    f.network.run(f.network.clock + millisecond);
  return f.network.clock - from;
}
}  // namespace
// A closed channel and a refused dial tell of a dead process: nobody waits for silence then (design 6.5).
TEST(takeover, a_killed_primary_is_claimed_at_once_and_a_silent_one_is_waited_for) {
  auto id = std::string("alerts/0");
  for (auto silent : {false, true}) {
    auto f = fleet(41, quiet_shape());
    CHECK(f.begin());
    auto old = f.primary_of(id);
    auto lose = f.processes.at(old)->settings.failure_timeout;
    if (silent)
      f.power(f.processes.at(old)->machine->name, false);
    else
      f.kill(old);
    auto took = wait_for(f, 3 * second, [&] {
      return !f.primary_of(id).empty();
    });
    if (silent)
      CHECK(took > lose * 9 / 10 && took < lose * 3 / 2);
    else
      CHECK(took < 100 * millisecond);
  }
}
// A kept partition whose second copy is killed has another before clients are told twice to come back.
TEST(takeover, a_killed_backup_is_replaced_at_once) {
  auto s = quiet_shape();
  s.storage_nodes = 4;
  s.zones = 4;
  auto f = fleet(42, s);
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto prim = f.primary_of(id), old = f.backup_of(id);
  f.kill(old);
  auto took = wait_for(f, 3 * second, [&] {
    return f.backup_of(id) != old;
  });
  CHECK(took < 100 * millisecond);
  STRCMP_EQUAL(prim.c_str(), f.primary_of(id).c_str());
}
// A primary whose links all fall, but whose process answers, keeps its partitions.
TEST(takeover, closed_links_of_a_living_primary_are_no_death) {
  auto f = fleet(43, quiet_shape());
  CHECK(f.begin());
  auto id = std::string("alerts/0");
  auto old = f.primary_of(id);
  auto there = f.processes.at(f.backup_of(id))->settings.address;
  auto epoch = f.processes.at(old)->storage->session.view.partitions.at(id).epoch;
  for (auto i = 0; i < 3; ++i) {
    f.processes.at(old)->storage->peer(there).active->close();
    f.network.run(f.network.clock + 500 * millisecond);
  }
  STRCMP_EQUAL(old.c_str(), f.primary_of(id).c_str());
  LONGS_EQUAL(epoch, f.processes.at(old)->storage->session.view.partitions.at(id).epoch);
}
// The voters' quiet protects a leader that lives: killed, it has a successor at once; silent, it is waited for
// (design 4.4).
TEST(takeover, a_killed_leader_has_a_successor_at_once_and_a_silent_one_is_waited_for) {
  for (auto silent : {false, true}) {
    auto f = fleet(44, quiet_shape());
    CHECK(f.begin());
    auto old = f.leader();
    auto quiet = f.processes.at(old)->settings.failure_timeout * 3 / 8;
    if (silent)
      f.power(f.processes.at(old)->machine->name, false);
    else
      f.kill(old);
    auto took = wait_for(f, 5 * second, [&] {
      return !f.leader().empty();
    });
    if (silent)
      CHECK(took > quiet * 3 / 4);
    else
      CHECK(took < 150 * millisecond);
  }
}
// While a pair moves, the old copy's word still lets outputs out: the new one may claim a moment after
// the replicated log has it in step, so it must hold every entry of which one has left (design 6.6).
TEST(protections, a_copy_in_step_has_all_that_was_said) {
  auto shape_ = fleet_shape();
  shape_.clients = 24;
  shape_.every = 20 * millisecond;
  shape_.pipeline = 8;
  shape_.partitions = 1;
  shape_.keep_low = 35;
  auto moves = 0;
  for (auto seed : {41, 42}) {
    auto f = fleet(static_cast<std::uint64_t>(seed), shape_);
    CHECK(f.begin());
    f.network.run(f.network.clock + second);
    auto id = std::string("alerts/0");
    auto prim = f.primary_of(id), back = f.backup_of(id), late = std::string();
    for (const auto& n : f.names("comb"))
      if (n != prim && n != back)
        late = n;
    f.processes.at(late)->machine->sync_cost = 60 * millisecond;  // the new copy trails behind the old one
    f.operate([&](operator_client& k) -> task<void> {
      return [](operator_client& kk, std::string n) -> task<void> {
        co_await kk.leave(n, "drain", 10 * second);
      }(k, back);
    });
    auto end = f.network.clock + 8 * second;
    auto said = std::int64_t{0};
    while (f.backup_of(id) != late && f.network.clock < end) {
      if (const auto* c = f.processes.at(prim)->storage->held_partition(id); c && c->is_primary())
        said = get_int(c->status(), "spoken");
      f.network.run(f.network.clock + millisecond);
    }
    if (f.backup_of(id) != late || f.primary_of(id) != prim)
      continue;
    ++moves;
    const auto* has = f.processes.at(late)->storage->held_partition(id);
    CHECK(has != nullptr);
    CHECK(said > 0);
    CHECK(get_int(has->status(), "solid") >= said);
  }
  CHECK(moves >= 2);
}
