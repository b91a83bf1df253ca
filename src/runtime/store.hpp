// The durable key-value store of a process, with group commit (design 3.1). It has two implementations: `leveldb_store`
// and the simulated disk of the simulator.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/duration_statistics.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/task.hpp"

namespace reachridge {

// A durable key-value store. Changes become durable in the order in which they were made, and at the latest when `sync`
// returns. All syncs that are requested while a write is in progress share the next write (group commit).
class store {
 public:
  // Numbers the changes of one store object from 1 on, in the order in which they were made. 0 stands for no change.
  using change_number = std::uint64_t;
  using visitor = std::function<void(const std::string& key, const std::string& value)>;
  explicit store(event_loop& loop) : loop_(loop), tasks_(loop) {}
  store(const store&) = delete;
  auto operator=(const store&) -> store& = delete;
  virtual ~store() = default;
  // Returns the value of a key. Reads see every earlier change, including changes that are not written to disk yet. A
  // value that was read is certainly durable only if `all_durable` returns true or after a sync.
  auto get(const std::string& key) -> std::optional<std::string>;
  // Visits all keys with the prefix in ascending order. Sees the same changes as `get`.
  auto scan(const std::string& prefix, const visitor& visit) -> void;
  [[nodiscard]] auto newest_change() const -> change_number {
    return requested_;
  }
  // Returns whether this change, and with it every earlier one, is durable.
  [[nodiscard]] auto is_durable(change_number change) const -> bool {
    return change <= durable_;
  }
  // Returns whether every change is durable.
  [[nodiscard]] auto all_durable() const -> bool {
    return is_durable(requested_);
  }
  // Sets the value of a key. The change is durable after a `sync`.
  auto put(std::string key, std::string content) -> void {
    pending_bytes_ += key.size() + content.size();
    pending_.push_back({std::move(key), std::move(content), false});
    ++requested_;
  }
  // Removes a key if the store has it. The change is durable after a `sync`.
  auto erase(std::string key) -> void {
    pending_.push_back({std::move(key), {}, true});
    ++requested_;
  }
  // Returns when all changes made before the call are durable. Throws request_error (errc::disk_failed) if a write
  // fails. The store keeps the changes of a failed write and retries them, before any later change, until the disk
  // accepts them. After that, syncs succeed again.
  auto sync() -> task<void> {
    return sync_up_to(requested_);
  }
  // As `sync`, but returns as soon as the changes up to `last` are durable, whatever was changed after them.
  auto sync_up_to(change_number last) -> task<void>;
  // Returns whether the last write failed.
  [[nodiscard]] auto failed() const -> bool {
    return failed_;
  }
  std::uint64_t syncs = 0;          // number of synced writes, including failed ones
  duration_statistics write_times;  // of successful synced writes
  std::uint64_t bytes = 0;          // total size of the keys and values passed to `put` and then to the disk

 protected:
  struct change {
    std::string key, value;
    bool erased;
  };
  // Makes the changes durable, all of them or none. Throws if the disk refuses the write. The caller keeps `changes`
  // unchanged until the task ends.
  virtual auto write(const std::vector<change>& changes) -> task<void> = 0;
  // Read the disk alone, without the changes that are not written yet.
  virtual auto get_written(const std::string& key) -> std::optional<std::string> = 0;
  virtual auto scan_written(const std::string& prefix, const visitor& visit) -> void = 0;
  // Destroys the flush task. The destructor of a derived class calls this before it destroys what `write` uses.
  auto stop_tasks() -> void {
    tasks_.clear();
  }
  event_loop& loop_;

 private:
  using pending_changes = std::map<std::string, const change*, std::less<>>;
  // Returns, for each key with the prefix, its latest change that is not durable yet.
  [[nodiscard]] auto newest_pending(const std::string& prefix) const -> pending_changes;
  // Retries `write_pending` until it succeeds.
  auto flush() -> task<void>;
  // Waits for the changes that share the next write.
  auto collect_changes() -> task<void>;
  // Writes all changes that are not durable yet. Returns false if the disk refused the write.
  auto write_pending() -> task<bool>;

  std::vector<change> pending_;  // not passed to `write` yet
  std::vector<change> writing_;  // passed to `write`: in progress, or to be retried after a failure
  change_number requested_ = 0;  // the newest change
  change_number durable_ = 0;    // the newest change that is durable
  std::size_t pending_bytes_ = 0;
  monotonic_time last_write_time_ = 0;  // of the last successful write
  bool flushing_ = false;               // `flush` is running
  bool failed_ = false;                 // the last write failed
  signal flushed_;
  task_group tasks_;
};

}  // namespace reachridge
