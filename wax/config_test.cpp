#include "wax/config.hpp"

#include <arpa/inet.h>
#include <boost/algorithm/string.hpp>
#include <boost/property_tree/info_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <functional>
#include <iostream>
#include <memory>
#include <popt.h>
#include <set>

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

TEST_GROUP(config_keys){};
TEST(config_keys, every_fault_is_named) {
  auto faults = std::vector<hive::fault>();
  hive::read_config("", {{"name", "a b"}, {"addr", "1.2.3:4"}, {"seeds", "127.0.0.1:1,127.0.0.1:1"},
                         {"beat_ms", "soon"}, {"shape", "round"}},
                    {}, faults);
  auto named = std::string();
  for (auto& f : faults) named += f.key + " ";
  STRCMP_EQUAL("name addr seeds beat_ms shape zone ", named.c_str());
}
TEST(config_keys, good_ones_are_taken) {
  auto faults = std::vector<hive::fault>();
  auto c = hive::read_config(
      "", {{"name", "q1"}, {"zone", "z1"}, {"addr", "127.0.0.1:71"}, {"lose_ms", "3000"},
           {"seeds", "127.0.0.1:71,127.0.0.1:72,127.0.0.1:73"}},
      {}, faults);
  CHECK(faults.empty());
  LONGS_EQUAL(3 * hive::sec, c.lose);
  LONGS_EQUAL(3, c.seeds.size());
}
