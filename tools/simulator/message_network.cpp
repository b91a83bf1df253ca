#include "simulator/message_network.hpp"

#include <algorithm>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto min_transit_time = 200 * monotonic_time{1};  // microseconds, one way
constexpr auto transit_variation = std::uint64_t{400};

}  // namespace

// One end of a connection. Each send is one message, subject to the faults of the network.
class message_connection : public byte_stream, public std::enable_shared_from_this<message_connection> {
 public:
  message_connection(sim_host& owner, message_network& network, machine& remote)
      : byte_stream(owner), network_(network), local_(owner.own_machine), remote_(remote) {}
  ~message_connection() override {
    announce_end();
  }

  auto send(std::string_view bytes) -> void override {
    if (closed)
      return;
    if (network_.happens_with(network_.faults.drop_share))
      return;
    auto copies = network_.happens_with(network_.faults.duplicate_share) ? 2 : 1;
    for (auto i = 0; i < copies; ++i)
      deliver(std::string(bytes), network_.simulation.clock + network_.transit_time());
  }
  auto close() -> void override {
    if (closed)
      return;
    announce_end();
    break_connection();
  }
  [[nodiscard]] auto unsent_bytes() const -> std::size_t override {
    return 0;
  }
  auto break_connection() -> void {
    closed = true;
    readable_.wake();
    writable_.wake();
  }
  [[nodiscard]] auto crosses(const std::string& first_name, const std::string& second_name) const -> bool {
    return (local_.name == first_name && remote_.name == second_name) ||
           (local_.name == second_name && remote_.name == first_name);
  }
  std::weak_ptr<message_connection> peer;

 private:
  auto deliver(std::string bytes, monotonic_time at) -> void {
    auto sender = weak_from_this();
    auto receiver = peer;
    auto* network = &network_;
    auto* from = &local_;
    auto* to = &remote_;
    network_.simulation.schedule(at, [=, bytes = std::move(bytes)] {
      if (!from->powered || !to->powered || network->blocked(*from, *to))
        return;
      auto remote_end = receiver.lock();
      if (remote_end && !remote_end->closed) {
        remote_end->input += bytes;
        remote_end->readable_.wake();
        return;
      }
      auto local_end = sender.lock();
      if (local_end && !local_end->closed && !network->blocked(*to, *from))
        local_end->break_connection();
    });
  }
  // Notifies the other end, unless a machine has no power or the path is cut.
  auto announce_end() -> void {
    if (end_announced_)
      return;
    end_announced_ = true;
    if (!local_.powered)
      return;
    auto receiver = peer;
    auto* network = &network_;
    auto* from = &local_;
    auto* to = &remote_;
    network_.simulation.schedule(network_.simulation.clock + min_transit_time, [=] {
      auto remote_end = receiver.lock();
      if (remote_end && !remote_end->closed && to->powered && !network->blocked(*from, *to))
        remote_end->break_connection();
    });
  }
  message_network& network_;
  machine& local_;
  machine& remote_;
  bool end_announced_ = false;
};

// A listener on a message_network. Registers its address for as long as it exists.
class message_listener : public listener {
 public:
  message_listener(message_host& listening_host, message_network& host_network, std::string listen_address)
      : owner(listening_host), network(host_network), address(std::move(listen_address)) {
    host_network.listeners_[this->address] = this;
  }
  ~message_listener() override {
    network.listeners_.erase(address);
  }
  message_host& owner;
  message_network& network;
  std::string address;
};

auto message_network::transit_time() -> monotonic_time {
  auto time = min_transit_time + static_cast<monotonic_time>(random_engine_() % transit_variation);
  if (happens_with(faults.delay_share))
    time += static_cast<monotonic_time>(random_engine_() % static_cast<std::uint64_t>(faults.max_delay + 1));
  return time;
}

auto message_network::machine_of(const std::string& address) const -> machine* {
  auto ip = address.substr(0, address.find(':'));
  for (const auto& [name, entry] : simulation.machines)
    if (entry->ip == ip)
      return entry.get();
  return nullptr;
}

auto message_network::cut(const std::string& from, const std::string& to, cut_kind kind) -> void {
  cuts_[{from, to}] = kind;
  if (kind != cut_kind::refusing)
    return;
  std::erase_if(connections_, [](const auto& connection) {
    return connection.expired();
  });
  for (const auto& weak_connection : connections_)
    if (auto connection = weak_connection.lock(); connection && !connection->closed && connection->crosses(from, to))
      connection->break_connection();
}

auto message_network::blocked(const machine& from, const machine& to) const -> bool {
  return &from != &to && cuts_.contains({from.name, to.name});
}

auto message_network::refuses(const machine& from, const machine& to) const -> bool {
  auto cut_path = cuts_.find({from.name, to.name});
  return cut_path != cuts_.end() && cut_path->second == cut_kind::refusing;
}

auto message_network::register_connection(const std::shared_ptr<message_connection>& connection) -> void {
  connections_.push_back(connection);
}

message_host::message_host(message_network& network, machine& local_machine, std::uint64_t seed)
    : sim_host(network.simulation, local_machine, true, seed), network_(network) {}

auto message_host::listen(const std::string& address) -> std::unique_ptr<listener> {
  if (network_.listeners_.contains(address))
    throw request_error(errc::listen_failed, address + ": address already in use");
  return std::make_unique<message_listener>(*this, network_, address);
}

auto message_host::connect(std::string address, monotonic_time until, bool* refused) -> task<byte_stream_ptr> {
  auto* target = network_.machine_of(address);
  auto round_trip = network_.transit_time() + network_.transit_time();
  co_await sleep_until(*this, std::min(until, now() + round_trip));
  if (!target || now() >= until)
    co_return nullptr;
  auto reachable =
      target->powered && !network_.blocked(own_machine, *target) && !network_.blocked(*target, own_machine);
  auto listener_entry = network_.listeners_.find(address);
  auto no_listener = target->powered && reachable && listener_entry == network_.listeners_.end();
  if (no_listener || network_.refuses(own_machine, *target)) {
    if (refused)
      *refused = true;
    co_return nullptr;
  }
  if (!reachable) {
    co_await sleep_until(*this, until);
    co_return nullptr;
  }
  auto connecting = std::make_shared<message_connection>(*this, network_, *target);
  auto accepting = std::make_shared<message_connection>(listener_entry->second->owner, network_, own_machine);
  connecting->peer = accepting;
  accepting->peer = connecting;
  connecting->remote_address = address;
  accepting->remote_address = own_machine.ip;
  network_.register_connection(connecting);
  network_.register_connection(accepting);
  listener_entry->second->accepted.push(accepting);
  co_return connecting;
}

}  // namespace reachridge
