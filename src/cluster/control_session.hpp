// The session of a node with a control node. The node sends heartbeats; the answers bring the lease and changes of the
// view (design 5.1).
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_view.hpp"
#include "cluster/session_messages.hpp"
#include "cluster/version_deadlines.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/settings.hpp"

namespace reachridge {

// Returns a checksum of a list of control node addresses. A control node sends its list only if the checksum differs.
auto address_list_checksum(const std::vector<std::string>& addresses) -> std::int64_t;

// Maintains a session from construction until `leave`, and switches to another endpoint on failure. Owns the node's
// lease and its view of the cluster. Storage nodes and agents have sessions with control nodes; a gateway has its
// session with its agent. The lease is counted from the time when the heartbeat was sent, so the clocks of processes
// need not agree.
class control_session {
 public:
  // `seeds`: the initial endpoints, at least one. The session switches to another endpoint when the current one is
  // unreachable or does not extend the lease.
  control_session(host& host, const settings& settings, std::vector<std::string> seeds);
  node_descriptor self;  // sent with each heartbeat; the owner of the session updates it
  cluster_view view;
  signal changed;  // woken when `view`, the placement requests or has_lease() changes

  [[nodiscard]] auto has_lease() const -> bool {
    return lease_expires_at_ > host_.now();
  }
  [[nodiscard]] auto remaining_lease() const -> monotonic_time {
    return std::max<monotonic_time>(0, lease_expires_at_ - host_.now());
  }
  // Returns the oldest configuration version that the node may serve with now: the newest version whose deadline has
  // passed.
  [[nodiscard]] auto required_version() const -> configuration_version {
    return std::max(least_required_, deadlines_.required(host_.now()));
  }
  // Returns the newest version that the control plane has announced. The view may not have it yet.
  [[nodiscard]] auto newest_announced() const -> configuration_version {
    return newest_announced_;
  }
  // Returns all known version requirements. Their remaining times are counted from `since`.
  [[nodiscard]] auto requirements_relative_to(monotonic_time since) const -> version_requirements {
    return {.required = required_version(),
            .newest = newest_announced(),
            .upcoming = deadlines_.pending(host_.now(), since)};
  }
  // Returns whether the node has a lease and a configuration that is recent enough to serve with (design 5.3).
  [[nodiscard]] auto may_serve() const -> bool {
    return has_lease() && view.configuration && view.configuration->number >= required_version();
  }
  // Returns whether the view includes all assignments that were committed when the first lease was granted. Until then
  // the node must not act on assignments.
  [[nodiscard]] auto is_synchronized() const -> bool {
    return lease_received_ && view.partitions_version >= required_partitions_version_;
  }
  // Sends a request to the current endpoint and returns the answer. Throws request_error.
  auto call(value request, monotonic_time deadline) -> task<value>;
  // Proposes a command for the replicated log and returns the result of applying it. Throws request_error.
  auto propose(value command, monotonic_time deadline) -> task<value>;
  // Ends the session and the lease; the node stops serving. Errors of the request are ignored.
  auto leave(monotonic_time deadline) -> task<void>;
  // Returns the address of the current endpoint.
  [[nodiscard]] auto endpoint() const -> std::string {
    return endpoints_[endpoint_index_];
  }
  // Returns the replica moves that the control plane requests from this node as a primary.
  [[nodiscard]] auto placement_requests() const -> const array& {
    return placement_requests_;
  }
  std::function<configuration_version()> served_version;  // overrides the version in heartbeats
  bool closed = false;                                    // set by `leave`

 private:
  auto run() -> task<void>;
  auto report_lease() -> void;
  auto connect() -> void;
  auto disconnect() -> void;
  auto use_endpoint(std::size_t index) -> void;
  auto move_to_new_endpoint() -> void;
  [[nodiscard]] auto should_leave_endpoint() -> bool;
  auto leave_endpoint() -> void;
  [[nodiscard]] auto reported_version() const -> configuration_version;
  [[nodiscard]] auto make_heartbeat() const -> session_request;
  // Returns whether the endpoint answered.
  auto send_heartbeat(monotonic_time sent_at) -> task<bool>;
  [[nodiscard]] auto pause_after(monotonic_time sent_at) const -> monotonic_time;
  auto apply_reply(session_reply reply, monotonic_time sent_at) -> void;
  auto extend_lease(const lease_grant& lease, monotonic_time sent_at) -> void;
  auto update_versions(const version_requirements& versions, monotonic_time sent_at) -> void;
  auto update_control_nodes(const std::vector<std::string>& addresses) -> void;

  host& host_;
  settings settings_;

  std::vector<std::string> seeds_;
  std::vector<std::string> control_nodes_;  // the list that the control plane sent last
  std::vector<std::string> endpoints_;      // `control_nodes_`, then the seeds
  std::set<std::string> known_endpoints_;   // all addresses that have ever been endpoints
  std::size_t endpoint_index_ = 0;          // index of the current endpoint
  std::string move_target_;                 // the new endpoint to move to at `move_at_`
  monotonic_time move_at_ = never;

  monotonic_time lease_expires_at_ = 0;
  monotonic_time lease_extended_at_ = 0;  // when the endpoint last extended the lease or was selected
  monotonic_time extended_until_ = 0;     // when the lease expires after that extension
  monotonic_time last_up_at_ = 0;         // when the connection was last up or the endpoint was selected

  configuration_version least_required_ = 0;
  configuration_version newest_announced_ = 0;
  std::int64_t required_partitions_version_ = 0;
  version_deadlines deadlines_;
  bool lease_received_ = false;  // whether any lease was granted since the start
  bool lease_reported_ = false;  // whether the last report in the log said that the node has a lease
  array placement_requests_;

  signal connection_changed_;  // woken when the connection is established or lost, or the peer process is gone
  std::shared_ptr<peer_connection> peer_;  // shared because a request may outlive a switch of endpoints
  task_group tasks_;
};

}  // namespace reachridge
