// The control node: replicated log, sessions, placement and HTTP pages for operators (design 5).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/cluster_view.hpp"
#include "cluster/control_operation.hpp"
#include "cluster/session_messages.hpp"
#include "cluster/version_deadlines.hpp"
#include "control/control_state.hpp"
#include "control/drain_orders.hpp"
#include "control/gossip_state.hpp"
#include "control/lease_table.hpp"
#include "control/placement_policy.hpp"
#include "control/replica_move.hpp"
#include "control/session_registry.hpp"
#include "raft/consensus.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// A control node of the cluster. It holds a copy of the replicated state, manages the sessions of nodes and exchanges
// them with the other control nodes. The leader also grants leases and places partitions. All work runs on one event
// loop.
class control_node {
 public:
  // Listens on the configured addresses and starts all tasks. `host` must outlive this object.
  control_node(host& host, const settings& settings);
  ~control_node();
  // Returns the contents of the status page.
  [[nodiscard]] auto status() const -> value;
  // Answers an operator's HTTP request. Throws request_error.
  auto handle_page(http_request request) -> task<http_response>;
  // Whether this control node is the leader of the replicated log.
  [[nodiscard]] auto leads() const -> bool {
    return raft.is_leader();
  }
  // Returns the zones of all nodes in this control node's cluster view.
  [[nodiscard]] auto zones() const -> std::set<std::string>;
  // Whether this control node can accept orders, which requires recent contact with a quorum.
  [[nodiscard]] auto ready() const -> bool;
  // Replaces the settings of the running process.
  auto reload(const settings& settings) -> void {
    settings_ = settings;
  }
  // Whether fewer storage nodes are available than a partition that retains messages has replicas. Reserve storage
  // nodes do not count; they may then hold replicas.
  [[nodiscard]] auto lacks_storage_nodes() const -> bool;
  // Called once per heartbeat interval while the shortage lasts; may be empty.
  std::function<void()> on_storage_shortage;
  // Transfers the leadership and leaves the voters before this process ends. Gives up at `limit`.
  auto leave(monotonic_time limit) -> task<void>;
  control_state state;

 private:
  auto on_leader_change() -> void;
  auto log_task_error(std::exception_ptr error) const -> void;
  // Increments the number of starts on disk and returns it. The number is greater than at all earlier starts.
  auto next_boot_id() -> std::int64_t;

  // Answers a request from a node, another control node or an operator's page. `request` names the operation.
  auto handle_call(connection_ptr connection, value request) -> task<value>;
  // Answers a request that depends on the committed state. A follower forwards the request to the leader.
  auto answer_at_leader(control_operation operation, value request) -> task<value>;
  auto on_leave(const value& request) -> task<value>;
  auto on_recreate_partition(const std::string& id) -> task<value>;
  [[nodiscard]] auto encode_committed_state() const -> value;

  // Sessions (session_service.cpp).
  // Answers a heartbeat with the node's lease and the updates that the node lacks.
  auto on_session_request(session_request request) -> task<session_reply>;
  // Waits until there are updates for the node, until a lease becomes possible that was not possible before, or until
  // the heartbeat has to be answered.
  auto wait_for_changes(const session_request& request, monotonic_time received_at) -> task<session_updates>;
  // Waits a little longer if more changes of the found kind are likely to follow, so that one reply contains them all.
  auto coalesce_changes(const std::string& name, const session_updates& found) -> task<void>;
  // Returns the updates that the node lacks now. If `include_unneeded` is set, the updates also report new versions
  // that contain no change that the node needs.
  [[nodiscard]] auto collect_updates(const session_request& request, bool include_unneeded) const -> session_updates;
  // Records in the node's session, if it still exists, when these updates were sent.
  auto record_sent(const std::string& name, const session_updates& updates) -> void;
  // Returns a lease, counted from `received_at`, if this control node may grant one. The leader records it in
  // `leases_`.
  auto grant_lease(const session_request& request, monotonic_time received_at) -> std::optional<lease_grant>;
  // Returns when the node may be sent the newest configuration. The delay combines changes in quick succession. Returns
  // `never` if the node already holds the newest configuration or has no session.
  [[nodiscard]] auto configuration_send_time(const session_request& request) const -> monotonic_time;

  // Removes sessions, tables and leases that have timed out, once per heartbeat interval.
  auto expire_sessions() -> task<void>;
  // Excludes a pause of this process from the silence of all sessions and peers.
  auto extend_for_pause(monotonic_time now, monotonic_time pause) -> void;
  auto end_timed_out_sessions(monotonic_time now) -> bool;  // returns whether any session has ended
  auto remove_stale_tables(monotonic_time now) -> bool;     // returns whether any table was removed
  auto report_storage_shortage(monotonic_time now) -> void;
  [[nodiscard]] auto on_in_force_query(configuration_version version) const -> in_force_status;

