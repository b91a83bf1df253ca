// Lookups of members in the view of the cluster; see member_lookup.hpp.
#include "storage/member_lookup.hpp"

#include <algorithm>

#include "cluster/node_kind.hpp"

namespace reachridge {

auto address_of_member(const cluster_view& view, const std::string& member) -> std::string {
  const auto* node = view.find(node_of_member(member));
  return node && node->member() == member ? node->address : "";
}

// Each control node has its own session table, and only some of the tables may already contain the node's new session.
// A table in which the node still has the member's disk shows that the disk is not lost.
auto is_disk_lost(const cluster_view& view, const std::string& member) -> bool {
  auto has_other_disk = false;
  for (const auto& [control_node, table] : view.session_tables) {
    auto session = table.rows.find(node_of_member(member));
    if (session == table.rows.end() || session->second.disk_id.empty())
      continue;
    if (session->second.member() == member)
      return false;
    has_other_disk = true;
  }
  return has_other_disk;
}

auto is_member_leaving(const cluster_view& view, const std::string& member) -> bool {
  const auto* node = view.find(node_of_member(member));
  return node ? view.is_draining(*node) : view.drains.count(node_of_member(member)) > 0;
}

auto is_unneeded_reserve(const cluster_view& view, const std::string& member, std::size_t replicas) -> bool {
  const auto* member_node = view.find(node_of_member(member));
  if (!member_node || !member_node->reserve)
    return false;
  auto nodes = view.nodes();
  auto available = std::count_if(nodes.begin(), nodes.end(), [&](const auto& named_node) {
    const auto& node = named_node.second;
    auto is_storage_node = node.kind == node_kind::storage && !node.disk_id.empty() && !node.reserve;
    return is_storage_node && !view.is_draining(node);
  });
  return static_cast<std::size_t>(available) >= replicas;
}

}  // namespace reachridge
