// Placement at the leader: assigns new partitions, balances load, completes drains and recreates partitions that have
// lost all replicas (design 5.5, 5.6). placement_policy.cpp chooses the nodes.
#include <algorithm>

#include "cluster/node_kind.hpp"
#include "control/control_node.hpp"
#include "control/placement_policy.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto transient_replicas = std::int64_t{2};  // replicas in a pool that retains no messages
constexpr auto move_timeout_factor = 5;               // in failure timeouts, after which another move is chosen

auto holds_data(const node_descriptor& node) -> bool {
  return node.kind == node_kind::storage && !node.disk_id.empty();
}

auto is_storage_node(const node_descriptor& node) -> bool {
  return holds_data(node) && !node.reserve;
}

auto members_of(const std::vector<node_descriptor>& nodes) -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& node : nodes)
    out.push_back(node.member());
  return out;
}

// Returns an assignment to these nodes with the first node as the primary.
auto make_assignment(const std::vector<node_descriptor>& nodes, epoch_number current_epoch, const std::string& reason)
    -> partition_assignment {
  auto out = partition_assignment();
  out.epoch = current_epoch;
  out.primary = nodes.front().member();
  out.in_sync_replicas = members_of(nodes);
  out.reason = reason;
  return out;
}

}  // namespace

auto control_node::available_storage_nodes() const -> std::map<std::string, node_descriptor> {
  auto out = node_table();
  for (const auto& [name, node] : view_.nodes())
    if (is_storage_node(node) && !view_.is_draining(node))
      out[name] = node;
  return out;
}

auto control_node::available_reserves() const -> node_table {
  auto out = node_table();
  for (const auto& [name, node] : view_.nodes())
    if (holds_data(node) && node.reserve && !view_.is_draining(node))
      out[name] = node;
  return out;
}

auto control_node::lacks_storage_nodes() const -> bool {
  if (settings_.replicas < min_replicas_with_reserve || state.partitions.empty())
    return false;
  return static_cast<std::int64_t>(available_storage_nodes().size()) < settings_.replicas;
}

auto control_node::storage_nodes_with_fallback() const -> std::map<std::string, node_descriptor> {
  auto out = available_storage_nodes();
  auto zones = std::set<std::string>();
  for (const auto& [name, node] : out)
    zones.insert(node.zone);
  if (zones.size() >= 2)
    return out;
  for (const auto& [name, node] : view_.nodes()) {
    auto is_drained_by_name = state.drains.count(name) > 0;
    if (is_storage_node(node) && !node.stopping && !is_drained_by_name)
      out[name] = node;
  }
  return out;
}

auto control_node::nodes_remaining_without(const std::string& name) const -> node_zones {
  auto out = node_zones();
  auto positions = std::map<std::string, std::size_t>();
  auto add = [&](const std::string& node, const std::string& zone) {
    auto [position, added] = positions.emplace(node, out.size());
    if (added)
      out.push_back({node, ""});
    out[position->second].zone = zone;
  };
  auto is_reserve = [&](const std::string& node_name) {
    const auto* node = view_.find(node_name);
    return node && node->reserve;
  };
  for (const auto& [id, assignment] : state.partitions)
    for (const auto& member : assignment.in_sync_replicas)
      if (node_of_member(member) != name && !is_reserve(node_of_member(member)))
        add(node_of_member(member), "");
  for (const auto& [node_name, node] : view_.nodes())
    if (is_storage_node(node) && !node.stopping && node_name != name)
      add(node_name, node.zone);
  return out;
}

