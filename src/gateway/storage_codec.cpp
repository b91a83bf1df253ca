// Encodes and decodes the messages between a gateway and the primaries of partitions.
#include "gateway/storage_messages.hpp"

namespace reachridge::storage_api {
namespace {

// Returns nothing if the field is missing or not an integer.
auto get_optional_int(const value& message, std::string_view field) -> std::optional<std::int64_t> {
  const auto& number = get_value(message, field);
  if (!number.is_int64())
    return {};
  return number.get_int64();
}

}  // namespace

auto encode(const publish_request& request) -> value {
  return object{{"op", "pub"},           {"cell", request.partition}, {"t", request.topic},     {"d", request.client},
                {"s", request.sequence}, {"b", request.body},         {"keep", request.keep_ms}};
}

auto encode(const count_request& request) -> value {
  return object{{"op", "count"}, {"cell", request.partition}, {"t", request.topic}};
}

auto encode(const read_request& request) -> value {
  return object{{"op", "read"}, {"cell", request.partition}, {"t", request.topic}, {"a", request.after}};
}

auto encode(const subscribe_message& message) -> value {
  return object{{"op", "sub"},         {"cell", message.partition}, {"i", message.subscription}, {"t", message.topic},
                {"d", message.client}, {"a", message.after},        {"n", message.opening}};
}

auto encode(const unsubscribe_message& message) -> value {
  return object{{"op", "end"}, {"cell", message.partition}, {"i", message.subscription}};
}

auto decode_publish_reply(const value& reply) -> publish_reply {
  return {get_optional_int(reply, "pos"), get_bool(reply, "repeat")};
}

auto decode_count_reply(const value& reply) -> std::int64_t {
  return get_int(reply, "count");
}

auto notification_kind(const value& message) -> notification {
  const auto operation = get_string_or(message, "op");
  if (operation == "got")
    return notification::delivery;
  if (operation == "subbed")
    return notification::subscribe_reply;
  if (operation == "moved")
    return notification::partition_moved;
  return notification::unknown;
}

auto decode_delivery(const value& message) -> delivery {
  auto out = delivery();
  for (const auto& id : get_array(message, "i"))
    out.subscriptions.emplace_back(id.as_string());
  out.position = get_int(message, "pos");
  out.sender = get_value(message, "d");
  out.sequence = get_value(message, "s");
  out.body = get_value(message, "b");
  out.published_at = get_value(message, "w");
  return out;
}

auto decode_subscribe_reply(const value& message) -> subscribe_reply {
  auto out = subscribe_reply();
  out.subscription = get_string(message, "i");
  out.opening = get_optional_int(message, "n");
  out.accepted = get_bool(message, "ok");
  if (out.accepted) {
    out.position = get_int(message, "pos");
    return out;
  }
  out.position = get_optional_int(message, "pos");
  out.code = parse_errc(get_string(message, "code")).value_or(errc::position_unknown);
  return out;
}

auto decode_partition_moved(const value& message) -> partition_moved {
  return {get_string(message, "cell")};
}

}  // namespace reachridge::storage_api
