#include "simulator/scenario_reader.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

#include "simulator/fault_injector.hpp"
#include "simulator/random_faults.hpp"

namespace reachridge {
namespace {

using word_list = std::vector<std::string>;

auto invalid(const std::string& reason) -> request_error {
  return {errc::invalid_scenario, reason};
}

// Sets the fleet shape and the message rates of a user, divided by `scale`. One simulated client represents `scale`
// clients.
auto set_day_shape(scenario& definition, const std::string& user_name, std::int64_t scale) -> void {
  auto& shape = definition.shape;
  auto is_hovorna = user_name == "hovorna";
  definition.day_shape = user_name;
  shape.zones = is_hovorna ? 4 : 3;
  shape.control_nodes = 3;
  shape.storage_nodes = 4;
  shape.gateways = is_hovorna ? 8 : 7;
  shape.clients = std::max<std::int64_t>(6, (is_hovorna ? 590 : 580) / scale);
  shape.topics = std::max<std::int64_t>(6, (is_hovorna ? 230 : 630) / scale);
  auto messages_per_second = (is_hovorna ? 125.0 : 290.0) / static_cast<double>(scale);
  shape.every = static_cast<monotonic_time>(static_cast<double>(shape.clients) / messages_per_second * second);
  shape.drop = 60 * second;
  shape.partitions = 4;
  shape.keep = shape.keep_low = 35;
  shape.sync = is_hovorna ? 4 * millisecond : 15 * millisecond;
  shape.spikes = is_hovorna ? 0 : 0.001;
  shape.spike = 1500 * millisecond;
  shape.loss = is_hovorna ? 0 : 0.01;
  shape.budgets = is_hovorna ? std::map<std::string, std::int64_t>{{"alerts", 1500}, {"lookups", 1000}}
                             : std::map<std::string, std::int64_t>{};
}

auto read_day(scenario& definition, const word_list& line) -> void {
  if (line[1] != "hovorna" && line[1] != "podnebni")
    throw invalid("'" + line[1] + "' is not a shape of a day: expected 'hovorna' or 'podnebni'");
  auto scale = parse_number(line[2]);
  if (scale < 1 || scale > 100)
    throw invalid("a day is scaled down by 1 to 100, but the scale is " + line[2]);
  set_day_shape(definition, line[1], static_cast<std::int64_t>(scale));
}

auto read_random_faults(scenario& definition, const word_list& line) -> void {
  definition.random_fault_interval = parse_seconds(line[1]);
  definition.random_faults_from = parse_seconds(line[2]);
  definition.random_faults_until = parse_seconds(line[3]);
  if (definition.random_fault_interval < second || definition.random_fault_interval > 600 * second)
    throw invalid("the interval of random faults must be 1 to 600 s, but is " + line[1]);
  if (definition.random_faults_until <= definition.random_faults_from)
    throw invalid("the end of random faults is not after their start");
}

auto read_excluded_faults(scenario& definition, const word_list& line) -> void {
  for (auto i = std::size_t{1}; i < line.size(); ++i) {
    if (!is_random_fault(line[i]))
      throw invalid("'" + line[i] + "' is not a random fault");
    definition.excluded_faults.insert(line[i]);
  }
}

auto read_disk(scenario& definition, const word_list& line) -> void {
  if (line[1] != "holds" && line[1] != "aside")
    throw invalid("disk must be 'holds' (a sync blocks the process) or 'aside'");
  definition.shape.sync_blocks_process = line[1] == "holds";
}

auto read_closing(scenario& definition, const word_list& line) -> void {
  if (line[1] != "yes" && line[1] != "no")
    throw invalid("closing must be 'yes' or 'no'");
  definition.closing_power_loss = line[1] == "yes";
}

// Reads the share of syncs that are slow and the maximum extra time of a slow sync.
auto read_spikes(scenario& definition, const word_list& line) -> void {
  definition.shape.spikes = parse_number(line[1]);
  definition.shape.spike = parse_seconds(line[2]);
}

auto read_seeds(scenario& definition, const word_list& line) -> void {
  definition.seed_low = static_cast<std::int64_t>(parse_number(line[1]));
  definition.seed_high = static_cast<std::int64_t>(parse_number(line[2]));
}

// The number of arguments of a scenario line other than a fault, and the function that reads the line.
struct scenario_line {
  std::size_t arguments;
  std::function<void(scenario&, const word_list&)> read;
};

auto count_line(std::int64_t fleet_shape::*field) -> scenario_line {
  return {1, [field](scenario& definition, const word_list& line) {
            definition.shape.*field = static_cast<std::int64_t>(parse_number(line[1]));
          }};
}

auto time_line(monotonic_time fleet_shape::*field) -> scenario_line {
  return {1, [field](scenario& definition, const word_list& line) {
            definition.shape.*field = parse_seconds(line[1]);
          }};
}

auto time_line(monotonic_time scenario::*field) -> scenario_line {
  return {1, [field](scenario& definition, const word_list& line) {
            definition.*field = parse_seconds(line[1]);
          }};
}

auto flag_line(bool scenario::*field) -> scenario_line {
  return {0, [field](scenario& definition, const word_list&) {
            definition.*field = true;
          }};
}

constexpr auto any_number_of_arguments = std::size_t{0} - 1;

auto scenario_lines() -> const std::map<std::string, scenario_line>& {
  static const auto all = std::map<std::string, scenario_line>{
      {"zones", count_line(&fleet_shape::zones)},
      {"control_nodes", count_line(&fleet_shape::control_nodes)},
      {"storage_nodes", count_line(&fleet_shape::storage_nodes)},
      {"gateways", count_line(&fleet_shape::gateways)},
      {"clients", count_line(&fleet_shape::clients)},
      {"topics", count_line(&fleet_shape::topics)},
      {"pipeline", count_line(&fleet_shape::pipeline)},
      {"partitions", count_line(&fleet_shape::partitions)},
      {"keep", count_line(&fleet_shape::keep)},
      {"keep_low", count_line(&fleet_shape::keep_low)},
      {"extra_spaces", count_line(&fleet_shape::extra_spaces)},
      {"every", time_line(&fleet_shape::every)},
      {"echo", time_line(&fleet_shape::echo)},
      {"sync", time_line(&fleet_shape::sync)},
      {"length", time_line(&scenario::length)},
      {"quiet", time_line(&scenario::quiet)},
      {"degraded", flag_line(&scenario::degraded_throughout)},
      {"probing", flag_line(&scenario::probe_throughout)},
      {"day", {2, read_day}},
      {"random_faults", {3, read_random_faults}},
      {"without", {any_number_of_arguments, read_excluded_faults}},
      {"disk", {1, read_disk}},
      {"closing", {1, read_closing}},
      {"spikes", {2, read_spikes}},
      {"seeds", {2, read_seeds}},
      {"budget",
       {2,
        [](scenario& definition, const word_list& line) {
          definition.shape.budgets[line[1]] = parse_seconds(line[2]) / millisecond;
        }}},
      {"drop",
       {1,
        [](scenario& definition, const word_list& line) {
          definition.shape.drop = line[1] == "never" ? never : parse_seconds(line[1]);
        }}},
      {"loss",
       {1,
        [](scenario& definition, const word_list& line) {
          definition.shape.loss = parse_number(line[1]);
        }}},
      {"set",
       {2,
        [](scenario& definition, const word_list& line) {
          definition.shape.settings[line[1]] = line[2];
        }}},
      {"also",
       {1,
        [](scenario& definition, const word_list& line) {
          definition.extra_seeds.push_back(static_cast<std::int64_t>(parse_number(line[1])));
        }}},
      {"want",
       {2,
        [](scenario& definition, const word_list& line) {
          definition.expected_counts.emplace_back(line[1], static_cast<std::int64_t>(parse_number(line[2])));
        }}},
  };
  return all;
}

auto read_line(scenario& definition, const word_list& line) -> void {
  auto found = scenario_lines().find(line[0]);
  if (found == scenario_lines().end())
    throw invalid("'" + line[0] + "' is not a word of a scenario file");
  const auto& [arguments, read] = found->second;
  if (arguments != any_number_of_arguments && line.size() != arguments + 1)
    throw invalid("'" + line[0] + "' takes " + std::to_string(arguments) + " arguments");
  read(definition, line);
}

// Reads "T", "T1..T2" (a time drawn from this range) or "T+STEP" (STEP is added with each further seed).
auto read_fault_time(scheduled_fault& fault, const std::string& text) -> void {
  auto range_separator = text.find("..");
  auto step_separator = text.find('+');
  if (step_separator != std::string::npos && range_separator != std::string::npos)
    throw invalid("'" + text + "' combines a range of times with a step per seed");
  fault.earliest = parse_seconds(text.substr(0, std::min(range_separator, step_separator)));
  if (step_separator != std::string::npos)
    fault.sweep_step = parse_seconds(text.substr(step_separator + 1));
  fault.latest =
      range_separator == std::string::npos ? fault.earliest : parse_seconds(text.substr(range_separator + 2));
  if (fault.latest < fault.earliest)
    throw invalid("'" + text + "' is a range whose end is before its start");
}

auto read_scheduled_fault(const word_list& line, int line_number) -> scheduled_fault {
  constexpr auto first_argument = std::size_t{3};
  if (line.size() < first_argument)
    throw invalid("'at' needs a time and a command");
  auto fault = scheduled_fault();
  fault.line = line_number;
  read_fault_time(fault, line[1]);
  fault.verb = line[2];
  auto argument_count = fault_arguments(fault.verb);
  if (!argument_count)
    throw invalid("'" + fault.verb + "' is not a command");
  auto word_index = first_argument;
  for (; word_index < line.size() && line[word_index] != "for"; ++word_index)
    fault.args.push_back(line[word_index]);
  if (word_index < line.size()) {
    if (word_index + 2 != line.size())
      throw invalid("'for' needs exactly one number at the end of the line");
    fault.duration = parse_seconds(line[word_index + 1]);
  }
  if (fault.args.size() != *argument_count)
    throw invalid("'" + fault.verb + "' takes " + std::to_string(*argument_count) + " arguments, but has " +
                  std::to_string(fault.args.size()));
  return fault;
}

auto split_words(const std::string& line) -> word_list {
  auto input = std::istringstream(line.substr(0, line.find('#')));
  auto words = word_list();
  for (auto word = std::string(); input >> word;)
    words.push_back(word);
  return words;
}

// Returns whether --shrink copies a line with this first word. It rewrites or omits all other lines.
auto is_shrinkable(const std::string& first_word) -> bool {
  static const auto rewritten_words =
      std::set<std::string>{"at", "storm", "seeds", "also", "length", "want", "without"};
  return rewritten_words.count(first_word) == 0;
}

}  // namespace

auto parse_number(const std::string& text) -> double {
  auto end = std::size_t{0};
  auto number = 0.0;
  try {
    number = std::stod(text, &end);
  } catch (const std::exception&) {
    end = 0;
  }
  if (end != text.size() || text.empty())
    throw invalid("'" + text + "' is not a number");
  return number;
}

auto parse_seconds(const std::string& text) -> monotonic_time {
  return static_cast<monotonic_time>(parse_number(text) * second);
}

auto format_seconds(monotonic_time time) -> std::string {
  constexpr auto digits = 10;
  auto out = std::ostringstream();
  out.precision(digits);
  out << static_cast<double>(time) / second;
  return out.str();
}

auto read_scenario(const std::string& file) -> scenario {
  auto definition = scenario();
  auto input = std::ifstream(file);
  if (!input)
    throw invalid("the scenario file cannot be read");
  definition.name = file.substr(file.rfind('/') + 1);
  definition.name = definition.name.substr(0, definition.name.rfind('.'));
  auto line_number = 0;
  for (auto text = std::string(); std::getline(input, text);) {
    ++line_number;
    auto line = split_words(text);
    if (line.empty())
      continue;
    try {
      if (is_shrinkable(line[0]))
        definition.shrinkable_lines.push_back(text);
      if (line[0] == "at")
        definition.faults.push_back(read_scheduled_fault(line, line_number));
      else
        read_line(definition, line);
    } catch (const request_error& error) {
      throw invalid("line " + std::to_string(line_number) + ": " + error.message);
    }
  }
  return definition;
}

auto write_scenario(const scenario& definition, std::uint64_t seed) -> std::string {
  auto text = std::string();
  for (const auto& line : definition.shrinkable_lines)
    text += line + "\n";
  auto seed_text = std::to_string(seed);
  text += "length " + format_seconds(definition.length) + "\n";
  text += "seeds " + seed_text + " " + seed_text + "\n";
  auto faults = all_faults(definition, seed);
  sort_by_time(faults);
  for (const auto& fault : faults) {
    text += "at " + format_seconds(fault.earliest);
    if (fault.latest > fault.earliest)
      text += ".." + format_seconds(fault.latest);
    if (fault.sweep_step)
      text += "+" + format_seconds(fault.sweep_step);
    text += " " + fault.verb;
    for (const auto& argument : fault.args)
      text += " " + argument;
    if (fault.duration)
      text += " for " + format_seconds(fault.duration);
    text += "\n";
  }
  return text;
}

}  // namespace reachridge
