// The primary's side of replication: one task for each replica that it feeds (design 6.2, 6.6).
#include "storage/partition.hpp"

#include <algorithm>

#include "storage/member_lookup.hpp"

namespace reachridge {
namespace {

constexpr auto max_message_bytes = std::size_t{256} << 10;  // of entries, about
constexpr auto state_chunk_bytes = max_message_bytes / 2;   // a byte of state takes two digits in its message
constexpr auto max_unsent_bytes = max_message_bytes * 4;    // of a connection, before entries are held back

// Whether a replica refused a message since it follows a primary of a newer epoch.
auto names_newer_epoch(const request_error& error, partition_epoch epoch) -> bool {
  return error.code == errc::old_epoch && get_int_or(error.details, "epoch", 0) > epoch;
}

}  // namespace

// How long ago the first entry was appended that this replica has not applied. What it lacked when it joined does not
// count (design 6.7).
auto partition::replay_lag(const replica_progress& replica) const -> monotonic_time {
  auto applied = std::max(replica.applied_index, replica.lacked_at_join);
  auto lacks_some = applied >= log_.base_index() && applied < last_index();
  return lacks_some ? host_.now() - log_.at(applied + 1).appended_at : 0;
}

auto partition::in_touch(const std::string& member) const -> bool {
  auto it = replicas_.find(member);
  return it != replicas_.end() && it->second.joined &&
         host_.now() - it->second.last_contact <= context_.settings.failure_timeout;
}

// A member whose connection was closed has two heartbeats to open it again: one that lives does, one whose process was
// killed does not (design 6.5).
auto partition::contact_after_disconnect(monotonic_time last_contact) const -> monotonic_time {
  return std::min(last_contact,
                  host_.now() - context_.settings.failure_timeout + context_.settings.heartbeat_interval * 2);
}

// The time of last contact that makes a member count as silent from now on.
auto partition::expired_contact() const -> monotonic_time {
  return host_.now() - context_.settings.failure_timeout - 1;
}

auto partition::start_feed(const std::string& member) -> void {
  if (member.empty() || replicas_.count(member))
    return;
  auto& replica = replicas_[member];
  replica.last_contact = replica.feeding_since = host_.now();
  replica.feed_number = ++last_feed_number_;
  tasks_.spawn(feed({.member = member, .leadership = leadership_number_, .number = replica.feed_number}));
}

// Of two tasks that feed one replica only the later goes on (design 6.11).
auto partition::is_current(const feed_run& run) const -> bool {
  if (role_ != replica_role::primary || leadership_number_ != run.leadership)
    return false;
  auto it = replicas_.find(run.member);
  return it != replicas_.end() && it->second.feed_number == run.number;
}

// Feeds one replica as long as this node leads: joins it, streams entries, and again after every interruption.
auto partition::feed(feed_run run) -> task<void> {
  while (is_current(run)) {
    auto address = address_of_member(context_.session.view, run.member);
    if (address.empty()) {
      co_await sleep_for(host_, context_.settings.heartbeat_interval);
      continue;
    }
    auto& connection = context_.peer(address);
    auto only_epoch_changed = false;
    try {
      only_epoch_changed = co_await feed_over(run, connection);
    } catch (const request_error& error) {
      if (is_current(run) && names_newer_epoch(error, assignment_.epoch))
        halt("its replica follows a newer epoch");
    }
    if (!is_current(run))
      break;
    if (only_epoch_changed)
      continue;  // join again at once
    on_feed_interrupted(replicas_[run.member], connection);
    co_await sleep_for(
        host_, connection.is_up() ? context_.settings.heartbeat_interval : context_.settings.heartbeat_interval / 8);
  }
}

// Returns, once the stream has ended, whether only the epoch has changed.
auto partition::feed_over(const feed_run& run, peer_connection& connection) -> task<bool> {
  auto joined = co_await join_replica(run, connection);
  if (!joined)
    co_return false;
  release();
  wake_up_.wake();
  co_return co_await stream_entries(run, connection);
}

// Compares the logs and, if they part, copies the state. Returns false if the run has ended meanwhile.
auto partition::join_replica(const feed_run& run, peer_connection& connection) -> task<bool> {
  auto join = ++last_join_id_;
  auto request = encode(replica_join_request{
      .partition = id, .epoch = assignment_.epoch, .primary = own_member(), .join = join, .last_index = last_index()});
  auto answer = co_await connection.call(std::move(request), host_.now() + context_.settings.failure_timeout);
  if (!is_current(run))
    co_return false;
  auto joined_at = decode_replica_join_reply(answer);
  if (continues_own_log(joined_at)) {
    log_info(run.member + " joins with its own log up to " + std::to_string(joined_at.last_index) + ", synced up to " +
             std::to_string(joined_at.synced_index));
  } else {
    auto copied = co_await copy_state(run, connection, join);
    if (!copied)
      co_return false;
    joined_at.last_index = joined_at.applied_index = joined_at.synced_index = *copied;
    ++replicas_[run.member].copies;
    log_info("copied to " + run.member + " at " + std::to_string(*copied));
  }
  begin_streaming(replicas_[run.member], joined_at);
  co_return true;
}

// Whether the replica's log is a prefix of ours that is near enough to go on from.
auto partition::continues_own_log(const replica_join_reply& reply) const -> bool {
  // One that would have long to replay is sooner up to date with a copy.
  auto little_to_replay = last_index() - reply.applied_index <= max_entries_behind;
  auto in_memory = reply.last_index >= log_.base_index() && reply.last_index <= last_index();
  auto same_log = in_memory && log_.epoch_at(reply.last_index) == reply.last_epoch;
  return !reply.damaged && little_to_replay && same_log;
}

// The state is captured between two operations; the partition goes on meanwhile (paper 3.1). Returns the index of the
// copy, or none if the run has ended.
auto partition::copy_state(const feed_run& run, peer_connection& connection, join_id join)
    -> task<std::optional<entry_index>> {
  auto index = applied_index_;
  auto bytes = encode_with_checksum(
      encode(partition_snapshot{.index = index, .epoch = log_.epoch_at(index), .state = state_.take_snapshot()}));
  auto epoch = assignment_.epoch;
  auto sent = std::size_t{0};
  for (auto part = std::size_t{0}; sent < bytes.size(); ++part) {
    auto chunk = state_chunk{.partition = id,
                             .epoch = epoch,
                             .primary = own_member(),
                             .join = join,
                             .part = part,
                             .bytes = bytes.substr(sent, state_chunk_bytes)};
    sent += chunk.bytes.size();
    chunk.last = sent >= bytes.size();
    auto request = encode(chunk);
    co_await connection.call(std::move(request), host_.now() + context_.settings.failure_timeout);
    if (!is_current(run))
      co_return std::nullopt;
    replicas_[run.member].last_contact = host_.now();
  }
  co_return index;
}

auto partition::begin_streaming(replica_progress& replica, const replica_join_reply& joined_at) -> void {
  replica.next_index = joined_at.last_index + 1;
  // Only what is on its disk counts as acknowledged (Output Rule, design 6.3).
  replica.acknowledged_index = std::min(joined_at.last_index, joined_at.synced_index);
  replica.applied_index = joined_at.applied_index;
  replica.lacked_at_join = last_index();
  replica.joined = true;
  replica.process_gone = false;
  replica.rejected = false;
  replica.last_contact = host_.now();
}

// Sends entries as they come, and at least one message each heartbeat, which the replica acknowledges. Returns, once it
// may not go on, whether only the epoch has changed.
auto partition::stream_entries(const feed_run& run, peer_connection& connection) -> task<bool> {
  auto epoch = assignment_.epoch;
  while (may_stream(run, connection, epoch)) {
    auto& replica = replicas_[run.member];
    if (replica.next_index <= log_.base_index())
      break;  // trimmed away: copy again
    auto congested = connection.active && connection.active->unsent_bytes() > max_unsent_bytes;
    connection.send(encode(next_entries(replica, congested)));
    if (replica.next_index > last_index() || congested)
      co_await log_grown_.wait(host_, host_.now() + context_.settings.heartbeat_interval);
    else
      co_await sleep_until(host_, 0);  // lets other tasks run between two messages
  }
  if (!is_current(run))
    co_return false;
  auto& replica = replicas_[run.member];
  if (!connection.is_up())
    replica.last_contact = contact_after_disconnect(replica.last_contact);
  co_return connection.is_up() && !replica.rejected && assignment_.epoch != epoch;
}

auto partition::may_stream(const feed_run& run, const peer_connection& connection, partition_epoch epoch) const
    -> bool {
  if (!is_current(run) || !connection.is_up() || assignment_.epoch != epoch)
    return false;
  const auto& replica = replicas_.at(run.member);
  return !replica.rejected && host_.now() - replica.last_contact <= context_.settings.failure_timeout;
}

// The next entries for this replica, up to the bound of a message; none where its connection is congested.
auto partition::next_entries(replica_progress& replica, bool congested) -> append_message {
  auto previous = replica.next_index - 1;
  auto message = append_message{.partition = id,
                                .epoch = assignment_.epoch,
                                .primary = own_member(),
                                .previous_index = previous,
                                .previous_epoch = log_.epoch_at(previous)};
  auto size = std::size_t{0};
  while (!congested && replica.next_index <= last_index() && size < max_message_bytes) {
    const auto& entry = log_.at(replica.next_index);
    size += entry_bytes(entry.payload);
    message.entries.push_back({entry.epoch, entry.go_live_point, entry.payload});
    ++replica.next_index;
  }
  return message;
}

// A replica whose process is dead, not only silent, is replaced at once (design 6.5).
auto partition::on_feed_interrupted(replica_progress& replica, const peer_connection& connection) -> void {
  replica.joined = false;
  auto process_gone = connection.refused_at() > replica.feeding_since;
  if (!process_gone || replica.process_gone)
    return;
  replica.process_gone = true;
  replica.last_contact = expired_contact();
  check_at_once_ = true;
  wake_up_.wake();
}

auto partition::on_acknowledgement(const replica_acknowledgement& message) -> void {
  auto it = replicas_.find(message.member);
  if (role_ != replica_role::primary || it == replicas_.end() || message.epoch != assignment_.epoch)
    return;
  auto& replica = it->second;
  if (message.rejected) {
    replica.rejected = true;
    log_grown_.wake();
    return;
  }
  if (!replica.joined)
    return;
  replica.last_contact = host_.now();
  replica.acknowledged_index = std::max(replica.acknowledged_index, message.synced_index);
  replica.applied_index = std::max(replica.applied_index, message.applied_index);
  // bring_in_sync waits for this.
  auto joins = message.member == join_.member && join_.required_acks.count(message.member) > 0;
  if (joins && replica.acknowledged_index >= released_index_)
    wake_up_.wake();
  release();
}

}  // namespace reachridge
