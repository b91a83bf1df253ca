// The replicated log: entries that a majority of voters agrees on and has synced (Raft by Ongaro and Ousterhout; design
// 4). One object is one replica; the control node owns it, hands it the requests of other replicas, proposes commands
// and reads behind a barrier.
#pragma once
#include <functional>
#include <map>
#include <memory>
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

constexpr auto min_voters = std::size_t{3};              // voters that silence alone does not bring below
constexpr auto max_command_bytes = max_frame_bytes / 2;  // of one command: it must fit into a frame by itself

class consensus {
 public:
  // What the log is kept for. All is called from the log's own tasks.
  struct state_machine {
    std::function<value(std::int64_t index, const value& command)> apply;  // a committed command, in order
    std::function<value()> take_snapshot;
    std::function<void(const value&)> restore;  // throws before it changes anything if the state is malformed
    std::function<void()> leader_changed;       // another leads, or this leader's leadership has settled
    log_limits limits = {};
  };
  // Reads the disk and goes on from there. Throws what log_storage::load throws.
  consensus(host& process_host, const settings& node_settings, state_machine machine);

  // Answers a request of another replica; `operation` is its name on the wire (raft_operation). Throws
  // `errc::malformed` on one that is unknown or malformed, before anything changes.
  auto handle_request(std::string operation, value message) -> task<value>;
  // Appends a command to the log; gives what applying it gave. Leader only: else `errc::no_leader`. `errc::unclear`
  // where it is not known by `until` whether it is committed.
  auto propose(value command, monotonic_time until) -> task<value>;
  // Returns once everything committed before the call has been applied here, and a majority has confirmed since the
  // call that this replica leads (Raft, section 8). Leader only; `errc::no_leader` otherwise, or after `until`.
  auto read_barrier(monotonic_time until) -> task<void>;

  // Hands the leadership to a follower that has everything, if this one leads. It confirms nothing more from then on.
  auto transfer_leadership(monotonic_time until) -> task<void>;
  [[nodiscard]] auto is_leader() const -> bool {
    return role_ == replica_role::leader;
  }
  [[nodiscard]] auto leader_address() const -> const std::string& {
    return leader_address_;
  }
  [[nodiscard]] auto leader_since() const -> monotonic_time {
    return leader_since_;
  }
  // Leads, and a majority has taken the entry that opened this leadership.
  [[nodiscard]] auto leadership_established() const -> bool {
    return is_leader() && applied_index_ >= first_own_index_;
  }
  // When a majority last confirmed this leader; never, once it has asked another to run for election.
  [[nodiscard]] auto last_quorum_contact() const -> monotonic_time;
  [[nodiscard]] auto commit_index() const -> std::int64_t {
    return commit_index_.get();
  }
  [[nodiscard]] auto status() const -> value;  // for /status
  // The connection to another control node, made where there is none yet.
  auto peer(const std::string& address) -> peer_connection&;
  // Asks the leader, wherever it is; throws `errc::no_leader` while none is known.
  auto call_leader(value message, monotonic_time until) -> task<value>;
  [[nodiscard]] auto disk_id() const -> const disk_identifier& {
    return self_.disk_id;
  }
  [[nodiscard]] auto voters() const -> const std::vector<voter>& {
    return log_.members().voters;
  }
  [[nodiscard]] auto members() const -> const membership& {
    return log_.members();
  }  // as the log has them
  [[nodiscard]] auto log_bytes() const -> std::size_t {
    return log_.bytes();
  }  // of the entries in memory

 private:
  enum class replica_role { follower, candidate, leader };
  // A pre-vote asks whether an election could be won and changes nothing, so that a replica that is cut off does not
  // raise terms (Raft thesis 9.6).
  enum class election_round { pre_vote, vote };

  // A command whose caller waits.
  struct proposal {
    term_number term;
    std::optional<value> result;
    bool abandoned = false;
    signal done;
  };

  // Roles and elections (election.cpp).
  [[nodiscard]] auto may_vote() const -> bool {
    return log_.initialized && log_.members().contains(self_);
  }
  auto become_follower(term_number new_term, const std::string& new_leader) -> void;
  auto abandon_leadership() -> void;
  auto become_leader() -> void;
  auto accept_leader(term_number leader_term, const std::string& leader, const char* message) -> void;
  auto election_timer() -> task<void>;
  auto lead_for_one_heartbeat() -> task<void>;
  auto follow_until_election() -> task<void>;
  [[nodiscard]] auto election_due() const -> bool;
  [[nodiscard]] auto random_wait(monotonic_time limit) const -> monotonic_time;
  [[nodiscard]] auto next_election() const -> monotonic_time;
  auto campaign(election_round round) -> task<bool>;
  auto become_candidate(term_number election_term) -> task<bool>;
  [[nodiscard]] auto still_runs(election_round round, term_number election_term) const -> bool;
  auto request_votes(election_round round, term_number election_term) -> std::shared_ptr<vote_tally>;
  auto request_vote(voter from, value request, std::shared_ptr<vote_tally> tally) -> task<void>;
  auto campaign_on_transfer() -> task<void>;
  auto hand_over_to(voter successor) -> task<bool>;
  auto on_leader_process_gone(const std::string& address) -> void;
  auto on_vote_request(vote_request request) -> task<vote_reply>;
  auto on_timeout_now(timeout_now_request request) -> acknowledgement;

