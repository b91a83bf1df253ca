// The replicated state of the control nodes, which results from all committed commands (design 4.6).
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"
#include "configuration/configuration_record.hpp"
#include "control/commands.hpp"
#include "control/order_fence.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The state machine of the replicated log. It is deterministic: equal logs produce equal states on all control nodes.
// Only the replicated log calls `apply_encoded`, `take_snapshot` and `restore`; all other callers only read the state.
class control_state {
 public:
  // Applies one committed command. A refused command changes nothing except the order fence.
  auto apply(log_index index, const control_command& command) -> command_result;
  // Decodes and applies a committed command. A command that cannot be decoded yields an encoded error.
  auto apply_encoded(log_index index, const value& encoded) -> value;

  // Returns the complete state in the form that `restore` accepts.
  [[nodiscard]] auto take_snapshot() const -> value;
  // Replaces the state by a snapshot; null stands for the empty state. Throws request_error or decode_error if the
  // snapshot is damaged, and then leaves the state unchanged.
  auto restore(const value& snapshot) -> void;

  // Returns the partitions of which the node holds a replica, regardless of the node's disk.
  [[nodiscard]] auto partitions_of(const std::string& node) const -> std::vector<std::string>;
  // Returns the reason why these nodes cannot hold `replicas` replicas in two zones, or an empty string if they can. A
  // node whose zone is unknown may be in any zone. Draining nodes do not count.
  [[nodiscard]] auto insufficient_nodes_reason(const node_zones& nodes, std::int64_t replicas) const -> std::string;

  configuration_ptr configuration;    // the newest accepted configuration, null before the first one
  log_index configuration_index = 0;  // of the log entry that contains this configuration
  std::map<std::string, partition_assignment> partitions;
  std::map<std::string, drain> drains;  // key: name of the node, or zone_key of the zone
  order_fence drain_fence;              // fences the operators' drain orders
  log_index partitions_version = 0;     // of the log entry that last changed partitions or drains

 private:
  auto apply_command(log_index index, const configuration_command& command) -> command_result;
  auto apply_command(log_index index, const assignment_command& command) -> command_result;
  auto apply_command(log_index index, const recreation_command& command) -> command_result;
  auto apply_command(log_index index, const begin_drain_command& command) -> command_result;
  auto apply_command(log_index index, const end_drain_command& command) -> command_result;
  auto apply_command(log_index index, const decline_drain_command& command) -> command_result;
  auto apply_command(log_index index, const complete_drain_command& command) -> command_result;
  // Throws request_error if the number of `next` does not follow the number of the current configuration.
  auto check_number(const configuration_record& next) const -> void;
  // Throws request_error if `next` changes the partition count of a pool.
  auto check_partition_counts(const configuration_record& next) const -> void;
  // Returns the partition count of a pool once it can no longer change.
  [[nodiscard]] auto fixed_partition_count(const std::string& pool) const -> std::optional<std::int64_t>;
  // Returns the reason why `next` must not replace `current`, or an empty string if it may.
  [[nodiscard]] auto assignment_rejection_reason(const partition_assignment& current,
                                                 const partition_assignment& next) const -> std::string;
  [[nodiscard]] auto keeps_messages(const std::string& partition) const -> bool;
  [[nodiscard]] auto is_retired(const std::string& node) const -> bool;
};

}  // namespace reachridge
