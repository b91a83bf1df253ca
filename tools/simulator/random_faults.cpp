#include "simulator/random_faults.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

namespace reachridge {
namespace {

struct weighted_fault {
  const char* name;
  int weight;
};

// The random faults and their relative frequencies, from the required list of failures.
constexpr auto fault_mix = std::to_array<weighted_fault>({
    {"kill", 10},          {"freeze", 8},           {"terminate", 5},       {"rolling_restart", 2},
    {"power_off", 4},      {"power_off_all", 1},    {"isolate", 4},         {"cut", 5},
    {"cut_one_way", 5},    {"cut_nodes", 4},        {"lose_packets", 3},    {"slow_down", 4},
    {"lose_disk", 4},      {"flip_bits", 1},        {"fill_disk", 2},       {"reset_connections", 5},
    {"configure", 6},      {"configure_race", 3},   {"configure_stale", 2}, {"configure_invalid", 2},
    {"change_setting", 3}, {"add_storage_node", 1}, {"drain_any", 2},
});

constexpr auto time_grid = 10 * millisecond;  // scenario files state times in hundredths of a second

// Draws faults from one seed. The order of draws must not change because a seed has to reproduce the same faults.
class fault_generator {
 public:
  fault_generator(const scenario& definition, std::uint64_t seed)
      : scenario_(definition), random_engine_(seed * 6364136223846793005ULL + 1442695040888963407ULL) {}

  // Returns an exponentially distributed time whose mean is the scenario's interval.
  auto draw_interval() -> double {
    auto mean = static_cast<double>(scenario_.random_fault_interval);
    return std::exponential_distribution<>(1.0 / mean)(random_engine_);
  }
  // Draws a fault that starts at the time `at`.
  auto draw(double at) -> scheduled_fault;

 private:
  using draw_function = void (fault_generator::*)(scheduled_fault&);
  static auto draw_functions() -> const std::map<std::string, draw_function>&;

  auto random_below(std::int64_t limit) -> std::int64_t {
    return static_cast<std::int64_t>(random_engine_() % static_cast<std::uint64_t>(limit));
  }
  auto random_between(double low, double high) -> double {
    return std::uniform_real_distribution<>(low, high)(random_engine_);
  }
  auto draw_fault_name() -> std::string;
  auto draw_zone() -> std::string {
    return "z" + std::to_string(1 + random_below(scenario_.shape.zones));
  }
  auto draw_node() -> std::string;
  auto draw_numbered_name(const std::string& prefix, std::int64_t count) -> std::string {
    return prefix + std::to_string(1 + random_below(count));
  }
  auto draw_storage_node() -> std::string {
    return draw_numbered_name("comb-", scenario_.shape.storage_nodes);
  }
  auto draw_control_node() -> std::string {
    return draw_numbered_name("queen-", scenario_.shape.control_nodes);
  }

  // Each function sets the arguments, and the duration if it differs from the general distribution.
  auto draw_node_argument(scheduled_fault& fault) -> void {
    fault.args = {draw_node()};
  }
  auto terminate(scheduled_fault& fault) -> void;
  auto freeze(scheduled_fault& fault) -> void;
  auto rolling_restart(scheduled_fault& fault) -> void;
  auto draw_zone_argument(scheduled_fault& fault) -> void {
    fault.args = {draw_zone()};
  }
  auto power_off_all(scheduled_fault& fault) -> void;
  auto cut_zones(scheduled_fault& fault) -> void;
  auto cut_nodes(scheduled_fault& fault) -> void;
  auto lose_packets(scheduled_fault& fault) -> void {
    fault.args = {"0.05"};
  }
  auto slow_down(scheduled_fault& fault) -> void;
  auto lose_disk(scheduled_fault& fault) -> void;
  auto flip_bits(scheduled_fault& fault) -> void;
  auto fill_disk(scheduled_fault& fault) -> void;
  auto reset_connections(scheduled_fault& fault) -> void;
  auto change_setting(scheduled_fault& fault) -> void;
  auto without_duration(scheduled_fault&) -> void {
    duration_ = 0;
  }

