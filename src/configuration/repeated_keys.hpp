// Detects repeated keys in JSON text. A parsed value does not show them, because it holds each key only once
// (design 7.1).
#pragma once
#include <string>

#include "runtime/value.hpp"

namespace reachridge {

// Returns whether any object in `body` contains a key more than once. `parsed` is the value that was parsed from
// `body`.
auto has_repeated_keys(const std::string& body, const value& parsed) -> bool;

}  // namespace reachridge
