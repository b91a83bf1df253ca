#include "rpc/frame.hpp"

#include <string>

#include "rpc/messages.hpp"

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// Returns the JSON of a message, which shows the fields and their order.
template <class Message>
auto fields_of(const Message& message) -> std::string {
  return to_json(encode(message));
}
}  // namespace

TEST_GROUP(rpc_messages){};

// Guards against a change of the encoding: processes of different releases exchange these messages.
TEST(rpc_messages, encode_the_fields_that_all_releases_use) {
  STRCMP_EQUAL(R"({"op":"hello","me":"comb-1","replies":true})", fields_of(hello_message{"comb-1", true}).c_str());
  STRCMP_EQUAL(R"({"op":"relay","to":"10.0.0.1:7000"})", fields_of(relay_message{"10.0.0.1:7000"}).c_str());
  STRCMP_EQUAL(R"({"op":"beat","n":12})", fields_of(heartbeat_message{12}).c_str());
  STRCMP_EQUAL(R"({"op":"beaten","n":12})", fields_of(heartbeat_reply_message{12}).c_str());
  STRCMP_EQUAL(R"({"r":3,"v":{"x":1}})", to_json(encode_reply(3, object{{"x", 1}})).c_str());
  STRCMP_EQUAL(
      R"({"r":3,"e":{"verdict":"refused","code":"busy","why":"later","retry_ms":5}})",
      to_json(encode_error_reply(3, request_error(errc::busy, "later", execution_outcome::not_executed, 5))).c_str());
}

TEST(rpc_messages, a_frame_is_a_length_and_a_cbor_map) {
  auto expected = std::string("\x09\0\0\0\xa2\x62op\x64", 9) + "beat" + std::string("\x61n\x0c", 3);
  expected[0] = static_cast<char>(expected.size() - 4);
  auto frame = encode_frame(encode(heartbeat_message{12}));
  CHECK(expected == frame);
  auto offset = std::size_t{0};
  auto body = decode_frame(frame, offset);
  CHECK(body.has_value());
  LONGS_EQUAL(frame.size(), offset);
  CHECK(kind_of_request(*body) == request_kind::heartbeat);
}

TEST(rpc_messages, an_incomplete_frame_is_not_decoded) {
  auto frame = encode_frame(object{{"op", "x"}});
  for (auto size = std::size_t{0}; size < frame.size(); ++size) {
    auto part = frame.substr(0, size);
    auto offset = std::size_t{0};
    CHECK_FALSE(decode_frame(part, offset).has_value());
    LONGS_EQUAL(0, offset);
  }
}

// The accepting and the calling side classify frames by different fields. On the accepting side, the operation `hello`
// takes precedence over a call id.
TEST(rpc_messages, frames_are_classified_by_the_receiving_side) {
  CHECK(kind_of_request(object{{"op", "hello"}, {"q", 1}}) == request_kind::hello);
  CHECK(kind_of_request(object{{"op", "beaten"}}) == request_kind::heartbeat_reply);
  CHECK(kind_of_request(object{{"op", "x"}, {"q", 0}}) == request_kind::call);
  CHECK(kind_of_request(object{{"op", "x"}, {"q", -1}}) == request_kind::notification);
  CHECK(kind_of_reply(object{{"r", 0}, {"op", "beat"}}) == reply_kind::reply);
  CHECK(kind_of_reply(object{{"op", "beat"}}) == reply_kind::heartbeat);
  CHECK(kind_of_reply(object{{"op", "hello"}}) == reply_kind::notification);
}

TEST(rpc_messages, the_reply_to_a_heartbeat_without_a_time_has_no_time) {
  auto heartbeat = decode_heartbeat(object{{"op", "beat"}});
  STRCMP_EQUAL(R"({"op":"beaten","n":null})", fields_of(heartbeat_reply_message{heartbeat.sent_at}).c_str());
}

TEST(rpc_messages, an_error_in_a_reply_is_thrown) {
  auto reply = encode_error_reply(3, request_error(errc::busy, "later"));
  CHECK_THROWS(request_error, (void)decode_reply_result(reply));
  LONGS_EQUAL(1, get_int(decode_reply_result(encode_reply(3, object{{"x", 1}})), "x"));
}
