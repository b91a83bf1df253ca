// Scenarios: a simulated fleet, scheduled faults and the expected outcome (design 9.2).
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "simulator/fleet.hpp"

namespace reachridge {

// A fault from a line "at WHEN COMMAND ARGUMENT... [for SECONDS]" of a scenario file. Times count from the moment when
// the fleet starts to serve.
struct scheduled_fault {
  monotonic_time earliest = 0, latest = 0;  // the seed draws the start time from this range
  std::string verb;                         // the command name (fault_injector.cpp)
  std::vector<std::string> args;
  monotonic_time duration = 0;  // 0: the fault lasts, or ends by itself
  int line = 0;                 // in the scenario file
  monotonic_time sweep_step =
      0;  // added to the start time with each further seed, which sweeps over the preceding fault
};

// The content of a scenario file.
struct scenario {
  std::string name;
  fleet_shape shape;
  std::vector<scheduled_fault> faults;
  monotonic_time length = 30 * second;
  monotonic_time quiet = 8 * second;  // time at the end in which clients do not publish
  bool degraded_throughout = false;  // faults are present all the time: the limit of 12 s to serve again does not apply
  bool probe_throughout = false;     // operators continuously probe which configuration the gateways apply
  bool closing_power_loss = true;    // half of the seeds end with a power loss of all machines
  std::int64_t seed_low = 1, seed_high = 5;
  std::vector<std::int64_t> extra_seeds;     // seeds that failed in the past
  monotonic_time random_fault_interval = 0;  // mean time between random faults; 0: none
  monotonic_time random_faults_from = 0, random_faults_until = 0;
  std::set<std::string> excluded_faults;      // random faults that this scenario does not use
  monotonic_time status_at = 0;               // time at which to print the status of all processes
  std::string day_shape;                      // the user whose day the scenario simulates; empty: none
  std::vector<std::string> shrinkable_lines;  // lines of the file that --shrink keeps
  std::vector<std::pair<std::string, std::int64_t>> expected_counts;  // minimum ("<": maximum) of each event count
};

// The result of one run.
struct run_result {
  std::vector<std::string> violations;  // "RULE: DETAIL"; empty if the run passed
  std::string metrics;                  // one line of text
  std::vector<value> history;           // events that clients and operators observed
  std::uint64_t digest = 0;             // of all frames and disk writes
};

// Runs a scenario with one seed. The same seed always yields the same run.
auto run_scenario(const scenario& definition, std::uint64_t seed) -> run_result;

}  // namespace reachridge