  const scenario& scenario_;
  std::mt19937_64 random_engine_;
  double duration_ = 0;  // of the fault being drawn, in seconds
};

auto fault_generator::draw_functions() -> const std::map<std::string, draw_function>& {
  using self = fault_generator;
  static const auto all = std::map<std::string, draw_function>{
      {"kill", &self::draw_node_argument},
      {"terminate", &self::terminate},
      {"freeze", &self::freeze},
      {"rolling_restart", &self::rolling_restart},
      {"power_off", &self::draw_zone_argument},
      {"isolate", &self::draw_zone_argument},
      {"power_off_all", &self::power_off_all},
      {"cut", &self::cut_zones},
      {"cut_one_way", &self::cut_zones},
      {"cut_nodes", &self::cut_nodes},
      {"lose_packets", &self::lose_packets},
      {"slow_down", &self::slow_down},
      {"lose_disk", &self::lose_disk},
      {"flip_bits", &self::flip_bits},
      {"fill_disk", &self::fill_disk},
      {"reset_connections", &self::reset_connections},
      {"change_setting", &self::change_setting},
      {"configure", &self::without_duration},
      {"configure_race", &self::without_duration},
      {"configure_stale", &self::without_duration},
      {"configure_invalid", &self::without_duration},
      {"add_storage_node", &self::without_duration},
      {"drain_any", &self::without_duration},
  };
  return all;
}

auto fault_generator::draw(double at) -> scheduled_fault {
  auto fault = scheduled_fault();
  fault.verb = draw_fault_name();
  fault.earliest = fault.latest = static_cast<monotonic_time>(at) / time_grid * time_grid;
  auto is_long = random_below(8) == 0;
  duration_ = is_long ? random_between(20, 90) : random_between(0.5, 15);
  (this->*draw_functions().at(fault.verb))(fault);
  fault.duration = static_cast<monotonic_time>(duration_ * 100) * time_grid;
  return fault;
}

auto fault_generator::draw_fault_name() -> std::string {
  auto is_included = [&](const weighted_fault& candidate) {
    return scenario_.excluded_faults.count(candidate.name) == 0;
  };
  auto total = 0;
  for (const auto& candidate : fault_mix)
    if (is_included(candidate))
      total += candidate.weight;
  auto remaining = random_below(total);
  for (const auto& candidate : fault_mix) {
    if (!is_included(candidate))
      continue;
    remaining -= candidate.weight;
    if (remaining < 0)
      return candidate.name;
  }
  return {};
}

auto fault_generator::draw_node() -> std::string {
  switch (random_below(9)) {
    case 0:
      return "leader";
    case 1:
    case 2:
      return "busiest";
    case 3:
      return draw_control_node();
    case 4:
    case 5:
      return draw_storage_node();
    case 6:
      return draw_numbered_name("scout-", scenario_.shape.gateways);
    default:
      return draw_numbered_name("forager-", scenario_.shape.gateways);
  }
}

auto fault_generator::terminate(scheduled_fault& fault) -> void {
  fault.args = {draw_node()};
  duration_ = std::max(duration_, 6.0);  // SIGKILL comes up to five seconds after SIGTERM
}

auto fault_generator::freeze(scheduled_fault& fault) -> void {
  fault.args = {draw_node()};
  duration_ = random_between(0.3, 9);
}

auto fault_generator::rolling_restart(scheduled_fault& fault) -> void {
  static const auto kinds = std::array<std::string, 4>{"comb", "queen", "forager", "scout"};
  fault.args = {kinds[static_cast<std::size_t>(random_below(4))]};
  duration_ = 8;
}

auto fault_generator::power_off_all(scheduled_fault& fault) -> void {
  fault.verb = "power_off";
  fault.args = {"all"};
  duration_ = random_between(1, 6);
}

auto fault_generator::cut_zones(scheduled_fault& fault) -> void {
  auto from = draw_zone();
  auto to = draw_zone();
  while (from == to)
    to = draw_zone();
  fault.args = {from, to};
}

auto fault_generator::cut_nodes(scheduled_fault& fault) -> void {
  fault.verb = "cut";
  auto from = draw_node();
  auto to = draw_node();
  fault.args = {from, to};
}

auto fault_generator::slow_down(scheduled_fault& fault) -> void {
  auto node = draw_node();
  fault.args = {node, std::to_string(5 + random_below(60))};
}

auto fault_generator::lose_disk(scheduled_fault& fault) -> void {
  fault.verb = "lose_spare_disk";
  auto selects_storage_node = random_below(3) != 0;
  fault.args = {selects_storage_node ? draw_storage_node() : draw_control_node()};
  duration_ = random_between(1, 8);
}

auto fault_generator::flip_bits(scheduled_fault& fault) -> void {
  fault.verb = "flip_spare_bits";
  fault.args = {draw_storage_node(), "3"};
  duration_ = random_between(1, 4);
}

auto fault_generator::fill_disk(scheduled_fault& fault) -> void {
  fault.args = {draw_storage_node()};
  duration_ = random_between(1, 8);
}

auto fault_generator::reset_connections(scheduled_fault& fault) -> void {
  fault.args = {random_below(3) ? "0.3" : "0.95"};
  duration_ = 0;
}

auto fault_generator::change_setting(scheduled_fault& fault) -> void {
  auto is_valid = random_below(2) == 0;
  auto node = draw_node();
  if (is_valid)
    fault.args = {node, "lag_ms", std::to_string(700 + random_below(900))};
  else
    fault.args = {node, "beat_ms", "soon"};
  duration_ = 0;
}

}  // namespace

auto is_random_fault(const std::string& name) -> bool {
  return std::any_of(fault_mix.begin(), fault_mix.end(), [&](const weighted_fault& candidate) {
    return candidate.name == name;
  });
}

auto draw_random_faults(const scenario& definition, std::uint64_t seed) -> std::vector<scheduled_fault> {
  auto out = std::vector<scheduled_fault>();
  if (!definition.random_fault_interval)
    return out;
  auto generator = fault_generator(definition, seed);
  auto at = static_cast<double>(definition.random_faults_from) + generator.draw_interval();
  while (at < static_cast<double>(definition.random_faults_until)) {
    out.push_back(generator.draw(at));
    at += generator.draw_interval();
  }
  return out;
}

auto all_faults(const scenario& definition, std::uint64_t seed) -> std::vector<scheduled_fault> {
  auto out = definition.faults;
  for (auto& fault : draw_random_faults(definition, seed))
    out.push_back(std::move(fault));
  return out;
}

auto sort_by_time(std::vector<scheduled_fault>& faults) -> void {
  std::stable_sort(faults.begin(), faults.end(), [](const auto& left, const auto& right) {
    return left.earliest < right.earliest;
  });
}

}  // namespace reachridge