  // Gossip (gossip.cpp). Starts one task for each other control node among the seeds and the voters.
  auto start_gossip() -> void;
  auto gossip_with(std::string address) -> task<void>;
  auto exchange_gossip(const std::string& address, gossip_progress& progress) -> task<gossip_round>;
  auto wait_for_next_round(const std::string& address, const gossip_progress& progress, const gossip_round& round)
      -> task<void>;
  auto build_gossip_request(const served_versions& live_nodes, gossip_progress& progress) -> gossip_request;
  static auto record_gossip_progress(const gossip_reply& reply, std::int64_t sent_table_version,
                                     const served_versions& live_nodes, gossip_progress& progress) -> void;
  // At a follower: applies the leader's grant, which permits leases for the sessions that the round named.
  auto apply_lease_grant(const gossip_lease_grant& grant, const gossip_round& round) -> void;
  auto on_gossip(const gossip_request& request) -> gossip_reply;
  static auto record_live_nodes(const gossip_request& request, peer_sessions& peer) -> void;
  static auto record_loads(const std::map<std::string, std::int64_t>& loads, cluster_view::session_table& table)
      -> void;
  // At the leader: records leases for the live nodes of `peer` and returns the permission to grant them.
  auto grant_leases_through(const peer_sessions& peer, bool with_deadlines) -> gossip_lease_grant;

  auto on_choose_replica(const value& request) -> value;
  auto forward_to_leader(value request) -> task<value>;
  // Commits a command through the leader and returns the result of applying it.
  auto propose(value command) -> task<value>;
  // Returns the addresses of the other control nodes: voters and seeds.
  [[nodiscard]] auto other_control_nodes() const -> std::set<std::string>;
  // Returns the addresses of the control nodes with which nodes may have sessions: the voters.
  [[nodiscard]] auto session_endpoints() const -> std::vector<std::string>;
  // Placement, which runs only at the leader (placement.cpp).
  auto place_partitions() -> task<void>;
  auto assign_new_partitions() -> task<void>;
  // Assigns the partitions of one pool that have no assignment yet and adds their load to `loads`.
  auto assign_new_partitions_of(const std::string& pool, std::int64_t count, const node_table& nodes, load_table& loads)
      -> task<void>;
  auto recreate_lost_partitions() -> task<void>;
  auto complete_drains() -> task<void>;
  auto propose_as_leader(const control_command& command) -> task<void>;
  // Copies the replicated state into the cluster view.
  auto refresh_view() -> void;
  // Sets the deadline of the configuration version that the last command introduced, if any. `previous` is the
  // configuration before that command.
  auto set_version_deadline(const configuration_ptr& previous) -> void;
  // Returns the number of the newest accepted configuration, or 0 if there is none.
  [[nodiscard]] auto newest_accepted() const -> configuration_version;
  // Returns the versions that the receiver of a lease must put into force, with times relative to `since`. If the
  // receiver does not support deadlines, the newest version is required immediately.
  [[nodiscard]] auto version_requirements_from(monotonic_time since, bool with_deadlines) const -> version_requirements;
  // At the leader: whether a quorum has confirmed the leadership recently enough (design 5.3).
  [[nodiscard]] auto may_grant_leases() const -> bool;
  // Whether this control node, as the leader or on the leader's behalf, may grant this node a lease now.
  [[nodiscard]] auto may_grant_lease_to(const std::string& name) const -> bool;
  // Returns the storage nodes that have a session and are not draining.
  [[nodiscard]] auto available_storage_nodes() const -> node_table;
  // Returns the storage nodes beside control nodes that have a session and are not draining.
  [[nodiscard]] auto available_reserves() const -> node_table;
  // Returns the available storage nodes, plus the storage nodes of evacuated zones if the available ones are in fewer
  // than two zones.
  [[nodiscard]] auto storage_nodes_with_fallback() const -> node_table;
  // Returns the nodes that could hold replicas without this storage node: the reachable storage nodes, and the
  // unreachable ones that hold replicas.
  [[nodiscard]] auto nodes_remaining_without(const std::string& name) const -> node_zones;
  // Whether the member's node has a session and still uses the same disk.
  [[nodiscard]] auto is_live(const std::string& member) const -> bool;
  // Whether every in-sync node has returned with another disk, which means that no replica is left.
  [[nodiscard]] auto all_replicas_lost(const partition_assignment& assignment) const -> bool;
  // Assigns a partition that has lost all replicas to new members. `accept_message_loss`: an operator accepts the loss
  // of the messages that the partition retained.
  auto recreate_partition(std::string id, bool accept_message_loss) -> task<value>;
  // Requests one move at a time to reduce the load differences between storage nodes.
  auto balance_load() -> void;
  [[nodiscard]] auto is_in_progress(const replica_move& move) -> bool;
  // Returns the intended number of replicas of each partition of this pool.
  [[nodiscard]] auto replica_count_of(const std::string& pool) const -> std::int64_t;
  // Returns the encoded moves that the node, as a primary, is requested to carry out.
  auto moves_requested_from(const std::string& name) const -> array;
  // HTTP pages (pages.cpp).
  [[nodiscard]] auto ready_page() const -> http_response;
  [[nodiscard]] auto members_page() const -> http_response;
  auto voters_page() -> task<http_response>;
  auto partitions_page() -> task<http_response>;
  auto configuration_page(http_request request) -> task<http_response>;
  auto in_force_page(http_request request) -> task<http_response>;
  auto read_configuration_page() -> task<http_response>;
  auto submit_configuration(compiled_configuration_ptr next) -> task<http_response>;
  // Returns the changes that a configuration would cause, for a dry run.
  [[nodiscard]] auto plan_configuration(const compiled_configuration& next) const -> object;
  // Returns a warning if the current storage nodes are in too few zones for this configuration, or an empty string.
  [[nodiscard]] auto zone_warning(const compiled_configuration& next) const -> std::string;
  auto recreation_page(http_request request) -> task<http_response>;

