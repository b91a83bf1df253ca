#include "gateway/storage_messages.hpp"

// Must be the last include because the header redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
using namespace reachridge::storage_api;
}  // namespace

TEST_GROUP(gateway_storage_codec){};

TEST(gateway_storage_codec, messages_have_the_documented_fields_in_order) {
  STRCMP_EQUAL(R"({"op":"pub","cell":"p/1","t":"a/x","d":"me","s":7,"b":"text","keep":35})",
               to_json(encode(publish_request{"p/1", "a/x", "me", 7, "text", 35})).c_str());
  STRCMP_EQUAL(R"({"op":"count","cell":"p/1","t":"a/x"})", to_json(encode(count_request{"p/1", "a/x"})).c_str());
  STRCMP_EQUAL(R"({"op":"read","cell":"p/1","t":"a/x","a":-1})",
               to_json(encode(read_request{"p/1", "a/x", -1})).c_str());
  STRCMP_EQUAL(R"({"op":"sub","cell":"p/1","i":"g:1","t":"a/x","d":"me","a":4,"n":2})",
               to_json(encode(subscribe_message{"p/1", "g:1", "a/x", "me", 4, 2})).c_str());
  STRCMP_EQUAL(R"({"op":"end","cell":"p/1","i":"g:1"})", to_json(encode(unsubscribe_message{"p/1", "g:1"})).c_str());
}

TEST(gateway_storage_codec, a_subscribe_reply_of_an_earlier_release_has_no_opening_number) {
  const auto reply = decode_subscribe_reply(boost::json::parse(R"({"op":"subbed","i":"g:1","ok":true,"pos":4})"));
  CHECK(reply.accepted && !reply.opening);
  CHECK(reply.position == std::int64_t{4});
}

TEST(gateway_storage_codec, a_refused_subscription_has_an_error_code) {
  const auto refused = [](const char* code) {
    return decode_subscribe_reply(object{{"i", "g:1"}, {"n", 2}, {"ok", false}, {"code", code}, {"pos", 4}});
  };
  CHECK(refused("not_here").code == errc::not_primary);
  CHECK(refused("gone").code == errc::position_expired);
  CHECK(refused("ahead").code == errc::position_unknown);
  CHECK(refused("of a later release").code == errc::position_unknown);
  CHECK(refused("gone").opening == std::int64_t{2});
}

TEST(gateway_storage_codec, a_missing_field_is_an_error) {
  CHECK_THROWS(decode_error, decode_subscribe_reply(boost::json::parse(R"({"i":"g:1","ok":true})")));
  CHECK_THROWS(decode_error, decode_subscribe_reply(boost::json::parse(R"({"i":"g:1","ok":false,"pos":1})")));
  CHECK_THROWS(decode_error, decode_delivery(boost::json::parse(R"({"i":["g:1"]})")));
  CHECK_THROWS(decode_error, decode_partition_moved(boost::json::parse(R"({"op":"moved"})")));
  CHECK_THROWS(decode_error, decode_count_reply(boost::json::parse("{}")));
}
