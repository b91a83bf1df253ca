// Roles and elections: pre-votes, votes, leader liveness, and leadership transfer (Raft, section 5.2; design 4.1, 4.4).
#include <algorithm>
#include <utility>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Durations in failure timeouts.
constexpr auto rejoin_timeouts = 2;             // a voter without a leader for this time checks whether it was removed
constexpr auto leaderless_report_timeouts = 2;  // a voter without a leader for this time logs which voters it lacks

}  // namespace

// Follows `new_leader` (empty: unknown) in `new_term`. If the term is higher, clears the vote and saves
// the metadata.
auto consensus::become_follower(term_number new_term, const std::string& new_leader) -> void {
  auto was_leader = is_leader();
  if (new_term > log_.term) {
    log_.term = new_term;
    log_.voted_for.clear();
    log_.save_metadata();
  }
  role_ = replica_role::follower;
  auto leader_has_changed = leader_address_ != new_leader || was_leader;
  if (leader_has_changed && new_leader.empty())
    start_leaderless_period();
  leader_address_ = new_leader;
  if (was_leader)
    clear_leader_state();
  if (leader_has_changed && state_machine_.leader_changed)
    state_machine_.leader_changed();
}

// Clears the state that only a leader has. The next leader may still commit the pending proposals, so their callers
// receive an error that says that the outcome is unknown.
auto consensus::clear_leader_state() -> void {
  reachridge::log(log_level::info, settings_.name,
                  "lost the leadership of the replicated log, term " + to_string(log_.term));
  for (auto& [index, pending] : proposals_) {
    pending->abandoned = true;
    pending->done.wake();
  }
  proposals_.clear();
  progress_.clear();
  learners_.clear();
  replication_needed_.wake();
  reply_received_.wake();
}

auto consensus::become_leader() -> void {
  role_ = replica_role::leader;
  leader_address_ = local_voter_.address;
  leader_since_ = host_.now();
  transferring_ = false;
  progress_.clear();
  learners_.clear();
  reachridge::log(log_level::info, settings_.name, "became leader of the replicated log, term " + to_string(log_.term));
  // Entries of earlier terms become committed only together with an entry of the current term (Raft, section 5.4.2), so
  // the leader appends an entry immediately. The entry repeats the current membership. If that membership is still
  // joint, finish_joint_change() completes the change after this entry is committed.
  auto command = membership_command{log_.members(), log_.log_id().empty() ? local_voter_.disk_id : log_.log_id()};
  term_start_index_ = log_.append(log_.term, encode(command));
  tasks_.spawn(sync_own_log());
  for (const auto& member : log_.members().all())
    start_replication(member);
  if (state_machine_.leader_changed)
    state_machine_.leader_changed();
}

// Called for a request from the leader of `leader_term`, which is at least the local term: follows that leader and
// restarts the election timeout. `message` is the name of the request in error messages. Throws `errc::conflict` if
// this replica is itself the leader of that term.
auto consensus::accept_leader(term_number leader_term, const std::string& leader, const char* message) -> void {
  if (leader_term == log_.term && is_leader())
    throw request_error(errc::conflict, std::string(message) + ": this replica is the leader of the request's term");
  auto already_follows = leader_term == log_.term && role_ == replica_role::follower && leader_address_ == leader;
  if (!already_follows)
    become_follower(leader_term, leader);
  last_leader_contact_ = host_.now();
}

// Called when the connection to the process at `address` was closed and the address refuses new connections, which
// means that the process has exited.
auto consensus::on_process_gone(const std::string& address) -> void {
  if (is_leader())
    remove_lost_voter();
  else
    on_leader_process_gone(address);
}

// If the process was the leader, this replica no longer has to reject other candidates to protect that leader
// (design 4.4).
auto consensus::on_leader_process_gone(const std::string& address) -> void {
  if (role_ != replica_role::follower || leader_address_ != address)
    return;
  reachridge::log(log_level::info, settings_.name, "the leader's process has exited: " + address);
  last_leader_contact_ = -never;
  leader_process_gone_at_ = host_.now();
  become_follower(log_.term, "");
  leader_lost_.wake();
}

