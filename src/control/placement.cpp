// Placement at the leader: assigns new partitions, evens out load, completes drains, recreates partitions that lost all
// replicas (design 5.5, 5.6). What goes where is decided in placement_policy.cpp.
#include <algorithm>

#include "control/control_node.hpp"
#include "control/placement_policy.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto transient_replicas = std::int64_t{2};  // of a pool whose messages are not kept
constexpr auto move_timeout = 5;                      // in failure timeouts: then another move is chosen

auto is_storage_node(const node_descriptor& node) -> bool {
  return node.kind == "comb" && !node.disk_id.empty();
}

auto members_of(const std::vector<node_descriptor>& nodes) -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& node : nodes)
    out.push_back(node.member());
  return out;
}

// An assignment to these nodes, the first of them as the primary.
auto assign_to(const std::vector<node_descriptor>& nodes, epoch_number current_epoch, const std::string& reason)
    -> partition_assignment {
  auto out = partition_assignment();
  out.epoch = current_epoch;
  out.primary = nodes.front().member();
  out.in_sync_replicas = members_of(nodes);
  out.reason = reason;
  return out;
}

}  // namespace

auto control_node::live_storage_nodes() const -> std::map<std::string, node_descriptor> {
  auto out = node_table();
  for (const auto& [name, node] : view_.nodes())
    if (is_storage_node(node) && !view_.is_draining(node))
      out[name] = node;
  return out;
}

auto control_node::storage_nodes_at_need() const -> std::map<std::string, node_descriptor> {
  auto out = live_storage_nodes();
  auto zones = std::set<std::string>();
  for (const auto& [name, node] : out)
    zones.insert(node.zone);
  if (zones.size() >= 2)
    return out;
  for (const auto& [name, node] : view_.nodes()) {
    auto drains_by_name = state.drains.count(name) > 0;
    if (is_storage_node(node) && !node.stopping && !drains_by_name)
      out[name] = node;
  }
  return out;
}

auto control_node::nodes_without(const std::string& name) const -> node_zones {
  auto out = node_zones();
  auto positions = std::map<std::string, std::size_t>();
  auto add = [&](const std::string& node, const std::string& zone) {
    auto [position, added] = positions.emplace(node, out.size());
    if (added)
      out.push_back({node, ""});
    out[position->second].zone = zone;
  };
  for (const auto& [id, assignment] : state.partitions)
    for (const auto& member : assignment.in_sync_replicas)
      if (node_of_member(member) != name)
        add(node_of_member(member), "");
  for (const auto& [node_name, node] : view_.nodes())
    if (is_storage_node(node) && !node.stopping && node_name != name)
      add(node_name, node.zone);
  return out;
}

auto control_node::replicas_of(const std::string& pool) const -> std::int64_t {
  if (!state.configuration)
    return transient_replicas;
  auto it = state.configuration->pools.find(pool);
  auto keeps_messages = it != state.configuration->pools.end() && it->second.keep_ms > 0;
  return keeps_messages ? settings_.replicas : transient_replicas;
}

auto control_node::is_live(const std::string& member) const -> bool {
  const auto* node = view_.find(node_of_member(member));
  return node && node->member() == member;
}

