// The simulator's command line.
//
//   simulator [--seeds A-B] [--log] FILE...     runs scenario files under seeds on simulated time
//   simulator --model [--seeds A-B]             checks the replicated log under fault schedules
//   simulator --fleet N[,N...]                  measures emulated fleets (docs/CAPACITY.md)
#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "local_cluster/consistency_checker.hpp"
#include "runtime/log.hpp"
#include "simulator/capacity.hpp"
#include "simulator/log_model.hpp"
#include "simulator/scenario_reader.hpp"
#include "simulator/scenario_shrink.hpp"

namespace {

// Parses a comma-separated list of whole numbers. Throws request_error that names an invalid element.
auto parse_number_list(const char* option, const std::string& given) -> std::vector<std::int64_t> {
  auto out = std::vector<std::int64_t>();
  if (given.empty())
    return out;
  auto in = std::istringstream(given + ",");
  for (auto text = std::string(); std::getline(in, text, ',');) {
    auto number = std::int64_t{0};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
      throw reachridge::request_error(reachridge::errc::out_of_range,
                                      std::string(option) + ": '" + text + "' is not a whole number");
    out.push_back(number);
  }
  return out;
}

// The parsed command line.
struct options {
  std::string seeds, settings, history_file, fleets, partitions, rates, listeners, growth, json_file;
  double status_at = 0, span = 2;  // seconds
  int show_log = 0, shrink = 0, draw = 0, model = 0, digest = 0;
  std::vector<std::string> scenarios;
};

constexpr auto exit_failed = 1;
constexpr auto exit_usage = 2;
constexpr auto exit_nothing_to_shrink = 3;

auto invalid(const std::string& why) -> reachridge::request_error {
  return {reachridge::errc::out_of_range, why};
}

// Upper bounds for the growth of frames and bytes per node from the first fleet to the last.
struct growth_bound {
  double frames = 0, bytes = 0;
};
// Parses "FRAMES,BYTES".
auto parse_growth(const std::string& given) -> growth_bound {
  auto out = growth_bound();
  auto* end = static_cast<char*>(nullptr);
  out.frames = std::strtod(given.c_str(), &end);
  if (*end == ',')
    out.bytes = std::strtod(end + 1, &end);
  if (*end || !(out.frames > 0) || !(out.bytes > 0))
    throw invalid("growth: '" + given + "' is not two positive numbers separated by a comma");
  return out;
}

auto parse_sweeps(const options& given) -> reachridge::sweep_plan {
  auto out = reachridge::sweep_plan();
  out.nodes = parse_number_list("fleet", given.fleets);
  out.partitions = parse_number_list("cells", given.partitions);
  out.rates = parse_number_list("rate", given.rates);
  out.listeners = parse_number_list("listeners", given.listeners);
  if (!given.seeds.empty())
    out.seed = static_cast<std::uint64_t>(parse_number_list("seeds", given.seeds)[0]);
  if (!(given.span >= 0.5 && given.span <= 600))
    throw invalid("span: " + std::to_string(given.span) + " is outside 0.5 to 600 seconds");
  out.span = static_cast<reachridge::monotonic_time>(given.span * reachridge::second);
  return out;
}

auto write_json(const std::string& file, const reachridge::capacity_survey& capacity_survey) -> bool {
  auto out = std::ofstream(file);
  out << reachridge::to_json(reachridge::to_value(capacity_survey)) << '\n';
  if (out.flush())
    return true;
  std::cerr << "json: " << file << " cannot be written\n";
  return false;
}

auto check_growth(const reachridge::capacity_survey& capacity_survey, const growth_bound& bound) -> int {
  auto growth = reachridge::growth(capacity_survey);
  auto within_bound = growth["frames"] <= bound.frames && growth["bytes"] <= bound.bytes;
  std::cout << (within_bound ? "ok" : "FAIL") << ": frames x" << growth["frames"] << " (at most " << bound.frames
            << "), bytes x" << growth["bytes"] << " (at most " << bound.bytes << ") per node and second\n";
  return within_bound ? 0 : exit_failed;
}

auto measure_fleets(const options& given) -> int {
  auto capacity_survey = reachridge::capacity_survey();
  auto bound = std::optional<growth_bound>();
  try {
    auto sweep_plan = parse_sweeps(given);
    if (!given.growth.empty()) {
      bound = parse_growth(given.growth);
      if (sweep_plan.nodes.size() < 2)
        throw invalid("growth: needs at least two fleets to compare");
    }
    capacity_survey = reachridge::run_sweeps(sweep_plan);
  } catch (const reachridge::request_error& error) {
    std::cerr << error.message << '\n';
    return error.code == reachridge::errc::out_of_range ? exit_usage : exit_failed;
  }
  std::cout << reachridge::to_text(capacity_survey);
  if (!given.json_file.empty() && !write_json(given.json_file, capacity_survey))
    return exit_failed;
  return bound ? check_growth(capacity_survey, *bound) : 0;
}

struct seed_range {
  std::int64_t first, last;
};
// Parses "A" or "A-B".
auto parse_seeds(const std::string& given) -> seed_range {
  auto dash = given.find('-');
  auto first = std::stoll(given.substr(0, dash));
  return {first, dash == std::string::npos ? first : std::stoll(given.substr(dash + 1))};
}

// Totals over all schedules of the replicated log.
struct model_totals {
  std::int64_t ran = 0, failed = 0, liveness_checked_runs = 0, acknowledged = 0, elections = 0, snapshots = 0,
               changes = 0;
  std::map<std::string, std::int64_t> violations_by_invariant;  // by invariant

