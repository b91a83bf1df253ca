#include "storage/log_entry.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

// Checks that the entry encodes to this text, and that the decoded entry encodes to the same text again.
auto check_format(const char* text, const log_entry& entry) -> void {
  auto payload = encode(entry);
  STRCMP_EQUAL(text, to_json(payload).c_str());
  auto decoded = decode_log_entry(payload);
  LONGS_EQUAL(entry.index(), decoded.index());
  STRCMP_EQUAL(text, to_json(encode(decoded)).c_str());
}

auto decode_failure(const value& payload) -> std::string {
  try {
    decode_log_entry(payload);
  } catch (const decode_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_GROUP(partition_log_entries){};

TEST(partition_log_entries, the_format_of_entries_is_stable) {
  check_format(R"({"k":"c","d":250})", clock_advance{250});
  check_format(R"({"k":"p","t":"a/x","d":"c","s":5,"b":"hello","w":17})",
               publish_entry{"a/x", "c", 5, "hello", 17, {}});
  check_format(R"({"k":"p","t":"a/x","d":"c","s":5,"b":"hello","w":17,"keep":0})",
               publish_entry{"a/x", "c", 5, "hello", 17, 0});
  check_format(R"({"k":"s","i":"s-1","t":"a/x","d":"w","a":-1})", subscribe_entry{"s-1", "a/x", "w", -1});
  check_format(R"({"k":"e","i":"s-1"})", close_subscription_entry{"s-1"});
  check_format(R"({"k":"l","keep":35000,"resend":10000,"n":3})", configuration_change{35000, 10000, 3});
  check_format(R"({"k":"v","e":4,"m":"comb-1/d"})", go_live_entry{4, "comb-1/d"});
}

TEST(partition_log_entries, an_entry_of_an_unknown_kind_is_preserved) {
  check_format(R"({"k":"z","x":1})", unrecognized_entry{object{{"k", "z"}, {"x", 1}}});
}

TEST(partition_log_entries, a_decode_error_names_the_missing_field) {
  STRCMP_EQUAL("missing or non-string field k", decode_failure(object{}).c_str());
  STRCMP_EQUAL("missing or non-integer field d", decode_failure(object{{"k", "c"}, {"d", "1"}}).c_str());
  STRCMP_EQUAL("missing or non-string field b",
               decode_failure(object{{"k", "p"}, {"t", "a/x"}, {"d", "c"}, {"s", 5}, {"w", 17}}).c_str());
  STRCMP_EQUAL("missing or non-integer field a",
               decode_failure(object{{"k", "s"}, {"i", "s"}, {"t", "a/x"}, {"d", "w"}}).c_str());
  STRCMP_EQUAL("missing or non-string field i", decode_failure(object{{"k", "e"}}).c_str());
  STRCMP_EQUAL("missing or non-integer field resend",
               decode_failure(object{{"k", "l"}, {"keep", 0}, {"n", 1}}).c_str());
}

TEST(partition_log_entries, only_a_clock_entry_is_a_clock_advance) {
  CHECK(is_clock_advance(encode(clock_advance{1})));
  CHECK_FALSE(is_clock_advance(encode(close_subscription_entry{"s"})));
  CHECK_THROWS(decode_error, is_clock_advance(object{}));
}

TEST(partition_log_entries, the_estimated_size_of_an_entry_includes_its_body) {
  auto empty = estimate_entry_bytes(encode(publish_entry{"a/x", "c", 5, "", 17, {}}));
  LONGS_EQUAL(empty + 5, estimate_entry_bytes(encode(publish_entry{"a/x", "c", 5, "hello", 17, {}})));
  LONGS_EQUAL(empty, estimate_entry_bytes(encode(clock_advance{1})));
}
