#include "storage/client_requests.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto check_json(const char* text, const value& encoded) -> void {
  STRCMP_EQUAL(text, to_json(encoded).c_str());
}

}  // namespace

TEST_GROUP(client_requests){};

TEST(client_requests, an_operation_is_a_call_or_a_notification) {
  CHECK(parse_client_call("pub") == client_operation::publish);
  CHECK(parse_client_call("read") == client_operation::read);
  CHECK(parse_client_call("count") == client_operation::count);
  CHECK(parse_client_notification("sub") == client_operation::subscribe);
  CHECK(parse_client_notification("end") == client_operation::close_subscription);
  CHECK_FALSE(parse_client_call("sub").has_value());
  CHECK_FALSE(parse_client_notification("pub").has_value());
  CHECK_FALSE(parse_client_call("").has_value());
}

TEST(client_requests, a_publish_request_is_decoded) {
  auto encoded =
      object{{"op", "pub"}, {"cell", "a/1"}, {"t", "a/x"}, {"d", "c"}, {"s", 5}, {"b", "hello"}, {"keep", 20}};
  STRCMP_EQUAL("a/1", partition_of_request(encoded).c_str());
  auto request = decode_publish_request(encoded);
  STRCMP_EQUAL("a/x", request.topic.c_str());
  STRCMP_EQUAL("c", request.sender.c_str());
  LONGS_EQUAL(5, request.sequence);
  STRCMP_EQUAL("hello", request.body.c_str());
  LONGS_EQUAL(20, request.retention_ms.value());
  encoded.erase("keep");
  CHECK_FALSE(decode_publish_request(encoded).retention_ms.has_value());
  encoded.erase("s");
  CHECK_THROWS(decode_error, decode_publish_request(encoded));
}

TEST(client_requests, a_subscribe_request_of_the_first_release_has_no_opening) {
  auto encoded = object{{"op", "sub"}, {"cell", "a/1"}, {"i", "s"}, {"t", "a/x"}, {"d", "w"}, {"a", 7}, {"n", 3}};
  auto request = decode_subscribe_request(encoded);
  STRCMP_EQUAL("s", request.subscription_id.c_str());
  STRCMP_EQUAL("a/x", request.topic.c_str());
  STRCMP_EQUAL("w", request.subscriber.c_str());
  LONGS_EQUAL(7, request.after);
  LONGS_EQUAL(3, request.opening);
  encoded.erase("n");
  LONGS_EQUAL(0, decode_subscribe_request(encoded).opening);
}

TEST(client_requests, the_format_of_replies_is_stable) {
  check_json(R"({"pos":7})", encode(client_reply(publish_reply{7})));
  check_json(R"({"repeat":true})", encode(client_reply(publish_reply{})));
  check_json(R"({"count":2})", encode(client_reply(count_reply{2})));
  check_json(R"({"rows":[{"pos":7,"from":"c","seq":5,"body":"hello","at":17}],"expired":false,"pos":9})",
             encode(client_reply(read_reply{{{7, "c", 5, "hello", 17}}, false, 9})));
}

TEST(client_requests, the_format_of_notifications_to_gateways_is_stable) {
  check_json(R"({"op":"subbed","i":"s","n":3,"ok":true,"pos":7,"code":"ok"})",
             encode(subscribe_reply{"s", 3, subscribe_result::ok, 7}));
  check_json(R"({"op":"subbed","i":"s","n":3,"ok":false,"pos":7,"code":"gone"})",
             encode(subscribe_reply{"s", 3, subscribe_result::expired, 7}));
  check_json(R"({"op":"subbed","i":"s","n":3,"ok":false,"code":"not_here","pos":0})",
             encode(subscribe_reply{"s", 3, subscribe_result::not_led_here, 0}));
  check_json(R"({"op":"subbed","i":"s","n":3,"ok":false,"code":"ahead","pos":7})",
             encode(subscribe_reply{"s", 3, subscribe_result::ahead_of_log, 7}));
  check_json(R"({"op":"got","i":["s","r"],"t":"a/x","pos":7,"d":"c","s":5,"b":"hello","w":17})",
             encode(delivery_notification{{"s", "r"}, "a/x", 7, "c", 5, "hello", 17}));
}