  auto add(const reachridge::model_run& run) -> void {
    ++ran;
    liveness_checked_runs += run.liveness_checked ? 1 : 0;
    acknowledged += run.acknowledged;
    elections += run.elections;
    snapshots += run.snapshots;
    changes += run.membership_changes;
    if (run.violations.empty())
      return;
    ++failed;
    ++violations_by_invariant[run.violations[0].invariant];
  }
  auto print() const -> void {
    std::cout << ran << " schedules, " << failed << " failed; " << liveness_checked_runs << " checked for liveness, "
              << acknowledged << " commands acknowledged, " << elections << " elections, " << snapshots
              << " snapshots, " << changes << " membership changes\n";
    for (const auto& [invariant, count] : violations_by_invariant)
      std::cout << "  " << invariant << ": " << count << '\n';
  }
};

// Runs one schedule of the replicated log per seed. Prints the first failing schedules in shrunk form, then stops; with
// --log, lists the further failures instead of stopping.
auto check_log_model(const options& given) -> int {
  constexpr auto failures_shown = 5;
  auto range = parse_seeds(given.seeds.empty() ? "1-10000" : given.seeds);
  auto totals = model_totals();
  for (auto seed = range.first; seed <= range.last; ++seed) {
    auto run = reachridge::run_log_model(static_cast<std::uint64_t>(seed));
    totals.add(run);
    if (run.violations.empty())
      continue;
    if (totals.failed <= failures_shown)
      std::cout << "FAIL " << reachridge::to_text(reachridge::shrink_log_model(static_cast<std::uint64_t>(seed)));
    else if (given.show_log)
      std::cout << "FAIL seed " << seed << ": " << run.violations[0].invariant << '\n';
    else
      break;
  }
  totals.print();
  return totals.failed || !totals.ran ? exit_failed : 0;
}

// Applies "KEY=VALUE,..." over the settings of the scenario.
auto override_settings(reachridge::scenario& scenario, const std::string& given) -> void {
  auto in = std::istringstream(given);
  for (auto setting = std::string(); std::getline(in, setting, ',');) {
    auto equals = setting.find('=');
    scenario.shape.settings[setting.substr(0, equals)] = equals == std::string::npos ? "" : setting.substr(equals + 1);
  }
}

// Returns the seeds given on the command line, or those that the scenario file names.
auto seeds_of(const reachridge::scenario& scenario, const std::string& given) -> std::vector<std::int64_t> {
  auto range = given.empty() ? seed_range{scenario.seed_low, scenario.seed_high} : parse_seeds(given);
  auto out = std::vector<std::int64_t>();
  for (auto seed = range.first; seed <= range.last; ++seed)
    out.push_back(seed);
  if (given.empty())
    out.insert(out.end(), scenario.extra_seeds.begin(), scenario.extra_seeds.end());
  return out;
}

auto shrink_scenario(const reachridge::scenario& scenario, std::uint64_t seed, const std::string& file) -> int {
  try {
    auto shrunk = reachridge::shrink(scenario, seed, [](const std::string& line) {
      std::cerr << line << '\n';
    });
    std::cout << reachridge::write_scenario(shrunk, seed);
    return 0;
  } catch (const reachridge::request_error& error) {
    std::cerr << file << ": " << error.message << '\n';
    return exit_nothing_to_shrink;
  }
}

auto write_history(const std::string& file, const std::vector<reachridge::value>& history) -> void {
  auto out = std::ofstream(file);
  for (const auto& event : history)
    out << reachridge::to_json(event) << '\n';
}

// Runs one seed and prints its result. Returns true if the run passed.
auto run_seed(const options& given, const reachridge::scenario& scenario, std::int64_t seed) -> bool {
  constexpr auto violations_shown = std::size_t{12};
  auto result = reachridge::run_scenario(scenario, static_cast<std::uint64_t>(seed));
  auto passed = result.violations.empty();
  std::cout << (passed ? "ok   " : "FAIL ") << scenario.name << " seed " << seed << ": " << result.metrics << '\n';
  if (given.digest)
    std::cout << "digest " << scenario.name << ' ' << seed << ' ' << std::hex << result.digest << std::dec << '\n';
  if (!given.history_file.empty())
    write_history(given.history_file, result.history);
  for (auto i = std::size_t{0}; i < result.violations.size() && i < violations_shown; ++i)
    std::cout << "     " << result.violations[i] << '\n';
  if (!passed && given.show_log)
    std::cout << reachridge::recent_log();
  return passed;
}

struct run_counts {
  int ran = 0, failed = 0;
};

auto run_seeds(const options& given, const reachridge::scenario& scenario, run_counts& counts) -> void {
  for (auto seed : seeds_of(scenario, given.seeds)) {
    ++counts.ran;
    if (!run_seed(given, scenario, seed))
      ++counts.failed;
  }
}

auto run_scenarios(const options& given) -> int {
  auto counts = run_counts();
  for (const auto& file : given.scenarios) {
    try {
      auto scenario = reachridge::read_scenario(file);
      override_settings(scenario, given.settings);
      scenario.status_at = static_cast<reachridge::monotonic_time>(given.status_at * reachridge::second);
      auto first_seed = given.seeds.empty() ? scenario.seed_low : parse_seeds(given.seeds).first;
      if (given.draw) {
        std::cout << reachridge::write_scenario(scenario, static_cast<std::uint64_t>(first_seed));
        return 0;
      }
      if (given.shrink)
        return shrink_scenario(scenario, static_cast<std::uint64_t>(first_seed), file);
      run_seeds(given, scenario, counts);
    } catch (const std::exception& error) {
      std::cerr << file << ": " << error.what() << '\n';
      return exit_usage;
    }
  }
  std::cout << counts.ran << " runs, " << counts.failed << " failed\n";
  return counts.failed || !counts.ran ? exit_failed : 0;
}

// A text option as returned by popt: an allocated string, or null if the option is absent. Frees the string.
class text_option {
 public:
  text_option() = default;
  text_option(const text_option&) = delete;
  auto operator=(const text_option&) -> text_option& = delete;
  ~text_option() {
    std::free(text_);
  }
  auto target() -> char** {
    return &text_;
  }
  [[nodiscard]] auto value() const -> std::string {
    return text_ ? text_ : "";
  }

