// Simulated fleets of control nodes alone, for the tests of the replicated log.
#pragma once
#include <algorithm>
#include <set>
#include <sstream>
#include <string>

#include "simulator/fleet.hpp"

namespace reachridge::raft_tests {

// Control nodes alone, with the seeds given, none of them started yet.
inline auto control_nodes_only(std::int64_t count) -> fleet_shape {
  auto shape = fleet_shape();
  shape.control_nodes = count;
  shape.storage_nodes = shape.gateways = shape.clients = 0;
  return shape;
}
// The names of the voters as the leader has them, each with a space behind it.
inline auto voter_names(const fleet& cluster) -> std::string {
  auto out = std::string();
  auto lead = cluster.leader();
  if (lead.empty())
    return "none leads";
  for (const auto& one : cluster.processes.at(lead)->control->raft.voters())
    for (const auto& name : cluster.names("queen"))
      if (cluster.processes.at(name)->settings.address == one.address)
        out += name + " ";
  return out;
}
inline auto sorted(std::string names) -> std::string {
  auto in = std::istringstream(names);
  auto all = std::set<std::string>();
  for (auto one = std::string(); in >> one;)
    all.insert(one);
  names.clear();
  for (const auto& one : all)
    names += one + " ";
  return names;
}
inline auto run_for(fleet& cluster, monotonic_time span) -> void {
  cluster.network.run(cluster.network.clock + span);
}
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
// A control node that does not lead.
inline auto other_control_node(const fleet& cluster, const std::string& name) -> std::string {
  for (const auto& other : cluster.names("queen"))
    if (other != name && cluster.processes.at(other)->up())
      return other;
  return {};
}

// Whether the disk that is there now is a voter, as the leader has them.
inline auto is_voter(fleet& cluster, const std::string& name) -> bool {
  auto lead = cluster.leader();
  if (lead.empty() || !cluster.processes.at(name)->up())
    return false;
  const auto& all = raft_of(cluster, lead).voters();
  return std::find(all.begin(), all.end(), voter{address_of(cluster, name), raft_of(cluster, name).disk_id()}) !=
         all.end();
}

// What a call to the log of one control node came to: its answer as text, or the code of its error.
using call_outcome = std::shared_ptr<std::string>;
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
// A command that makes the state larger by its name: an evacuation of a node of that name.
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
// Runs until `done` says so, and gives how long that took; `most` and more: it did not.
inline auto run_until(fleet& cluster, monotonic_time most, const std::function<bool()>& done) -> monotonic_time {
  auto began = cluster.network.clock;
  while (!done() && cluster.network.clock - began < most)
    run_for(cluster, 10 * millisecond);
  return cluster.network.clock - began;
}

}  // namespace reachridge::raft_tests
