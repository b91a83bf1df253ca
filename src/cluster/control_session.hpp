// A node's session with a control node: heartbeats one way, lease and changes the other (design 5.1).
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

// A checksum of a list of control nodes, so that a list is sent only to a node that has another.
auto address_list_checksum(const std::vector<std::string>& addresses) -> std::int64_t;

// Keeps a session with one control node after another, from its construction until `leave`. It owns the node's lease
// and its view of the cluster. A storage node and an agent have it with control nodes, a gateway with its agent. The
// lease counts from when the request was sent, so clocks of processes need not agree.
class control_session {
 public:
  // `seeds`: where a session can be had; another is tried when one is silent or does not extend the lease.
  control_session(host& host, const settings& settings, std::vector<std::string> seeds);
  node_descriptor self;  // sent with each heartbeat; the owner keeps it up to date
  cluster_view view;
  signal changed;  // something in `view`, the placement requests, or whether there is a lease, has changed

  [[nodiscard]] auto has_lease() const -> bool {
    return lease_expires_at_ > host_.now();
  }
  [[nodiscard]] auto remaining_lease() const -> monotonic_time {
    return std::max<monotonic_time>(0, lease_expires_at_ - host_.now());
  }
  // The oldest version that may be served by now: the newest whose time to come into force has passed.
  [[nodiscard]] auto required_version() const -> configuration_version {
    return std::max(least_required_, deadlines_.required(host_.now()));
  }
  // The newest version that the control plane has announced, held here or not.
  [[nodiscard]] auto newest_announced() const -> configuration_version {
    return newest_announced_;
  }
  // All that is known of versions that must be in force, with times that count from `since`.
  [[nodiscard]] auto requirements_relative_to(monotonic_time since) const -> version_requirements {
    return {.required = required_version(),
            .newest = newest_announced(),
            .upcoming = deadlines_.pending(host_.now(), since)};
  }
  // Served by a version that no newer one has replaced for longer than the bound (design 5.3).
  [[nodiscard]] auto may_serve() const -> bool {
    return has_lease() && view.configuration && view.configuration->number >= required_version();
  }
  // The view has all that the majority had agreed on when it first answered: nothing older may be acted on.
  [[nodiscard]] auto is_synchronized() const -> bool {
    return answered_once_ && view.partitions_version >= required_partitions_version_;
  }
  // A request to the control plane; throws request_error.
  auto call(value request, monotonic_time limit) -> task<value>;
  // Has a command agreed on; returns what applying it gave. Throws request_error.
  auto propose(value command, monotonic_time limit) -> task<value>;
  // Ends the session and the lease: this node serves no more. Never fails.
  auto leave(monotonic_time limit) -> task<void>;
  // The address of the control node that the session is with.
  [[nodiscard]] auto endpoint() const -> std::string {
    return endpoints_[endpoint_index_];
  }
  // Moves of replicas that this node, as a primary, is asked for.
  [[nodiscard]] auto placement_requests() const -> const array& {
    return placement_requests_;
  }
  std::function<configuration_version()> served_version;  // the version reported; by default the one in `view`
  bool closed = false;

 private:
  auto run() -> task<void>;
  auto connect() -> void;
  auto disconnect() -> void;
  auto use_endpoint(std::size_t index) -> void;
  auto move_to_new_endpoint() -> void;
  [[nodiscard]] auto should_leave_endpoint() -> bool;
  auto leave_endpoint() -> void;
  [[nodiscard]] auto reported_version() const -> configuration_version;
  [[nodiscard]] auto make_heartbeat() const -> session_request;
  // Returns whether it was answered.
  auto send_heartbeat(monotonic_time sent_at) -> task<bool>;
  [[nodiscard]] auto pause_after(monotonic_time sent_at) const -> monotonic_time;
  auto apply_reply(session_reply reply, monotonic_time sent_at) -> void;
  auto extend_lease(const lease_grant& lease, monotonic_time sent_at) -> void;
  auto update_versions(const version_requirements& versions, monotonic_time sent_at) -> void;
  auto update_control_nodes(const std::vector<std::string>& addresses) -> void;

  host& host_;
  settings settings_;

  std::vector<std::string> seeds_;
  std::vector<std::string> control_nodes_;  // as the control plane last sent them
  std::vector<std::string> endpoints_;      // `control_nodes_`, then the seeds
  std::set<std::string> known_endpoints_;   // all that were ever among the endpoints
  std::size_t endpoint_index_ = 0;          // of the endpoint in use
  std::string move_to_;                     // a new endpoint that the session moves to at `move_at_`
  monotonic_time move_at_ = never;

  monotonic_time lease_expires_at_ = 0;
  monotonic_time lease_extended_at_ = 0;  // when the endpoint last extended the lease, or was chosen
  monotonic_time extended_until_ = 0;     // the lease's end then
  monotonic_time last_up_at_ = 0;         // when the connection was last seen up, or the endpoint was chosen

  configuration_version least_required_ = 0;
  configuration_version newest_announced_ = 0;
  std::int64_t required_partitions_version_ = 0;
  version_deadlines deadlines_;
  bool answered_once_ = false;  // a lease has come since the start
  array placement_requests_;

  signal link_changed_;                    // the connection came up, was lost, or its process is gone
  std::shared_ptr<peer_connection> peer_;  // shared: a request may outlive the choice of another endpoint
  task_group tasks_;
};

}  // namespace reachridge
