// Admission control of a primary; see admission_control.hpp.
#include "storage/admission_control.hpp"

#include <algorithm>

namespace reachridge {
namespace {

constexpr auto share_step = 0.03;  // the share changes by a few percent per round (paper 3.2)
constexpr auto min_share = 0.05;
constexpr auto rate_window = second;
constexpr auto min_peak_rate = 1.0;    // publishes per second
constexpr auto bucket_seconds = 0.25;  // the bucket holds at most the tokens of this time

}  // namespace

auto admission_control::restart(monotonic_time now) -> void {
  share_ = 1;
  refilled_at_ = now;
  window_start_ = now;
}

auto admission_control::reset_share() -> void {
  share_ = 1;
  smoothed_lag_ = 0;
}

auto admission_control::adjust(monotonic_time lag, monotonic_time limit, bool may_throttle, monotonic_time now)
    -> void {
  // A falling lag does not lower the share further, because the backlog already drains at the current share.
  auto is_rising = lag >= smoothed_lag_;
  smoothed_lag_ = (smoothed_lag_ + lag) / 2;
  if (may_throttle && lag > limit && is_rising) {
    if (share_ >= 1)
      refill_tokens(now);
    share_ = std::max(min_share, share_ - share_step);
  } else if (share_ < 1 && lag < limit / 2) {
    share_ = std::min(1.0, share_ + share_step / 3);
  }
}

auto admission_control::try_admit(monotonic_time now) -> bool {
  refill_tokens(now);
  if (share_ < 1) {
    if (tokens_ < 1) {
      ++throttled_;
      return false;
    }
    tokens_ -= 1;
  }
  ++admitted_in_window_;
  ++admitted_;
  return true;
}

auto admission_control::refill_tokens(monotonic_time now) -> void {
  if (now - window_start_ >= rate_window) {
    // The peak rate does not fall while publishes are throttled, because the admitted rate then does not show how much
    // the clients would send.
    auto previous_peak = share_ >= 1 ? 0 : peak_rate_;
    peak_rate_ = std::max(previous_peak, static_cast<double>(admitted_in_window_));
    admitted_in_window_ = 0;
    window_start_ = now;
  }
  auto rate = share_ * std::max(peak_rate_, min_peak_rate);
  auto new_tokens = rate * static_cast<double>(now - refilled_at_) / second;
  tokens_ = std::min(tokens_ + new_tokens, std::max(rate * bucket_seconds, 1.0));
  refilled_at_ = now;
}

}  // namespace reachridge
