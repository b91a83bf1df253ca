// Messages of a node's session with a control node, and of the gossip in which control nodes exchange session tables
// (design 5.1 to 5.3). session_codec.hpp encodes and decodes them.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_view.hpp"
#include "cluster/version_deadlines.hpp"

namespace reachridge {

// A control node holds a heartbeat for at most this fraction of the failure timeout while there are no updates. The
// node can therefore send several heartbeats before its session expires.
constexpr auto heartbeat_waits_per_failure_timeout = 3;

// The configuration version that each node serves, keyed by node name.
using served_versions = std::map<std::string, configuration_version>;

// The configuration versions that must be in force now and later (design 5.3). Times are counted from the moment when
// the receiver sent its request.
struct version_requirements {
  configuration_version required = 0;     // must be in force now
  configuration_version newest = 0;       // the newest committed version
  std::vector<pending_version> upcoming;  // must be in force later, ordered by deadline
};

// A lease that permits a node to serve, as granted in a reply.
struct lease_grant {
  monotonic_time duration = 0;  // counted from the moment when the receiver sent its request
  version_requirements versions;
  std::int64_t partitions_version = 0;  // the receiver must not act on older partition assignments
};

// The heartbeat of a node. The control node answers when it has updates for the node, or else after a third of the
// failure timeout.
struct session_request {
  node_descriptor node;                     // the sender
  value held_versions;                      // cluster_view::version_vector() of the sender
  std::int64_t control_nodes_checksum = 0;  // address_list_checksum of the control nodes that the sender knows; 0: none
  bool accepts_deadlines = false;           // the sender supports version_requirements::upcoming
  configuration_version served_version = 0;
};

// The changes of the cluster's state in a session reply. Empty fields are not encoded.
struct session_updates {
  object view_changes;                     // the input of cluster_view::merge
  std::vector<std::string> control_nodes;  // addresses of all voters; empty if the node has this list

  [[nodiscard]] auto empty() const -> bool {
    return view_changes.empty() && control_nodes.empty();
  }
  [[nodiscard]] auto has_configuration() const -> bool;
  [[nodiscard]] auto has_partitions() const -> bool;
};

// The answer to a heartbeat.
struct session_reply {
  session_updates updates;
  array placement_requests;  // replica moves that the node must carry out as a primary
  std::optional<lease_grant> lease;
};

// Informs another control node about the sender's own sessions, at least once per heartbeat interval.
struct gossip_request {
  std::string source;                         // the sender's name in version vectors
  std::int64_t table_version = 0;             // version of the sender's session table
  bool accepts_deadlines = false;             // the sender supports version_requirements::upcoming
  std::optional<served_versions> live_nodes;  // nodes with a live session; absent: unchanged since `live_nodes_version`
  std::int64_t live_nodes_version = 0;        // 0: the sender does not number its lists
  std::map<std::string, std::int64_t> loads;  // load of each of these nodes
  bool reports_loads = false;                 // `loads` is encoded even if it is empty
  value table_changes;                        // the input of session_table::merge; null: no changes
};

// The leader's permission for another control node to grant leases to its sessions.
struct gossip_lease_grant {
  array placement_requests;       // all replica moves that the leader requests now; they replace earlier ones
  version_requirements versions;  // to be passed on with each lease
  std::int64_t partitions_version = 0;
};

// The answer to a gossip request.
struct gossip_reply {
  std::int64_t table_version = 0;       // version of the requester's session table that the replier holds now
  bool accepts_deltas = false;          // the replier can merge changes since a version
  std::int64_t live_nodes_version = 0;  // version of the list of live nodes that the replier holds
  std::optional<gossip_lease_grant> grant;
};

// Reports whether a configuration version is in force on all nodes.
struct in_force_status {
  configuration_version version = 0;
  configuration_version newest = 0;  // the newest accepted version
  std::vector<std::string> waiting;  // nodes without the version, or a reason in parentheses; empty: in force
};

}  // namespace reachridge
