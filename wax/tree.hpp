// Values between our processes and on disk: a tree, carried as CBOR (design 3.3).
#pragma once
#include <boost/json.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hive {

using tree = boost::json::value;
using branch = boost::json::object;
using twigs = boost::json::array;

struct bad_bytes : std::runtime_error {
  using std::runtime_error::runtime_error;
};

auto pack(const tree& t) -> std::string;
auto unpack(std::string_view bytes) -> tree;  // throws bad_bytes
auto seal(const tree& t) -> std::string;      // pack with a checksum before it
auto unseal(std::string_view bytes) -> tree;  // throws bad_bytes if altered

// Reads of fields that a colleague must have sent; throw bad_bytes otherwise.
auto num(const tree& t, std::string_view key) -> std::int64_t;
auto num_or(const tree& t, std::string_view key, std::int64_t other) -> std::int64_t;
auto str(const tree& t, std::string_view key) -> std::string;
auto str_or(const tree& t, std::string_view key, std::string_view other = "") -> std::string;
auto sub(const tree& t, std::string_view key) -> const tree&;  // null if absent
auto yes(const tree& t, std::string_view key) -> bool;
auto list(const tree& t, std::string_view key) -> const twigs&;
auto text(const tree& t) -> std::string;

}  // namespace hive
