// Replication: entries and heartbeats from the leader to its followers, and what is committed (Raft, section 5.3;
// design 4.2).
#include <algorithm>
#include <utility>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {

// Waits for the own disk; then the own copy counts too. What is not synced here may not be counted as one of the
// majority: a loss of power would take it back.
auto consensus::sync_own_log() -> task<void> {
  auto upto = log_.last();
  auto term = log_.term;
  try {
    co_await log_.sync();
  } catch (const request_error&) {
    reachridge::log(log_level::error, settings_.name, "the disk of the replicated log fails; giving up the leadership");
    if (is_leader())
      become_follower(log_.term, "");
    co_return;
  }
  if (log_.term == term)
    log_.durable_index = std::max(log_.durable_index, std::min(upto, log_.last()));
  if (is_leader())
    advance_commit();
}

auto consensus::progress_of(const voter& follower) const -> const follower_progress* {
  auto row = progress_.find(follower);
  return row == progress_.end() ? nullptr : &row->second;
}

// Only an entry of the leader's own term is committed by counting; those before it follow (Raft, section 5.4.2).
auto consensus::advance_commit() -> void {
  auto durable_at = [&](const voter& one) {
    const auto* progress = progress_of(one);
    return one == self_ ? log_.durable_index : progress ? progress->match_index : log_index();
  };
  auto durable_at_majority = log_.members().majority_value(durable_at, log_index());
  if (durable_at_majority <= commit_index_ || log_.term_at(durable_at_majority) != log_.term)
    return;
  commit_index_ = durable_at_majority;
  finish_joint_change();
  commit_advanced_.wake();
  log_grown_.wake();
}

auto consensus::majority_contact() const -> monotonic_time {
  auto last_contact_at = [&](const voter& one) {
    const auto* progress = progress_of(one);
    return one == self_ ? host_.now() : progress ? progress->last_contact : -never;
  };
  return log_.members().majority_value(last_contact_at, -never);
}
auto consensus::last_quorum_contact() const -> monotonic_time {
  return transferring_ ? -never : majority_contact();
}

auto consensus::leads_follower(const voter& follower, term_number leader_term) const -> bool {
  if (!is_leader() || log_.term != leader_term)
    return false;
  return progress_.contains(follower) && (learners_.contains(follower) || log_.members().contains(follower));
}

auto consensus::start_replication(const voter& follower) -> void {
  if (follower == self_ || progress_.contains(follower))
    return;
  auto& progress = progress_[follower];
  progress.window = state_machine_.limits.initial_window_bytes;
  progress.next_index = log_.last();
  progress.added_at = host_.now();
  // A voter has just voted, or is given the time to answer; one that only learns is in no majority.
  if (log_.members().contains(follower))
    progress.last_contact = host_.now();
  tasks_.spawn(replicate(follower, log_.term));
}

// One task for each follower while leading: entries, heartbeats, snapshots.
auto consensus::replicate(voter follower, term_number leader_term) -> task<void> {
  while (leads_follower(follower, leader_term)) {
    auto answered = co_await send_next(follower, leader_term);
    if (!leads_follower(follower, leader_term))
      break;
    const auto& progress = progress_.at(follower);
    auto up_to_date = progress.next_index > log_.last() && progress.announced_commit_index >= commit_index_;
    if (!answered)
      co_await sleep_for(host_, settings_.heartbeat_interval);
    else if (up_to_date)
      co_await log_grown_.wait(host_, host_.now() + settings_.heartbeat_interval);
  }
  if (is_leader() && log_.term == leader_term)
    progress_.erase(follower);
}

// Sends what the follower needs next; false: it did not answer, or another disk did.
auto consensus::send_next(voter follower, term_number leader_term) -> task<bool> {
  auto& progress = progress_.at(follower);
  progress.next_index = std::max(progress.next_index, log_index(1));
  auto by_snapshot = progress.next_index <= log_.first() && !progress.different_disk_answered;
  auto answered = false;
  try {
    if (by_snapshot)
      answered = co_await send_snapshot_chunk(follower, leader_term);
    else
      answered = co_await send_entries(follower, leader_term);
  } catch (const request_error&) {
    if (leads_follower(follower, leader_term))
      adapt_window(follower, settings_.failure_timeout);
  }
  co_return answered;
}

auto consensus::adapt_window(const voter& follower, monotonic_time took) -> void {
  progress_.at(follower).adapt_window(took, election_timeout_, state_machine_.limits.min_window_bytes);
}

// Sends what may take long, with heartbeats beside it.
auto consensus::exchange(voter follower, term_number leader_term, value request) -> task<value> {
  auto sent_at = host_.now();
  auto& progress = progress_.at(follower);
  progress.in_flight = true;
  if (!std::exchange(progress.heartbeats_running, true))
    tasks_.spawn(heartbeat_while_sending(follower, leader_term));
  auto end_flight = [&] {
    if (auto row = progress_.find(follower); row != progress_.end())
      row->second.in_flight = false;
  };
  try {
    auto answer = co_await peer(follower.address).call(std::move(request), sent_at + settings_.failure_timeout);
    end_flight();
    if (leads_follower(follower, leader_term))
      adapt_window(follower, host_.now() - sent_at);
    co_return answer;
  } catch (...) {
    end_flight();
    throw;
  }
}

auto consensus::heartbeat_while_sending(voter follower, term_number leader_term) -> task<void> {
  while (true) {
    co_await sleep_for(host_, settings_.heartbeat_interval);
    if (!leads_follower(follower, leader_term))
      co_return;
    auto& progress = progress_.at(follower);
    progress.heartbeats_running = progress.in_flight;
    if (!progress.heartbeats_running)
      co_return;
    auto still_leads = co_await send_extra_heartbeat(follower, leader_term);
    if (!still_leads)
      co_return;
  }
}