  // Operators' drain orders (drain_service.cpp).
  auto drain_page(http_request request) -> task<http_response>;
  auto list_drains() -> task<http_response>;
  // Returns the partitions that a draining node or zone still holds. The replicated state does not contain zones, so
  // only reachable nodes count for a zone.
  [[nodiscard]] auto partitions_remaining_on(const control_state& current, const std::string& name) const
      -> std::set<std::string>;
  // Returns the state that a majority has committed.
  auto read_state() -> task<control_state>;
  // Sends an order to the leader, fenced by the last order on the same name that this control node has applied.
  auto submit_drain_order(const drain_order& order) -> task<value>;
  // Submits the order again whenever another order on the same name was applied first, as long as the client waits. The
  // resubmitted order is the newer one.
  auto submit_until_decided(const drain_order& requested, const http_request& request) -> task<value>;
  // Decides an order at the leader, which must have confirmed its leadership with a majority before. A control node
  // that is cut off sees too few nodes and would refuse wrongly. `expected_last_order` is the fence from the requesting
  // node.
  auto on_drain_order(const drain_order& order, log_index expected_last_order) -> task<value>;
  struct drain_decision {
    control_command command;
    std::optional<request_error> refusal;  // thrown after the command has been committed
  };
  [[nodiscard]] auto decide_drain(const drain_order& order, log_index expected_last_order) const -> drain_decision;
  [[nodiscard]] auto knows_storage_node(const std::string& name) const -> bool;
  // Returns the error if this node may not be retired now. `remaining_nodes` are the nodes that could hold replicas
  // without it.
  [[nodiscard]] auto retirement_rejection(const drain_order& order, const node_zones& remaining_nodes) const
      -> std::optional<request_error>;

  host& host_;
  settings settings_;
  cluster_view view_;
  session_registry sessions_{view_};            // sessions between nodes and this control node
  lease_table leases_;                          // filled only at the leader
  std::map<std::string, peer_sessions> peers_;  // other control nodes with a table in `view_`; key: source
  std::set<std::string> gossip_peers_;          // addresses of control nodes with a gossip task
  std::map<std::string, std::int64_t> chosen_backups_by_node_;  // since the last placement pass; key: name of the node
  version_deadlines deadlines_;                                 // of recently committed versions, as set by the leader
  configuration_version newest_committed_ = 0;                  // as last reported by the leader
  std::int64_t leased_partitions_version_ = 0;       // as last reported by the leader; sent with a follower's leases
  monotonic_time last_granted_request_at_ = -never;  // when the last granted request for leases was sent
  signal changed_;                                   // the view or the permission to grant leases has changed
  std::vector<replica_move> requested_moves_;        // moves that have not finished; at most one
  monotonic_time last_move_requested_at_ = 0;
  monotonic_time started_at_ = host_.now();
  monotonic_time shortage_since_ = host_.now();

 public:
  consensus raft;  // must be constructed after all members that its callbacks use: its constructor restores a snapshot

 private:
  task_group tasks_;
};

}  // namespace reachridge
