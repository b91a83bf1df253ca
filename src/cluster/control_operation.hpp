// The operations that nodes and operators' tools request from control nodes, and their names in messages.
#pragma once
#include <optional>
#include <string_view>

namespace reachridge {

// Requests of the replicated log are not listed here; raft/types.hpp defines their names.
enum class control_operation {
  session,             // heartbeat of a node
  leave,               // ends the session of a node that stops serving
  gossip,              // the session table of another control node
  propose,             // a command to append to the replicated log
  choose_replica,      // selects the node for a new backup of a partition
  in_force,            // asks whether a configuration version is in force on all nodes
  read_state,          // reads the newest committed state
  recreate_partition,  // replaces a partition that lost all its replicas by an empty one
  drain,               // starts or cancels the drain of a node or a zone
  voters,              // reads the status of the replicated log, including its voters, from the leader
  status,              // reads the status of the control node that receives the request
};

// Returns the name of the operation in messages.
auto name_of(control_operation operation) -> std::string_view;
// Returns the operation with this name, or nullopt if the name is unknown.
auto find_control_operation(std::string_view name) -> std::optional<control_operation>;

}  // namespace reachridge