  // Replication (replication.cpp).
  [[nodiscard]] auto progress_of(const voter& follower) const -> const follower_progress*;
  [[nodiscard]] auto majority_contact() const -> monotonic_time;
  [[nodiscard]] auto leads_follower(const voter& follower, term_number leader_term) const -> bool;
  auto start_replication(const voter& follower) -> void;
  auto replicate(voter follower, term_number leader_term) -> task<void>;
  auto send_next(voter follower, term_number leader_term) -> task<bool>;
  auto send_entries(voter follower, term_number leader_term) -> task<bool>;
  [[nodiscard]] auto next_entries(const voter& follower, term_number leader_term) const -> append_request;
  auto heartbeat_while_sending(voter follower, term_number leader_term) -> task<void>;
  auto send_extra_heartbeat(voter follower, term_number leader_term) -> task<bool>;
  auto exchange(voter follower, term_number leader_term, value request) -> task<value>;
  auto adapt_window(const voter& follower, monotonic_time took) -> void;
  auto sync_own_log() -> task<void>;
  auto advance_commit() -> void;
  auto on_append(append_request request) -> task<append_reply>;
  auto append_missing(const append_request& request) -> log_index;
  [[nodiscard]] auto refuse_append() const -> append_reply;
  [[nodiscard]] auto refuse_gap(const append_request& request) const -> append_reply;

  // Snapshots (snapshot.cpp).
  auto current_snapshot_image() -> std::shared_ptr<const snapshot_image>;
  [[nodiscard]] auto take_snapshot() const -> snapshot;
  auto send_snapshot_chunk(voter follower, term_number leader_term) -> task<bool>;
  auto on_snapshot_chunk(snapshot_chunk chunk) -> task<snapshot_reply>;
  auto install_snapshot() -> void;
  auto compact() -> void;
  [[nodiscard]] auto needed_index() const -> log_index;  // entries after it are still to be sent to somebody

  // Membership (membership.cpp).
  [[nodiscard]] auto is_voter(const voter& candidate) const -> bool;
  [[nodiscard]] auto is_voter_address(const std::string& address) const -> bool;
  [[nodiscard]] auto peers() const -> std::vector<std::string>;  // seeds and voters, this one not among them
  // Leader only; the longest silent first.
  [[nodiscard]] auto silent_voters(monotonic_time span) const -> std::vector<voter>;
  [[nodiscard]] auto change_pending() const -> bool;
  auto check_no_change_pending() const -> void;
  [[nodiscard]] auto voters_with(const voter& joining) const -> std::vector<voter>;
  auto change_voters(std::vector<voter> next, monotonic_time until) -> task<void>;
  auto finish_joint_change() -> void;
  auto remove_voter(voter silent) -> task<void>;
  auto start_learner(const voter& joining) -> void;
  auto drop_silent_learners() -> void;
  auto caught_up(voter learner, monotonic_time until) -> task<bool>;
  auto on_join(join_request request) -> task<value>;
  auto forward_join(join_request request) -> task<value>;
  auto check_may_join(const join_request& request) const -> void;
  auto admit_voter(voter joining) -> task<void>;
  [[nodiscard]] auto on_describe(const describe_request& request) const -> describe_reply;

  // Founding a log and joining one (bootstrap.cpp).
  struct seed_survey;
  auto describe_peer(std::string address, describe_request request) -> task<describe_reply>;
  auto bootstrap() -> task<void>;
  auto survey_peers(std::vector<voter> blank_seeds) -> task<seed_survey>;
  auto found_log(std::vector<voter> founders) -> task<void>;
  auto join(std::string via) -> task<void>;
  auto rejoin() -> task<void>;

  // Committed entries (consensus.cpp).
  auto apply_committed() -> task<void>;
  auto apply_next() -> void;
  auto finish_proposal(log_index at, term_number entry_term, value result) -> void;
  [[nodiscard]] auto retry_after_heartbeat(errc code, const char* message, execution_outcome outcome) const
      -> request_error;

  // Status (status.cpp).
  [[nodiscard]] auto voter_statuses() const -> std::vector<voter_status>;
  [[nodiscard]] auto status_of(const voter& one, const char* standing) const -> voter_status;
  [[nodiscard]] auto role_name() const -> const char*;

  host& host_;
  settings settings_;
  state_machine state_machine_;
  log_storage log_;
  voter self_;
  monotonic_time election_timeout_;
  replica_role role_ = replica_role::follower;
  std::string leader_address_;  // empty: none is known
  log_index commit_index_;
  log_index applied_index_;
  monotonic_time last_leader_contact_ = -never;
  monotonic_time leader_since_ = 0;
  monotonic_time leader_process_gone_at_ = -never;  // when the leader's process was last known to be dead
  log_index first_own_index_;                       // of the entry that opened this leadership
  std::map<voter, follower_progress> progress_;     // while this one leads
  std::map<log_index, std::shared_ptr<proposal>> proposals_;
  std::set<voter> learners_;  // followers that are brought up and vote in nothing yet
  std::map<std::string, std::unique_ptr<peer_connection>> connections_;
  std::weak_ptr<const snapshot_image> last_image_;
  snapshot_assembly incoming_snapshot_;
  signal log_grown_, commit_advanced_, reply_received_, leader_lost_;
  bool leaving_ = false;             // this process ends: it runs for no election
  bool transferring_ = false;        // another was asked to run: this leader confirms nothing more
  bool election_requested_ = false;  // the leader asked this one to run
  bool joining_ = false;             // rejoin() is under way
  bool campaigned_ = false;          // this process has run for an election
  task_group tasks_;
};

}  // namespace reachridge
