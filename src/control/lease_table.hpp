// The leader's table of leases that are still valid (design 5.3).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "cluster/version_deadlines.hpp"

namespace reachridge {

// Records which nodes may hold a lease, the end of each lease, and the configuration version that each node last
// reported to serve. Only the leader fills the table: for the nodes of its own sessions and for those of followers that
// may grant leases on its behalf. The end of a lease never moves back.
class lease_table {
 public:
  // Records a lease until `expires_at`, or keeps the current end if that is later.
  auto grant(const std::string& name, monotonic_time expires_at, configuration_version served_version) -> void;
  // Removes the lease of a node that has reported that it no longer serves.
  auto revoke(const std::string& name) -> void {
    leases_.erase(name);
  }
  // Removes all leases. The control node calls this when the leader changes.
  auto clear() -> void {
    leases_.clear();
  }
  // Removes the leases that ended before `now`.
  auto remove_expired(monotonic_time now) -> void;
  // Returns the nodes that hold a lease at `now` and serve a version older than `version`.
  [[nodiscard]] auto holders_below(configuration_version version, monotonic_time now) const -> std::vector<std::string>;

 private:
  struct lease {
    monotonic_time expires_at = 0;
    configuration_version served_version = 0;
  };
  std::map<std::string, lease> leases_;  // key: name of the node
};

}  // namespace reachridge
