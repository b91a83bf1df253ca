// Coroutine tasks, task groups that own detached tasks, and queues between tasks (design 3.1, 3.2).
#pragma once
#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "runtime/event_loop.hpp"

namespace reachridge {

template <class T = void>
class task;

namespace detail {
// The common part of all task promises: the awaiting coroutine and the exception that ended the task.
struct promise_base {
  std::coroutine_handle<> continuation = std::noop_coroutine();
  std::exception_ptr error;
  struct final_awaiter {
    [[nodiscard]] auto await_ready() const noexcept -> bool {
      return false;
    }
    template <class Promise>
    auto await_suspend(std::coroutine_handle<Promise> ended) noexcept -> std::coroutine_handle<> {
      return ended.promise().continuation;
    }
    auto await_resume() const noexcept -> void {}
  };
  auto initial_suspend() noexcept -> std::suspend_always {
    return {};
  }
  auto final_suspend() noexcept -> final_awaiter {
    return {};
  }
  auto unhandled_exception() -> void {
    error = std::current_exception();
  }
};
template <class T>
struct promise : promise_base {
  std::optional<T> result;
  auto get_return_object() -> task<T>;
  auto return_value(T returned) -> void {
    result.emplace(std::move(returned));
  }
  auto take_result() -> T {
    if (error)
      std::rethrow_exception(error);
    return std::move(*result);
  }
};
template <>
struct promise<void> : promise_base {
  auto get_return_object() -> task<void>;
  auto return_void() -> void {}
  auto take_result() -> void {
    if (error)
      std::rethrow_exception(error);
  }
};
}  // namespace detail

// A coroutine that starts when it is awaited. The task object owns the coroutine, so destroying the awaiting coroutine
// destroys the awaited one too. `co_await` returns the result of the coroutine or rethrows the exception that ended it.
template <class T>
class [[nodiscard]] task {
 public:
  using promise_type = detail::promise<T>;
  explicit task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  task(task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  auto operator=(task&&) -> task& = delete;
  ~task() {
    if (handle_)
      handle_.destroy();
  }
  [[nodiscard]] auto await_ready() const -> bool {
    return false;
  }
  auto await_suspend(std::coroutine_handle<> awaiting) -> std::coroutine_handle<> {
    handle_.promise().continuation = awaiting;
    return handle_;
  }
  auto await_resume() -> T {
    return handle_.promise().take_result();
  }

 private:
  std::coroutine_handle<promise_type> handle_;
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

// Owns tasks that no coroutine awaits. The destructor destroys all unfinished tasks in the order in which they were
// spawned. Therefore a process that is killed in the simulation leaves no tasks behind, and simulations are
// reproducible.
class task_group {
 public:
  explicit task_group(event_loop& loop) : loop_(loop) {}
  task_group(const task_group&) = delete;
  auto operator=(const task_group&) -> task_group& = delete;
  ~task_group() {
    clear();
  }
  // Destroys all tasks. A task of the group must not call this.
  auto clear() -> void {
    while (!tasks_.empty()) {
      auto oldest = tasks_.begin()->second;
      tasks_.erase(tasks_.begin());
      oldest.destroy();
    }
  }
  // Takes ownership of a task. The task starts at the loop's next turn, never during this call.
  auto spawn(task<void> spawned) -> void {
    run(*this, std::move(spawned));
  }
  // Called with the exception that ended a task. If the function is empty, the exception is ignored.
  std::function<void(std::exception_ptr)> on_error;

 private:
  // The coroutine type of `run`. The coroutine frame owns the spawned task.
  struct detached {
    struct promise_type {
      auto get_return_object() -> detached {
        return {};
      }
      auto initial_suspend() noexcept -> std::suspend_never {
        return {};
      }
      auto final_suspend() noexcept -> std::suspend_never {
        return {};
      }
      auto return_void() -> void {}
      auto unhandled_exception() -> void {
        std::terminate();
      }
    };
  };
  // Awaitable that adds the running coroutine to the group without suspending the coroutine.
  struct registration {
    task_group& group;
    std::uint64_t id;
    [[nodiscard]] auto await_ready() const -> bool {
      return false;
    }
    auto await_suspend(std::coroutine_handle<> running) -> bool {
      id = ++group.last_id_;
      group.tasks_.emplace(id, running);
      return false;
    }
    [[nodiscard]] auto await_resume() const -> std::uint64_t {
      return id;
    }
  };
  // Removes a task from the group when the coroutine of the task ends.
  struct membership {
    task_group& group;
    std::uint64_t id;
    ~membership() {
      group.tasks_.erase(id);
    }
  };
  static auto run(task_group& group, task<void> spawned) -> detached {
    auto id = co_await registration{group, 0};
    auto registered = membership{group, id};
    co_await sleep_until(group.loop_, 0);
    try {
      co_await spawned;
    } catch (...) {
      if (group.on_error)
        group.on_error(std::current_exception());
    }
  }
  event_loop& loop_;
  std::map<std::uint64_t, std::coroutine_handle<>> tasks_;  // by id, which is the order of spawning
  std::uint64_t last_id_ = 0;
};

// An unbounded queue of commands for the task that owns a table (design 3.2).
template <class T>
class command_queue {
 public:
  // Appends an item and wakes the waiting tasks.
  auto push(T item) -> void {
    items_.push_back(std::move(item));
    pushed_.wake();
  }
  // Removes and returns the oldest item. Waits while the queue is empty.
  auto pop(event_loop& loop) -> task<T> {
    while (items_.empty())
      co_await pushed_.wait(loop);
    auto item = std::move(items_.front());
    items_.pop_front();
    co_return item;
  }
  [[nodiscard]] auto size() const -> std::size_t {
    return items_.size();
  }

 private:
  std::deque<T> items_;
  signal pushed_;
};

}  // namespace reachridge
