// Elections: who leads, when a voter runs, how a leader hands over (Raft, section 5.2; design 4.1, 4.4).
#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// In failure timeouts.
constexpr auto removal_timeouts = 5;  // a voter silent for so long is removed
constexpr auto rejoin_timeouts = 2;   // a voter that hears no leader for so long asks whether it still is one

}  // namespace

auto consensus::become_follower(term_number new_term, const std::string& new_leader) -> void {
  auto led = is_leader();
  if (new_term > log_.term) {
    log_.term = new_term;
    log_.voted_for.clear();
    log_.save_metadata();
  }
  role_ = replica_role::follower;
  auto changed = leader_address_ != new_leader || led;
  leader_address_ = new_leader;
  if (led)
    abandon_leadership();
  if (changed && state_machine_.leader_changed)
    state_machine_.leader_changed();
}

// Proposals that wait may still be committed by the next leader: their callers learn that the outcome is not known.
auto consensus::abandon_leadership() -> void {
  reachridge::log(log_level::info, settings_.name, "leads no longer, term " + to_string(log_.term));
  for (auto& [at, waiting] : proposals_) {
    waiting->abandoned = true;
    waiting->done.wake();
  }
  proposals_.clear();
  progress_.clear();
  learners_.clear();
  log_grown_.wake();
  reply_received_.wake();
}

auto consensus::become_leader() -> void {
  role_ = replica_role::leader;
  leader_address_ = self_.address;
  leader_since_ = host_.now();
  transferring_ = false;
  progress_.clear();
  learners_.clear();
  reachridge::log(log_level::info, settings_.name, "leads the replicated log, term " + to_string(log_.term));
  // Entries of earlier terms are committed by one of this term only (Raft, section 5.4.2), so one is put at once.
  // Voters of an earlier change may be joint still: they are stated as they are, and finished once this is committed.
  auto command = membership_command{log_.members(), log_.log_id().empty() ? self_.disk_id : log_.log_id()};
  first_own_index_ = log_.append(log_.term, encode(command));
  tasks_.spawn(sync_own_log());
  for (const auto& one : log_.members().all())
    start_replication(one);
  if (state_machine_.leader_changed)
    state_machine_.leader_changed();
}

// A request of the leader of `leader_term`, which is not below the own one. `message` names it in errors.
auto consensus::accept_leader(term_number leader_term, const std::string& leader, const char* message) -> void {
  if (leader_term == log_.term && is_leader())
    throw request_error(errc::conflict, std::string(message) + ": another leads this term here");
  auto follows_it = leader_term == log_.term && role_ == replica_role::follower && leader_address_ == leader;
  if (!follows_it)
    become_follower(leader_term, leader);
  last_leader_contact_ = host_.now();
}

// The leader's connection was closed and its address refuses: its process is dead, and the quiet
// promised to it has no one left to protect (design 4.4).
auto consensus::on_leader_process_gone(const std::string& address) -> void {
  if (role_ != replica_role::follower || leader_address_ != address)
    return;
  reachridge::log(log_level::info, settings_.name, "the leader's process is gone: " + address);
  last_leader_contact_ = -never;
  leader_process_gone_at_ = host_.now();
  become_follower(log_.term, "");
  leader_lost_.wake();
}

auto consensus::lead_for_one_heartbeat() -> task<void> {
  co_await sleep_for(host_, settings_.heartbeat_interval);
  if (!is_leader())
    co_return;
  if (host_.now() - majority_contact() > election_timeout_) {
    reachridge::log(log_level::warning, settings_.name, "a majority is out of reach");
    become_follower(log_.term, "");
    last_leader_contact_ = host_.now();
    co_return;
  }
  drop_silent_learners();
  // One gone for good must not count in every majority; none goes by silence alone where few are left.
  auto silent = silent_voters(settings_.failure_timeout * removal_timeouts);
  auto may_remove = leadership_established() && !change_pending() && voters().size() > min_voters;
  if (may_remove && !silent.empty())
    tasks_.spawn(remove_voter(silent.front()));
}

