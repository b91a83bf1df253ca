// One replica of a partition on a storage node: its log, its state and its role (design 6).
//
// A partition is an ordered log of messages and subscriptions. Its primary serves clients and replicates the log to
// the backups, which replay the log and can take over.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/control_session.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/settings.hpp"
#include "storage/admission_control.hpp"
#include "storage/client_requests.hpp"
#include "storage/partition_log.hpp"
#include "storage/partition_state.hpp"
#include "storage/replica_progress.hpp"
#include "storage/replica_record.hpp"
#include "storage/replication_messages.hpp"

namespace reachridge {

// The maximum number of entries that a replica may lack to be added to the in-sync set. A replica that lacks at most
// this many entries always receives the entries; a replica that lacks more receives a copy of the state if the copy
// costs less.
constexpr auto max_entries_behind = std::int64_t{256};

// The services of the storage node that a partition uses. Every referenced object outlives the partition.
struct partition_context {
  reachridge::host& host;
  const reachridge::settings& settings;
  control_session& session;
  std::function<peer_connection&(const std::string& address)> peer_connection_to;
  std::function<bool()> is_leaving;    // whether this storage node is shutting down
  duration_statistics& release_times;  // from the append of an entry to the release of its outputs
};

// A replica is idle, a backup or the primary. All its tasks run on the storage node's event loop, so no other task
// changes a member between two awaits of a task. The replicated log of the control nodes decides which replica is the
// primary: a replica proposes a change of roles there by compare-and-set of the epoch. A replica never acts on an epoch
// below the highest that it knows.
//
// The member functions are defined in: partition.cpp (disk, flush, status), partition_requests.cpp (client requests),
// partition_replication.cpp (the primary's side of replication), partition_backup.cpp (the backup's side),
// partition_replicas.cpp (replacement of replicas, admission control), partition_spare.cpp (the spare),
// partition_leadership.cpp (roles and claims).
class partition {
 public:
  // Loads the replica from the disk and starts its tasks. A damaged replica is wiped and receives a new copy of the
  // state from the primary.
  partition(partition_context context, std::string id);

  // Client requests that gateways forward. Only the storage node's command loop calls these functions (design 6.7).
  // A reply is sent after every entry that it depends on is durable on all in-sync replicas (design 6.3). The caller
  // limits the waiting time.
  auto publish(const publish_request& request, pending_reply_ptr reply) -> void;
  auto subscribe(const subscribe_request& request, const connection_ptr& gateway) -> void;
  auto close_subscription(const close_subscription_request& request) -> void;
  auto read(const read_request& request, pending_reply_ptr reply) -> void;
  auto count(const count_request& request, pending_reply_ptr reply) -> void;
  // Removes the subscribers of a closed connection. Their subscriptions stay open until the resend window has passed.
  auto on_gateway_disconnected(const connection_ptr& gateway) -> void;

  // Handlers of replication messages (design 6.2). on_join and on_state_chunk throw request_error.
  auto on_join(replica_join_request request) -> task<replica_join_reply>;
  auto on_state_chunk(state_chunk chunk) -> task<void>;
  auto on_append(const connection_ptr& from, append_message message) -> void;
  auto on_acknowledgement(const replica_acknowledgement& message) -> void;
  // The primary of this epoch has announced that it is still replaying its log and is not live yet.
  auto on_replay_announcement(partition_epoch epoch) -> void;

  // Events on connections and processes that the storage node reports (design 6.5).
  // Returns whether `closed` was the connection from the primary that this backup follows, and drops that connection.
  auto drop_primary_connection(const connection_ptr& closed) -> bool;
  // The process of the storage node `node` is known to have terminated. If that node is the primary that this backup
  // follows and their connection is closed, this replica checks at once whether to claim the partition.
  auto on_primary_process_gone(const std::string& node) -> void;
  // A connection to a replica was opened or closed.
  auto on_replica_connection_changed() -> void {
    replication_wakeup_.wake();
  }

  // Takes the assignment that the replicated log has committed. An assignment that is not newer is ignored.
  auto apply_assignment(const partition_assignment& committed) -> void;

