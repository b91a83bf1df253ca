// Replication: sending entries and heartbeats from the leader to its followers, handling them on the followers, and
// advancing the commit index (Raft, section 5.3; design 4.2).
#include <algorithm>
#include <utility>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {

// Syncs the leader's own disk. The leader counts its own copy towards the majority only after the sync, because a power
// loss would undo unsynced entries.
auto consensus::sync_own_log() -> task<void> {
  auto synced_index = log_.last();
  auto term = log_.term;
  try {
    co_await log_.sync();
  } catch (const request_error&) {
    reachridge::log(log_level::error, settings_.name, "cannot sync the replicated log to disk; a leader steps down");
    if (is_leader())
      become_follower(log_.term, "");
    co_return;
  }
  if (log_.term == term)
    log_.durable_index = std::max(log_.durable_index, std::min(synced_index, log_.last()));
  if (is_leader())
    advance_commit();
}

auto consensus::progress_of(const voter& follower) const -> const follower_progress* {
  auto found = progress_.find(follower);
  return found == progress_.end() ? nullptr : &found->second;
}

// Advances the commit index to the highest index that is durable on a majority. Only an entry of the leader's own term
// is committed by counting copies; this also commits all entries before it (Raft, section 5.4.2).
auto consensus::advance_commit() -> void {
  auto durable_index_of = [&](const voter& member) {
    const auto* progress = progress_of(member);
    return member == local_voter_ ? log_.durable_index : progress ? progress->match_index : log_index();
  };
  auto majority_durable_index = log_.members().majority_value(durable_index_of, log_index());
  if (majority_durable_index <= commit_index_ || log_.term_at(majority_durable_index) != log_.term)
    return;
  commit_index_ = majority_durable_index;
  finish_joint_change();
  commit_advanced_.wake();
  replication_needed_.wake();
}

// Returns the latest time at which a majority, including this leader, is known to have followed it.
auto consensus::last_majority_contact() const -> monotonic_time {
  auto last_contact_of = [&](const voter& member) {
    const auto* progress = progress_of(member);
    return member == local_voter_ ? host_.now() : progress ? progress->last_contact : -never;
  };
  return log_.members().majority_value(last_contact_of, -never);
}

// Returns whether a majority has replied to this leader within the election timeout.
auto consensus::has_majority_contact() const -> bool {
  return host_.now() - last_majority_contact() <= election_timeout_;
}

auto consensus::last_quorum_contact() const -> monotonic_time {
  return transferring_ ? -never : last_majority_contact();
}

// Returns whether this replica is still the leader of `leader_term` and still replicates to `follower`.
auto consensus::leads_follower(const voter& follower, term_number leader_term) const -> bool {
  if (!is_leader() || log_.term != leader_term)
    return false;
  return progress_.contains(follower) && (learners_.contains(follower) || log_.members().contains(follower));
}

auto consensus::start_replication(const voter& follower) -> void {
  if (follower == local_voter_ || progress_.contains(follower))
    return;
  auto& progress = progress_[follower];
  progress.window = state_machine_.limits.initial_window_bytes;
  progress.next_index = log_.last();
  progress.added_at = host_.now();
  // A voter has just voted, or it needs time to reply before this leader treats it as unresponsive. A learner counts in
  // no majority.
  if (log_.members().contains(follower))
    progress.last_contact = host_.now();
  tasks_.spawn(replicate(follower, log_.term));
}

// The replication task of one follower: sends entries, heartbeats and snapshots while this replica is the leader.
auto consensus::replicate(voter follower, term_number leader_term) -> task<void> {
  while (leads_follower(follower, leader_term)) {
    auto replied = co_await send_next(follower, leader_term);
    if (!leads_follower(follower, leader_term))
      break;
    const auto& progress = progress_.at(follower);
    auto up_to_date = progress.next_index > log_.last() && progress.announced_commit_index >= commit_index_;
    if (!replied)
      co_await sleep_for(host_, settings_.heartbeat_interval);
    else if (up_to_date)
      co_await replication_needed_.wait(host_, host_.now() + settings_.heartbeat_interval);
  }
  if (is_leader() && log_.term == leader_term)
    progress_.erase(follower);
}

// Sends the next entries, heartbeat or snapshot chunk. Returns false if the follower did not reply, a different disk
// replied, or this replica no longer leads the follower.
auto consensus::send_next(voter follower, term_number leader_term) -> task<bool> {
  auto& progress = progress_.at(follower);
  progress.next_index = std::max(progress.next_index, log_index(1));
  auto needs_snapshot = progress.next_index <= log_.first() && !progress.different_disk_answered;
  auto replied = false;
  try {
    if (needs_snapshot)
      replied = co_await send_snapshot_chunk(follower, leader_term);
    else
      replied = co_await send_entries(follower, leader_term);
  } catch (const request_error&) {
    if (leads_follower(follower, leader_term))
      adapt_window(follower, settings_.failure_timeout);
  }
  co_return replied;
}

auto consensus::adapt_window(const voter& follower, monotonic_time duration) -> void {
  progress_.at(follower).adapt_window(duration, election_timeout_, state_machine_.limits.min_window_bytes);
}

