#include "control/lease_table.hpp"

#include <algorithm>
#include <iterator>

namespace reachridge {

auto lease_table::grant(const std::string& name, monotonic_time expires_at, configuration_version served_version)
    -> void {
  auto& lease = leases_[name];
  lease.expires_at = std::max(lease.expires_at, expires_at);
  lease.served_version = served_version;
}

auto lease_table::remove_expired(monotonic_time now) -> void {
  for (auto it = leases_.begin(); it != leases_.end();)
    it = it->second.expires_at < now ? leases_.erase(it) : std::next(it);
}

auto lease_table::holders_below(configuration_version version, monotonic_time now) const -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  for (const auto& [name, lease] : leases_)
    if (lease.expires_at > now && lease.served_version < version)
      names.push_back(name);
  return names;
}

}  // namespace reachridge
