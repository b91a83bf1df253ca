#include <string_view>
#include <utility>

#include "rpc/messages.hpp"

namespace reachridge {
namespace {

constexpr auto operation_field = std::string_view("op");
constexpr auto call_id_field = std::string_view("q");
constexpr auto reply_id_field = std::string_view("r");
constexpr auto result_field = std::string_view("v");
constexpr auto error_field = std::string_view("e");
constexpr auto time_field = std::string_view("n");

constexpr auto hello_operation = std::string_view("hello");
constexpr auto relay_operation = std::string_view("relay");
constexpr auto heartbeat_operation = std::string_view("beat");
constexpr auto heartbeat_reply_operation = std::string_view("beaten");

constexpr auto no_call_id = call_id{-1};

}  // namespace

auto kind_of_request(const value& body) -> request_kind {
  auto operation = get_string_or(body, operation_field);
  if (operation == hello_operation)
    return request_kind::hello;
  if (operation == heartbeat_reply_operation)
    return request_kind::heartbeat_reply;
  if (operation == heartbeat_operation)
    return request_kind::heartbeat;
  return decode_call_id(body) >= 0 ? request_kind::call : request_kind::notification;
}

auto kind_of_reply(const value& body) -> reply_kind {
  if (decode_reply_id(body) >= 0)
    return reply_kind::reply;
  auto operation = get_string_or(body, operation_field);
  if (operation == heartbeat_operation)
    return reply_kind::heartbeat;
  if (operation == heartbeat_reply_operation)
    return reply_kind::heartbeat_reply;
  return reply_kind::notification;
}

auto is_relay_message(const value& body) -> bool {
  return get_string_or(body, operation_field) == relay_operation;
}

auto encode(const hello_message& message) -> value {
  return object{{operation_field, hello_operation}, {"me", message.name}, {"replies", message.answers_heartbeats}};
}

auto encode(const relay_message& message) -> value {
  return object{{operation_field, relay_operation}, {"to", message.address}};
}

auto encode(const heartbeat_message& message) -> value {
  return object{{operation_field, heartbeat_operation}, {time_field, message.sent_at}};
}

auto encode(const heartbeat_reply_message& message) -> value {
  return object{{operation_field, heartbeat_reply_operation}, {time_field, message.sent_at}};
}

auto decode_hello(const value& body) -> hello_message {
  return {.name = get_string_or(body, "me"), .answers_heartbeats = get_bool(body, "replies")};
}

auto decode_heartbeat(const value& body) -> heartbeat_message {
  return {.sent_at = get_value(body, time_field)};
}

auto decode_relay(const value& body) -> relay_message {
  return {.address = get_string(body, "to")};
}

auto decode_call_id(const value& call) -> call_id {
  return get_int_or(call, call_id_field, no_call_id);
}

auto decode_reply_id(const value& reply) -> call_id {
  return get_int_or(reply, reply_id_field, no_call_id);
}

auto set_call_id(value& body, call_id id) -> void {
  body.as_object()[call_id_field] = id;
}

auto encode_reply(call_id id, value result) -> value {
  return object{{reply_id_field, id}, {result_field, std::move(result)}};
}

auto encode_error_reply(call_id id, const request_error& error) -> value {
  return object{{reply_id_field, id}, {error_field, error.to_value()}};
}

auto decode_reply_result(const value& reply) -> value {
  const auto& error = get_value(reply, error_field);
  if (error.is_object())
    throw request_error::from_value(error);
  return get_value(reply, result_field);
}

}  // namespace reachridge
