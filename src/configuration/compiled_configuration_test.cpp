#include "configuration/compiled_configuration.hpp"

#include "runtime/request_error.hpp"

// Must be the last include: CppUTest redefines operator new.
#include <CppUTest/TestHarness.h>

namespace {
// Returns the message that lists all errors of a configuration, or "none".
auto errors_of(const std::string& body) -> std::string {
  try {
    reachridge::compile_configuration(body);
    return "none";
  } catch (const reachridge::request_error& error) {
    return error.message;
  }
}
}  // namespace
TEST_GROUP(configuration_rules){};

TEST(configuration_rules, the_first_matching_rule_decides) {
  auto configuration =
      reachridge::compile_configuration(R"({"number":1,"spaces":[{"name":"a","keep_s":35},{"name":"b","keep_s":0}],
    "rules":["deny publish on a/secret/* for guest-*","route old/* to b/*","allow publish, subscribe on a/*","allow publish on b/* under 10"]})");
  CHECK(configuration->decide(reachridge::action::publish, "k", "a/secret/1", 1).allowed);
  CHECK_FALSE(configuration->decide(reachridge::action::publish, "guest-1", "a/secret/1", 1).allowed);
  CHECK(configuration->decide(reachridge::action::subscribe, "guest-1", "a/secret/1", 1).allowed);
  CHECK_FALSE(configuration->decide(reachridge::action::read, "k", "a/x", 1).allowed);
  auto routed = configuration->decide(reachridge::action::publish, "k", "old/x", 9);
  CHECK(routed.allowed);
  STRCMP_EQUAL("b/x", routed.topic.c_str());
  CHECK_FALSE(configuration->decide(reachridge::action::publish, "k", "old/x", 10).allowed);
}

TEST(configuration_rules, errors_name_the_place_and_the_reason) {
  STRCMP_EQUAL("none", errors_of(R"({"number":1,"spaces":[]})").c_str());
  STRCMP_CONTAINS("number: is a repeated key", errors_of(R"({"number":1,"number":2,"spaces":[]})").c_str());
  STRCMP_CONTAINS("shape: is an unknown key", errors_of(R"({"number":1,"shape":2,"spaces":[]})").c_str());
  STRCMP_CONTAINS("number: must be an integer", errors_of(R"({"number":"1","spaces":[]})").c_str());
  STRCMP_CONTAINS("spaces[0].keep_s: 9999999 is outside",
                  errors_of(R"({"number":1,"spaces":[{"name":"a","keep_s":9999999}]})").c_str());
  STRCMP_CONTAINS("rules[0]: column 7: 'shout' is not a valid action",
                  errors_of(R"({"number":1,"spaces":[],"rules":["allow shout on *"]})").c_str());
  STRCMP_CONTAINS("no space 'c'", errors_of(R"({"number":1,"spaces":[],"rules":["route a/* to c/*"]})").c_str());
  STRCMP_CONTAINS("line 1", errors_of("{").c_str());
}

TEST_GROUP(configuration_spaces){};

TEST(configuration_spaces, a_topic_belongs_to_the_space_with_the_longest_prefix) {
  auto configuration = reachridge::compile_configuration(
      R"({"number":1,"spaces":[{"name":"a","prefix":"kafi810.","pool":"kept","keep_ms":35000,"cells":8},
      {"name":"b","prefix":"kafi810.2","pool":"live","keep_ms":0,"cells":2},{"name":"c","prefix":"k","pool":"kept","keep_ms":1500,"cells":8,"urgency":3},
      {"name":"d","keep_s":2}]})");
  STRCMP_EQUAL("a", configuration->space_of("kafi810.1f")->name.c_str());
  STRCMP_EQUAL("b", configuration->space_of("kafi810.2f")->name.c_str());
  STRCMP_EQUAL("b", configuration->space_of("kafi810.2")->name.c_str());
  STRCMP_EQUAL("c", configuration->space_of("kafi810")->name.c_str());
  STRCMP_EQUAL("d", configuration->space_of("d/x")->name.c_str());
  CHECK(configuration->space_of("d") == nullptr);
  CHECK(configuration->space_of("") == nullptr);
  LONGS_EQUAL(8, configuration->pools.at("kept").partitions);
  LONGS_EQUAL(35000, configuration->pools.at("kept").keep_ms);
  LONGS_EQUAL(3, configuration->pools.at("kept").urgency);
  LONGS_EQUAL(0, configuration->pools.at("live").keep_ms);
  // The partition of a topic is the same for all spaces of a pool.
  STRCMP_EQUAL(reachridge::partition_of(configuration->spaces.at("a"), "kafi810.1f").c_str(),
               reachridge::partition_of(configuration->spaces.at("c"), "kafi810.1f").c_str());
}

TEST(configuration_spaces, errors_in_spaces_name_the_field) {
  auto with = [](const std::string& more) {
    return errors_of(R"({"number":1,"spaces":[{"name":"a","keep_s":1},)" + more + "]}");
  };
  STRCMP_EQUAL("none", with(R"({"name":"b","keep_s":1})").c_str());
  STRCMP_CONTAINS("spaces[1].prefix: 'a/' is already the prefix of another",
                  with(R"({"name":"b","keep_s":1,"prefix":"a/"})").c_str());
  STRCMP_CONTAINS("spaces[1].prefix: must be 1 to 200", with(R"({"name":"b","keep_s":1,"prefix":"a b"})").c_str());
  STRCMP_CONTAINS("spaces[1].prefix: must be a string", with(R"({"name":"b","keep_s":1,"prefix":3})").c_str());
  STRCMP_CONTAINS("spaces[1].cells: pool 'a' has 4", with(R"({"name":"b","keep_s":1,"pool":"a","cells":3})").c_str());
  STRCMP_CONTAINS("spaces[1].keep_ms: cannot be combined", with(R"({"name":"b","keep_s":1,"keep_ms":3})").c_str());
  STRCMP_CONTAINS("spaces[1].keep_s: is missing", with(R"({"name":"b"})").c_str());
  STRCMP_CONTAINS("spaces[1].order: 'odd'", with(R"({"name":"b","keep_s":1,"order":"odd"})").c_str());
  STRCMP_CONTAINS("spaces[1].timeout_ms: -1 is outside", with(R"({"name":"b","keep_s":1,"timeout_ms":-1})").c_str());
  STRCMP_CONTAINS("origin: must be a string", errors_of(R"({"number":1,"spaces":[],"origin":1})").c_str());
  STRCMP_CONTAINS("subscriptions: 0 is outside", errors_of(R"({"number":1,"spaces":[],"subscriptions":0})").c_str());
}

// For a repeated "spaces" key the compiler reads the last list, while Boost.PropertyTree finds the first one, which
// may be shorter. The compiler must not read beyond its end.
TEST(configuration_spaces, a_repeated_list_of_spaces_of_any_length_is_an_error) {
  const auto spaces = std::string(R"([{"name":"a","keep_s":1},{"name":"b","keep_s":1}])");
  for (const auto& first : {std::string("[]"), std::string("3"), std::string(R"([{"name":"a","keep_s":1}])"), spaces})
    STRCMP_EQUAL("spaces: is a repeated key",
                 errors_of(R"({"number":1,"spaces":)" + first + R"(,"spaces":)" + spaces + "}").c_str());
}