// Waits for one heartbeat interval. Then drops unresponsive learners, and removes a lost voter or steps down if no
// majority has replied within the election timeout. The removal comes first: without the lost voter, those that reply
// may be a majority. If they are not, the leader steps down after the next interval.
auto consensus::run_leader_interval() -> task<void> {
  co_await sleep_for(host_, settings_.heartbeat_interval);
  if (!is_leader())
    co_return;
  remove_unresponsive_learners();
  auto removal_started = remove_lost_voter();
  if (removal_started || has_majority_contact())
    co_return;
  reachridge::log(log_level::warning, settings_.name,
                  "stepping down: no majority of the voters has replied within the election timeout");
  become_follower(log_.term, "");
  last_leader_contact_ = host_.now();
}

// Returns a random duration below `limit`.
auto consensus::random_duration(monotonic_time limit) const -> monotonic_time {
  return static_cast<monotonic_time>(host_.random_below(static_cast<std::uint64_t>(limit)));
}

// Returns the time at which this voter starts an election unless it hears from a leader first. The delay is random to
// avoid split votes (Raft, section 5.2).
auto consensus::next_election_time() const -> monotonic_time {
  const auto all_members = log_.members().all();
  // For the first election of a process the delay depends on the position in the list of voters. When all voters start
  // at the same time, a random delay would only make the election take longer.
  auto position = std::find(all_members.begin(), all_members.end(), local_voter_) - all_members.begin();
  auto ordered_wait = position * settings_.heartbeat_interval / 2 + random_duration(settings_.heartbeat_interval / 4);
  auto wait = has_campaigned_ ? random_duration(election_timeout_) : ordered_wait;
  auto election_time = std::max(last_leader_contact_, host_.now() - election_timeout_) + election_timeout_ + wait;
  // If the leader's process has exited, the voters do not wait for the election timeout. They start elections in the
  // order of the list.
  auto leader_process_is_gone = host_.now() - leader_process_gone_at_ < election_timeout_;
  auto election_timeout_elapsed = host_.now() - last_leader_contact_ >= election_timeout_;
  if (leader_process_is_gone && election_timeout_elapsed)
    election_time = host_.now() + ordered_wait;
  return election_time;
}

// Runs for the lifetime of the replica and performs the periodic work of its current role: bootstrap, elections, or the
// liveness checks of a leader.
auto consensus::run_current_role() -> task<void> {
  try {
    co_await log_.sync();
  } catch (const request_error&) {
  }
  while (true) {
    // Without a working disk this replica cannot vote, start an election or join; while it shuts down it must not.
    auto only_follows = !is_leader() && (log_.failed() || shutting_down_);
    if (only_follows)
      co_await sleep_for(host_, settings_.heartbeat_interval);
    else if (!may_vote())
      co_await bootstrap_or_join();
    else if (is_leader())
      co_await run_leader_interval();
    else
      co_await follow_until_election();
  }
}

auto consensus::start_leaderless_period() -> void {
  leaderless_since_ = host_.now();
  leaderless_report_delay_ = settings_.failure_timeout * leaderless_report_timeouts;
}

// Logs which voters this replica lacks for an election, if no leader has been known for long enough. Each report of one
// leaderless period comes after twice the time of the one before.
auto consensus::report_lost_pre_vote(const vote_tally& tally) -> void {
  auto leaderless_for = host_.now() - leaderless_since_;
  if (leaderless_for < leaderless_report_delay_)
    return;
  leaderless_report_delay_ = 2 * leaderless_for;
  reachridge::log(log_level::warning, settings_.name,
                  "no leader of the replicated log for " + std::to_string(leaderless_for / millisecond) +
                      " ms: pre-vote in term " + to_string(log_.term + 1) + " at entry " + to_string(log_.last()) +
                      ", voters: " + tally.to_text(log_.members().all()));
}

