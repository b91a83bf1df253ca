#include "cluster/types.hpp"

#include <algorithm>

namespace reachridge {
namespace {

constexpr auto zone_prefix = std::string_view("zone:");

}  // namespace

auto make_member_id(const std::string& node, const std::string& disk_id) -> std::string {
  return node + "/" + disk_id;
}

auto node_of_member(const std::string& member) -> std::string {
  return member.substr(0, member.find('/'));
}

auto zone_key(const std::string& zone) -> std::string {
  return std::string(zone_prefix) + zone;
}

auto zone_of_key(const std::string& key) -> std::string {
  return key.compare(0, zone_prefix.size(), zone_prefix) == 0 ? key.substr(zone_prefix.size()) : "";
}

auto pool_of_partition(const std::string& partition_id) -> std::string {
  return partition_id.substr(0, partition_id.find('/'));
}

auto partition_assignment::is_in_sync(const std::string& member) const -> bool {
  return std::find(in_sync_replicas.begin(), in_sync_replicas.end(), member) != in_sync_replicas.end();
}

auto partition_assignment::has_in_sync_replica_on(const std::string& node) const -> bool {
  return std::any_of(in_sync_replicas.begin(), in_sync_replicas.end(), [&](const auto& member) {
    return node_of_member(member) == node;
  });
}

auto partition_assignment::backups() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  std::copy_if(in_sync_replicas.begin(), in_sync_replicas.end(), std::back_inserter(out), [&](const auto& member) {
    return member != primary;
  });
  return out;
}

auto partition_assignment::has_member(const std::string& member) const -> bool {
  return primary == member || is_in_sync(member);
}

auto node_filter::covers(const std::string& node_kind, const std::string& node_zone) const -> bool {
  if (kind.empty() || node_kind == "comb")
    return true;
  auto both_gateways = kind == "forager" && node_kind == "forager";
  return both_gateways && (all_zones || node_zone == zone);
}

}  // namespace reachridge
