// The errors that were found in a configuration, each with its place.
#pragma once
#include <string>
#include <vector>

#include "runtime/request_error.hpp"

namespace reachridge {

struct configuration_error {
  std::string place;  // "spaces[1].prefix", "rules[0]", "line 3"
  std::string message;
};

// Collects all errors in the order in which they were found.
class configuration_errors {
 public:
  auto add(std::string place, std::string message) -> void {
    errors_.push_back({std::move(place), std::move(message)});
  }
  [[nodiscard]] auto empty() const -> bool {
    return errors_.empty();
  }
  // Returns an error whose message lists all errors and whose details contain each error separately.
  [[nodiscard]] auto to_error() const -> request_error;

 private:
  std::vector<configuration_error> errors_;
};

}  // namespace reachridge