// Sends a request that may take long and returns its reply. Heartbeats are sent while the request is in flight.
auto consensus::call_with_heartbeats(voter follower, term_number leader_term, value request) -> task<value> {
  auto sent_at = host_.now();
  auto& progress = progress_.at(follower);
  progress.in_flight = true;
  if (!std::exchange(progress.heartbeats_running, true))
    tasks_.spawn(send_heartbeats_during_call(follower, leader_term));
  auto clear_in_flight = [&] {
    if (auto found = progress_.find(follower); found != progress_.end())
      found->second.in_flight = false;
  };
  try {
    auto answer = co_await peer(follower.address).call(std::move(request), sent_at + settings_.failure_timeout);
    clear_in_flight();
    if (leads_follower(follower, leader_term))
      adapt_window(follower, host_.now() - sent_at);
    co_return answer;
  } catch (...) {
    clear_in_flight();
    throw;
  }
}

auto consensus::send_heartbeats_during_call(voter follower, term_number leader_term) -> task<void> {
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

// Sends a heartbeat at the follower's match index; the follower has that entry regardless of the request in flight.
// Returns false if this replica no longer leads the follower.
auto consensus::send_extra_heartbeat(voter follower, term_number leader_term) -> task<bool> {
  auto sent_at = host_.now();
  auto match = progress_.at(follower).match_index;
  auto request = encode(append_request{leader_term,
                                       local_voter_.address,
                                       follower.disk_id,
                                       match,
                                       log_.term_at(match),
                                       std::min(commit_index_, match),
                                       {}});
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

// Returns a request with the entries from the follower's next index on, limited by the window but with at least one
// entry. Without entries to send the request is a heartbeat.
auto consensus::next_entries(const voter& follower, term_number leader_term) const -> append_request {
  const auto& progress = progress_.at(follower);
  auto previous = progress.next_index - 1;
  auto request = append_request{
      leader_term, local_voter_.address, follower.disk_id, previous, log_.term_at(previous), commit_index_, {}};
  if (progress.different_disk_answered)
    return request;
  auto bytes = std::size_t{0};
  for (auto index = progress.next_index; index <= log_.last() && index > log_.first(); ++index) {
    const auto& entry = log_.entry_at(index);
    bytes += entry.command.size();
    if (bytes > progress.window && !request.entries.empty())
      break;
    request.entries.push_back({entry.term, decode_cbor(entry.command)});
  }
  return request;
}

// Sends the next entries or a heartbeat, and handles the reply. Returns as send_next() does.
auto consensus::send_entries(voter follower, term_number leader_term) -> task<bool> {
  auto sent_at = host_.now();
  auto request = next_entries(follower, leader_term);
  auto message = encode(request);
  auto answer = value();
  if (request.entries.empty())
    answer = co_await peer(follower.address).call(std::move(message), sent_at + election_timeout_);
  else
    answer = co_await call_with_heartbeats(follower, leader_term, std::move(message));
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

auto consensus::reject_append() const -> append_reply {
  return {log_.term, false, local_voter_.disk_id, 0, 0};
}

// Rejects a request whose previous entry is missing here or has a different term. The hint skips all entries of the
// conflicting term at once (Raft, end of section 5.3), but it is always above the commit index.
auto consensus::reject_log_mismatch(const append_request& request) const -> append_reply {
  auto hint = std::min(request.previous_index - 1, log_.last());
  auto conflicting_term = log_.term_at(hint);
  auto min_hint = std::max(log_.first(), commit_index_);
  while (request.previous_index <= log_.last() && hint > min_hint && log_.term_at(hint) == conflicting_term)
    --hint;
  return {log_.term, false, local_voter_.disk_id, 0, std::max(hint, commit_index_) + 1};
}

// Appends the entries that the local log lacks and returns the index of the last entry in the request. A local entry
// with a different term is removed together with all later entries. If that entry is committed, one of the two logs is
// damaged, and the request fails with `errc::conflict`.
auto consensus::append_missing_entries(const append_request& request) -> log_index {
  auto index = request.previous_index;
  for (const auto& entry : request.entries) {
    ++index;
    if (index <= log_.first() || log_.term_at(index) == entry.term)
      continue;
    if (index <= commit_index_)
      throw request_error(errc::conflict, "append_entries: an entry conflicts with a committed entry");
    if (index <= log_.last())
      log_.truncate_from(index);
    log_.append(entry.term, entry.command);
  }
  return index;
}

auto consensus::on_append(append_request request) -> task<append_reply> {
  // The leader addressed the disk that was at this address before. The local disk may belong to a different log.
  auto targets_other_disk = !request.target_disk.empty() && request.target_disk != local_voter_.disk_id;
  if (targets_other_disk)
    co_return reject_append();
  if (request.term < log_.term)
    co_return reject_append();
  accept_leader(request.term, request.leader, "append_entries");
  auto previous_is_missing = request.previous_index > log_.last();
  auto previous_is_known = request.previous_index >= log_.first();
  if (previous_is_missing || (previous_is_known && log_.term_at(request.previous_index) != request.previous_term))
    co_return reject_log_mismatch(request);
  auto last_request_index = append_missing_entries(request);
  if (!log_.initialized && !log_.members().empty()) {
    log_.initialized = true;
    log_.save_metadata();
  }
  if (auto committed = std::min(request.commit_index, last_request_index); committed > commit_index_) {
    commit_index_ = committed;
    commit_advanced_.wake();
  }
  // The log is synced before the reply because the leader counts this copy towards the majority. A heartbeat
  // acknowledges only entries that are already durable, so it does not wait for the disk.
  if (!request.entries.empty() || last_request_index > log_.durable_index || log_.failed())
    co_await log_.sync();
  if (log_.term != request.term || last_request_index > log_.last())
    co_return reject_append();
  log_.durable_index = std::max(log_.durable_index, last_request_index);
  co_return append_reply{log_.term, true, local_voter_.disk_id, last_request_index, 0};
}

}  // namespace reachridge
