// The interfaces to the machine: clock, network, disk and random numbers (design 3.1). They have two implementations:
// `ev_host`, which uses libev, TCP and LevelDB, and the simulated host of the simulator.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "runtime/event_loop.hpp"
#include "runtime/store.hpp"
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
