// Membership changes: adding, replacing and removing voters (Raft, section 6; design 4.5).
#include "raft/membership.hpp"

#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Durations in failure timeouts.
constexpr auto removal_timeouts = 5;       // the leader removes a voter that has not replied for this time
constexpr auto even_removal_timeouts = 1;  // the same if the number of voters is even
constexpr auto replacement_timeouts = 2;   // a joining voter may replace a voter that has not replied for this time
constexpr auto learner_timeouts = 4;       // the leader drops a learner that has not replied for this time
constexpr auto join_timeouts = 3;          // timeout of a join request that is forwarded to the leader
constexpr auto leave_timeouts = 2;         // timeout of a leave request
constexpr auto leaderless_timeouts = 4;    // a voter that shuts down waits this long for a leader that can remove it

// Returns the number of voters that are in exactly one of the two lists.
auto count_differences(const std::vector<voter>& left, const std::vector<voter>& right) -> std::size_t {
  auto count_missing = [](const std::vector<voter>& from, const std::vector<voter>& list) {
    return std::count_if(from.begin(), from.end(), [&](const voter& member) {
      return std::find(list.begin(), list.end(), member) == list.end();
    });
  };
  return static_cast<std::size_t>(count_missing(left, right) + count_missing(right, left));
}

}  // namespace

auto consensus::is_voter(const voter& candidate) const -> bool {
  return std::find(voters().begin(), voters().end(), candidate) != voters().end();
}

auto consensus::is_voter_address(const std::string& address) const -> bool {
  return std::any_of(voters().begin(), voters().end(), [&](const voter& member) {
    return member.address == address;
  });
}

auto consensus::peer_addresses() const -> std::vector<std::string> {
  auto addresses = std::vector<std::string>();
  auto add = [&](const std::string& address) {
    auto known = std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    if (address != local_voter_.address && !known)
      addresses.push_back(address);
  };
  for (const auto& member : log_.members().all())
    add(member.address);
  for (const auto& seed : settings_.seeds)
    add(seed);
  return addresses;
}

// Returns the time of the last reply of `member`; for this replica, and for a voter to which replication has not
// started yet, the current time.
auto consensus::last_contact_of(const voter& member) const -> monotonic_time {
  const auto* progress = progress_of(member);
  return member == local_voter_ || !progress ? host_.now() : progress->last_contact;
}

auto consensus::unresponsive_voters(monotonic_time duration) const -> std::vector<voter> {
  auto unresponsive = std::vector<voter>();
  for (const auto& member : voters())
    if (host_.now() - last_contact_of(member) > duration)
      unresponsive.push_back(member);
  std::sort(unresponsive.begin(), unresponsive.end(), [&](const voter& left, const voter& right) {
    return last_contact_of(left) < last_contact_of(right);
  });
  return unresponsive;
}

// Returns whether the latest membership in the log is uncommitted or joint. A new change must wait for its end,
// regardless of which leader appended it and of whether a client still waits for it: the majorities of two concurrent
// changes might not overlap.
auto consensus::change_pending() const -> bool {
  return log_.members_index() > commit_index_ || log_.members().joint();
}

auto consensus::check_no_change_pending() const -> void {
  if (change_pending())
    throw retryable_error(errc::busy, "another membership change is in progress", execution_outcome::not_executed);
}

// Appends a new membership and waits until it is committed and no longer joint. After adding or removing a single
// voter, every majority of the new list overlaps every majority of the old list. A replacement adds one voter and
// removes another, so it uses a joint membership: the old voter leaves only when the new voter is in. Adding the new
// voter first and removing the old one later would lengthen the list in between, and the additional voter could be lost
// as well.
auto consensus::change_voters(std::vector<voter> new_voters, monotonic_time deadline) -> task<void> {
  if (!leadership_established() || transferring_)
    throw retryable_error(errc::busy,
                          "the leader has not committed an entry of its term yet or is transferring its leadership",
                          execution_outcome::not_executed);
  check_no_change_pending();
  auto term = log_.term;
  auto command = membership_command();
  command.members.voters = std::move(new_voters);
  if (count_differences(command.members.voters, voters()) > 1)
    command.members.outgoing = voters();
  auto encoded = encode(command);
  co_await propose(std::move(encoded), deadline);
  while (is_leader() && log_.term == term && change_pending()) {
    auto in_time = co_await commit_advanced_.wait(host_, deadline);
    if (!in_time)
      break;
  }
  if (!is_leader() || log_.term != term || change_pending())
    throw retryable_error(
        errc::unclear, "the membership change is not known to be committed: the deadline passed or the leader changed",
        execution_outcome::unknown);
}

