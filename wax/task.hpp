// Coroutine tasks written straight down, and the nest that owns them (design 3.1).
#pragma once
#include <coroutine>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "wax/loop.hpp"

namespace hive {

template <class T = void>
class task;

namespace detail {
struct promise_base {
  std::coroutine_handle<> back = std::noop_coroutine();
  std::exception_ptr fault;
  struct finish {
    [[nodiscard]] auto await_ready() const noexcept -> bool { return false; }
    template <class P>
    auto await_suspend(std::coroutine_handle<P> h) noexcept -> std::coroutine_handle<> {
      return h.promise().back;
    }
    auto await_resume() const noexcept -> void {}
  };
  auto initial_suspend() noexcept -> std::suspend_always { return {}; }
  auto final_suspend() noexcept -> finish { return {}; }
  auto unhandled_exception() -> void { fault = std::current_exception(); }
};
template <class T>
struct promise : promise_base {
  std::optional<T> out;
  auto get_return_object() -> task<T>;
  auto return_value(T v) -> void { out.emplace(std::move(v)); }
  auto take() -> T {
    if (fault) std::rethrow_exception(fault);
    return std::move(*out);
  }
};
template <>
struct promise<void> : promise_base {
  auto get_return_object() -> task<void>;
  auto return_void() -> void {}
  auto take() -> void {
    if (fault) std::rethrow_exception(fault);
  }
};
}  // namespace detail

// A lazy coroutine owned by whoever awaits it; ending the owner ends it too.
template <class T>
class [[nodiscard]] task {
 public:
  using promise_type = detail::promise<T>;
  explicit task(std::coroutine_handle<promise_type> h) : grip(h) {}
  task(task&& o) noexcept : grip(std::exchange(o.grip, nullptr)) {}
  auto operator=(task&&) -> task& = delete;
  ~task() {
    if (grip) grip.destroy();
  }
  [[nodiscard]] auto await_ready() const -> bool { return false; }
  auto await_suspend(std::coroutine_handle<> h) -> std::coroutine_handle<> {
    grip.promise().back = h;
    return grip;
  }
  auto await_resume() -> T { return grip.promise().take(); }

 private:
  std::coroutine_handle<promise_type> grip;
};

namespace detail {
template <class T>
auto promise<T>::get_return_object() -> task<T> {
  return task<T>(std::coroutine_handle<promise<T>>::from_promise(*this));
}
inline auto promise<void>::get_return_object() -> task<void> {
  return task<void>(std::coroutine_handle<promise<void>>::from_promise(*this));
}
}  // namespace detail

// Owns root tasks. Its end ends every task still in it, whatever they wait for.
class nest {
 public:
  explicit nest(loop& l) : hub(l) {}
  nest(const nest&) = delete;
  auto operator=(const nest&) -> nest& = delete;
  ~nest() { clear(); }
  auto clear() -> void {
    while (!all.empty()) {
      auto h = all.begin()->second;
      all.erase(all.begin());
      h.destroy();
    }
  }
  // The task starts at the loop's next turn, never inside the caller.
  auto spawn(task<void> t) -> void { run(*this, std::move(t)); }
  std::function<void(std::exception_ptr)> on_fault;

 private:
  struct root {
    struct promise_type {
      auto get_return_object() -> root { return {}; }
      auto initial_suspend() noexcept -> std::suspend_never { return {}; }
      auto final_suspend() noexcept -> std::suspend_never { return {}; }
      auto return_void() -> void {}
      auto unhandled_exception() -> void { std::terminate(); }
    };
  };
  struct enlist {
    nest& home;
    std::uint64_t self;
    [[nodiscard]] auto await_ready() const -> bool { return false; }
    auto await_suspend(std::coroutine_handle<> h) -> bool {
      self = ++home.count;
      home.all.emplace(self, h);
      return false;
    }
    [[nodiscard]] auto await_resume() const -> std::uint64_t { return self; }
  };
  struct entry {
    nest& home;
    std::uint64_t self;
    ~entry() { home.all.erase(self); }
  };
  static auto run(nest& home, task<void> t) -> root {
    auto self = co_await enlist{home, 0};
    auto mark = entry{home, self};
    co_await nap(home.hub, 0);
    try {
      co_await t;
    } catch (...) {
      if (home.on_fault) home.on_fault(std::current_exception());
    }
  }
  loop& hub;
  std::map<std::uint64_t, std::coroutine_handle<>> all;  // in the order they began
  std::uint64_t count = 0;
};

// A queue of commands for the one owner of a table (design 3.2).
template <class T>
class queue {
 public:
  auto push(T v) -> void {
    row.push_back(std::move(v));
    more.wake();
  }
  auto pop(loop& l) -> task<T> {
    while (row.empty())
      co_await more.wait(l);
    auto v = std::move(row.front());
    row.pop_front();
    co_return v;
  }
  [[nodiscard]] auto size() const -> std::size_t { return row.size(); }

 private:
  std::deque<T> row;
  signal more;
};

}  // namespace hive
