#include "cluster/cluster_view.hpp"

namespace reachridge {
namespace {

// Returns all drains and the assignments that were committed after version `held`.
auto partitions_since(const cluster_view& view, std::int64_t held) -> partitions_delta {
  auto delta = partitions_delta{view.partitions_version, {}, view.drains};
  for (const auto& [id, assignment] : view.partitions)
    if (assignment.committed_index > held)
      delta.assignments[id] = assignment;
  return delta;
}

}  // namespace

auto cluster_view::versions() const -> view_versions {
  auto out = view_versions();
  out.configuration_number = configuration ? configuration->number : 0;
  out.partitions = partitions_version;
  for (const auto& [source, table] : session_tables) {
    auto needs_whole_table = table.zone_only && filter.all_zones;
    out.tables[source] = needs_whole_table ? 0 : table.version;
  }
  out.filter = filter;
  return out;
}

auto cluster_view::delta_since(const view_versions& held, bool include_empty, bool with_configuration) const
    -> view_delta {
  auto delta = view_delta();
  auto accepts_deltas = held.filter.has_value();
  auto lacks_newest = configuration && configuration->number > held.configuration_number;
  if (with_configuration && lacks_newest) {
    delta.configuration = configuration;
    delta.packed = accepts_deltas;
  }
  if (partitions_version > held.partitions)
    delta.partitions = partitions_since(*this, held.partitions);
  auto holder_filter = held.filter.value_or(node_filter());
  for (const auto& [source, table] : session_tables) {
    auto it = held.tables.find(source);
    auto held_version = it == held.tables.end() ? 0 : it->second;
    if (auto changes = table.delta_since(held_version, holder_filter, accepts_deltas, include_empty))
      delta.tables[source] = std::move(*changes);
  }
  for (const auto& [source, version] : held.tables)
    if (!session_tables.count(source))
      delta.removed_tables.push_back(source);
  return delta;
}

auto cluster_view::apply(view_delta delta) -> bool {
  auto changed = false;
  if (delta.configuration && is_newer(delta.configuration)) {
    configuration = delta.configuration;
    changed = true;
  }
  if (delta.partitions && delta.partitions->version > partitions_version) {
    apply(std::move(*delta.partitions));
    changed = true;
  }
  for (auto& [source, table_delta] : delta.tables)
    changed |= session_tables[source].apply(std::move(table_delta));
  for (const auto& source : delta.removed_tables)
    changed |= session_tables.erase(source) > 0;
  return changed;
}

auto cluster_view::apply(partitions_delta delta) -> void {
  for (auto& [id, assignment] : delta.assignments) {
    auto& current = partitions[id];
    if (assignment.epoch > current.epoch)
      current = std::move(assignment);
  }
  drains = std::move(delta.drains);
  partitions_version = delta.version;
}

auto cluster_view::is_newer(const configuration_ptr& other) const -> bool {
  return !configuration || other->number > configuration->number;
}

auto cluster_view::changes_since(const value& held, bool include_empty, bool with_configuration) const -> object {
  return encode(delta_since(decode_view_versions(held), include_empty, with_configuration));
}

auto cluster_view::lacks_configuration(const value& held) const -> bool {
  return configuration && configuration->number > decode_view_versions(held).configuration_number;
}

auto cluster_view::find(const std::string& name) const -> const node_descriptor* {
  const auto* out = static_cast<const node_descriptor*>(nullptr);
  for (const auto& [source, table] : session_tables) {
    auto it = table.rows.find(name);
    if (it == table.rows.end())
      continue;
    if (!out || it->second.ready)
      out = &it->second;
  }
  return out;
}

auto cluster_view::nodes() const -> std::map<std::string, node_descriptor> {
  auto out = std::map<std::string, node_descriptor>();
  for (const auto& [source, table] : session_tables)
    for (const auto& [name, node] : table.rows) {
      auto& chosen = out[name];
      if (chosen.name.empty() || node.ready)
        chosen = node;
    }
  return out;
}

auto cluster_view::relays(const std::string& zone, const std::string& address) const -> std::vector<std::string> {
  auto known = nodes();
  auto target_zone = std::string();
  for (const auto& [name, node] : known)
    if (node.kind == "comb" && node.address == address)
      target_zone = node.zone;
  if (target_zone == zone)
    return {};
  auto out = std::vector<std::string>();
  for (const auto& [name, node] : known) {
    auto in_third_zone = node.zone != zone && node.zone != target_zone;
    if (node.kind == "comb" && in_third_zone)
      out.push_back(node.address);
  }
  return out;
}

}  // namespace reachridge
