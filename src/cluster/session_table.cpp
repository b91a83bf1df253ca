#include "cluster/session_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace reachridge {
namespace {

constexpr auto before_all_versions = std::numeric_limits<table_version>::min();

// Returns the rows that changed after version `held` and that `filter` covers.
auto rows_since(const session_table& table, table_version held, const node_filter& filter)
    -> std::vector<node_descriptor> {
  auto out = std::vector<node_descriptor>();
  for (const auto& [name, node] : table.rows) {
    auto is_new = node.version > held;
    if (is_new && filter.covers(node.kind, node.zone))
      out.push_back(node);
  }
  return out;
}

// Returns the tombstones of rows that were removed after version `held` and that `filter` covers.
auto tombstones_since(const session_table& table, table_version held, const node_filter& filter)
    -> std::map<std::string, session_tombstone> {
  auto out = std::map<std::string, session_tombstone>();
  for (const auto& [name, tombstone] : table.tombstones) {
    auto is_new = tombstone.version > held;
    if (is_new && filter.covers(tombstone.kind, tombstone.zone))
      out[name] = tombstone;
  }
  return out;
}

auto apply_removal(session_table& table, const std::string& name, const session_tombstone& tombstone) -> void {
  auto it = table.rows.find(name);
  if (it != table.rows.end() && it->second.version < tombstone.version)
    table.rows.erase(it);
  table.tombstones[name] = tombstone;
}

auto apply_row(session_table& table, node_descriptor node) -> void {
  auto it = table.tombstones.find(node.name);
  if (it != table.tombstones.end() && it->second.version < node.version)
    table.tombstones.erase(it);
  auto name = node.name;
  table.rows[name] = std::move(node);
}

}  // namespace

auto session_table::upsert(node_descriptor node, table_version new_version) -> void {
  version = new_version;
  node.version = new_version;
  tombstones.erase(node.name);
  // A holder whose filter covers the old row may not cover the new one. The tombstone removes the row for that holder.
  auto old = rows.find(node.name);
  if (old != rows.end() && (old->second.kind != node.kind || old->second.zone != node.zone))
    tombstones[node.name] = {version, old->second.kind, old->second.zone};
  auto name = node.name;
  rows[name] = std::move(node);
  trim_tombstones();
}

auto session_table::remove(const std::string& name, table_version new_version) -> void {
  auto it = rows.find(name);
  if (it == rows.end())
    return;
  version = new_version;
  tombstones[name] = {version, it->second.kind, it->second.zone};
  rows.erase(it);
  trim_tombstones();
}

auto session_table::trim_tombstones() -> void {
  while (tombstones.size() > max_tombstones) {
    auto oldest = std::min_element(tombstones.begin(), tombstones.end(), [](const auto& a, const auto& b) {
      return a.second.version < b.second.version;
    });
    delta_floor = std::max(delta_floor, oldest->second.version);
    tombstones.erase(oldest);
  }
}

auto session_table::delta_since(table_version held, const node_filter& filter, bool accepts_deltas,
                                bool include_empty) const -> std::optional<session_table_delta> {
  auto needs_all_zones = filter.kind.empty() || filter.all_zones;
  if (version <= held || (zone_only && needs_all_zones))
    return {};
  auto incremental = accepts_deltas && held > 0 && held >= delta_floor;
  auto delta = session_table_delta();
  delta.version = version;
  delta.rows = rows_since(*this, incremental ? held : before_all_versions, filter);
  if (incremental) {
    delta.since = held;
    delta.removed = tombstones_since(*this, held, filter);
  }
  auto changes_nothing = incremental && delta.rows.empty() && delta.removed.empty();
  if (changes_nothing && !include_empty)
    return {};
  auto is_filtered = filter.kind == "forager" && !filter.all_zones;
  delta.zone_only = zone_only || is_filtered;
  return delta;
}

auto session_table::apply(session_table_delta delta) -> bool {
  auto adds_zones = zone_only && !delta.zone_only;
  auto is_newer = delta.version > version || (delta.version == version && adds_zones);
  if (!is_newer)
    return false;
  auto starts_later = delta.since && *delta.since > version;
  if (starts_later)
    return false;  // the changes between `version` and `since` are missing
  auto replaces_all = !delta.since;
  auto changed = replaces_all || !delta.removed.empty() || !delta.rows.empty();
  if (replaces_all) {
    rows.clear();
    tombstones.clear();
    delta_floor = delta.version;
    zone_only = delta.zone_only;
  }
  for (const auto& [name, tombstone] : delta.removed)
    apply_removal(*this, name, tombstone);
  for (auto& node : delta.rows)
    apply_row(*this, std::move(node));
  version = delta.version;
  trim_tombstones();
  return changed;
}

auto session_table::changes_since(table_version held, const node_filter& filter, bool accepts_deltas,
                                  bool include_empty) const -> value {
  auto delta = delta_since(held, filter, accepts_deltas, include_empty);
  return delta ? value(encode(*delta)) : value();
}

auto session_table::merge(const value& encoded) -> bool {
  return apply(decode_session_table_delta(encoded));
}

}  // namespace reachridge
