// Loop, wakers and signals: everything a waiting coroutine hangs on (design 3.1).
#pragma once
#include <boost/intrusive/list.hpp>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace hive {

using tick = std::int64_t;  // microseconds on a clock that never steps back
constexpr tick msec = 1000;
constexpr tick sec = 1000 * msec;
constexpr tick never = INT64_MAX / 4;

class loop;

// One suspended coroutine. It hangs in at most one list (a signal's or the
// loop's ready list) and at most one timer; its end takes it out of both.
class waker : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  explicit waker(loop& l) : hub(l) {}
  waker(const waker&) = delete;
  auto operator=(const waker&) -> waker& = delete;
  ~waker() { disarm(); }
  auto arm(tick at) -> void;
  auto disarm() -> void;
  auto wake(bool by_time) -> void;

  loop& hub;
  std::coroutine_handle<> grip;
  bool late = false;

 private:
  std::optional<std::multimap<tick, waker*>::iterator> slot;
};

using waker_list = boost::intrusive::list<waker, boost::intrusive::constant_time_size<false>>;

class loop {
 public:
  loop() = default;
  loop(const loop&) = delete;
  auto operator=(const loop&) -> loop& = delete;
  virtual ~loop() = default;
  [[nodiscard]] virtual auto now() const -> tick = 0;

  // Wakes what is due, then resumes one ready coroutine; false if none was.
  auto step() -> bool {
    ring();
    if (ready.empty()) return false;
    auto& one = ready.front();
    ready.pop_front();
    one.grip.resume();
    return true;
  }
  [[nodiscard]] auto next() const -> tick {
    if (!ready.empty()) return now();
    return alarms.empty() ? never : alarms.begin()->first;
  }
  [[nodiscard]] auto timers() const -> std::size_t { return alarms.size(); }
  // When this loop next has something to do may have changed. The first touch
  // since `touched` was cleared calls `on_touch`; a loop of its own never clears it.
  auto touch() -> void {
    if (touched) return;
    touched = true;
    on_touch();
  }

 protected:
  bool touched = false;
  virtual auto on_touch() -> void {}

 private:
  friend class waker;
  auto ring() -> void {
    while (!alarms.empty() && alarms.begin()->first <= now())
      alarms.begin()->second->wake(true);
  }
  waker_list ready;
  std::multimap<tick, waker*> alarms;
};

inline auto waker::arm(tick at) -> void {
  disarm();
  if (at >= never) return;
  slot = hub.alarms.emplace(at, this);
  hub.touch();
}
inline auto waker::disarm() -> void {
  if (!slot) return;
  hub.alarms.erase(*slot);
  slot.reset();
  hub.touch();
}
inline auto waker::wake(bool by_time) -> void {
  disarm();
  if (is_linked()) unlink();
  late = by_time;
  hub.ready.push_back(*this);
  hub.touch();
}

// Waits until a point in time.
class nap {
 public:
  nap(loop& l, tick at) : w(l), when(at) {}
  [[nodiscard]] auto await_ready() const -> bool { return false; }
  auto await_suspend(std::coroutine_handle<> h) -> void {
    w.grip = h;
    w.arm(when);
  }
  auto await_resume() const -> void {}

 private:
  waker w;
  tick when;
};
inline auto rest(loop& l, tick span) -> nap { return {l, l.now() + span}; }

// Something happened; whoever waits looks again at the state it guards.
class signal {
 public:
  class pause {
   public:
    pause(loop& l, waker_list& q, tick at) : w(l), row(q), when(at) {}
    [[nodiscard]] auto await_ready() const -> bool { return false; }
    auto await_suspend(std::coroutine_handle<> h) -> void {
      w.grip = h;
      row.push_back(w);
      w.arm(when);
    }
    auto await_resume() const -> bool { return !w.late; }  // false: time ran out

   private:
    waker w;
    waker_list& row;
    tick when;
  };
  auto wait(loop& l, tick until = never) -> pause { return {l, row, until}; }
  auto wake() -> void {
    while (!row.empty())
      row.front().wake(false);
  }

 private:
  waker_list row;
};

}  // namespace hive