auto control_node::on_choose_replica(const value& encoded) -> value {
  auto request = backup_request::from_value(encoded);
  auto replicas_by_zone = std::map<std::string, int>{{request.primary_zone, 1}};
  for (const auto& member : request.kept_members)
    if (const auto* node = view_.find(node_of_member(member)))
      ++replicas_by_zone[node->zone];
  // A partition with a second replica waits for a storage node outside of the evacuated zones; one without takes any.
  auto row = state.partitions.find(request.partition);
  auto backups = row == state.partitions.end() ? std::vector<std::string>() : row->second.backups();
  auto has_backup = std::any_of(backups.begin(), backups.end(), [&](const auto& member) {
    return is_live(member);
  });
  auto nodes = has_backup ? live_storage_nodes() : storage_nodes_at_need();
  auto loads = partition_loads(state.partitions);
  for (const auto& [name, count] : chosen_counts_)
    loads[name] += count;
  auto chosen = choose_backup(request, replicas_by_zone, nodes, loads);
  if (!chosen)
    throw request_error(errc::no_room, "no comb in another locality can take a copy", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  ++chosen_counts_[chosen->name];
  return encode_chosen_backup(*chosen);
}

auto control_node::place_partitions() -> task<void> {
  while (true) {
    co_await sleep_for(host_, settings_.heartbeat_interval);
    if (!may_grant_leases() || !state.configuration)
      continue;
    chosen_counts_.clear();
    balance();
    try {
      co_await assign_new_partitions();
      co_await recreate_lost_partitions();
      co_await complete_drains();
    } catch (const request_error& error) {
      reachridge::log(log_level::info, settings_.name, std::string("placement waits: ") + error.what());
    }
  }
}

auto control_node::propose_as_leader(const control_command& command) -> task<void> {
  auto encoded = encode(command);
  co_await raft.propose(std::move(encoded), host_.now() + settings_.failure_timeout);
}

auto control_node::assign_new_partitions() -> task<void> {
  auto nodes = storage_nodes_at_need();
  auto loads = partition_loads(state.partitions);
  auto configuration = state.configuration;  // a newer one may be applied meanwhile
  for (const auto& [name, pool] : configuration->pools)
    co_await assign_new_partitions_of(name, pool.partitions, nodes, loads);
}

auto control_node::assign_new_partitions_of(const std::string& pool, std::int64_t count, const node_table& nodes,
                                            load_table& loads) -> task<void> {
  for (auto number = std::int64_t{0}; number < count; ++number) {
    auto id = pool + "/" + std::to_string(number);
    auto row = state.partitions.find(id);
    if (row != state.partitions.end() && row->second.epoch > 0)
      continue;
    auto replicas = choose_replicas(nodes_by_load(nodes, loads), replicas_of(pool));
    if (replicas.empty())
      break;
    for (const auto& node : replicas)
      loads[node.name] += node.name == replicas.front().name ? primary_load : backup_load;
    auto command = control_command(assignment_command{id, assign_to(replicas, 0, "placed")});
    co_await propose_as_leader(command);
    if (!may_grant_leases())
      break;
  }
}

// Those whose messages are not kept; for others an operator has to order it.
auto control_node::recreate_lost_partitions() -> task<void> {
  auto lost = std::vector<std::string>();
  for (const auto& [id, assignment] : state.partitions) {
    auto pool = state.configuration->pools.find(pool_of_partition(id));
    auto is_transient = pool != state.configuration->pools.end() && pool->second.keep_ms == 0;
    if (is_transient && all_lost(assignment))
      lost.push_back(id);
  }
  for (const auto& id : lost)
    co_await recreate_partition(id, false);
}

auto control_node::complete_drains() -> task<void> {
  auto emptied = std::vector<std::string>();
  for (const auto& [name, drain] : state.drains) {
    auto node_drains = !drain.completed && zone_of_key(name).empty();
    if (node_drains && state.partitions_of(name).empty())
      emptied.push_back(name);
  }
  for (const auto& name : emptied) {
    auto command = control_command(complete_drain_command{name});
    co_await propose_as_leader(command);
  }
}

auto control_node::all_lost(const partition_assignment& assignment) const -> bool {
  const auto& replicas = assignment.in_sync_replicas;
  if (replicas.empty())
    return false;
  return std::all_of(replicas.begin(), replicas.end(), [&](const auto& member) {
    const auto* node = view_.find(node_of_member(member));
    return node && !node->disk_id.empty() && node->member() != member;
  });
}

auto control_node::recreate_partition(std::string id, bool forsake) -> task<value> {
  auto by_load = nodes_by_load(storage_nodes_at_need(), partition_loads(state.partitions));
  if (by_load.empty())
    throw request_error(errc::no_room, "no comb is there", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  auto replicas = choose_replicas(by_load, replicas_of(pool_of_partition(id)));
  if (replicas.empty())
    throw request_error(errc::no_room, "no comb in a second locality", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  reachridge::log(log_level::warning, settings_.name, id + ": all replicas are lost; the partition is recreated");
  auto assignment = assign_to(replicas, state.partitions[id].epoch, "founded again");
  auto command = encode(recreation_command{id, std::move(assignment), forsake});
  co_return co_await propose(std::move(command));
}

auto control_node::moves_for(const std::string& name) const -> array {
  auto out = array();
  for (const auto& move : moves_)
    if (move.primary == name)
      out.push_back(move.to_value());
  return out;
}

auto control_node::balance() -> void {
  if (!moves_.empty()) {
    if (!is_under_way(moves_.front()))
      moves_.clear();
    return;  // a pause before the next
  }
  auto nodes = live_storage_nodes();
  auto too_soon = host_.now() - moves_requested_at_ < settings_.failure_timeout;
  if (nodes.size() < 2 || too_soon)
    return;
  auto move = choose_move(state.partitions, nodes, partition_loads(state.partitions));
  if (!move)
    return;
  moves_ = {*move};
  moves_requested_at_ = host_.now();
  auto what = move->hands_over() ? ": requests that " + move->primary + " hands it over to " + move->new_primary
                                 : ": requests a backup on " + move->backup;
  reachridge::log(log_level::info, settings_.name, move->partition + what);
}

auto control_node::is_under_way(const replica_move& move) -> bool {
  const auto& assignment = state.partitions[move.partition];
  auto same_primary = node_of_member(assignment.primary) == move.primary;
  auto done = move.hands_over() ? !same_primary : assignment.has_in_sync_replica_on(move.backup);
  auto timed_out = host_.now() - moves_requested_at_ >= settings_.failure_timeout * move_timeout;
  return !done && same_primary && !timed_out;
}

}  // namespace reachridge
