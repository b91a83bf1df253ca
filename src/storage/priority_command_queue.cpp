// A queue of commands with priority levels; see priority_command_queue.hpp.
#include "storage/priority_command_queue.hpp"

#include <utility>

namespace reachridge {

auto priority_command_queue::push(std::size_t level, command added) -> void {
  levels_[level].push_back(std::move(added));
  queued.wake();
}

auto priority_command_queue::pop() -> std::optional<command> {
  for (auto& level : levels_) {
    if (level.empty())
      continue;
    auto next = std::move(level.front());
    level.pop_front();
    return next;
  }
  return {};
}

auto priority_command_queue::size() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& level : levels_)
    total += level.size();
  return total;
}

}  // namespace reachridge
