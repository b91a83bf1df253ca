#include "configuration/configuration_record.hpp"

#include "runtime/request_error.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
auto record(const std::string& body) -> reachridge::configuration_ptr {
  return reachridge::configuration_record::from_compiled(reachridge::compile_configuration(body));
}
const auto translated = std::string(
    R"({"number":7,"after":5,"origin":"the \"text\"","spaces":[{"name":"a","keep_s":35,"pool":"p","cells":3,"urgency":2},
        {"name":"b","keep_s":60,"pool":"p","cells":3}],"subscriptions":9})");
}  // namespace
TEST_GROUP(configuration_records){};
TEST(configuration_records, what_is_stored_comes_back) {
  auto first = record(translated);
  auto again =
      reachridge::configuration_record::from_value(reachridge::decode_cbor(reachridge::encode_cbor(first->to_value())));
  LONGS_EQUAL(7, again->number);
  LONGS_EQUAL(5, again->after);
  LONGS_EQUAL(3, again->pools.at("p").partitions);
  LONGS_EQUAL(60000, again->pools.at("p").keep_ms);
  LONGS_EQUAL(2, again->pools.at("p").urgency);
  CHECK(boost::json::parse(again->body()) == boost::json::parse(translated));
  LONGS_EQUAL(9, again->compiled()->subscriptions);
  CHECK(again->same_content(*first));
}
TEST(configuration_records, the_text_of_an_operator_is_kept_as_it_came) {
  auto body = std::string(" {\"spaces\" : [ ],\n \"number\":3}");
  STRCMP_EQUAL(body.c_str(), record(body)->body().c_str());
}
// A node that needs the pools alone compiles nothing, and a gateway only once.
TEST(configuration_records, rules_are_compiled_where_they_are_asked_for) {
  auto damaged = reachridge::configuration_record::from_received(record(translated)->head(), "no deflated text");
  LONGS_EQUAL(7, damaged->number);
  LONGS_EQUAL(3, damaged->pools.at("p").partitions);
  CHECK_THROWS(reachridge::decode_error, (void)damaged->compiled());
  auto whole = record(translated);
  auto pulled = reachridge::configuration_record::from_received(whole->head(), whole->rules());
  POINTERS_EQUAL(pulled->compiled().get(), pulled->compiled().get());
}
TEST(configuration_records, an_earlier_release_sends_no_head) {
  auto pulled = reachridge::configuration_record::from_received(nullptr, record(translated)->rules());
  LONGS_EQUAL(7, pulled->number);
  LONGS_EQUAL(3, pulled->pools.at("p").partitions);
}
TEST(configuration_records, the_same_in_another_order_is_the_same) {
  auto a = record(R"({"number":3,"spaces":[{"name":"a","keep_s":1}]})");
  CHECK(a->same_content(*record(R"({"spaces":[{"keep_s":1,"name":"a"}],"number":3})")));
  CHECK_FALSE(a->same_content(*record(R"({"spaces":[{"keep_s":2,"name":"a"}],"number":3})")));
  CHECK_FALSE(a->same_content(*record(R"({"spaces":[{"keep_s":1,"name":"a"}],"number":3,"origin":"x"})")));
}
TEST(configuration_records, what_is_no_record_is_refused) {
  auto good = record(translated)->to_value();
  for (const auto* key : {"number", "pools", "rules"}) {
    auto bad = good;
    bad.as_object().erase(key);
    CHECK_THROWS(reachridge::decode_error, reachridge::configuration_record::from_value(bad));
  }
  auto torn = good;
  auto rules = reachridge::get_string(good, "rules");
  torn.as_object()["rules"] = rules.substr(0, rules.size() / 2);
  CHECK_THROWS(reachridge::decode_error, (void)reachridge::configuration_record::from_value(torn)->body());
}
