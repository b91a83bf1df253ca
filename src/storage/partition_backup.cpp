// The backup's side of replication (design 6.2).
#include "storage/partition.hpp"

#include <algorithm>
#include <utility>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Counts a join or copy request as running for the lifetime of the object.
class running_call_guard {
 public:
  explicit running_call_guard(int& running) : running_(running) {
    ++running_;
  }
  running_call_guard(const running_call_guard&) = delete;
  auto operator=(const running_call_guard&) -> running_call_guard& = delete;
  ~running_call_guard() {
    --running_;
  }

 private:
  int& running_;
};

// The number of failure timeouts without contact after which a replica of a reassigned partition is obsolete.
constexpr auto obsolete_after_timeouts = 5;

}  // namespace

auto partition::last_primary_contact() const -> monotonic_time {
  return std::max({last_contact_, created_at_, became_backup_at_});
}

// A primary proposes to add a replica only by compare-and-set from an epoch at which the replica has answered its join
// request. If a later assignment does not name the replica, each such proposal has been committed before or is
// rejected. An assignment that is not later proves nothing, however long it has been known: the node may be cut off
// from newer ones.
auto partition::is_obsolete() const -> bool {
  auto known_epoch_is_later = assignment_.epoch > std::max(followed_.epoch, record_.joined_epoch());
  auto is_assigned_elsewhere = known_epoch_is_later && !assignment_.has_member(own_member());
  auto is_unused = role_ != replica_role::primary && running_calls_ == 0;
  return is_assigned_elsewhere && is_unused &&
         host_.now() - last_primary_contact() > context_.settings.failure_timeout * obsolete_after_timeouts;
}

auto partition::follows(const std::string& primary, partition_epoch epoch) const -> bool {
  return role_ == replica_role::backup && epoch == followed_.epoch && primary == followed_.member;
}

auto partition::become_backup() -> void {
  role_ = replica_role::backup;
  became_backup_at_ = last_contact_ = host_.now();
  entries_received_.wake();
}

// Epochs only increase. A primary that joins with a lower epoch than this replica knows has been replaced; the error
// contains the current assignment.
auto partition::on_join(replica_join_request request) -> task<replica_join_reply> {
  auto running = running_call_guard(running_calls_);
  if (request.epoch < assignment_.epoch || request.epoch < followed_.epoch)
    throw request_error(errc::old_epoch, id + ": the epoch of the join request is lower than the known epoch",
                        execution_outcome::not_executed, -1, assignment_.to_value());
  if (role_ == replica_role::primary) {
    if (request.epoch == assignment_.epoch)
      throw request_error(errc::old_epoch, "this node is the primary at the epoch of the join request",
                          execution_outcome::not_executed);
    step_down("a primary of a newer epoch sent a join request");
  }
  followed_.member = request.primary;
  followed_.epoch = request.epoch;
  followed_.last_answered_join = request.join;
  followed_.process_gone = false;
  last_contact_ = host_.now();
  if (role_ != replica_role::backup)
    became_backup_at_ = host_.now();
  role_ = replica_role::backup;
  record_.store_joined_epoch(request.epoch);
  if (request.truncate_to)
    truncate_log(*request.truncate_to);
  co_await disk_.sync();
  log_.update_synced_index();
  co_return replica_join_reply{.last_index = last_index(),
                               .last_epoch = log_.epoch_at(last_index()),
                               .applied_index = applied_index_,
                               .damaged = is_damaged_,
                               .synced_index = log_.synced_index()};
}

// Removes the entries above the last one that this log has in common with the primary's. If they have been applied, the
// state is restored from the snapshot and replayed. Keeps the log if it does not have that entry or has entries of a
// later epoch than the primary's; the primary then sends a copy of the state.
auto partition::truncate_log(const entry_identity& last_common) -> void {
  auto is_from_newer_primary = log_.epoch_at(last_index()) > followed_.epoch;
  if (is_damaged_ || is_from_newer_primary || !log_.can_truncate_to(last_common))
    return;
  log_info("removes the entries " + std::to_string(last_common.index + 1) + " to " + std::to_string(last_index()) +
           ", which the primary does not have");
  if (applied_index_ > last_common.index && !restore_snapshot())
    return;
  log_.truncate_to(last_common.index);
  entries_received_.wake();
}

// Sets the state back to the newest snapshot. If its record is damaged, erases the replica and returns false; the
// primary then sends a copy of the state (design 6.8).
auto partition::restore_snapshot() -> bool {
  try {
    auto snapshot = log_.read_snapshot();
    state_ = snapshot ? partition_state::restore(*snapshot) : partition_state();
    applied_index_ = log_.snapshot_index();
    return true;
  } catch (const decode_error& error) {
    reachridge::log(log_level::error, context_.settings.name, id + ": the snapshot is damaged: " + error.what());
    wipe();
    is_damaged_ = true;
    return false;
  }
}

