#include "simulator/capacity.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

#include "runtime/request_error.hpp"
#include "simulator/fleet.hpp"

namespace reachridge {
namespace {

constexpr auto partitions_per_space = std::int64_t{16};
constexpr auto max_publishers = std::int64_t{64};

// The target size (docs/CAPACITY.md).
constexpr auto full_nodes = 5200.0, full_partitions = 290000.0, full_links = 300e6, full_deliveries = 160e6;
constexpr auto full_listeners = 160000.0, full_changes = 32000.0;
constexpr auto day = 86400.0;
constexpr auto core_bound = 0.018, memory_bound = 128.0 * (1 << 20), bytes_bound = 18000.0;

const auto rate_figures = std::vector<std::string>{"frames_out",  "frames_in",  "bytes_out", "bytes_in",
                                                   "near_frames", "near_bytes", "resumes",   "cpu_us"};
const auto final_figures = std::vector<std::string>{"timers", "heap_bytes", "pull_bytes", "disk_bytes"};
const auto process_roles = std::vector<std::string>{"queen", "comb", "forager", "scout"};

auto as_figures(const counters& totals) -> figures {
  auto to_double = [](auto number) {
    return static_cast<double>(number);
  };
  return {{"frames_out", to_double(totals.frames_out)},   {"frames_in", to_double(totals.frames_in)},
          {"bytes_out", to_double(totals.bytes_out)},     {"bytes_in", to_double(totals.bytes_in)},
          {"near_frames", to_double(totals.near_frames)}, {"near_bytes", to_double(totals.near_bytes)},
          {"resumes", to_double(totals.resumes)},         {"cpu_us", to_double(totals.cpu_ns) / 1000}};
}

auto spaces_of(std::int64_t partitions) -> std::string {
  auto text = std::string();
  for (auto space = std::int64_t{0}; space * partitions_per_space < partitions; ++space)
    text += (space ? "," : "") + (R"({"name":"s)" + std::to_string(space)) + R"(","keep_s":35,"urgency":5,"cells":)" +
            std::to_string(std::min(partitions_per_space, partitions - space * partitions_per_space)) + "}";
  return text;
}
auto configuration_text(std::int64_t number, std::int64_t partitions) -> std::string {
  return R"({"number":)" + std::to_string(number) + R"(,"spaces":[)" + spaces_of(partitions) +
         R"(],"rules":["allow all on *"]})";
}
auto topic_of(std::int64_t index, std::int64_t partitions) -> std::string {
  auto spaces = (partitions + partitions_per_space - 1) / partitions_per_space;
  return "s" + std::to_string(index % spaces) + "/t" + std::to_string(index % load_topics);
}

// A simulated fleet that has settled, with measurements of its processes.
class emulated_fleet {
 public:
  emulated_fleet(const fleet_load& size, std::uint64_t seed) : load(size), simulated(seed, fleet_shape_for(size)) {
    simulated.network.metered = true;
  }

  auto settle() -> void {
    for (auto& name : simulated.names("queen"))
      simulated.start(name);
    simulated.network.run(simulated.network.clock + 2 * second);
    for (auto& [name, process] : simulated.processes)
      simulated.start(name);
    simulated.operator_calls = std::make_unique<operator_client>(*simulated.outside, simulated.control_addresses,
                                                                 simulated.gateway_addresses, simulated.observed);
    change_configuration();
    auto started_at = simulated.network.clock;
    wait("all partitions are founded and every node knows the current cluster state", [&] {
      return fully_informed();
    });
    founding = simulated.network.clock - started_at;
    start_clients();
    // Wait until partitions have stopped moving and sessions and connections have reached their steady rate.
    auto version = std::int64_t{-1};
    auto since = simulated.network.clock;
    wait("no partition has moved for 2 s", [&] {
      auto current = leader_node().state.partitions_version.get();
      if (current != version)
        since = simulated.network.clock;
      version = current;
      return simulated.network.clock - since >= 2 * second;
    });
  }

  // Runs for a span. Returns the figures per second of an average process of each role.
  auto measure_span(monotonic_time span) -> std::map<std::string, figures> {
    auto before = snapshot();
    simulated.network.run(simulated.network.clock + span);
    auto averages = std::map<std::string, figures>();
    auto seconds = static_cast<double>(span) / second;
    for (auto& [name, process] : simulated.processes) {
      if (!process->up() || !before.count(name))
        continue;
      auto current = as_figures(process->host->activity);
      auto& sum = averages[process->kind];
      for (auto& [figure, amount] : current)
        sum[figure] += (amount - before[name][figure]) / seconds;
      if (process->control && process->control->leads()) {
        for (auto& [figure, amount] : current)
          averages["leader"][figure] = (amount - before[name][figure]) / seconds;
        add_final_figures(*process, averages["leader"]);
      }
      add_final_figures(*process, sum);
    }
    for (auto& [kind, sum] : averages)
      if (kind != "leader")
        for (auto& [figure, amount] : sum)
          amount /= static_cast<double>(up(kind));
    for (const auto& figure : rate_figures)
      averages["node"][figure] = averages["scout"][figure] + averages["forager"][figure];
    for (const auto& figure : final_figures)
      averages["node"][figure] = averages["scout"][figure] + averages["forager"][figure];
    return averages;
  }

  [[nodiscard]] auto up(const std::string& kind) const -> std::int64_t {
    return std::count_if(simulated.processes.begin(), simulated.processes.end(), [&](auto& entry) {
      return entry.second->kind == kind && entry.second->up();
    });
  }
  // Returns the bytes that an agent's machine receives during a span. All of them belong to the agent's session.
  auto session_bytes(monotonic_time span) -> double {
    return measure_span(span)["scout"]["bytes_in"] * static_cast<double>(span) / second;
  }
  // Submits another configuration and waits until it takes effect. Returns the duration in milliseconds.
  auto change_configuration() -> double {
    auto succeeded = std::make_shared<bool>(false);
    auto body = configuration_text(++simulated.configuration_number, load.partitions);
    auto number = simulated.configuration_number;
    auto started_at = simulated.network.clock;
    simulated.operate([succeeded, body, number](operator_client& operator_calls) -> task<void> {
      for (auto attempt = 0; attempt < 40 && !*succeeded; ++attempt)
        *succeeded = co_await operator_calls.put(number, body);
      if (*succeeded)
        *succeeded = co_await operator_calls.await_in_force(number, 60 * second);
    });
    auto deadline = started_at + 120 * second;
    while (simulated.operating && simulated.network.clock < deadline)
      simulated.network.run(simulated.network.clock + 10 * millisecond);
    if (!*succeeded)
      throw request_error(errc::unsettled, "configuration " + std::to_string(number) + " did not take effect");
    return static_cast<double>(simulated.network.clock - started_at) / millisecond;
  }
  auto lose_gateway() -> void {
    auto number = std::to_string(load.gateways());
    simulated.kill("forager-" + number);
    simulated.kill("scout-" + number);
  }
  [[nodiscard]] auto now() const -> monotonic_time {
    return simulated.network.clock;
  }
  [[nodiscard]] auto acknowledged_messages() const -> std::int64_t {
    auto count = simulated.observed.counts.find("publish acked");
    return count == simulated.observed.counts.end() ? 0 : count->second;
  }
  [[nodiscard]] auto delivered() const -> std::int64_t {
    auto total = std::int64_t{0};
    for (const auto& [space, delays] : simulated.observed.deliveries)
      total += static_cast<std::int64_t>(delays.size());
    return total;
  }
  auto leader_node() -> control_node& {
    auto name = simulated.leader();
    while (name.empty()) {
      simulated.network.run(simulated.network.clock + 100 * millisecond);
      name = simulated.leader();
    }
    return *simulated.processes.at(name)->control;
  }
  // Returns the 99th percentile of all delivery times so far, in milliseconds.
  [[nodiscard]] auto delivery_p99() const -> double {
    auto all = std::vector<monotonic_time>();
    for (const auto& [space, delays] : simulated.observed.deliveries)
      all.insert(all.end(), delays.begin(), delays.end());
    if (all.empty())
      return 0;
    std::sort(all.begin(), all.end());
    return static_cast<double>(all[(all.size() - 1) * 99 / 100]) / millisecond;
  }
  fleet_load load;
  fleet simulated;
  // From the time the first configuration takes effect until all partitions are founded and every node knows the
  // current cluster state.
  monotonic_time founding = 0;

 private:
  static auto fleet_shape_for(const fleet_load& size) -> fleet_shape {
    auto shape = fleet_shape();
    shape.clients = 0;
    shape.storage_nodes = size.storage_nodes();
    shape.gateways = size.gateways();
    return shape;
  }
  template <class Condition>
  auto wait(const char* condition, Condition holds) -> void {
    auto deadline = simulated.network.clock + 300 * second;
    while (!holds()) {
      if (simulated.network.clock > deadline)
        throw request_error(errc::unsettled, std::string("condition not reached within 300 s: ") + condition);
      simulated.network.run(simulated.network.clock + 100 * millisecond);
    }
  }
  auto fully_informed() -> bool {
    const auto& control_state = leader_node().state;
    auto initialized = std::count_if(control_state.partitions.begin(), control_state.partitions.end(), [](auto& entry) {
      return entry.second.epoch > 0;
    });
    if (initialized < load.partitions)
      return false;
    auto known = [&](const cluster_view& view) {
      auto known_rows = std::size_t{0};
      for (const auto& [origin, session_table] : view.session_tables)
        known_rows += session_table.rows.size();
      auto needed = std::count_if(simulated.processes.begin(), simulated.processes.end(), [&](auto& entry) {
        return (entry.second->storage || entry.second->agent) &&
               view.filter.covers(entry.second->kind == "comb" ? "comb" : "forager", entry.second->settings.zone);
      });
      return static_cast<std::int64_t>(known_rows) >= needed &&
             view.partitions_version == control_state.partitions_version;
    };
    return std::all_of(simulated.processes.begin(), simulated.processes.end(), [&](auto& entry) {
      auto& process = *entry.second;
      return !process.up() || process.control || (process.storage && known(process.storage->session.view)) ||
             (process.agent && known(process.agent->session.view)) ||
             (process.gateway && process.gateway->ready() && known(process.gateway->session.view));
    });
  }
  auto start_clients() -> void {
    if (load.rate == 0 && load.listeners == 0)
      return;
    simulated.client_balancer = std::make_unique<balancer>(*simulated.outside, simulated.gateway_addresses);
    simulated.network.run(simulated.network.clock + 2 * second);
    for (auto i = std::int64_t{0}; i < load.listeners; ++i) {
      auto plan = client::plan();
      plan.name = "hears-" + std::to_string(i);
      plan.subscribed_topics = {topic_of(i % load_topics, load.partitions)};
      simulated.clients.push_back(
          std::make_unique<client>(*simulated.outside, *simulated.client_balancer, simulated.observed, plan));
    }
    auto publishers = std::min(load.rate, max_publishers);
    for (auto i = std::int64_t{0}; i < publishers; ++i) {
      auto plan = client::plan();
      plan.name = "tells-" + std::to_string(i);
      plan.published_topics = {topic_of(i % load_topics, load.partitions)};
      plan.every = publishers * second / load.rate;
      plan.pipe = 8;
      simulated.clients.push_back(
          std::make_unique<client>(*simulated.outside, *simulated.client_balancer, simulated.observed, plan));
    }
    wait("all clients are connected", [&] {
      return std::all_of(simulated.clients.begin(), simulated.clients.end(), [](auto& each_client) {
        return each_client->linked;
      });
    });
  }
  auto snapshot() -> std::map<std::string, figures> {
    auto totals = std::map<std::string, figures>();
    for (auto& [name, process] : simulated.processes)
      if (process->up())
        totals[name] = as_figures(process->host->activity);
    return totals;
  }
  // Adds the final figures of a process to a sum.
  static auto add_final_figures(const fleet::process& process, figures& sum) -> void {
    sum["timers"] += static_cast<double>(process.host->timers());
    sum["heap_bytes"] += static_cast<double>(*process.host->heap_account);
    if (process.control || process.storage)
      for (const auto& [key, data] : process.machine->durable)
        sum["disk_bytes"] += static_cast<double>(key.size() + data.size());
    const auto* view = process.storage   ? &process.storage->session.view
                       : process.agent   ? &process.agent->session.view
                       : process.gateway ? &process.gateway->session.view
                                         : nullptr;
    auto empty_view = cluster_view();
    if (view)
      sum["pull_bytes"] +=
          static_cast<double>(encode_cbor(value(view->changes_since(empty_view.version_vector()))).size());
    if (process.control)
      sum["pull_bytes"] += static_cast<double>(encode_cbor(process.control->state.take_snapshot()).size());
  }
};

auto short_number(double number) -> std::string {
  auto stream = std::ostringstream();
  auto magnitude = std::abs(number);
  if (magnitude != 0 && magnitude < 0.0005)
    stream << std::scientific << std::setprecision(1) << number;
  else
    stream << std::fixed
           << std::setprecision(magnitude >= 100  ? 0
                                : magnitude >= 10 ? 1
                                : magnitude >= 1  ? 2
                                                  : 4)
           << number;
  return stream.str();
}

auto points_of(const std::vector<fleet_measurement>& measurements,
               const std::function<double(const fleet_measurement&)>& x_of,
               const std::function<double(const fleet_measurement&)>& y_of) {
  auto points = std::vector<std::pair<double, double>>();
  for (const auto& measurement : measurements)
    points.emplace_back(x_of(measurement), y_of(measurement));
  return points;
}
auto figure_of(const fleet_measurement& measurement, const std::string& role, const std::string& key) -> double {
  auto role_figures = measurement.roles.find(role);
  if (role_figures == measurement.roles.end())
    return 0;
  auto figure = role_figures->second.find(key);
  return figure == role_figures->second.end() ? 0 : figure->second;
}
auto total(const fleet_measurement& measurement, const std::string& role, const std::string& key) -> double {
  auto process_count = measurement.processes.find(role);
  return process_count == measurement.processes.end()
             ? 0
             : figure_of(measurement, role, key) * static_cast<double>(process_count->second);
}
auto copies_per_storage_node(const fleet_load& load) -> double {
  return 2.0 * static_cast<double>(load.partitions) / static_cast<double>(load.storage_nodes());
}

// The components of one role's figure: a fixed part and a part per node of the fleet (`nodes`), a part per partition of
// the whole system, and a part per partition copy that the process holds.
struct cost_model {
  curve nodes;
  double per_partition = 0, per_copy = 0;
  [[nodiscard]] auto at(double node_count, double partition_count, double copies_held) const -> double {
    return nodes.at(node_count) + per_partition * partition_count + per_copy * copies_held;
  }
};
// Returns the slope of a figure over the partitions, or 0 if the slope is not distinguishable from sampling noise.
auto partition_slope(const capacity_survey& survey, const std::function<double(const fleet_measurement&)>& figure)
    -> double {
  if (survey.partitions.size() < 2)
    return 0;
  auto points = points_of(
      survey.partitions,
      [](auto& measurement) {
        return static_cast<double>(measurement.load.partitions);
      },
      figure);
  auto line = fit(points, 1);
  auto [low, high] = std::minmax_element(points.begin(), points.end());
  auto rise = std::abs(line.coefficients[1]) * (high->first - low->first);
  auto largest = std::max_element(points.begin(), points.end(), [](auto& left, auto& right) {
                   return left.second < right.second;
                 })->second;
  return line.coefficients[1] > 0 && rise > largest / 5 && line.relative_error < 0.15 ? line.coefficients[1] : 0;
}
auto cost_model_of(const capacity_survey& survey, const std::string& role, const std::string& key) -> cost_model {
  auto model = cost_model();
  auto slope_of = [&](const std::string& slope_role) {
    return partition_slope(survey, [&](auto& measurement) {
      return figure_of(measurement, slope_role, key);
    });
  };
  model.per_partition = slope_of(role);
  if (role == "comb" && survey.partitions.size() > 1) {
    // A storage node holds the same partition table as an agent. The remainder of its slope comes from its copies.
    auto total_slope = model.per_partition;
    model.per_partition = std::min(total_slope, slope_of("scout"));
    model.per_copy =
        (total_slope - model.per_partition) * static_cast<double>(survey.partitions[0].load.storage_nodes()) / 2;
  }
  auto remainder = [&](const fleet_measurement& measurement) {
    return figure_of(measurement, role, key) - model.per_partition * static_cast<double>(measurement.load.partitions) -
           model.per_copy * (role == "comb" ? copies_per_storage_node(measurement.load) : 0);
  };
  model.nodes = fit_growth(points_of(
      survey.nodes,
      [](auto& measurement) {
        return static_cast<double>(measurement.load.nodes);
      },
      remainder));
  return model;
}

auto row_text(const std::string& name, const std::vector<std::string>& columns) -> std::string {
  auto stream = std::ostringstream();
  stream << std::left << std::setw(22) << name << std::right;
  for (const auto& column : columns)
    stream << ' ' << std::setw(12) << column;
  stream << '\n';
  return stream.str();
}
auto table(const std::vector<fleet_measurement>& measurements, const std::string& title,
           const std::function<std::string(const fleet_measurement&)>& column_title, bool totals) -> std::string {
  auto text = "\n" + title + "\n";
  auto columns = std::vector<std::string>();
  for (const auto& measurement : measurements)
    columns.push_back(column_title(measurement));
  text += row_text("", columns);
  for (const auto& role : {"queen", "leader", "comb", "forager", "scout"})
    for (const auto* keys : {&rate_figures, &final_figures}) {
      if (totals && keys == &final_figures)
        continue;
      for (const auto& key : *keys) {
        columns.clear();
        auto any_nonzero = false;
        for (const auto& measurement : measurements) {
          auto figure = totals ? total(measurement, role, key) : figure_of(measurement, role, key);
          any_nonzero = any_nonzero || figure != 0;
          columns.push_back(short_number(figure));
        }
        if (any_nonzero)
          text += row_text(std::string(role) + " " + key, columns);
      }
    }
  auto keys = std::set<std::string>();
  for (const auto& measurement : measurements)
    for (const auto& [key, figure] : measurement.fleet)
      keys.insert(key);
  for (const auto& key : keys) {
    columns.clear();
    for (const auto& measurement : measurements)
      columns.push_back(short_number(measurement.fleet.count(key) ? measurement.fleet.at(key) : 0));
    text += row_text("fleet " + key, columns);
  }
  return text;
}

}  // namespace

auto fleet_load::storage_nodes() const -> std::int64_t {
  return std::max<std::int64_t>(2, (nodes - 3) / 4);
}
auto fleet_load::gateways() const -> std::int64_t {
  return nodes - 3 - storage_nodes();
}

auto machine_memory() -> std::int64_t {
  return static_cast<std::int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
}

auto memory_of(const fleet_load& load) -> std::int64_t {
  auto links = load.storage_nodes() * load.gateways() + load.nodes * 4;
  auto views = 2 * load.gateways() + load.storage_nodes() + 3;
  return links * (24 << 10) + views * (load.nodes * 2048 + load.partitions * 2048 + (256 << 10)) +
         load.partitions * (512 << 10) + load.listeners * (64 << 10) + load.rate * (1 << 20);
}

auto check_limits(const fleet_load& load, std::int64_t machine_bytes) -> void {
  auto require_range = [](const char* name, std::int64_t number, std::int64_t least, std::int64_t most) {
    if (number < least || number > most)
      throw request_error(errc::out_of_range, std::string(name) + ": " + std::to_string(number) + " is outside " +
                                                  std::to_string(least) + " to " + std::to_string(most));
  };
  require_range("fleet", load.nodes, 7, 1600);
  require_range("cells", load.partitions, 1, 64 * partitions_per_space);
  require_range("rate", load.rate, 0, 1000);
  require_range("listeners", load.listeners, 0, 4000);
  if (auto needed = memory_of(load); needed > machine_bytes / 2)
    throw request_error(errc::out_of_range, "memory: a fleet of " + std::to_string(load.nodes) + " nodes and " +
                                                std::to_string(load.partitions) + " cells may take " +
                                                std::to_string(needed >> 20) + " MiB, over half of this machine's " +
                                                std::to_string(machine_bytes >> 20) + " MiB");
}

auto measure(const fleet_load& load, std::uint64_t seed, monotonic_time span) -> fleet_measurement {
  auto emulated = emulated_fleet(load, seed);
  emulated.settle();
  auto measurement = fleet_measurement();
  measurement.load = load;
  for (const auto& role : process_roles)
    measurement.processes[role] = emulated.up(role);
  measurement.processes["node"] = measurement.processes["scout"];
  auto acknowledged_before = emulated.acknowledged_messages(), delivered_before = emulated.delivered();
  auto last_log_index = [&] {
    return get_int(get_value(emulated.leader_node().status(), "ledger"), "last");
  };
  auto entries_before = last_log_index();
  measurement.roles = emulated.measure_span(span);
  auto seconds = static_cast<double>(span) / second;
  measurement.fleet["entries"] = static_cast<double>(last_log_index() - entries_before) / seconds;
  measurement.fleet["messages"] = static_cast<double>(emulated.acknowledged_messages() - acknowledged_before) / seconds;
  measurement.fleet["deliveries"] = static_cast<double>(emulated.delivered() - delivered_before) / seconds;
  measurement.fleet["founding_ms"] = static_cast<double>(emulated.founding) / millisecond;
  if (load.rate > 0 || load.listeners > 0) {
    measurement.fleet["p99_ms"] = emulated.delivery_p99();
    return measurement;
  }
  // Measure what a configuration change and a membership change cost each node.
  auto idle_bytes = figure_of(measurement, "scout", "bytes_in");
  auto bytes_per_agent = [&](monotonic_time min_duration, const std::function<void()>& change) {
    auto bytes_before = std::map<std::string, std::uint64_t>();
    for (auto& name : emulated.simulated.names("scout"))
      if (emulated.simulated.processes.at(name)->up())
        bytes_before[name] = emulated.simulated.processes.at(name)->host->activity.bytes_in;
    auto started_at = emulated.now();
    change();
    emulated.simulated.network.run(std::max(started_at + min_duration, emulated.now()));
    auto sum = 0.0;
    auto agents = 0;
    for (auto& [name, bytes] : bytes_before)
      if (auto& process = *emulated.simulated.processes.at(name); process.up()) {
        sum += static_cast<double>(process.host->activity.bytes_in - bytes);
        ++agents;
      }
    return sum / agents - idle_bytes * static_cast<double>(emulated.now() - started_at) / second;
  };
  auto duration_ms = 0.0;
  measurement.fleet["charter_body"] =
      static_cast<double>(configuration_text(emulated.simulated.configuration_number + 1, load.partitions).size());
  measurement.fleet["charter_bytes"] = bytes_per_agent(second, [&] {
    duration_ms = emulated.change_configuration();
  });
  measurement.fleet["charter_held_ms"] = duration_ms;
  measurement.fleet["loss_bytes"] = bytes_per_agent(2 * second, [&] {
    emulated.lose_gateway();
  });
  return measurement;
}

auto curve::at(double position) const -> double {
  auto result = 0.0;
  for (auto i = coefficients.size(); i-- > 0;)
    result = result * position + coefficients[i];
  return result;
}

auto fit(const std::vector<std::pair<double, double>>& points, std::size_t degree) -> curve {
  auto unknowns = std::min(degree + 1, points.size());
  auto x_scale = 1.0;
  for (const auto& [x_value, y_value] : points)
    x_scale = std::max(x_scale, std::abs(x_value));
  // Normal equations, with x scaled to at most 1.
  auto matrix = std::vector<std::vector<double>>(unknowns, std::vector<double>(unknowns + 1, 0));
  for (const auto& [x_value, y_value] : points)
    for (auto i = std::size_t{0}; i < unknowns; ++i) {
      for (auto j = std::size_t{0}; j < unknowns; ++j)
        matrix[i][j] += std::pow(x_value / x_scale, static_cast<double>(i + j));
      matrix[i][unknowns] += y_value * std::pow(x_value / x_scale, static_cast<double>(i));
    }
  for (auto i = std::size_t{0}; i < unknowns; ++i) {
    auto pivot = i;
    for (auto row = i + 1; row < unknowns; ++row)
      if (std::abs(matrix[row][i]) > std::abs(matrix[pivot][i]))
        pivot = row;
    std::swap(matrix[i], matrix[pivot]);
    if (std::abs(matrix[i][i]) < 1e-12)
      throw request_error(errc::fit_failed, "the points do not determine a polynomial of this degree");
    for (auto row = std::size_t{0}; row < unknowns; ++row) {
      if (row == i)
        continue;
      auto factor = matrix[row][i] / matrix[i][i];
      for (auto j = i; j <= unknowns; ++j)
        matrix[row][j] -= factor * matrix[i][j];
    }
  }
  auto polynomial = curve();
  for (auto i = std::size_t{0}; i < unknowns; ++i)
    polynomial.coefficients.push_back(matrix[i][unknowns] / matrix[i][i] / std::pow(x_scale, static_cast<double>(i)));
  auto largest_value = 0.0, largest_residual = 0.0;
  for (const auto& [x_value, y_value] : points) {
    largest_value = std::max(largest_value, std::abs(y_value));
    largest_residual = std::max(largest_residual, std::abs(y_value - polynomial.at(x_value)));
  }
  polynomial.relative_error = largest_value > 0 ? largest_residual / largest_value : 0;
  return polynomial;
}

auto fit_growth(const std::vector<std::pair<double, double>>& points) -> curve {
  auto line = fit(points, 1);
  if (line.relative_error <= 0.1 || points.size() < 4)
    return line;
  auto parabola = fit(points, 2);
  return parabola.coefficients[2] > 0 && parabola.relative_error < line.relative_error ? parabola : line;
}

auto run_sweeps(const sweep_plan& plan) -> capacity_survey {
  auto runs = std::vector<std::pair<fleet_load, std::vector<fleet_measurement> capacity_survey::*>>();
  auto base = fleet_load();
  base.nodes = plan.nodes.at(0);
  if (!plan.partitions.empty())
    base.partitions = plan.partitions[0];
  for (auto node_count : plan.nodes)
    runs.push_back({{node_count, base.partitions, 0, 0}, &capacity_survey::nodes});
  for (auto partition_count : plan.partitions)
    if (plan.partitions.size() > 1)
      runs.push_back({{base.nodes, partition_count, 0, 0}, &capacity_survey::partitions});
  for (auto rate : plan.rates)
    runs.push_back({{base.nodes, base.partitions, rate, load_topics}, &capacity_survey::rates});
  for (auto listener_count : plan.listeners)
    runs.push_back({{base.nodes, base.partitions, plan.rates.empty() ? 40 : plan.rates[0], listener_count},
                    &capacity_survey::listeners});
  auto machine_bytes = machine_memory();
  for (const auto& [load, results] : runs)
    check_limits(load, machine_bytes);  // all loads are checked before the first fleet starts
  auto survey = capacity_survey();
  for (const auto& [load, results] : runs)
    (survey.*results).push_back(measure(load, plan.seed, plan.span));
  return survey;
}

auto growth(const capacity_survey& survey) -> figures {
  auto ratios = figures();
  if (survey.nodes.size() < 2)
    return ratios;
  for (const auto& key : {"frames", "bytes"}) {
    auto per_node = [&](const fleet_measurement& measurement) {
      auto sum = 0.0;
      for (const auto& role : process_roles)
        sum += total(measurement, role, std::string(key) + "_out") + total(measurement, role, std::string(key) + "_in");
      return sum / static_cast<double>(measurement.load.nodes);
    };
    ratios[key] = per_node(survey.nodes.back()) / per_node(survey.nodes.front());
    ratios[std::string(key) + "_first"] = per_node(survey.nodes.front());
    ratios[std::string(key) + "_last"] = per_node(survey.nodes.back());
  }
  return ratios;
}

auto to_text(const capacity_survey& survey) -> std::string {
  auto text = std::string(
      "Figures per process and second (simulated time; counts are exact, cpu_us and heap_bytes depend on this machine "
      "and build).\n");
  auto load_field = [](std::int64_t fleet_load::*field) {
    return [field](const fleet_measurement& measurement) {
      return std::to_string(measurement.load.*field);
    };
  };
  text += table(
      survey.nodes,
      "nodes (idle, " + std::to_string(survey.nodes.empty() ? 0 : survey.nodes[0].load.partitions) + " partitions)",
      load_field(&fleet_load::nodes), false);
  for (auto i = std::size_t{1}; i < survey.nodes.size(); ++i) {
    auto pair = capacity_survey();
    pair.nodes = {survey.nodes.front(), survey.nodes[i]};
    auto pair_growth = growth(pair);
    text += (i == 1 ? "\n" : "") + ("growth from " + std::to_string(survey.nodes.front().load.nodes)) + " to " +
            std::to_string(survey.nodes[i].load.nodes) + " nodes, per node and second: frames x" +
            short_number(pair_growth["frames"]) + " (" + short_number(pair_growth["frames_first"]) + " to " +
            short_number(pair_growth["frames_last"]) + "), bytes x" + short_number(pair_growth["bytes"]) + " (" +
            short_number(pair_growth["bytes_first"]) + " to " + short_number(pair_growth["bytes_last"]) + ")\n";
  }
  auto smallest_fleet = survey.nodes.empty() ? std::string("?") : std::to_string(survey.nodes[0].load.nodes);
  if (!survey.partitions.empty())
    text += table(survey.partitions, "partitions (idle, " + smallest_fleet + " nodes)",
                  load_field(&fleet_load::partitions), false);
  if (!survey.rates.empty())
    text += table(survey.rates,
                  "requested messages per second (" + smallest_fleet + " nodes; all processes of a role together)",
                  load_field(&fleet_load::rate), true);
  if (!survey.listeners.empty())
    text += table(survey.listeners, "listeners (" + smallest_fleet + " nodes; all processes of a role together)",
                  load_field(&fleet_load::listeners), true);
  if (survey.nodes.size() < 2)
    return text;

  text +=
      "\nslopes: constant, per node, per node squared (if a line misses by more than a tenth), per partition, per copy "
      "held; at full size\n";
  text += row_text("", {"constant", "node", "node^2", "partition", "copy", "error", "full size"});
  auto copies_held = 2 * full_partitions / static_cast<double>(fleet_load{5200, 1, 0, 0}.storage_nodes());
  auto full_size_figures = std::map<std::string, figures>();
  for (const auto& role : {"queen", "leader", "comb", "forager", "scout", "node"})
    for (const auto* keys : {&rate_figures, &final_figures})
      for (const auto& key : *keys) {
        auto model = cost_model_of(survey, role, key);
        auto full_size_figure = model.at(full_nodes, full_partitions, std::string(role) == "comb" ? copies_held : 0);
        full_size_figures[role][key] = full_size_figure;
        if (model.nodes.coefficients[0] == 0 && model.nodes.coefficients[1] == 0 && model.per_partition == 0)
          continue;
        text += row_text(std::string(role) + " " + key,
                         {short_number(model.nodes.coefficients[0]), short_number(model.nodes.coefficients[1]),
                          model.nodes.coefficients.size() > 2 ? short_number(model.nodes.coefficients[2]) : "-",
                          short_number(model.per_partition), short_number(model.per_copy),
                          short_number(model.nodes.relative_error), short_number(full_size_figure)});
      }
  for (const auto& key : {"loss_bytes", "charter_bytes"}) {
    auto figure = [&](const fleet_measurement& measurement) {
      return measurement.fleet.at(key);
    };
    auto node_curve = fit_growth(points_of(
        survey.nodes,
        [](auto& measurement) {
          return static_cast<double>(measurement.load.nodes);
        },
        figure));
    auto slope = partition_slope(survey, figure);
    auto base_partitions = survey.nodes[0].load.partitions;
    auto full_size_figure =
        node_curve.at(full_nodes) + slope * (full_partitions - static_cast<double>(base_partitions));
    full_size_figures["fleet"][key] = full_size_figure;
    text +=
        row_text(std::string("fleet ") + key,
                 {short_number(node_curve.coefficients[0]), short_number(node_curve.coefficients[1]),
                  node_curve.coefficients.size() > 2 ? short_number(node_curve.coefficients[2]) : "-",
                  short_number(slope), "-", short_number(node_curve.relative_error), short_number(full_size_figure)});
  }

  text += "\nfull size: " + short_number(full_nodes) + " nodes, " + short_number(full_partitions) + " partitions, " +
          short_number(copies_held) + " copies per storage node\n";
  text += row_text(
      "", {"core % from", "to", "of 1.8 %", "heap MB", "of 128 MB", "KB/s", "of 18 KB/s", "frames/s", "timers"});
  for (const auto& role : {"queen", "leader", "comb", "node"}) {
    auto& role_figures = full_size_figures[role];
    // Processor time at full size: the resumes times the cost per resume in the smallest and in the largest fleet.
    auto cpu_per_resume = [&](const fleet_measurement& measurement) {
      return figure_of(measurement, role, "cpu_us") / figure_of(measurement, role, "resumes");
    };
    auto low_seconds = role_figures["resumes"] * cpu_per_resume(survey.nodes.front()) / 1e6,
         high_seconds = role_figures["resumes"] * cpu_per_resume(survey.nodes.back()) / 1e6;
    if (low_seconds > high_seconds)
      std::swap(low_seconds, high_seconds);
    auto bytes = role_figures["bytes_in"] + role_figures["bytes_out"];
    text += row_text(
        role,
        {short_number(low_seconds * 100), short_number(high_seconds * 100),
         "x" + short_number(low_seconds / core_bound), short_number(role_figures["heap_bytes"] / (1 << 20)),
         "x" + short_number(role_figures["heap_bytes"] / memory_bound), short_number(bytes / 1000),
         "x" + short_number(bytes / bytes_bound), short_number(role_figures["frames_in"] + role_figures["frames_out"]),
         short_number(role_figures["timers"])});
  }
  auto membership_changes = (13.0 + 770 * 2) / day, configuration_changes = full_changes / day;
  text += "members that leave or join: " + short_number(membership_changes) + " per second x " +
          short_number(full_size_figures["fleet"]["loss_bytes"]) +
          " bytes = " + short_number(membership_changes * full_size_figures["fleet"]["loss_bytes"] / 1000) +
          " KB/s into each node\n";
  text += "configuration changes: " + short_number(configuration_changes) + " per second x " +
          short_number(full_size_figures["fleet"]["charter_bytes"]) +
          " bytes = " + short_number(configuration_changes * full_size_figures["fleet"]["charter_bytes"] / 1000) +
          " KB/s into each node\n";

  auto gateways = static_cast<double>(fleet_load{5200, 1, 0, 0}.gateways()),
       storage_nodes = static_cast<double>(fleet_load{5200, 1, 0, 0}.storage_nodes());
  text += "links: " + short_number(full_links / gateways) +
          " per gateway; deliveries: " + short_number(full_deliveries / gateways) + " per second and gateway, " +
          short_number(full_deliveries / storage_nodes) + " per second and storage node\n";
  auto add_cost_table = [&](const std::vector<fleet_measurement>& measurements, const char* fleet_figure,
                            const char* unit) {
    if (measurements.size() < 2)
      return;
    text += "\nper " + std::string(unit) + ", all processes of a role together\n" +
            row_text("", {"slope", "error", "at full size"});
    for (const auto& role : process_roles)
      for (const auto& key : rate_figures) {
        auto line = fit(points_of(
                            measurements,
                            [&](auto& measurement) {
                              return measurement.fleet.at(fleet_figure);
                            },
                            [&](auto& measurement) {
                              return total(measurement, role, key);
                            }),
                        1);
        if (std::abs(line.coefficients[1]) < 1e-3 || role == "queen" || role == "scout")
          continue;
        auto full_size_figure = line.coefficients[1] * full_deliveries / (role == "comb" ? storage_nodes : gateways);
        text += row_text(role + " " + key,
                         {short_number(line.coefficients[1]), short_number(line.relative_error),
                          std::string(fleet_figure) == "deliveries" ? short_number(full_size_figure) : "-"});
      }
  };
  add_cost_table(survey.rates, "messages", "message published and delivered to one listener");
  add_cost_table(survey.listeners, "deliveries", "delivery");
  if (survey.listeners.size() > 1) {
    auto gateway_heap = fit(points_of(
                                survey.listeners,
                                [](auto& measurement) {
                                  return static_cast<double>(measurement.load.listeners);
                                },
                                [](auto& measurement) {
                                  return total(measurement, "forager", "heap_bytes");
                                }),
                            1);
    auto storage_heap = fit(points_of(
                                survey.listeners,
                                [](auto& measurement) {
                                  return static_cast<double>(measurement.load.listeners);
                                },
                                [](auto& measurement) {
                                  return total(measurement, "comb", "heap_bytes");
                                }),
                            1);
    text += "\nheap bytes per listener: gateway " + short_number(gateway_heap.coefficients[1]) +
            " (a gateway at full size " +
            short_number(gateway_heap.coefficients[1] * full_links / gateways / (1 << 20)) + " MB), storage nodes " +
            short_number(storage_heap.coefficients[1]) + " (the largest topic " +
            short_number(storage_heap.coefficients[1] * full_listeners / (1 << 20)) + " MB on both copies)\n";
  }
  return text;
}

auto to_value(const capacity_survey& survey) -> value {
  auto rows = [](const std::vector<fleet_measurement>& measurements) {
    auto list = array();
    for (const auto& measurement : measurements) {
      auto roles = object();
      for (const auto& [role, role_values] : measurement.roles) {
        auto role_figures = object();
        for (const auto& [key, figure] : role_values)
          role_figures[key] = figure;
        if (auto process_count = measurement.processes.find(role); process_count != measurement.processes.end())
          role_figures["processes"] = process_count->second;
        roles[role] = role_figures;
      }
      auto fleet_figures = object();
      for (const auto& [key, figure] : measurement.fleet)
        fleet_figures[key] = figure;
      list.push_back(object{{"nodes", measurement.load.nodes},
                            {"cells", measurement.load.partitions},
                            {"rate", measurement.load.rate},
                            {"listeners", measurement.load.listeners},
                            {"roles", roles},
                            {"fleet", fleet_figures}});
    }
    return list;
  };
  auto growth_figures = object();
  for (const auto& [key, figure] : growth(survey))
    growth_figures[key] = figure;
  auto slopes = object();
  if (survey.nodes.size() > 1)
    for (const auto& role : {"queen", "leader", "comb", "forager", "scout", "node"}) {
      auto role_figures = object();
      for (const auto* keys : {&rate_figures, &final_figures})
        for (const auto& key : *keys) {
          auto model = cost_model_of(survey, role, key);
          auto coefficients = array();
          for (auto coefficient : model.nodes.coefficients)
            coefficients.push_back(coefficient);
          role_figures[key] = object{{"nodes", coefficients},
                                     {"cell", model.per_partition},
                                     {"copy", model.per_copy},
                                     {"miss", model.nodes.relative_error}};
        }
      slopes[role] = role_figures;
    }
  return object{{"nodes", rows(survey.nodes)}, {"cells", rows(survey.partitions)},
                {"rates", rows(survey.rates)}, {"listeners", rows(survey.listeners)},
                {"growth", growth_figures},    {"slopes", slopes}};
}

}  // namespace reachridge
