// The backup's side of replication (design 6.2).
#include "storage/partition.hpp"

#include <algorithm>
#include <utility>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Counts a call as running while it is in scope.
class running_call {
 public:
  explicit running_call(int& running) : running_(running) {
    ++running_;
  }
  running_call(const running_call&) = delete;
  auto operator=(const running_call&) -> running_call& = delete;
  ~running_call() {
    --running_;
  }

 private:
  int& running_;
};

constexpr auto obsolete_after_timeouts = 5;  // a replica that is assigned elsewhere is removed after so many

}  // namespace

auto partition::last_sign_of_primary() const -> monotonic_time {
  return std::max({last_contact_, created_at_, reconnected_at_});
}

auto partition::is_obsolete() const -> bool {
  auto assigned_elsewhere = assignment_.epoch > 0 && !assignment_.has_member(own_member());
  auto unused = role_ != replica_role::primary && calls_running_ == 0;
  return assigned_elsewhere && unused &&
         host_.now() - last_sign_of_primary() > context_.settings.failure_timeout * obsolete_after_timeouts;
}

auto partition::follows(const std::string& primary, partition_epoch epoch) const -> bool {
  return role_ == replica_role::backup && epoch == followed_.epoch && primary == followed_.member;
}

auto partition::become_backup() -> void {
  role_ = replica_role::backup;
  reconnected_at_ = last_contact_ = host_.now();
  entries_received_.wake();
}

// Epochs only rise: who joins at a lower one than is known here has been replaced, and is told by whom.
auto partition::on_join(replica_join_request request) -> task<replica_join_reply> {
  auto running = running_call(calls_running_);
  if (request.epoch < assignment_.epoch || request.epoch < followed_.epoch)
    throw request_error(errc::old_epoch, id + " has moved on", execution_outcome::not_executed, -1,
                        assignment_.to_value());
  if (role_ == replica_role::primary) {
    if (request.epoch == assignment_.epoch)
      throw request_error(errc::old_epoch, "two primaries at one epoch", execution_outcome::not_executed);
    halt("a newer primary joins");
  }
  followed_.member = request.primary;
  followed_.epoch = request.epoch;
  followed_.answered_join = request.join;
  followed_.process_gone = false;
  last_contact_ = host_.now();
  if (role_ != replica_role::backup)
    reconnected_at_ = host_.now();
  role_ = replica_role::backup;
  auto begun = log_.begin_sync();
  co_await disk_.sync();
  log_.finish_sync(begun);  // what came in meanwhile is not synced yet
  co_return replica_join_reply{.last_index = last_index(),
                               .last_epoch = log_.epoch_at(last_index()),
                               .applied_index = applied_index_,
                               .damaged = damaged_,
                               .synced_index = log_.synced_index()};
}

auto partition::on_state_chunk(state_chunk chunk) -> task<void> {
  auto running = running_call(calls_running_);
  if (!follows(chunk.primary, chunk.epoch))
    throw request_error(errc::old_epoch, "another primary is followed");
  // One of an earlier join may come late, over a connection that was given up since: it would undo what was
  // acknowledged.
  if (chunk.join != followed_.answered_join)
    throw request_error(errc::old_epoch, "another join came after this copy was begun");
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
    throw request_error(errc::old_epoch, "another primary is followed");
  damaged_ = false;
  log_.mark_synced(log_.base_index());  // what came in meanwhile waits for its own sync
}

auto partition::install_state(const partition_snapshot& snapshot) -> void {
  wipe();
  state_ = partition_state::restore(snapshot.state);
  applied_index_ = snapshot.index;
  log_.restart_from(snapshot);
}

auto partition::on_append(const connection_ptr& from, append_message message) -> void {
  if (!follows(message.primary, message.epoch)) {
    // A lower epoch is refused: a primary that was suspended and goes on gets no acknowledgement and sends nothing.
    auto rejection =
        replica_acknowledgement{.partition = id, .member = own_member(), .epoch = message.epoch, .rejected = true};
    from->send(encode(rejection));
    return;
  }
  followed_.connection = from;
  followed_.process_gone = false;
  last_contact_ = host_.now();
  auto previous = message.previous_index;
  auto same_log = previous <= last_index() && log_.epoch_at(previous) == message.previous_epoch;
  if (!same_log && previous >= log_.base_index())
    return send_acknowledgement(true);
  if (take_entries(std::move(message)))
    entries_received_.wake();
  else
    send_acknowledgement(false);
}

// Appends those of the entries that the log does not have yet; returns whether there were any.
auto partition::take_entries(append_message message) -> bool {
  auto index = message.previous_index;
  auto any_new = false;
  for (auto& entry : message.entries) {
    ++index;
    if (index <= last_index())
      continue;
    append({entry.epoch, entry.go_live_point, std::move(entry.payload), host_.now()});
    any_new = true;
  }
  return any_new;
}

// A long replay before going live is no silence: else the other backups would claim in turn.
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
  auto lost_connection = role_ == replica_role::backup && !followed_.connection;
  auto was_primary = node_of_member(followed_.member) == node && assignment_.primary == followed_.member;
  if (!lost_connection || !was_primary)
    return;
  followed_.process_gone = true;
  check_at_once_ = true;
  wake_up_.wake();
}

auto partition::send_acknowledgement(bool rejected) -> void {
  if (!followed_.connection)
    return;
  // Only what is on this disk counts: the primary lets outputs leave by it (Output Rule, design 6.3).
  followed_.connection->send(encode(replica_acknowledgement{.partition = id,
                                                            .member = own_member(),
                                                            .epoch = followed_.epoch,
                                                            .rejected = rejected,
                                                            .synced_index = log_.synced_index(),
                                                            .applied_index = applied_index_}));
}

// Applies the log up to its last go-live point, then waits for more (paper 2.4, 3.2).
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

// Stops early if this replica becomes primary, or if its log is wiped or replaced.
auto partition::replay_up_to(entry_index end) -> task<void> {
  while (applied_index_ < end && may_replay()) {
    if (context_.settings.replay_delay > 0)
      co_await sleep_for(host_, context_.settings.replay_delay);
    if (!may_replay())
      break;
    auto index = applied_index_ + 1;
    state_.apply(index, decode_log_entry(log_.at(index).payload));  // the outputs are dropped: the primary sends them
    applied_index_ = index;
  }
}

auto partition::may_replay() const -> bool {
  return role_ != replica_role::primary && applied_index_ >= log_.base_index() && applied_index_ < last_index();
}

}  // namespace reachridge
