// Measures fleets of emulated nodes on simulated time: the cost of each role and its growth with the size of the fleet
// (docs/CAPACITY.md).
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runtime/event_loop.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The size of a fleet and its load. Each node is one machine: three control nodes, a quarter of the others storage
// nodes, the rest gateways with their agents.
struct fleet_load {
  std::int64_t nodes = 25;
  std::int64_t partitions = 48;
  std::int64_t rate = 0;       // messages published per second by all clients together
  std::int64_t listeners = 0;  // number of subscribers, each subscribed to one of `load_topics` topics
  [[nodiscard]] auto storage_nodes() const -> std::int64_t;
  [[nodiscard]] auto gateways() const -> std::int64_t;
};
constexpr auto load_topics = std::int64_t{16};

// Throws request_error(errc::out_of_range) if a value of the load is outside its range, or if the fleet would need more
// than half of a machine with `machine_bytes` bytes of memory.
auto check_limits(const fleet_load& load, std::int64_t machine_bytes) -> void;
// Returns an upper bound for the memory of a simulated fleet in bytes, derived from measured runs (docs/CAPACITY.md).
auto memory_of(const fleet_load& load) -> std::int64_t;
// Returns the physical memory of this machine in bytes.
auto machine_memory() -> std::int64_t;

// Figures by name. Per second and process: frames_out, frames_in, bytes_out, bytes_in (to and from other machines),
// near_frames, near_bytes (inside the machine), resumes (of coroutines), cpu_us. At the end of the run: timers,
// heap_bytes, pull_bytes (the data that a new node would pull), disk_bytes.
using figures = std::map<std::string, double>;
// The measured cost of one fleet.
struct fleet_measurement {
  fleet_load load;
  std::map<std::string, figures> roles;  // average over the processes of a role; "node": an agent and its gateway
  std::map<std::string, std::int64_t> processes;
  figures fleet;  // messages and deliveries per second; bytes that each agent receives for a
                  // configuration or a lost member
};
// Runs a fleet for `span` of simulated time and measures it. Throws request_error if the fleet does not settle.
auto measure(const fleet_load& load, std::uint64_t seed, monotonic_time span) -> fleet_measurement;

// A polynomial fitted by least squares. `relative_error` is the largest residual as a share of the largest value.
struct curve {
  std::vector<double> coefficients;
  double relative_error = 0;
  [[nodiscard]] auto at(double position) const -> double;
};
// Fits a polynomial of the given degree. Throws request_error if the points do not determine the polynomial.
auto fit(const std::vector<std::pair<double, double>>& points, std::size_t degree) -> curve;
// Fits a straight line, or a parabola if the line misses by more than a tenth and the growth is faster than linear.
auto fit_growth(const std::vector<std::pair<double, double>>& points) -> curve;

// The values to measure in each dimension; the first value of a dimension is the base of the others.
struct sweep_plan {
  std::vector<std::int64_t> nodes, partitions, rates, listeners;
  monotonic_time span = 2 * second;
  std::uint64_t seed = 1;
};
// The measurements of all sweeps, one list per dimension.
struct capacity_survey {
  std::vector<fleet_measurement> nodes, partitions, rates, listeners;
};
// Checks all fleets of the sweeps, then measures each of them. Throws request_error.
auto run_sweeps(const sweep_plan& plan) -> capacity_survey;
// Formats the measurements, their slopes and the extrapolation to the target size as tables.
auto to_text(const capacity_survey& survey) -> std::string;
// Returns the measurements, growth and slopes for the JSON output.
auto to_value(const capacity_survey& survey) -> value;
// Returns the growth of frames and bytes per node and second from the first fleet of a survey to the last.
auto growth(const capacity_survey& survey) -> figures;

}  // namespace reachridge
