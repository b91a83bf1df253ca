// The sessions between nodes and this control node (design 5.1).
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/session_messages.hpp"

namespace reachridge {

// A node's session with this control node. All times are monotonic times of this process.
struct node_session {
  node_descriptor node;  // from the last heartbeat
  monotonic_time last_contact = 0;
  monotonic_time partitions_sent_at = -never;            // when the node was last sent partition assignments
  monotonic_time configuration_sent_at = -never;         // when the node was last sent a configuration
  configuration_version sent_configuration_version = 0;  // the version of that configuration
  configuration_version served_version = 0;              // the version that the node last reported to serve
  monotonic_time max_lease_end = 0;  // at a follower: latest lease end that the leader permits for this node
};

// Owns the sessions and updates this control node's table in the cluster view with every change. Each change of the
// table gets a new version. The versions of a later start are greater than all versions of an earlier start. After a
// change the caller must wake the tasks that wait for changes.
class session_registry {
 public:
  // `view` must outlive this object.
  explicit session_registry(cluster_view& view) : view_(view) {}
  // Sets the name and the first version of the table. Must be called before any other function. `boot_id` must be
  // greater than at all earlier starts.
  auto start(std::string source, std::int64_t boot_id) -> void;

  // The name of this control node's table in version vectors.
  [[nodiscard]] auto source() const -> const std::string& {
    return source_;
  }
  // This control node's table in the cluster view.
  [[nodiscard]] auto table() -> cluster_view::session_table& {
    return view_.session_tables[source_];
  }
  // The number of sessions.
  [[nodiscard]] auto size() const -> std::size_t {
    return sessions_.size();
  }
  // Returns null if the node has no session with this control node.
  [[nodiscard]] auto find(const std::string& name) -> node_session*;
  [[nodiscard]] auto find(const std::string& name) const -> const node_session*;
  // Returns the nodes that have sent a heartbeat within `timeout`, with the versions that they serve.
  [[nodiscard]] auto live_nodes(monotonic_time now, monotonic_time timeout) const -> served_versions;
  // Returns a version for the list of live nodes that is greater than all earlier versions of the list.
  [[nodiscard]] auto next_live_nodes_version() -> std::int64_t;

  // Starts or renews the sender's session. Returns whether the table got a new version. A change of only the load does
  // not create a version.
  auto record_heartbeat(const session_request& request, monotonic_time now) -> bool;
  // Ends a session. Returns whether the session existed.
  auto remove(const std::string& name) -> bool;
  // Ends the sessions without a heartbeat within `timeout` and returns the names of their nodes.
  auto remove_timed_out(monotonic_time now, monotonic_time timeout) -> std::vector<std::string>;
  // Excludes a pause, during which this process read no messages, from the silence of all sessions.
  auto extend_for_pause(monotonic_time now, monotonic_time pause) -> void;

 private:
  auto next_table_version() -> std::int64_t;

  cluster_view& view_;
  std::string source_;
  std::int64_t boot_id_ = 0;
  std::int64_t table_updates_ = 0;       // since the start of this process
  std::int64_t live_nodes_updates_ = 0;  // since the start of this process
  std::map<std::string, node_session> sessions_;
};

}  // namespace reachridge
