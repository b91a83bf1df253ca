// Commands of the control nodes' replicated log and the results of applying them (design 4.6). Only command_codec.cpp
// knows the encoded form.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cluster/types.hpp"
#include "configuration/configuration_record.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {

// Number of replicas that the remaining nodes must be able to hold after a retirement, unless the order says otherwise.
constexpr auto default_replicas = std::int64_t{2};

// A storage node and its zone. The zone is empty if the node is unreachable, because its zone is then unknown.
struct node_zone {
  std::string node;
  std::string zone;
};
using node_zones = std::vector<node_zone>;

// Puts a configuration into force. The command is a compare-and-set on the configuration number.
struct configuration_command {
  configuration_ptr configuration;
};

// Assigns a partition. The command is a compare-and-set on the epoch: `assignment.epoch` is the epoch of the assignment
// that the command replaces.
struct assignment_command {
  std::string partition;
  partition_assignment assignment;
};

// Assigns a partition that has lost all replicas to new, empty members. The command is a compare-and-set on the epoch.
struct recreation_command {
  std::string partition;
  partition_assignment assignment;
  bool accepts_message_loss = false;  // an operator accepts the loss of retained messages
};

// The drain commands below carry `expected_last_order`: the log index of the last order on the same name that the
// deciding node knew (see order_fence). The field is absent if the sender runs a release without the fence.

// Starts to drain a node or a zone.
struct begin_drain_command {
  std::string name;  // of a node, or zone_key of a zone
  std::optional<log_index> expected_last_order;
  drain_kind kind = drain_kind::drain;
  std::optional<node_zones> remaining_nodes;  // set for a retirement, which is checked again when it is applied
  std::int64_t replicas = default_replicas;
};

// Ends the drain of a node or a zone.
struct end_drain_command {
  std::string name;  // of a node, or zone_key of a zone
  std::optional<log_index> expected_last_order;
};

// Records that the leader refused an order. The command changes no drain, but it fences off earlier orders.
struct decline_drain_command {
  std::string name;  // of a node, or zone_key of a zone
  std::optional<log_index> expected_last_order;
  std::optional<node_zones> remaining_nodes;  // the nodes that led to the refusal, for people who read the log
  std::int64_t replicas = default_replicas;
};

// Marks the drain of a node as completed. The leader proposes this command when the node holds no partitions.
struct complete_drain_command {
  std::string name;
};

using control_command = std::variant<configuration_command, assignment_command, recreation_command, begin_drain_command,
                                     end_drain_command, decline_drain_command, complete_drain_command>;

// The command is in force.
struct command_accepted {
  std::optional<std::int64_t> configuration_number = {};  // set for a configuration command
  bool is_repeat = false;                                 // the command was already in force and changed nothing
  std::optional<bool> drain_completed = {};               // set for a repeated order to drain
  std::optional<partition_assignment> assignment = {};    // the current assignment, for a partition command
};

// The command lost a compare-and-set or came too early. The sender reads the state again and makes a new decision.
struct command_superseded {
  std::string reason;
  std::optional<partition_assignment> assignment = {};  // the current assignment, for a partition command
};

// A request_error means that the command is not allowed.
using command_result = std::variant<command_accepted, command_superseded, request_error>;

// Returns the command as the replicated log stores it.
auto encode(const control_command& command) -> value;
// Throws decode_error or request_error if `encoded` is not a valid command.
auto decode_command(const value& encoded) -> control_command;
// Returns the result as the proposer of the command receives it.
auto encode(const command_result& result) -> value;

// Decodes a configuration from the log or from a snapshot. Earlier releases stored the configuration text; the current
// release stores a record.
auto decode_stored_configuration(const value& stored) -> configuration_ptr;

}  // namespace reachridge
