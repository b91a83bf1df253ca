// Admission control: limits the publishes that a primary accepts while a backup lags (design 6.7).
#pragma once
#include <cstdint>

#include "runtime/event_loop.hpp"

namespace reachridge {

// Throttles the publishes of one partition gradually. While the replay lag of a backup is high and rising, each round
// admits a smaller share of the highest recent publish rate. When the lag has fallen, the share rises again. A token
// bucket enforces the share. One partition owns the object. The argument `now` must never decrease from call to call.
class admission_control {
 public:
  // Resets the share to 1, which admits every publish, when a leadership starts.
  auto restart(monotonic_time now) -> void;
  // Resets the share and the smoothed lag after the set of backups has changed, because both were measured with the
  // previous set.
  auto reset_share() -> void;
  // Adjusts the share. The primary calls this function once per round with the largest lag of the connected backups.
  // The share falls if the lag is above `limit` and rising and `may_throttle` is true.
  auto adjust(monotonic_time lag, monotonic_time limit, bool may_throttle, monotonic_time now) -> void;
  // Returns whether one more publish is admitted now, and counts the publish as admitted or throttled.
  [[nodiscard]] auto try_admit(monotonic_time now) -> bool;
  // Counts a publish that was refused because the log buffer for a backup is full.
  auto count_buffer_full_refusal() -> void {
    ++stops_;
  }

  // The admitted share of the peak rate, from 0 to 1. 1 means that every publish is admitted.
  [[nodiscard]] auto share() const -> double {
    return share_;
  }
  // The numbers of publishes that were admitted, throttled, or refused for a full log buffer since the process started.
  [[nodiscard]] auto admitted() const -> std::int64_t {
    return admitted_;
  }
  [[nodiscard]] auto throttled() const -> std::int64_t {
    return throttled_;
  }
  [[nodiscard]] auto buffer_full_refusals() const -> std::int64_t {
    return stops_;
  }

 private:
  auto refill_tokens(monotonic_time now) -> void;

  monotonic_time smoothed_lag_ = 0;
  double share_ = 1;
  double tokens_ = 0;     // the number of publishes that may be admitted now
  double peak_rate_ = 0;  // the highest number of publishes admitted in one second
  monotonic_time refilled_at_ = 0;
  monotonic_time window_start_ = 0;
  std::int64_t admitted_in_window_ = 0;
  std::int64_t admitted_ = 0;  // this counter and the next two count since the process started
  std::int64_t throttled_ = 0;
  std::int64_t stops_ = 0;
};

}  // namespace reachridge
