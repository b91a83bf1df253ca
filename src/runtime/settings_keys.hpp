// The table of settings with the name, the help text and the check of each key.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "runtime/settings.hpp"

namespace reachridge {

// A key of the settings.
struct setting_key {
  const char* name;  // the key in the settings file; the flag is `--` and this name
  const char* help;
  // Checks a value and assigns it to the settings. Returns an error message, or an empty string if the value is valid.
  std::function<std::string(settings&, const std::string&)> assign;
};

// Returns all keys in the order in which their errors are reported.
auto setting_keys() -> const std::vector<setting_key>&;

}  // namespace reachridge
