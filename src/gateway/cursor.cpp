// Cursors have the form POSITION.CHECKSUM with both numbers in base 36.
#include "gateway/cursor.hpp"

#include <charconv>

#include "configuration/compiled_configuration.hpp"

namespace reachridge {
namespace {

constexpr auto number_base = 36;
constexpr auto checksum_shift = 28;  // keeps 36 bits of the hash, which fit into seven digits
constexpr auto max_cursor_bytes = std::size_t{32};

auto to_base36(std::uint64_t number) -> std::string {
  char buffer[16];
  auto [end, error] = std::to_chars(buffer, buffer + sizeof buffer, number, number_base);
  return {buffer, end};
}

auto checksum(const std::string& topic, const std::string& partition, std::int64_t position) -> std::string {
  return to_base36(hash64(topic + " " + partition + " " + std::to_string(position)) >> checksum_shift);
}

}  // namespace

auto encode_cursor(const std::string& topic, const std::string& partition, std::int64_t position) -> std::string {
  return to_base36(static_cast<std::uint64_t>(position)) + "." + checksum(topic, partition, position);
}

auto decode_cursor(const std::string& text, const std::string& topic, const std::string& partition)
    -> std::optional<std::int64_t> {
  const auto dot = text.find('.');
  if (dot == std::string::npos || dot == 0 || text.size() > max_cursor_bytes)
    return {};
  auto position = std::int64_t{0};
  const auto* number_end = text.data() + dot;
  auto [end, error] = std::from_chars(text.data(), number_end, position, number_base);
  const auto is_number = error == std::errc() && end == number_end;
  if (!is_number || position < 0)
    return {};
  if (text != encode_cursor(topic, partition, position))
    return {};
  return position;
}

}  // namespace reachridge
