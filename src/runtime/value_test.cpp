#include "runtime/value.hpp"
#include "runtime/checksum.hpp"

#include <string>

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(value_bytes){};

TEST(value_bytes, decode_to_the_original_value) {
  auto original = boost::json::parse(R"({"a":[1,-7,null,true,{"b":"x","c":[]}],"n":9007199254740993,"d":0.5,"e":{}})");
  CHECK(decode_cbor(encode_cbor(original)) == original);
}

// Records on disk carry this checksum, so it must not change.
TEST(value_bytes, checksum_is_the_crc_32_of_gzip) {
  UNSIGNED_LONGS_EQUAL(0xCBF43926U, crc_32("123456789"));
  UNSIGNED_LONGS_EQUAL(0U, crc_32(""));
}

TEST(value_bytes, every_flipped_bit_is_detected) {
  auto bytes = encode_with_checksum(boost::json::parse(R"({"k":"value","n":12})"));
  for (auto i = 0U; i < bytes.size() * 8; ++i) {
    auto altered = bytes;
    altered[i / 8] = static_cast<char>(altered[i / 8] ^ (1 << (i % 8)));
    CHECK_THROWS(decode_error, decode_with_checksum(altered));
  }
}

TEST(value_bytes, truncated_or_malformed_bytes_are_rejected) {
  auto bytes = encode_cbor(boost::json::parse(R"({"k":[1,2,3]})"));
  for (auto size = 0U; size < bytes.size(); ++size)
    CHECK_THROWS(decode_error, decode_cbor(bytes.substr(0, size)));
  CHECK_THROWS(decode_error, decode_cbor(bytes + bytes));
  CHECK_THROWS(decode_error, decode_cbor("\xa2\x61k\x01\x61k\x02"));
  CHECK_THROWS(decode_error, decode_cbor(std::string(40, '\x81')));
}
