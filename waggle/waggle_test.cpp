#include "waggle/waggle.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <cctype>
#include <set>
#include <sstream>

#include "wax/verdict.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
auto faults_of(const std::string& body) -> std::string {
  try {
    hive::compile(body);
    return "none";
  } catch (const hive::verdict& v) {
    return v.why;
  }
}
}  // namespace
TEST_GROUP(waggle_rules){};
TEST(waggle_rules, first_match_decides) {
  auto c = hive::compile(R"({"number":1,"spaces":[{"name":"a","keep_s":35},{"name":"b","keep_s":0}],
    "rules":["deny publish on a/secret/* for guest-*","route old/* to b/*","allow publish, subscribe on a/*","allow publish on b/* under 10"]})");
  CHECK(c->judge(hive::act::publish, "k", "a/secret/1", 1).ok);
  CHECK_FALSE(c->judge(hive::act::publish, "guest-1", "a/secret/1", 1).ok);
  CHECK(c->judge(hive::act::subscribe, "guest-1", "a/secret/1", 1).ok);
  CHECK_FALSE(c->judge(hive::act::read, "k", "a/x", 1).ok);
  auto r = c->judge(hive::act::publish, "k", "old/x", 9);
  CHECK(r.ok);
  STRCMP_EQUAL("b/x", r.topic.c_str());
  CHECK_FALSE(c->judge(hive::act::publish, "k", "old/x", 10).ok);
}
TEST(waggle_rules, faults_name_place_and_reason) {
  STRCMP_EQUAL("none", faults_of(R"({"number":1,"spaces":[]})").c_str());
  STRCMP_CONTAINS("number: is repeated", faults_of(R"({"number":1,"number":2,"spaces":[]})").c_str());
  STRCMP_CONTAINS("shape: is no key", faults_of(R"({"number":1,"shape":2,"spaces":[]})").c_str());
  STRCMP_CONTAINS("number: wants a whole number", faults_of(R"({"number":"1","spaces":[]})").c_str());
  STRCMP_CONTAINS("spaces[0].keep_s: 9999999 is outside", faults_of(R"({"number":1,"spaces":[{"name":"a","keep_s":9999999}]})").c_str());
  STRCMP_CONTAINS("rules[0]: column 7: 'shout' is no act", faults_of(R"({"number":1,"spaces":[],"rules":["allow shout on *"]})").c_str());
  STRCMP_CONTAINS("no space 'c'", faults_of(R"({"number":1,"spaces":[],"rules":["route a/* to c/*"]})").c_str());
  STRCMP_CONTAINS("line 1", faults_of("{").c_str());
}