auto consensus::random_wait(monotonic_time limit) const -> monotonic_time {
  return static_cast<monotonic_time>(host_.random_below(static_cast<std::uint64_t>(limit)));
}

// When this voter runs next, if it hears no leader until then. Waits are random so that the votes do not split (Raft,
// section 5.2).
auto consensus::next_election() const -> monotonic_time {
  const auto all = log_.members().all();
  // The first try of a process goes by the order of the voters: after a start of all, chance would only add to the
  // wait.
  auto position = std::find(all.begin(), all.end(), self_) - all.begin();
  auto ordered_wait = position * settings_.heartbeat_interval / 2 + random_wait(settings_.heartbeat_interval / 4);
  auto wait = campaigned_ ? random_wait(election_timeout_) : ordered_wait;
  auto due = std::max(last_leader_contact_, host_.now() - election_timeout_) + election_timeout_ + wait;
  // No leader to keep quiet for: at once, one after the other.
  auto leader_is_gone = host_.now() - leader_process_gone_at_ < election_timeout_;
  auto quiet_is_over = host_.now() - last_leader_contact_ >= election_timeout_;
  if (leader_is_gone && quiet_is_over)
    due = host_.now() + ordered_wait;
  return due;
}

// The one clock of the log: founding, elections, and a leader that lost its majority.
auto consensus::election_timer() -> task<void> {
  try {
    co_await log_.sync();
  } catch (const request_error&) {
  }
  while (true) {
    if (log_.failed() && !is_leader())  // it can neither vote nor run nor join: it only listens
      co_await sleep_for(host_, settings_.heartbeat_interval);
    else if (!may_vote())
      co_await bootstrap();
    else if (is_leader())
      co_await lead_for_one_heartbeat();
    else
      co_await follow_until_election();
  }
}

auto consensus::election_due() const -> bool {
  if (is_leader() || host_.now() - last_leader_contact_ < election_timeout_)
    return false;
  return may_vote() && !leaving_ && role_ != replica_role::candidate;
}

// Waits for the next election, and runs if no leader has been heard until then.
auto consensus::follow_until_election() -> task<void> {
  auto leader_lost = co_await leader_lost_.wait(host_, next_election());
  if (leader_lost || !election_due())
    co_return;
  if (!leader_address_.empty())
    become_follower(log_.term, "");
  campaigned_ = true;
  auto won = co_await campaign(election_round::pre_vote);
  // Perhaps it was removed from the voters while it was not reachable.
  auto silent_for = host_.now() - last_leader_contact_;
  if (!won && !joining_ && silent_for > settings_.failure_timeout * rejoin_timeouts)
    tasks_.spawn(rejoin());
  if (!won || host_.now() - last_leader_contact_ < election_timeout_)
    co_return;
  won = co_await campaign(election_round::vote);
  if (won)
    become_leader();
}

