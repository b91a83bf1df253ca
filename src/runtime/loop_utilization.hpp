// Utilization of an event loop: the share of time in which the loop works instead of waiting for events (design 3.5).
#pragma once
#include <optional>
#include <string>

#include "runtime/event_loop.hpp"

namespace reachridge {

// The work of an event loop in one reporting period.
struct utilization_report {
  monotonic_time period = 0;        // length of the period
  monotonic_time busy = 0;          // time in the period in which the loop did not wait for events
  monotonic_time longest_turn = 0;  // the longest time between two waits

  // Whether the loop had hardly any spare time, so that its events waited for each other.
  [[nodiscard]] auto is_overloaded() const -> bool;
  // Returns a line for the log.
  [[nodiscard]] auto to_text() const -> std::string;
};

// Adds up the time between the waits of a loop. The owner reports when each wait begins and ends.
class loop_utilization {
 public:
  explicit loop_utilization(monotonic_time now) : period_start_(now), turn_start_(now) {}

  // The loop begins to wait for events. Returns a report if a reporting period has ended, and begins the next period.
  [[nodiscard]] auto begin_wait(monotonic_time now) -> std::optional<utilization_report>;
  // The loop has stopped waiting.
  auto end_wait(monotonic_time now) -> void {
    turn_start_ = now;
  }

 private:
  monotonic_time period_start_;
  monotonic_time turn_start_;
  monotonic_time busy_ = 0;
  monotonic_time longest_turn_ = 0;
};

}  // namespace reachridge
