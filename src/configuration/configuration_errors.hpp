// The faults that were found in a configuration, each with its place.
#pragma once
#include <string>
#include <vector>

#include "runtime/request_error.hpp"

namespace reachridge {

struct configuration_error {
  std::string place;  // "spaces[1].prefix", "rules[0]", "line 3"
  std::string message;
};

// Collects every fault, in the order in which they were found.
class configuration_errors {
 public:
  auto add(std::string place, std::string message) -> void {
    faults_.push_back({std::move(place), std::move(message)});
  }
  [[nodiscard]] auto empty() const -> bool {
    return faults_.empty();
  }
  // Names all faults in its message, and in its details each on its own.
  [[nodiscard]] auto to_error() const -> request_error;

 private:
  std::vector<configuration_error> faults_;
};

}  // namespace reachridge