auto partition::on_state_chunk(state_chunk chunk) -> task<void> {
  auto running = running_call_guard(running_calls_);
  if (!follows(chunk.primary, chunk.epoch))
    throw request_error(errc::old_epoch, "the state copy is not from the primary that this backup follows");
  // A delayed chunk of an earlier join can arrive on an abandoned connection. Installing its state would undo
  // acknowledged entries.
  if (chunk.join != followed_.last_answered_join)
    throw request_error(errc::old_epoch, "the state copy belongs to an earlier join request");
  last_contact_ = host_.now();
  if (chunk.part == 0)
    followed_.partial_state.clear();
  followed_.partial_state += chunk.bytes;
  if (!chunk.last)
    co_return;

  install_state(decode_partition_snapshot(decode_with_checksum(std::exchange(followed_.partial_state, {}))));
  auto epoch = followed_.epoch;
  co_await disk_.sync();
  if (followed_.epoch != epoch || role_ != replica_role::backup)
    throw request_error(errc::old_epoch, "the followed primary changed while the state copy was synced");
  is_damaged_ = false;
  log_.update_synced_index();
}

auto partition::install_state(const partition_snapshot& snapshot) -> void {
  wipe();
  state_ = partition_state::restore(snapshot.state);
  applied_index_ = snapshot.index;
  log_.restart_from(snapshot);
  record_.mark_replaced();
}

auto partition::on_append(const connection_ptr& from, append_message message) -> void {
  if (!follows(message.primary, message.epoch)) {
    // Entries of a lower epoch are rejected. A former primary that resumes after a suspension gets no acknowledgement
    // and therefore releases no outputs.
    auto rejection =
        replica_acknowledgement{.partition = id, .member = own_member(), .epoch = message.epoch, .rejected = true};
    from->send(encode(rejection));
    return;
  }
  followed_.connection = from;
  followed_.process_gone = false;
  last_contact_ = host_.now();
  if (message.spare)
    record_.store_spare(*message.spare);
  auto previous = message.previous_index;
  auto logs_match = previous <= last_index() && log_.epoch_at(previous) == message.previous_epoch;
  if (!logs_match && previous >= log_.base_index())
    return send_acknowledgement(true);
  if (take_entries(std::move(message)))
    entries_received_.wake();
  else
    send_acknowledgement(false);
}

// Appends the entries that the log does not contain yet. Returns whether any entry was appended.
auto partition::take_entries(append_message message) -> bool {
  auto index = message.previous_index;
  auto has_new_entries = false;
  for (auto& entry : message.entries) {
    ++index;
    if (index <= last_index())
      continue;
    append({entry.epoch, entry.go_live_point, std::move(entry.payload), host_.now()});
    has_new_entries = true;
  }
  return has_new_entries;
}

// The announcement counts as contact with the primary. Without it the other backups would treat a long replay as a
// failure and claim the partition.
auto partition::on_replay_announcement(partition_epoch epoch) -> void {
  auto is_newest = epoch >= assignment_.epoch && epoch >= followed_.epoch;
  if (role_ != replica_role::primary && is_newest)
    last_contact_ = host_.now();
}

auto partition::drop_primary_connection(const connection_ptr& closed) -> bool {
  if (role_ != replica_role::backup || followed_.connection != closed)
    return false;
  followed_.connection.reset();
  last_contact_ = contact_after_disconnect(last_contact_);
  return true;
}

auto partition::on_primary_process_gone(const std::string& node) -> void {
  auto is_disconnected = role_ == replica_role::backup && !followed_.connection;
  auto was_primary = node_of_member(followed_.member) == node && assignment_.primary == followed_.member;
  if (!is_disconnected || !was_primary)
    return;
  followed_.process_gone = true;
  check_immediately_ = true;
  check_wakeup_.wake();
}

auto partition::send_acknowledgement(bool rejected) -> void {
  if (!followed_.connection)
    return;
  // The acknowledged index covers only entries that are durable on this disk, because the primary releases outputs
  // based on it (Output Rule, design 6.3).
  followed_.connection->send(encode(replica_acknowledgement{.partition = id,
                                                            .member = own_member(),
                                                            .epoch = followed_.epoch,
                                                            .rejected = rejected,
                                                            .synced_index = log_.synced_index(),
                                                            .applied_index = applied_index_}));
}

// Applies the log up to its last go-live point and then waits for more entries (paper 2.4, 3.2).
auto partition::replay() -> task<void> {
  while (true) {
    auto end = log_.last_go_live_point(applied_index_);
    if (role_ == replica_role::primary || end <= applied_index_) {
      co_await entries_received_.wait(host_);
      continue;
    }
    co_await replay_up_to(end);
    if (role_ == replica_role::backup)
      store_snapshot_if_due();
    co_await sleep_until(host_, 0);  // lets other tasks run
  }
}

// Applies the entries up to `end`. Stops early if this replica becomes the primary or its log is wiped, replaced or
// truncated.
auto partition::replay_up_to(entry_index end) -> task<void> {
  const auto truncations = log_.truncations();
  while (applied_index_ < end && log_.truncations() == truncations && may_replay()) {
    if (context_.settings.replay_delay > 0)
      co_await sleep_for(host_, context_.settings.replay_delay);
    if (log_.truncations() != truncations || !may_replay())
      break;
    auto index = applied_index_ + 1;
    state_.apply(index, decode_log_entry(log_.at(index).payload));  // drops the outputs: the primary sends them
    applied_index_ = index;
  }
}

auto partition::may_replay() const -> bool {
  return role_ != replica_role::primary && applied_index_ >= log_.base_index() && applied_index_ < last_index();
}

}  // namespace reachridge