auto control_node::replica_count_of(const std::string& pool) const -> std::int64_t {
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
  // A partition with a live backup waits for a storage node outside the evacuated zones. A partition without one
  // accepts a node in an evacuated zone.
  auto current = state.partitions.find(request.partition);
  auto backups = current == state.partitions.end() ? std::vector<std::string>() : current->second.backups();
  auto has_backup = std::any_of(backups.begin(), backups.end(), [&](const auto& member) {
    return is_live(member);
  });
  auto nodes = has_backup ? available_storage_nodes() : storage_nodes_with_fallback();
  auto loads = partition_loads(state.partitions);
  for (const auto& [name, count] : chosen_backups_by_node_)
    loads[name] += count;
  auto chosen = choose_backup(request, replicas_by_zone, nodes, loads);
  if (!chosen && lacks_storage_nodes())
    chosen = choose_backup(request, replicas_by_zone, available_reserves(), loads);
  if (!chosen)
    throw request_error(errc::no_room, "no storage node in another zone can take a replica",
                        execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  ++chosen_backups_by_node_[chosen->name];
  return encode_chosen_backup(*chosen);
}

auto control_node::place_partitions() -> task<void> {
  while (true) {
    co_await sleep_for(host_, settings_.heartbeat_interval);
    if (!may_grant_leases() || !state.configuration)
      continue;
    chosen_backups_by_node_.clear();
    balance_load();
    try {
      co_await assign_new_partitions();
      co_await recreate_lost_partitions();
      co_await complete_drains();
    } catch (const request_error& error) {
      reachridge::log(log_level::info, settings_.name, std::string("placement is delayed: ") + error.what());
    }
  }
}

auto control_node::propose_as_leader(const control_command& command) -> task<void> {
  auto encoded = encode(command);
  co_await raft.propose(std::move(encoded), host_.now() + settings_.failure_timeout);
}

auto control_node::assign_new_partitions() -> task<void> {
  auto nodes = storage_nodes_with_fallback();
  auto loads = partition_loads(state.partitions);
  auto configuration = state.configuration;  // a newer configuration may be applied during the loop
  for (const auto& [name, pool] : configuration->pools)
    co_await assign_new_partitions_of(name, pool.partitions, nodes, loads);
}

auto control_node::assign_new_partitions_of(const std::string& pool, std::int64_t count, const node_table& nodes,
                                            load_table& loads) -> task<void> {
  for (auto number = std::int64_t{0}; number < count; ++number) {
    auto id = pool + "/" + std::to_string(number);
    auto current = state.partitions.find(id);
    if (current != state.partitions.end() && current->second.epoch > 0)
      continue;
    auto replicas = choose_replicas(nodes_by_load(nodes, loads), replica_count_of(pool));
    if (replicas.empty())
      break;
    for (const auto& node : replicas)
      loads[node.name] += node.name == replicas.front().name ? primary_load : backup_load;
    auto command = control_command(assignment_command{id, make_assignment(replicas, 0, "placed")});
    co_await propose_as_leader(command);
    if (!may_grant_leases())
      break;
  }
}

// Recreates only partitions that retain no messages. An operator has to order the recreation of the others.
auto control_node::recreate_lost_partitions() -> task<void> {
  auto lost = std::vector<std::string>();
  for (const auto& [id, assignment] : state.partitions) {
    auto pool = state.configuration->pools.find(pool_of_partition(id));
    auto is_transient = pool != state.configuration->pools.end() && pool->second.keep_ms == 0;
    if (is_transient && all_replicas_lost(assignment))
      lost.push_back(id);
  }
  for (const auto& id : lost)
    co_await recreate_partition(id, false);
}

auto control_node::complete_drains() -> task<void> {
  auto empty_nodes = std::vector<std::string>();
  for (const auto& [name, drain] : state.drains) {
    auto is_draining_node = !drain.completed && zone_of_key(name).empty();
    if (is_draining_node && state.partitions_of(name).empty())
      empty_nodes.push_back(name);
  }
  for (const auto& name : empty_nodes) {
    auto command = control_command(complete_drain_command{name});
    co_await propose_as_leader(command);
  }
}

auto control_node::all_replicas_lost(const partition_assignment& assignment) const -> bool {
  const auto& replicas = assignment.in_sync_replicas;
  if (replicas.empty())
    return false;
  return std::all_of(replicas.begin(), replicas.end(), [&](const auto& member) {
    const auto* node = view_.find(node_of_member(member));
    return node && !node->disk_id.empty() && node->member() != member;
  });
}

auto control_node::recreate_partition(std::string id, bool accept_message_loss) -> task<value> {
  auto by_load = nodes_by_load(storage_nodes_with_fallback(), partition_loads(state.partitions));
  if (by_load.empty())
    throw request_error(errc::no_room, "no storage node is available", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  auto replicas = choose_replicas(by_load, replica_count_of(pool_of_partition(id)));
  if (replicas.empty())
    throw request_error(errc::no_room, "no storage node is available in a second zone", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  reachridge::log(log_level::warning, settings_.name, id + ": all replicas are lost; the partition is recreated");
  auto assignment = make_assignment(replicas, state.partitions[id].epoch, "founded again");
  auto command = encode(recreation_command{id, std::move(assignment), accept_message_loss});
  co_return co_await propose(std::move(command));
}

auto control_node::moves_requested_from(const std::string& name) const -> array {
  auto out = array();
  for (const auto& move : requested_moves_)
    if (move.primary == name)
      out.push_back(move.to_value());
  return out;
}

auto control_node::balance_load() -> void {
  if (!requested_moves_.empty()) {
    if (!is_in_progress(requested_moves_.front()))
      requested_moves_.clear();
    return;  // the next placement pass may choose another move
  }
  auto nodes = available_storage_nodes();
  auto too_soon = host_.now() - last_move_requested_at_ < settings_.failure_timeout;
  if (nodes.size() < 2 || too_soon)
    return;
  auto move = choose_move(state.partitions, nodes, partition_loads(state.partitions));
  if (!move)
    return;
  requested_moves_ = {*move};
  last_move_requested_at_ = host_.now();
  auto action = move->hands_over()
                    ? ": requests that " + move->primary + " transfers the primary role to " + move->new_primary
                    : ": requests a new backup on " + move->new_backup;
  reachridge::log(log_level::info, settings_.name, move->partition + action);
}

auto control_node::is_in_progress(const replica_move& move) -> bool {
  const auto& assignment = state.partitions[move.partition];
  auto same_primary = node_of_member(assignment.primary) == move.primary;
  auto done = move.hands_over() ? !same_primary : assignment.has_in_sync_replica_on(move.new_backup);
  auto timed_out = host_.now() - last_move_requested_at_ >= settings_.failure_timeout * move_timeout_factor;
  return !done && same_primary && !timed_out;
}

}  // namespace reachridge
