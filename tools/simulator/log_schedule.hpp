// Fault schedules of the model checker for the replicated log. A seed determines the faults, their times and the
// network.
#pragma once
#include <cstdint>
#include <random>
#include <vector>

#include "simulator/message_network.hpp"

namespace reachridge {

// Timing of the replicas. The durations of faults are derived from these values.
constexpr auto model_heartbeat = 50 * millisecond;
constexpr auto model_failure_timeout = 400 * millisecond;  // a peer that is silent for this long counts as lost

// The faults that a schedule may contain. log_schedule.cpp holds their texts and weights.
enum class fault_kind {
  crash,
  crash_after_vote,
  crash_after_append,
  power_loss,
  cut_two_ways,
  cut_one_way,
  cut_refusing,
  isolate,
  isolate_inbound,
  freeze,
  wipe_disk,
  wipe_learner,
  replace,
  replace_twice,
  add,
  disk_full,
  disk_slow,
  shut_down,
  bad_network,
};

// A drawn fault. `target` and `other` are random numbers that select replicas when the fault is injected.
struct drawn_fault {
  fault_kind kind;
  monotonic_time at, duration;
  std::uint64_t target, other;
};

// The parameters and faults of a run, drawn before the run begins.
struct drawn_schedule {
  std::size_t voters = 3;
  bool allow_disk_majority_loss = false;  // disks may be lost beyond a majority; only safety is checked then
  monotonic_time command_gap = 0;
  monotonic_time fault_phase = 0;
  message_faults background;
  std::vector<drawn_fault> faults;
};

// Draws schedules from one seed. The same seed gives the same schedule.
class schedule_source {
 public:
  explicit schedule_source(std::uint64_t seed) : random_engine_(seed) {}
  auto draw() -> drawn_schedule;
  auto draw_network() -> message_faults;

 private:
  auto random_below(std::uint64_t limit) -> std::uint64_t {
    return random_engine_() % limit;
  }
  auto draw_kind() -> fault_kind;
  auto draw_fault(monotonic_time fault_phase) -> drawn_fault;
  std::mt19937_64 random_engine_;
};

// Returns the text of a fault kind for traces.
auto name_of(fault_kind kind) -> const char*;

}  // namespace reachridge
