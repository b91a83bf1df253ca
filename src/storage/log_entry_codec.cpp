// Encoding and decoding of the entries of a partition's log; see log_entry.hpp.
#include "storage/log_entry.hpp"

namespace reachridge {
namespace {

// The name of the field that holds the kind of an entry, and the values of this field.
constexpr auto kind_field = "k";
constexpr auto clock_kind = "c";
constexpr auto publish_kind = "p";
constexpr auto subscribe_kind = "s";
constexpr auto close_kind = "e";
constexpr auto configuration_kind = "l";
constexpr auto go_live_kind = "v";

auto encode_fields(const clock_advance& entry) -> value {
  return object{{kind_field, clock_kind}, {"d", entry.elapsed_ms}};
}
auto encode_fields(const publish_entry& entry) -> value {
  auto out = object{{kind_field, publish_kind}, {"t", entry.topic}, {"d", entry.sender},
                    {"s", entry.sequence},      {"b", entry.body},  {"w", entry.wall_clock_ms}};
  if (entry.retention_ms)
    out["keep"] = *entry.retention_ms;
  return out;
}
auto encode_fields(const subscribe_entry& entry) -> value {
  return object{{kind_field, subscribe_kind},
                {"i", entry.subscription_id},
                {"t", entry.topic},
                {"d", entry.subscriber},
                {"a", entry.after}};
}
auto encode_fields(const close_subscription_entry& entry) -> value {
  return object{{kind_field, close_kind}, {"i", entry.subscription_id}};
}
auto encode_fields(const configuration_change& entry) -> value {
  return object{{kind_field, configuration_kind},
                {"keep", entry.retention_ms},
                {"resend", entry.resend_ms},
                {"n", entry.version}};
}
auto encode_fields(const go_live_entry& entry) -> value {
  return object{{kind_field, go_live_kind}, {"e", entry.epoch}, {"m", entry.member}};
}
auto encode_fields(const unrecognized_entry& entry) -> value {
  return entry.payload;
}

auto decode_publish(const value& payload) -> publish_entry {
  auto out = publish_entry();
  out.sender = get_string(payload, "d");
  out.topic = get_string(payload, "t");
  out.sequence = get_int(payload, "s");
  out.body = get_string(payload, "b");
  out.wall_clock_ms = get_int(payload, "w");
  if (const auto& retention = get_value(payload, "keep"); retention.is_int64())
    out.retention_ms = retention.get_int64();
  return out;
}
auto decode_subscribe(const value& payload) -> subscribe_entry {
  auto out = subscribe_entry();
  out.subscription_id = get_string(payload, "i");
  out.topic = get_string(payload, "t");
  out.after = get_int(payload, "a");
  out.subscriber = get_string(payload, "d");
  return out;
}
auto decode_configuration(const value& payload) -> configuration_change {
  auto out = configuration_change();
  out.retention_ms = get_int(payload, "keep");
  out.resend_ms = get_int(payload, "resend");
  out.version = get_int(payload, "n");
  return out;
}
// Both fields are optional, because they only inform readers of the log.
auto decode_go_live(const value& payload) -> go_live_entry {
  return {get_int_or(payload, "e", 0), get_string_or(payload, "m")};
}

}  // namespace

auto encode(const log_entry& entry) -> value {
  return std::visit(
      [](const auto& typed) {
        return encode_fields(typed);
      },
      entry);
}

auto decode_log_entry(const value& payload) -> log_entry {
  const auto kind = get_string(payload, kind_field);
  if (kind == clock_kind)
    return clock_advance{get_int(payload, "d")};
  if (kind == publish_kind)
    return decode_publish(payload);
  if (kind == subscribe_kind)
    return decode_subscribe(payload);
  if (kind == close_kind)
    return close_subscription_entry{get_string(payload, "i")};
  if (kind == configuration_kind)
    return decode_configuration(payload);
  if (kind == go_live_kind)
    return decode_go_live(payload);
  return unrecognized_entry{payload};
}

auto is_clock_advance(const value& payload) -> bool {
  return get_string(payload, kind_field) == clock_kind;
}

auto estimate_entry_bytes(const value& payload) -> std::size_t {
  constexpr auto fixed_bytes = std::size_t{64};
  const auto& body = get_value(payload, "b");
  return fixed_bytes + (body.is_string() ? body.get_string().size() : 0);
}

}  // namespace reachridge
