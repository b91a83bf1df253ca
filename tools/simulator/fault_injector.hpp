// Injects the faults and the operators' orders of a scenario into a simulated fleet (design 9.2).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulator/fleet.hpp"
#include "simulator/operator_orders.hpp"
#include "simulator/scenario.hpp"

namespace reachridge {

// Returns the number of arguments that a fault command takes, or nothing if the command does not exist.
[[nodiscard]] auto fault_arguments(const std::string& command) -> std::optional<std::size_t>;

// Injects scheduled faults and ends each fault after its duration. One scenario run owns the injector. The injector
// must outlive the fleet's pending events because they call back into it. The injector draws every choice between nodes
// from the network's random engine, which makes a run reproducible from its seed.
class fault_injector {
 public:
  // The injector adds to `counts`, by command and by outcome. A scenario states the least value of each count.
  fault_injector(fleet& simulated_fleet, event_counts& counts)
      : fleet_(simulated_fleet), counts_(counts), orders_(simulated_fleet, counts) {}

  // Runs the command of a fault. Throws request_error `invalid_scenario` if an argument has no meaning.
  auto inject(const scheduled_fault& fault) -> void;

  // Counts the faults in progress. The history records when the first one starts and when the last one has ended.
  [[nodiscard]] auto active_fault_count() const -> int {
    return active_fault_count_;
  }
  auto on_fault_started() -> void;
  auto on_fault_ended() -> void;

 private:
  using handler = void (fault_injector::*)(const scheduled_fault&);
  struct command {
    std::size_t arguments;
    handler run;
  };
  friend auto fault_arguments(const std::string& command) -> std::optional<std::size_t>;
  static auto commands() -> const std::map<std::string, command>&;

  // Processes.
  auto kill(const scheduled_fault& fault) -> void;
  auto start(const scheduled_fault& fault) -> void;
  auto terminate(const scheduled_fault& fault) -> void;
  auto rolling_restart(const scheduled_fault& fault) -> void;
  auto freeze(const scheduled_fault& fault) -> void;
  auto change_setting(const scheduled_fault& fault) -> void;
  // Machines.
  auto power_off(const scheduled_fault& fault) -> void;
  auto slow_down(const scheduled_fault& fault) -> void;
  auto step_clock(const scheduled_fault& fault) -> void;
  auto add_storage_node(const scheduled_fault& fault) -> void;
  auto add_gateway(const scheduled_fault& fault) -> void;
  auto replace(const scheduled_fault& fault) -> void;
  // Disks.
  auto lose_disk(const scheduled_fault& fault) -> void;
  auto lose_spare_disk(const scheduled_fault& fault) -> void;
  auto lose_disks_and_power(const scheduled_fault& fault) -> void;
  auto flip_bits(const scheduled_fault& fault) -> void;
  auto flip_spare_bits(const scheduled_fault& fault) -> void;
  auto fill_disk(const scheduled_fault& fault) -> void;
  // The network.
  auto cut(const scheduled_fault& fault) -> void;
  auto isolate(const scheduled_fault& fault) -> void;
  auto reset_connections(const scheduled_fault& fault) -> void;
  auto lose_packets(const scheduled_fault& fault) -> void;
  // Orders of operators.
  auto configure(const scheduled_fault& fault) -> void;
  auto configure_often(const scheduled_fault& fault) -> void;
  auto probe_recent_configurations(const scheduled_fault& fault) -> void;
  auto order_once(const scheduled_fault& fault) -> void;
  auto drain(const scheduled_fault& fault) -> void;
  auto drain_any_storage_node(const scheduled_fault& fault) -> void;
  auto evacuate_zone(const scheduled_fault& fault) -> void;
  auto retire_and_lose_disk(const scheduled_fault& fault) -> void;

  auto lose_node_disk(const std::string& node, monotonic_time duration) -> void;
  auto flip_disk_bits(const std::string& node, const scheduled_fault& fault) -> void;
  auto lose_another_disk(const std::string& retired_node) -> void;
  // Calls `end` after the duration of a fault. A fault without a duration lasts until the end of the run.
  auto end_after(monotonic_time duration, std::function<void()> end) -> void;

  auto draw_node(const std::vector<std::string>& nodes) -> std::string;
  // Returns the nodes that an argument selects: a role (primary:PARTITION, backup:PARTITION, leader, follower, busiest,
  // any:KIND, isolated, majority), a node, a kind or a zone. `isolated` is the control node that was last cut off,
  // `majority` is another control node.
  auto selected_nodes(const std::string& argument) -> std::vector<std::string>;
  auto draw_other_control_node(const std::string& excluded) -> std::string;
  auto draw_running_node(const std::string& kind) -> std::string;
  // Returns one endpoint of a cut: the name of a machine or a zone, or '*'.
  auto selected_place(const std::string& argument) -> std::string;
  // Returns one side of a cut. `control_nodes` selects the machines of all control nodes except `excluded`.
  auto selected_places(const std::string& argument, const std::string& excluded) -> std::vector<std::string>;

  fleet& fleet_;
  event_counts& counts_;
  operator_orders orders_;
  std::set<std::string> drained_;  // storage nodes that drain_any selected
  std::string isolated_;           // the control node that was last cut off
  int active_fault_count_ = 0;
};

}  // namespace reachridge
