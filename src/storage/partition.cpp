// Loading, appending and syncing of a partition's log and state, and the partition's status (design 6.1, 6.2).
#include "storage/partition.hpp"

#include <algorithm>

#include "runtime/log.hpp"

namespace reachridge {

partition::partition(partition_context context, std::string partition_id)
    : id(std::move(partition_id)),
      context_(std::move(context)),
      host_(context_.host),
      disk_(*host_.disk()),
      log_(disk_, id),
      record_(disk_, id),
      tasks_(host_) {
  tasks_.on_error = [this](std::exception_ptr error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& e) {
      reachridge::log(log_level::error, context_.settings.name,
                      id + ": a task of the partition ended with an error: " + e.what());
      dump_log("a task of a partition ended with an error");
      step_down("a task of the partition ended with an error");
      is_damaged_ = true;
    }
  };
  created_at_ = host_.now();
  try {
    load();
  } catch (const std::exception& e) {
    // A replica never serves torn or altered records. The primary sends a new copy of the state (design 6.8).
    reachridge::log(log_level::error, context_.settings.name,
                    id + ": the replica on this disk is damaged: " + e.what());
    dump_log("damaged replica of partition " + id);
    wipe();
    is_damaged_ = true;
  }
  tasks_.spawn(run_role_checks());
  tasks_.spawn(flush_log());
  tasks_.spawn(replay());
}

auto partition::log_info(const std::string& text) const -> void {
  reachridge::log(log_level::info, context_.settings.name, id + ": " + text);
}

auto partition::log_debug(const std::string& text) const -> void {
  reachridge::log(log_level::debug, context_.settings.name, id + ": " + text);
}

// Returns the time that a step took, as the end of a log line.
auto partition::since(monotonic_time began_at) const -> std::string {
  return " in " + std::to_string((host_.now() - began_at) / millisecond) + " ms";
}

auto partition::load() -> void {
  record_.load();
  if (record_.erased_epoch()) {
    log_info("has no log: it was erased and nothing has replaced it");
    log_.wipe();  // a crash may have interrupted the erasure
    is_damaged_ = true;
    return;
  }
  if (auto state = log_.load_snapshot())
    state_ = partition_state::restore(*state);
  log_.load_entries(host_.now());
  applied_index_ = log_.base_index();
  if (last_index() > 0)
    log_info("loaded entries " + std::to_string(log_.base_index() + 1) + " to " + std::to_string(last_index()) +
             since(created_at_));
}

auto partition::wipe() -> void {
  auto newest_epoch = std::max({assignment_.epoch, followed_.epoch, record_.joined_epoch()});
  record_.mark_erased(assignment_.epoch > 0 ? newest_epoch : unknown_epoch);
  log_.wipe();
  state_ = partition_state();
  applied_index_ = 0;
}

auto partition::store_snapshot_if_due() -> void {
  if (!log_.snapshot_is_due())
    return;
  auto began_at = host_.now();
  log_.store_snapshot(applied_index_, state_.take_snapshot());
  log_debug("encoded a snapshot up to entry " + std::to_string(applied_index_) + since(began_at));
}

auto partition::append(partition_log::entry new_entry) -> entry_index {
  auto index = log_.append(std::move(new_entry));
  unsynced_entries_.wake();
  return index;
}

// Appends and applies the entries of one operation of the primary. The outputs wait until the last entry is durable on
// all in-sync replicas (paper 2.2, 2.4), because a backup that goes live keeps either the complete operation or nothing
// of it.
auto partition::append_operation(std::vector<log_entry> entries) -> void {
  auto outputs = std::vector<output>();
  auto index = entry_index{0};
  for (auto i = std::size_t{0}; i < entries.size(); ++i) {
    auto is_last = i + 1 == entries.size();
    index = append({assignment_.epoch, is_last, encode(entries[i]), host_.now()});
    auto entry_outputs = state_.apply(index, entries[i]);
    applied_index_ = index;
    std::move(entry_outputs.begin(), entry_outputs.end(), std::back_inserter(outputs));
  }
  for (auto& operation_output : outputs)
    pending_outputs_.push_back({index, std::move(operation_output)});
  replication_wakeup_.wake();
  store_snapshot_if_due();
}

