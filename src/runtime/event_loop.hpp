// The event loop with its clock, timers and ready list, and the awaitables that suspend a coroutine (design 3.1).
//
// A coroutine waits with `co_await sleep_for(…)`, `co_await sleep_until(…)`, `co_await until_idle(…)` or `co_await
// some_signal.wait(…)`. The loop resumes every waiting coroutine; a coroutine never resumes a waiting coroutine
// directly. This module may be used only on the thread of the loop.
#pragma once
#include <boost/intrusive/list.hpp>
#include <coroutine>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace reachridge {

// A point in time or a time span in microseconds. The clock is monotonic and its zero point is arbitrary, so points in
// time of two processes cannot be compared.
using monotonic_time = std::int64_t;
constexpr monotonic_time millisecond = 1000;
constexpr monotonic_time second = 1000 * millisecond;
// A point in time that is never reached. Adding a time span to `never` or subtracting one does not overflow.
constexpr monotonic_time never = INT64_MAX / 4;

class event_loop;

// Represents one suspended coroutine. A waker is linked in at most one list (the waiters of a signal, the ready list or
// the idle list of the loop) and has at most one timer. The destructor removes the waker from its list and cancels the
// timer.
class waker : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  explicit waker(event_loop& loop) : owner(loop) {}
  waker(const waker&) = delete;
  auto operator=(const waker&) -> waker& = delete;
  ~waker() {
    disarm();
  }
  // Sets the timer, in place of an earlier one. With `never`, the waker has no timer.
  auto arm(monotonic_time at) -> void;
  // Cancels the timer.
  auto disarm() -> void;
  // Cancels the timer and moves the waker to the end of the loop's ready list. `by_timer` tells whether the timer
  // caused the call.
  auto wake(bool by_timer) -> void;

  event_loop& owner;
  std::coroutine_handle<> handle;
  bool timed_out = false;

 private:
  std::optional<std::multimap<monotonic_time, waker*>::iterator> timer_;
};

using waker_list = boost::intrusive::list<waker, boost::intrusive::constant_time_size<false>>;

// Owns the ready list, the idle list and the timers. A host derives from this class, provides the clock and calls
// `step`.
class event_loop {
 public:
  event_loop() = default;
  event_loop(const event_loop&) = delete;
  auto operator=(const event_loop&) -> event_loop& = delete;
  virtual ~event_loop() = default;
  [[nodiscard]] virtual auto now() const -> monotonic_time = 0;

  // Fires the timers that are due, then resumes one coroutine: a ready one or, if none is ready, one that waits for the
  // loop to be idle. Returns false if there was none.
  auto step() -> bool {
    fire_timers();
    if (ready_.empty() && !idle_.empty())
      idle_.front().wake(false);
    if (ready_.empty())
      return false;
    auto& ready = ready_.front();
    ready_.pop_front();
    ready.handle.resume();
    return true;
  }
  // Returns the time of the next work: `now` if a coroutine is ready, else the time of the earliest timer, or `never`
  // if there is no timer.
  [[nodiscard]] auto next() const -> monotonic_time {
    if (!ready_.empty() || !idle_.empty())
      return now();
    return timers_.empty() ? never : timers_.begin()->first;
  }
  // Returns the number of timers.
  [[nodiscard]] auto timers() const -> std::size_t {
    return timers_.size();
  }
  // Called when the result of `next` may have changed. The first call after `schedule_dirty_` was cleared calls
  // `on_schedule_changed`. Only a host whose driver schedules the loop from outside (the simulator) clears the flag.
  auto schedule_changed() -> void {
    if (schedule_dirty_)
      return;
    schedule_dirty_ = true;
    on_schedule_changed();
  }

 protected:
  bool schedule_dirty_ = false;
  virtual auto on_schedule_changed() -> void {}

 private:
  friend class waker;
  friend class until_idle;
  auto fire_timers() -> void {
    while (!timers_.empty() && timers_.begin()->first <= now())
      timers_.begin()->second->wake(true);
  }
  waker_list ready_;
  waker_list idle_;  // resumed when no coroutine is ready
  std::multimap<monotonic_time, waker*> timers_;
};

inline auto waker::arm(monotonic_time at) -> void {
  disarm();
  if (at >= never)
    return;
  timer_ = owner.timers_.emplace(at, this);
  owner.schedule_changed();
}
inline auto waker::disarm() -> void {
  if (!timer_)
    return;
  owner.timers_.erase(*timer_);
  timer_.reset();
  owner.schedule_changed();
}
inline auto waker::wake(bool by_timer) -> void {
  disarm();
  if (is_linked())
    unlink();
  timed_out = by_timer;
  owner.ready_.push_back(*this);
  owner.schedule_changed();
}

// Awaitable that resumes the coroutine at a point in time. A point in the past, for example 0, resumes the coroutine at
// the loop's next turn.
class sleep_until {
 public:
  sleep_until(event_loop& loop, monotonic_time at) : waker_(loop), time_(at) {}
  [[nodiscard]] auto await_ready() const -> bool {
    return false;
  }
  auto await_suspend(std::coroutine_handle<> awaiting) -> void {
    waker_.handle = awaiting;
    waker_.arm(time_);
  }
  auto await_resume() const -> void {}

 private:
  waker waker_;
  monotonic_time time_;
};
// Returns an awaitable that resumes the coroutine after a time span.
inline auto sleep_for(event_loop& loop, monotonic_time span) -> sleep_until {
  return {loop, loop.now() + span};
}

// Awaitable that resumes the coroutine after all coroutines that are ready, and those that they make ready, at the
// latest after a time span.
class until_idle {
 public:
  until_idle(event_loop& loop, monotonic_time longest_wait) : waker_(loop), deadline_(loop.now() + longest_wait) {}
  [[nodiscard]] auto await_ready() const -> bool {
    return false;
  }
  auto await_suspend(std::coroutine_handle<> awaiting) -> void {
    waker_.handle = awaiting;
    waker_.owner.idle_.push_back(waker_);
    waker_.arm(deadline_);
    waker_.owner.schedule_changed();
  }
  auto await_resume() const -> void {}

 private:
  waker waker_;
  monotonic_time deadline_;
};

// Wakes the coroutines that wait for a change of some state, like a condition variable. The signal carries no data: a
// woken coroutine must check the state itself.
class signal {
 public:
  class waiter {
   public:
    waiter(event_loop& loop, waker_list& waiters, monotonic_time deadline)
        : waker_(loop), waiters_(waiters), deadline_(deadline) {}
    [[nodiscard]] auto await_ready() const -> bool {
      return false;
    }
    auto await_suspend(std::coroutine_handle<> awaiting) -> void {
      waker_.handle = awaiting;
      waiters_.push_back(waker_);
      waker_.arm(deadline_);
    }
    // Returns false if the deadline passed before the signal.
    auto await_resume() const -> bool {
      return !waker_.timed_out;
    }

   private:
    waker waker_;
    waker_list& waiters_;
    monotonic_time deadline_;
  };
  // Returns an awaitable that waits for the next `wake`, at most until the deadline.
  auto wait(event_loop& loop, monotonic_time deadline = never) -> waiter {
    return {loop, waiters_, deadline};
  }
  // Wakes all current waiters in the order in which they began to wait.
  auto wake() -> void {
    while (!waiters_.empty())
      waiters_.front().wake(false);
  }

 private:
  waker_list waiters_;
};

}  // namespace reachridge
