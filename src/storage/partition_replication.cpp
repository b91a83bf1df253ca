// The primary's side of replication. The primary runs one task for each other replica: the task joins the replica, then
// streams log entries to it (design 6.2, 6.6).
#include "storage/partition.hpp"

#include <algorithm>

#include "storage/member_lookup.hpp"

namespace reachridge {
namespace {

constexpr auto max_message_bytes = std::size_t{256} << 10;  // approximate limit for the entries of one message
constexpr auto state_chunk_bytes = max_message_bytes / 2;   // a message encodes each byte of state as two hex digits
constexpr auto max_unsent_bytes = max_message_bytes * 4;    // above this limit a connection is congested

// Whether a replica rejected a message because it follows a primary of a newer epoch.
auto reports_newer_epoch(const request_error& error, partition_epoch epoch) -> bool {
  return error.code == errc::old_epoch && get_int_or(error.details, "epoch", 0) > epoch;
}

}  // namespace

// Returns the age of the oldest entry that this replica has not applied. Entries that the replica lacked when it joined
// do not count (design 6.7).
auto partition::replay_lag(const replica_progress& replica) const -> monotonic_time {
  auto applied = std::max(replica.applied_index, replica.last_index_at_join);
  auto lacks_entries = applied >= log_.base_index() && applied < last_index();
  return lacks_entries ? host_.now() - log_.at(applied + 1).appended_at : 0;
}

auto partition::is_responsive(const std::string& member) const -> bool {
  auto it = replicas_.find(member);
  return it != replicas_.end() && it->second.joined &&
         host_.now() - it->second.last_contact <= context_.settings.failure_timeout;
}

// Returns the last contact time to use after the connection to a member was closed. It leaves two heartbeat intervals
// until the failure timeout: a live member reconnects within this time, a killed process does not (design 6.5).
auto partition::contact_after_disconnect(monotonic_time last_contact) const -> monotonic_time {
  return std::min(last_contact,
                  host_.now() - context_.settings.failure_timeout + context_.settings.heartbeat_interval * 2);
}

// Returns a last contact time that makes a member count as silent immediately.
auto partition::expired_contact_time() const -> monotonic_time {
  return host_.now() - context_.settings.failure_timeout - 1;
}

auto partition::start_replication(const std::string& member) -> void {
  if (member.empty() || replicas_.count(member))
    return;
  auto& replica = replicas_[member];
  replica.last_contact = replica.replicating_since = host_.now();
  replica.replication_number = ++last_replication_number_;
  tasks_.spawn(replicate({.member = member, .leadership = leadership_number_, .number = replica.replication_number}));
}

// Whether the run is the latest replication task of its replica in the current leadership. If two tasks replicate to
// the same replica, only the later one continues (design 6.11).
auto partition::is_current_run(const replication_run& run) const -> bool {
  if (role_ != replica_role::primary || leadership_number_ != run.leadership)
    return false;
  auto it = replicas_.find(run.member);
  auto is_latest = it != replicas_.end() && it->second.replication_number == run.number;
  return is_latest && is_replication_target(run.member);
}

// A replica that has left the in-sync set must not be joined again: it would count as joined at an epoch that does not
// name it, and would keep its data until the next change of the assignment (is_obsolete).
auto partition::is_replication_target(const std::string& member) const -> bool {
  return assignment_.is_in_sync(member) || member == join_.member || member == spare_.member;
}

// Replicates to one replica while this node is the primary: joins the replica, streams entries, and repeats both after
// every interruption.
auto partition::replicate(replication_run run) -> task<void> {
  while (is_current_run(run)) {
    auto address = address_of_member(context_.session.view, run.member);
    if (address.empty()) {
      co_await sleep_for(host_, context_.settings.heartbeat_interval);
      continue;
    }
    auto& connection = context_.peer_connection_to(address);
    auto only_epoch_changed = false;
    try {
      only_epoch_changed = co_await replicate_over(run, connection);
    } catch (const request_error& error) {
      if (is_current_run(run) && reports_newer_epoch(error, assignment_.epoch))
        step_down("a replica follows a primary of a newer epoch");
    }
    if (!is_current_run(run))
      break;
    if (only_epoch_changed)
      continue;  // rejoin immediately
    on_replication_interrupted(replicas_[run.member], connection);
    co_await sleep_for(
        host_, connection.is_up() ? context_.settings.heartbeat_interval : context_.settings.heartbeat_interval / 8);
  }
}

// Joins the replica and streams entries to it. Returns whether the stream ended only because the epoch changed.
auto partition::replicate_over(const replication_run& run, peer_connection& connection) -> task<bool> {
  auto joined = co_await join_replica(run, connection);
  if (!joined)
    co_return false;
  release_outputs();
  check_wakeup_.wake();
  co_return co_await stream_entries(run, connection);
}

// Compares the replica's log with this log and copies the state if the replica cannot continue its own log. Returns
// false if the run has ended.
auto partition::join_replica(const replication_run& run, peer_connection& connection) -> task<bool> {
  auto join = ++last_join_id_;
  auto request = replica_join_request{
      .partition = id, .epoch = assignment_.epoch, .primary = own_member(), .join = join, .last_index = last_index()};
  auto epoch = request.epoch;
  auto join_reply = co_await request_join(run, connection, request);
  if (!is_current_run(run))
    co_return false;
  if (auto common = common_entry(join_reply)) {
    request.join = join = ++last_join_id_;
    request.truncate_to = common;
    join_reply = co_await request_join(run, connection, std::move(request));
    if (!is_current_run(run))
      co_return false;
  }
  if (auto reason = copy_reason(join_reply)) {
    if (join_reply.damaged)
      replicas_[run.member].acknowledged_index = -1;  // it was acknowledged by a log that the replica no longer has
    auto copy_began_at = host_.now();
    auto copied_index = co_await copy_state(run, connection, join);
    if (!copied_index)
      co_return false;
    join_reply.last_index = join_reply.applied_index = join_reply.synced_index = *copied_index;
    ++replicas_[run.member].copies;
    log_info("copied the state to " + run.member + " at entry " + std::to_string(*copied_index) + since(copy_began_at) +
             ": " + *reason);
  } else {
    log_info(run.member + " joins with its own log up to entry " + std::to_string(join_reply.last_index) +
             ", synced up to entry " + std::to_string(join_reply.synced_index) + ", of " +
             std::to_string(last_index()));
  }
  begin_streaming(replicas_[run.member], join_reply);
  replicas_[run.member].joined_epoch = epoch;
  co_return true;
}

// Sends a join request and records its epoch, unless the request certainly did not reach the replica.
auto partition::request_join(const replication_run& run, peer_connection& connection, replica_join_request request)
    -> task<replica_join_reply> {
  auto earlier_epoch = std::exchange(replicas_[run.member].requested_epoch, request.epoch);
  try {
    co_return decode_replica_join_reply(
        co_await connection.call(encode(request), host_.now() + context_.settings.failure_timeout));
  } catch (const request_error& error) {
    auto is_unsent = error.code == errc::unreachable && error.outcome == execution_outcome::not_executed;
    if (is_unsent && is_current_run(run))
      replicas_[run.member].requested_epoch = earlier_epoch;
    throw;
  }
}

// Whether the replica's log is a prefix of this log. Entries that are no longer in memory cannot be compared.
auto partition::is_prefix(const replica_join_reply& reply) const -> bool {
  return reply.last_index <= last_index() && log_.epoch_at(reply.last_index) == reply.last_epoch;
}

// Returns the entry up to which the replica may have the same log, if the replica has other entries above it. No output
// of those was released: every in-sync replica, and so this primary, has the released entries.
auto partition::common_entry(const replica_join_reply& reply) const -> std::optional<entry_identity> {
  if (reply.damaged || is_prefix(reply) || reply.last_index <= log_.base_index())
    return {};
  return log_.last_entry_of_epoch(reply.last_index, reply.last_epoch);
}

// Returns why the replica needs a copy of the state, or no value if it can keep its log: the log is a prefix of this
// log, and the entries that it lacks or has not applied cost less than a copy of the state.
auto partition::copy_reason(const replica_join_reply& reply) const -> std::optional<std::string> {
  if (reply.damaged)
    return "it has no log or a damaged one";
  if (reply.last_index < log_.base_index())
    return "the entries that it lacks are no longer in memory";
  if (!is_prefix(reply))
    return "its log differs from this log";
  auto first_needed = std::max(log_.base_index(), std::min(reply.last_index, reply.applied_index));
  auto lacks_few_entries = last_index() - reply.applied_index <= max_entries_behind;
  if (!lacks_few_entries && log_.replication_cost(first_needed) > log_.snapshot_bytes())
    return "a copy costs less than the entries that it lacks";
  return {};
}

// Sends a copy of the state to the replica. The state is captured between two operations, and the partition continues
// to serve requests during the transfer (paper 3.1). Returns the log index of the copy, or no value if the run has
// ended.
auto partition::copy_state(const replication_run& run, peer_connection& connection, join_id join)
    -> task<std::optional<entry_index>> {
  auto index = applied_index_;
  auto bytes = encode_with_checksum(
      encode(partition_snapshot{.index = index, .epoch = log_.epoch_at(index), .state = state_.take_snapshot()}));
  auto epoch = assignment_.epoch;
  auto sent_bytes = std::size_t{0};
  for (auto part = std::size_t{0}; sent_bytes < bytes.size(); ++part) {
    auto chunk = state_chunk{.partition = id,
                             .epoch = epoch,
                             .primary = own_member(),
                             .join = join,
                             .part = part,
                             .bytes = bytes.substr(sent_bytes, state_chunk_bytes)};
    sent_bytes += chunk.bytes.size();
    chunk.last = sent_bytes >= bytes.size();
    auto request = encode(chunk);
    co_await connection.call(std::move(request), host_.now() + context_.settings.failure_timeout);
    if (!is_current_run(run))
      co_return std::nullopt;
    replicas_[run.member].last_contact = host_.now();
  }
  co_return index;
}

auto partition::begin_streaming(replica_progress& replica, const replica_join_reply& join_reply) -> void {
  replica.next_index = join_reply.last_index + 1;
  // Only entries that are durable on the replica's disk count as acknowledged (Output Rule, design 6.3).
  replica.acknowledged_index = std::min(join_reply.last_index, join_reply.synced_index);
  replica.applied_index = join_reply.applied_index;
  replica.last_index_at_join = last_index();
  replica.joined = true;
  replica.process_gone = false;
  replica.rejected = false;
  replica.announced_spare.reset();
  replica.last_contact = host_.now();
}

// Streams new entries to the replica. Sends at least one message per heartbeat interval, which the replica
// acknowledges. Returns whether the stream ended only because the epoch changed.
auto partition::stream_entries(const replication_run& run, peer_connection& connection) -> task<bool> {
  auto epoch = assignment_.epoch;
  while (may_stream(run, connection, epoch)) {
    auto& replica = replicas_[run.member];
    if (replica.next_index <= log_.base_index())
      break;  // the entry is no longer in memory: the replica needs a new copy of the state
    auto congested = connection.active && connection.active->unsent_bytes() > max_unsent_bytes;
    connection.send(encode(next_entries(replica, congested)));
    auto next_heartbeat = host_.now() + context_.settings.heartbeat_interval;
    if (run.member == spare_.member)
      co_await spare_promoted_.wait(host_, next_heartbeat);  // no output waits for a spare: it gets entries in batches
    else if (replica.next_index > last_index() || congested)
      co_await replication_wakeup_.wait(host_, next_heartbeat);
    else
      co_await sleep_until(host_, 0);  // yields to other tasks between two messages
  }
  if (!is_current_run(run))
    co_return false;
  auto& replica = replicas_[run.member];
  if (!connection.is_up())
    replica.last_contact = contact_after_disconnect(replica.last_contact);
  co_return connection.is_up() && !replica.rejected && assignment_.epoch != epoch;
}

auto partition::may_stream(const replication_run& run, const peer_connection& connection, partition_epoch epoch) const
    -> bool {
  if (!is_current_run(run) || !connection.is_up() || assignment_.epoch != epoch)
    return false;
  const auto& replica = replicas_.at(run.member);
  return !replica.rejected && host_.now() - replica.last_contact <= context_.settings.failure_timeout;
}

// Returns a message with the next entries for this replica, up to max_message_bytes. The message has no entries if the
// connection is congested.
auto partition::next_entries(replica_progress& replica, bool congested) -> append_message {
  auto previous = replica.next_index - 1;
  auto message = append_message{.partition = id,
                                .epoch = assignment_.epoch,
                                .primary = own_member(),
                                .previous_index = previous,
                                .previous_epoch = log_.epoch_at(previous)};
  if (has_spares() && replica.announced_spare != spare_.member)
    message.spare = replica.announced_spare = spare_.member;
  auto size = std::size_t{0};
  while (!congested && replica.next_index <= last_index() && size < max_message_bytes) {
    const auto& entry = log_.at(replica.next_index);
    size += estimate_entry_bytes(entry.payload);
    message.entries.push_back({entry.epoch, entry.go_live_point, entry.payload});
    ++replica.next_index;
  }
  return message;
}

// Marks the replica as not joined. If the replica's process is known to have terminated, the replica counts as silent
// immediately and is replaced without waiting for the failure timeout (design 6.5).
auto partition::on_replication_interrupted(replica_progress& replica, const peer_connection& connection) -> void {
  replica.joined = false;
  auto process_gone = connection.refused_at() > replica.replicating_since;
  if (!process_gone || replica.process_gone)
    return;
  replica.process_gone = true;
  replica.last_contact = expired_contact_time();
  check_immediately_ = true;
  check_wakeup_.wake();
}

auto partition::on_acknowledgement(const replica_acknowledgement& message) -> void {
  auto it = replicas_.find(message.member);
  if (role_ != replica_role::primary || it == replicas_.end() || message.epoch != assignment_.epoch)
    return;
  auto& replica = it->second;
  if (message.rejected) {
    replica.rejected = true;
    replication_wakeup_.wake();
    return;
  }
  if (!replica.joined)
    return;
  replica.last_contact = host_.now();
  replica.acknowledged_index = std::max(replica.acknowledged_index, message.synced_index);
  replica.applied_index = std::max(replica.applied_index, message.applied_index);
  // complete_join waits until the joining replica has acknowledged every entry with a released output.
  auto is_joining = message.member == join_.member && join_.required_acks.count(message.member) > 0;
  if (is_joining && replica.acknowledged_index >= released_index_)
    check_wakeup_.wake();
  release_outputs();
}

}  // namespace reachridge