// A heartbeat at the follower's match index, which it has whatever is under way. False: this one no longer leads it.
auto consensus::send_extra_heartbeat(voter follower, term_number leader_term) -> task<bool> {
  auto sent_at = host_.now();
  auto match = progress_.at(follower).match_index;
  auto request = encode(append_request{
      leader_term, self_.address, follower.disk_id, match, log_.term_at(match), std::min(commit_index_, match), {}});
  try {
    auto answer = co_await peer(follower.address).call(std::move(request), sent_at + election_timeout_);
    auto reply = decode_append_reply(answer);
    if (!leads_follower(follower, leader_term))
      co_return false;
    if (reply.term > log_.term) {
      become_follower(reply.term, "");
      co_return false;
    }
    auto& progress = progress_.at(follower);
    if (reply.disk_id == follower.disk_id)
      progress.last_contact = std::max(progress.last_contact, sent_at);
    reply_received_.wake();
  } catch (const request_error&) {
  }
  co_return true;
}

// Entries from the next index on, as many as the window takes and one at least; none: a heartbeat.
auto consensus::next_entries(const voter& follower, term_number leader_term) const -> append_request {
  const auto& progress = progress_.at(follower);
  auto previous = progress.next_index - 1;
  auto request =
      append_request{leader_term, self_.address, follower.disk_id, previous, log_.term_at(previous), commit_index_, {}};
  if (progress.different_disk_answered)
    return request;
  auto bytes = std::size_t{0};
  for (auto at = progress.next_index; at <= log_.last() && at > log_.first(); ++at) {
    const auto& entry = log_.entry_at(at);
    bytes += entry.command.size();
    if (bytes > progress.window && !request.entries.empty())
      break;
    request.entries.push_back({entry.term, decode_cbor(entry.command)});
  }
  return request;
}

auto consensus::send_entries(voter follower, term_number leader_term) -> task<bool> {
  auto sent_at = host_.now();
  auto request = next_entries(follower, leader_term);
  auto message = encode(request);
  auto answer = value();
  if (request.entries.empty())
    answer = co_await peer(follower.address).call(std::move(message), sent_at + election_timeout_);
  else
    answer = co_await exchange(follower, leader_term, std::move(message));
  auto reply = decode_append_reply(answer);
  if (!leads_follower(follower, leader_term))
    co_return false;
  if (reply.term > log_.term) {
    become_follower(reply.term, "");
    co_return false;
  }
  auto& progress = progress_.at(follower);
  if (!progress.handle_append_reply(follower, reply, log_.last(), sent_at))
    co_return false;
  progress.announced_commit_index = reply.success ? request.commit_index : log_index(-1);
  advance_commit();
  reply_received_.wake();
  co_return true;
}

auto consensus::refuse_append() const -> append_reply {
  return {log_.term, false, self_.disk_id, 0, 0};
}

// The entry before the new ones is missing here, or of another term. The hint goes back over a whole term at once
// (Raft, end of section 5.3), but never behind what is committed.
auto consensus::refuse_gap(const append_request& request) const -> append_reply {
  auto hint = std::min(request.previous_index - 1, log_.last());
  auto conflicting_term = log_.term_at(hint);
  auto least = std::max(log_.first(), commit_index_);
  while (request.previous_index <= log_.last() && hint > least && log_.term_at(hint) == conflicting_term)
    --hint;
  return {log_.term, false, self_.disk_id, 0, std::max(hint, commit_index_) + 1};
}

// Appends the entries that are not here yet; gives the index of the last one that was sent. An entry of another term
// in its place is removed with all behind it, unless it is committed: then one of the two logs is broken.
auto consensus::append_missing(const append_request& request) -> log_index {
  auto at = request.previous_index;
  for (const auto& entry : request.entries) {
    ++at;
    if (at <= log_.first() || log_.term_at(at) == entry.term)
      continue;
    if (at <= commit_index_)
      throw request_error(errc::conflict, "append_entries: an entry differs from a committed one");
    if (at <= log_.last())
      log_.truncate_from(at);
    log_.append(entry.term, entry.command);
  }
  return at;
}

auto consensus::on_append(append_request request) -> task<append_reply> {
  // Meant for the disk that was at this address before: what is on this one may be of another replicated log.
  auto other_disk_meant = !request.target_disk.empty() && request.target_disk != self_.disk_id;
  if (other_disk_meant)
    co_return refuse_append();
  if (request.term < log_.term)
    co_return refuse_append();
  accept_leader(request.term, request.leader, "append_entries");
  auto previous_missing = request.previous_index > log_.last();
  auto previous_known = request.previous_index >= log_.first();
  if (previous_missing || (previous_known && log_.term_at(request.previous_index) != request.previous_term))
    co_return refuse_gap(request);
  auto last_sent = append_missing(request);
  if (!log_.initialized && !log_.members().empty()) {
    log_.initialized = true;
    log_.save_metadata();
  }
  if (auto committed = std::min(request.commit_index, last_sent); committed > commit_index_) {
    commit_index_ = committed;
    commit_advanced_.wake();
  }
  // Synced before it is acknowledged: the leader counts this copy. A heartbeat promises nothing that is not durable
  // yet, and need not wait for the disk.
  if (!request.entries.empty() || last_sent > log_.durable_index || log_.failed())
    co_await log_.sync();
  if (log_.term != request.term || last_sent > log_.last())
    co_return refuse_append();
  log_.durable_index = std::max(log_.durable_index, last_sent);
  co_return append_reply{log_.term, true, self_.disk_id, last_sent, 0};
}

}  // namespace reachridge
