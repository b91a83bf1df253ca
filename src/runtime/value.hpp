// The values that the processes exchange and store: JSON values, encoded as CBOR (design 3.3).
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace reachridge {

using value = boost::json::value;
using object = boost::json::object;
using array = boost::json::array;

// Thrown for bytes that cannot be decoded and for values that lack a required field.
struct decode_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Encodes a value as CBOR.
auto encode_cbor(const value& encoded) -> std::string;
// Decodes exactly one value. Throws decode_error if the bytes are truncated, have trailing bytes, are nested too
// deeply, have a repeated key or contain a CBOR type that `encode_cbor` does not produce.
auto decode_cbor(std::string_view bytes) -> value;

// Encodes a value for storage: the CRC-32 of the CBOR bytes (4 bytes, little-endian), followed by the CBOR bytes.
auto encode_with_checksum(const value& encoded) -> std::string;
// Decodes the result of `encode_with_checksum`. Throws decode_error if the checksum does not match or the CBOR is
// invalid.
auto decode_with_checksum(std::string_view bytes) -> value;

// The following functions read a field of an object. A value that is not an object has no fields.
//
// These two throw decode_error if the field is missing or has another type:
auto get_int(const value& from, std::string_view key) -> std::int64_t;
auto get_string(const value& from, std::string_view key) -> std::string;
// These return a default in this case: the parameter `fallback` or the value in the comment. `get_value` accepts a
// field of any type.
auto get_int_or(const value& from, std::string_view key, std::int64_t fallback) -> std::int64_t;
auto get_string_or(const value& from, std::string_view key, std::string_view fallback = "") -> std::string;
auto get_value(const value& from, std::string_view key) -> const value&;  // null
auto get_bool(const value& from, std::string_view key) -> bool;           // false
auto get_array(const value& from, std::string_view key) -> const array&;  // empty

// Returns the value as JSON text.
auto to_json(const value& from) -> std::string;

}  // namespace reachridge
