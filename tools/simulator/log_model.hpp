// Model checker of the replicated log. Draws a schedule of faults from a seed, runs the production log on simulated
// machines under these faults, and checks the invariants of a replicated state machine throughout the run.
#pragma once
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace reachridge {

// A violated invariant and the simulated time of the violation.
struct model_violation {
  std::string invariant;  // a name listed in docs/survival.md
  std::string detail;
  std::int64_t at_ms = 0;
};

// A fault of the schedule that was injected.
struct model_fault {
  std::size_t number = 0;  // position in the schedule; model_options::skipped_faults refers to it
  std::string text;
};

// The result of one run.
struct model_run {
  std::uint64_t seed = 0;
  std::vector<model_violation> violations;  // at most one, because a run ends at its first violation
  std::vector<model_fault> faults;
  std::vector<std::string> trace;  // filled only with model_options::trace
  std::int64_t acknowledged = 0;   // number of acknowledged commands
  std::int64_t elections = 0;
  std::int64_t snapshots = 0;  // snapshots that a replica restored
  std::int64_t membership_changes = 0;
  bool liveness_checked = false;  // true: a majority of the voters' disks was intact at the end
};

// Options of one run.
struct model_options {
  std::set<std::size_t> skipped_faults = {};  // numbers of faults that are drawn but not injected
  bool trace = false;
};

// Runs the schedule of one seed. The same seed and options give the same run.
auto run_log_model(std::uint64_t seed, const model_options& options = {}) -> model_run;

// Shrinks the schedule of a failing seed. Skips each fault whose omission still violates the same invariant and returns
// the run with the remaining faults and a trace. The run of a seed without violations is returned unchanged.
auto shrink_log_model(std::uint64_t seed) -> model_run;

// Formats a failing run: seed, violated invariant, schedule and the last lines of the trace.
auto to_text(const model_run& run) -> std::string;

}  // namespace reachridge
