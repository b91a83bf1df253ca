// Finds repeated keys in JSON text: a parsed value holds each key but once (design 7.1).
#pragma once
#include <string>

#include "runtime/value.hpp"

namespace reachridge {

// Whether `body`, which was parsed as `parsed`, repeats a key in any object.
auto has_repeated_keys(const std::string& body, const value& parsed) -> bool;

}  // namespace reachridge
