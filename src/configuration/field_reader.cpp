#include "configuration/field_reader.hpp"

namespace reachridge {
namespace {

constexpr auto unknown_key = "is an unknown key";
constexpr auto not_a_string = "must be a string";

}  // namespace

auto field_reader::check_keys(const std::set<std::string>& known) -> void {
  if (!with_repeated_keys_) {
    for (const auto& field : fields_.get_object())
      if (!known.count(std::string(field.key())))
        add_error(std::string(field.key()), unknown_key);
    return;
  }
  auto seen = std::set<std::string>();
  for (const auto& [key, content] : *with_repeated_keys_) {
    if (!known.count(key))
      add_error(key, unknown_key);
    else if (!seen.insert(key).second)
      add_error(key, "is a repeated key");
  }
}

auto field_reader::read_required_integer(const std::string& key, integer_range range) -> std::int64_t {
  if (has(key))
    return read_integer(key, range, 0);
  add_error(key, "is missing");
  return 0;
}

auto field_reader::read_integer(const std::string& key, integer_range range, std::int64_t fallback) -> std::int64_t {
  if (!has(key))
    return fallback;
  const auto& content = get_value(fields_, key);
  if (!content.is_int64()) {
    add_error(key, "must be an integer");
    return fallback;
  }
  const auto number = content.get_int64();
  if (number < range.lowest || number > range.highest) {
    add_error(key, std::to_string(number) + " is outside the range " + std::to_string(range.lowest) + " to " +
                       std::to_string(range.highest));
    return fallback;
  }
  return number;
}

auto field_reader::read_required_string(const std::string& key) -> std::optional<std::string> {
  const auto& content = get_value(fields_, key);
  if (content.is_string())
    return std::string(content.get_string());
  add_error(key, not_a_string);
  return {};
}

auto field_reader::string(const std::string& key, const std::string& fallback) -> std::string {
  if (!has(key))
    return fallback;
  const auto& content = get_value(fields_, key);
  if (content.is_string())
    return std::string(content.get_string());
  add_error(key, not_a_string);
  return fallback;
}

}  // namespace reachridge
