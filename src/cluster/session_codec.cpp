#include "cluster/session_codec.hpp"

#include <utility>

#include "cluster/control_operation.hpp"

namespace reachridge {
namespace {

auto encode_pending(const std::vector<pending_version>& upcoming) -> array {
  auto entries = array();
  for (const auto& pending : upcoming)
    entries.push_back(array{pending.version, pending.time_left});
  return entries;
}

auto decode_pending(const value& entry) -> pending_version {
  if (!entry.is_array() || entry.get_array().size() != 2)
    throw decode_error("deadline is not an array of a version and a time left, both integers");
  const auto& version = entry.get_array()[0];
  const auto& time_left = entry.get_array()[1];
  if (!version.is_int64() || !time_left.is_int64())
    throw decode_error("deadline is not an array of a version and a time left, both integers");
  return {version.get_int64(), time_left.get_int64()};
}

auto encode_into(object& out, const version_requirements& versions) -> void {
  out["need"] = versions.required;
  out["newest"] = versions.newest;
  if (!versions.upcoming.empty())
    out["due"] = encode_pending(versions.upcoming);
}

auto decode_version_requirements(const value& encoded) -> version_requirements {
  auto versions = version_requirements();
  versions.required = get_int_or(encoded, "need", 0);
  versions.newest = get_int_or(encoded, "newest", 0);
  for (const auto& entry : get_array(encoded, "due"))
    versions.upcoming.push_back(decode_pending(entry));
  return versions;
}

auto encode_strings(const std::vector<std::string>& strings) -> array {
  auto out = array();
  for (const auto& text : strings)
    out.emplace_back(text);
  return out;
}

auto encode_live_nodes(const served_versions& nodes) -> object {
  auto out = object();
  for (const auto& [name, version] : nodes)
    out[name] = object{{"charter", version}};
  return out;
}

auto decode_live_nodes(const value& encoded) -> std::optional<served_versions> {
  if (!encoded.is_object())
    return std::nullopt;
  auto nodes = served_versions();
  for (const auto& field : encoded.get_object())
    nodes[std::string(field.key())] = get_int_or(field.value(), "charter", 0);
  return nodes;
}

}  // namespace

auto session_updates::has_configuration() const -> bool {
  return view_changes.contains("charter") || view_changes.contains("packed");
}
auto session_updates::has_partitions() const -> bool {
  return view_changes.contains("cells");
}

auto requests_all_zones(const value& held_versions) -> bool {
  return get_bool(get_value(held_versions, "need"), "wide");
}

auto encode(session_request request) -> value {
  return object{{"op", name_of(control_operation::session)}, {"me", request.node.to_value()},
                {"vec", std::move(request.held_versions)},   {"queens", request.control_nodes_checksum},
                {"deadlines", request.accepts_deadlines},    {"charter", request.served_version}};
}

auto decode_session_request(const value& encoded) -> session_request {
  return {.node = node_descriptor::from_value(get_value(encoded, "me")),
          .held_versions = get_value(encoded, "vec"),
          .control_nodes_checksum = get_int_or(encoded, "queens", 0),
          .accepts_deadlines = get_bool(encoded, "deadlines"),
          .served_version = get_int_or(encoded, "charter", 0)};
}

auto encode(session_reply reply) -> value {
  auto out = std::move(reply.updates.view_changes);
  if (!reply.updates.control_nodes.empty())
    out["queens"] = encode_strings(reply.updates.control_nodes);
  if (!reply.placement_requests.empty())
    out["wish"] = std::move(reply.placement_requests);
  if (reply.lease) {
    out["lease"] = reply.lease->duration;
    encode_into(out, reply.lease->versions);
    out["cells_need"] = reply.lease->partitions_version;
  }
  return out;
}

auto decode_session_reply(value encoded) -> session_reply {
  auto reply = session_reply();
  if (auto duration = get_int_or(encoded, "lease", 0); duration > 0)
    reply.lease = lease_grant{.duration = duration,
                              .versions = decode_version_requirements(encoded),
                              .partitions_version = get_int_or(encoded, "cells_need", 0)};
  for (const auto& address : get_array(encoded, "queens"))
    reply.updates.control_nodes.emplace_back(address.as_string());
  reply.placement_requests = get_array(encoded, "wish");
  // The fields decoded above remain in the object; cluster_view::merge ignores them.
  if (encoded.is_object())
    reply.updates.view_changes = std::move(encoded.get_object());
  return reply;
}

auto encode(gossip_request request) -> value {
  auto out = object{{"op", name_of(control_operation::gossip)},
                    {"from", request.source},
                    {"ver", request.table_version},
                    {"deadlines", request.accepts_deadlines}};
  if (request.live_nodes)
    out["live"] = encode_live_nodes(*request.live_nodes);
  out["live_ver"] = request.live_nodes_version;
  if (request.reports_loads) {
    auto loads = object();
    for (const auto& [name, load] : request.loads)
      loads[name] = load;
    out["usage"] = std::move(loads);
  }
  if (request.table_changes.is_object())
    for (auto& field : request.table_changes.get_object())
      out[field.key()] = std::move(field.value());
  return out;
}

auto decode_gossip_request(value encoded) -> gossip_request {
  auto request = gossip_request();
  request.source = get_string(encoded, "from");
  request.table_version = get_int_or(encoded, "ver", 0);
  request.accepts_deadlines = get_bool(encoded, "deadlines");
  request.live_nodes = decode_live_nodes(get_value(encoded, "live"));
  request.live_nodes_version = get_int_or(encoded, "live_ver", 0);
  if (const auto& loads = get_value(encoded, "usage"); loads.is_object()) {
    request.reports_loads = true;
    for (const auto& field : loads.get_object())
      if (field.value().is_int64())
        request.loads[std::string(field.key())] = field.value().get_int64();
  }
  // The fields decoded above remain in the object; session_table::merge ignores them.
  if (get_value(encoded, "rows").is_array())
    request.table_changes = std::move(encoded);
  return request;
}

auto encode(gossip_reply reply) -> value {
  auto out =
      object{{"have", reply.table_version}, {"steps", reply.accepts_deltas}, {"live_ver", reply.live_nodes_version}};
  if (reply.grant) {
    out["wish"] = std::move(reply.grant->placement_requests);
    out["grant"] = true;
    encode_into(out, reply.grant->versions);
    out["cells"] = reply.grant->partitions_version;
  }
  return out;
}

auto decode_gossip_reply(const value& encoded) -> gossip_reply {
  auto reply = gossip_reply();
  reply.table_version = get_int_or(encoded, "have", -1);
  reply.accepts_deltas = get_bool(encoded, "steps");
  reply.live_nodes_version = get_int_or(encoded, "live_ver", 0);
  if (get_bool(encoded, "grant")) {
    auto& grant = reply.grant.emplace();
    grant.placement_requests = get_array(encoded, "wish");
    get_int(encoded, "need");  // throws if absent: the field is mandatory in a grant
    grant.versions = decode_version_requirements(encoded);
    grant.partitions_version = get_int(encoded, "cells");
  }
  return reply;
}

auto encode(const in_force_status& status) -> value {
  return object{{"number", status.version},
                {"newest", status.newest},
                {"held", status.waiting.empty()},
                {"waiting", encode_strings(status.waiting)}};
}

auto encode_proposal(value command) -> value {
  return object{{"op", name_of(control_operation::propose)}, {"deed", std::move(command)}};
}

auto encode_leave(const std::string& name) -> value {
  return object{{"op", name_of(control_operation::leave)}, {"name", name}};
}

}  // namespace reachridge