// Returns an entry that advances the partition's clock by the time since the last clock entry. Returns no entry if less
// than half a heartbeat interval has passed.
auto partition::clock_entry() -> std::vector<log_entry> {
  auto elapsed_ms = (host_.now() - last_clock_entry_at_) / millisecond;
  if (elapsed_ms < context_.settings.heartbeat_interval / millisecond / 2)
    return {};
  last_clock_entry_at_ += elapsed_ms * millisecond;
  return {clock_advance{elapsed_ms}};
}

// Returns an entry with the settings of the newest configuration, or no value if the configuration changes nothing for
// this partition. Most configurations change nothing, and no entry is logged for them.
auto partition::configuration_entry() const -> std::optional<log_entry> {
  const auto& newest = context_.session.view.configuration;
  if (!newest || newest->number <= state_.configuration_version)
    return {};
  auto pool = newest->pools.find(id.substr(0, id.find('/')));
  auto retention_ms = pool == newest->pools.end() ? state_.retention_ms : pool->second.keep_ms;
  if (retention_ms == state_.retention_ms && context_.settings.resend_window / millisecond == state_.resend_ms)
    return {};
  return configuration_change{retention_ms, context_.settings.resend_window / millisecond, newest->number};
}

auto partition::configuration_number() const -> std::int64_t {
  const auto& newest = context_.session.view.configuration;
  return newest && !configuration_entry() ? std::max(state_.configuration_version, newest->number)
                                          : state_.configuration_version;
}

// Syncs this node's disk up to the last entry. Entries become durable as well by syncs that other partitions request,
// and no entry waits for changes that were made after it. After each sync a primary releases outputs and a backup sends
// an acknowledgement.
auto partition::flush_log() -> task<void> {
  while (true) {
    co_await wait_for_unsynced_entries();
    log_.clear_sync_urgency();
    auto fault = std::string();
    try {
      co_await disk_.sync_up_to(log_.newest_change());
    } catch (const request_error& error) {
      fault = error.what();
    }
    if (!fault.empty()) {
      co_await wait_for_disk_recovery(fault);
      continue;
    }
    log_.update_synced_index();
    if (role_ == replica_role::primary)
      release_outputs();
    else if (role_ == replica_role::backup)
      send_acknowledgement(false);
  }
}

// Waits until the log has entries to sync. Entries that only advance the clock wait up to a heartbeat interval for
// other entries.
auto partition::wait_for_unsynced_entries() -> task<void> {
  while (log_.synced_index() >= last_index())
    co_await unsynced_entries_.wait(host_);
  auto deadline = host_.now() + context_.settings.heartbeat_interval;
  while (!log_.sync_is_urgent() && host_.now() < deadline)
    co_await unsynced_entries_.wait(host_, deadline);
}

// Steps down after a failed disk write and waits until the disk has completed all queued writes. The replica counts as
// damaged in the meantime (design 6.8).
auto partition::wait_for_disk_recovery(const std::string& fault) -> task<void> {
  auto was_damaged = std::exchange(is_damaged_, true);
  step_down("the disk failed: " + fault);
  dump_log("the disk of " + context_.settings.name + " failed");
  while (disk_.failed())
    co_await sleep_for(host_, context_.settings.heartbeat_interval);
  if (!was_damaged)
    is_damaged_ = false;  // the disk has completed all queued writes in order
}

auto partition::status() const -> value {
  auto backups = assignment_.backups();
  auto names = array(backups.begin(), backups.end());
  auto replicas = object();
  for (const auto& [member, replica] : replicas_)
    replicas[member] = object{{"joined", replica.joined},
                              {"got", replica.acknowledged_index},
                              {"done", replica.applied_index},
                              {"lag_ms", replay_lag(replica) / millisecond},
                              {"copies", replica.copies}};
  return object{{"role", role_ == replica_role::primary  ? "primary"
                         : role_ == replica_role::backup ? "backup"
                                                         : "idle"},
                {"epoch", assignment_.epoch},
                {"prim", assignment_.primary},
                {"back", backups.empty() ? "" : backups.front()},
                {"backups", names},
                {"last", last_index()},
                {"applied", applied_index_},
                {"solid", log_.synced_index()},
                {"root", state_.recreated_at_position},
                {"broken", is_damaged_},
                {"share", admission_.share()},
                {"slowed", admission_.throttled()},
                {"stops", admission_.buffer_full_refusals()},
                {"open", state_.subscriptions.size()},
                {"linked", subscribers_.size()},
                {"topics", state_.topics.size()},
                {"pending", pending_outputs_.size()},
                {"spoken", released_index_},
                {"copies", replicas},
                {"charter", configuration_number()}};
}

}  // namespace reachridge
