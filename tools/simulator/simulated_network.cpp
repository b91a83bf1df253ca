#include "simulator/simulated_network.hpp"

#include <time.h>

#include <algorithm>
#include <random>
#include <utility>

namespace reachridge {

simulated_network::simulated_network(std::uint64_t seed) : random_engine(seed) {}
simulated_network::~simulated_network() = default;

auto simulated_network::machine_at(const std::string& name, const std::string& zone) -> machine& {
  auto& entry = machines[name];
  if (!entry) {
    entry = std::make_unique<machine>();
    entry->name = name;
    entry->zone = zone;
    auto number = machines.size();
    entry->ip = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
  }
  return *entry;
}

auto simulated_network::schedule(monotonic_time at, std::function<void()> callback) -> void {
  events_.emplace(std::max(at, clock), std::move(callback));
}

auto simulated_network::reachable(const machine& from, const machine& to) const -> bool {
  if (!from.powered || !to.powered)
    return false;
  if (&from == &to)
    return true;
  return !covers(cuts_, from, to) && !covers(refusals_, from, to);
}
auto simulated_network::refuses(const machine& from, const machine& to) const -> bool {
  return from.powered && to.powered && &from != &to && covers(refusals_, from, to);
}
auto simulated_network::covers(const path_set& paths, const machine& from, const machine& to) -> bool {
  if (paths.empty())
    return false;
  for (const auto& from_name : {from.name, from.zone, std::string("*")})
    for (const auto& to_name : {to.name, to.zone, std::string("*")}) {
      if (!paths.count({from_name, to_name}))
        continue;
      // A cut with '*' affects neither machines of one zone among themselves nor clients outside of all zones.
      if ((from_name == "*" || to_name == "*") && (from.zone == to.zone || from.zone == "out" || to.zone == "out"))
        continue;
      return true;
    }
  return false;
}
auto simulated_network::cut(const std::string& from, const std::string& to, cut_kind kind) -> void {
  auto& paths = kind == cut_kind::refusing ? refusals_ : cuts_;
  paths.insert({from, to});
}
auto simulated_network::heal(const std::string& from, const std::string& to, cut_kind kind) -> void {
  auto& paths = kind == cut_kind::refusing ? refusals_ : cuts_;
  if (auto path = paths.find({from, to}); path != paths.end())
    paths.erase(path);  // removes one cut; another cut of the same path may remain
}

auto simulated_network::add_to_agenda(sim_host& host) -> void {
  auto due_time = host.next_run();
  if (due_time == host.agenda_key_)
    return;
  if (host.agenda_key_ < never)
    agenda_.erase({host.agenda_key_, host.start_order_, &host});
  host.agenda_key_ = due_time;
  if (due_time < never)
    agenda_.insert({due_time, host.start_order_, &host});
}
auto simulated_network::remove_from_agenda(sim_host& host) -> void {
  agenda_.erase({host.agenda_key_, host.start_order_, &host});
  std::erase(rescheduled_, &host);
  if (running_ == &host)
    running_ = nullptr;
}

namespace {
constexpr auto max_steps_per_turn = 64;  // of one process, before other processes run

auto processor_time_ns() -> std::int64_t {
  constexpr auto ns_per_second = std::int64_t{1000000000};
  auto time = timespec();
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * ns_per_second + time.tv_nsec;
}
}  // namespace

auto simulated_network::loses_packet() -> bool {
  return packet_loss > 0 && std::uniform_real_distribution<>(0, 1)(random_engine) < packet_loss;
}

auto simulated_network::machine_with_ip(const std::string& ip) const -> machine* {
  auto* found = static_cast<machine*>(nullptr);
  for (const auto& [name, entry] : machines)
    if (entry->ip == ip)
      found = entry.get();
  return found;
}

auto simulated_network::run(monotonic_time end) -> void {
  stopped = false;
  while (!stopped && run_next(end)) {
  }
  clock = std::max(clock, end);
}

auto simulated_network::update_agenda() -> void {
  for (auto* host : rescheduled_) {
    host->schedule_dirty_ = false;
    add_to_agenda(*host);
  }
  rescheduled_.clear();
}

// Runs an event before a process that is due at the same time.
auto simulated_network::run_next(monotonic_time end) -> bool {
  update_agenda();
  auto due_time = events_.empty() ? never : events_.begin()->first;
  auto* host = static_cast<sim_host*>(nullptr);
  if (!agenda_.empty() && std::get<0>(*agenda_.begin()) < due_time) {
    due_time = std::get<0>(*agenda_.begin());
    host = std::get<2>(*agenda_.begin());
  }
  if (due_time > end || due_time >= never)
    return false;
  clock = std::max(clock, due_time);
  if (host)
    run_host(*host);
  else
    run_event();
  return true;
}

auto simulated_network::run_event() -> void {
  auto event = std::move(events_.begin()->second);
  events_.erase(events_.begin());
  event();
}

// Runs one turn of a process. The process may be destroyed during its turn. In that case `running_` no longer points to
// `host`, and `host` must not be accessed.
auto simulated_network::run_host(sim_host& host) -> void {
  if (host.step_cost > 1 && clock > host.busy_until)
    ++wakes;
  running_ = &host;
  auto heap_charge = heap_scope(metered ? host.heap_account : nullptr);
  auto began_ns = metered ? processor_time_ns() : 0;
  auto step_time = static_cast<monotonic_time>(static_cast<double>(host.step_cost) * host.own_machine.slowdown);
  if (host.blocked) {
    host.busy_until = clock;
    std::exchange(host.blocked, nullptr).resume();
    if (stopped || running_ != &host)
      return;
  }
  for (auto i = 0; i < max_steps_per_turn && !host.blocked && host.step(); ++i) {
    ++steps;
    ++host.activity.resumes;
    host.busy_until = std::max(host.busy_until, clock) + step_time;
    if (stopped || running_ != &host)
      break;
  }
  if (running_ != &host)
    return;
  if (metered)
    host.activity.cpu_ns += processor_time_ns() - began_ns;
  host.schedule_changed();  // busy_until has changed
}

}  // namespace reachridge
