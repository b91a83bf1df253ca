// Reads the fields of one JSON object of a configuration and notes every fault with its place.
#pragma once
#include <boost/property_tree/ptree.hpp>
#include <optional>
#include <set>
#include <string>

#include "configuration/configuration_errors.hpp"
#include "runtime/value.hpp"

namespace reachridge {

struct integer_range {
  std::int64_t lowest;
  std::int64_t highest;
};

// Every reading method returns a value to go on with also where it has noted a fault.
class field_reader {
 public:
  using property_tree = boost::property_tree::ptree;

  // `fields` is an object. `with_repeats` holds the same with repeated keys; null: no key of the text is repeated.
  // `place` comes before each field's name in a fault: "" or "spaces[0].".
  field_reader(const value& fields, const property_tree* with_repeats, std::string place, configuration_errors& faults)
      : fields_(fields), with_repeats_(with_repeats), place_(std::move(place)), faults_(faults) {}

  // Notes keys that are not known and keys that are repeated.
  auto check_keys(const std::set<std::string>& known) -> void;
  auto required_integer(const std::string& key, integer_range range) -> std::int64_t;
  auto integer(const std::string& key, integer_range range, std::int64_t fallback) -> std::int64_t;
  // None: it is missing or no string.
  auto required_string(const std::string& key) -> std::optional<std::string>;
  auto string(const std::string& key, const std::string& fallback) -> std::string;
  [[nodiscard]] auto has(const std::string& key) const -> bool {
    return fields_.as_object().contains(key);
  }
  auto add_fault(const std::string& key, std::string message) -> void {
    faults_.add(place_ + key, std::move(message));
  }

 private:
  const value& fields_;
  const property_tree* with_repeats_;
  std::string place_;
  configuration_errors& faults_;
};

}  // namespace reachridge
