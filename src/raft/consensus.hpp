// The replicated log (Raft by Ongaro and Ousterhout; design 4). An entry is committed once a majority of the voters has
// synced it to disk. Each control node owns one `consensus` object, which is one replica. The control node forwards the
// requests of other replicas to it, proposes commands, and calls read_barrier() before it reads the state.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "raft/follower_progress.hpp"
#include "raft/log_storage.hpp"
#include "raft/membership.hpp"
#include "raft/snapshot_assembly.hpp"
#include "raft/types.hpp"
#include "raft/vote_tally.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/host.hpp"
#include "runtime/request_error.hpp"
#include "runtime/settings.hpp"

namespace reachridge {

// The limit on the size of one command in bytes: a frame must be able to carry a command by itself.
constexpr auto max_command_bytes = max_frame_bytes / 2;

// One replica of the replicated log. Not thread-safe: all calls come from the thread of the host's event loop.
class consensus {
 public:
  // Callbacks into the replicated state machine, and the limits of the log. `consensus` calls them from its own tasks.
  struct state_machine {
    // Applies a committed command and returns its result; called in log order.
    std::function<value(std::int64_t index, const value& command)> apply;
    std::function<value()> take_snapshot;
    std::function<void(const value&)> restore;  // throws on a malformed state, before it changes anything
    std::function<void()> leader_changed;       // the leader changed, or leadership_established() became true
    log_limits limits = {};
  };
  // Loads the log from the disk and starts the tasks of the replica. Throws the errors of log_storage::load.
  consensus(host& process_host, const settings& node_settings, state_machine machine);

  // Handles a request of another replica and returns the reply. `operation` is the wire name of a raft_operation.
  // Throws `errc::malformed` if the operation is unknown or the message is malformed; the state is then unchanged.
  auto handle_request(std::string operation, value message) -> task<value>;
  // Appends a command to the log, waits until it is applied, and returns the result of applying it. Throws
  // `errc::no_leader` if this replica is not the leader, `errc::too_large` if the command exceeds max_command_bytes,
  // and `errc::unclear` if it is not known by `deadline` whether the command is committed.
  auto propose(value command, monotonic_time deadline) -> task<value>;
  // Makes a subsequent local read linearizable (Raft, section 8): returns once a majority has confirmed, after the
  // call, that this replica is the leader, and every entry committed before the call is applied. Throws
  // `errc::no_leader` if this replica is not the leader or `deadline` passes.
  auto read_barrier(monotonic_time deadline) -> task<void>;

  // Called when this process shuts down: transfers the leadership and leaves the voters if enough of them remain. The
  // process cannot tell a restart from its end, and a voter that has ended for good raises the majority that all later
  // losses must leave. Returns at `deadline` at the latest; until then this replica still votes and acknowledges
  // entries.
  auto leave(monotonic_time deadline) -> task<void>;
  // The first part of leave(): if this replica is the leader, asks a follower whose log is complete to take over. From
  // the first such request on, this leader rejects proposals and reports no quorum contact.
  auto transfer_leadership(monotonic_time deadline) -> task<void>;
  [[nodiscard]] auto is_leader() const -> bool {
    return role_ == replica_role::leader;
  }
  [[nodiscard]] auto leader_address() const -> const std::string& {
    return leader_address_;
  }
  [[nodiscard]] auto leader_since() const -> monotonic_time {
    return leader_since_;
  }
  // Returns whether this replica is the leader and has committed and applied the first entry of its term.
  [[nodiscard]] auto leadership_established() const -> bool {
    return is_leader() && applied_index_ >= term_start_index_;
  }
  // Returns the latest time at which a majority is known to have followed this leader. Returns `-never` once this
  // leader has asked another replica to start an election.
  [[nodiscard]] auto last_quorum_contact() const -> monotonic_time;
  [[nodiscard]] auto commit_index() const -> std::int64_t {
    return commit_index_.get();
  }
  // Returns the encoded raft_status for the /status page.
  [[nodiscard]] auto status() const -> value;
  // Returns the connection to another control node and creates it on first use.
  auto peer(const std::string& address) -> peer_connection&;
  // Sends a request to the leader on another control node and returns its reply. Throws `errc::no_leader` if no other
  // control node is known to be the leader.
  auto call_leader(value message, monotonic_time deadline) -> task<value>;
  [[nodiscard]] auto disk_id() const -> const disk_identifier& {
    return local_voter_.disk_id;
  }
  [[nodiscard]] auto voters() const -> const std::vector<voter>& {
    return log_.members().voters;
  }
  // Returns the latest membership in the log, committed or not.
  [[nodiscard]] auto members() const -> const membership& {
    return log_.members();
  }
  // Returns the size of the entries in memory, in bytes.
  [[nodiscard]] auto log_bytes() const -> std::size_t {
    return log_.bytes();
  }

