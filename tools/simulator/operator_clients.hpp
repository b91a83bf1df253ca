// Concurrent operators of a simulated fleet that use the HTTP interface of the control nodes. Each operator sends an
// order to a random control node, retries it on random control nodes until the answer is definite, and gives up after a
// timeout.
#pragma once
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "local_cluster/linearizability.hpp"
#include "simulator/fleet.hpp"

namespace reachridge {

// Runs the operators as tasks of the fleet and records their orders for the linearizability check.
class operator_clients {
 public:
  // Requires a started fleet. Its first configuration is the first order of the history.
  operator_clients(fleet& simulated_fleet, std::uint64_t seed);
  // Spawns the operators. They send no new order after `until`.
  auto start(int operators, monotonic_time until) -> void;
  // Returns whether any operator or reader has not finished.
  [[nodiscard]] auto is_busy() const -> bool {
    return running_tasks_ > 0;
  }
  // Reads the configuration and all drains once, from any control node that answers before `until`.
  auto read_all(monotonic_time until) -> task<void>;
  // Returns all recorded orders.
  [[nodiscard]] auto history() const -> const std::vector<operator_order>& {
    return history_;
  }

 private:
  struct order_answer {
    order_outcome outcome = order_outcome::unknown;
    bool is_temporary = false;  // refused temporarily, for example without a leader: the order had no effect
    value body;
  };
  struct order_request {
    std::string method, path, body;
  };
  auto run_operator(std::string client, monotonic_time until) -> task<void>;
  // Sends an order until the answer is definite or the operator gives up.
  auto send_until_answered(operator_order order, order_request request) -> task<void>;
  auto put_configuration(std::string client) -> task<void>;
  auto begin_drain(std::string client) -> task<void>;
  auto withdraw_drain(std::string client) -> task<void>;
  auto read_configuration(std::string client, monotonic_time timeout) -> task<bool>;
  auto read_drains(std::string client, monotonic_time timeout) -> task<bool>;
  auto send_request(order_request request, monotonic_time timeout) -> task<order_answer>;
  [[nodiscard]] auto now_ms() const -> std::int64_t {
    return fleet_.network.clock / millisecond;
  }
  auto random_below(std::uint64_t limit) -> std::uint64_t {
    return random_engine_() % limit;
  }
  auto draw_object() -> std::string;

  fleet& fleet_;
  std::mt19937_64 random_engine_;
  std::vector<std::string> objects_;  // storage nodes, and zones by the keys of the control nodes
  std::vector<operator_order> history_;
  std::int64_t newest_number_ = 1, content_count_ = 0;
  int running_tasks_ = 0;
};

}  // namespace reachridge
