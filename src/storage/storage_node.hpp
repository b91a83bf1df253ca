// A storage node: the process that holds replicas of partitions. The node serves requests of gateways and of other
// storage nodes, and opens and removes replicas according to the assignments of the control nodes (design 6).
//
// A single task, `run_commands`, executes the requests of gateways one at a time in order of priority. Therefore a
// partition never handles two requests concurrently (design 6.7).
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>

#include "runtime/http.hpp"
#include "storage/partition.hpp"
#include "storage/priority_command_queue.hpp"

namespace reachridge {

// How a storage node runs in the process of a control node.
struct storage_node_options {
  std::string disk_id;   // the identity of the disk; empty: a storage node has one of its own on the disk
  bool reserve = false;  // whether the node holds replicas only while storage nodes are missing
};

// Runs one storage node on the event loop of its host. All member functions run on that event loop.
class storage_node {
 public:
  // Starts to serve. Throws request_error if the node cannot listen on one of its addresses or if the disk is damaged.
  storage_node(host& host, const settings& settings, storage_node_options options = {});
  ~storage_node();

  // Returns the fields that the status page and statediff show.
  [[nodiscard]] auto status() const -> value;
  // Hands over the node's partitions before the process shuts down. Returns when the node is no longer the primary of
  // any partition and other nodes have taken its replicas, or at the time `limit`.
  auto leave(monotonic_time limit) -> task<void>;
  // Applies new values of the settings that may change while the process runs.
  auto reload(const settings& settings) -> void;
  [[nodiscard]] auto holds_replicas() const -> bool {
    return !partitions_.empty();
  }
  // Returns the replica of this partition on this node, or null.
  [[nodiscard]] auto held_partition(const std::string& id) const -> const partition*;
  // Returns the connection to another storage node. The first call for an address creates the connection, and the node
  // keeps the connection.
  auto peer(const std::string& address) -> peer_connection&;

  control_session session;

 private:
  // storage_node_requests.cpp: calls, notifications, closed connections and HTTP requests.
  auto handle_call(connection_ptr from, value request) -> task<value>;
  auto on_notification(const connection_ptr& from, const value& notification) -> void;
  auto dispatch_notification(const connection_ptr& from, const value& notification) -> void;
  auto on_connection_lost(const connection_ptr& connection) -> void;
  auto handle_replication_call(replication_operation operation, value request) -> task<value>;
  auto enqueue_call(client_operation operation, connection_ptr gateway, value request) -> pending_reply_ptr;
  auto wait_for_reply(pending_reply_ptr reply) -> task<value>;
  auto check_may_join() const -> void;
  auto check_disk() const -> void;
  auto run_commands() -> task<void>;
  auto run_next_command() -> bool;  // returns false if the queue is empty
  auto run_command(const client_command& command) -> void;
  auto run_command(const connection_lost& command) -> void;
  auto run_on_partition(partition& target, const client_command& command) -> void;
  auto reject_not_held(const client_command& command) -> void;
  [[nodiscard]] auto priority_of(const std::string& partition_id) const -> std::size_t;
  auto handle_page(http_request request) -> task<http_response>;

  // storage_node_partitions.cpp: the replicas on this node.
  auto maintain_partitions() -> task<void>;
  auto open_stored_partitions() -> task<void>;
  [[nodiscard]] auto is_stored_spare(const std::string& id) const -> bool;
  [[nodiscard]] auto stored_partition_ids() const -> std::set<std::string>;
  auto apply_assignments() -> void;
  auto remove_obsolete_partitions() -> void;
  auto open_partition(const std::string& id) -> partition&;
  [[nodiscard]] auto find_partition(const std::string& id) -> partition*;
  [[nodiscard]] auto total_load() const -> std::int64_t;
  [[nodiscard]] auto served_version() const -> std::int64_t;
  [[nodiscard]] auto assigned_partitions() const -> std::vector<std::string>;
  [[nodiscard]] auto partitions_to_replace() const -> std::vector<std::string>;
  [[nodiscard]] auto can_be_replaced(const partition_assignment& assignment) const -> bool;
  auto report_unreplaced() const -> void;
  auto report_slow_writes() -> task<void>;
  auto probe_process(std::string name) -> task<void>;
  auto notify_process_gone(const std::string& name) -> void;

  auto start_listening() -> void;
  auto make_peer(const std::string& address) -> std::unique_ptr<peer_connection>;
  [[nodiscard]] auto may_relay_to(const std::string& address) const -> bool;

  host& host_;
  settings settings_;
  std::map<std::string, std::unique_ptr<peer_connection>> peers_;  // by address
  std::map<std::string, std::unique_ptr<partition>> partitions_;   // by id
  priority_command_queue commands_;
  bool leaving_ = false;
  monotonic_time leaving_since_ = never;
  std::uint64_t commands_run_ = 0;
  duration_statistics release_times_;  // of all partitions that this node leads
  task_group tasks_;
};

}  // namespace reachridge
