// Encoding of gateway requests and replies as values; see client_requests.hpp. The order of the fields is part of the
// format.
#include <algorithm>
#include <array>
#include <string_view>

#include "storage/client_requests.hpp"

namespace reachridge {
namespace {

struct operation_name {
  client_operation operation;
  std::string_view name;
  bool is_call;
};

constexpr auto operation_names = std::array{
    operation_name{client_operation::publish, "pub", true}, operation_name{client_operation::subscribe, "sub", false},
    operation_name{client_operation::close_subscription, "end", false},
    operation_name{client_operation::read, "read", true}, operation_name{client_operation::count, "count", true}};

auto parse_operation(std::string_view name, bool is_call) -> std::optional<client_operation> {
  const auto* found =
      std::find_if(operation_names.begin(), operation_names.end(), [&](const operation_name& candidate) {
        return candidate.name == name && candidate.is_call == is_call;
      });
  if (found == operation_names.end())
    return {};
  return found->operation;
}

auto encode_reply(const publish_reply& reply) -> value {
  if (!reply.position)
    return object{{"repeat", true}};
  return object{{"pos", *reply.position}};
}

auto encode_reply(const read_reply& reply) -> value {
  auto messages = array();
  for (const auto& message : reply.messages)
    messages.push_back(object{{"pos", message.position},
                              {"from", message.sender},
                              {"seq", message.sequence},
                              {"body", message.body},
                              {"at", message.wall_clock_ms}});
  return object{{"rows", messages}, {"expired", reply.expired}, {"pos", reply.position}};
}

auto encode_reply(const count_reply& reply) -> value {
  return object{{"count", reply.clients}};
}

auto result_code(subscribe_result result) -> std::string_view {
  switch (result) {
    case subscribe_result::ok:
      return "ok";
    case subscribe_result::expired:
      return "gone";
    case subscribe_result::not_led_here:
      return "not_here";
    case subscribe_result::ahead_of_log:
      return "ahead";
  }
  return "";
}

}  // namespace

auto parse_client_call(std::string_view name) -> std::optional<client_operation> {
  return parse_operation(name, true);
}
auto parse_client_notification(std::string_view name) -> std::optional<client_operation> {
  return parse_operation(name, false);
}

auto partition_of_request(const value& request) -> std::string {
  return get_string(request, "cell");
}

auto decode_publish_request(const value& request) -> publish_request {
  auto out = publish_request();
  out.sender = get_string(request, "d");
  out.topic = get_string(request, "t");
  out.body = get_string(request, "b");
  out.sequence = get_int(request, "s");
  if (const auto& retention = get_value(request, "keep"); retention.is_int64())
    out.retention_ms = retention.get_int64();
  return out;
}

auto decode_subscribe_request(const value& request) -> subscribe_request {
  auto out = subscribe_request();
  out.subscription_id = get_string(request, "i");
  out.after = get_int(request, "a");
  out.opening = get_int_or(request, "n", 0);
  out.topic = get_string(request, "t");
  out.subscriber = get_string(request, "d");
  return out;
}

auto decode_close_subscription_request(const value& request) -> close_subscription_request {
  return {get_string(request, "i")};
}

auto decode_read_request(const value& request) -> read_request {
  auto out = read_request();
  out.after = get_int(request, "a");
  out.topic = get_string(request, "t");
  return out;
}

auto decode_count_request(const value& request) -> count_request {
  return {get_string(request, "t")};
}

auto encode(const client_reply& reply) -> value {
  return std::visit(
      [](const auto& typed) {
        return encode_reply(typed);
      },
      reply);
}

auto encode(const subscribe_reply& reply) -> value {
  const auto opened = reply.result == subscribe_result::ok;
  const auto was_logged = opened || reply.result == subscribe_result::expired;
  const auto code = result_code(reply.result);
  auto out = object{{"op", "subbed"}, {"i", reply.subscription_id}, {"n", reply.opening}, {"ok", opened}};
  // In a refusal of a request that was not logged, the code precedes the position.
  if (was_logged)
    out["pos"] = reply.position;
  out["code"] = code;
  if (!was_logged)
    out["pos"] = reply.position;
  return out;
}

auto encode(const delivery_notification& delivery) -> value {
  const auto& ids = delivery.subscription_ids;
  return object{{"op", "got"},          {"i", array(ids.begin(), ids.end())},
                {"t", delivery.topic},  {"pos", delivery.position},
                {"d", delivery.sender}, {"s", delivery.sequence},
                {"b", delivery.body},   {"w", delivery.wall_clock_ms}};
}

}  // namespace reachridge
