// The replicated log: entries that a majority of voters agrees on and has synced (design 4).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ledger/membership.hpp"
#include "ledger/messages.hpp"
#include "ledger/storage.hpp"
#include "wax/colleague.hpp"
#include "wax/config.hpp"
#include "wax/host.hpp"

namespace hive {

constexpr auto seats_least = std::size_t{3};         // voters that silence alone does not bring below
constexpr auto window_most = frame_most / 32;        // bytes sent to a follower at once, on the fastest link
constexpr auto command_bytes_most = frame_most / 2;  // of one command: it must fit into a frame by itself

class ledger {
 public:
  struct rules {
    std::function<tree(std::int64_t idx, const tree& deed)> apply;
    std::function<tree()> capture;
    std::function<void(const tree&)> restore;  // throws before it changes anything if the state is malformed
    std::function<void()> turned;              // who leads has changed
    log_bounds bounds = {};
  };
  ledger(host& h, const config& c, rules r);

  // A request of another control node; `op` names its kind (codec.hpp). Throws verdict `malformed` on a bad one.
  auto ask(std::string op, tree t) -> task<tree>;
  // Puts a command into the log; returns what applying it gave. Leader only.
  auto propose(tree command, tick until) -> task<tree>;
  // Returns once everything accepted before the call has been applied here. Leader only.
  auto fresh(tick until) -> task<void>;

  // Hands the lead to a follower that has everything, if it leads. It confirms nothing more from then on.
  auto yield(tick until) -> task<void>;
  [[nodiscard]] auto leads() const -> bool { return role == role_kind::leader; }
  [[nodiscard]] auto leader() const -> const std::string& { return leader_addr; }
  [[nodiscard]] auto since() const -> tick { return leader_since; }
  // Leads, and a majority has taken the entry that opened this leadership.
  [[nodiscard]] auto settled() const -> bool { return leads() && applied_index >= first_own_index; }
  // When a majority last confirmed this leader; never, once it has told another to run.
  [[nodiscard]] auto quorum_at() const -> tick;
  [[nodiscard]] auto commit() const -> std::int64_t { return commit_index; }
  [[nodiscard]] auto stand() const -> tree;  // for /status
  auto reach(const std::string& addr) -> colleague&;
  // Asks the leader, wherever it is; throws verdict("no_leader") while there is none.
  auto ask_leader(tree t, tick until) -> task<tree>;
  [[nodiscard]] auto disk_id() const -> const std::string& { return me.id; }
  [[nodiscard]] auto voters() const -> const std::vector<voter>& { return log.members().voters; }
  [[nodiscard]] auto members() const -> const membership& { return log.members(); }  // as the log has them
  [[nodiscard]] auto log_bytes() const -> std::size_t { return log.bytes(); }        // of the entries in memory

 private:
  enum class role_kind { follower, candidate, leader };

  // A snapshot as it is sent: sealed, and named by its checksum.
  struct snapshot_image {
    log_index index = 0;
    term_number term = 0;
    std::int64_t checksum = 0;
    std::string bytes;
  };
  // What the leader knows of one follower, that is of one disk at one address.
  struct follower_progress {
    log_index match_index = 0, next_index = 1;
    log_index told_commit = -1;
    tick heard = -never;  // when the newest request that it answered was sent
    tick added = 0;
    std::size_t window = 0;  // bytes sent at once; follows the link's pace
    bool in_flight = false;  // entries or a part of a snapshot wait for their answer
    bool beating = false;    // a task sends heartbeats beside them
    bool foreign = false;    // another disk answers at its address
    std::shared_ptr<const snapshot_image> transfer;
    std::int64_t offset = 0;  // of the transfer's next part
  };
  // The parts of a snapshot that have come so far.
  struct partial_snapshot {
    log_index index = 0;
    term_number term = 0;
    std::int64_t size = 0, checksum = 0;
    std::string bytes;
  };
  struct proposal {
    term_number term;
    std::optional<tree> out;
    bool lost = false;
    signal done;
  };
  struct ballots {
    std::set<voter> granted;
    std::size_t open = 0;  // voters that have not answered
    signal changed;
  };