// Appends the final membership after a joint membership is committed. The leader waits until it has also committed an
// entry of its own term.
auto consensus::finish_joint_change() -> void {
  auto joint_committed = log_.members().joint() && log_.members_index() <= commit_index_;
  if (!joint_committed || commit_index_ < term_start_index_)
    return;
  auto command = membership_command();
  command.members.voters = log_.members().voters;
  log_.append(log_.term, encode(command));
  tasks_.spawn(sync_own_log());
}

auto consensus::min_voters() const -> std::size_t {
  auto tolerated_losses = static_cast<std::size_t>(settings_.replicas) - 1;
  return 2 * tolerated_losses + 1;
}

auto consensus::voters_without(const voter& target) const -> std::vector<voter> {
  auto remaining = voters();
  std::erase(remaining, target);
  return remaining;
}

// Returns whether the process at the voter's address is known to have exited: the address refuses connections.
auto consensus::process_has_exited(const voter& member) const -> bool {
  auto found = connections_.find(member.address);
  return found != connections_.end() && !found->second->is_up() && found->second->refused_at() != -never;
}

// Returns the voter by which the leader shortens an even list, if any. While a lost voter stays in an even list, the
// log tolerates one further loss fewer than without it, so the leader does not wait long: a voter whose process has
// exited is removed immediately, a silent one after one failure timeout. If half of the list is silent, the leader
// removes one voter instead of stepping down, because the other half could never elect a leader if the silent ones are
// lost for good.
auto consensus::lost_voter_of_even_list() const -> std::optional<voter> {
  for (const auto& member : voters())
    if (member != local_voter_ && process_has_exited(member))
      return member;
  if (!has_majority_contact()) {
    auto silent = unresponsive_voters(election_timeout_);
    auto others_are_majority = 2 * silent.size() <= voters().size();
    return others_are_majority ? std::optional(silent.front()) : std::nullopt;
  }
  auto silent = unresponsive_voters(settings_.failure_timeout * even_removal_timeouts);
  return silent.empty() ? std::nullopt : std::optional(silent.front());
}

// Returns the voter that the leader removes now, if any. A voter that is lost for good must not raise the size of the
// majority forever. The last min_voters() voters stay even if they are unresponsive.
auto consensus::lost_voter() const -> std::optional<voter> {
  auto may_change = leadership_established() && !transferring_ && !change_pending();
  if (!may_change || voters().size() <= min_voters())
    return {};
  if (voters().size() % 2 == 0)
    return lost_voter_of_even_list();
  if (!has_majority_contact())
    return {};
  auto unresponsive = unresponsive_voters(settings_.failure_timeout * removal_timeouts);
  return unresponsive.empty() ? std::nullopt : std::optional(unresponsive.front());
}

auto consensus::remove_lost_voter() -> bool {
  auto lost = lost_voter();
  if (lost)
    tasks_.spawn(remove_voter(*lost));
  return lost.has_value();
}

// Removes a lost voter. A failure is logged; the leader tries again later.
auto consensus::remove_voter(voter target) -> task<void> {
  auto silent_ms = (host_.now() - last_contact_of(target)) / millisecond;
  auto reason = process_has_exited(target) ? std::string("its process has exited")
                                           : "it has not replied for " + std::to_string(silent_ms) + " ms";
  reachridge::log(log_level::warning, settings_.name, "removing voter " + target.address + ": " + reason);
  auto remaining = voters_without(target);
  try {
    co_await change_voters(std::move(remaining), host_.now() + settings_.failure_timeout);
  } catch (const request_error& error) {
    reachridge::log(log_level::info, settings_.name,
                    "removal of voter " + target.address + " did not complete: " + error.what());
  }
}

// Starts replication to a joining disk as a learner. Its progress starts empty: what another disk at the same address
// held does not count.
auto consensus::add_learner(const voter& joining) -> void {
  if (learners_.contains(joining) || log_.members().contains(joining))
    return;
  std::erase_if(learners_, [&](const voter& member) {
    return member.address == joining.address;
  });
  std::erase_if(progress_, [&](const auto& entry) {
    return entry.first.address == joining.address && !log_.members().contains(entry.first);
  });
  learners_.insert(joining);
  start_replication(joining);
}

