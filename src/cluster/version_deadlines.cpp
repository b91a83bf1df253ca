#include "cluster/version_deadlines.hpp"

#include <iterator>

namespace reachridge {

auto version_deadlines::add(configuration_version version, monotonic_time due) -> void {
  auto later = by_due_.upper_bound(due);
  if (later != by_due_.begin() && std::prev(later)->second >= version)
    return;  // implied by the existing entry
  by_due_[due] = version;
  // The new entry implies older versions that are due later.
  later = by_due_.upper_bound(due);
  while (later != by_due_.end() && later->second <= version)
    later = by_due_.erase(later);
}

auto version_deadlines::required(monotonic_time now) const -> configuration_version {
  auto later = by_due_.upper_bound(now);
  return later == by_due_.begin() ? 0 : std::prev(later)->second;
}

auto version_deadlines::pending(monotonic_time now, monotonic_time since) const -> std::vector<pending_version> {
  auto versions = std::vector<pending_version>();
  for (auto it = by_due_.upper_bound(now); it != by_due_.end(); ++it)
    versions.push_back({it->second, it->first - since});
  return versions;
}

auto version_deadlines::merge(const std::vector<pending_version>& versions, monotonic_time since) -> void {
  for (const auto& entry : versions)
    add(entry.version, since + entry.time_left);
}

auto version_deadlines::prune(monotonic_time now) -> void {
  auto later = by_due_.upper_bound(now);
  if (later != by_due_.begin())
    by_due_.erase(by_due_.begin(), std::prev(later));
}

}  // namespace reachridge
