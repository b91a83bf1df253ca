// Simulated clusters that consist of control nodes only, and helpers for the tests of the replicated log.
#pragma once
#include <algorithm>
#include <set>
#include <sstream>
#include <string>

#include "simulator/fleet.hpp"

namespace reachridge::raft_tests {

// Returns the shape of a cluster of `count` control nodes without storage nodes, gateways and clients.
inline auto control_nodes_only(std::int64_t count) -> fleet_shape {
  auto shape = fleet_shape();
  shape.control_nodes = count;
  shape.storage_nodes = shape.gateways = shape.clients = 0;
  return shape;
}
// Returns the names of the leader's list of voters, each followed by a space.
inline auto voter_names(const fleet& cluster) -> std::string {
  auto out = std::string();
  auto lead = cluster.leader();
  if (lead.empty())
    return "none leads";
  for (const auto& member : cluster.processes.at(lead)->control->raft.voters())
    for (const auto& name : cluster.names("queen"))
      if (cluster.processes.at(name)->settings.address == member.address)
        out += name + " ";
  return out;
}
// Sorts the names in a string of names that are separated by spaces.
inline auto sorted(std::string names) -> std::string {
  auto in = std::istringstream(names);
  auto sorted_names = std::set<std::string>();
  for (auto name = std::string(); in >> name;)
    sorted_names.insert(name);
  names.clear();
  for (const auto& name : sorted_names)
    names += name + " ";
  return names;
}
// Runs the simulation for `span` of simulated time.
inline auto run_for(fleet& cluster, monotonic_time span) -> void {
  cluster.network.run(cluster.network.clock + span);
}
// Starts all control nodes and runs long enough for them to elect a leader.
inline auto start_all(fleet& cluster) -> void {
  for (const auto& name : cluster.names("queen"))
    cluster.start(name);
  run_for(cluster, 4 * second);
}
inline auto address_of(const fleet& cluster, const std::string& name) -> std::string {
  return cluster.processes.at(name)->settings.address;
}
inline auto raft_of(fleet& cluster, const std::string& name) -> consensus& {
  return cluster.processes.at(name)->control->raft;
}
// Returns a running control node other than `name`; an empty string if there is none.
inline auto other_control_node(const fleet& cluster, const std::string& name) -> std::string {
  for (const auto& other : cluster.names("queen"))
    if (other != name && cluster.processes.at(other)->up())
      return other;
  return {};
}

// Returns whether the current disk of the control node `name` is a voter according to the leader.
inline auto is_voter(fleet& cluster, const std::string& name) -> bool {
  auto lead = cluster.leader();
  if (lead.empty() || !cluster.processes.at(name)->up())
    return false;
  const auto& voters = raft_of(cluster, lead).voters();
  return std::find(voters.begin(), voters.end(), voter{address_of(cluster, name), raft_of(cluster, name).disk_id()}) !=
         voters.end();
}

// The outcome of a call to the replicated log of one control node: the reply as JSON, the error code, or "no answer"
// until the call ends.
using call_outcome = std::shared_ptr<std::string>;
// Starts `call` on the control node `name`. The returned outcome is updated when the call ends.
inline auto call_raft(fleet& cluster, const std::string& name, std::function<task<value>(consensus&, host&)> call)
    -> call_outcome {
  auto out = std::make_shared<std::string>("no answer");
  auto& process = *cluster.processes.at(name);
  process.test_tasks->spawn([](consensus& log, host& process_host, std::function<task<value>(consensus&, host&)> send,
                               call_outcome result) -> task<void> {
    try {
      auto answer = co_await send(log, process_host);
      *result = to_json(answer);
    } catch (const request_error& error) {
      *result = error.code_text();
    } catch (const std::exception&) {
      *result = "malformed";
    }
  }(process.control->raft, *process.host, std::move(call), out));
  return out;
}
// Returns a command that drains a node. It makes the state larger by the length of `name`.
inline auto drain_command(const std::string& name) -> value {
  return object{{"k", "leave"}, {"name", name}, {"kind", "drain"}};
}
inline auto cancel_drain_command(const std::string& name) -> value {
  return object{{"k", "stay"}, {"name", name}};
}
inline auto propose_at(fleet& cluster, const std::string& name, const value& command) -> call_outcome {
  return call_raft(cluster, name, [command](consensus& log, host& process_host) -> task<value> {
    auto copy = command;
    co_return co_await log.propose(std::move(copy), process_host.now() + second);
  });
}
inline auto propose(fleet& cluster, const value& command) -> call_outcome {
  auto lead = cluster.leader();
  if (lead.empty())
    return std::make_shared<std::string>("no_leader");
  return propose_at(cluster, lead, command);
}
inline auto send_request(fleet& cluster, const std::string& name, const value& request) -> call_outcome {
  return call_raft(cluster, name, [request](consensus& log, host&) -> task<value> {
    auto operation = get_string(request, "op");
    auto message = request;
    co_return co_await log.handle_request(std::move(operation), std::move(message));
  });
}
// Runs the simulation until `done` returns true, and returns the simulated duration. A result of at least `limit` means
// that `done` did not return true in time.
inline auto run_until(fleet& cluster, monotonic_time limit, const std::function<bool()>& done) -> monotonic_time {
  auto started_at = cluster.network.clock;
  while (!done() && cluster.network.clock - started_at < limit)
    run_for(cluster, 10 * millisecond);
  return cluster.network.clock - started_at;
}

// Starts the control nodes and then one more at a new address, and waits until it no longer counts as lost; it has
// become a voter by then. Returns its name.
inline auto start_with_newcomer(fleet& cluster) -> std::string {
  constexpr auto newcomer_time = 4 * second;
  start_all(cluster);
  auto newcomer = cluster.add_control_node();
  cluster.start(newcomer);
  run_for(cluster, newcomer_time);
  return newcomer;
}
inline auto lose_disk_and_restart(fleet& cluster, const std::string& name) -> void {
  constexpr auto downtime = 1 * second;
  cluster.kill(name);
  cluster.lose_disk(name);
  run_for(cluster, downtime);
  cluster.start(name);
}
// Returns whether the log acknowledges a command within `limit`.
inline auto serves_again(fleet& cluster, const std::string& command, monotonic_time limit) -> bool {
  constexpr auto answer_limit = 500 * millisecond;
  auto deadline = cluster.network.clock + limit;
  while (cluster.network.clock < deadline) {
    auto answer = propose(cluster, drain_command(command));
    auto took = run_until(cluster, answer_limit, [&] {
      return *answer == "{\"ok\":true}";
    });
    if (took < answer_limit)
      return true;
  }
  return false;
}

}  // namespace reachridge::raft_tests
