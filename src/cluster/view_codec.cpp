// Encodes and decodes version vectors and the deltas of views and session tables. Their field names appear in no other
// file.
#include "cluster/cluster_view.hpp"

namespace reachridge {
namespace {

auto encode_tombstone(const session_tombstone& tombstone) -> object {
  return {{"v", tombstone.version}, {"kind", tombstone.kind}, {"zone", tombstone.zone}};
}

auto decode_tombstone(const value& encoded) -> session_tombstone {
  return {get_int(encoded, "v"), get_string_or(encoded, "kind"), get_string_or(encoded, "zone")};
}

auto encode_partitions(const partitions_delta& delta) -> object {
  auto rows = object();
  for (const auto& [id, assignment] : delta.assignments)
    rows[id] = assignment.to_value();
  auto drains = object();
  for (const auto& [name, drain] : delta.drains)
    drains[name] = drain.to_value();
  return {{"ver", delta.version}, {"rows", std::move(rows)}, {"leavings", std::move(drains)}};
}

auto decode_partitions(const value& encoded) -> partitions_delta {
  auto delta = partitions_delta();
  delta.version = get_int(encoded, "ver");
  for (const auto& field : get_value(encoded, "rows").as_object())
    delta.assignments[std::string(field.key())] = partition_assignment::from_value(field.value());
  for (const auto& field : get_value(encoded, "leavings").as_object())
    delta.drains[std::string(field.key())] = drain::from_value(field.value());
  return delta;
}

// Returns null if the message contains no configuration.
auto decode_configuration(const value& encoded) -> configuration_ptr {
  if (const auto& packed = get_value(encoded, "packed"); packed.is_string())
    return configuration_record::from_received(get_value(encoded, "head"), std::string(packed.get_string()));
  if (const auto& text = get_value(encoded, "charter"); text.is_string())
    return configuration_record::from_compiled(compile_configuration(std::string(text.get_string())));
  return nullptr;
}

auto encode_tables(const view_delta& delta) -> object {
  auto out = object();
  for (const auto& [source, table_delta] : delta.tables)
    out[source] = encode(table_delta);
  for (const auto& source : delta.removed_tables)
    out[source] = nullptr;
  return out;
}

}  // namespace

auto encode(const session_table_delta& delta) -> object {
  auto out = object{{"ver", delta.version}};
  auto rows = array();
  for (const auto& node : delta.rows) {
    auto row = node.to_value();
    row.as_object()["v"] = node.version;
    rows.push_back(std::move(row));
  }
  auto removed = object();
  for (const auto& [name, tombstone] : delta.removed)
    removed[name] = encode_tombstone(tombstone);
  out["rows"] = std::move(rows);
  if (delta.since)
    out["since"] = *delta.since;
  if (!removed.empty())
    out["gone"] = std::move(removed);
  if (delta.zone_only)
    out["narrow"] = true;
  return out;
}

auto decode_session_table_delta(const value& encoded) -> session_table_delta {
  auto delta = session_table_delta();
  delta.version = get_int(encoded, "ver");
  if (auto since = get_int_or(encoded, "since", -1); since >= 0)
    delta.since = since;
  if (const auto& removed = get_value(encoded, "gone"); removed.is_object())
    for (const auto& field : removed.get_object())
      delta.removed[std::string(field.key())] = decode_tombstone(field.value());
  for (const auto& row : get_array(encoded, "rows")) {
    delta.rows.push_back(node_descriptor::from_value(row));
    delta.rows.back().version = get_int_or(row, "v", delta.version);
  }
  delta.zone_only = get_bool(encoded, "narrow");
  return delta;
}

auto encode(const view_versions& versions) -> value {
  auto tables = object();
  for (const auto& [source, version] : versions.tables)
    tables[source] = version;
  auto out = object{{"charter", versions.configuration_number}, {"cells", versions.partitions}, {"tables", tables}};
  if (versions.filter)
    out["need"] = versions.filter->to_value();
  return out;
}

auto decode_view_versions(const value& encoded) -> view_versions {
  auto out = view_versions();
  out.configuration_number = get_int_or(encoded, "charter", 0);
  out.partitions = get_int_or(encoded, "cells", 0);
  const auto& tables = get_value(encoded, "tables");
  if (tables.is_object())
    for (const auto& field : tables.get_object())
      out.tables[std::string(field.key())] = field.value().is_int64() ? field.value().get_int64() : 0;
  if (const auto& filter = get_value(encoded, "need"); filter.is_object())
    out.filter = node_filter::from_value(filter);
  return out;
}

auto encode(const view_delta& delta) -> object {
  auto out = object();
  if (delta.configuration && delta.packed) {
    out["packed"] = delta.configuration->deflated_rules();
    out["head"] = delta.configuration->head();
  } else if (delta.configuration) {
    out["charter"] = delta.configuration->body();
  }
  if (delta.partitions)
    out["cells"] = encode_partitions(*delta.partitions);
  if (auto tables = encode_tables(delta); !tables.empty())
    out["tables"] = std::move(tables);
  return out;
}

auto decode_view_delta(const value& encoded) -> view_delta {
  auto delta = view_delta();
  delta.configuration = decode_configuration(encoded);
  if (const auto& partitions = get_value(encoded, "cells"); partitions.is_object())
    delta.partitions = decode_partitions(partitions);
  const auto& tables = get_value(encoded, "tables");
  if (!tables.is_object())
    return delta;
  for (const auto& field : tables.get_object()) {
    if (field.value().is_null())
      delta.removed_tables.emplace_back(field.key());
    else
      delta.tables[std::string(field.key())] = decode_session_table_delta(field.value());
  }
  return delta;
}

auto cluster_view::encode_known_state() const -> value {
  auto encoded_partitions = object();
  for (const auto& [id, assignment] : partitions)
    encoded_partitions[id] = assignment.to_value();
  auto members = object();
  for (const auto& [name, node] : nodes())
    members[name] = object{{"kind", node.kind}, {"zone", node.zone}, {"leaving", node.stopping}};
  auto encoded_drains = object();
  for (const auto& [name, drain] : drains)
    encoded_drains[name] = object{{"kind", to_string(drain.kind)}, {"done", drain.completed}};
  return object{{"charter", configuration ? configuration->number : 0},
                {"cells", encoded_partitions},
                {"members", members},
                {"leavings", encoded_drains},
                {"need", filter.to_value()}};
}

}  // namespace reachridge
