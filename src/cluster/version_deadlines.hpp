// The deadlines by which configuration versions must be in force (design 5.3).
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "runtime/event_loop.hpp"

namespace reachridge {

// The number of a configuration. Each accepted configuration has a greater number than all before it. 0: none.
using configuration_version = std::int64_t;

// A version with the time left until its deadline. Messages carry the time left because the clocks of processes differ.
struct pending_version {
  configuration_version version = 0;
  monotonic_time time_left = 0;  // in microseconds, counted from a moment that the protocol defines

  auto operator==(const pending_version&) const -> bool = default;
};

// A set of versions with the deadline of each, on the clock of this process. A newer version with the same or an
// earlier deadline implies an older version, so the versions increase with their deadlines. Messages carry the time
// left, which the receiver counts from the moment when it sent its request. Its deadline is therefore never later than
// the sender's.
class version_deadlines {
 public:
  // Requires `version`, or a newer one, to be in force from `due` on.
  auto add(configuration_version version, monotonic_time due) -> void;
  // Returns the newest version that must be in force at `now`, or 0 if there is none.
  [[nodiscard]] auto required(monotonic_time now) const -> configuration_version;
  // Returns the versions due after `now`, ordered by deadline. The time left is counted from `since`.
  [[nodiscard]] auto pending(monotonic_time now, monotonic_time since) const -> std::vector<pending_version>;
  // Adds the versions of a list made by `pending`. The time left is counted from `since`.
  auto merge(const std::vector<pending_version>& versions, monotonic_time since) -> void;
  // Removes the deadlines that have passed, except the latest of them.
  auto prune(monotonic_time now) -> void;
  // Returns the number of deadlines.
  [[nodiscard]] auto size() const -> std::size_t {
    return by_due_.size();
  }

 private:
  std::map<monotonic_time, configuration_version> by_due_;
};

}  // namespace reachridge
