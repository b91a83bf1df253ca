// The interfaces to the machine: clock, network, disk and random numbers (design 3.1). They have two implementations:
// `ev_host`, which uses libev, TCP and LevelDB, and the simulated host of the simulator.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "runtime/duration_statistics.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/task.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// A connection that carries bytes to and from another process. The object is held by shared_ptr and may outlive the
// connection.
class byte_stream {
 public:
  explicit byte_stream(event_loop& loop) : loop_(loop) {}
  byte_stream(const byte_stream&) = delete;
  auto operator=(const byte_stream&) -> byte_stream& = delete;
  virtual ~byte_stream() = default;
  // Queues bytes for sending. Does nothing after the stream was closed.
  virtual auto send(std::string_view bytes) -> void = 0;
  // Closes the stream. Bytes that are already queued are still sent.
  virtual auto close() -> void = 0;
  // Returns the number of queued bytes that the network has not accepted yet.
  [[nodiscard]] virtual auto unsent_bytes() const -> std::size_t = 0;
  // The reader calls this after it has removed bytes from `input`, so that the stream can resume receiving.
  virtual auto input_consumed() -> void {}
  // Makes this machine acknowledge received bytes at once. A peer whose system sends small writes only after the
  // acknowledgement of earlier ones (Nagle's algorithm) otherwise waits for an answer or for the delayed
  // acknowledgement between two requests.
  virtual auto acknowledge_promptly() -> void {}
  // Returns whether this machine already knows that the peer has closed the connection. The result may be true before
  // `closed` is.
  [[nodiscard]] virtual auto peer_has_closed() const -> bool {
    return closed;
  }

  // Waits until bytes are appended to `input`, the stream ends or the deadline passes. Returns false if the stream has
  // ended, and true if bytes arrived or the deadline passed.
  auto read_more(monotonic_time deadline = never) -> task<bool> {
    auto size_before = input.size();
    while (input.size() == size_before && !closed) {
      auto in_time = co_await readable_.wait(loop_, deadline);
      if (!in_time)
        co_return !closed;
    }
    co_return input.size() > size_before;
  }
  // Waits until at most `max_unsent_bytes` are unsent. Returns false if the deadline passes or the stream ends first.
  auto wait_until_sent(std::size_t max_unsent_bytes, monotonic_time deadline) -> task<bool> {
    while (!closed && unsent_bytes() > max_unsent_bytes) {
      auto in_time = co_await writable_.wait(loop_, deadline);
      if (!in_time)
        co_return false;
    }
    co_return !closed;
  }
  [[nodiscard]] auto now() const -> monotonic_time {
    return loop_.now();
  }
  std::string input;           // received bytes that the reader has not removed yet
  bool closed = false;         // no more bytes are received or queued
  std::string remote_address;  // IP:PORT of the peer

 protected:
  event_loop& loop_;
  signal readable_, writable_;
};
using byte_stream_ptr = std::shared_ptr<byte_stream>;

// A listening socket. Destroying the listener stops the listening. New connections are in `accepted`.
class listener {
 public:
  virtual ~listener() = default;
  command_queue<byte_stream_ptr> accepted;
};

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

// The machine as one process sees it, and the event loop of this process. The host must outlive every task, stream and
// store that uses it.
class host : public event_loop {
 public:
  [[nodiscard]] virtual auto wall_clock_ms() const -> std::int64_t = 0;  // milliseconds since 1970
  virtual auto random() -> std::uint64_t = 0;                            // all 64 bits are random
  // Listens on IP:PORT. Throws request_error (errc::listen_failed) if that is not possible.
  virtual auto listen(const std::string& address) -> std::unique_ptr<listener> = 0;
  // Connects to IP:PORT. Returns null if the attempt failed or the deadline passed. If `refused` is given, a failure
  // sets the flag to whether the remote machine refused the connection, which means that no process listens on this
  // port. A timeout leaves the flag unchanged: a machine without power and a network partition do not answer.
  virtual auto connect(std::string address, monotonic_time deadline, bool* refused = nullptr)
      -> task<byte_stream_ptr> = 0;
  // Returns the store of the process, or null if the process has no disk.
  virtual auto disk() -> store* = 0;
  // Returns a random number below the bound, or 0 if the bound is 0.
  auto random_below(std::uint64_t bound) -> std::uint64_t {
    return bound ? random() % bound : 0;
  }
  // Returns a random time span between 0.5 and 1.5 times the given one. The jitter keeps many processes from acting at
  // the same moment.
  auto jittered(monotonic_time span) -> monotonic_time {
    return span / 2 + static_cast<monotonic_time>(random_below(static_cast<std::uint64_t>(span) + 1));
  }
};

}  // namespace reachridge
