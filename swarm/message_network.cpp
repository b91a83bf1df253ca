#include "swarm/message_network.hpp"

#include <algorithm>

#include "wax/verdict.hpp"

namespace hive {
namespace {

constexpr auto transit_least = 200 * tick{1};  // microseconds, one way
constexpr auto transit_spread = std::uint64_t{400};

}  // namespace

// One end of a connection. Each send is one message.
class message_connection : public link, public std::enable_shared_from_this<message_connection> {
 public:
  message_connection(sim_host& owner, message_network& network, machine& remote)
      : link(owner), network(network), local(owner.box), remote(remote) {}
  ~message_connection() override { announce_end(); }

  auto send(std::string_view bytes) -> void override {
    if (shut) return;
    if (network.chance(network.faults.drop)) return;
    auto copies = network.chance(network.faults.duplicate) ? 2 : 1;
    for (auto i = 0; i < copies; ++i)
      deliver(std::string(bytes), network.world.clock + network.transit_time());
  }
  auto close() -> void override {
    if (shut) return;
    announce_end();
    end();
  }
  [[nodiscard]] auto owed() const -> std::size_t override { return 0; }
  auto end() -> void {
    shut = true;
    stir.wake();
    gone.wake();
  }
  [[nodiscard]] auto crosses(const std::string& a, const std::string& b) const -> bool {
    return (local.name == a && remote.name == b) || (local.name == b && remote.name == a);
  }
  std::weak_ptr<message_connection> peer;

 private:
  auto deliver(std::string bytes, tick at) -> void {
    auto sender = weak_from_this();
    auto receiver = peer;
    auto* net = &network;
    auto* from = &local;
    auto* to = &remote;
    network.world.later(at, [=, bytes = std::move(bytes)] {
      if (!from->on || !to->on || net->blocked(*from, *to)) return;
      auto there = receiver.lock();
      if (there && !there->shut) {
        there->in += bytes;
        there->stir.wake();
        return;
      }
      auto here = sender.lock();
      if (here && !here->shut && !net->blocked(*to, *from)) here->end();
    });
  }
  // The other side learns of the end unless the power or the path is gone.
  auto announce_end() -> void {
    if (announced) return;
    announced = true;
    if (!local.on) return;
    auto receiver = peer;
    auto* net = &network;
    auto* from = &local;
    auto* to = &remote;
    network.world.later(network.world.clock + transit_least, [=] {
      auto there = receiver.lock();
      if (there && !there->shut && to->on && !net->blocked(*from, *to)) there->end();
    });
  }
  message_network& network;
  machine& local;
  machine& remote;
  bool announced = false;
};

class message_listener : public door {
 public:
  message_listener(message_host& owner, message_network& network, std::string address)
      : owner(owner), network(network), address(std::move(address)) {
    network.listeners[this->address] = this;
  }
  ~message_listener() override { network.listeners.erase(address); }
  message_host& owner;
  message_network& network;
  std::string address;
};

auto message_network::transit_time() -> tick {
  auto time = transit_least + static_cast<tick>(dice() % transit_spread);
  if (chance(faults.late)) time += static_cast<tick>(dice() % static_cast<std::uint64_t>(faults.latest + 1));
  return time;
}

auto message_network::machine_of(const std::string& address) const -> machine* {
  auto ip = address.substr(0, address.find(':'));
  for (const auto& [name, box] : world.machines)
    if (box->ip == ip) return box.get();
  return nullptr;
}

auto message_network::cut(const std::string& from, const std::string& to, cut_kind kind) -> void {
  cuts[{from, to}] = kind;
  if (kind != cut_kind::refusing) return;
  std::erase_if(connections, [](const auto& connection) { return connection.expired(); });
  for (const auto& held : connections)
    if (auto connection = held.lock(); connection && !connection->shut && connection->crosses(from, to))
      connection->end();
}

auto message_network::blocked(const machine& from, const machine& to) const -> bool {
  return &from != &to && cuts.contains({from.name, to.name});
}

auto message_network::refuses(const machine& from, const machine& to) const -> bool {
  auto it = cuts.find({from.name, to.name});
  return it != cuts.end() && it->second == cut_kind::refusing;
}

auto message_network::register_connection(const std::shared_ptr<message_connection>& connection) -> void {
  connections.push_back(connection);
}

message_host::message_host(message_network& network, machine& box, std::uint64_t seed)
    : sim_host(network.world, box, true, seed), network(network) {}

auto message_host::listen(const std::string& address) -> std::unique_ptr<door> {
  if (network.listeners.contains(address)) throw verdict("listen", address + ": in use");
  return std::make_unique<message_listener>(*this, network, address);
}

auto message_host::dial(std::string address, tick until, bool* refused) -> task<link_ptr> {
  auto* there = network.machine_of(address);
  auto round_trip = network.transit_time() + network.transit_time();
  co_await nap(*this, std::min(until, now() + round_trip));
  if (!there || now() >= until) co_return nullptr;
  auto reachable = there->on && !network.blocked(box, *there) && !network.blocked(*there, box);
  auto it = network.listeners.find(address);
  auto nobody_listens = there->on && reachable && it == network.listeners.end();
  if (nobody_listens || network.refuses(box, *there)) {
    if (refused) *refused = true;
    co_return nullptr;
  }
  if (!reachable) {
    co_await nap(*this, until);
    co_return nullptr;
  }
  auto near = std::make_shared<message_connection>(*this, network, *there);
  auto far = std::make_shared<message_connection>(it->second->owner, network, box);
  near->peer = far;
  far->peer = near;
  near->from = address;
  far->from = box.ip;
  network.register_connection(near);
  network.register_connection(far);
  it->second->knocks.push(far);
  co_return near;
}

}  // namespace hive
