// The leader's request to the primary of a partition to move a replica for load balancing (design 5.6).
#pragma once
#include <string>

#include "runtime/value.hpp"

namespace reachridge {

// Either replaces one backup of the partition by another node or transfers the primary role to an existing backup. All
// nodes are given by name.
struct replica_move {
  std::string partition;
  std::string primary;          // the node that receives the request
  std::string new_backup;       // the node that becomes a backup; empty if the primary role is transferred
  std::string replaced_backup;  // the backup that `new_backup` replaces
  std::string new_primary;      // the backup that becomes the primary

  // Whether the move transfers the primary role.
  [[nodiscard]] auto hands_over() const -> bool {
    return new_backup.empty();
  }
  // Returns the encoded message.
  [[nodiscard]] auto to_value() const -> value;
  // Throws decode_error if `encoded` lacks a mandatory field.
  static auto from_value(const value& encoded) -> replica_move;
};

}  // namespace reachridge
