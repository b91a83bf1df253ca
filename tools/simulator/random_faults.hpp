// Random faults that are drawn from a seed.
#pragma once
#include <string>
#include <vector>

#include "simulator/scenario.hpp"

namespace reachridge {

// Returns whether a random fault has this name.
[[nodiscard]] auto is_random_fault(const std::string& name) -> bool;
// Draws the random faults of a scenario. The same seed always yields the same faults.
auto draw_random_faults(const scenario& definition, std::uint64_t seed) -> std::vector<scheduled_fault>;
// Returns the faults that the scenario file lists, followed by the random ones.
auto all_faults(const scenario& definition, std::uint64_t seed) -> std::vector<scheduled_fault>;
// Sorts faults by their earliest time and keeps the order of faults with equal times.
auto sort_by_time(std::vector<scheduled_fault>& faults) -> void;

}  // namespace reachridge
