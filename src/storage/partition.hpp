// One replica of a partition on a storage node: its log, its state and its role (design 6).
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
#include "storage/replication_messages.hpp"

namespace reachridge {

// A replica that lacks at most so many entries may join the in-sync set next, and is brought up to date by entries
// rather than by a copy of the state.
constexpr auto max_entries_behind = std::int64_t{256};

// What a partition needs of its storage node. All of it outlives the partition.
struct partition_context {
  reachridge::host& host;
  const reachridge::settings& settings;
  control_session& session;
  std::function<peer_connection&(const std::string& address)> peer;
  std::function<bool()> leaving;  // this storage node is shutting down
};

// A replica is idle, a backup or the primary. Its tasks run on the storage node's event loop, so that nothing changes
// between two awaits. It follows the replicated log of the control nodes, which alone decides who leads: a change of
// role is proposed there by compare-and-set of the epoch. A replica never acts on an epoch below the highest it knows.
//
// The parts of its code: partition.cpp (disk, flush, status), partition_requests.cpp (clients), partition_feed.cpp
// (primary to backup), partition_backup.cpp (the backup's side), partition_replicas.cpp (replacing replicas and slowing
// for them), partition_lead.cpp (roles and claims).
class partition {
 public:
  partition(partition_context context, std::string id);

  // Requests of clients, brought by their gateways. The storage node's command loop is the only caller (design 6.7).
  // A reply is sent, or an error, once what it tells is safe (design 6.3); the caller bounds the wait.
  auto publish(const publish_request& request, pending_reply_ptr reply) -> void;
  auto subscribe(const subscribe_request& request, const connection_ptr& gateway) -> void;
  auto finish(const finish_request& request) -> void;
  auto read(const read_request& request, pending_reply_ptr reply) -> void;
  auto count(const count_request& request, pending_reply_ptr reply) -> void;
  auto on_gateway_disconnected(const connection_ptr& gateway) -> void;  // a gateway's connection ended

  // The replication's messages (design 6.2). The calls throw request_error.
  auto on_join(replica_join_request request) -> task<replica_join_reply>;
  auto on_state_chunk(state_chunk chunk) -> task<void>;
  auto on_append(const connection_ptr& from, append_message message) -> void;
  auto on_acknowledgement(const replica_acknowledgement& message) -> void;
  auto on_replay_announcement(partition_epoch epoch) -> void;  // its new primary still replays

  // What the storage node finds out about connections and processes (design 6.5).
  auto drop_primary_connection(const connection_ptr& closed)
      -> bool;  // forgets it; did this backup follow its primary over it?
  auto on_primary_process_gone(const std::string& node) -> void;  // that node's process is known to be dead
  auto on_replica_connection_changed() -> void {
    log_grown_.wake();
  }  // a connection to a replica opened or closed

  // The assignment that the replicated log has committed; one that is not newer than the known changes nothing.
  auto apply_row(const partition_assignment& committed) -> void;

  [[nodiscard]] auto load_units() const -> std::int64_t {
    return role_ == replica_role::primary ? 2 : role_ == replica_role::backup ? 1 : 0;
  }
  // Assigned to other nodes for long, and no call is at work in it: the storage node may wipe and delete it.
  [[nodiscard]] auto is_obsolete() const -> bool;
  auto wipe() -> void;
  [[nodiscard]] auto live() const -> bool {
    return role_ == replica_role::primary;
  }
  [[nodiscard]] auto status() const -> value;
  // The version of the configuration that the partition works by.
  [[nodiscard]] auto configuration_number() const -> std::int64_t;
  // Publishes admitted since the process began.
  [[nodiscard]] auto usage() const -> std::int64_t {
    return admission_.admitted();
  }

  const std::string id;

 private:
  enum class replica_role { idle, backup, primary };
  // One task that feeds a replica; it ends when the leadership or the replica's feed number has changed.
  struct feed_run {
    std::string member;
    std::int64_t leadership;
    std::int64_t number;
  };
  // What the control nodes would like, to even out the load.
  struct placement_request {
    std::string backup;    // a member to become a backup; empty: none
    std::string replaced;  // the node of the backup whose place it takes
    bool hand_over = false;
    std::string new_primary;  // the node to hand over to; empty: any backup
  };
  struct subscriber {              // where the deliveries of a subscription go
    connection_ptr connection;     // of its gateway
    message_position first_index;  // outputs of earlier entries are not sent; what they hold comes with this one's
    std::int64_t opening;          // the gateway's count of openings: the same one again is a retry
  };
  struct deferred_reply {  // the reply to a read, a count or a repeated publish
    pending_reply_ptr reply_to;
    client_reply reply;
  };
  struct pending_output {  // what is sent once the entry at this index is safe; monostate: nothing any more
    std::int64_t log_index;
    std::variant<std::monostate, output, deferred_reply> action;
  };
  // A publish by its client, topic and sequence number.
  using publish_key = std::pair<std::string, std::pair<std::string, sequence_number>>;

