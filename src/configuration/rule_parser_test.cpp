#include "configuration/rule_parser.hpp"

// Must be the last include: CppUTest redefines operator new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

auto error_of(const std::string& rule) -> std::string {
  auto program = std::vector<rule_step>();
  try {
    append_rule(rule, program);
    return "none";
  } catch (const rule_syntax_error& error) {
    return error.what();
  }
}
}  // namespace

TEST_GROUP(rule_parser_tests){};

TEST(rule_parser_tests, an_error_names_its_column) {
  STRCMP_EQUAL("none", error_of("allow publish,read on a/* for me under 12").c_str());
  STRCMP_EQUAL("column 1: rule ends where 'allow', 'deny' or 'route' is expected", error_of("").c_str());
  STRCMP_EQUAL("column 1: 'permit' is not a valid keyword, expected 'allow', 'deny' or 'route'",
               error_of("permit all").c_str());
  STRCMP_EQUAL("column 14: rule ends where an action is expected", error_of("allow publish,").c_str());
  STRCMP_EQUAL("column 11: 'at' found where 'on' is expected", error_of("allow all at *").c_str());
  STRCMP_EQUAL("column 14: 'a?' is not a valid pattern", error_of("allow all on a?").c_str());
  STRCMP_EQUAL("column 22: '12345678' is not a valid number of bytes",
               error_of("allow all on * under 12345678").c_str());
  STRCMP_EQUAL("column 16: 'now' is unexpected after the end of the rule", error_of("allow all on * now").c_str());
  STRCMP_EQUAL("column 14: a route needs a '*' at the end of both patterns or in neither",
               error_of("route a/* to b").c_str());
}

TEST(rule_parser_tests, a_failed_test_jumps_to_the_step_after_its_rule) {
  auto program = std::vector<rule_step>();
  append_rule("route a/* to b/*", program);
  append_rule("deny read on b/* for me under 10", program);
  LONGS_EQUAL(6, program.size());
  LONGS_EQUAL(1, program[0].next_on_mismatch);
  for (auto i = 1U; i < 5; ++i)
    LONGS_EQUAL(6, program[i].next_on_mismatch);
  CHECK(program[5].kind == rule_step::kind::deny);
}