  // The load that this replica puts on its node, in units: a primary counts twice as much as a backup.
  [[nodiscard]] auto load_units() const -> std::int64_t {
    return role_ == replica_role::primary ? 2 : role_ == replica_role::backup ? 1 : 0;
  }
  // Whether this replica may be wiped and deleted: no committed assignment names it, none that can still be committed
  // does, and it has not been used for several failure timeouts.
  [[nodiscard]] auto is_obsolete() const -> bool;
  // Erases the log and the state, on disk and in memory.
  auto wipe() -> void;
  [[nodiscard]] auto is_primary() const -> bool {
    return role_ == replica_role::primary;
  }
  // The fields that the node's status page shows for this replica.
  [[nodiscard]] auto status() const -> value;
  // The version of the configuration that is in effect in this partition.
  [[nodiscard]] auto configuration_number() const -> std::int64_t;
  // The number of publishes admitted since the process started.
  [[nodiscard]] auto admitted_publishes() const -> std::int64_t {
    return admission_.admitted();
  }

  const std::string id;

 private:
  enum class replica_role { idle, backup, primary };
  // Identifies one replication task of the primary. The task ends when the leadership number or the replica's
  // replication number changes.
  struct replication_run {
    std::string member;
    std::int64_t leadership;
    std::int64_t number;
  };
  // A change of replicas that the control nodes request to balance the load.
  struct placement_request {
    std::string backup;       // the member to add as a backup; empty: no member
    std::string replaced;     // the node of the backup that the new backup replaces
    bool hand_over = false;   // whether to hand over the leadership
    std::string new_primary;  // the node that becomes the primary; empty: the node of any backup
  };
  // The destination of the deliveries of one subscription.
  struct subscriber {
    connection_ptr connection;  // to the gateway
    // The log index of the subscribe entry. Outputs of earlier entries are not sent to this connection: the outputs of
    // the subscribe entry already include the retained messages that a resumed subscription lacks.
    message_position first_index;
    std::int64_t opening;  // counted by the gateway; a retry of a subscribe request has the same number
  };
  // A reply to a read, a count or a duplicate publish that waits for replication.
  struct deferred_reply {
    pending_reply_ptr reply_to;
    client_reply reply;
  };
  // The refusal of a publish that waits for replication.
  struct deferred_refusal {
    pending_reply_ptr reply_to;
    request_error error;
  };
  // The refusal of a subscription from a position above `last_position`, the last one that was assigned.
  struct position_refusal {
    std::string subscription_id;
    message_position last_position;
  };
  // An output that is sent after the entry at log_index is durable on all in-sync replicas; monostate: send nothing.
  struct pending_output {
    std::int64_t log_index;
    std::variant<std::monostate, output, deferred_reply, deferred_refusal, position_refusal> action;
  };
  // The subscriptions that were refused since the last report because messages that they lack have expired.
  struct refused_resumes {
    std::int64_t count = 0;
    message_position last_expired_position = 0;
  };
  // Identifies a publish by its client, topic and sequence number.
  using publish_key = std::pair<std::string, std::pair<std::string, sequence_number>>;

  [[nodiscard]] auto own_member() const -> std::string {
    return context_.session.self.member();
  }
  [[nodiscard]] auto last_index() const -> entry_index {
    return log_.last_index();
  }
  // Whether the pool retains messages. If not, messages are only kept for the resend window.
  [[nodiscard]] auto keeps_messages() const -> bool {
    return state_.retention_ms > 0;
  }
  auto log_info(const std::string& text) const -> void;
  auto log_debug(const std::string& text) const -> void;
  [[nodiscard]] auto since(monotonic_time began_at) const -> std::string;

  // partition.cpp: the log and the state on this node's disk.
  auto load() -> void;
  auto store_snapshot_if_due() -> void;
  auto append(partition_log::entry new_entry) -> entry_index;
  auto append_operation(std::vector<log_entry> entries) -> void;
  auto clock_entry() -> std::vector<log_entry>;
  [[nodiscard]] auto configuration_entry() const -> std::optional<log_entry>;
  auto flush_log() -> task<void>;
  auto wait_for_unsynced_entries() -> task<void>;
  auto wait_for_disk_recovery(const std::string& fault) -> task<void>;

