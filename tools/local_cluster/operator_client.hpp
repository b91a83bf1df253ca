// Simulated operators that use the public HTTP interface of the control nodes and gateways (design 9.2).
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "local_cluster/history.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// Sends configurations and drains, waits for their completion, reads them back and records all answers in the history.
// Functions with a deadline return false if the deadline passes first.
class operator_client {
 public:
  operator_client(host& owner, std::vector<std::string> control_nodes, std::vector<std::string> gateways,
                  history& observed);
  // Adds the address of a control node that joined during the run.
  auto add_control_node(std::string node) -> void {
    control_nodes_.push_back(std::move(node));
  }
  // Sends a configuration until the answer is clear. Returns whether the configuration is accepted.
  auto put(std::int64_t number, std::string body) -> task<bool>;
  // Waits until a control node reports that the configuration is in force.
  auto await_in_force(std::int64_t number, monotonic_time deadline) -> task<bool>;
  // Probes each gateway for the configurations from `low` to `high`.
  auto probe_all(std::int64_t low, std::int64_t high) -> task<void>;
  // Orders a drain of a node and waits until it is done. Calls `accepted` when the order is acknowledged.
  auto leave(std::string name, std::string kind, monotonic_time deadline, std::function<void()> accepted = {})
      -> task<bool>;
  // These three send one order or read once to one control node. They return the kind of the answer: `taken`, `retry`
  // (temporary failure: may be sent again), `refused` (final) or `late` (no answer within two seconds).
  auto put_once(std::string node, std::int64_t number, std::string body) -> task<std::string>;
  auto drain_once(std::string node, std::string name, std::string kind) -> task<std::string>;
  auto read_once(std::string node) -> task<std::string>;
  // Orders the evacuation of a zone and waits until it is done.
  auto evacuate(std::string zone, monotonic_time deadline) -> task<bool>;
  // Reads the configuration and the drains back from a random control node.
  auto read_back(monotonic_time deadline) -> task<bool>;
  // Reads the configuration and the drains back from each of the control nodes.
  auto read_all(std::vector<std::string> nodes, monotonic_time deadline) -> task<bool>;
  // Probes gateways and reads back from control nodes at a steady rate. Never returns.
  auto poll_continuously(std::function<std::int64_t()> newest) -> task<void>;
  // Sends a request to random control nodes until one answers with a status below 500.
  auto ask(std::string method, std::string path, std::string body, monotonic_time deadline) -> task<http_reply>;

 private:
  // Reads the configuration and the completed drains from one control node and records them.
  auto read_from(std::string node, monotonic_time deadline) -> task<bool>;
  auto send_once(std::string node, std::string method, std::string path, std::string body) -> task<std::string>;
  // Publishes to the probe topic that only this configuration allows, and records a success.
  auto probe(std::string node, std::int64_t number) -> task<void>;
  host& host_;
  std::vector<std::string> control_nodes_, gateways_;
  history& history_;
  std::int64_t count_ = 0;
};

// Returns a configuration that allows the client "prober" to publish only to the probe topic probe/v<number>.
auto probe_configuration(std::int64_t number, const std::string& spaces) -> std::string;

}  // namespace reachridge
