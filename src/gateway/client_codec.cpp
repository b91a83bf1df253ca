#include "gateway/client_codec.hpp"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <string_view>
#include <utility>

namespace reachridge::client_api {
namespace {

constexpr auto operations = std::to_array<std::pair<std::string_view, operation>>({
    {"enrol", operation::enrol},
    {"publish", operation::publish},
    {"subscribe", operation::subscribe},
    {"unsubscribe", operation::unsubscribe},
    {"count", operation::count},
    {"beat", operation::heartbeat},
    {"bad", operation::unreadable},
});

auto malformed(const std::string& message) -> request_error {
  return {errc::malformed, message};
}

auto check_fields(const value& request, std::initializer_list<std::string_view> known) -> void {
  for (const auto& field : request.as_object()) {
    const auto is_field = [&](std::string_view name) {
      return field.key() == name;
    };
    if (std::none_of(known.begin(), known.end(), is_field))
      throw malformed("unknown field '" + std::string(field.key()) + "'");
  }
}

auto require_topic(const value& request) -> std::string {
  if (!get_value(request, "topic").is_string())
    throw malformed("topic is missing or not a string");
  return get_string(request, "topic");
}

auto require_sequence(const value& request) -> std::int64_t {
  if (!get_value(request, "seq").is_int64())
    throw malformed("seq is missing or not a whole number");
  return get_int(request, "seq");
}

auto require_string(const value& request, const std::string& field) -> std::string {
  if (!get_value(request, field).is_string())
    throw malformed(field + " is missing or not a string");
  return get_string(request, field);
}

auto set_unless_null(object& answer, std::string_view field, const value& content) -> void {
  if (!content.is_null())
    answer[field] = content;
}

// Adds the last fields of every answer to a publish request.
auto add_publish_answer_fields(object answer, const echoed_fields& echoed) -> object {
  answer["op"] = "verdict";
  answer["for"] = "publish";
  answer["topic"] = echoed.topic;
  answer["seq"] = echoed.sequence;
  set_unless_null(answer, "id", echoed.id);
  return answer;
}

// Adds the last fields of every answer to a count request.
auto add_count_answer_fields(object answer, const echoed_fields& echoed) -> object {
  answer["op"] = "verdict";
  answer["for"] = "count";
  set_unless_null(answer, "topic", echoed.topic);
  set_unless_null(answer, "id", echoed.id);
  return answer;
}

}  // namespace

auto operation_name(const value& request) -> std::string {
  if (!request.is_object())
    throw malformed("the line is not a JSON object");
  if (!get_value(request, "op").is_string())
    throw malformed("op is missing or not a string");
  return get_string(request, "op");
}

auto parse_operation(const std::string& name) -> operation {
  const auto* found = std::find_if(operations.begin(), operations.end(), [&](const auto& entry) {
    return entry.first == name;
  });
  return found == operations.end() ? operation::unknown : found->second;
}

auto check_heartbeat(const value& request) -> void {
  check_fields(request, {"op"});
}

auto decode_unreadable(const value& request) -> request_error {
  return {parse_errc(get_string_or(request, "code", "malformed")).value_or(errc::malformed),
          get_string_or(request, "why")};
}

auto decode_enrol(const value& request) -> enrol_request {
  check_fields(request, {"op", "name", "id"});
  return {get_string_or(request, "name")};
}

auto decode_publish(const value& request) -> publish_request {
  check_fields(request, {"op", "topic", "seq", "body", "id"});
  auto out = publish_request();
  out.topic = require_topic(request);
  out.sequence = require_sequence(request);
  out.body = require_string(request, "body");
  return out;
}

auto decode_subscribe(const value& request) -> subscribe_request {
  check_fields(request, {"op", "topic", "after", "cursor", "id"});
  auto out = subscribe_request();
  out.topic = require_topic(request);
  const auto& cursor = get_value(request, "cursor");
  if (!cursor.is_null() && !cursor.is_string())
    throw malformed("cursor must be a string");
  if (cursor.is_string())
    out.cursor = std::string(cursor.get_string());
  const auto& after = get_value(request, "after");
  if (after.is_null())
    return out;
  if (out.cursor)
    throw malformed("after and cursor must not be given together");
  if (!after.is_int64() || after.get_int64() < 0)
    throw malformed("after must be a position of at least 0");
  out.after = after.get_int64();
  return out;
}

auto decode_unsubscribe(const value& request) -> unsubscribe_request {
  check_fields(request, {"op", "topic", "id"});
  return {require_topic(request)};
}

auto decode_count(const value& request) -> count_request {
  check_fields(request, {"op", "topic", "id"});
  return {require_topic(request)};
}

auto decode_single_publish(const std::string& body) -> single_publish_request {
  auto parse_error = boost::json::error_code();
  const auto request = boost::json::parse(body, parse_error);
  if (parse_error || !request.is_object())
    throw malformed("the request body is not a JSON object");
  check_fields(request, {"name", "topic", "seq", "body"});
  auto out = single_publish_request();
  out.client = require_string(request, "name");
  out.message.topic = require_string(request, "topic");
  out.message.body = require_string(request, "body");
  out.message.sequence = require_sequence(request);
  return out;
}

auto decode_read(const std::map<std::string, std::string>& query) -> read_request {
  const auto parameter = [&](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  auto out = read_request();
  try {
    if (query.count("after"))
      out.after = std::stoll(query.at("after"));
  } catch (const std::exception&) {
    throw malformed("after must be a whole number");
  }
  out.client = parameter("name");
  out.topic = parameter("topic");
  return out;
}

auto decode_echoed_fields(const value& request) -> echoed_fields {
  return {get_value(request, "topic"), get_value(request, "seq"), get_value(request, "id")};
}

auto is_last_request(const value& request) -> bool {
  return get_bool(request, "last");
}

auto encode_enrolled(const std::string& client, const std::string& gateway) -> object {
  return object{{"op", "verdict"}, {"for", "enrol"}, {"verdict", "done"}, {"name", client}, {"node", gateway}};
}

auto encode_publish_result(const publish_result& result) -> object {
  auto answer = object{{"verdict", "acked"}, {"topic", result.topic}, {"seq", result.sequence}};
  if (result.position)
    answer["pos"] = *result.position;
  if (result.repeated)
    answer["repeat"] = true;
  return answer;
}

auto encode_published(const publish_result& result, const echoed_fields& echoed) -> object {
  return add_publish_answer_fields(encode_publish_result(result), echoed);
}

auto encode_publish_error(const request_error& error, const echoed_fields& echoed) -> object {
  return add_publish_answer_fields(error.to_value().as_object(), echoed);
}

auto encode_counted(std::int64_t count, const echoed_fields& echoed) -> object {
  return add_count_answer_fields(object{{"verdict", "done"}, {"count", count}}, echoed);
}

auto encode_count_error(const request_error& error, const echoed_fields& echoed) -> object {
  return add_count_answer_fields(error.to_value().as_object(), echoed);
}

auto encode_subscribed(const subscribe_result& result) -> object {
  auto answer = object{
      {"op", "verdict"}, {"for", "subscribe"}, {"verdict", "done"}, {"topic", result.topic}, {"pos", result.position}};
  if (result.cursor)
    answer["cursor"] = *result.cursor;
  return answer;
}

auto encode_unsubscribed(const std::string& topic) -> object {
  return object{{"op", "verdict"}, {"for", "unsubscribe"}, {"verdict", "done"}, {"topic", topic}};
}

auto encode_request_error(const request_error& error, const std::string& operation, const echoed_fields& echoed)
    -> object {
  auto answer = error.to_value().as_object();
  answer["op"] = "verdict";
  answer["for"] = operation;
  set_unless_null(answer, "topic", echoed.topic);
  set_unless_null(answer, "seq", echoed.sequence);
  set_unless_null(answer, "id", echoed.id);
  return answer;
}

auto encode_connection_error(const request_error& error) -> object {
  auto answer = error.to_value().as_object();
  answer["op"] = "verdict";
  answer["for"] = "link";
  return answer;
}

auto encode_delivery(const delivery& message) -> object {
  auto out =
      object{{"op", "deliver"},         {"topic", message.topic}, {"pos", message.position},   {"from", message.sender},
             {"seq", message.sequence}, {"body", message.body},   {"at", message.published_at}};
  if (message.cursor)
    out["cursor"] = *message.cursor;
  return out;
}

auto encode_subscription_ended(const subscription_ended& ended) -> object {
  return object{{"op", "ended"},
                {"for", "subscribe"},
                {"verdict", "refused"},
                {"code", to_string(ended.code)},
                {"why", "a newer configuration ended the subscription"},
                {"topic", ended.topic},
                {"pos", ended.position}};
}

auto encode_subscription_refused(const subscription_refused& refused) -> object {
  auto out = refused.error.to_value().as_object();
  out["op"] = refused.was_open ? "ended" : "verdict";
  out["for"] = "subscribe";
  out["topic"] = refused.topic;
  out["pos"] = refused.position ? value(*refused.position) : value();
  return out;
}

auto encode_redirect(const redirect& target) -> object {
  auto out = object{{"op", "return"}, {"retry_ms", target.retry_after_ms}};
  if (target.address)
    out["to"] = *target.address;
  return out;
}

auto encode_heartbeat() -> object {
  return object{{"op", "beat"}};
}

}  // namespace reachridge::client_api
