// Implements the host interface of a simulated process: clock, connections and disk (design 9.1).
#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include "runtime/request_error.hpp"
#include "simulator/simulated_network.hpp"
#include "simulator/simulated_stream.hpp"

namespace reachridge {

// A listener of a simulated process. Registers its address with the network for as long as it exists.
class sim_listener : public listener {
 public:
  sim_listener(sim_host& owner, std::string listen_address) : host(owner), address(std::move(listen_address)) {
    host.network.listeners[address] = this;
  }
  ~sim_listener() override {
    if (auto entry = host.network.listeners.find(address);
        entry != host.network.listeners.end() && entry->second == this)
      host.network.listeners.erase(entry);
  }
  sim_host& host;
  std::string address;
};

// The simulated disk of a process. The contents are kept in the machine and survive the process.
class sim_store : public store {
 public:
  explicit sim_store(sim_host& owner) : store(owner), host_(owner) {}
  ~sim_store() override {
    stop_tasks();
  }

 protected:
  auto get_written(const std::string& key) -> std::optional<std::string> override {
    auto entry = host_.own_machine.durable.find(key);
    if (entry == host_.own_machine.durable.end())
      return {};
    return entry->second;
  }
  auto scan_written(const std::string& prefix, const visitor& visit) -> void override {
    for (auto entry = host_.own_machine.durable.lower_bound(prefix);
         entry != host_.own_machine.durable.end() && entry->first.compare(0, prefix.size(), prefix) == 0; ++entry)
      visit(entry->first, entry->second);
  }

  auto write(const std::vector<change>& batch) -> task<void> override {
    ++host_.network.syncs;
    add_to_digest(batch);
    auto duration = host_.own_machine.sync_cost;
    duration =
        duration / 2 + static_cast<monotonic_time>(host_.random_engine() % static_cast<std::uint64_t>(duration + 1));
    auto& local_machine = host_.own_machine;
    if (local_machine.sync_spike_share > 0 &&
        std::uniform_real_distribution<>(0, 1)(host_.random_engine) < local_machine.sync_spike_share)
      duration +=
          static_cast<monotonic_time>(host_.random_engine() % static_cast<std::uint64_t>(local_machine.sync_spike + 1));
    if (local_machine.sync_blocks_process)
      co_await blocking_sync(host_, host_.now() + duration);
    else
      co_await sleep_for(host_, duration);
    if (host_.own_machine.disk_full)
      throw request_error(errc::disk_failed, "no space left", execution_outcome::unknown);
    for (const auto& entry : batch) {
      if (entry.erased)
        host_.own_machine.durable.erase(entry.key);
      else
        host_.own_machine.durable[entry.key] = entry.value;
    }
  }

 private:
  auto add_to_digest(const std::vector<change>& batch) -> void {
    auto& digest = host_.network.digest;
    digest.add(static_cast<std::uint64_t>(host_.network.clock));
    digest.add(host_.own_machine.name);
    for (const auto& entry : batch) {
      digest.add(std::uint64_t{entry.erased});
      digest.add(entry.key);
      digest.add(entry.value);
    }
  }
  sim_host& host_;
};

blocking_sync::~blocking_sync() {
  if (waiter_ && host_.blocked == waiter_) {
    host_.blocked = nullptr;
    host_.schedule_changed();
  }
}
auto blocking_sync::await_suspend(std::coroutine_handle<> waiter) -> void {
  waiter_ = waiter;
  host_.blocked = waiter;
  host_.blocked_until = finish_time_;
  host_.schedule_changed();
}

sim_host::sim_host(simulated_network& owner_network, machine& local_machine, bool disk, std::uint64_t seed)
    : network(owner_network),
      own_machine(local_machine),
      random_engine(seed),
      start_order_(++owner_network.hosts_created_) {
  if (disk)
    store_ = std::make_unique<sim_store>(*this);
  schedule_changed();
}
sim_host::~sim_host() {
  store_.reset();
  network.remove_from_agenda(*this);
}
auto open_heap_account() -> std::int64_t* {
  // Deliberately leaked: other static objects free memory after this object would have been destroyed, and those frees
  // still update an account.
  static auto& accounts = *std::make_unique<std::deque<std::int64_t>>().release();
  return &accounts.emplace_back(0);
}
auto sim_host::on_schedule_changed() -> void {
  network.rescheduled_.push_back(this);
}
auto sim_host::now() const -> monotonic_time {
  return network.clock;
}
auto sim_host::wall_clock_ms() const -> std::int64_t {
  return 1700000000000 + network.clock / millisecond + own_machine.clock_offset_ms;
}
auto sim_host::listen(const std::string& address) -> std::unique_ptr<listener> {
  if (network.listeners.count(address))
    throw request_error(errc::listen_failed, address + ": address already in use");
  return std::make_unique<sim_listener>(*this, address);
}

// Returns the time that the opening packet and its answer take. A lost packet is retransmitted after one second.
auto sim_host::connect_time() -> monotonic_time {
  auto round_trip = network.latency * 2 + static_cast<monotonic_time>(network.random_engine() % 100);
  return network.loses_packet() ? round_trip + second : round_trip;
}

auto sim_host::connect(std::string address, monotonic_time until, bool* refused) -> task<byte_stream_ptr> {
  auto refuse_connection = [refused] {
    if (refused)
      *refused = true;
    return byte_stream_ptr();
  };
  while (true) {
    auto round_trip = connect_time();
    if (now() + round_trip > until) {
      co_await sleep_until(*this, until);
      co_return nullptr;
    }
    co_await sleep_for(*this, round_trip);
    auto* target = network.machine_with_ip(address.substr(0, address.find(':')));
    if (!target)
      co_return nullptr;
    if (network.refuses(own_machine, *target))
      co_return refuse_connection();
    if (network.reachable(own_machine, *target) && network.reachable(*target, own_machine)) {
      auto listener_entry = network.listeners.find(address);
      if (listener_entry == network.listeners.end())
        co_return refuse_connection();
      auto [connecting, accepting] = sim_stream::open(*this, listener_entry->second->host, address);
      listener_entry->second->accepted.push(accepting);
      co_return connecting;
    }
    co_await sleep_until(*this, std::min(until, now() + second));  // the opening packet is retransmitted
    if (now() >= until)
      co_return nullptr;
  }
}

}  // namespace reachridge