auto consensus::remove_unresponsive_learners() -> void {
  std::erase_if(learners_, [&](const voter& learner) {
    const auto* progress = progress_of(learner);
    if (!progress)
      return true;
    auto last_seen = std::max(progress->last_contact, progress->added_at);
    return host_.now() - last_seen > settings_.failure_timeout * learner_timeouts;
  });
}

// Waits until the learner has caught up (Raft thesis 4.2.1) and returns whether it did so before `deadline`. In each
// round the learner receives all entries that were committed when the round started. The learner has caught up when a
// round takes at most an election timeout. A learner whose link is slower than the rate of new entries would delay
// commits as a voter.
auto consensus::wait_until_caught_up(voter learner, monotonic_time deadline) -> task<bool> {
  auto term = log_.term;
  auto round_started_at = host_.now();
  auto target = commit_index_;
  while (leads_follower(learner, term) && host_.now() < deadline) {
    if (progress_.at(learner).match_index >= target) {
      if (host_.now() - round_started_at <= election_timeout_)
        co_return true;
      round_started_at = host_.now();
      target = commit_index_;
    }
    co_await reply_received_.wait(host_, std::min(deadline, host_.now() + settings_.heartbeat_interval));
  }
  co_return false;
}

// Returns the list of voters after `joining` becomes a voter. The joining voter replaces the voter at the same address
// if there is one, otherwise the voter that has been unresponsive for longest, if any has been for long enough.
// Otherwise the list grows by one.
auto consensus::voters_after_join(const voter& joining) const -> std::vector<voter> {
  auto new_voters = voters();
  auto same_address = [&](const voter& member) {
    return member.address == joining.address;
  };
  if (is_voter_address(joining.address))
    new_voters.erase(std::remove_if(new_voters.begin(), new_voters.end(), same_address), new_voters.end());
  else if (auto unresponsive = unresponsive_voters(settings_.failure_timeout * replacement_timeouts);
           !unresponsive.empty())
    new_voters.erase(std::remove(new_voters.begin(), new_voters.end(), unresponsive.front()), new_voters.end());
  new_voters.push_back(joining);
  return new_voters;
}

// Handles a join request. Returns after the joining disk has become a voter.
auto consensus::on_join(join_request request) -> task<value> {
  if (!is_leader())
    co_return co_await forward_join(std::move(request));
  check_join_allowed(request);
  if (!is_voter(request.joining))
    co_await admit_voter(request.joining);
  co_return encode(acknowledgement{});
}

// Forwards a join request to the leader and returns the leader's reply unchanged.
auto consensus::forward_join(join_request request) -> task<value> {
  if (leader_address_.empty())
    throw retryable_error(errc::no_leader, "no leader of the replicated log is known", execution_outcome::not_executed);
  auto message = encode(request);
  co_return co_await call_leader(std::move(message), host_.now() + settings_.failure_timeout * join_timeouts);
}

// Throws if the disk belongs to a different log or the leader cannot change the membership now.
auto consensus::check_join_allowed(const join_request& request) const -> void {
  const auto& joining = request.joining;
  if (joining.address == local_voter_.address && joining != local_voter_)
    throw request_error(errc::malformed, "join: addr is the address of the leader, which has a different disk");
  const auto& own_log_id = log_.log_id();
  if (!request.log_id.empty() && !own_log_id.empty() && request.log_id != own_log_id) {
    reachridge::log(log_level::warning, settings_.name,
                    joining.address + " cannot join: its disk belongs to the replicated log of another cluster");
    throw request_error(errc::foreign_disk,
                        "the disk belongs to the replicated log of another cluster: empty the data directory or "
                        "configure the seeds of that cluster",
                        execution_outcome::not_executed);
  }
  // Until the leader has committed an entry of its own term, it may not know the result of an earlier membership
  // change.
  if (!leadership_established())
    throw retryable_error(errc::busy, "the leader has not committed an entry of its term yet",
                          execution_outcome::not_executed);
  check_no_change_pending();
}

// Admits a new voter, or a voter whose disk was replaced. The joining disk is first a learner that counts in no
// majority, and no voter is removed for it. It becomes a voter after it has caught up.
auto consensus::admit_voter(voter joining) -> task<void> {
  add_learner(joining);
  auto ready = co_await wait_until_caught_up(joining, host_.now() + settings_.failure_timeout);
  if (!ready)
    throw retryable_error(errc::catching_up, "the joining control node has not caught up with the replicated log yet",
                          execution_outcome::not_executed);
  co_await change_voters(voters_after_join(joining), host_.now() + settings_.failure_timeout);
  learners_.erase(joining);
  reachridge::log(log_level::info, settings_.name, joining.address + " became a voter");
}

