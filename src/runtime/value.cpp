#include "runtime/value.hpp"

namespace reachridge {

auto get_value(const value& from, std::string_view key) -> const value& {
  static const auto none = value();
  if (!from.is_object())
    return none;
  const auto* field = from.get_object().if_contains({key.data(), key.size()});
  return field ? *field : none;
}

auto get_int(const value& from, std::string_view key) -> std::int64_t {
  const auto& field = get_value(from, key);
  if (!field.is_int64())
    throw decode_error("missing or non-integer field " + std::string(key));
  return field.get_int64();
}

auto get_int_or(const value& from, std::string_view key, std::int64_t fallback) -> std::int64_t {
  const auto& field = get_value(from, key);
  return field.is_int64() ? field.get_int64() : fallback;
}

auto get_string(const value& from, std::string_view key) -> std::string {
  const auto& field = get_value(from, key);
  if (!field.is_string())
    throw decode_error("missing or non-string field " + std::string(key));
  return std::string(field.get_string());
}

auto get_string_or(const value& from, std::string_view key, std::string_view fallback) -> std::string {
  const auto& field = get_value(from, key);
  return field.is_string() ? std::string(field.get_string()) : std::string(fallback);
}

auto get_bool(const value& from, std::string_view key) -> bool {
  const auto& field = get_value(from, key);
  return field.is_bool() && field.get_bool();
}

auto get_array(const value& from, std::string_view key) -> const array& {
  static const auto none = array();
  const auto& field = get_value(from, key);
  return field.is_array() ? field.get_array() : none;
}

auto to_json(const value& from) -> std::string {
  return boost::json::serialize(from);
}

}  // namespace reachridge