  [[nodiscard]] auto own_member() const -> std::string {
    return context_.session.self.member();
  }
  [[nodiscard]] auto last_index() const -> entry_index {
    return log_.last_index();
  }
  [[nodiscard]] auto keeps_messages() const -> bool {
    return state_.retention_ms > 0;
  }
  auto log_info(const std::string& text) const -> void;

  // partition.cpp: the log and the state on this node's disk
  auto load() -> void;
  auto store_snapshot_if_due() -> void;
  auto append(partition_log::entry appended) -> entry_index;
  auto append_operation(std::vector<log_entry> entries) -> void;
  auto clock_entry() -> std::vector<log_entry>;
  [[nodiscard]] auto configuration_entry() const -> std::optional<log_entry>;
  auto flush_log() -> task<void>;
  auto wait_for_unsynced_entries() -> task<void>;
  auto wait_for_disk(const std::string& fault) -> task<void>;

  // partition_requests.cpp
  [[nodiscard]] auto releasable_index() const -> entry_index;  // up to here outputs may leave
  [[nodiscard]] auto awaits_silent_backup() const -> bool;     // does an output wait for a replica that is silent?
  [[nodiscard]] auto unreplicated() const -> bool;             // keeps messages, and no backup is in touch
  auto release() -> void;
  auto dispatch(pending_output& pending) -> void;
  auto send_output(message_position log_index, const publish_accepted& accepted) -> void;
  auto send_output(message_position log_index, const message_delivery& delivery) -> void;
  auto send_output(message_position log_index, const subscription_opened& opened) -> void;
  auto send_output(message_position log_index, const resume_expired& expired) -> void;
  [[nodiscard]] auto subscriber_at(const std::string& subscription_id, message_position log_index)
      -> std::map<std::string, subscriber>::iterator;
  [[nodiscard]] auto not_primary_error() const -> request_error;
  // The checks of a publish: the error with which it is refused; none: it may go on.
  [[nodiscard]] auto check_can_replicate() const -> std::optional<request_error>;
  auto check_log_buffers() -> std::optional<request_error>;
  auto check_admission() -> std::optional<request_error>;  // takes a token where it may go on
  [[nodiscard]] auto has_full_log_buffer(const std::string& member) const -> bool;
  [[nodiscard]] auto backup_retry_ms() const -> std::int64_t;  // when to ask again for what wants a backup
  auto answer_repeat(const publish_request& request, pending_reply_ptr reply) -> void;
  auto log_publish(const publish_request& request) -> void;
  auto reply_when_safe(pending_reply_ptr reply_to, client_reply reply) -> void;
  // Does a later opening, or the same one over the same connection, already hold for its subscription?
  [[nodiscard]] auto is_outdated(const subscribe_request& request, const connection_ptr& gateway) const -> bool;

  // partition_feed.cpp: the primary feeds its replicas
  auto start_feed(const std::string& member) -> void;
  auto feed(feed_run run) -> task<void>;
  [[nodiscard]] auto is_current(const feed_run& run) const -> bool;
  // Each of these returns false if the run has ended meanwhile; feed_over and stream_entries otherwise return whether
  // only the epoch has changed, so that the replica joins again at once.
  auto feed_over(const feed_run& run, peer_connection& connection) -> task<bool>;
  auto join_replica(const feed_run& run, peer_connection& connection) -> task<bool>;
  [[nodiscard]] auto continues_own_log(const replica_join_reply& reply) const -> bool;
  auto copy_state(const feed_run& run, peer_connection& connection, join_id join) -> task<std::optional<entry_index>>;
  auto begin_streaming(replica_progress& replica, const replica_join_reply& joined_at) -> void;
  auto stream_entries(const feed_run& run, peer_connection& connection) -> task<bool>;
  [[nodiscard]] auto may_stream(const feed_run& run, const peer_connection& connection, partition_epoch epoch) const
      -> bool;
  auto next_entries(replica_progress& replica, bool congested) -> append_message;
  auto on_feed_interrupted(replica_progress& replica, const peer_connection& connection) -> void;
  [[nodiscard]] auto replay_lag(const replica_progress& replica) const -> monotonic_time;
  [[nodiscard]] auto in_touch(const std::string& member) const -> bool;
  [[nodiscard]] auto contact_after_disconnect(monotonic_time last_contact) const -> monotonic_time;
  [[nodiscard]] auto expired_contact() const -> monotonic_time;

