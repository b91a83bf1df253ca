// Decides which storage nodes hold which partitions (design 5.5, 5.6). All functions are pure; placement.cpp carries
// out their decisions.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"
#include "control/replica_move.hpp"

namespace reachridge {

using node_table = std::map<std::string, node_descriptor>;            // key: name of the node
using partition_table = std::map<std::string, partition_assignment>;  // key: identifier of the partition
using load_table = std::map<std::string, std::int64_t>;               // key: name of the node

// The load that one replica adds to its node.
constexpr auto primary_load = std::int64_t{2};
constexpr auto backup_load = std::int64_t{1};

// Returns the load of each node that holds replicas.
auto partition_loads(const partition_table& partitions) -> load_table;
// Returns the nodes sorted by increasing load. Nodes with equal load are sorted by name.
auto nodes_by_load(const node_table& nodes, const load_table& loads) -> std::vector<node_descriptor>;

// Returns the nodes for a partition that has no assignment yet, with the least loaded node first. The replicas use as
// many zones as possible. Returns no node if all nodes are in one zone, and fewer than `replicas` nodes if there are
// not enough.
auto choose_replicas(const std::vector<node_descriptor>& by_load, std::int64_t replicas)
    -> std::vector<node_descriptor>;

// A primary's request for a node that can become a backup.
struct backup_request {
  std::string primary_zone;
  std::vector<std::string> excluded_members;  // the first one is the primary
  std::vector<std::string> kept_members;      // backups that the primary keeps
  std::string partition;                      // empty if the sender runs an earlier release

  // Throws decode_error if `encoded` lacks a mandatory field.
  static auto from_value(const value& encoded) -> backup_request;
};
// Returns the reply to a backup_request.
auto encode_chosen_backup(const node_descriptor& node) -> value;

// Returns the node for a new backup: the least loaded node in the zone with the fewest replicas. The first backup must
// be in another zone than the primary. `replicas_by_zone` counts the replicas that the partition keeps. Returns no
// value if no node is suitable.
auto choose_backup(const backup_request& request, const std::map<std::string, int>& replicas_by_zone,
                   const node_table& nodes, const load_table& loads) -> std::optional<node_descriptor>;

// Returns one move that reduces the load differences between nodes, or no value if no move does.
auto choose_move(const partition_table& partitions, const node_table& nodes, const load_table& loads)
    -> std::optional<replica_move>;

}  // namespace reachridge
