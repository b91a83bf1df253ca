// Scenario files: a fleet, faults at times, what must come of it (design 9.2).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "swarm/fleet.hpp"

namespace hive {

struct cue {
  tick low = 0, high = 0;  // when: drawn between the two from the seed
  std::string verb;
  std::vector<std::string> args;
  tick span = 0;           // "for N": how long
  int line = 0;
};
struct scene {
  std::string name;
  shape form;
  std::vector<cue> cues;
  tick length = 30 * sec, quiet = 8 * sec;
  std::int64_t seed_low = 1, seed_high = 5;
  std::vector<std::int64_t> also;  // seeds that failed once
  std::vector<std::pair<std::string, std::int64_t>> wants;  // least counts of what must have happened
};
// Throws verdict naming the line of a fault.
auto read_scene(const std::string& file) -> scene;

struct outcome {
  std::vector<std::string> bad;
  std::string facts;
  std::vector<tree> seen;
};
auto play(const scene& s, std::uint64_t seed) -> outcome;

}  // namespace hive