 private:
  enum class replica_role { follower, candidate, leader };
  // A pre-vote asks whether an election could be won, without changing any state. It prevents a partitioned replica
  // from raising the term again and again (Raft thesis 9.6).
  enum class election_round { pre_vote, vote };

  // A proposed command whose caller waits for the result.
  struct proposal {
    term_number term;
    std::optional<value> result;
    bool abandoned = false;  // the result will not become known on this replica
    signal done;
  };

  // Roles and elections (election.cpp).
  [[nodiscard]] auto may_vote() const -> bool {
    return log_.initialized && log_.members().contains(local_voter_);
  }
  auto become_follower(term_number new_term, const std::string& new_leader) -> void;
  auto clear_leader_state() -> void;
  auto start_leaderless_period() -> void;
  auto report_lost_pre_vote(const vote_tally& tally) -> void;
  auto become_leader() -> void;
  auto accept_leader(term_number leader_term, const std::string& leader, const char* message) -> void;
  auto run_current_role() -> task<void>;
  auto run_leader_interval() -> task<void>;
  auto follow_until_election() -> task<void>;
  [[nodiscard]] auto election_due() const -> bool;
  [[nodiscard]] auto random_duration(monotonic_time limit) const -> monotonic_time;
  [[nodiscard]] auto next_election_time() const -> monotonic_time;
  auto campaign(election_round round) -> task<bool>;
  auto become_candidate(term_number election_term) -> task<bool>;
  [[nodiscard]] auto is_still_campaigning(election_round round, term_number election_term) const -> bool;
  auto request_votes(election_round round, term_number election_term) -> std::shared_ptr<vote_tally>;
  auto request_vote(voter from, value request, std::shared_ptr<vote_tally> tally) -> task<void>;
  auto campaign_on_transfer() -> task<void>;
  auto send_timeout_now(voter successor) -> task<bool>;
  auto on_process_gone(const std::string& address) -> void;
  auto on_leader_process_gone(const std::string& address) -> void;
  auto on_vote_request(vote_request request) -> task<vote_reply>;
  auto on_timeout_now(timeout_now_request request) -> acknowledgement;

  // Replication (replication.cpp).
  [[nodiscard]] auto progress_of(const voter& follower) const -> const follower_progress*;
  [[nodiscard]] auto last_majority_contact() const -> monotonic_time;
  [[nodiscard]] auto has_majority_contact() const -> bool;
  [[nodiscard]] auto leads_follower(const voter& follower, term_number leader_term) const -> bool;
  auto start_replication(const voter& follower) -> void;
  auto replicate(voter follower, term_number leader_term) -> task<void>;
  auto send_next(voter follower, term_number leader_term) -> task<bool>;
  auto send_entries(voter follower, term_number leader_term) -> task<bool>;
  [[nodiscard]] auto next_entries(const voter& follower, term_number leader_term) const -> append_request;
  auto send_heartbeats_during_call(voter follower, term_number leader_term) -> task<void>;
  auto send_extra_heartbeat(voter follower, term_number leader_term) -> task<bool>;
  auto call_with_heartbeats(voter follower, term_number leader_term, value request) -> task<value>;
  auto adapt_window(const voter& follower, monotonic_time duration) -> void;
  auto sync_own_log() -> task<void>;
  auto advance_commit() -> void;
  auto on_append(append_request request) -> task<append_reply>;
  auto append_missing_entries(const append_request& request) -> log_index;
  [[nodiscard]] auto reject_append() const -> append_reply;
  [[nodiscard]] auto reject_log_mismatch(const append_request& request) const -> append_reply;

  // Snapshots (snapshot.cpp).
  auto current_snapshot_image() -> std::shared_ptr<const snapshot_image>;
  [[nodiscard]] auto take_snapshot() const -> snapshot;
  auto send_snapshot_chunk(voter follower, term_number leader_term) -> task<bool>;
  auto on_snapshot_chunk(snapshot_chunk chunk) -> task<snapshot_reply>;
  auto install_snapshot() -> void;
  auto compact() -> void;
  // Returns the index up to which entries may be dropped from memory: no responsive follower still needs them.
  [[nodiscard]] auto needed_index() const -> log_index;

