// Statistics of how long a repeated step takes, for logs and status pages (design 3.5).
#pragma once
#include <cstdint>
#include <string>

#include "runtime/event_loop.hpp"

namespace reachridge {

// The durations of one reporting period.
struct duration_report {
  std::int64_t count = 0;
  monotonic_time mean = 0;
  monotonic_time longest = 0;

  // Returns the durations as words of a log line, in milliseconds with one decimal place.
  [[nodiscard]] auto to_text() const -> std::string;
};

// Adds up durations. The owner ends each reporting period.
class duration_statistics {
 public:
  auto add(monotonic_time duration) -> void;
  // Returns the report of the period that ends now, and begins the next one.
  auto end_period() -> duration_report;
  // Returns the report of the last period that has ended.
  [[nodiscard]] auto last_report() const -> const duration_report& {
    return last_report_;
  }

 private:
  std::int64_t count_ = 0;
  monotonic_time total_ = 0;
  monotonic_time longest_ = 0;
  duration_report last_report_;
};

}  // namespace reachridge