// Raises the term and votes for itself. The vote is synced before others are asked: a vote that a loss of power takes
// back could be given twice in one term. False: the disk fails.
auto consensus::become_candidate(term_number election_term) -> task<bool> {
  role_ = replica_role::candidate;
  log_.term = election_term;
  log_.voted_for = self_.address;
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

auto consensus::still_runs(election_round round, term_number election_term) const -> bool {
  if (round == election_round::pre_vote)
    return log_.term < election_term;
  return log_.term == election_term && role_ == replica_role::candidate;
}

auto consensus::request_votes(election_round round, term_number election_term) -> std::shared_ptr<vote_tally> {
  auto tally = std::make_shared<vote_tally>();
  tally->grant(self_);
  auto dry_run = round == election_round::pre_vote;
  auto last_term = log_.term_at(log_.last());
  auto request =
      encode(vote_request{self_.address, election_term, log_.last(), last_term, dry_run, election_requested_});
  for (const auto& one : log_.members().all()) {
    if (one == self_)
      continue;
    tally->expect_answer();
    tasks_.spawn(request_vote(one, request, tally));
  }
  return tally;
}

auto consensus::request_vote(voter from, value request, std::shared_ptr<vote_tally> tally) -> task<void> {
  try {
    auto answer = co_await peer(from.address).call(std::move(request), host_.now() + election_timeout_);
    auto reply = decode_vote_reply(answer);
    if (reply.term > log_.term)
      become_follower(reply.term, "");
    // The vote of one that lost its disk does not count: its disk is not the voter's.
    if (reply.granted && reply.disk_id == from.disk_id)
      tally->grant(from);
  } catch (const request_error&) {
  }
  tally->answered();
}

// Runs for one round of an election; true: a majority of the voters, as the log then has them, grants its vote.
auto consensus::campaign(election_round round) -> task<bool> {
  auto election_term = log_.term + 1;
  if (round == election_round::vote) {
    auto durable = co_await become_candidate(election_term);
    if (!durable)
      co_return false;
  }
  if (!still_runs(round, election_term))
    co_return false;
  auto tally = request_votes(round, election_term);
  auto end = host_.now() + election_timeout_;
  while (!tally->won(log_.members()) && !tally->all_answered() && host_.now() < end &&
         still_runs(round, election_term)) {
    auto in_time = co_await tally->changed.wait(host_, end);
    if (!in_time)
      break;
  }
  if (!still_runs(round, election_term))
    co_return false;
  if (tally->won(log_.members()))
    co_return true;
  if (round == election_round::vote)
    role_ = replica_role::follower;
  co_return false;
}

auto consensus::on_timeout_now(timeout_now_request request) -> acknowledgement {
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
  // Who has all committed entries has a log at least as new as that of a majority (Raft, section 5.4.1).
  auto own_last_term = log_.term_at(log_.last());
  auto as_new =
      request.last_term > own_last_term || (request.last_term == own_last_term && request.last_index >= log_.last());
  // Who still hears a leader keeps it.
  auto keeps_leader = (is_leader() || host_.now() - last_leader_contact_ < election_timeout_) && !request.transfer;
  // It votes also where this disk is not among the voters of its own log yet: the newest voters may be known to the
  // candidate alone, which counts by disk.
  if (!log_.initialized || request.term < log_.term || keeps_leader)
    co_return vote_reply{log_.term, false, self_.disk_id};
  if (request.dry_run)
    co_return vote_reply{log_.term, as_new && request.term > log_.term, self_.disk_id};
  if (request.term > log_.term)
    become_follower(request.term, "");
  auto granted = as_new && (log_.voted_for.empty() || log_.voted_for == request.candidate);
  if (granted) {
    log_.voted_for = request.candidate;
    log_.save_metadata();
    last_leader_contact_ = host_.now();
  }
  // Synced before it is answered: a vote that a loss of power takes back could be given twice in one term.
  co_await log_.sync();
  if (log_.term != request.term)
    granted = false;
  co_return vote_reply{log_.term, granted, self_.disk_id};
}

// A follower that is asked to run does not wait for silence, and voters let it (`transfer`; Raft thesis 3.10). From the
// first such request on this leader gives no lease and confirms nothing: another may lead already.
auto consensus::transfer_leadership(monotonic_time until) -> task<void> {
  leaving_ = true;
  while (is_leader() && host_.now() < until) {
    const auto candidates = voters();  // they may change meanwhile
    for (const auto& one : candidates) {
      const auto* progress = progress_of(one);
      if (!progress || progress->match_index < log_.last())
        continue;
      auto asked = co_await hand_over_to(one);
      if (!asked)
        continue;
      co_await sleep_for(host_, settings_.heartbeat_interval);
      break;
    }
    co_await sleep_for(host_, settings_.heartbeat_interval / 4);
  }
}

// False: it did not answer.
auto consensus::hand_over_to(voter successor) -> task<bool> {
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
