// The host on libev, TCP and LevelDB (design 3.1).
#pragma once
#include <ev.h>

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "runtime/host.hpp"
#include "runtime/loop_utilization.hpp"

namespace reachridge {

// A stream that buffers its output until the end of the loop's turn, so that all bytes sent within one turn need one
// system call (design 3.1).
class buffered_stream
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~buffered_stream() = default;
  virtual auto flush_buffer() -> void = 0;
};

// The event loop, the signal handlers and the store of a process. A process can have only one ev_host, because the
// class uses the default loop of libev.
class ev_host : public host {
 public:
  // Opens the store in `data_directory`; if the name is empty, the host has no disk. Throws request_error
  // (errc::disk_failed) if the store cannot be opened.
  explicit ev_host(const std::string& data_directory);
  ~ev_host() override;
  [[nodiscard]] auto now() const -> monotonic_time override;
  [[nodiscard]] auto wall_clock_ms() const -> std::int64_t override;
  auto random() -> std::uint64_t override {
    return random_engine_();
  }
  auto listen(const std::string& address) -> std::unique_ptr<listener> override;
  auto connect(std::string address, monotonic_time deadline, bool* refused = nullptr) -> task<byte_stream_ptr> override;
  auto disk() -> store* override;

  // Runs the loop until `end` is called.
  auto run() -> void;
  // Makes `run` return after the current step.
  auto end() -> void {
    ended_ = true;
  }
  // Schedules one flush of the stream at the end of the current turn.
  auto flush_at_turn_end(buffered_stream& stream) -> void {
    if (!stream.is_linked())
      buffered_.push_back(stream);
  }

  std::uint64_t socket_writes = 0;  // number of system calls that wrote to sockets
  std::function<void()> on_term;    // called by the loop on SIGTERM or SIGINT; if empty, the loop ends
  std::function<void()> on_hup;     // called by the loop on SIGHUP; may be empty
  struct ev_loop* loop;

 private:
  struct watchers;
  auto watch_signals() -> void;
  auto flush_buffers() -> void;
  // Resumes ready coroutines, at most `max_steps_per_turn` of them and none after `max_turn_time`, so that network
  // events are handled in time.
  auto run_ready() -> void;
  // Calls begin_wait and end_wait before and after each wait for events.
  auto watch_utilization() -> void;
  // Waits for a network event, a signal or the next timer.
  auto wait_for_events() -> void;

  std::unique_ptr<watchers> watchers_;
  std::unique_ptr<store> store_;
  std::mt19937_64 random_engine_{std::random_device{}()};
  bool ended_ = false;
  loop_utilization utilization_{now()};
  boost::intrusive::list<buffered_stream, boost::intrusive::constant_time_size<false>> buffered_;
};

}  // namespace reachridge
