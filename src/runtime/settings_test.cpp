#include "runtime/settings.hpp"

#include <map>
#include <string>
#include <vector>

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(settings_tests){};

TEST(settings_tests, every_error_is_reported) {
  auto errors = std::vector<setting_error>();
  read_settings("",
                {{"name", "a b"},
                 {"addr", "1.2.3:4"},
                 {"seeds", "127.0.0.1:1,127.0.0.1:1"},
                 {"beat_ms", "soon"},
                 {"shape", "round"}},
                {}, errors);
  auto reported_keys = std::string();
  for (const auto& error : errors)
    reported_keys += error.key + " ";
  STRCMP_EQUAL("name addr seeds beat_ms shape zone ", reported_keys.c_str());
}

TEST(settings_tests, valid_values_are_assigned) {
  auto errors = std::vector<setting_error>();
  auto read = read_settings("",
                            {{"name", "q1"},
                             {"zone", "z1"},
                             {"addr", "127.0.0.1:71"},
                             {"lose_ms", "3000"},
                             {"seeds", "127.0.0.1:71,127.0.0.1:72,127.0.0.1:73"}},
                            {}, errors);
  CHECK(errors.empty());
  LONGS_EQUAL(3 * second, read.failure_timeout);
  LONGS_EQUAL(3, read.seeds.size());
}

// A deployment may have fewer than three seeds if fewer machines run control nodes.
TEST(settings_tests, there_are_one_to_three_different_seeds) {
  auto first_error_of = [](const std::string& seeds) {
    auto errors = std::vector<setting_error>();
    read_settings("", {{"name", "q1"}, {"zone", "z1"}, {"addr", "127.0.0.1:71"}, {"seeds", seeds}}, {}, errors);
    return errors.empty() ? std::string() : errors[0].key + ": " + errors[0].message;
  };
  STRCMP_EQUAL("", first_error_of("127.0.0.1:71").c_str());
  STRCMP_EQUAL("", first_error_of("127.0.0.1:71,127.0.0.1:72").c_str());
  STRCMP_EQUAL("", first_error_of("127.0.0.1:71,127.0.0.1:72,127.0.0.1:73").c_str());
  STRCMP_EQUAL("seeds: must have one to three addresses, has 0", first_error_of("").c_str());
  STRCMP_EQUAL("seeds: must have one to three addresses, has 4",
               first_error_of("127.0.0.1:71,127.0.0.1:72,127.0.0.1:73,127.0.0.1:74").c_str());
  STRCMP_EQUAL("seeds: contains an address more than once", first_error_of("127.0.0.1:71,127.0.0.1:71").c_str());
}

TEST(settings_tests, shutdown_and_client_limits_have_keys) {
  auto errors = std::vector<setting_error>();
  auto keys = std::map<std::string, std::string>{
      {"name", "f1"},       {"zone", "z1"},       {"addr", "127.0.0.1:71"}, {"seeds", "127.0.0.1:71"},
      {"drain_ms", "1500"}, {"grace_ms", "3000"}, {"presence_ms", "4000"},  {"keepalive_ms", "2000"},
      {"found", "no"}};
  auto read = read_settings("", keys, {}, errors);
  CHECK(errors.empty());
  LONGS_EQUAL(1500 * millisecond, read.drain_time);
  LONGS_EQUAL(3 * second, read.shutdown_timeout);
  LONGS_EQUAL(4 * second, read.subscriber_count_age);
  LONGS_EQUAL(2 * second, read.keepalive_interval);
  CHECK(!read.may_bootstrap);
  keys["drain_ms"] = "3001";
  read_settings("", keys, {}, errors);
  STRCMP_EQUAL("drain_ms", errors.at(0).key.c_str());
}

TEST(settings_tests, unchangeable_settings_are_reported) {
  auto running = settings();
  auto next = settings();
  next.zone = "z9";
  next.lag_limit = 5;
  next.seeds = {"127.0.0.1:1"};
  auto reported_keys = std::string();
  for (const auto& error : unchangeable_settings(running, next, false))
    reported_keys += error.key + " ";
  STRCMP_EQUAL("zone seeds ", reported_keys.c_str());
  LONGS_EQUAL(1, unchangeable_settings(running, next, true).size());
}