 private:
  char* text_ = nullptr;
};

// Parses the command line. On an invalid option, prints an error to standard error and returns nothing.
auto parse_command_line(int argc, const char** argv) -> std::optional<options> {
  auto out = options();
  text_option seeds, history, settings, fleets, partitions, rates, listeners, growth, json;
  poptOption table[] = {
      {"seeds", 's', POPT_ARG_STRING, seeds.target(), 0,
       "seeds, one number or A-B; default: the seeds in the scenario file", "A-B"},
      {"log", 'l', POPT_ARG_NONE, &out.show_log, 0, "print the recent log of a failing run", nullptr},
      {"shrink", 0, POPT_ARG_NONE, &out.shrink, 0,
       "shrink the run of the first seed to a minimal scenario that violates the same rule; exit 3 if the run passes",
       nullptr},
      {"look", 0, POPT_ARG_DOUBLE, &out.status_at, 0, "print the status of all processes at this time", "SECONDS"},
      {"draw", 0, POPT_ARG_NONE, &out.draw, 0, "print the scenario with the faults drawn from the first seed", nullptr},
      {"set", 0, POPT_ARG_STRING, settings.target(), 0, "override settings of the scenario", "KEY=VALUE,..."},
      {"digest", 0, POPT_ARG_NONE, &out.digest, 0, "print a digest over every frame and every batch written to a disk",
       nullptr},
      {"history", 'o', POPT_ARG_STRING, history.target(), 0, "write the history of observed events to a file", "FILE"},
      {"model", 0, POPT_ARG_NONE, &out.model, 0,
       "no scenario: check the replicated log under one fault schedule per seed", nullptr},
      {"fleet", 0, POPT_ARG_STRING, fleets.target(), 0, "no scenario: measure idle fleets of N emulated nodes",
       "N[,N...]"},
      {"cells", 0, POPT_ARG_STRING, partitions.target(), 0,
       "number of partitions (default 48); of several values, each is measured on the first fleet", "N[,N...]"},
      {"rate", 0, POPT_ARG_STRING, rates.target(), 0, "also measure the first fleet with N messages per second",
       "N[,N...]"},
      {"listeners", 0, POPT_ARG_STRING, listeners.target(), 0,
       "also measure the first fleet with N listeners, at the first rate", "N[,N...]"},
      {"span", 0, POPT_ARG_DOUBLE, &out.span, 0, "simulated time measured of each fleet (default 2)", "SECONDS"},
      {"json", 0, POPT_ARG_STRING, json.target(), 0, "also write the figures and slopes of the fleets as JSON", "FILE"},
      {"growth", 0, POPT_ARG_STRING, growth.target(), 0,
       "exit 1 if frames or bytes per node grow by a larger factor from the first fleet to the last", "FRAMES,BYTES"},
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  auto context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>(
      poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "SCENARIO...");
  if (auto result = poptGetNextOpt(context.get()); result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return {};
  }
  while (const auto* file = poptGetArg(context.get()))
    out.scenarios.emplace_back(file);
  out.seeds = seeds.value();
  out.settings = settings.value();
  out.history_file = history.value();
  out.fleets = fleets.value();
  out.partitions = partitions.value();
  out.rates = rates.value();
  out.listeners = listeners.value();
  out.growth = growth.value();
  out.json_file = json.value();
  return out;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  constexpr auto log_lines_kept = 20000;
  auto given = parse_command_line(argc, argv);
  if (!given)
    return exit_usage;
  reachridge::configure_logging(log_lines_kept, "", false);
  if (given->model)
    return check_log_model(*given);
  if (!given->fleets.empty())
    return measure_fleets(*given);
  return run_scenarios(*given);
}
