#include "simulator/log_schedule.hpp"

#include <algorithm>
#include <array>

namespace reachridge {
namespace {

constexpr auto short_phase = 1 * second;  // duration of the fault phase
constexpr auto long_phase = 4 * second;
constexpr auto long_phase_one_in = std::uint64_t{6};  // one schedule in six has a long phase

// The text of a fault kind in traces and its weight in the draw.
struct fault_description {
  fault_kind kind;
  const char* text;
  int weight;
};
constexpr auto fault_descriptions = std::array{
    fault_description{fault_kind::crash, "crash", 4},
    fault_description{fault_kind::crash_after_vote, "crash after next vote", 2},
    fault_description{fault_kind::crash_after_append, "crash after next append", 2},
    fault_description{fault_kind::power_loss, "power loss", 4},
    fault_description{fault_kind::cut_two_ways, "cut in both directions", 3},
    fault_description{fault_kind::cut_one_way, "cut in one direction", 4},
    fault_description{fault_kind::cut_refusing, "refusing cut", 2},
    fault_description{fault_kind::isolate, "isolated", 3},
    fault_description{fault_kind::isolate_inbound, "isolated inbound", 2},
    fault_description{fault_kind::freeze, "frozen", 3},
    fault_description{fault_kind::wipe_disk, "disk wiped", 5},
    fault_description{fault_kind::wipe_learner, "learner disk wiped", 3},
    fault_description{fault_kind::replace, "replaced", 3},
    fault_description{fault_kind::replace_twice, "replaced twice", 2},
    fault_description{fault_kind::add, "spare machine added", 4},
    fault_description{fault_kind::disk_full, "disk full", 2},
    fault_description{fault_kind::disk_slow, "disk slow", 3},
    fault_description{fault_kind::shut_down, "orderly shutdown", 2},
    fault_description{fault_kind::bad_network, "bad network", 4},
};

}  // namespace

auto name_of(fault_kind kind) -> const char* {
  for (const auto& description : fault_descriptions)
    if (description.kind == kind)
      return description.text;
  return "";
}

auto schedule_source::draw() -> drawn_schedule {
  auto schedule = drawn_schedule();
  schedule.fault_phase = short_phase;
  schedule.voters = 3 + random_below(3);
  schedule.allow_disk_majority_loss = random_below(10) == 0;
  schedule.command_gap = static_cast<monotonic_time>(15 + random_below(60)) * millisecond;
  schedule.background = draw_network();
  auto count = 3 + random_below(12);
  if (random_below(long_phase_one_in) == 0) {
    schedule.fault_phase = long_phase;
    count *= 2;
  }
  for (auto i = std::uint64_t{0}; i < count; ++i)
    schedule.faults.push_back(draw_fault(schedule.fault_phase));
  std::sort(schedule.faults.begin(), schedule.faults.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  return schedule;
}

auto schedule_source::draw_network() -> message_faults {
  constexpr auto shares = std::array{0.0, 0.0, 0.02, 0.1, 0.25};
  constexpr auto delays =
      std::array{model_heartbeat / 5, model_heartbeat, model_failure_timeout / 2, model_failure_timeout * 2};
  auto faults = message_faults();
  faults.drop_share = shares[random_below(shares.size())];
  faults.duplicate_share = shares[random_below(shares.size())];
  faults.delay_share = shares[random_below(shares.size())] * 2;
  faults.max_delay = delays[random_below(delays.size())];
  return faults;
}

auto schedule_source::draw_kind() -> fault_kind {
  auto total = 0;
  for (const auto& description : fault_descriptions)
    total += description.weight;
  auto remaining = static_cast<int>(random_below(static_cast<std::uint64_t>(total)));
  for (const auto& description : fault_descriptions) {
    remaining -= description.weight;
    if (remaining < 0)
      return description.kind;
  }
  return fault_kind::crash;
}

auto schedule_source::draw_fault(monotonic_time fault_phase) -> drawn_fault {
  auto fault = drawn_fault();
  fault.kind = draw_kind();
  fault.at = static_cast<monotonic_time>(random_below(static_cast<std::uint64_t>(fault_phase)));
  auto longest = random_below(2) == 0 ? model_failure_timeout / 4 : model_failure_timeout * 3;
  fault.duration = millisecond + static_cast<monotonic_time>(random_below(static_cast<std::uint64_t>(longest)));
  fault.target = random_engine_();
  fault.other = random_engine_();
  return fault;
}

}  // namespace reachridge
