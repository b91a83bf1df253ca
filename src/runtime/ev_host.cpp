#include "runtime/ev_host.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <utility>

#include "runtime/ev_stream.hpp"
#include "runtime/file_descriptor.hpp"
#include "runtime/io_watcher.hpp"
#include "runtime/leveldb_store.hpp"
#include "runtime/log.hpp"
#include "runtime/request_error.hpp"
#include "runtime/socket_address.hpp"

namespace reachridge {
namespace {

constexpr auto max_steps_per_turn = 512;
constexpr auto max_turn_time = 10 * millisecond;
constexpr auto longest_wait_seconds = 3600.0;
constexpr auto listen_backlog = 1024;

auto read_clock(clockid_t clock) -> timespec {
  auto time = timespec();
  clock_gettime(clock, &time);
  return time;
}

// Waits until a connection attempt has succeeded or failed. Returns false if the deadline passes first.
auto wait_until_writable(ev_host& machine, const file_descriptor& socket, monotonic_time deadline) -> task<bool> {
  auto writable = signal();
  auto is_writable = false;
  auto watcher = io_watcher(machine.loop, socket.get(), EV_WRITE, [&](int) {
    is_writable = true;
    writable.wake();
  });
  while (!is_writable) {
    auto in_time = co_await writable.wait(machine, deadline);
    if (!in_time)
      co_return false;
  }
  co_return true;
}

// Returns the errno value of a finished connection attempt, or 0 if the socket is connected.
auto connect_error(const file_descriptor& socket) -> int {
  auto error = 0;
  auto size = socklen_t{sizeof error};
  getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

auto host_of(const ev_signal& watcher) -> ev_host& {
  return *static_cast<ev_host*>(watcher.data);
}

auto on_hup_signal(struct ev_loop*, ev_signal* watcher, int) -> void {
  auto& machine = host_of(*watcher);
  if (machine.on_hup)
    machine.on_hup();
}

auto on_term_signal(struct ev_loop*, ev_signal* watcher, int) -> void {
  auto& machine = host_of(*watcher);
  if (machine.on_term) {
    machine.on_term();
  } else {
    machine.end();
  }
}

}  // namespace

struct ev_host::watchers {
  ev_timer timer{};
  ev_signal term{}, hup{}, interrupt{};
};

ev_host::ev_host(const std::string& data_directory)
    : loop(ev_default_loop(0)), watchers_(std::make_unique<watchers>()) {
  ::signal(SIGPIPE, SIG_IGN);
  // This may throw, so it must precede the start of the watchers.
  if (!data_directory.empty())
    store_ = std::make_unique<leveldb_store>(loop, *this, data_directory);
  // The libev timer only ends the wait for events. `step` finds the timers that are due.
  ev_timer_init(
      &watchers_->timer, [](struct ev_loop*, ev_timer*, int) {}, 0, 0);
  watch_signals();
  watch_utilization();
}

ev_host::~ev_host() {
  ev_set_loop_release_cb(loop, nullptr, nullptr);
  ev_set_userdata(loop, nullptr);
  ev_timer_stop(loop, &watchers_->timer);
  ev_signal_stop(loop, &watchers_->term);
  ev_signal_stop(loop, &watchers_->interrupt);
  ev_signal_stop(loop, &watchers_->hup);
}

auto ev_host::watch_signals() -> void {
  ev_signal_init(&watchers_->term, on_term_signal, SIGTERM);
  ev_signal_init(&watchers_->interrupt, on_term_signal, SIGINT);
  ev_signal_init(&watchers_->hup, on_hup_signal, SIGHUP);
  for (auto* watcher : {&watchers_->term, &watchers_->interrupt, &watchers_->hup}) {
    watcher->data = this;
    ev_signal_start(loop, watcher);
  }
}

auto ev_host::watch_utilization() -> void {
  ev_set_userdata(loop, this);
  auto begin_wait = [](struct ev_loop* waiting) noexcept {
    auto& machine = *static_cast<ev_host*>(ev_userdata(waiting));
    auto report = machine.utilization_.begin_wait(machine.now());
    if (report && report->is_overloaded())
      reachridge::log(log_level::info, "event loop", report->to_text());
  };
  auto end_wait = [](struct ev_loop* waiting) noexcept {
    auto& machine = *static_cast<ev_host*>(ev_userdata(waiting));
    machine.utilization_.end_wait(machine.now());
  };
  ev_set_loop_release_cb(loop, begin_wait, end_wait);
}

auto ev_host::now() const -> monotonic_time {
  auto time = read_clock(CLOCK_MONOTONIC);
  return time.tv_sec * second + time.tv_nsec / 1000;
}

auto ev_host::wall_clock_ms() const -> std::int64_t {
  auto time = read_clock(CLOCK_REALTIME);
  return time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

auto ev_host::disk() -> store* {
  return store_.get();
}

auto ev_host::listen(const std::string& address) -> std::unique_ptr<listener> {
  auto socket = open_socket();
  auto enabled = 1;
  setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  auto local = to_socket_address(address);
  auto listening = ::bind(socket.get(), reinterpret_cast<sockaddr*>(&local), sizeof local) == 0 &&
                   ::listen(socket.get(), listen_backlog) == 0;
  if (!listening)
    throw request_error(errc::listen_failed, address + ": " + std::strerror(errno));
  return std::make_unique<ev_listener>(*this, std::move(socket));
}

auto ev_host::connect(std::string address, monotonic_time deadline, bool* refused) -> task<byte_stream_ptr> {
  auto socket = open_socket();
  auto remote = to_socket_address(address);
  auto failed = [refused](int error) {
    if (refused)
      *refused = error == ECONNREFUSED;
    return byte_stream_ptr();
  };
  auto is_connected = ::connect(socket.get(), reinterpret_cast<sockaddr*>(&remote), sizeof remote) == 0;
  if (!is_connected && errno != EINPROGRESS)
    co_return failed(errno);
  auto in_time = co_await wait_until_writable(*this, socket, deadline);
  if (!in_time)
    co_return nullptr;
  auto error = connect_error(socket);
  if (error)
    co_return failed(error);
  auto stream = std::make_shared<ev_stream>(*this, std::move(socket));
  stream->remote_address = address;
  co_return stream;
}

auto ev_host::flush_buffers() -> void {
  while (!buffered_.empty()) {
    auto& stream = buffered_.front();
    buffered_.pop_front();
    stream.flush_buffer();
  }
}

auto ev_host::run_ready() -> void {
  const auto turn_end = now() + max_turn_time;
  auto steps = 0;
  while (steps < max_steps_per_turn && !ended_ && now() < turn_end && step())
    ++steps;
}

auto ev_host::wait_for_events() -> void {
  auto next_timer = next();
  auto wait = next_timer >= never ? longest_wait_seconds
                                  : std::max<double>(0, static_cast<double>(next_timer - now()) / second);
  ev_timer_stop(loop, &watchers_->timer);
  ev_timer_set(&watchers_->timer, wait, 0);
  ev_timer_start(loop, &watchers_->timer);
  ev_run(loop, wait > 0 ? EVRUN_ONCE : EVRUN_NOWAIT);
}

auto ev_host::run() -> void {
  while (!ended_) {
    run_ready();
    if (ended_)
      break;
    flush_buffers();
    wait_for_events();
  }
}

}  // namespace reachridge
