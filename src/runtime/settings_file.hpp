// The settings file. It has the INFO format of Boost.PropertyTree with one key and its value per line (design 3.6).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/settings.hpp"

namespace reachridge {

// Returns the values of a settings file by key. Appends an error for each key with a nested block, which is left out,
// and for each repeated key, which keeps its first value. If the file cannot be read or parsed, appends an error with
// the line number and returns nullopt.
auto read_settings_file(const std::string& file, std::vector<setting_error>& errors)
    -> std::optional<std::map<std::string, std::string>>;

}  // namespace reachridge
