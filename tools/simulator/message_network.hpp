// A simulated network with faults per message. Each message may be dropped, delayed, delivered twice or overtaken by a
// later message while its connection stays up. The machines, disks and clock are those of a simulated_network.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulator/simulated_network.hpp"

namespace reachridge {

// Probabilities of the faults that a message may meet. Shares lie between 0 and 1; times are in microseconds.
struct message_faults {
  double drop_share = 0;       // share of messages that are lost
  double duplicate_share = 0;  // share of messages that arrive twice
  double delay_share = 0;      // share of messages delayed by up to `max_delay`
  monotonic_time max_delay = 0;
};

// A silent cut drops every message. A refusing cut rejects connection attempts and resets established connections.
enum class cut_kind { silent, refusing };

class message_connection;
class message_listener;

// Connects the processes of one simulated_network. Holds the cut paths and draws the faults of each message from a
// seed.
class message_network {
 public:
  message_network(simulated_network& base_simulation, std::uint64_t seed)
      : simulation(base_simulation), random_engine_(seed) {}
  // Cuts the path from machine `from` to machine `to`; both are machine names. The opposite direction stays up.
  auto cut(const std::string& from, const std::string& to, cut_kind kind) -> void;
  auto heal(const std::string& from, const std::string& to) -> void {
    cuts_.erase({from, to});
  }
  auto heal_all() -> void {
    cuts_.clear();
  }
  // Returns true if a cut stops messages from one machine to the other.
  [[nodiscard]] auto blocked(const machine& from, const machine& to) const -> bool;
  [[nodiscard]] auto refuses(const machine& from, const machine& to) const -> bool;
  // Returns the machine with this address (IP:PORT), or null if there is none.
  [[nodiscard]] auto machine_of(const std::string& address) const -> machine*;
  // Draws true with the given probability.
  auto happens_with(double share) -> bool {
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_engine_) < share;
  }
  // Draws the one-way transit time of one message, in microseconds.
  auto transit_time() -> monotonic_time;

  simulated_network& simulation;
  message_faults faults;

 private:
  friend class message_host;
  friend class message_listener;
  friend class message_connection;
  auto register_connection(const std::shared_ptr<message_connection>& connection) -> void;
  std::mt19937_64 random_engine_;
  std::map<std::pair<std::string, std::string>, cut_kind> cuts_;
  std::map<std::string, message_listener*> listeners_;
  std::vector<std::weak_ptr<message_connection>> connections_;
};

// The host interface of one process whose connections run over a message_network.
class message_host : public sim_host {
 public:
  message_host(message_network& network, machine& local_machine, std::uint64_t seed);
  auto listen(const std::string& address) -> std::unique_ptr<listener> override;
  auto connect(std::string address, monotonic_time until, bool* refused = nullptr) -> task<byte_stream_ptr> override;

 private:
  message_network& network_;
};

}  // namespace reachridge
