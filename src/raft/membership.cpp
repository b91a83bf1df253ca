// Changes of the voters: joining, replacing, removing (Raft, section 6; design 4.5).
#include "raft/membership.hpp"

#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// In failure timeouts.
constexpr auto replacement_timeouts = 2;  // a voter silent for so long may be replaced by one that joins
constexpr auto learner_timeouts = 4;      // a learner silent for so long is forgotten
constexpr auto join_timeouts = 3;         // a request to join that is passed on to the leader

// How many voters are in one of the lists only.
auto difference(const std::vector<voter>& left, const std::vector<voter>& right) -> std::size_t {
  auto missing = [](const std::vector<voter>& from, const std::vector<voter>& list) {
    return std::count_if(from.begin(), from.end(), [&](const voter& one) {
      return std::find(list.begin(), list.end(), one) == list.end();
    });
  };
  return static_cast<std::size_t>(missing(left, right) + missing(right, left));
}

}  // namespace

auto consensus::is_voter(const voter& candidate) const -> bool {
  return std::find(voters().begin(), voters().end(), candidate) != voters().end();
}

auto consensus::is_voter_address(const std::string& address) const -> bool {
  return std::any_of(voters().begin(), voters().end(), [&](const voter& one) {
    return one.address == address;
  });
}

auto consensus::peers() const -> std::vector<std::string> {
  auto addresses = std::vector<std::string>();
  auto add = [&](const std::string& address) {
    auto known = std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    if (address != self_.address && !known)
      addresses.push_back(address);
  };
  for (const auto& one : log_.members().all())
    add(one.address);
  for (const auto& seed : settings_.seeds)
    add(seed);
  return addresses;
}

auto consensus::silent_voters(monotonic_time span) const -> std::vector<voter> {
  auto last_contact_at = [&](const voter& one) {
    const auto* progress = progress_of(one);
    return one == self_ || !progress ? host_.now() : progress->last_contact;
  };
  auto silent = std::vector<voter>();
  for (const auto& one : voters())
    if (host_.now() - last_contact_at(one) > span)
      silent.push_back(one);
  std::sort(silent.begin(), silent.end(), [&](const voter& left, const voter& right) {
    return last_contact_at(left) < last_contact_at(right);
  });
  return silent;
}

// The next change begins only once the newest voters in the log are committed, whoever put them there and whether or
// not its client still waits: two changes that are both open could have majorities that do not meet.
auto consensus::change_pending() const -> bool {
  return log_.members_index() > commit_index_ || log_.members().joint();
}

auto consensus::check_no_change_pending() const -> void {
  if (change_pending())
    throw retry_after_heartbeat(errc::busy, "another voter is being changed", execution_outcome::not_executed);
}

// One voter more or less shares a majority with the list before it. A replacement is both, and goes through a joint
// list: nobody leaves before the newcomer is in, and no list is ever longer by one that may be lost again.
auto consensus::change_voters(std::vector<voter> next, monotonic_time until) -> task<void> {
  if (!leadership_established() || transferring_)
    throw retry_after_heartbeat(errc::busy, "the leader is not settled", execution_outcome::not_executed);
  check_no_change_pending();
  auto term = log_.term;
  auto command = membership_command();
  command.members.voters = std::move(next);
  if (difference(command.members.voters, voters()) > 1)
    command.members.outgoing = voters();
  auto encoded = encode(command);
  co_await propose(std::move(encoded), until);
  while (is_leader() && log_.term == term && change_pending()) {
    auto in_time = co_await commit_advanced_.wait(host_, until);
    if (!in_time)
      break;
  }
  if (!is_leader() || log_.term != term || change_pending())
    throw retry_after_heartbeat(errc::unclear, "the change of voters was not finished in time",
                                execution_outcome::unknown);
}

// Both majorities have taken the joint list, in this term: the new one alone goes on.
auto consensus::finish_joint_change() -> void {
  auto joint_committed = log_.members().joint() && log_.members_index() <= commit_index_;
  if (!joint_committed || commit_index_ < first_own_index_)
    return;
  auto command = membership_command();
  command.members.voters = log_.members().voters;
  log_.append(log_.term, encode(command));
  tasks_.spawn(sync_own_log());
}

auto consensus::remove_voter(voter silent) -> task<void> {
  reachridge::log(log_level::warning, settings_.name,
                  "voter " + silent.address + " has been silent for long; it is removed");
  auto next = voters();
  next.erase(std::remove(next.begin(), next.end(), silent), next.end());
  try {
    co_await change_voters(std::move(next), host_.now() + settings_.failure_timeout);
  } catch (const request_error& error) {
    reachridge::log(log_level::info, settings_.name, "voter " + silent.address + ": " + error.what());
  }
}

