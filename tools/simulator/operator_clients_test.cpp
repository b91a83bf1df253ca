// Tests that concurrent operators see a linearizable control state while control nodes fail.
#include "simulator/operator_clients.hpp"

#include <functional>

// Must be the last include because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

#if defined(__SANITIZE_ADDRESS__)
constexpr auto seeds = std::uint64_t{3};
#else
constexpr auto seeds = std::uint64_t{20};
#endif
constexpr auto operator_count = 8;
constexpr auto order_period = 12 * second;
constexpr auto fault_interval = 900 * millisecond;
constexpr auto recovery_time = 8 * second;

auto shape_without_clients() -> fleet_shape {
  auto result = fleet_shape();
  result.storage_nodes = 4;
  result.gateways = 1;
  result.clients = 0;
  return result;
}

// Injects random faults into control nodes, one with each call, and ends each fault after a random duration.
class control_faults {
 public:
  control_faults(fleet& simulated_fleet, std::uint64_t seed) : fleet_(simulated_fleet), random_engine_(seed) {}
  auto draw() -> void {
    auto control_nodes = fleet_.names("queen");
    auto name = random_engine_() % 2 ? control_nodes[random_engine_() % control_nodes.size()] : fleet_.leader();
    if (name.empty())
      return;
    auto duration = 100 * millisecond + static_cast<monotonic_time>(random_engine_() % (1200 * millisecond));
    auto machine = fleet_.processes.at(name)->machine->name;
    switch (random_engine_() % 6) {
      case 0:
        fleet_.kill(name);
        return end_after(duration, [this, name] {
          fleet_.start(name);
        });
      case 1:
        fleet_.freeze(name, true);
        return end_after(duration, [this, name] {
          fleet_.freeze(name, false);
        });
      case 2:  // packets from this machine reach no other machine
        return cut(machine, "*", duration);
      case 3:  // packets of other machines do not reach this machine
        return cut("*", machine, duration);
      case 4:  // requests of operators arrive, answers are lost
        return cut(machine, "outside", duration);
      default:
        return cut("outside", machine, duration);
    }
  }

 private:
  auto end_after(monotonic_time delay, std::function<void()> end) -> void {
    fleet_.network.schedule(fleet_.network.clock + delay, std::move(end));
  }
  auto cut(const std::string& from, const std::string& to, monotonic_time duration) -> void {
    fleet_.network.cut(from, to);
    end_after(duration, [this, from, to] {
      fleet_.network.heal(from, to);
    });
  }
  fleet& fleet_;
  std::mt19937_64 random_engine_;
};

struct operator_run {
  std::vector<operator_order> history;
  std::string unexplained;
};
auto run_operators(std::uint64_t seed) -> operator_run {
  auto simulated_fleet = fleet(seed, shape_without_clients());
  CHECK_TEXT(simulated_fleet.begin(), "the fleet takes its first configuration");
  auto clients = operator_clients(simulated_fleet, seed + 1);
  auto faults = control_faults(simulated_fleet, seed + 2);
  auto& network = simulated_fleet.network;
  auto end = network.clock + order_period;
  clients.start(operator_count, end);
  while (network.clock < end) {
    network.run(network.clock + fault_interval);
    faults.draw();
  }
  while (clients.is_busy())
    network.run(network.clock + 100 * millisecond);
  network.run(network.clock + recovery_time);
  simulated_fleet.operator_tasks->spawn(clients.read_all(network.clock + recovery_time));
  network.run(network.clock + recovery_time);
  auto result = operator_run{clients.history(), ""};
  if (auto unexplained_orders = find_unexplained(result.history))
    result.unexplained = to_text(*unexplained_orders);
  return result;
}
}  // namespace

// Eight concurrent operators lose answers and retry orders on random control nodes while control nodes fail. The
// control state must remain linearizable.
TEST_GROUP(concurrent_operators){};
TEST(concurrent_operators, the_history_of_orders_is_linearizable) {
  auto confirmed = std::size_t{0}, refused = std::size_t{0}, unknown = std::size_t{0};
  for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
    auto run = run_operators(seed);
    if (!run.unexplained.empty())
      FAIL(("seed " + std::to_string(seed) + ": " + run.unexplained).c_str());
    for (const auto& order : run.history) {
      confirmed += order.outcome == order_outcome::confirmed ? 1 : 0;
      refused += order.outcome == order_outcome::refused ? 1 : 0;
      unknown += order.outcome == order_outcome::unknown ? 1 : 0;
    }
  }
  // The runs must produce enough orders of each outcome.
  CHECK(confirmed > seeds * 100);
  CHECK(refused > seeds * 3);
  CHECK(unknown > seeds * 2);
}
