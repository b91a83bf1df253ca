// The shape of fleets whose partitions have three replicas, and what tests read of such a partition.
#pragma once
#include <string>

#include "simulator/fleet.hpp"

namespace reachridge {

// Two losses are tolerated. All spaces of the clients retain messages.
inline auto shape_with_three_replicas(int storage_nodes = 8) -> fleet_shape {
  auto shape = fleet_shape();
  shape.storage_nodes = storage_nodes;
  shape.control_nodes = 5;
  shape.zones = 4;
  shape.keep_low = shape.keep;
  shape.settings["copies"] = "3";
  return shape;
}

// Returns the status of the replica that is the partition's primary. There must be one.
inline auto primary_status(const fleet& cluster, const std::string& partition) -> value {
  return cluster.processes.at(cluster.primary_of(partition))->storage->held_partition(partition)->status();
}

}  // namespace reachridge
