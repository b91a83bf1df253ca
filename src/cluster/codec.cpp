// Encodes and decodes the types of types.hpp. Their field names appear in no other file.
#include "cluster/types.hpp"

namespace reachridge {

auto partition_assignment::to_value() const -> value {
  auto replicas = array();
  for (const auto& member : in_sync_replicas)
    replicas.emplace_back(member);
  // "back" is informational and never decoded: "step" holds the complete in-sync set.
  auto others = backups();
  auto first_backup = others.empty() ? std::string() : others.front();
  return object{{"epoch", epoch},   {"root", recreated_epoch},      {"prim", primary}, {"back", first_backup},
                {"step", replicas}, {"idx", committed_index.get()}, {"why", reason}};
}

auto partition_assignment::from_value(const value& encoded) -> partition_assignment {
  auto out = partition_assignment();
  out.epoch = get_int(encoded, "epoch");
  out.recreated_epoch = get_int_or(encoded, "root", 0);
  out.primary = get_string(encoded, "prim");
  out.committed_index = get_int_or(encoded, "idx", 0);
  out.reason = get_string_or(encoded, "why");
  for (const auto& member : get_array(encoded, "step"))
    out.in_sync_replicas.emplace_back(member.as_string());
  return out;
}

auto to_string(drain_kind kind) -> std::string_view {
  switch (kind) {
    case drain_kind::drain:
      return "drain";
    case drain_kind::evacuate:
      return "evacuate";
    case drain_kind::retire:
      return "retire";
  }
  return "drain";
}

auto parse_drain_kind(std::string_view text) -> drain_kind {
  for (auto kind : {drain_kind::drain, drain_kind::evacuate, drain_kind::retire})
    if (to_string(kind) == text)
      return kind;
  throw decode_error("unknown kind of drain: " + std::string(text));
}

auto drain::to_value() const -> value {
  return object{{"kind", to_string(kind)}, {"done", completed}, {"idx", committed_index.get()}};
}

auto drain::from_value(const value& encoded) -> drain {
  return {parse_drain_kind(get_string(encoded, "kind")), get_bool(encoded, "done"), get_int(encoded, "idx")};
}

auto node_descriptor::to_value() const -> value {
  auto encoded =
      object{{"name", name},    {"kind", kind},   {"zone", zone},        {"addr", address}, {"web", http_address},
             {"disk", disk_id}, {"ready", ready}, {"leaving", stopping}, {"usage", load}};
  if (reserve)
    encoded["reserve"] = true;  // absent in other rows, which earlier releases wrote the same way
  return encoded;
}

auto node_descriptor::from_value(const value& encoded) -> node_descriptor {
  auto out = node_descriptor();
  out.name = get_string(encoded, "name");
  out.kind = get_string(encoded, "kind");
  out.zone = get_string(encoded, "zone");
  out.address = get_string_or(encoded, "addr");
  out.http_address = get_string_or(encoded, "web");
  out.disk_id = get_string_or(encoded, "disk");
  out.ready = get_bool(encoded, "ready");
  out.stopping = get_bool(encoded, "leaving");
  out.load = get_int_or(encoded, "usage", 0);
  out.reserve = get_bool(encoded, "reserve");
  return out;
}

auto node_filter::to_value() const -> value {
  return object{{"kind", kind}, {"zone", zone}, {"wide", all_zones}};
}

auto node_filter::from_value(const value& encoded) -> node_filter {
  if (!encoded.is_object())
    return {};
  return {get_string(encoded, "kind"), get_string_or(encoded, "zone"), get_bool(encoded, "wide")};
}

}  // namespace reachridge