  // partition_requests.cpp: client requests and the release of outputs.
  // The last entry whose outputs may be sent.
  [[nodiscard]] auto releasable_index() const -> entry_index;
  // Whether an output waits for the acknowledgement of a replica that is silent.
  [[nodiscard]] auto is_waiting_for_silent_backup() const -> bool;
  // Whether the partition retains messages but no backup is responsive.
  [[nodiscard]] auto is_unreplicated() const -> bool;
  auto release_outputs() -> void;
  auto note_release(entry_index index, monotonic_time now) -> void;
  auto report_expired_resumes() -> void;
  auto dispatch_output(pending_output& pending) -> void;
  auto send_output(message_position log_index, const publish_accepted& accepted) -> void;
  auto send_output(message_position log_index, const message_delivery& delivery) -> void;
  auto send_output(message_position log_index, const subscription_opened& opened) -> void;
  auto send_output(message_position log_index, const resume_expired& expired) -> void;
  // Refuses the subscription and forgets its gateway.
  auto send_refusal(message_position log_index, const std::string& subscription_id, subscribe_result reason,
                    message_position position) -> void;
  [[nodiscard]] auto find_subscriber(const std::string& subscription_id, message_position log_index)
      -> std::map<std::string, subscriber>::iterator;
  [[nodiscard]] auto not_primary_error() const -> request_error;
  // The checks of a publish. Each check returns the error to reply with, or no value if the publish passes the check.
  [[nodiscard]] auto check_can_replicate() const -> std::optional<request_error>;
  auto check_log_buffers() -> std::optional<request_error>;
  // Consumes an admission token if the publish passes.
  auto check_admission() -> std::optional<request_error>;
  [[nodiscard]] auto has_full_log_buffer(const std::string& member) const -> bool;
  // The delay, in milliseconds, after which a client retries a request that failed for lack of a backup.
  [[nodiscard]] auto backup_retry_ms() const -> std::int64_t;
  auto answer_duplicate(const publish_request& request, pending_reply_ptr reply) -> void;
  auto refuse_low_sequence(pending_reply_ptr reply) -> void;
  auto append_publish(const publish_request& request) -> void;
  auto reply_when_replicated(pending_reply_ptr reply_to, client_reply reply) -> void;
  auto refuse_position(const std::string& subscription_id) -> void;
  // Whether the subscription already has a later opening, or the same opening on the same connection.
  [[nodiscard]] auto is_outdated(const subscribe_request& request, const connection_ptr& gateway) const -> bool;

  // partition_replication.cpp: the primary replicates its log to the other replicas.
  auto start_replication(const std::string& member) -> void;
  auto replicate(replication_run run) -> task<void>;
  [[nodiscard]] auto is_current_run(const replication_run& run) const -> bool;
  // Whether the primary replicates to this member: it is in sync, is joining the in-sync set or is the spare.
  [[nodiscard]] auto is_replication_target(const std::string& member) const -> bool;
  // replicate_over, join_replica and stream_entries return false if the run has ended. Otherwise join_replica returns
  // true, and the other two return whether the stream ended only because the epoch changed: the replica then rejoins
  // immediately.
  auto replicate_over(const replication_run& run, peer_connection& connection) -> task<bool>;
  auto join_replica(const replication_run& run, peer_connection& connection) -> task<bool>;
  auto request_join(const replication_run& run, peer_connection& connection, replica_join_request request)
      -> task<replica_join_reply>;
  [[nodiscard]] auto is_prefix(const replica_join_reply& reply) const -> bool;
  [[nodiscard]] auto common_entry(const replica_join_reply& reply) const -> std::optional<entry_identity>;
  [[nodiscard]] auto copy_reason(const replica_join_reply& reply) const -> std::optional<std::string>;
  auto copy_state(const replication_run& run, peer_connection& connection, join_id join)
      -> task<std::optional<entry_index>>;
  auto begin_streaming(replica_progress& replica, const replica_join_reply& join_reply) -> void;
  auto stream_entries(const replication_run& run, peer_connection& connection) -> task<bool>;
  [[nodiscard]] auto may_stream(const replication_run& run, const peer_connection& connection,
                                partition_epoch epoch) const -> bool;
  auto next_entries(replica_progress& replica, bool congested) -> append_message;
  auto on_replication_interrupted(replica_progress& replica, const peer_connection& connection) -> void;
  [[nodiscard]] auto replay_lag(const replica_progress& replica) const -> monotonic_time;
  [[nodiscard]] auto is_responsive(const std::string& member) const -> bool;
  [[nodiscard]] auto contact_after_disconnect(monotonic_time last_contact) const -> monotonic_time;
  [[nodiscard]] auto expired_contact_time() const -> monotonic_time;

