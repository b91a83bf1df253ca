// An invariant of simulated fleets: the disk of a partition replica holds every entry that the replica counts as
// durable (design 9.2).
#pragma once
#include <string>

#include "simulator/fleet.hpp"

namespace reachridge {

// Compares the durable index of each running replica with the rows on its disk. Returns a description of the first
// replica whose disk lacks an entry up to that index, with both indexes. Returns an empty text if no entry is missing.
auto find_undurable_replica(const fleet& target) -> std::string;

}  // namespace reachridge
