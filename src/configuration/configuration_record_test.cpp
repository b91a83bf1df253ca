#include "configuration/configuration_record.hpp"

#include "runtime/request_error.hpp"

// Must be the last include: CppUTest redefines operator new.
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
TEST(configuration_records, a_stored_record_round_trips) {
  auto original = record(translated);
  auto decoded = reachridge::configuration_record::from_value(
      reachridge::decode_cbor(reachridge::encode_cbor(original->to_value())));
  LONGS_EQUAL(7, decoded->number);
  LONGS_EQUAL(5, decoded->after);
  LONGS_EQUAL(3, decoded->pools.at("p").partitions);
  LONGS_EQUAL(60000, decoded->pools.at("p").keep_ms);
  LONGS_EQUAL(2, decoded->pools.at("p").urgency);
  CHECK(boost::json::parse(decoded->body()) == boost::json::parse(translated));
  LONGS_EQUAL(9, decoded->compiled()->subscriptions);
  CHECK(decoded->same_content(*original));
}
TEST(configuration_records, the_text_of_an_operator_is_kept_unchanged) {
  auto body = std::string(" {\"spaces\" : [ ],\n \"number\":3}");
  STRCMP_EQUAL(body.c_str(), record(body)->body().c_str());
}
// Nodes that only need the pools do not compile the rules, and a gateway compiles them once.
TEST(configuration_records, rules_are_compiled_on_demand) {
  auto damaged = reachridge::configuration_record::from_received(record(translated)->head(), "no deflated text");
  LONGS_EQUAL(7, damaged->number);
  LONGS_EQUAL(3, damaged->pools.at("p").partitions);
  CHECK_THROWS(reachridge::decode_error, (void)damaged->compiled());
  auto whole = record(translated);
  auto pulled = reachridge::configuration_record::from_received(whole->head(), whole->deflated_rules());
  POINTERS_EQUAL(pulled->compiled().get(), pulled->compiled().get());
}
TEST(configuration_records, a_record_without_a_head_is_compiled_at_once) {
  auto pulled = reachridge::configuration_record::from_received(nullptr, record(translated)->deflated_rules());
  LONGS_EQUAL(7, pulled->number);
  LONGS_EQUAL(3, pulled->pools.at("p").partitions);
}
TEST(configuration_records, the_order_of_fields_does_not_change_the_content) {
  auto a = record(R"({"number":3,"spaces":[{"name":"a","keep_s":1}]})");
  CHECK(a->same_content(*record(R"({"spaces":[{"keep_s":1,"name":"a"}],"number":3})")));
  CHECK_FALSE(a->same_content(*record(R"({"spaces":[{"keep_s":2,"name":"a"}],"number":3})")));
  CHECK_FALSE(a->same_content(*record(R"({"spaces":[{"keep_s":1,"name":"a"}],"number":3,"origin":"x"})")));
}
TEST(configuration_records, a_malformed_record_is_rejected) {
  auto good = record(translated)->to_value();
  for (const auto* key : {"number", "pools", "rules"}) {
    auto bad = good;
    bad.as_object().erase(key);
    CHECK_THROWS(reachridge::decode_error, reachridge::configuration_record::from_value(bad));
  }
  auto truncated = good;
  auto rules = reachridge::get_string(good, "rules");
  truncated.as_object()["rules"] = rules.substr(0, rules.size() / 2);
  CHECK_THROWS(reachridge::decode_error, (void)reachridge::configuration_record::from_value(truncated)->body());
}
