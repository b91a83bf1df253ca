#include "gateway/client_codec.hpp"

// Must be the last include because the header redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
using namespace reachridge::client_api;

// Returns the code and text of the error that decoding throws, or an empty string if decoding succeeds.
template <class Decode>
auto error_of(Decode decode, const char* json) -> std::string {
  try {
    decode(boost::json::parse(json));
    return {};
  } catch (const request_error& error) {
    return error.code_text() + ": " + error.message;
  }
}

auto check_json(const char* expected, const object& encoded) -> void {
  STRCMP_EQUAL(expected, to_json(encoded).c_str());
}
}  // namespace

TEST_GROUP(client_codec){};

TEST(client_codec, requests_decode_with_all_fields) {
  const auto published =
      decode_publish(boost::json::parse(R"({"op":"publish","topic":"a/x","seq":7,"body":"text","id":1})"));
  STRCMP_EQUAL("a/x", published.topic.c_str());
  LONGS_EQUAL(7, published.sequence);
  STRCMP_EQUAL("text", published.body.c_str());
  const auto after = decode_subscribe(boost::json::parse(R"({"op":"subscribe","topic":"a/x","after":0})"));
  CHECK(after.after == std::int64_t{0} && !after.cursor);
  const auto cursor = decode_subscribe(boost::json::parse(R"({"op":"subscribe","topic":"a/x","cursor":"1.z"})"));
  CHECK(cursor.cursor == std::string("1.z") && !cursor.after);
  CHECK(parse_operation("beat") == operation::heartbeat);
  CHECK(parse_operation("dance") == operation::unknown);
}

TEST(client_codec, decode_errors_name_the_invalid_field) {
  STRCMP_EQUAL("malformed: the line is not a JSON object", error_of(operation_name, "[]").c_str());
  STRCMP_EQUAL("malformed: op is missing or not a string", error_of(operation_name, R"({"op":1})").c_str());
  STRCMP_EQUAL("malformed: unknown field 'colour'", error_of(decode_count, R"({"topic":"a","colour":1})").c_str());
  STRCMP_EQUAL("malformed: topic is missing or not a string", error_of(decode_unsubscribe, R"({"topic":2})").c_str());
  STRCMP_EQUAL("malformed: seq is missing or not a whole number",
               error_of(decode_publish, R"({"topic":"a","seq":"1","body":"b"})").c_str());
  STRCMP_EQUAL("malformed: body is missing or not a string",
               error_of(decode_publish, R"({"topic":"a","seq":1})").c_str());
  STRCMP_EQUAL("malformed: cursor must be a string",
               error_of(decode_subscribe, R"({"topic":"a","cursor":1,"after":1})").c_str());
  STRCMP_EQUAL("malformed: after and cursor must not be given together",
               error_of(decode_subscribe, R"({"topic":"a","cursor":"1.z","after":-1})").c_str());
  STRCMP_EQUAL("malformed: after must be a position of at least 0",
               error_of(decode_subscribe, R"({"topic":"a","after":-1})").c_str());
}

TEST(client_codec, answers_have_the_documented_fields_in_order) {
  const auto echoed = echoed_fields{"a/x", 7, "mine"};
  const auto failed = request_error(errc::busy, "later", execution_outcome::not_executed, 40);
  check_json(
      R"({"verdict":"acked","topic":"a/x","seq":7,"pos":3,"repeat":true,"op":"verdict","for":"publish","id":"mine"})",
      encode_published({"a/x", 7, 3, true}, echoed));
  check_json(R"({"verdict":"acked","topic":"a/x","seq":7,"op":"verdict","for":"publish"})",
             encode_published({"a/x", 7, {}, false}, {"a/x", 7, {}}));
  check_json(
      R"({"verdict":"refused","code":"busy","why":"later","retry_ms":40,"op":"verdict","for":"publish","topic":"a/x","seq":7,"id":"mine"})",
      encode_publish_error(failed, echoed));
  check_json(R"({"verdict":"done","count":2,"op":"verdict","for":"count","topic":"a/x","id":"mine"})",
             encode_counted(2, echoed));
  check_json(R"({"verdict":"refused","code":"busy","why":"later","retry_ms":40,"op":"verdict","for":"odd","seq":true})",
             encode_request_error(failed, "odd", {{}, true, {}}));
  check_json(R"({"op":"verdict","for":"subscribe","verdict":"done","topic":"a/x","pos":4,"cursor":"4.z"})",
             encode_subscribed({"a/x", 4, "4.z"}));
  check_json(R"({"op":"deliver","topic":"a/x","pos":4,"from":"me","seq":7,"body":"text","at":99})",
             encode_delivery({"a/x", 4, "me", 7, "text", 99, {}}));
  check_json(
      R"({"op":"ended","for":"subscribe","verdict":"refused","code":"gone","why":"a newer configuration ended the subscription","topic":"a/x","pos":4})",
      encode_subscription_ended({"a/x", errc::position_expired, 4}));
  check_json(
      R"({"verdict":"refused","code":"gone","why":"expired","op":"verdict","for":"subscribe","topic":"a/x","pos":4})",
      encode_subscription_refused({request_error(errc::position_expired, "expired"), "a/x", 4, false}));
  check_json(R"({"op":"return","retry_ms":40,"to":"10.0.0.1:80"})", encode_redirect({40, "10.0.0.1:80"}));
  check_json(R"({"op":"return","retry_ms":40})", encode_redirect({40, {}}));
  check_json(R"({"op":"beat"})", encode_heartbeat());
}