// Leaves the voters step by step: a leader transfers its leadership first, and the leader of that moment removes this
// voter. Without a leader nothing can be removed; a voter that is not needed for a majority of the fewest voters waits
// for one, because its vote may be needed to elect it.
auto consensus::leave(monotonic_time deadline) -> task<void> {
  shutting_down_ = true;
  auto last_reply = host_.now();
  while (host_.now() < deadline) {
    if (is_leader()) {
      co_await transfer_leadership(deadline);
      continue;
    }
    auto outcome = co_await request_removal(deadline);
    if (outcome == leave_outcome::done)
      co_return;
    if (outcome == leave_outcome::later)
      last_reply = host_.now();
    auto leaderless_for = host_.now() - last_reply;
    auto list_can_shrink = voters().size() > min_voters();
    if (outcome == leave_outcome::no_leader &&
        (!list_can_shrink || leaderless_for > settings_.failure_timeout * leaderless_timeouts))
      co_return;
    co_await sleep_for(host_, settings_.heartbeat_interval / 4);
  }
}

// Asks the leader to remove this voter. The outcome is `done` if the leader has removed it or will never do so.
auto consensus::request_removal(monotonic_time deadline) -> task<leave_outcome> {
  try {
    auto message = encode(leave_request{local_voter_});
    co_await call_leader(std::move(message),
                         std::min(deadline, host_.now() + settings_.failure_timeout * leave_timeouts));
  } catch (const request_error& error) {
    if (error.code == errc::busy || error.code == errc::unclear)
      co_return leave_outcome::later;
    // A leader of an earlier release does not know the request.
    if (error.code != errc::too_few_nodes && error.code != errc::malformed)
      co_return leave_outcome::no_leader;
  }
  co_return leave_outcome::done;
}

// Waits until a majority of `list` has answered a request that was sent after this call. Returns false if `deadline`
// passes first or this replica loses its leadership.
auto consensus::wait_for_replies(std::vector<voter> list, monotonic_time deadline) -> task<bool> {
  auto requested_at = host_.now();
  auto has_replied = [&](const voter& member) {
    const auto* progress = progress_of(member);
    return member == local_voter_ || (progress && progress->last_contact >= requested_at);
  };
  replication_needed_.wake();
  while (static_cast<std::size_t>(std::count_if(list.begin(), list.end(), has_replied)) <= list.size() / 2) {
    auto in_time = co_await reply_received_.wait(host_, deadline);
    if (!in_time || !is_leader())
      co_return false;
  }
  co_return true;
}

// Throws `errc::too_few_nodes` if the list is as short as it may become.
auto consensus::check_voter_may_leave() const -> void {
  if (voters().size() <= min_voters())
    throw request_error(errc::too_few_nodes, "the replicated log needs all of its voters");
}

// Handles the request of a voter that shuts down. Returns after the voter has left the list. Throws `errc::busy` while
// the other voters alone are no majority of the new list: the voter may only restart, and a list of which a majority is
// lost can never be changed again. A learner is dropped, so that it does not become a voter after its process has
// ended.
auto consensus::on_leave(leave_request request) -> task<value> {
  if (!is_leader() || transferring_)
    throw retryable_error(errc::no_leader, "this control node does not lead the replicated log",
                          execution_outcome::not_executed);
  learners_.erase(request.leaving);
  check_no_change_pending();
  if (!is_voter(request.leaving))
    co_return encode(acknowledgement{});
  check_voter_may_leave();
  auto others = voters_without(request.leaving);
  auto others_respond = co_await wait_for_replies(std::move(others), host_.now() + settings_.failure_timeout / 2);
  if (!others_respond)
    throw retryable_error(errc::busy, "too few of the other voters respond", execution_outcome::not_executed);
  check_no_change_pending();
  check_voter_may_leave();
  auto remaining = voters_without(request.leaving);
  co_await change_voters(std::move(remaining), host_.now() + settings_.failure_timeout);
  reachridge::log(log_level::info, settings_.name, request.leaving.address + " shuts down and left the voters");
  co_return encode(acknowledgement{});
}

auto consensus::on_describe(const describe_request& request) const -> describe_reply {
  auto empty = log_.term == 0 && log_.last() == 0;
  return {local_voter_.disk_id, log_.initialized, empty, leader_address_, log_.members().contains(request.requester)};
}

}  // namespace reachridge
