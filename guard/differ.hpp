// Finds where two nodes' beliefs part, and which partings break a rule (design 8).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "wax/tree.hpp"

namespace hive {

struct parting {
  std::string what;  // stable over time: the age is counted by it
  std::string left, right;
  bool broken = false;    // it breaks a rule at once
  std::int64_t may = -1;  // milliseconds it may last; after that it breaks a rule; -1: for ever
};
// From two nodes' /status.
auto compare(const tree& a, const tree& b) -> std::vector<parting>;

}  // namespace hive
