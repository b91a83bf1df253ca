// How many publishes a primary lets in while its backups lag (design 6.7).
#pragma once
#include <cstdint>

#include "runtime/event_loop.hpp"

namespace reachridge {

// Slows a partition gradually: while the replay of a backup lags and its lag
// rises, a smaller share of the highest recent rate is let in, each round a
// little less; when the lag has gone the share rises again. Tokens pace that
// share. Owned by one primary; `now` never goes back.
class admission_control {
 public:
  // Begins a leadership: everything is let in.
  auto restart(monotonic_time now) -> void;
  // The set of backups has changed: what was found for the former one no longer
  // holds.
  auto reset_share() -> void;
  // Once a round, with the largest lag of the backups in touch. Above `limit`
  // it slows, if `may_slow`.
  auto adjust(monotonic_time lag, monotonic_time limit, bool may_throttle, monotonic_time now) -> void;
  // Whether one more publish may be taken now; counts it, admitted or slowed.
  [[nodiscard]] auto try_admit(monotonic_time now) -> bool;
  // A publish was refused because the log buffer towards a backup is full.
  auto count_buffer_full_refusal() -> void {
    ++stops_;
  }

  [[nodiscard]] auto share() const -> double {
    return share_;
  }  // 1: everything
  [[nodiscard]] auto admitted() const -> std::int64_t {
    return admitted_;
  }
  [[nodiscard]] auto slowed() const -> std::int64_t {
    return slowed_;
  }
  [[nodiscard]] auto buffer_full_refusals() const -> std::int64_t {
    return stops_;
  }

 private:
  auto refill_tokens(monotonic_time now) -> void;

  monotonic_time smoothed_lag_ = 0;
  double share_ = 1;
  double tokens_ = 0;     // publishes that may be admitted at once
  double peak_rate_ = 0;  // the highest number admitted in a second
  monotonic_time refilled_at_ = 0;
  monotonic_time window_start_ = 0;
  std::int64_t admitted_in_window_ = 0;
  std::int64_t admitted_ = 0;  // these three since the process began
  std::int64_t slowed_ = 0;
  std::int64_t stops_ = 0;
};

}  // namespace reachridge