  // partition_backup.cpp: the backup's side of replication.
  [[nodiscard]] auto follows(const std::string& primary, partition_epoch epoch) const -> bool;
  [[nodiscard]] auto last_primary_contact() const -> monotonic_time;
  auto become_backup() -> void;
  auto install_state(const partition_snapshot& snapshot) -> void;
  auto take_entries(append_message message) -> bool;
  auto truncate_log(const entry_identity& last_common) -> void;
  auto restore_snapshot() -> bool;
  auto send_acknowledgement(bool rejected) -> void;
  auto replay() -> task<void>;
  auto replay_up_to(entry_index end) -> task<void>;
  [[nodiscard]] auto may_replay() const -> bool;

  // partition_replicas.cpp: the primary's maintenance of its replicas, once per role check.
  auto maintain_replicas() -> task<void>;
  auto append_clock_and_configuration() -> void;
  auto resolve_join() -> void;
  auto remove_former_replicas() -> void;
  auto close_expired_subscriptions() -> void;
  auto adjust_admission() -> void;
  auto drop_lost_backups() -> task<void>;
  auto restore_replicas() -> task<void>;
  auto choose_new_backup(const std::vector<std::string>& remaining) -> task<void>;
  auto begin_join(const std::string& member) -> void;
  auto complete_join() -> task<void>;
  auto propose_in_sync_set(const std::string& member) -> task<bool>;
  [[nodiscard]] auto is_unresponsive(const replica_progress& replica, monotonic_time since) const -> bool;
  [[nodiscard]] auto is_join_overdue(monotonic_time since) const -> bool;
  auto abandon_join() -> task<void>;
  auto forget_join() -> void;
  auto forget_replica(const std::string& member) -> void;
  auto raise_epoch_after_abandoned_join() -> task<void>;
  auto hand_over() -> task<void>;
  [[nodiscard]] auto choose_successor(const placement_request& request) const -> std::string;
  auto wait_until_caught_up(const std::string& successor) -> task<void>;
  [[nodiscard]] auto has_all_entries(const std::string& member) const -> bool;
  [[nodiscard]] auto target_replica_count() const -> std::size_t;
  [[nodiscard]] auto required_replica_count() const -> std::size_t;
  auto note_lost_disks() -> void;
  [[nodiscard]] auto must_be_replaced(const std::string& member) const -> bool;
  [[nodiscard]] auto lost_backups() const -> std::set<std::string>;
  [[nodiscard]] auto current_placement_request() const -> placement_request;
  auto keep_silent_backups(std::vector<std::string>& remaining, const std::string& member) const -> void;
  [[nodiscard]] auto in_sync_set_with(const std::string& member, const placement_request& request) const
      -> std::vector<std::string>;

  // partition_spare.cpp: a replica that is ready to replace a lost one.
  auto maintain_spare() -> void;
  [[nodiscard]] auto is_spare_usable() const -> bool;
  [[nodiscard]] auto has_spares() const -> bool;
  [[nodiscard]] auto choose_spare() const -> std::string;
  [[nodiscard]] auto may_follow_again(const std::string& member) const -> bool;
  [[nodiscard]] auto take_former_spare() -> std::string;
  [[nodiscard]] auto spare_patience() const -> monotonic_time;
  auto delay_spare_choice() -> void;
  [[nodiscard]] auto is_on_drained_node(const std::string& member) const -> bool;
  auto keep_as_spare(const std::vector<std::string>& former_backups) -> void;
  auto set_spare(std::string member) -> void;
  auto drop_spare() -> void;
  auto promote_spare() -> bool;