  // partition_backup.cpp
  [[nodiscard]] auto follows(const std::string& primary, partition_epoch epoch) const -> bool;
  [[nodiscard]] auto last_sign_of_primary() const -> monotonic_time;
  auto become_backup() -> void;
  auto install_state(const partition_snapshot& snapshot) -> void;
  auto take_entries(append_message message) -> bool;
  auto send_acknowledgement(bool rejected) -> void;
  auto replay() -> task<void>;
  auto replay_up_to(entry_index end) -> task<void>;
  [[nodiscard]] auto may_replay() const -> bool;

  // partition_replicas.cpp: a round of the primary's care for its replicas
  auto maintain_replicas() -> task<void>;
  auto log_time() -> void;
  auto settle_joined_replica() -> void;
  auto forget_former_replicas() -> void;
  auto finish_disconnected_subscriptions() -> void;
  auto slow_for_lag() -> void;
  auto drop_lost_backups() -> task<void>;
  auto restore_replicas() -> task<void>;
  auto choose_new_backup(const std::vector<std::string>& staying) -> task<void>;
  auto begin_join(const std::string& member) -> void;
  auto bring_in_sync() -> task<void>;
  auto propose_in_sync(const std::string& member) -> task<bool>;
  [[nodiscard]] auto join_timed_out(const replica_progress& replica) const -> bool;
  auto give_up_join() -> task<void>;
  auto hand_over() -> task<void>;
  [[nodiscard]] auto choose_successor(const placement_request& wanted) const -> std::string;
  auto wait_until_complete(const std::string& successor) -> task<void>;
  [[nodiscard]] auto has_all_entries(const std::string& member) const -> bool;
  [[nodiscard]] auto wanted_replicas() const -> std::size_t;
  [[nodiscard]] auto lost_backups() const -> std::set<std::string>;
  [[nodiscard]] auto current_placement_request() const -> placement_request;
  [[nodiscard]] auto in_sync_with(const std::string& member, const placement_request& wanted) const
      -> std::vector<std::string>;

  // partition_lead.cpp: who leads
  auto follow_and_lead() -> task<void>;
  auto wait_for_next_check() -> task<void>;
  auto check_role(monotonic_time& claim_delay) -> task<void>;
  [[nodiscard]] auto primary_is_silent(monotonic_time claim_delay) const -> bool;
  auto propose(partition_assignment next, std::string why) -> task<bool>;
  auto claim(std::string why) -> task<void>;
  [[nodiscard]] auto claimed_assignment() const -> partition_assignment;
  auto take_over(std::string former_primary, std::string why) -> task<void>;
  auto replay_before_go_live(partition_epoch claimed) -> task<void>;
  [[nodiscard]] auto must_replay(partition_epoch claimed) const -> bool;
  auto announce_replay(partition_epoch claimed) -> void;
  auto go_live() -> void;
  auto recreate() -> void;
  auto reset_leadership() -> void;
  auto halt(const std::string& why) -> void;
  auto notify_subscribers_moved() -> void;
  auto reject_waiting(const std::string& why) -> void;

  partition_context context_;
  host& host_;
  store& disk_;

  // The role. Each change of leadership_number_ ends what a former leadership began.
  replica_role role_ = replica_role::idle;
  partition_assignment assignment_;  // the newest that is known to be committed
  std::int64_t leadership_number_ = 0;
  bool handing_over_ = false;
  bool check_at_once_ = true;  // the next look at the assignment waits for no heartbeat
  bool damaged_ = false;       // never claimed or served until its copy is made anew (design 6.8)

  // The replica. state_ holds what the entries up to applied_index_ made, which is at most log_.last_index().
  partition_log log_;
  partition_state state_;
  entry_index applied_index_ = 0;
  int calls_running_ = 0;  // joins and copies at work

  // The primary's outputs (design 6.3).
  std::deque<pending_output> pending_outputs_;  // in the order of the log
  // The last entry of which an output has left: a replica that lacks it is not in sync.
  entry_index released_index_ = 0;
  std::map<publish_key, std::vector<pending_reply_ptr>> waiting_publishes_;
  std::map<std::string, subscriber> subscribers_;       // by subscription
  std::map<std::string, monotonic_time> disconnected_;  // subscriptions whose gateway is gone, since when
  admission_control admission_;

  // The primary's replicas.
  std::map<std::string, replica_progress> replicas_;  // by member
  join_progress join_;
  std::int64_t last_feed_number_ = 0;
  join_id last_join_id_ = 0;
  monotonic_time clock_logged_at_ = 0;

  // The backup's primary.
  followed_primary followed_;
  monotonic_time last_contact_ = 0;  // of this primary, or of another that has just been assigned
  monotonic_time created_at_ = 0;
  monotonic_time reconnected_at_ = 0;  // when this replica last became a backup

  signal log_grown_;         // the primary's feeds have something to do
  signal entries_received_;  // replay has something to do
  signal wake_up_;           // follow_and_lead has something to do
  signal unsynced_entries_;  // flush_log has something to do
  task_group tasks_;
};

}  // namespace reachridge
