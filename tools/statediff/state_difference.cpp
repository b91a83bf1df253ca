#include "statediff/state_difference.hpp"

#include <set>

#include "cluster/cluster_view.hpp"

namespace reachridge {
namespace {

// Upper bound of the time in which an update reaches another node while the network has no faults (design 5.2).
constexpr auto propagation_ms = std::int64_t{3000};
// The difference may last without limit.
constexpr auto unlimited_ms = std::int64_t{-1};

using differences = std::vector<difference>;

auto text_of(const value& item) -> std::string {
  if (item.is_null())
    return "nothing";
  return item.is_string() ? std::string(item.get_string()) : to_json(item);
}

// Returns the keys of both objects. A value that is not an object has no keys.
auto keys_of_either(const value& left, const value& right) -> std::set<std::string> {
  auto keys = std::set<std::string>();
  for (const auto* side : {&left, &right}) {
    if (!side->is_object())
      continue;
    for (const auto& field : side->get_object())
      keys.insert(std::string(field.key()));
  }
  return keys;
}

auto epoch_of(const value& partition) -> std::int64_t {
  return get_int_or(partition, "epoch", 0);
}

auto is_primary(const value& replica) -> bool {
  return get_string_or(replica, "role") == "primary";
}

// Tells whether the filter of the view covers the kind and zone of the member (design 5.2).
auto view_covers(const value& view, const value& member) -> bool {
  return node_filter::from_value(get_value(view, "need"))
      .covers(get_string_or(member, "kind"), get_string_or(member, "zone"));
}

auto compare_configuration_versions(const value& left, const value& right, differences& found) -> void {
  const auto& left_version = get_value(left, "charter");
  const auto& right_version = get_value(right, "charter");
  if (left_version != right_version)
    found.push_back({"charter", text_of(left_version), text_of(right_version), false, propagation_ms});
}

// Compares the entries of one partition in the two views.
auto compare_partition_view(const std::string& description, const value& left, const value& right, differences& found)
    -> void {
  if (left.is_null() || right.is_null()) {
    found.push_back({description, text_of(left), text_of(right), false, propagation_ms});
    return;
  }
  auto same_epoch = epoch_of(left) == epoch_of(right);
  if (!same_epoch)
    found.push_back({description + " epoch", text_of(get_value(left, "epoch")), text_of(get_value(right, "epoch")),
                     false, propagation_ms});
  for (const auto* key : {"prim", "back", "step"}) {
    const auto& left_field = get_value(left, key);
    const auto& right_field = get_value(right, key);
    if (left_field == right_field)
      continue;
    // An epoch has exactly one assignment, so two different assignments of one epoch violate an invariant.
    found.push_back({description + " " + key, text_of(left_field), text_of(right_field), same_epoch, propagation_ms});
  }
}

auto compare_partition_views(const value& left, const value& right, differences& found) -> void {
  const auto& left_partitions = get_value(left, "cells");
  const auto& right_partitions = get_value(right, "cells");
  for (const auto& id : keys_of_either(left_partitions, right_partitions))
    compare_partition_view("partition " + id, get_value(left_partitions, id), get_value(right_partitions, id), found);
}

auto compare_members(const value& left, const value& right, differences& found) -> void {
  auto presence = [](const value& member) {
    return member.is_null() ? "away" : "here";
  };
  const auto& left_members = get_value(left, "members");
  const auto& right_members = get_value(right, "members");
  for (const auto& name : keys_of_either(left_members, right_members)) {
    const auto& left_member = get_value(left_members, name);
    const auto& right_member = get_value(right_members, name);
    auto covered = left_member.is_null() ? view_covers(left, right_member) : view_covers(right, left_member);
    if (!covered)
      continue;
    if (left_member.is_null() != right_member.is_null())
      found.push_back({"member " + name, presence(left_member), presence(right_member), false, unlimited_ms});
  }
}

auto compare_drains(const value& left, const value& right, differences& found) -> void {
  const auto& left_drains = get_value(left, "leavings");
  const auto& right_drains = get_value(right, "leavings");
  for (const auto& name : keys_of_either(left_drains, right_drains)) {
    const auto& left_drain = get_value(left_drains, name);
    const auto& right_drain = get_value(right_drains, name);
    if (left_drain != right_drain)
      found.push_back({"drain " + name, text_of(left_drain), text_of(right_drain), false, propagation_ms});
  }
}

// Compares the replicas of one partition that both nodes hold.
auto compare_replica(const std::string& description, const value& left, const value& right, differences& found)
    -> void {
  if (is_primary(left) && is_primary(right)) {
    found.push_back({description + " has two primaries", text_of(get_value(left, "epoch")),
                     text_of(get_value(right, "epoch")), epoch_of(left) == epoch_of(right), propagation_ms});
    return;
  }
  if (!is_primary(left) && !is_primary(right))
    return;
  const auto& primary = is_primary(left) ? left : right;
  const auto& backup = is_primary(left) ? right : left;
  // Positions are comparable only within one epoch.
  if (get_string_or(backup, "role") != "backup" || epoch_of(primary) != epoch_of(backup))
    return;
  if (get_int_or(backup, "last", 0) != get_int_or(primary, "last", 0))
    found.push_back({description + " position", text_of(get_value(left, "last")), text_of(get_value(right, "last")),
                     false, unlimited_ms});
}

auto compare_replicas(const value& left, const value& right, differences& found) -> void {
  const auto& left_replicas = get_value(left, "cells");
  const auto& right_replicas = get_value(right, "cells");
  for (const auto& id : keys_of_either(left_replicas, right_replicas)) {
    const auto& left_replica = get_value(left_replicas, id);
    const auto& right_replica = get_value(right_replicas, id);
    if (left_replica.is_null() || right_replica.is_null())
      continue;
    compare_replica("replica of " + id, left_replica, right_replica, found);
  }
}

}  // namespace

auto compare(const value& left, const value& right) -> std::vector<difference> {
  auto found = differences();
  const auto& left_view = get_value(left, "beliefs");
  const auto& right_view = get_value(right, "beliefs");
  compare_configuration_versions(left_view, right_view, found);
  compare_partition_views(left_view, right_view, found);
  compare_members(left_view, right_view, found);
  compare_drains(left_view, right_view, found);
  compare_replicas(left, right, found);
  return found;
}

}  // namespace reachridge
