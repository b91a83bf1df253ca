// Orders that simulated operators send during faults, with counts of their outcomes.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "simulator/fleet.hpp"

namespace reachridge {

// Event counts and other figures of one run, by name.
using event_counts = std::map<std::string, std::int64_t>;

// Sends orders in the fleet's operator tasks and counts their outcomes. Only the fault injector uses this class.
class operator_orders {
 public:
  operator_orders(fleet& simulated_fleet, event_counts& counts) : fleet_(simulated_fleet), counts_(counts) {}

  // Sends a configuration. `kind` is `configure` (the next one), `configure_race` (two with the same number at once),
  // `configure_stale` (an older number) or `configure_invalid` (a configuration that does not compile).
  auto configure(const std::string& kind) -> void;
  // Changes the configuration repeatedly at a fixed interval without waiting for the answers to earlier changes.
  auto configure_often(std::int64_t changes, monotonic_time interval) -> void;
  // Sends one order or read to one control node without retries. `order` is "read", "configure", "drain:NODE" or
  // "retire:NODE". Throws request_error `invalid_scenario` for any other order.
  auto send_once(const std::string& control_node, const std::string& order) -> void;
  // Drains a node. `kind` is drain, evacuate or retire.
  auto drain(const std::string& node, const std::string& kind, monotonic_time deadline) -> void;
  // Evacuates all storage nodes of a zone.
  auto evacuate_zone(const std::string& zone, monotonic_time deadline) -> void;
  // Retires a node and removes its machine after completion. Both functions may be empty.
  auto retire(const std::string& node, std::function<void()> on_accepted, std::function<void()> on_removed) -> void;

 private:
  auto send_stale_configuration() -> void;
  auto send_invalid_configuration() -> void;
  auto send_configuration(std::int64_t number, std::string body) -> void;
  auto follow_configuration(operator_client& client, std::int64_t number, std::string body) -> task<void>;
  auto change_configuration(bool is_last_change) -> void;
  auto await_configuration_everywhere(std::int64_t number) -> task<void>;
  // Counts a violation if a gateway may still apply an older configuration one lease duration after the
  // acknowledgement.
  auto check_in_force_after_lease(std::int64_t number) -> void;

  fleet& fleet_;
  event_counts& counts_;
};

}  // namespace reachridge
