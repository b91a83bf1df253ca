#include "runtime/request_error.hpp"

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(request_error_tests){};

TEST(request_error_tests, codes_and_texts_map_to_each_other) {
  for (auto code = 0; code < static_cast<int>(errc::unrecognized); ++code) {
    auto parsed = parse_errc(to_string(static_cast<errc>(code)));
    CHECK(parsed.has_value());
    LONGS_EQUAL(code, static_cast<int>(*parsed));
  }
}

TEST(request_error_tests, encoding_and_decoding_preserve_all_fields) {
  auto sent = request_error(errc::busy, "later", execution_outcome::unknown, 250, object{{"epoch", 3}});
  auto received = request_error::from_value(sent.to_value());
  STRCMP_EQUAL(R"({"verdict":"unclear","code":"busy","why":"later","retry_ms":250,"more":{"epoch":3}})",
               to_json(received.to_value()).c_str());
}

TEST(request_error_tests, the_text_of_an_unrecognized_code_is_kept) {
  auto received = request_error::from_value(object{{"verdict", "refused"}, {"code", "too_warm"}, {"why", "w"}});
  CHECK(received.code == errc::unrecognized);
  STRCMP_EQUAL("too_warm", received.code_text().c_str());
  STRCMP_EQUAL(R"({"verdict":"refused","code":"too_warm","why":"w"})", to_json(received.to_value()).c_str());
}

TEST(request_error_tests, an_error_without_an_outcome_may_have_been_executed) {
  auto received = request_error::from_value(object{});
  CHECK(received.code == errc::internal);
  CHECK(received.outcome == execution_outcome::unknown);
  LONGS_EQUAL(-1, received.retry_after_ms);
}
