#include "simulator/scenario.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "local_cluster/consistency_checker.hpp"
#include "runtime/log.hpp"
#include "simulator/durability_audit.hpp"
#include "simulator/fault_injector.hpp"
#include "simulator/random_faults.hpp"

namespace reachridge {
namespace {

constexpr auto audit_interval = 2 * second;
constexpr auto recovery_after_power_loss = 15 * second;
constexpr auto fault_end_limit = 60 * second;  // time that a run waits for its last faults to end
constexpr auto day_fault_end_limit = 120 * second;
constexpr auto day_quiet = 14 * second;

// Cumulative use of the network, the disks and the processors.
struct resource_usage {
  std::uint64_t sends, bytes, syncs, wakes;
};

auto usage_of(const simulated_network& network) -> resource_usage {
  return {network.sends, network.bytes, network.syncs, network.wakes};
}

// An event count that must be zero, and the violation to report otherwise.
struct forbidden_count {
  const char* count;
  const char* violation;
};
constexpr auto forbidden_counts = std::to_array<forbidden_count>({
    {"thin_configuration", "accepted: a configuration was acknowledged while fewer than two disks held it"},
    {"held_early", "held: a configuration was reported as in force while a gateway could still apply an older one"},
    {"late_in_force",
     "in force: an acknowledged configuration was not in force on all gateways within the lease duration"},
    {"last_change_lost", "in force: the last of several configuration changes was refused"},
    {"stale_taken", "a stale configuration was accepted"},
    {"bad_taken", "an invalid configuration was accepted"},
});

constexpr auto displayed_counts =
    std::to_array<const char*>({"try",           "acked",         "got",           "gone",           "probe",
                                "held",          "left",          "epochs",        "slow",           "full",
                                "alerts_p50_ms", "alerts_p99_ms", "alerts_max_ms", "lookups_p99_ms", "lookups_max_ms",
                                "lag_ms",        "changes_acked", "ack_ms",        "catch_up_ms",    "no_lease"});

// One run of a scenario: schedules the faults, monitors the fleet and checks what clients and operators observed. Owns
// the fleet and the injector. The fleet's pending events hold callbacks of the injector.
class scenario_run {
 public:
  scenario_run(const scenario& definition, std::uint64_t seed)
      : scenario_(definition), seed_(seed), fleet_(seed, definition.shape) {
    fleet_.operator_polls = definition.probe_throughout || simulates_whole_day();
  }
  auto run() -> run_result;

 private:
  [[nodiscard]] auto simulates_whole_day() const -> bool {
    return !scenario_.day_shape.empty();
  }
  [[nodiscard]] auto end() const -> monotonic_time {
    return started_at_ + scenario_.length;
  }
  [[nodiscard]] auto now() const -> monotonic_time {
    return fleet_.network.clock;
  }

  auto schedule_faults() -> void;
  auto schedule_status() -> void;
  auto run_until_end() -> void;
  auto update_maxima() -> void;
  auto audit_durability() -> void;
  auto run_until_faults_end(monotonic_time deadline) -> void;
  auto lose_all_power() -> void;
  auto finish() -> void;

  auto count_resource_usage(const resource_usage& before, const resource_usage& after) -> void;
  auto count_history() -> void;
  auto count_storage_nodes() -> void;
  auto count_latencies() -> void;
  auto check_history() -> void;
  auto check_counts() -> void;
  auto write_metrics() -> void;
  auto log_answer_counts() -> void;