  // partition_leadership.cpp: roles, claims and handling of assignments.
  auto run_role_checks() -> task<void>;
  auto wait_for_next_check() -> task<void>;
  auto check_role(monotonic_time& claim_delay) -> task<void>;
  [[nodiscard]] auto holds_acknowledged_entries() const -> bool;
  auto report_missing_log() -> void;
  [[nodiscard]] auto is_primary_silent(monotonic_time claim_delay) const -> bool;
  auto propose(partition_assignment next, std::string reason) -> task<bool>;
  auto claim(std::string reason) -> task<void>;
  [[nodiscard]] auto claimed_assignment() const -> partition_assignment;
  auto take_over(std::string former_primary, std::string reason) -> task<void>;
  auto replay_before_go_live(partition_epoch claimed) -> task<void>;
  [[nodiscard]] auto is_replay_pending(partition_epoch claimed) const -> bool;
  auto announce_replay(partition_epoch claimed) -> void;
  auto go_live() -> void;
  auto recreate() -> void;
  auto begin_leadership() -> void;
  auto step_down(const std::string& reason) -> void;
  auto notify_gateways_moved() -> void;
  auto fail_waiting_requests(const std::string& reason) -> void;

  partition_context context_;
  host& host_;
  store& disk_;

  // The role. A change of leadership_number_ ends the replication tasks of the previous leadership.
  replica_role role_ = replica_role::idle;
  partition_assignment assignment_;  // the newest assignment that is known to be committed
  std::int64_t leadership_number_ = 0;
  bool is_handing_over_ = false;
  bool check_immediately_ = true;         // the next role check does not wait for the heartbeat interval
  bool is_damaged_ = false;               // this replica never claims or serves until it has a new copy (design 6.8)
  partition_epoch unclaimed_epoch_ = -1;  // the epoch at which a missing log was last reported

  // The replica. state_ is the result of the entries up to applied_index_, and applied_index_ <= log_.last_index().
  partition_log log_;
  replica_record record_;
  partition_state state_;
  entry_index applied_index_ = 0;
  int running_calls_ = 0;  // join and copy requests in progress

  // The primary's outputs (design 6.3).
  std::deque<pending_output> pending_outputs_;  // in log order
  // The last entry with a released output. A replica without this entry must not be in the in-sync set.
  entry_index released_index_ = 0;
  refused_resumes expired_resumes_;
  std::map<publish_key, std::vector<pending_reply_ptr>> waiting_publishes_;
  std::map<std::string, subscriber> subscribers_;             // by subscription id
  std::map<std::string, monotonic_time> disconnected_since_;  // by id of a subscription without a gateway connection
  admission_control admission_;

  // The primary's replicas.
  std::map<std::string, replica_progress> replicas_;  // by member
  join_progress join_;
  spare_replica spare_;
  std::map<std::string, monotonic_time> lost_disks_;  // members, with the time when their loss was noticed
  std::int64_t last_replication_number_ = 0;
  join_id last_join_id_ = 0;
  monotonic_time last_clock_entry_at_ = 0;

  // The backup's primary.
  followed_primary followed_;
  monotonic_time last_contact_ = 0;  // from the primary, or the time at which another primary was assigned
  monotonic_time created_at_ = 0;    // when this object was created
  monotonic_time became_backup_at_ = 0;

  signal replication_wakeup_;  // wakes the primary's replication tasks
  signal spare_promoted_;      // wakes the replication task of a spare that joins the in-sync set
  signal entries_received_;    // wakes replay
  signal check_wakeup_;        // wakes run_role_checks
  signal unsynced_entries_;    // wakes flush_log
  task_group tasks_;
};

}  // namespace reachridge
