// A libev watcher for a file descriptor.
#pragma once
#include <ev.h>

#include <functional>
#include <utility>

namespace reachridge {

// Calls a function from the libev loop while the descriptor is readable (EV_READ) or writable (EV_WRITE). The
// destructor stops the calls. The descriptor must stay open for the lifetime of the watcher.
class io_watcher {
 public:
  using callback = std::function<void(int events)>;
  io_watcher(struct ev_loop* loop, int descriptor, int events, callback on_ready)
      : loop_(loop), callback_(std::move(on_ready)) {
    ev_io_init(&io_, &io_watcher::on_event, descriptor, events);
    io_.data = this;
    if (events)
      ev_io_start(loop_, &io_);
  }
  io_watcher(const io_watcher&) = delete;
  auto operator=(const io_watcher&) -> io_watcher& = delete;
  ~io_watcher() {
    ev_io_stop(loop_, &io_);
  }
  // Replaces the watched events. 0 stops the watching.
  auto set_events(int events) -> void {
    auto unchanged = (io_.events & (EV_READ | EV_WRITE)) == events && ev_is_active(&io_);
    if (unchanged)
      return;
    ev_io_stop(loop_, &io_);
    ev_io_set(&io_, io_.fd, events);
    if (events)
      ev_io_start(loop_, &io_);
  }

 private:
  static auto on_event(struct ev_loop*, ev_io* io, int events) -> void {
    static_cast<io_watcher*>(io->data)->callback_(events);
  }
  struct ev_loop* loop_;
  ev_io io_{};
  callback callback_;
};

}  // namespace reachridge
