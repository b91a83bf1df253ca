// Reduces a failing scenario to a small one that still violates the same rule.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "simulator/scenario.hpp"

namespace reachridge {

// Returns the scenario with fewer faults and an earlier end that violates the same first rule. Calls `report` with a
// text after each round. Throws request_error `nothing_to_shrink` if the run with the seed passes.
auto shrink(scenario definition, std::uint64_t seed, const std::function<void(const std::string&)>& report) -> scenario;

}  // namespace reachridge
