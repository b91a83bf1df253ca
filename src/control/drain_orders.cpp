// Parses and validates operators' drain orders.
#include "control/drain_orders.hpp"

#include <algorithm>
#include <array>

namespace reachridge {
namespace {

constexpr auto max_name_bytes = std::size_t{100};
constexpr auto order_fields = std::array<std::string_view, 4>{"name", "zone", "kind", "copies"};
constexpr auto invalid_replicas_message = "copies must be an integer greater than 0";

auto is_name_character(unsigned char character) -> bool {
  auto is_printable = character > ' ' && character < 127;
  return is_printable && character != '/' && character != ':';
}

auto parse_body(const std::string& body) -> object {
  auto error = boost::json::error_code();
  auto parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object())
    throw request_error(errc::malformed, "the request body is not a JSON object");
  for (const auto& field : parsed.get_object())
    if (std::find(order_fields.begin(), order_fields.end(), std::string_view(field.key())) == order_fields.end())
      throw request_error(errc::malformed, "unknown field " + std::string(field.key()));
  return std::move(parsed.get_object());
}

auto parse_kind(const std::string& text) -> drain_kind {
  try {
    return parse_drain_kind(text);
  } catch (const decode_error&) {
    throw request_error(errc::malformed, "kind must be drain, evacuate or retire");
  }
}

auto parse_replicas(const value& replicas) -> std::int64_t {
  if (replicas.is_null())
    return default_replicas;
  if (!replicas.is_int64() || replicas.get_int64() <= 0)
    throw request_error(errc::malformed, invalid_replicas_message);
  return replicas.get_int64();
}

}  // namespace

auto is_node_name(const std::string& name) -> bool {
  if (name.empty() || name.size() > max_name_bytes)
    return false;
  return std::all_of(name.begin(), name.end(), is_name_character);
}

auto parse_drain_order(const http_request& request) -> drain_order {
  auto body = value(parse_body(request.body));
  auto targets_zone = get_value(body, "zone").is_string();
  if (targets_zone == get_value(body, "name").is_string())
    throw request_error(errc::malformed, "exactly one of name and zone must be given");
  auto name = get_string(body, targets_zone ? "zone" : "name");
  if (!is_node_name(name))
    throw request_error(errc::malformed,
                        "the given name is not a valid name of a " + std::string(targets_zone ? "zone" : "node"));
  auto default_kind = targets_zone ? drain_kind::evacuate : drain_kind::drain;
  auto order = drain_order();
  order.begins_drain = request.path != "/v1/stay";
  order.name = targets_zone ? zone_key(name) : name;
  order.kind = parse_kind(get_string_or(body, "kind", to_string(default_kind)));
  order.replicas = parse_replicas(get_value(body, "copies"));
  return order;
}

auto drain_order::to_value() const -> value {
  return object{{"begins", begins_drain}, {"name", name}, {"kind", to_string(kind)}, {"copies", replicas}};
}

auto drain_order::from_value(const value& encoded) -> drain_order {
  auto order = drain_order();
  order.begins_drain = get_bool(encoded, "begins");
  order.name = get_string(encoded, "name");
  order.kind = parse_drain_kind(get_string(encoded, "kind"));
  order.replicas = get_int(encoded, "copies");
  if (order.replicas < 1)
    throw request_error(errc::malformed, invalid_replicas_message);
  return order;
}

}  // namespace reachridge
