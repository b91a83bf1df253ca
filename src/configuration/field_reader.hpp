// Reads and checks the fields of one JSON object of a configuration.
#pragma once
#include <boost/property_tree/ptree.hpp>
#include <optional>
#include <set>
#include <string>

#include "configuration/configuration_errors.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The inclusive bounds of an integer field.
struct integer_range {
  std::int64_t lowest;
  std::int64_t highest;
};

// Records an error with its place for every invalid field. After an error the reading functions return a substitute
// value, so that the caller can continue and find further errors.
class field_reader {
 public:
  using property_tree = boost::property_tree::ptree;

  // `fields` must be an object. `with_repeated_keys` is the same object with its repeated keys, or null if the text has
  // none. `place` precedes the field name in each error, for example "" or "spaces[0].".
  field_reader(const value& fields, const property_tree* with_repeated_keys, std::string place,
               configuration_errors& errors)
      : fields_(fields), with_repeated_keys_(with_repeated_keys), place_(std::move(place)), errors_(errors) {}

  // Records an error for each unknown key and each repeated key.
  auto check_keys(const std::set<std::string>& known) -> void;
  // Returns 0 after an error.
  auto read_required_integer(const std::string& key, integer_range range) -> std::int64_t;
  // Returns `fallback` if the field is missing, or after an error.
  auto read_integer(const std::string& key, integer_range range, std::int64_t fallback) -> std::int64_t;
  // Returns nullopt if the field is missing or not a string.
  auto read_required_string(const std::string& key) -> std::optional<std::string>;
  // Returns `fallback` if the field is missing, or after an error.
  auto string(const std::string& key, const std::string& fallback) -> std::string;
  [[nodiscard]] auto has(const std::string& key) const -> bool {
    return fields_.as_object().contains(key);
  }
  auto add_error(const std::string& key, std::string message) -> void {
    errors_.add(place_ + key, std::move(message));
  }

 private:
  const value& fields_;
  const property_tree* with_repeated_keys_;
  std::string place_;
  configuration_errors& errors_;
};

}  // namespace reachridge
