#include "gateway/cursor.hpp"

#include <algorithm>

// Must be the last include because the header redefines new.
#include <CppUTest/TestHarness.h>

TEST_GROUP(gateway_cursor){};
TEST(gateway_cursor, decodes_only_for_its_topic_and_partition) {
  for (auto position : {std::int64_t{0}, std::int64_t{1}, std::int64_t{35}, std::int64_t{1} << 32,
                        (std::int64_t{77} << 32) + 12345, INT64_MAX / 2}) {
    auto cursor = reachridge::encode_cursor("a/x", "kept/3", position);
    CHECK(cursor.size() <= 32 && !cursor.empty());
    CHECK(std::all_of(cursor.begin(), cursor.end(), [](char character) {
      return character > ' ' && character < 0x7f;
    }));
    CHECK(reachridge::decode_cursor(cursor, "a/x", "kept/3") == position);
    CHECK(!reachridge::decode_cursor(cursor, "a/y", "kept/3"));
    CHECK(!reachridge::decode_cursor(cursor, "a/x", "live/3"));
  }
}
TEST(gateway_cursor, rejects_altered_and_malformed_texts) {
  auto good = reachridge::encode_cursor("a/x", "k/0", 987654);
  for (auto i = 0U; i < good.size(); ++i) {
    auto altered = good;
    altered[i] = altered[i] == 'q' ? 'r' : 'q';
    CHECK(!reachridge::decode_cursor(altered, "a/x", "k/0"));
    CHECK(!reachridge::decode_cursor(good.substr(0, i), "a/x", "k/0"));
  }
  for (auto text : {"", ".", "-", "12", "-1.abc", "+1.abc", "0x1.abc", " 1.a", "1.a 2", "zzzzzzzzzzzzzzzzzzzz.1"})
    CHECK(!reachridge::decode_cursor(text, "a/x", "k/0"));
  CHECK(!reachridge::decode_cursor(std::string(1000, '1') + ".1", "a/x", "k/0"));
}