auto consensus::election_due() const -> bool {
  if (is_leader() || host_.now() - last_leader_contact_ < election_timeout_)
    return false;
  return may_vote() && !shutting_down_ && role_ != replica_role::candidate;
}

// Waits until the next election time. Starts an election if this voter has heard from no leader by then.
auto consensus::follow_until_election() -> task<void> {
  auto leader_lost = co_await leader_lost_.wait(host_, next_election_time());
  if (leader_lost || !election_due())
    co_return;
  if (!leader_address_.empty())
    become_follower(log_.term, "");
  auto first_campaign = !std::exchange(has_campaigned_, true);
  auto won = co_await campaign(election_round::pre_vote);
  // The other voters may have removed this voter while it was unreachable, or because its last process shut down.
  auto leaderless_for = host_.now() - last_leader_contact_;
  auto may_be_removed = first_campaign || leaderless_for > settings_.failure_timeout * rejoin_timeouts;
  if (!won && !rejoining_ && may_be_removed)
    tasks_.spawn(rejoin());
  if (!won || host_.now() - last_leader_contact_ < election_timeout_)
    co_return;
  won = co_await campaign(election_round::vote);
  if (won)
    become_leader();
}

// Starts `election_term` and votes for this replica. The vote is synced before any other vote is requested: if a power
// loss undid the vote, this voter could vote twice in the term. Returns false if the disk fails.
auto consensus::become_candidate(term_number election_term) -> task<bool> {
  role_ = replica_role::candidate;
  log_.term = election_term;
  log_.voted_for = local_voter_.address;
  log_.save_metadata();
  try {
    co_await log_.sync();
  } catch (const request_error&) {
    if (role_ == replica_role::candidate)
      role_ = replica_role::follower;
    co_return false;
  }
  co_return true;
}

// Returns whether the term and role still allow this election round to succeed.
auto consensus::is_still_campaigning(election_round round, term_number election_term) const -> bool {
  if (round == election_round::pre_vote)
    return log_.term < election_term;
  return log_.term == election_term && role_ == replica_role::candidate;
}

// Sends a vote request to every other voter. The returned tally collects the replies.
auto consensus::request_votes(election_round round, term_number election_term) -> std::shared_ptr<vote_tally> {
  auto tally = std::make_shared<vote_tally>();
  tally->record(local_voter_, vote_outcome::granted);
  auto is_pre_vote = round == election_round::pre_vote;
  auto last_term = log_.term_at(log_.last());
  auto request = encode(
      vote_request{local_voter_.address, election_term, log_.last(), last_term, is_pre_vote, election_requested_});
  for (const auto& member : log_.members().all()) {
    if (member == local_voter_)
      continue;
    tally->add_request();
    tasks_.spawn(request_vote(member, request, tally));
  }
  return tally;
}

auto consensus::request_vote(voter from, value request, std::shared_ptr<vote_tally> tally) -> task<void> {
  try {
    auto answer = co_await peer(from.address).call(std::move(request), host_.now() + election_timeout_);
    auto reply = decode_vote_reply(answer);
    if (reply.term > log_.term)
      become_follower(reply.term, "");
    // A reply from a different disk at the address is not a vote of that voter: the voter has lost its disk.
    if (reply.granted && reply.disk_id == from.disk_id)
      tally->record(from, vote_outcome::granted);
    else
      tally->record(from, reply.disk_id == from.disk_id ? vote_outcome::rejected : vote_outcome::different_disk);
  } catch (const request_error&) {
  }
  tally->finish_request();
}

// Runs one election round. Returns true if a majority of the voters grants its vote. The voters are those of the latest
// membership in the log when the votes are counted.
auto consensus::campaign(election_round round) -> task<bool> {
  auto election_term = log_.term + 1;
  if (round == election_round::vote) {
    auto durable = co_await become_candidate(election_term);
    if (!durable)
      co_return false;
  }
  if (!is_still_campaigning(round, election_term))
    co_return false;
  auto tally = request_votes(round, election_term);
  auto deadline = host_.now() + election_timeout_;
  while (!tally->has_majority(log_.members()) && !tally->all_replied() && host_.now() < deadline &&
         is_still_campaigning(round, election_term)) {
    auto in_time = co_await tally->changed.wait(host_, deadline);
    if (!in_time)
      break;
  }
  if (!is_still_campaigning(round, election_term))
    co_return false;
  if (tally->has_majority(log_.members()))
    co_return true;
  if (round == election_round::vote)
    role_ = replica_role::follower;
  else
    report_lost_pre_vote(*tally);
  co_return false;
}