  // Membership (membership.cpp).
  [[nodiscard]] auto is_voter(const voter& candidate) const -> bool;
  [[nodiscard]] auto is_voter_address(const std::string& address) const -> bool;
  // Returns the addresses of all voters and seeds except this replica.
  [[nodiscard]] auto peer_addresses() const -> std::vector<std::string>;
  [[nodiscard]] auto last_contact_of(const voter& member) const -> monotonic_time;
  // Returns the voters that have not replied to this leader for more than `duration`, the longest unresponsive first.
  [[nodiscard]] auto unresponsive_voters(monotonic_time duration) const -> std::vector<voter>;
  [[nodiscard]] auto change_pending() const -> bool;
  auto check_no_change_pending() const -> void;
  [[nodiscard]] auto voters_after_join(const voter& joining) const -> std::vector<voter>;
  auto change_voters(std::vector<voter> new_voters, monotonic_time deadline) -> task<void>;
  auto finish_joint_change() -> void;
  // The fewest voters that the log keeps by its own decision: after the disk losses that the settings tolerate, a
  // majority of them remains.
  [[nodiscard]] auto min_voters() const -> std::size_t;
  [[nodiscard]] auto voters_without(const voter& target) const -> std::vector<voter>;
  [[nodiscard]] auto process_has_exited(const voter& member) const -> bool;
  [[nodiscard]] auto lost_voter_of_even_list() const -> std::optional<voter>;
  [[nodiscard]] auto lost_voter() const -> std::optional<voter>;
  // Starts the removal of lost_voter(). Returns false if there is none.
  auto remove_lost_voter() -> bool;
  auto remove_voter(voter target) -> task<void>;
  auto wait_for_replies(std::vector<voter> list, monotonic_time deadline) -> task<bool>;
  auto check_voter_may_leave() const -> void;
  enum class leave_outcome { done, later, no_leader };
  auto request_removal(monotonic_time deadline) -> task<leave_outcome>;
  auto on_leave(leave_request request) -> task<value>;
  auto add_learner(const voter& joining) -> void;
  auto remove_unresponsive_learners() -> void;
  auto wait_until_caught_up(voter learner, monotonic_time deadline) -> task<bool>;
  auto on_join(join_request request) -> task<value>;
  auto forward_join(join_request request) -> task<value>;
  auto check_join_allowed(const join_request& request) const -> void;
  auto admit_voter(voter joining) -> task<void>;
  [[nodiscard]] auto on_describe(const describe_request& request) const -> describe_reply;

  // Creating a new log and joining an existing one (bootstrap.cpp).
  struct peer_survey;
  auto describe_peer(std::string address, describe_request request) -> task<describe_reply>;
  auto bootstrap_or_join() -> task<void>;
  auto report_missing_log(const peer_survey& survey) -> void;
  auto survey_peers(std::vector<voter> responders) -> task<peer_survey>;
  auto bootstrap_log(std::vector<voter> initial_voters) -> task<void>;
  auto join(std::string contact_address) -> task<void>;
  auto rejoin() -> task<void>;

  // Committed entries (consensus.cpp).
  auto apply_committed() -> task<void>;
  auto apply_next() -> void;
  auto complete_proposal(log_index index, term_number entry_term, value result) -> void;
  [[nodiscard]] auto retryable_error(errc code, const char* message, execution_outcome outcome) const -> request_error;

  // Status (status.cpp).
  [[nodiscard]] auto voter_statuses() const -> std::vector<voter_status>;
  [[nodiscard]] auto status_of(const voter& member, const char* membership_state) const -> voter_status;
  [[nodiscard]] auto role_name() const -> const char*;
  auto log_loaded_state() const -> void;

  host& host_;
  settings settings_;
  state_machine state_machine_;
  log_storage log_;
  voter local_voter_;
  monotonic_time election_timeout_;
  replica_role role_ = replica_role::follower;
  std::string leader_address_;  // empty: no leader is known
  log_index commit_index_;
  log_index applied_index_;
  monotonic_time last_leader_contact_ = -never;
  monotonic_time leader_since_ = 0;
  monotonic_time leaderless_since_;                 // start of the current or the last period without a known leader
  monotonic_time leaderless_report_delay_;          // from that start until the next report in the log
  monotonic_time leader_process_gone_at_ = -never;  // last time the leader's process was found to have exited
  log_index term_start_index_;                      // index of the first entry that this leader appended in its term
  std::map<voter, follower_progress> progress_;     // maintained only on the leader
  std::map<log_index, std::shared_ptr<proposal>> proposals_;
  std::set<voter> learners_;  // non-voting followers that are catching up; maintained only on the leader
  std::map<std::string, std::unique_ptr<peer_connection>> connections_;
  std::weak_ptr<const snapshot_image> cached_image_;
  snapshot_assembly incoming_snapshot_;
  signal replication_needed_, commit_advanced_, reply_received_, leader_lost_;
  bool shutting_down_ = false;         // the process is shutting down, so this replica starts no more elections
  bool transferring_ = false;          // this leader has asked a follower to take over (see transfer_leadership)
  bool election_requested_ = false;    // the leader has asked this replica to start an election
  bool rejoining_ = false;             // rejoin() is in progress
  bool has_campaigned_ = false;        // this process has started an election before
  bool missing_log_reported_ = false;  // report_missing_log() has written its line
  std::string reported_join_error_;    // the last error of a join request that was logged
  task_group tasks_;
};

}  // namespace reachridge
