// Compares the status reports of two nodes and marks the differences that violate an invariant (design 8).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "runtime/value.hpp"

namespace reachridge {

// One point in which two status reports differ.
struct difference {
  std::string description;  // stable key of the difference; its age is counted by this text
  std::string left;         // values reported by the two nodes, as text for operators
  std::string right;
  bool violation = false;        // violates an invariant at any age
  std::int64_t allowed_ms = -1;  // a longer-lasting difference violates an invariant; -1: no limit
};

// Compares two replies to GET /status. Missing fields count as null or 0. Throws decode_error if the filter of a view
// ("need") has no kind.
[[nodiscard]] auto compare(const value& left, const value& right) -> std::vector<difference>;

}  // namespace reachridge
