#include "local_cluster/consistency_checker.hpp"

#include <algorithm>
#include <map>
#include <set>

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
// Returns the names of all violated rules, each followed by a space, for a comma-separated list of events.
auto all_rules(const char* events) -> std::string {
  auto parsed_events = std::vector<value>();
  auto parsed = boost::json::parse(std::string("[") + events + "]");
  for (auto& event : parsed.as_array())
    parsed_events.push_back(event);
  auto rules = std::string();
  for (auto& broken : check_consistency(parsed_events))
    rules += broken.rule + " ";
  return rules;
}
// Returns the violated rules except 'serving': the short histories below leave publishes unanswered, and 'serving' has
// tests of its own.
auto rules_except_serving(const char* events) -> std::string {
  auto rules = all_rules(events);
  for (auto at = rules.find("serving "); at != std::string::npos; at = rules.find("serving "))
    rules.erase(at, 8);
  return rules;
}
#define SPACE R"({"e":"space","name":"a","keep_s":35},)"
#define SUBSCRIBED R"({"e":"subbed","t":1,"who":"w","topic":"a/x","pos":0},)"
#define TRY(s) R"({"e":"try","t":10,"who":"c","topic":"a/x","seq":)" s R"(,"body":"b)" s R"("},)"
#define ANSWER(s, v) R"({"e":"verdict","t":20,"who":"c","topic":"a/x","seq":)" s R"(,"verdict":")" v R"("},)"
#define RECEIVED(s, p) \
  R"({"e":"got","t":30,"who":"w","topic":"a/x","pos":)" p R"(,"from":"c","seq":)" s R"(,"body":"b)" s R"("},)"
#define END R"({"e":"end","t":90000,"quiet":1000})"
}  // namespace
// Each rule is tested with a history that violates it and a similar one that does not.
TEST_GROUP(consistency_rules){};
TEST(consistency_rules, valid_history_has_no_violation) {
  STRCMP_EQUAL("", rules_except_serving(SPACE SUBSCRIBED TRY("1") ANSWER("1", "acked") RECEIVED("1", "5") TRY("2")
                                            ANSWER("2", "unclear") RECEIVED("2", "6") END)
                       .c_str());
}
TEST(consistency_rules, duplicate_late_and_reordered_deliveries) {
  STRCMP_EQUAL("twice order ",
               rules_except_serving(SUBSCRIBED TRY("1") RECEIVED("1", "5") RECEIVED("1", "5") END).c_str());
  STRCMP_EQUAL("late ",
               rules_except_serving(SUBSCRIBED TRY("1") TRY("2") RECEIVED("2", "5") RECEIVED("1", "6") END).c_str());
  STRCMP_EQUAL("order ",
               rules_except_serving(SUBSCRIBED TRY("1") TRY("2") RECEIVED("1", "6") RECEIVED("2", "5") END).c_str());
  STRCMP_EQUAL(
      "order ",
      rules_except_serving(
          SUBSCRIBED R"({"e":"subbed","t":1,"who":"v","topic":"a/x","pos":0},)" TRY("1") TRY("2") RECEIVED(
              "1", "5") R"({"e":"got","t":30,"who":"v","topic":"a/x","pos":5,"from":"c","seq":2,"body":"b2"},)" END)
          .c_str());
}
TEST(consistency_rules, one_message_at_two_positions) {
  STRCMP_EQUAL(
      "repeat ",
      rules_except_serving(
          SUBSCRIBED R"({"e":"subbed","t":1,"who":"v","topic":"a/x","pos":0},)" TRY("1") RECEIVED(
              "1", "5") R"({"e":"got","t":30,"who":"v","topic":"a/x","pos":7,"from":"c","seq":1,"body":"b1"},)" END)
          .c_str());
}
TEST(consistency_rules, repeat_of_accepted_publish_is_acknowledged) {
  STRCMP_EQUAL("unrepeated ", rules_except_serving(SUBSCRIBED TRY("1") ANSWER("1", "acked") RECEIVED("1", "5") TRY("1")
                                                       ANSWER("1", "refused") END)
                                  .c_str());
  STRCMP_EQUAL(
      "", rules_except_serving(
              SUBSCRIBED TRY("1") ANSWER("1", "acked") RECEIVED("1", "5") TRY(
                  "1") R"({"e":"verdict","t":20,"who":"c","topic":"a/x","seq":1,"verdict":"refused","retry":100},)" END)
              .c_str());
}
TEST(consistency_rules, lost_applies_only_to_retained_messages) {
  STRCMP_EQUAL("lost ", rules_except_serving(SPACE SUBSCRIBED TRY("1") ANSWER("1", "acked") END).c_str());
  STRCMP_EQUAL("", rules_except_serving(SUBSCRIBED TRY("1") ANSWER("1", "acked") END).c_str());
  STRCMP_EQUAL(
      "", rules_except_serving(SPACE SUBSCRIBED TRY("1") ANSWER("1", "unclear") ANSWER("1", "refused") END).c_str());
}
TEST(consistency_rules, cannot_resume_requires_expired_messages) {
  STRCMP_EQUAL("resume ", rules_except_serving(
                              SPACE SUBSCRIBED TRY("1") ANSWER(
                                  "1", "acked") R"({"e":"gone","t":34000,"who":"w","topic":"a/x","after":0},)" END)
                              .c_str());
  STRCMP_EQUAL(
      "", rules_except_serving(SPACE SUBSCRIBED TRY("1") ANSWER(
                                   "1", "acked") R"({"e":"gone","t":36000,"who":"w","topic":"a/x","after":0},)" END)
              .c_str());
}
TEST(consistency_rules, refused_on_every_attempt_is_not_delivered) {
  STRCMP_EQUAL("refused ",
               rules_except_serving(SUBSCRIBED TRY("1") ANSWER("1", "refused") RECEIVED("1", "5") END).c_str());
  STRCMP_EQUAL(
      "", rules_except_serving(SUBSCRIBED TRY("1") ANSWER("1", "refused") TRY("1") RECEIVED("1", "5") END).c_str());
}
TEST(consistency_rules, unsent_altered_and_unrequested_deliveries) {
  STRCMP_EQUAL("unsent ", rules_except_serving(SUBSCRIBED RECEIVED("1", "5") END).c_str());
  STRCMP_EQUAL(
      "altered ",
      rules_except_serving(
          SUBSCRIBED TRY(
              "1") R"({"e":"got","t":30,"who":"w","topic":"a/x","pos":5,"from":"c","seq":1,"body":"else"},)" END)
          .c_str());
  STRCMP_EQUAL("unasked ", rules_except_serving(TRY("1") RECEIVED("1", "5") END).c_str());
}
TEST(consistency_rules, stale_and_backward_configurations) {
  STRCMP_EQUAL("stale ",
               rules_except_serving(
                   R"({"e":"held","t":100,"number":2},{"e":"probe","t":3300,"t0":3200,"node":"f","number":1},)" END)
                   .c_str());
  STRCMP_EQUAL("", rules_except_serving(
                       R"({"e":"held","t":100,"number":2},{"e":"probe","t":3100,"t0":3000,"node":"f","number":1},)" END)
                       .c_str());
  STRCMP_EQUAL(
      "drift ",
      rules_except_serving(
          R"({"e":"probe","t":100,"t0":90,"node":"f","number":2},{"e":"probe","t":400,"t0":390,"node":"f","number":1},)" END)
          .c_str());
}
TEST(consistency_rules, configuration_reads_behave_as_a_register) {
  STRCMP_EQUAL(
      "readback ",
      rules_except_serving(R"({"e":"put","t":1,"number":3},{"e":"newest","t":4,"t0":2,"number":2},)" END).c_str());
  STRCMP_EQUAL("readback ",
               rules_except_serving(
                   R"({"e":"put","t":1,"number":3,"sum":"x"},{"e":"newest","t":4,"t0":2,"number":3,"sum":"y"},)" END)
                   .c_str());
  // A read that began before the acknowledgement may return the older configuration; any read may return a newer one.
  STRCMP_EQUAL(
      "",
      rules_except_serving(
          R"({"e":"put","t":3,"number":3},{"e":"newest","t":4,"t0":2,"number":2},{"e":"newest","t":9,"t0":8,"number":4},)" END)
          .c_str());
}
TEST(consistency_rules, completed_drain_stays_completed) {
  STRCMP_EQUAL(
      "forgotten ",
      rules_except_serving(R"({"e":"left","t":1,"name":"c1"},{"e":"leaves","t":3,"t0":2,"names":[]},)" END).c_str());
  STRCMP_EQUAL(
      "",
      rules_except_serving(
          R"({"e":"left","t":3,"name":"c1"},{"e":"leaves","t":4,"t0":2,"names":[]},{"e":"leaves","t":6,"t0":5,"names":["c1"]},)" END)
          .c_str());
}
TEST(consistency_rules, requests_are_answered_after_the_last_fault) {
#define ASK R"({"e":"ask","t":10,"what":"charter 2"},)"
  STRCMP_EQUAL("serving ", all_rules(R"({"e":"hurt","t":1},)" ASK
                                     R"({"e":"mend","t":100},{"e":"told","t":12200,"what":"charter 2"},)" END)
                               .c_str());
  STRCMP_EQUAL("", all_rules(R"({"e":"hurt","t":1},)" ASK
                             R"({"e":"mend","t":100},{"e":"told","t":12050,"what":"charter 2"},)" END)
                       .c_str());
  STRCMP_EQUAL("", all_rules(R"({"e":"hurt","t":1},)" ASK
                             R"({"e":"told","t":50000,"what":"charter 2"},{"e":"mend","t":50100},)" END)
                       .c_str());
  // A request that is never answered is reported at the end of the run or at the next fault.
  STRCMP_EQUAL("serving ", all_rules(ASK END).c_str());
  STRCMP_EQUAL("serving ", all_rules(ASK R"({"e":"hurt","t":20000},)" END).c_str());
  STRCMP_EQUAL("serving ", all_rules(TRY("1") ANSWER("1", "unclear") END).c_str());
  STRCMP_EQUAL("serving ", all_rules(R"({"e":"sub","t":1,"who":"w","topic":"a/x","after":0},)" END).c_str());
  STRCMP_EQUAL("", all_rules(R"({"e":"sub","t":1,"who":"w","topic":"a/x","after":0},)" SUBSCRIBED END).c_str());
  STRCMP_EQUAL("serving ", all_rules(R"({"e":"seek","t":1,"who":"w"},)" END).c_str());
  STRCMP_EQUAL("", all_rules(R"({"e":"seek","t":1,"who":"w"},{"e":"linked","t":9,"who":"w"},)" END).c_str());
}
TEST(consistency_rules, budgets_apply_without_faults) {
#define BUDGET R"({"e":"budget","t":0,"space":"a","ms":1000},)" SUBSCRIBED
#define LATE_TRY R"({"e":"try","t":20000,"who":"c","topic":"a/x","seq":1,"body":"b1"},)"
#define LATE_ACK(t) R"({"e":"verdict","t":)" t R"(,"who":"c","topic":"a/x","seq":1,"verdict":"acked"},)"
#define LATE_RECEIVED(t) R"({"e":"got","t":)" t R"(,"who":"w","topic":"a/x","pos":5,"from":"c","seq":1,"body":"b1"},)"
  STRCMP_EQUAL("budget ", rules_except_serving(BUDGET LATE_TRY LATE_RECEIVED("20500") LATE_ACK("21100") END).c_str());
  STRCMP_EQUAL("budget ", rules_except_serving(BUDGET LATE_TRY LATE_ACK("20500") LATE_RECEIVED("21100") END).c_str());
  STRCMP_EQUAL("", rules_except_serving(BUDGET LATE_TRY LATE_ACK("20900") LATE_RECEIVED("20900") END).c_str());
  STRCMP_EQUAL("", rules_except_serving(BUDGET LATE_TRY R"({"e":"hurt","t":20100},)" LATE_RECEIVED("21100")
                                            LATE_ACK("21100") R"({"e":"mend","t":22000},)" END)
                       .c_str());
  STRCMP_EQUAL("", rules_except_serving(
                       BUDGET LATE_TRY
                       R"({"e":"seek","t":20100,"who":"w"},{"e":"linked","t":20200,"who":"w"},)" LATE_ACK("20500")
                           LATE_RECEIVED("21100") END)
                       .c_str());
}
