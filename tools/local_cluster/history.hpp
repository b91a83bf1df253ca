// Records what clients and operators observe during a run, in order of time.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runtime/host.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Holds the events for the consistency checker (see consistency_checker.hpp) and data for the measurements. The cluster
// under test owns the history; its clients and operators append to it.
struct history {
  std::vector<value> rows;
  std::map<std::string, std::vector<monotonic_time>> acks, deliveries;  // latencies by space
  std::map<std::string, std::int64_t> counts;                           // number of answers by kind and code
  // Times of the first attempts, by "topic sender" and sequence.
  std::map<std::pair<std::string, std::int64_t>, monotonic_time> sent;

  // Appends an event and sets its field `t` to the current time in milliseconds.
  auto note(host& machine, object event) -> void {
    event["t"] = machine.now() / millisecond;
    rows.emplace_back(std::move(event));
  }
};

}  // namespace reachridge