  // Roles and elections (election.cpp).
  [[nodiscard]] auto may_vote() const -> bool { return log.founded && log.members().contains(me); }
  auto follow(term_number new_term, const std::string& new_leader) -> void;
  auto take_lead() -> void;
  auto clock() -> task<void>;
  auto lead_for_a_beat() -> task<void>;
  auto next_election() const -> tick;
  auto run_for(bool dry_run) -> task<bool>;
  auto take_over() -> task<void>;
  auto leader_gone(const std::string& addr) -> void;
  auto request_vote(voter from, tree request, std::shared_ptr<ballots> count) -> task<void>;
  auto on_vote(vote_request m) -> task<vote_reply>;
  auto on_timeout_now(timeout_now_request m) -> void;

  // Replication (replication.cpp).
  [[nodiscard]] auto majority_contact() const -> tick;
  [[nodiscard]] auto leads_follower(const voter& peer, term_number leader_term) const -> bool;
  auto start_replication(const voter& peer) -> void;
  auto replicate(voter peer, term_number leader_term) -> task<void>;
  auto send_entries(voter peer, term_number leader_term) -> task<bool>;
  auto heartbeats_beside(voter peer, term_number leader_term) -> task<void>;
  auto exchange(voter peer, term_number leader_term, tree request) -> task<tree>;
  auto pace(follower_progress& progress, tick took) const -> void;
  auto take_append_reply(const voter& peer, const append_reply& r, tick sent) -> bool;
  auto own_disk_synced() -> task<void>;
  auto advance_commit() -> void;
  auto on_append(append_request m) -> task<append_reply>;
  auto refuse_append(const append_request& m) const -> append_reply;

  // Snapshots (snapshot.cpp).
  auto current_image() -> std::shared_ptr<const snapshot_image>;
  auto take_snapshot() const -> snapshot;
  auto send_chunk(voter peer, term_number leader_term) -> task<bool>;
  auto on_chunk(snapshot_chunk m) -> task<snapshot_reply>;
  auto install() -> void;
  auto compact() -> void;
  [[nodiscard]] auto needed_index() const -> log_index;  // entries after it are still to be sent to somebody

  // Membership (membership.cpp).
  [[nodiscard]] auto seated(const std::string& addr) const -> bool;
  [[nodiscard]] auto peers() const -> std::vector<std::string>;      // seeds and voters, this one not among them
  [[nodiscard]] auto silent(tick span) const -> std::vector<voter>;  // leader only; the longest silent first
  [[nodiscard]] auto change_pending() const -> bool;
  [[nodiscard]] auto voters_with(const voter& who) const -> std::vector<voter>;
  auto change_voters(std::vector<voter> next, tick until) -> task<void>;
  auto finish_joint_change() -> void;
  auto unseat(voter who) -> task<void>;
  auto start_learner(const voter& who) -> void;
  auto drop_silent_learners() -> void;
  auto caught_up(voter who, tick until) -> task<bool>;
  auto on_join(join_request m) -> task<tree>;
  auto on_describe(const describe_request& m) const -> describe_reply;
  auto found() -> task<void>;
  auto join(std::string via) -> task<void>;
  auto join_again() -> task<void>;

  auto applier() -> task<void>;
  auto apply_next() -> void;

  host& h;
  config set;
  rules law;
  log_storage log;
  voter me;
  tick election_timeout;
  role_kind role = role_kind::follower;
  std::string leader_addr;
  log_index commit_index = 0, applied_index = 0;
  tick heard_leader = -never, leader_since = 0;
  tick leader_died = -never;      // when the leader's process was last known to be dead
  log_index first_own_index = 0;  // of the entry that opened this leadership
  std::map<voter, follower_progress> progress;
  std::map<log_index, std::shared_ptr<proposal>> proposals;
  std::set<voter> learners;
  std::map<std::string, std::unique_ptr<colleague>> connections;
  std::weak_ptr<const snapshot_image> last_image;
  std::optional<partial_snapshot> incoming;
  signal log_grown, commit_moved, reply_came, leader_lost;
  bool leaving = false, transferring = false, urged = false, joining = false, tried = false;
  nest home;
};

}  // namespace hive
