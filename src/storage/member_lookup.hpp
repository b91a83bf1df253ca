// Looks up members in a node's view of the cluster. A member is a storage node together with its disk (design 5.2,
// 6.5).
#pragma once
#include <string>

#include "cluster/cluster_view.hpp"

namespace reachridge {

// Returns the network address of a member, or an empty string if the view lacks the member's node or the node has
// another disk.
[[nodiscard]] auto address_of_member(const cluster_view& view, const std::string& member) -> std::string;

// Returns whether the member's node has come back with another disk. The member then no longer exists, and other
// members replace it without waiting for the silence timeout.
[[nodiscard]] auto is_disk_lost(const cluster_view& view, const std::string& member) -> bool;

// Returns whether the member's node is being drained or is shutting down, and must give up all its replicas.
[[nodiscard]] auto is_member_leaving(const cluster_view& view, const std::string& member) -> bool;

// Returns whether the member is on a reserve storage node although at least `replicas` other storage nodes are
// available.
[[nodiscard]] auto is_unneeded_reserve(const cluster_view& view, const std::string& member, std::size_t replicas)
    -> bool;

}  // namespace reachridge