  const scenario& scenario_;
  std::uint64_t seed_;
  fleet fleet_;
  event_counts counts_;
  fault_injector faults_{fleet_, counts_};
  std::vector<scheduled_fault> scheduled_;
  run_result result_;
  monotonic_time started_at_ = 0, next_audit_ = 0;
  std::int64_t max_lag_ms_ = 0;
  std::size_t max_disk_rows_ = 0;
};

auto scenario_run::run() -> run_result {
  if (!fleet_.begin()) {
    result_.violations.push_back(
        "the fleet did not start: the first configuration did not come into force within 60 s");
    return result_;
  }
  started_at_ = next_audit_ = now();
  if (scenario_.degraded_throughout)
    faults_.on_fault_started();
  schedule_faults();
  if (scenario_.status_at)
    schedule_status();
  auto before = usage_of(fleet_.network);
  run_until_end();
  count_resource_usage(before, usage_of(fleet_.network));
  finish();
  check_history();
  count_history();
  count_storage_nodes();
  count_latencies();
  check_counts();
  write_metrics();
  if (!result_.violations.empty())
    log_answer_counts();
  result_.history = fleet_.observed.rows;
  result_.digest = fleet_.network.digest.value();
  return result_;
}

auto scenario_run::schedule_faults() -> void {
  scheduled_ = all_faults(scenario_, seed_);
  for (const auto& fault : scheduled_) {
    auto start_time = started_at_ + fault.earliest + fault.sweep_step * static_cast<monotonic_time>(seed_ - 1);
    if (auto span = static_cast<std::uint64_t>(fault.latest - fault.earliest); span > 0)
      start_time += static_cast<monotonic_time>(fleet_.network.random_engine() % span);
    fleet_.network.schedule(start_time, [this, &fault] {
      faults_.inject(fault);
    });
  }
}

auto scenario_run::schedule_status() -> void {
  fleet_.network.schedule(started_at_ + scenario_.status_at, [this] {
    for (const auto& [name, process] : fleet_.processes) {
      auto state = !process->up() ? " down" : process->host->frozen ? " frozen" : "";
      std::cout << name << state << ' ';
      if (process->control)
        std::cout << to_json(process->control->status());
      if (process->storage)
        std::cout << to_json(process->storage->status());
      if (process->agent)
        std::cout << to_json(process->agent->status());
      if (process->gateway)
        std::cout << to_json(process->gateway->status());
      std::cout << '\n';
    }
  });
}

auto scenario_run::run_until_end() -> void {
  while (now() < end()) {
    fleet_.network.run(std::min(end(), now() + second));
    audit_durability();
    update_maxima();
  }
}

// Reports the first replica whose disk lacks entries that the replica counts as durable.
auto scenario_run::audit_durability() -> void {
  if (now() < next_audit_)
    return;
  next_audit_ = now() + audit_interval;
  auto violation = find_undurable_replica(fleet_);
  if (!violation.empty() && result_.violations.empty())
    result_.violations.push_back("synced: " + violation);
}

// Updates the maximum number of disk rows and the maximum lag of the backups that have joined.
auto scenario_run::update_maxima() -> void {
  for (const auto& [name, process] : fleet_.processes) {
    max_disk_rows_ = std::max(max_disk_rows_, process->machine->durable.size());
    if (!process->storage || process->host->frozen)
      continue;
    auto status = process->storage->status();
    for (const auto& partition : get_value(status, "cells").as_object()) {
      const auto& row = partition.value();
      if (get_string_or(row, "role") != "primary")
        continue;
      const auto& backup = get_value(get_value(row, "copies"), get_string_or(row, "back"));
      if (backup.is_object() && get_bool(backup, "joined"))
        max_lag_ms_ = std::max(max_lag_ms_, get_int_or(backup, "lag_ms", 0));
    }
  }
}

auto scenario_run::run_until_faults_end(monotonic_time deadline) -> void {
  while (faults_.active_fault_count() && now() < deadline)
    fleet_.network.run(now() + second);
}

// Ends half of all runs with a power loss of all machines while clients still publish.
auto scenario_run::lose_all_power() -> void {
  run_until_faults_end(end() + fault_end_limit);
  if (faults_.active_fault_count())
    return;
  if (scenario_.degraded_throughout)
    faults_.on_fault_started();
  auto fault = scheduled_fault();
  fault.verb = "power_off";
  fault.args = {"all"};
  fault.duration = 2 * second + static_cast<monotonic_time>(fleet_.network.random_engine() % (3 * second));
  faults_.inject(fault);
  fleet_.network.run(now() + recovery_after_power_loss);
}

auto scenario_run::finish() -> void {
  if (scenario_.degraded_throughout)
    faults_.on_fault_ended();
  if (seed_ % 2 == 0 && scenario_.closing_power_loss)
    lose_all_power();
  if (simulates_whole_day())
    run_until_faults_end(end() + day_fault_end_limit);
  fleet_.finish(simulates_whole_day() ? day_quiet : scenario_.quiet);
  audit_durability();
}

// Counts the average resource use per second.
auto scenario_run::count_resource_usage(const resource_usage& before, const resource_usage& after) -> void {
  auto per_second = [&](std::uint64_t difference) {
    return static_cast<std::int64_t>(difference * second / static_cast<std::uint64_t>(scenario_.length));
  };
  counts_["sends"] = per_second(after.sends - before.sends);
  counts_["wakes"] = per_second(after.wakes - before.wakes);
  counts_["kbytes"] = per_second(after.bytes - before.bytes) / 1000;
  counts_["syncs"] = per_second(after.syncs - before.syncs);
  counts_["lag_ms"] = max_lag_ms_;
  counts_["disk_rows"] = static_cast<std::int64_t>(max_disk_rows_);
}

auto scenario_run::check_history() -> void {
  for (const auto& violation : check_consistency(fleet_.observed.rows))
    result_.violations.push_back(violation.rule + ": " + violation.detail);
}

auto scenario_run::count_history() -> void {
  for (const auto& [name, count] : fleet_.observed.counts)
    counts_[name.substr(name.rfind(' ') + 1)] += count;  // by the code at the end of the name
  static const auto counted_events = std::set<std::string>{"got", "try", "probe", "newest"};
  for (const auto& event : fleet_.observed.rows)
    if (auto event_name = get_string(event, "e"); counted_events.count(event_name))
      ++counts_[event_name];
}

auto scenario_run::count_storage_nodes() -> void {
  auto loads = std::vector<std::int64_t>();
  for (const auto& [name, process] : fleet_.processes) {
    if (!process->storage)
      continue;
    loads.push_back(process->storage->session.self.load);
    auto status = process->storage->status();
    for (const auto& partition : get_value(status, "cells").as_object()) {
      if (get_string_or(partition.value(), "role") == "primary")
        ++counts_["primaries"];
      counts_["epochs"] = std::max(counts_["epochs"], get_int(partition.value(), "epoch"));
    }
  }
  if (loads.empty())
    return;
  auto [least, most] = std::minmax_element(loads.begin(), loads.end());
  counts_["usage_low"] = *least;
  counts_["usage_gap"] = *most - *least;
}

auto scenario_run::count_latencies() -> void {
  for (auto& [space, latencies] : fleet_.observed.acks) {
    std::sort(latencies.begin(), latencies.end());
    counts_[space + "_p50_ms"] = latencies[latencies.size() / 2] / millisecond;
    counts_[space + "_p99_ms"] = latencies[latencies.size() * 99 / 100] / millisecond;
    counts_[space + "_max_ms"] = latencies.back() / millisecond;
  }
}

auto scenario_run::check_counts() -> void {
  for (const auto& [count, violation] : forbidden_counts)
    if (counts_[count])
      result_.violations.push_back(violation);
  for (const auto& [expectation, bound] : scenario_.expected_counts) {
    auto is_minimum = expectation[0] != '<';
    auto name = is_minimum ? expectation : expectation.substr(1);
    auto seen = counts_[name];
    if (is_minimum ? seen >= bound : seen <= bound)
      continue;
    result_.violations.push_back("expected " + std::string(is_minimum ? "at least " : "at most ") +
                                 std::to_string(bound) + " of " + name + ", saw " + std::to_string(seen));
  }
}

auto scenario_run::write_metrics() -> void {
  auto text = std::ostringstream();
  for (const auto* name : displayed_counts)
    if (counts_[name])
      text << name << ' ' << counts_[name] << ' ';
  text << "sends/s " << counts_["sends"] << " kB/s " << counts_["kbytes"] << " syncs/s " << counts_["syncs"]
       << " wakes/s " << counts_["wakes"] << ' ';
  text << "steps " << fleet_.network.steps;
  result_.metrics = text.str();
}

auto scenario_run::log_answer_counts() -> void {
  auto text = std::string("answers:");
  for (const auto& [answer, count] : fleet_.observed.counts)
    text += " [" + answer + "] " + std::to_string(count);
  log(log_level::info, "scenario", text);
}

}  // namespace

auto run_scenario(const scenario& definition, std::uint64_t seed) -> run_result {
  return scenario_run(definition, seed).run();
}

}  // namespace reachridge
