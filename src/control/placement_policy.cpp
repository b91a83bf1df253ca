#include "control/placement_policy.hpp"

#include <algorithm>
#include <set>

namespace reachridge {
namespace {

constexpr auto least_zones = std::size_t{2};  // that the replicas of a partition are spread over

auto load_of(const load_table& loads, const std::string& node) -> std::int64_t {
  auto it = loads.find(node);
  return it == loads.end() ? 0 : it->second;
}

// The first of the nodes that are not chosen yet whose zone has the fewest chosen ones; null: all are chosen.
auto next_replica(const std::vector<node_descriptor>& by_load, const std::vector<node_descriptor>& chosen,
                  std::map<std::string, int>& chosen_by_zone) -> const node_descriptor* {
  const auto* best = static_cast<const node_descriptor*>(nullptr);
  for (const auto& node : by_load) {
    auto taken = std::any_of(chosen.begin(), chosen.end(), [&](const auto& other) {
      return other.name == node.name;
    });
    if (taken)
      continue;
    if (!best || chosen_by_zone[node.zone] < chosen_by_zone[best->zone])
      best = &node;
  }
  return best;
}

// How a move evens out load, the cheapest first.
enum class move_kind {
  backup,                  // a backup moves
  hand_over,               // the primary hands over to a backup
  backup_before_hand_over  // a backup moves so that the primary can follow
};

// The difference of load from which such a move lowers the sum of the squares of the loads.
auto least_difference(move_kind kind) -> std::int64_t {
  return kind == move_kind::backup_before_hand_over ? 4 : 3;
}

// In how many zones the replicas would be if the one on node `replaced` were on node `by`.
auto zone_count(const partition_assignment& assignment, const node_table& nodes, const std::string& replaced,
                const node_descriptor& by) -> std::size_t {
  auto zones = std::set<std::string>();
  for (const auto& member : assignment.in_sync_replicas) {
    auto node = node_of_member(member);
    zones.insert(node == replaced ? by.zone : nodes.at(node).zone);
  }
  return zones.size();
}

auto is_whole(const partition_assignment& assignment, const node_table& nodes) -> bool {
  return std::all_of(assignment.in_sync_replicas.begin(), assignment.in_sync_replicas.end(), [&](const auto& member) {
    return nodes.count(node_of_member(member)) > 0;
  });
}

// From the most to the least loaded of two nodes.
struct move_search {
  const node_table& nodes;
  move_kind kind;
  const node_descriptor& from;
  const node_descriptor& to;

  // Replicas are in no fewer zones after a move than before it.
  [[nodiscard]] auto may_replace(const partition_assignment& assignment, const std::string& backup) const -> bool {
    if (assignment.has_in_sync_replica_on(to.name))
      return false;
    auto zones_now = zone_count(assignment, nodes, "", to);
    auto zones_then = zone_count(assignment, nodes, backup, to);
    return zones_then >= zones_now && zones_then >= least_zones;
  }

  // A move of one partition, all of whose replicas are on `nodes`.
  [[nodiscard]] auto find(const std::string& id, const partition_assignment& assignment) const
      -> std::optional<replica_move> {
    auto primary = node_of_member(assignment.primary);
    auto from_primary = primary == from.name;
    for (const auto& member : assignment.backups()) {
      auto backup = node_of_member(member);
      if (kind == move_kind::hand_over) {
        if (from_primary && backup == to.name)
          return replica_move{id, primary, "", "", to.name};
        continue;
      }
      auto relieves = kind == move_kind::backup ? backup == from.name : from_primary;
      if (relieves && may_replace(assignment, backup))
        return replica_move{id, primary, to.name, backup, ""};
    }
    return {};
  }

  // A partition that lacks a replica gets it back first.
  [[nodiscard]] auto find_in(const partition_table& partitions) const -> std::optional<replica_move> {
    for (const auto& [id, assignment] : partitions) {
      if (!is_whole(assignment, nodes))
        continue;
      if (auto move = find(id, assignment))
        return move;
    }
    return {};
  }
};

}  // namespace

auto partition_loads(const partition_table& partitions) -> load_table {
  auto out = load_table();
  for (const auto& [id, assignment] : partitions) {
    out[node_of_member(assignment.primary)] += primary_load;
    for (const auto& member : assignment.backups())
      out[node_of_member(member)] += backup_load;
  }
  return out;
}

auto nodes_by_load(const node_table& nodes, const load_table& loads) -> std::vector<node_descriptor> {
  auto out = std::vector<node_descriptor>();
  for (const auto& [name, node] : nodes)
    out.push_back(node);
  std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
    return load_of(loads, a.name) < load_of(loads, b.name);
  });
  return out;
}

auto choose_replicas(const std::vector<node_descriptor>& by_load, std::int64_t replicas)
    -> std::vector<node_descriptor> {
  auto zones = std::set<std::string>();
  for (const auto& node : by_load)
    zones.insert(node.zone);
  if (zones.size() < least_zones)
    return {};
  auto chosen = std::vector<node_descriptor>();
  auto chosen_by_zone = std::map<std::string, int>();
  while (chosen.size() < static_cast<std::size_t>(replicas)) {
    const auto* next = next_replica(by_load, chosen, chosen_by_zone);
    if (!next)
      break;  // fewer nodes than replicas
    ++chosen_by_zone[next->zone];
    chosen.push_back(*next);
  }
  return chosen;
}

auto choose_backup(const backup_request& request, const std::map<std::string, int>& replicas_by_zone,
                   const node_table& nodes, const load_table& loads) -> std::optional<node_descriptor> {
  const auto& excluded = request.excluded_members;
  auto taken_nodes = std::set<std::string>();
  if (!excluded.empty())
    taken_nodes.insert(node_of_member(excluded.front()));
  for (const auto& member : request.kept_members)
    taken_nodes.insert(node_of_member(member));
  auto in_other_zones = replicas_by_zone.size() > 1;
  auto cost = [&](const node_descriptor& node) {
    auto in_zone = replicas_by_zone.find(node.zone);
    return std::pair(in_zone == replicas_by_zone.end() ? 0 : in_zone->second, load_of(loads, node.name));
  };
  const auto* best = static_cast<const node_descriptor*>(nullptr);
  for (const auto& [name, node] : nodes) {
    auto beside_primary = node.zone == request.primary_zone && !in_other_zones;
    auto is_excluded = std::find(excluded.begin(), excluded.end(), node.member()) != excluded.end();
    if (beside_primary || is_excluded || taken_nodes.count(name))
      continue;
    if (!best || cost(node) < cost(*best))
      best = &node;
  }
  if (!best)
    return {};
  return *best;
}

auto choose_move(const partition_table& partitions, const node_table& nodes, const load_table& loads)
    -> std::optional<replica_move> {
  auto by_load = nodes_by_load(nodes, loads);
  // Each move, or the pair of moves that `backup_before_hand_over` begins, lowers the sum of the squares of the loads:
  // they come to an end. The cheaper kinds are tried for all pairs of nodes first.
  for (auto kind : {move_kind::backup, move_kind::hand_over, move_kind::backup_before_hand_over})
    for (auto from = by_load.rbegin(); from != by_load.rend(); ++from)
      for (const auto& to : by_load) {
        if (load_of(loads, from->name) - load_of(loads, to.name) < least_difference(kind))
          continue;
        if (auto move = move_search{nodes, kind, *from, to}.find_in(partitions))
          return move;
      }
  return {};
}

}  // namespace reachridge
