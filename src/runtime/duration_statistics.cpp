#include "runtime/duration_statistics.hpp"

#include <algorithm>

namespace reachridge {
namespace {

auto to_milliseconds(monotonic_time duration) -> std::string {
  constexpr auto tenth = millisecond / 10;
  auto tenths = duration / tenth;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

}  // namespace

auto duration_report::to_text() const -> std::string {
  return to_milliseconds(mean) + " ms on average, at most " + to_milliseconds(longest) + " ms, " +
         std::to_string(count) + " times";
}

auto duration_statistics::add(monotonic_time duration) -> void {
  ++count_;
  total_ += duration;
  longest_ = std::max(longest_, duration);
}

auto duration_statistics::end_period() -> duration_report {
  last_report_ = {.count = count_, .mean = count_ > 0 ? total_ / count_ : 0, .longest = longest_};
  count_ = total_ = longest_ = 0;
  return last_report_;
}

}  // namespace reachridge