// The progress of one that joins is its own: nothing that another disk at its address once held counts for it.
auto consensus::start_learner(const voter& joining) -> void {
  if (learners_.contains(joining) || log_.members().contains(joining))
    return;
  std::erase_if(learners_, [&](const voter& one) {
    return one.address == joining.address;
  });
  std::erase_if(progress_, [&](const auto& row) {
    return row.first.address == joining.address && !log_.members().contains(row.first);
  });
  learners_.insert(joining);
  start_replication(joining);
}

auto consensus::drop_silent_learners() -> void {
  std::erase_if(learners_, [&](const voter& learner) {
    const auto* progress = progress_of(learner);
    if (!progress)
      return true;
    auto last_seen = std::max(progress->last_contact, progress->added_at);
    return host_.now() - last_seen > settings_.failure_timeout * learner_timeouts;
  });
}

// Has it all that was committed when a round began, in a round no longer than an election timeout (Raft thesis 4.2.1)?
// New entries may come faster than a slow link carries them; then it would only hold up the majority that it joins.
auto consensus::caught_up(voter learner, monotonic_time until) -> task<bool> {
  auto term = log_.term;
  auto round_began = host_.now();
  auto target = commit_index_;
  while (leads_follower(learner, term) && host_.now() < until) {
    if (progress_.at(learner).match_index >= target) {
      if (host_.now() - round_began <= election_timeout_)
        co_return true;
      round_began = host_.now();
      target = commit_index_;
    }
    co_await reply_received_.wait(host_, std::min(until, host_.now() + settings_.heartbeat_interval));
  }
  co_return false;
}

// It takes the place of the disk that was at its address before; else that of a voter that is lost, at whatever
// address: nobody waits for it; else there is a voter more.
auto consensus::voters_with(const voter& joining) const -> std::vector<voter> {
  auto next = voters();
  auto same_address = [&](const voter& one) {
    return one.address == joining.address;
  };
  if (is_voter_address(joining.address))
    next.erase(std::remove_if(next.begin(), next.end(), same_address), next.end());
  else if (auto silent = silent_voters(settings_.failure_timeout * replacement_timeouts); !silent.empty())
    next.erase(std::remove(next.begin(), next.end(), silent.front()), next.end());
  next.push_back(joining);
  return next;
}

auto consensus::on_join(join_request request) -> task<value> {
  if (!is_leader())
    co_return co_await forward_join(std::move(request));
  check_may_join(request);
  if (!is_voter(request.joining))
    co_await admit_voter(request.joining);
  co_return encode(acknowledgement{});
}

// The leader's answer goes back as it came.
auto consensus::forward_join(join_request request) -> task<value> {
  if (leader_address_.empty())
    throw retry_after_heartbeat(errc::no_leader, "no leader yet", execution_outcome::not_executed);
  auto message = encode(request);
  co_return co_await call_leader(std::move(message), host_.now() + settings_.failure_timeout * join_timeouts);
}

auto consensus::check_may_join(const join_request& request) const -> void {
  const auto& joining = request.joining;
  if (joining.address == self_.address && joining != self_)
    throw request_error(errc::malformed, "join: addr is the leader's own");
  const auto& own_log_id = log_.log_id();
  if (!request.log_id.empty() && !own_log_id.empty() && request.log_id != own_log_id) {
    reachridge::log(log_level::warning, settings_.name,
                    joining.address + " has a disk of another fleet's ledger; it is not let in");
    throw request_error(errc::foreign_disk,
                        "the disk holds another fleet's ledger: empty the folder, or name its own fleet's seeds",
                        execution_outcome::not_executed);
  }
  // Before an entry of its own term is committed, voters of an earlier change may not be known here.
  if (!leadership_established())
    throw retry_after_heartbeat(errc::busy, "the leader is not settled yet", execution_outcome::not_executed);
  check_no_change_pending();
}

// One whose disk was lost, or that is new: first it learns, then it becomes a voter. While it learns it has no part in
// any majority, and nobody is removed for it.
auto consensus::admit_voter(voter joining) -> task<void> {
  start_learner(joining);
  auto ready = co_await caught_up(joining, host_.now() + settings_.failure_timeout);
  if (!ready)
    throw retry_after_heartbeat(errc::catching_up, "the newcomer does not have all entries yet",
                                execution_outcome::not_executed);
  co_await change_voters(voters_with(joining), host_.now() + settings_.failure_timeout);
  learners_.erase(joining);
  reachridge::log(log_level::info, settings_.name, joining.address + " is a voter now");
}

auto consensus::on_describe(const describe_request& request) const -> describe_reply {
  auto empty = log_.term == 0 && log_.last() == 0;
  return {self_.disk_id, log_.initialized, empty, leader_address_, log_.members().contains(request.requester)};
}

}  // namespace reachridge
