// Encodes and decodes commands and encodes their results. Only this file knows the names of the encoded fields.
#include "control/commands.hpp"

namespace reachridge {
namespace {

// Values of field "k", which names the command.
constexpr auto configuration_name = std::string_view("charter");
constexpr auto assignment_name = std::string_view("cell");
constexpr auto recreation_name = std::string_view("refound");
constexpr auto begin_drain_name = std::string_view("leave");
constexpr auto end_drain_name = std::string_view("stay");
constexpr auto decline_drain_name = std::string_view("decline");
constexpr auto complete_drain_name = std::string_view("left");

auto encode_assignment(std::string_view name, const std::string& partition, const partition_assignment& assignment)
    -> object {
  auto replicas = array();
  for (const auto& member : assignment.in_sync_replicas)
    replicas.emplace_back(member);
  return object{{"k", name},
                {"id", partition},
                {"epoch", assignment.epoch},
                {"prim", assignment.primary},
                {"step", std::move(replicas)},
                {"why", assignment.reason}};
}

auto encode_zones(const node_zones& nodes) -> object {
  auto out = object();
  for (const auto& [node, zone] : nodes)
    out[node] = zone;
  return out;
}

auto decode_zones(const value& encoded) -> std::optional<node_zones> {
  if (!encoded.is_object())
    return {};
  auto out = node_zones();
  for (const auto& field : encoded.get_object())
    out.push_back({std::string(field.key()), std::string(field.value().as_string())});
  return out;
}

auto encode_drain_order(std::string_view name, const std::string& node,
                        const std::optional<log_index>& expected_last_order) -> object {
  auto out = object{{"k", name}, {"name", node}};
  if (expected_last_order)
    out["after"] = expected_last_order->get();
  return out;
}

auto decode_decided_at(const value& encoded) -> std::optional<log_index> {
  const auto& after = get_value(encoded, "after");
  if (!after.is_int64())
    return {};
  return after.get_int64();
}

struct command_encoder {
  auto operator()(const configuration_command& command) const -> object {
    return {{"k", configuration_name}, {"record", command.configuration->to_value()}};
  }
  auto operator()(const assignment_command& command) const -> object {
    return encode_assignment(assignment_name, command.partition, command.assignment);
  }
  auto operator()(const recreation_command& command) const -> object {
    auto out = encode_assignment(recreation_name, command.partition, command.assignment);
    out["forsake"] = command.accepts_message_loss;
    return out;
  }
  auto operator()(const begin_drain_command& command) const -> object {
    auto out = encode_drain_order(begin_drain_name, command.name, command.expected_last_order);
    out["kind"] = to_string(command.kind);
    if (command.remaining_nodes) {
      out["rest"] = encode_zones(*command.remaining_nodes);
      out["copies"] = command.replicas;
    }
    return out;
  }
  auto operator()(const end_drain_command& command) const -> object {
    return encode_drain_order(end_drain_name, command.name, command.expected_last_order);
  }
  auto operator()(const decline_drain_command& command) const -> object {
    auto out = encode_drain_order(decline_drain_name, command.name, command.expected_last_order);
    if (command.remaining_nodes) {  // earlier releases use this field order, which differs from begin_drain_command
      out["copies"] = command.replicas;
      out["rest"] = encode_zones(*command.remaining_nodes);
    }
    return out;
  }
  auto operator()(const complete_drain_command& command) const -> object {
    return {{"k", complete_drain_name}, {"name", command.name}};
  }
};

auto decode_begin_drain(const value& encoded) -> begin_drain_command {
  auto out = begin_drain_command();
  out.name = get_string(encoded, "name");
  out.expected_last_order = decode_decided_at(encoded);
  out.kind = parse_drain_kind(get_string(encoded, "kind"));
  out.remaining_nodes = decode_zones(get_value(encoded, "rest"));
  out.replicas = get_int_or(encoded, "copies", default_replicas);
  return out;
}

struct result_encoder {
  auto operator()(const command_accepted& result) const -> value {
    auto out = object{{"ok", true}};
    if (result.configuration_number)
      out["number"] = *result.configuration_number;
    if (result.is_repeat)
      out["repeat"] = true;
    if (result.drain_completed)
      out["done"] = *result.drain_completed;
    if (result.assignment)
      out["row"] = result.assignment->to_value();
    return out;
  }
  auto operator()(const command_superseded& result) const -> value {
    auto out = object{{"ok", false}, {"why", result.reason}};
    if (result.assignment)
      out["row"] = result.assignment->to_value();
    return out;
  }
  auto operator()(const request_error& error) const -> value {
    return error.to_value();
  }
};

}  // namespace

auto encode(const control_command& command) -> value {
  return std::visit(command_encoder(), command);
}

auto encode(const command_result& result) -> value {
  return std::visit(result_encoder(), result);
}

auto decode_command(const value& encoded) -> control_command {
  auto name = get_string(encoded, "k");
  if (name == configuration_name) {
    const auto& record = get_value(encoded, "record");
    return configuration_command{decode_stored_configuration(record.is_object() ? record : get_value(encoded, "body"))};
  }
  if (name == assignment_name)
    return assignment_command{get_string(encoded, "id"), partition_assignment::from_value(encoded)};
  if (name == recreation_name)
    return recreation_command{get_string(encoded, "id"), partition_assignment::from_value(encoded),
                              get_bool(encoded, "forsake")};
  if (name == begin_drain_name)
    return decode_begin_drain(encoded);
  if (name == end_drain_name)
    return end_drain_command{get_string(encoded, "name"), decode_decided_at(encoded)};
  if (name == decline_drain_name)
    return decline_drain_command{get_string(encoded, "name"), decode_decided_at(encoded), {}, default_replicas};
  if (name == complete_drain_name)
    return complete_drain_command{get_string(encoded, "name")};
  throw request_error(errc::malformed, "unknown command " + name);
}

auto decode_stored_configuration(const value& stored) -> configuration_ptr {
  if (stored.is_string())
    return configuration_record::from_compiled(compile_configuration(std::string(stored.get_string())));
  return configuration_record::from_value(stored);
}

}  // namespace reachridge
