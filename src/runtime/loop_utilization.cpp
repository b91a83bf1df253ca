#include "runtime/loop_utilization.hpp"

#include <algorithm>

namespace reachridge {
namespace {

constexpr auto reporting_period = 250 * millisecond;
constexpr auto overload_percent = 90;

}  // namespace

auto utilization_report::is_overloaded() const -> bool {
  return busy * 100 >= period * overload_percent;
}

auto utilization_report::to_text() const -> std::string {
  return "the event loop was busy for " + std::to_string(busy / millisecond) + " of " +
         std::to_string(period / millisecond) + " ms; its longest turn took " +
         std::to_string(longest_turn / millisecond) + " ms";
}

auto loop_utilization::begin_wait(monotonic_time now) -> std::optional<utilization_report> {
  auto turn = now - turn_start_;
  busy_ += turn;
  longest_turn_ = std::max(longest_turn_, turn);
  turn_start_ = now;
  auto period = now - period_start_;
  if (period < reporting_period)
    return {};
  auto report = utilization_report{.period = period, .busy = busy_, .longest_turn = longest_turn_};
  period_start_ = now;
  busy_ = longest_turn_ = 0;
  return report;
}

}  // namespace reachridge
