// Reads, checks and writes scenario files.
#pragma once
#include <string>

#include "simulator/scenario.hpp"

namespace reachridge {

// Reads a scenario file. Throws request_error `invalid_scenario`, whose text names the line that is wrong.
auto read_scenario(const std::string& file) -> scenario;
// Returns the text of a scenario file that contains the random faults of the seed as scheduled faults.
auto write_scenario(const scenario& definition, std::uint64_t seed) -> std::string;

// Parses a number of a scenario file. Throws request_error `invalid_scenario`.
auto parse_number(const std::string& text) -> double;
// Parses a time in seconds. Throws request_error `invalid_scenario`.
auto parse_seconds(const std::string& text) -> monotonic_time;
// Returns the time in seconds as text that parse_seconds reads.
auto format_seconds(monotonic_time time) -> std::string;

}  // namespace reachridge
