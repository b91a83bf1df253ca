// The state that a control node keeps for each control node with which it exchanges sessions (design 5.1).
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "cluster/session_messages.hpp"

namespace reachridge {

// What another control node has received of this node's sessions, according to its last reply. A failed request resets
// this information, because the other control node may have restarted.
struct gossip_progress {
  std::int64_t table_version = -1;            // version of this node's session table that the other node holds
  bool accepts_deltas = false;                // the other node can merge the changes since a version
  std::optional<served_versions> live_nodes;  // the list that the other node holds under `live_nodes_version`
  std::int64_t live_nodes_version = 0;
  int rounds = 0;  // number of rounds started
};

// One gossip request to another control node.
struct gossip_round {
  monotonic_time sent_at = 0;
  std::string leader;          // address of the leader when the request was sent
  served_versions live_nodes;  // nodes whose sessions the request named
  bool answered = false;
  bool granted = false;  // the reply allows this control node to grant leases to these nodes
};

// What another control node has reported about its sessions, in addition to its table in the cluster view.
struct peer_sessions {
  monotonic_time last_contact = 0;  // when the last request from the other node arrived
  std::int64_t live_nodes_version = 0;
  served_versions live_nodes;
};

}  // namespace reachridge
