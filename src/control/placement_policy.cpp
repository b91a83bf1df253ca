#include "control/placement_policy.hpp"

#include <algorithm>
#include <set>

namespace reachridge {
namespace {

constexpr auto min_zones = std::size_t{2};  // minimum number of zones for the replicas of a partition

auto load_of(const load_table& loads, const std::string& node) -> std::int64_t {
  auto it = loads.find(node);
  return it == loads.end() ? 0 : it->second;
}

// Returns the first node that is not chosen yet and whose zone has the fewest chosen nodes, or null if all are chosen.
auto next_replica(const std::vector<node_descriptor>& by_load, const std::vector<node_descriptor>& chosen,
                  std::map<std::string, int>& chosen_by_zone) -> const node_descriptor* {
  const auto* best = static_cast<const node_descriptor*>(nullptr);
  for (const auto& node : by_load) {
    auto is_chosen = std::any_of(chosen.begin(), chosen.end(), [&](const auto& other) {
      return other.name == node.name;
    });
    if (is_chosen)
      continue;
    if (!best || chosen_by_zone[node.zone] < chosen_by_zone[best->zone])
      best = &node;
  }
  return best;
}

// The kinds of moves that balance load, in order of increasing cost.
enum class move_kind {
  backup,                  // moves a backup
  hand_over,               // transfers the primary role to a backup
  backup_before_hand_over  // moves a backup to the node that becomes the primary afterwards
};

// Returns the smallest load difference for which a move of this kind reduces the sum of the squared loads.
auto min_load_difference(move_kind kind) -> std::int64_t {
  return kind == move_kind::backup_before_hand_over ? 4 : 3;
}

// Returns the number of zones of the replicas if `replacement` held the replica of `replaced_node`.
auto zone_count(const partition_assignment& assignment, const node_table& nodes, const std::string& replaced_node,
                const node_descriptor& replacement) -> std::size_t {
  auto zones = std::set<std::string>();
  for (const auto& member : assignment.in_sync_replicas) {
    auto node = node_of_member(member);
    zones.insert(node == replaced_node ? replacement.zone : nodes.at(node).zone);
  }
  return zones.size();
}

auto all_replicas_available(const partition_assignment& assignment, const node_table& nodes) -> bool {
  return std::all_of(assignment.in_sync_replicas.begin(), assignment.in_sync_replicas.end(), [&](const auto& member) {
    return nodes.count(node_of_member(member)) > 0;
  });
}

// Searches for a move of one kind that reduces the load of node `from` and increases the load of node `to`.
struct move_search {
  const node_table& nodes;
  move_kind kind;
  const node_descriptor& from;
  const node_descriptor& to;

  // Whether `to` may replace a backup. The move must not reduce the number of zones that hold replicas.
  [[nodiscard]] auto may_replace(const partition_assignment& assignment, const std::string& backup) const -> bool {
    if (assignment.has_in_sync_replica_on(to.name))
      return false;
    auto zones_before = zone_count(assignment, nodes, "", to);
    auto zones_after = zone_count(assignment, nodes, backup, to);
    return zones_after >= zones_before && zones_after >= min_zones;
  }

  // Returns a move of one partition. All replicas of the partition must be on `nodes`.
  [[nodiscard]] auto find(const std::string& id, const partition_assignment& assignment) const
      -> std::optional<replica_move> {
    auto primary = node_of_member(assignment.primary);
    auto is_primary_on_source = primary == from.name;
    for (const auto& member : assignment.backups()) {
      auto backup = node_of_member(member);
      if (kind == move_kind::hand_over) {
        if (is_primary_on_source && backup == to.name)
          return replica_move{id, primary, "", "", to.name};
        continue;
      }
      auto relieves = kind == move_kind::backup ? backup == from.name : is_primary_on_source;
      if (relieves && may_replace(assignment, backup))
        return replica_move{id, primary, to.name, backup, ""};
    }
    return {};
  }

  // Returns a move of any partition. A partition that lacks a replica is skipped until the replica is restored.
  [[nodiscard]] auto find_in(const partition_table& partitions) const -> std::optional<replica_move> {
    for (const auto& [id, assignment] : partitions) {
      if (!all_replicas_available(assignment, nodes))
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
  if (zones.size() < min_zones)
    return {};
  auto chosen = std::vector<node_descriptor>();
  auto chosen_by_zone = std::map<std::string, int>();
  while (chosen.size() < static_cast<std::size_t>(replicas)) {
    const auto* next = next_replica(by_load, chosen, chosen_by_zone);
    if (!next)
      break;  // there are fewer nodes than replicas
    ++chosen_by_zone[next->zone];
    chosen.push_back(*next);
  }
  return chosen;
}

auto choose_backup(const backup_request& request, const std::map<std::string, int>& replicas_by_zone,
                   const node_table& nodes, const load_table& loads) -> std::optional<node_descriptor> {
  const auto& excluded = request.excluded_members;
  auto occupied_nodes = std::set<std::string>();
  if (!excluded.empty())
    occupied_nodes.insert(node_of_member(excluded.front()));
  for (const auto& member : request.kept_members)
    occupied_nodes.insert(node_of_member(member));
  auto spans_several_zones = replicas_by_zone.size() > 1;
  auto cost = [&](const node_descriptor& node) {
    auto in_zone = replicas_by_zone.find(node.zone);
    return std::pair(in_zone == replicas_by_zone.end() ? 0 : in_zone->second, load_of(loads, node.name));
  };
  const auto* best = static_cast<const node_descriptor*>(nullptr);
  for (const auto& [name, node] : nodes) {
    auto only_in_primary_zone = node.zone == request.primary_zone && !spans_several_zones;
    auto is_excluded = std::find(excluded.begin(), excluded.end(), node.member()) != excluded.end();
    if (only_in_primary_zone || is_excluded || occupied_nodes.count(name))
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
  // Each move, or the pair of moves that starts with `backup_before_hand_over`, reduces the sum of the squared loads,
  // so the sequence of moves ends. Cheaper kinds are tried first for all pairs of nodes.
  for (auto kind : {move_kind::backup, move_kind::hand_over, move_kind::backup_before_hand_over})
    for (auto from = by_load.rbegin(); from != by_load.rend(); ++from)
      for (const auto& to : by_load) {
        if (load_of(loads, from->name) - load_of(loads, to.name) < min_load_difference(kind))
          continue;
        if (auto move = move_search{nodes, kind, *from, to}.find_in(partitions))
          return move;
      }
  return {};
}

}  // namespace reachridge
