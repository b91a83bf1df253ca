// Tests of safety rules, disk formats and takeovers on a simulated fleet.
#include "simulator/fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "rpc/server.hpp"
#include "runtime/log.hpp"

// Must be the last include because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
auto shape_without_clients() -> fleet_shape {
  auto shape = fleet_shape();
  shape.clients = 0;
  return shape;
}
auto call_gateway(fleet& cluster, const std::string& method, const std::string& path, const std::string& body)
    -> http_reply {
  auto reply = std::make_shared<http_reply>();
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string request_method, std::string request_path,
                                   std::string request_body, std::shared_ptr<http_reply> result) -> task<void> {
    *result = co_await fetch(*fleet_.outside, fleet_.gateway_addresses[0], request_method, request_path, request_body,
                             fleet_.outside->now() + 2 * second);
  }(cluster, method, path, body, reply));
  cluster.network.run(cluster.network.clock + 2 * second);
  return *reply;
}
}  // namespace
TEST_GROUP(protections){};
// Requests a vote as a candidate with a complete log. Returns 1 if the vote is granted, 0 if the vote is refused, and
// -1 if the voter does not reply. With `ignores_leader`, the voter is to vote even if it has a live leader.
namespace {
auto request_vote(fleet& cluster, const std::string& voter, const std::string& candidate_address, bool ignores_leader)
    -> int {
  auto vote = std::make_shared<int>(-1);
  auto address = cluster.processes.at(voter)->settings.address;
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string voter_address, std::string candidate,
                                   bool ignores_leader_, std::shared_ptr<int> result) -> task<void> {
    auto connection =
        peer_connection(*fleet_.outside, peer_connection::options{"test", voter_address, 100 * millisecond, second});
    while (!connection.is_up())
      co_await sleep_for(*fleet_.outside, 10 * millisecond);
    auto request = value(object{{"op", "l.vote"},
                                {"term", 1000},
                                {"from", candidate},
                                {"last", 1000000},
                                {"last_term", 999},
                                {"dry", false},
                                {"go", ignores_leader_}});
    auto reply = co_await connection.call(std::move(request), fleet_.outside->now() + second);
    *result = get_bool(reply, "ok");
    fleet_.network.stopped = true;
  }(cluster, address, candidate_address, ignores_leader, vote));
  auto deadline = cluster.network.clock + 3 * second;
  while (*vote < 0 && cluster.network.clock < deadline)
    cluster.network.run(cluster.network.clock + 10 * millisecond);
  return *vote;
}
auto first_follower(const fleet& cluster) -> std::string {
  return cluster.leader() == "queen-1" ? "queen-2" : "queen-1";
}
}  // namespace
// A voter stores its vote before it replies. After a power loss it must not vote for another candidate in the same
// term.
TEST(protections, a_voter_votes_once_in_a_term) {
  auto cluster = fleet(21, shape_without_clients());
  CHECK(cluster.begin());
  auto voter = first_follower(cluster);
  LONGS_EQUAL(1, request_vote(cluster, voter, "10.7.7.1:1", true));
  cluster.power(cluster.processes.at(voter)->machine->name, false);
  cluster.power(cluster.processes.at(voter)->machine->name, true);
  LONGS_EQUAL(0, request_vote(cluster, voter, "10.7.7.2:1", true));
  LONGS_EQUAL(1, request_vote(cluster, voter, "10.7.7.1:1", true));
}
// Before its restart, a voter may have promised the leader not to vote for another candidate during the quiet period.
// Leases depend on that promise, so the restarted voter must not vote before a quiet period has passed.
TEST(protections, a_restarted_voter_does_not_vote_during_the_quiet_period) {
  auto cluster = fleet(25, shape_without_clients());
  CHECK(cluster.begin());
  auto voter = first_follower(cluster);
  auto machine = cluster.processes.at(voter)->machine->name;
  for (const auto& other : cluster.names("queen"))
    if (other != voter) {
      cluster.network.cut(machine, cluster.processes.at(other)->machine->name);
      cluster.network.cut(cluster.processes.at(other)->machine->name, machine);
    }
  cluster.power(machine, false);
  cluster.power(machine, true);
  LONGS_EQUAL(0, request_vote(cluster, voter, "10.7.7.1:1", false));
  cluster.network.run(cluster.network.clock + 2 * second);
  LONGS_EQUAL(1, request_vote(cluster, voter, "10.7.7.1:1", false));
}
// Messages of a resumed or cut-off former primary must not change a live primary or a backup.
TEST(protections, messages_of_a_lower_epoch_are_refused) {
  auto cluster = fleet(22, shape_without_clients());
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto checked_nodes = 0;
  for (const auto& node :
       {cluster.primary_of(partition), node_of_member(cluster.processes.at(cluster.primary_of(partition))
                                                          ->storage->session.view.partitions.at(partition)
                                                          .backups()
                                                          .at(0))}) {
    auto& storage = *cluster.processes.at(node)->storage;
    auto last_index = get_int(storage.held_partition(partition)->status(), "last");
    auto replies = std::make_shared<std::string>();
    cluster.operator_tasks->spawn([](fleet& fleet_, std::string address, std::string partition_id,
                                     std::int64_t previous_index, std::int64_t previous_epoch,
                                     std::shared_ptr<std::string> result)
                                      -> task<void> {
      auto connection =
          peer_connection(*fleet_.outside, peer_connection::options{"test", address, 100 * millisecond, second});
      connection.on_notification = [result](const value& notification) {
        *result += get_bool(notification, "nack") ? "nack " : "taken ";
      };
      while (!connection.is_up())
        co_await sleep_for(*fleet_.outside, 10 * millisecond);
      auto entries = array{object{{"v", 1}, {"g", true}, {"e", object{{"k", "c"}, {"d", 1}}}}};
      connection.send(object{{"op", "c.log"},
                             {"cell", partition_id},
                             {"epoch", 1},
                             {"from", "comb-9/x"},
                             {"prev", previous_index},
                             {"prev_epoch", previous_epoch},
                             {"rows", entries}});
      try {
        auto request = value(object{
            {"op", "c.join"}, {"cell", partition_id}, {"epoch", 1}, {"from", "comb-9/x"}, {"last", previous_index}});
        co_await connection.call(std::move(request), fleet_.outside->now() + second);
        *result += "joined";
      } catch (const request_error& error) {
        *result += error.code_text();
      }
    }(cluster, cluster.processes.at(node)->settings.address, partition, last_index,
                                      get_int(storage.held_partition(partition)->status(), "epoch"), replies));
    cluster.network.run(cluster.network.clock + 200 * millisecond);
    STRCMP_EQUAL("nack old", replies->c_str());
    CHECK(get_int(storage.held_partition(partition)->status(), "last") < last_index + 3);
    STRCMP_EQUAL(checked_nodes ? "backup" : "primary",
                 get_string(storage.held_partition(partition)->status(), "role").c_str());
    ++checked_nodes;
  }
}
// A node with a lease may serve only if it has the configuration that the lease requires, or a newer one.
TEST(protections, a_lease_serves_only_its_configuration) {
  auto cluster = fleet(26, shape_without_clients());
  auto& stub_machine = cluster.network.machine_at("x1", "out");
  auto stub_host = sim_host(cluster.network, stub_machine, false, 5),
       client_host = sim_host(cluster.network, *cluster.network.machines.at("outside"), false, 6);
  auto stub_tasks = task_group(stub_host);
  auto configuration = std::string();
  auto handlers = rpc_handlers();
  handlers.on_call = [&](connection_ptr, value) -> task<value> {
    auto reply = object{{"lease", 2 * second}, {"need", 5}, {"cells_need", 0}};
    if (!configuration.empty())
      reply["charter"] = configuration;
    co_return reply;
  };
  stub_tasks.spawn(serve(stub_host, stub_tasks, stub_host.listen(stub_machine.ip + ":7000"), handlers, "test"));
  auto settings = cluster.processes.at("scout-1")->settings;
  auto session = control_session(client_host, settings, std::vector<std::string>(1, stub_machine.ip + ":7000"));
  configuration = probe_configuration(4, cluster.shape.spaces());
  cluster.network.run(cluster.network.clock + 2 * second);
  CHECK(session.has_lease());
  LONGS_EQUAL(4, session.view.configuration->number);
  CHECK(!session.may_serve());
  configuration = probe_configuration(5, cluster.shape.spaces());
  cluster.network.run(cluster.network.clock + 2 * second);
  CHECK(session.may_serve());
}
namespace {
// A control session whose control node always replies with `answer`.
struct session_with_stub {
  fleet simulated_fleet;
  sim_host stub_host, client_host;
  task_group stub_tasks;
  object answer;
  std::unique_ptr<control_session> session;
  explicit session_with_stub(object first_answer)
      : simulated_fleet(26, shape_without_clients()),
        stub_host(simulated_fleet.network, simulated_fleet.network.machine_at("x1", "out"), false, 5),
        client_host(simulated_fleet.network, *simulated_fleet.network.machines.at("outside"), false, 6),
        stub_tasks(stub_host),
        answer(std::move(first_answer)) {
    auto address = simulated_fleet.network.machine_at("x1", "out").ip + ":7000";
    auto handlers = rpc_handlers();
    handlers.on_call = [this](connection_ptr, value) -> task<value> {
      co_return answer;
    };
    stub_tasks.spawn(serve(stub_host, stub_tasks, stub_host.listen(address), handlers, "test"));
    session = std::make_unique<control_session>(client_host, simulated_fleet.processes.at("scout-1")->settings,
                                                std::vector<std::string>(1, address));
  }
  auto run(monotonic_time duration) -> void {
    simulated_fleet.network.run(simulated_fleet.network.clock + duration);
  }
};
}  // namespace
// A node with the previous version serves until the newer version is due.
TEST(protections, an_older_version_serves_until_the_newer_one_is_due) {
  auto first_answer = object{{"lease", 10 * second}, {"need", 4}, {"newest", 4}, {"cells_need", 0}};
  first_answer["charter"] = probe_configuration(4, fleet_shape().spaces());
  auto control = session_with_stub(first_answer);
  control.run(second);
  CHECK(control.session->may_serve());
  control.answer["newest"] = 5;
  control.answer["due"] = array{array{5, 3 * second}};
  control.run(2 * second);
  control.answer = object{{"lease", 0}};  // like a cut: the existing lease remains valid
  CHECK(control.session->may_serve());
  control.run(4 * second);
  CHECK(control.session->has_lease());
  CHECK(!control.session->may_serve());
}
// A node that has just started must not apply a configuration older than the newest committed one.
TEST(protections, a_new_node_begins_with_the_newest_version) {
  auto first_answer = object{
      {"lease", 2 * second}, {"need", 3}, {"newest", 5}, {"due", array{array{5, 60 * second}}}, {"cells_need", 0}};
  first_answer["charter"] = probe_configuration(4, fleet_shape().spaces());
  auto control = session_with_stub(first_answer);
  control.run(second);
  CHECK(control.session->has_lease());
  CHECK(!control.session->may_serve());
  control.answer["charter"] = probe_configuration(5, fleet_shape().spaces());
  control.run(second);
  CHECK(control.session->may_serve());
}
// A new leader does not know when its predecessor committed a version, so it requires that version from nodes at once.
TEST(protections, a_new_leader_requires_the_committed_version_at_once) {
  auto cluster = fleet(31, shape_without_clients());
  CHECK(cluster.begin());
  cluster.network.run(cluster.network.clock + 2 * second);
  auto body = cluster.next_configuration();
  auto is_acknowledged = std::make_shared<bool>(false);
  cluster.operate([&cluster, body, is_acknowledged](operator_client& operations) -> task<void> {
    *is_acknowledged = co_await operations.put(2, body);
    cluster.network.stopped = true;
  });
  while (!*is_acknowledged)
    cluster.network.run(cluster.network.clock + 10 * millisecond);
  auto committed_at = cluster.network.clock;
  cluster.kill(cluster.leader());
  auto required_version = std::make_shared<std::int64_t>(-1);
  while (*required_version < 0 && cluster.network.clock < committed_at + 10 * second) {
    cluster.network.run(cluster.network.clock + 10 * millisecond);
    auto leader = cluster.leader();
    if (leader.empty())
      continue;
    cluster.operator_tasks->spawn(
        [](fleet& fleet_, std::string address, std::shared_ptr<std::int64_t> result) -> task<void> {
          auto connection =
              peer_connection(*fleet_.outside, peer_connection::options{"test", address, 100 * millisecond, second});
          while (!connection.is_up())
            co_await sleep_for(*fleet_.outside, millisecond);
          auto descriptor = node_descriptor();
          descriptor.name = "node-9";
          descriptor.kind = "forager";
          descriptor.zone = "z1";
          auto request =
              value(object{{"op", "session"}, {"me", descriptor.to_value()}, {"vec", object()}, {"deadlines", true}});
          auto reply = co_await connection.call(std::move(request), fleet_.outside->now() + second);
          if (get_int_or(reply, "lease", 0) > 0)
            *result = get_int(reply, "need");
        }(cluster, cluster.processes.at(leader)->settings.address, required_version));
    cluster.network.run(cluster.network.clock + 50 * millisecond);
  }
  // The version is not due yet, counted from its commit.
  CHECK(cluster.network.clock < committed_at + cluster.processes.at("queen-1")->settings.lease_duration);
  LONGS_EQUAL(2, *required_version);
}
// A vote counts only if it comes from the disk that the list of voters names. A voter that lost its disk may have voted
// before the loss.
TEST(protections, a_vote_from_a_lost_disk_does_not_count) {
  auto cluster = fleet(27, shape_without_clients());
  auto disk_ids = std::make_shared<std::map<std::string, std::string>>();
  auto hosts = std::vector<std::unique_ptr<sim_host>>();
  auto stub_tasks = std::vector<std::unique_ptr<task_group>>();
  for (const auto& name : cluster.names("queen")) {
    if (name == "queen-1")
      continue;
    auto& voter = *cluster.processes.at(name);
    hosts.push_back(std::make_unique<sim_host>(cluster.network, *voter.machine, false, 9));
    stub_tasks.push_back(std::make_unique<task_group>(*hosts.back()));
    auto handlers = rpc_handlers();
    (*disk_ids)[name] = "seated-" + name;
    handlers.on_call = [disk_ids, name](connection_ptr, value request) -> task<value> {
      auto reply = object{{"id", (*disk_ids)[name]},
                          {"founded", false},
                          {"empty", true},
                          {"lead", ""},
                          {"term", get_int_or(request, "term", 0)},
                          {"ok", get_string_or(request, "op") == "l.vote"},
                          {"last", 0}};
      if (get_bool(request, "dry"))
        reply["term"] = 0;
      co_return reply;
    };
    stub_tasks.back()->spawn(
        serve(*hosts.back(), *stub_tasks.back(), hosts.back()->listen(voter.settings.address), handlers, "test"));
  }
  cluster.start("queen-1");
  cluster.network.run(cluster.network.clock + 200 * millisecond);
  for (auto& [name, disk_id] : *disk_ids)
    disk_id = "lost";
  cluster.network.run(cluster.network.clock + 5 * second);
  CHECK(!cluster.processes.at("queen-1")->control->leads());
  for (auto& [name, disk_id] : *disk_ids)
    disk_id = "seated-" + name;
  auto has_led = false;
  for (auto i = 0; i < 50; ++i) {
    cluster.network.run(cluster.network.clock + 100 * millisecond);
    has_led |= cluster.processes.at("queen-1")->control->leads();
  }
  CHECK(has_led);
}
// Two concurrent voter changes could produce two disjoint majorities. The second change is refused until the first one
// is committed, even if the requester of the first change no longer waits.
TEST(protections, one_voter_is_changed_at_a_time) {
  auto cluster = fleet(28, shape_without_clients());
  CHECK(cluster.begin());
  auto leader = cluster.leader();
  auto first_added = cluster.add_control_node();
  for (const auto& name : cluster.names("queen"))
    if (name != leader && name != first_added)
      cluster.processes.at(name)->machine->sync_cost = 4 * second;
  cluster.start(first_added);
  auto& raft_node = cluster.processes.at(leader)->control->raft;
  for (auto i = 0; i < 200 && raft_node.voters().size() == 3; ++i)
    cluster.network.run(cluster.network.clock + 10 * millisecond);
  LONGS_EQUAL(4, raft_node.voters().size());  // in the log, but not committed for seconds
  for (auto delay : {100 * millisecond, 1500 * millisecond}) {
    cluster.network.run(cluster.network.clock + delay);
    auto reply_code = std::make_shared<std::string>("no answer");
    cluster.operator_tasks->spawn(
        [](fleet& fleet_, std::string address, std::shared_ptr<std::string> result) -> task<void> {
          auto connection =
              peer_connection(*fleet_.outside, peer_connection::options{"test", address, 100 * millisecond, second});
          while (!connection.is_up())
            co_await sleep_for(*fleet_.outside, 10 * millisecond);
          try {
            auto request = value(object{{"op", "l.enter"}, {"addr", "10.7.7.1:1"}, {"id", "new"}});
            co_await connection.call(std::move(request), fleet_.outside->now() + 500 * millisecond);
            *result = "ok";
          } catch (const request_error& error) {
            *result = error.code_text();
          }
        }(cluster, cluster.processes.at(leader)->settings.address, reply_code));
    cluster.network.run(cluster.network.clock + 700 * millisecond);
    STRCMP_EQUAL("busy", reply_code->c_str());
    LONGS_EQUAL(4, raft_node.voters().size());
    CHECK(raft_node.is_leader());
  }
}
// Gateways of the first release do not number their subscriptions: each of their requests is answered. A request of a
// gateway that numbers its subscriptions is answered once for each number, and not at all if its number is outdated.
TEST(protections, subscriptions_are_answered_once_for_each_number) {
  auto cluster = fleet(30, shape_without_clients());
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto answers = std::make_shared<std::string>();
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string address, std::string partition_id,
                                   std::shared_ptr<std::string> result) -> task<void> {
    auto connection =
        peer_connection(*fleet_.outside, peer_connection::options{"test", address, 100 * millisecond, second});
    connection.on_notification = [result](const value& notification) {
      if (get_string_or(notification, "op") == "subbed")
        *result += get_string(notification, "i") + std::to_string(get_int_or(notification, "n", -1)) + " ";
    };
    while (!connection.is_up())
      co_await sleep_for(*fleet_.outside, 10 * millisecond);
    auto request =
        object{{"op", "sub"}, {"cell", partition_id}, {"i", "old"}, {"t", "alerts/x"}, {"d", "w"}, {"a", -1}};
    for (auto i = 0; i < 2; ++i) {
      connection.send(request);
      co_await sleep_for(*fleet_.outside, 100 * millisecond);
    }
    request["i"] = "new";
    auto numbers = std::vector<int>{1, 1, 2, 1};
    for (auto number : numbers) {
      request["n"] = number;
      connection.send(request);
      co_await sleep_for(*fleet_.outside, 100 * millisecond);
    }
  }(cluster, cluster.processes.at(cluster.primary_of(partition))->settings.address, partition, answers));
  cluster.network.run(cluster.network.clock + 2 * second);
  STRCMP_EQUAL("old0 old0 new1 new2 ", answers->c_str());
}
// The primary fails within an operation. The backup truncates the incomplete operation and takes over.
TEST(protections, an_incomplete_operation_is_truncated) {
  auto cluster = fleet(29, shape_without_clients());
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto old_primary = cluster.primary_of(partition);
  auto assignment = cluster.processes.at(old_primary)->storage->session.view.partitions.at(partition);
  auto backup = node_of_member(assignment.backups().at(0));
  cluster.kill(old_primary);
  auto last_index = get_int(cluster.processes.at(backup)->storage->held_partition(partition)->status(), "last");
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string address, std::string partition_id,
                                   partition_assignment current, std::int64_t previous_index) -> task<void> {
    auto connection =
        peer_connection(*fleet_.outside, peer_connection::options{"test", address, 100 * millisecond, second});
    while (!connection.is_up())
      co_await sleep_for(*fleet_.outside, 10 * millisecond);
    auto entries = array{object{{"v", current.epoch}, {"g", false}, {"e", object{{"k", "c"}, {"d", 1}}}}};
    connection.send(object{{"op", "c.log"},
                           {"cell", partition_id},
                           {"epoch", current.epoch},
                           {"from", current.primary},
                           {"prev", previous_index},
                           {"prev_epoch", current.epoch},
                           {"rows", entries}});
    co_await sleep_for(*fleet_.outside, second);
  }(cluster, cluster.processes.at(backup)->settings.address, partition, assignment, last_index));
  cluster.network.run(cluster.network.clock + 100 * millisecond);
  LONGS_EQUAL(last_index + 1,
              get_int(cluster.processes.at(backup)->storage->held_partition(partition)->status(), "last"));
  cluster.network.run(cluster.network.clock + 4 * second);
  STRCMP_EQUAL(backup.c_str(), cluster.primary_of(partition).c_str());
}
// A log entry on the leader or on a follower counts for the commit only after it has been synced.
TEST(protections, an_acknowledged_configuration_is_on_two_disks) {
  for (auto slow_leader : {true, false}) {
    auto cluster = fleet(23, shape_without_clients());
    CHECK(cluster.begin());
    auto leader = cluster.leader();
    auto cut_off_node = leader == "queen-3" ? "queen-2" : "queen-3";
    for (auto& name : cluster.names("queen"))
      cluster.processes.at(name)->machine->sync_cost =
          (name == leader) == slow_leader ? 300 * millisecond : millisecond;
    cluster.network.cut(cluster.processes.at(cut_off_node)->machine->name, "*");
    cluster.network.cut("*", cluster.processes.at(cut_off_node)->machine->name);
    auto body = cluster.next_configuration();
    auto disk_count = std::make_shared<int>(-1);
    cluster.operate([&cluster, body, disk_count](operator_client& operations) -> task<void> {
      auto is_acknowledged = co_await operations.put(2, body);
      if (is_acknowledged)
        *disk_count = cluster.control_nodes_with(body);
      cluster.network.stopped = true;
    });
    auto deadline = cluster.network.clock + 10 * second;
    while (*disk_count < 0 && cluster.network.clock < deadline)
      cluster.network.run(cluster.network.clock + 10 * millisecond);
    CHECK(*disk_count >= 2);
  }
}
// A configuration must not be reported as in force while a frozen gateway still has a valid lease.
TEST(protections, in_force_waits_for_each_lease) {
  auto cluster = fleet(24, shape_without_clients());
  CHECK(cluster.begin());
  cluster.network.run(cluster.network.clock + second);
  for (auto& name : cluster.names("f1"))
    cluster.freeze(name, true);
  CHECK(cluster.processes.at("forager-1")->gateway->ready());
  auto body = cluster.next_configuration();
  auto outdated_gateway = std::make_shared<std::string>("never held");
  cluster.operate([&cluster, body, outdated_gateway](operator_client& operations) -> task<void> {
    auto is_in_force = co_await operations.put(2, body);
    if (is_in_force)
      is_in_force = co_await operations.await_in_force(2, cluster.outside->now() + 20 * second);
    if (is_in_force)
      *outdated_gateway = cluster.gateway_with_older_configuration(2);
    cluster.network.stopped = true;
  });
  auto deadline = cluster.network.clock + 20 * second;
  while (cluster.operating && cluster.network.clock < deadline)
    cluster.network.run(cluster.network.clock + 10 * millisecond);
  STRCMP_EQUAL("", outdated_gateway->c_str());
}
// A node that returns with another disk has lost its replica. Neither a takeover nor a replacement of the replica waits
// for the failure timeout of the lost replica (design 6.5).
TEST(protections, a_lost_disk_does_not_delay_the_takeover) {
  for (auto loses_primary : {true, false}) {
    auto cluster = fleet(28, shape_without_clients());
    CHECK(cluster.begin());
    auto partition = std::string("alerts/0");
    auto lost_node = loses_primary ? cluster.primary_of(partition) : cluster.backup_of(partition);
    auto remaining_node = loses_primary ? cluster.backup_of(partition) : cluster.primary_of(partition);
    cluster.power("all", false);
    cluster.lose_disk(lost_node);
    cluster.power("all", true);
    auto& storage = *cluster.processes.at(remaining_node)->storage;
    auto detected_at = never, restored_at = never;
    auto deadline = cluster.network.clock + 10 * second;
    while (restored_at == never && cluster.network.clock < deadline) {
      cluster.network.run(cluster.network.clock + 10 * millisecond);
      const auto* descriptor = storage.session.view.find(lost_node);
      if (detected_at == never && storage.session.is_synchronized() && descriptor && !descriptor->disk_id.empty())
        detected_at = cluster.network.clock;
      if (const auto* replica = storage.held_partition(partition)) {
        auto status = replica->status();
        auto backup = get_string(status, "back");
        if (get_string(status, "role") == "primary" &&
            get_bool(get_value(get_value(status, "copies"), backup.c_str()), "joined")) {
          const auto* backup_descriptor = storage.session.view.find(node_of_member(backup));
          if (backup_descriptor && backup_descriptor->member() == backup)
            restored_at = cluster.network.clock;
        }
      }
    }
    CHECK(restored_at != never);
    CHECK(restored_at - detected_at < cluster.processes.at(remaining_node)->settings.failure_timeout / 2);
  }
}
// After a power loss of all machines, a leader is elected as soon as the quiet period of the voters is over. Gateways
// get leases soon afterwards, and partitions have primaries as soon as their storage nodes have received the replicated
// state.
TEST(protections, recovery_from_total_power_loss_waits_only_for_the_quiet_period) {
  for (auto seed : {31, 32, 33, 34, 35, 36}) {
    auto cluster = fleet(static_cast<std::uint64_t>(seed), shape_without_clients());
    CHECK(cluster.begin());
    auto settings = cluster.processes.at("queen-1")->settings;
    cluster.power("all", false);
    cluster.power("all", true);
    auto started_at = cluster.network.clock;
    auto elected_at = never;
    auto synchronized_at = std::map<std::string, monotonic_time>(), primary_since = synchronized_at,
         serving_since = synchronized_at;
    while (cluster.network.clock < started_at + 3 * second) {
      cluster.network.run(cluster.network.clock + 5 * millisecond);
      if (elected_at == never && !cluster.leader().empty())
        elected_at = cluster.network.clock;
      for (const auto& name : cluster.names("forager"))
        if (cluster.processes.at(name)->gateway->is_serving())
          serving_since.emplace(name, cluster.network.clock);
      for (const auto& name : cluster.names("comb")) {
        auto& storage = *cluster.processes.at(name)->storage;
        if (storage.session.is_synchronized())
          synchronized_at.emplace(name, cluster.network.clock);
        for (const auto& [partition, assignment] : storage.session.view.partitions)
          if (const auto* replica = storage.held_partition(partition);
              replica && replica->is_primary() && node_of_member(assignment.primary) == name)
            primary_since.emplace(name + " " + partition, cluster.network.clock);
      }
    }
    CHECK(elected_at >= started_at + settings.failure_timeout * 3 / 8);
    CHECK(elected_at < started_at + settings.failure_timeout * 3 / 8 + settings.heartbeat_interval);
    LONGS_EQUAL(3, serving_since.size());
    for (const auto& [name, time] : serving_since)
      CHECK(time - elected_at < settings.heartbeat_interval * 3 / 2);
    CHECK(primary_since.size() >= 4);
    for (const auto& [place, time] : primary_since)
      CHECK(time - synchronized_at.at(place.substr(0, place.find(' '))) < settings.heartbeat_interval / 2);
  }
}
// A control node without contact to the leader only grants the remaining time of earlier leases. A node that has its
// session there must move to another control node before its lease expires.
TEST(protections, a_node_changes_its_control_node_before_its_lease_expires) {
  auto cluster = fleet(41, shape_without_clients());
  CHECK(cluster.begin());
  auto leader = cluster.leader();
  auto checked_nodes = 0;
  for (const auto& name : cluster.names("scout")) {
    auto& agent = *cluster.processes.at(name)->agent;
    auto control_node = std::string();
    for (const auto& candidate : cluster.names("queen"))
      if (cluster.processes.at(candidate)->settings.address == agent.session.endpoint())
        control_node = candidate;
    if (control_node == leader)
      continue;
    ++checked_nodes;
    const auto& control_machine = cluster.processes.at(control_node)->machine->name;
    const auto& leader_machine = cluster.processes.at(leader)->machine->name;
    cluster.network.cut(control_machine, leader_machine);
    cluster.network.cut(leader_machine, control_machine);
    auto deadline = cluster.network.clock + 6 * second;
    auto time_without_lease = monotonic_time{0};
    while (cluster.network.clock < deadline) {
      cluster.network.run(cluster.network.clock + 10 * millisecond);
      if (!agent.session.has_lease())
        time_without_lease += 10 * millisecond;
    }
    CHECK(agent.session.endpoint() != cluster.processes.at(control_node)->settings.address);
    LONGS_EQUAL(0, time_without_lease);
    break;
  }
  LONGS_EQUAL(1, checked_nodes);
}
TEST_GROUP(disk_formats){};
// This version opens disks that the first release wrote in format 1.
TEST(disk_formats, disks_of_format_1_open) {
  auto file = std::string(REACHRIDGE_SOURCE) + "/fixtures/format-1.json";
  if (const auto* output_file = std::getenv("REACHRIDGE_SAVE_DISKS")) {  // writes the fixture instead
    auto cluster = fleet(11, shape_without_clients());
    CHECK(cluster.begin());
    for (auto i = 1; i <= 3; ++i)
      LONGS_EQUAL(200, call_gateway(cluster, "POST", "/v1/publish",
                                    R"({"name":"old","topic":"alerts/x","seq":)" + std::to_string(i) +
                                        R"(,"body":"word )" + std::to_string(i) + "\"}")
                           .status);
    cluster.power("all", false);
    cluster.save_disks(output_file);
    return;
  }
  auto cluster = fleet(12, shape_without_clients());
  cluster.load_disks(file);
  for (auto& name : cluster.names("all"))
    cluster.start(name);
  cluster.network.run(cluster.network.clock + 10 * second);
  auto reply = call_gateway(cluster, "GET", "/v1/read?name=me&topic=alerts/x&after=0", "");
  LONGS_EQUAL(200, reply.status);
  LONGS_EQUAL(3, get_array(reply.body, "rows").size());
  STRCMP_EQUAL("word 2", get_string(get_array(reply.body, "rows")[1], "body").c_str());
  reply = call_gateway(cluster, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":3,"body":"word 3"})");
  CHECK(get_bool(reply.body, "repeat"));
  LONGS_EQUAL(
      200,
      call_gateway(cluster, "POST", "/v1/publish", R"({"name":"old","topic":"alerts/x","seq":4,"body":"new"})").status);
}
TEST(disk_formats, foreign_or_damaged_data_is_refused_with_the_reason) {
  auto refuses = [](const std::string& name, const std::string& key, const std::string& content,
                    const std::string& reason) {
    auto cluster = fleet(13, shape_without_clients());
    auto nodes = cluster.names(name);
    cluster.processes.at(name)->machine->durable[key] = content;
    try {
      cluster.start(name);
    } catch (const request_error& error) {
      STRCMP_CONTAINS(reason.c_str(), error.message.c_str());
      return;
    } catch (const decode_error& error) {
      STRCMP_CONTAINS(reason.c_str(), error.what());
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
// Runs until `done` returns true or `limit` has passed. Returns the elapsed time.
auto run_until(fleet& cluster, monotonic_time limit, const std::function<bool()>& done) -> monotonic_time {
  auto started_at = cluster.network.clock;
  while (!done() && cluster.network.clock < started_at + limit)
    cluster.network.run(cluster.network.clock + millisecond);
  return cluster.network.clock - started_at;
}
}  // namespace
// A closed connection and a refused reconnection prove that the process has ended. The takeover then does not wait for
// the failure timeout (design 6.5).
TEST(takeover, a_killed_primary_is_replaced_at_once_and_a_silent_one_after_the_timeout) {
  auto partition = std::string("alerts/0");
  for (auto is_silent : {false, true}) {
    auto cluster = fleet(41, shape_without_clients());
    CHECK(cluster.begin());
    auto old_primary = cluster.primary_of(partition);
    auto failure_timeout = cluster.processes.at(old_primary)->settings.failure_timeout;
    if (is_silent)
      cluster.power(cluster.processes.at(old_primary)->machine->name, false);
    else
      cluster.kill(old_primary);
    auto elapsed = run_until(cluster, 3 * second, [&] {
      return !cluster.primary_of(partition).empty();
    });
    if (is_silent)
      CHECK(elapsed > failure_timeout * 9 / 10 && elapsed < failure_timeout * 3 / 2);
    else
      CHECK(elapsed < 100 * millisecond);
  }
}
// A partition with retention gets a new backup right after its backup is killed, before clients have to retry twice.
TEST(takeover, a_killed_backup_is_replaced_at_once) {
  auto shape = shape_without_clients();
  shape.storage_nodes = 4;
  shape.zones = 4;
  auto cluster = fleet(42, shape);
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto primary = cluster.primary_of(partition), old_backup = cluster.backup_of(partition);
  cluster.kill(old_backup);
  auto elapsed = run_until(cluster, 3 * second, [&] {
    return cluster.backup_of(partition) != old_backup;
  });
  CHECK(elapsed < 100 * millisecond);
  STRCMP_EQUAL(primary.c_str(), cluster.primary_of(partition).c_str());
}
// A primary keeps its partitions if all its connections close but its process still accepts connections.
TEST(takeover, a_live_primary_with_closed_connections_stays_primary) {
  auto cluster = fleet(43, shape_without_clients());
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto primary = cluster.primary_of(partition);
  auto backup_address = cluster.processes.at(cluster.backup_of(partition))->settings.address;
  auto epoch = cluster.processes.at(primary)->storage->session.view.partitions.at(partition).epoch;
  for (auto i = 0; i < 3; ++i) {
    cluster.processes.at(primary)->storage->peer(backup_address).active->close();
    cluster.network.run(cluster.network.clock + 500 * millisecond);
  }
  STRCMP_EQUAL(primary.c_str(), cluster.primary_of(partition).c_str());
  LONGS_EQUAL(epoch, cluster.processes.at(primary)->storage->session.view.partitions.at(partition).epoch);
}
// The voters' quiet period protects a live leader. A killed leader is replaced at once, a silent one only after the
// quiet period (design 4.4).
TEST(takeover, a_killed_leader_is_replaced_at_once_and_a_silent_one_after_the_timeout) {
  for (auto is_silent : {false, true}) {
    auto cluster = fleet(44, shape_without_clients());
    CHECK(cluster.begin());
    auto old_leader = cluster.leader();
    auto quiet_period = cluster.processes.at(old_leader)->settings.failure_timeout * 3 / 8;
    if (is_silent)
      cluster.power(cluster.processes.at(old_leader)->machine->name, false);
    else
      cluster.kill(old_leader);
    auto elapsed = run_until(cluster, 5 * second, [&] {
      return !cluster.leader().empty();
    });
    if (is_silent)
      CHECK(elapsed > quiet_period * 3 / 4);
    else
      CHECK(elapsed < 150 * millisecond);
  }
}
// While a backup is replaced, acknowledgements of the old backup still release entries. The new backup may take over as
// soon as the replicated log lists it as in sync, so it must then have every released entry (design 6.6).
TEST(protections, an_in_sync_backup_has_all_released_entries) {
  auto shape = fleet_shape();
  shape.clients = 24;
  shape.every = 20 * millisecond;
  shape.pipeline = 8;
  shape.partitions = 1;
  shape.keep_low = 35;
  auto completed_moves = 0;
  for (auto seed : {41, 42}) {
    auto cluster = fleet(static_cast<std::uint64_t>(seed), shape);
    CHECK(cluster.begin());
    cluster.network.run(cluster.network.clock + second);
    auto partition = std::string("alerts/0");
    auto primary = cluster.primary_of(partition), old_backup = cluster.backup_of(partition), new_backup = std::string();
    for (const auto& name : cluster.names("comb"))
      if (name != primary && name != old_backup)
        new_backup = name;
    cluster.processes.at(new_backup)->machine->sync_cost = 60 * millisecond;  // the new backup lags behind the old one
    cluster.operate([&](operator_client& operations) -> task<void> {
      return [](operator_client& operator_, std::string name) -> task<void> {
        co_await operator_.leave(name, "drain", 10 * second);
      }(operations, old_backup);
    });
    auto deadline = cluster.network.clock + 8 * second;
    auto released_index = std::int64_t{0};
    while (cluster.backup_of(partition) != new_backup && cluster.network.clock < deadline) {
      if (const auto* replica = cluster.processes.at(primary)->storage->held_partition(partition);
          replica && replica->is_primary())
        released_index = get_int(replica->status(), "spoken");
      cluster.network.run(cluster.network.clock + millisecond);
    }
    if (cluster.backup_of(partition) != new_backup || cluster.primary_of(partition) != primary)
      continue;
    ++completed_moves;
    const auto* new_replica = cluster.processes.at(new_backup)->storage->held_partition(partition);
    CHECK(new_replica != nullptr);
    CHECK(released_index > 0);
    CHECK(get_int(new_replica->status(), "solid") >= released_index);
  }
  CHECK(completed_moves >= 2);
}