auto consensus::on_timeout_now(timeout_now_request request) -> acknowledgement {
  if (shutting_down_)
    throw request_error(errc::not_ready, "timeout_now: this replica is shutting down");
  if (request.term == log_.term && role_ == replica_role::follower && may_vote())
    tasks_.spawn(campaign_on_transfer());
  return {};
}

auto consensus::campaign_on_transfer() -> task<void> {
  election_requested_ = true;
  auto won = co_await campaign(election_round::vote);
  election_requested_ = false;
  if (won)
    become_leader();
}

auto consensus::on_vote_request(vote_request request) -> task<vote_reply> {
  // A candidate with all committed entries has a log that is at least as up-to-date as the logs of a majority (Raft,
  // section 5.4.1).
  auto own_last_term = log_.term_at(log_.last());
  auto is_up_to_date =
      request.last_term > own_last_term || (request.last_term == own_last_term && request.last_index >= log_.last());
  // A voter that has recently heard from a leader protects that leader, unless the leader itself asked for the
  // election.
  auto ignores_candidate =
      (is_leader() || host_.now() - last_leader_contact_ < election_timeout_) && !request.is_leadership_transfer;
  // This replica votes even if its own log does not list it as a voter: the candidate may have a newer membership, and
  // the candidate counts votes by disk.
  if (!log_.initialized || request.term < log_.term || ignores_candidate)
    co_return vote_reply{log_.term, false, local_voter_.disk_id};
  if (request.is_pre_vote)
    co_return vote_reply{log_.term, is_up_to_date && request.term > log_.term, local_voter_.disk_id};
  if (request.term > log_.term)
    become_follower(request.term, "");
  auto granted = is_up_to_date && (log_.voted_for.empty() || log_.voted_for == request.candidate);
  if (granted) {
    log_.voted_for = request.candidate;
    log_.save_metadata();
    last_leader_contact_ = host_.now();
  }
  // The vote is synced before the reply: if a power loss undid the vote, this voter could vote twice in the term.
  co_await log_.sync();
  if (log_.term != request.term)
    granted = false;
  co_return vote_reply{log_.term, granted, local_voter_.disk_id};
}

// Asks followers with a complete log to start an election without waiting for the election timeout; voters accept it
// because of `is_leadership_transfer` (Raft thesis 3.10). From the first such request on, another replica may already
// be the leader, so this leader rejects proposals and last_quorum_contact() returns `-never`.
auto consensus::transfer_leadership(monotonic_time deadline) -> task<void> {
  shutting_down_ = true;
  while (is_leader() && host_.now() < deadline) {
    const auto candidates = voters();  // a copy, because the voters may change during the loop
    for (const auto& member : candidates) {
      const auto* progress = progress_of(member);
      if (!progress || progress->match_index < log_.last())
        continue;
      auto acknowledged = co_await send_timeout_now(member);
      if (!acknowledged)
        continue;
      co_await sleep_for(host_, settings_.heartbeat_interval);
      break;
    }
    co_await sleep_for(host_, settings_.heartbeat_interval / 4);
  }
}

// Asks `successor` to start an election. Returns false if it does not reply.
auto consensus::send_timeout_now(voter successor) -> task<bool> {
  transferring_ = true;
  try {
    auto request = encode(timeout_now_request{log_.term});
    co_await peer(successor.address).call(std::move(request), host_.now() + election_timeout_);
  } catch (const request_error&) {
    co_return false;
  }
  co_return true;
}

}  // namespace reachridge
