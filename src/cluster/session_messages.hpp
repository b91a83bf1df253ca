// Messages of a node's session with a control node, and of the exchange of session tables between control nodes
// (design 5.1 to 5.3). session_codec.hpp writes and reads them.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_view.hpp"
#include "cluster/version_deadlines.hpp"

namespace reachridge {

// Of the failure timeout: how long a heartbeat may wait for something new, so that a node has several tries before its
// session ends.
constexpr auto heartbeat_waits_per_failure_timeout = 3;

// The configuration version that each node of a set serves, by the node's name.
using served_versions = std::map<std::string, configuration_version>;

// Which configuration versions must be in force, and when (design 5.3). Times count from the receiver's request.
struct version_requirements {
  configuration_version required = 0;     // must be in force now
  configuration_version newest = 0;       // the newest that a majority has agreed on
  std::vector<pending_version> upcoming;  // must be in force later, the earliest first
};

// A lease on serving, as the answer to a request brings it.
struct lease_grant {
  monotonic_time duration = 0;  // counted from when the receiver sent its request
  version_requirements versions;
  std::int64_t partitions_version = 0;  // assignments of partitions older than this may not be acted on
};

// A node's heartbeat. It is answered when there is something new for the node, or after a third of the failure timeout.
struct session_request {
  node_descriptor node;                     // the sender
  value held_versions;                      // cluster_view::version_vector of the sender
  std::int64_t control_nodes_checksum = 0;  // list_fingerprint of the control nodes it knows; 0: none
  bool accepts_deadlines = false;           // it understands version_requirements::upcoming
  configuration_version served_version = 0;
};

// What a session's answer brings of the cluster's state. A field that is empty does not travel.
struct session_updates {
  object view_changes;                     // what cluster_view::merge takes
  std::vector<std::string> control_nodes;  // addresses of all voters, if the node knows others

  [[nodiscard]] auto empty() const -> bool {
    return view_changes.empty() && control_nodes.empty();
  }
  [[nodiscard]] auto has_configuration() const -> bool;
  [[nodiscard]] auto has_partitions() const -> bool;
};

struct session_reply {
  session_updates updates;
  array placement_requests;  // moves of replicas that the node, as a primary, is asked for
  std::optional<lease_grant> lease;
};

// What one control node sends another of its own sessions, at least once in a heartbeat interval.
struct gossip_request {
  std::string source;                         // the sender's name in the vector of versions
  std::int64_t table_version = 0;             // of the sender's session table
  bool accepts_deadlines = false;             // it understands version_requirements::upcoming
  std::optional<served_versions> live_nodes;  // nodes with a live session; absent: as at `live_nodes_version`
  std::int64_t live_nodes_version = 0;        // 0: the sender numbers no lists
  std::map<std::string, std::int64_t> loads;  // loads of these nodes
  bool reports_loads = false;                 // `loads` travels, even if it is empty
  value table_changes;                        // what session_table::merge takes; null: nothing the receiver lacks
};

// What the leader adds for a control node that may grant leases for it.
struct gossip_lease_grant {
  array placement_requests;       // the moves that the leader wants now, which replace all earlier ones
  version_requirements versions;  // to pass on with each lease
  std::int64_t partitions_version = 0;
};

struct gossip_reply {
  std::int64_t table_version = 0;       // of the asker's session table, as the answering control node holds it now
  bool accepts_deltas = false;          // it can merge changes since a version
  std::int64_t live_nodes_version = 0;  // of the list of live nodes that it holds
  std::optional<gossip_lease_grant> grant;
};

// Whether a configuration version is in force everywhere.
struct in_force_status {
  configuration_version version = 0;
  configuration_version newest = 0;  // the newest that was accepted
  std::vector<std::string> waiting;  // what is waited for: nodes, or a reason in parentheses; empty: it is in force
};

}  // namespace reachridge
