// The machines, network and disks of a simulated fleet. All of them share one simulated clock (design 9.1).
#pragma once
#include <algorithm>
#include <coroutine>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runtime/host.hpp"
#include "simulator/heap.hpp"
#include "simulator/run_digest.hpp"

namespace reachridge {

class simulated_network;
class sim_listener;

// A simulated machine: its address, its power state, its clock offset, and the contents and timing of its disk. The
// simulated network owns every machine; a machine outlives the processes that run on it.
struct machine {
  std::string name, zone, ip;
  bool powered = true;
  bool disk_full = false;            // writes to the disk fail
  std::int64_t clock_offset_ms = 0;  // offset of the wall clock; the steady clock has none
  double slowdown = 1;               // factor on the processor time of each step
  monotonic_time sync_cost = 3 * millisecond;
  double sync_spike_share = 0;  // share of syncs that take up to `sync_spike` longer
  monotonic_time sync_spike = 0;
  bool sync_blocks_process = false;            // true: the whole process waits for a sync
  std::map<std::string, std::string> durable;  // synced contents of the disk
};

class sim_host;

// Totals of the work that one process has done, counted at its streams and at its steps (docs/CAPACITY.md). The `near`
// counters cover traffic inside the machine. Data sent to a peer that has disappeared counts as sent but not as
// received.
struct counters {
  std::uint64_t frames_out = 0, frames_in = 0;  // to and from other machines; every send of the product is one frame
  std::uint64_t bytes_out = 0, bytes_in = 0;
  std::uint64_t near_frames = 0, near_bytes = 0;  // sent plus received
  std::uint64_t resumes = 0;                      // coroutine resumptions
  std::int64_t cpu_ns = 0;                        // real processor time; counted only while the network is metered
};

// Awaitable for a sync that blocks the whole process. No other coroutine of the process runs until the sync completes;
// the awaiting coroutine then resumes first.
class blocking_sync {
 public:
  blocking_sync(sim_host& owner, monotonic_time finish_time) : host_(owner), finish_time_(finish_time) {}
  blocking_sync(const blocking_sync&) = delete;
  auto operator=(const blocking_sync&) -> blocking_sync& = delete;
  ~blocking_sync();
  [[nodiscard]] auto await_ready() const -> bool {
    return false;
  }
  auto await_suspend(std::coroutine_handle<> waiter) -> void;
  auto await_resume() const -> void {}

 private:
  sim_host& host_;
  monotonic_time finish_time_;
  std::coroutine_handle<> waiter_;
};

// The host interface of one simulated process. Timers run on the simulated clock, each step costs simulated processor
// time, and streams and the disk are simulated. The fleet owns the object; destroying it ends the process.
class sim_host : public host {
 public:
  sim_host(simulated_network& owner_network, machine& local_machine, bool disk, std::uint64_t seed);
  ~sim_host() override;
  [[nodiscard]] auto now() const -> monotonic_time override;
  [[nodiscard]] auto wall_clock_ms() const -> std::int64_t override;
  auto random() -> std::uint64_t override {
    return random_engine();
  }
  auto listen(const std::string& address) -> std::unique_ptr<listener> override;
  auto connect(std::string address, monotonic_time until, bool* refused = nullptr) -> task<byte_stream_ptr> override;
  auto disk() -> store* override {
    return store_.get();
  }
  auto freeze(bool on) -> void {
    frozen = on;
    schedule_changed();
  }
  // Returns the time at which the process runs next, or `never`.
  [[nodiscard]] auto next_run() const -> monotonic_time {
    return frozen ? never : blocked ? blocked_until : std::max(next(), busy_until);
  }
  bool frozen = false;
  counters activity;
  std::int64_t* const heap_account = open_heap_account();
  monotonic_time busy_until = 0;    // the processor is busy until this time
  std::coroutine_handle<> blocked;  // the coroutine that waits for a blocking sync; null if there is none
  monotonic_time blocked_until = 0;
  monotonic_time step_cost = 15;  // simulated processor time of one step, in microseconds
  simulated_network& network;
  machine& own_machine;
  std::mt19937_64 random_engine;

 protected:
  auto on_schedule_changed() -> void override;

 private:
  friend class simulated_network;
  auto connect_time() -> monotonic_time;
  std::unique_ptr<store> store_;
  std::uint64_t start_order_;          // orders processes that are due at the same time
  monotonic_time agenda_key_ = never;  // due time of the entry in the agenda; `never` if there is no entry
};

// The machines of a simulated fleet, the network between them and their clock. A discrete-event loop runs the timers of
// the processes and the arrivals of packets. Owns the machines and their disks; each sim_host registers its process.
// Events and processes that are due at the same time run in a fixed order. A seed therefore always gives the same run.
class simulated_network {
 public:
  explicit simulated_network(std::uint64_t seed);
  ~simulated_network();
  // Returns the machine with this name; creates it in the zone if it does not exist.
  auto machine_at(const std::string& name, const std::string& zone) -> machine&;
  // Runs `callback` at a point in simulated time; a time in the past means now.
  auto schedule(monotonic_time at, std::function<void()> callback) -> void;
  // Runs until the simulated clock reaches `end` or `stopped` is set.
  auto run(monotonic_time end) -> void;
  // Returns true if packets can currently travel from one machine to the other.
  [[nodiscard]] auto reachable(const machine& from, const machine& to) const -> bool;
  // A silent cut drops packets. A refusing cut answers each packet with a reset, like a rejecting firewall. `from` and
  // `to` are names of machines or zones; '*' stands for all of them.
  enum class cut_kind { silent, refusing };
  auto cut(const std::string& from, const std::string& to, cut_kind kind = cut_kind::silent) -> void;
  auto heal(const std::string& from, const std::string& to, cut_kind kind = cut_kind::silent) -> void;
  // Returns true if packets from one machine to the other are currently answered with a reset.
  [[nodiscard]] auto refuses(const machine& from, const machine& to) const -> bool;
  // Draws at random whether a packet is lost.
  auto loses_packet() -> bool;
  // Returns null if no machine has this address.
  [[nodiscard]] auto machine_with_ip(const std::string& ip) const -> machine*;
  monotonic_time clock = 0;
  std::mt19937_64 random_engine;
  double packet_loss = 0;        // share of packets that are lost and retransmitted
  monotonic_time latency = 300;  // one way, microseconds
  std::uint64_t steps = 0, packets = 0;
  // Totals over all processes: sends and their bytes, syncs of disks, and how often an idle process woke up.
  std::uint64_t sends = 0, bytes = 0, syncs = 0, wakes = 0;
  run_digest digest;  // covers every frame sent and every batch written to a disk
  std::map<std::string, std::unique_ptr<machine>> machines;
  std::map<std::string, sim_listener*> listeners;  // by address
  bool stopped = false;
  bool metered = false;  // true: measures the real processor time and the heap of each process

 private:
  friend class sim_host;
  auto update_agenda() -> void;
  // Runs the next event or process; returns false if none is due until `end`.
  auto run_next(monotonic_time end) -> bool;
  auto run_event() -> void;
  auto run_host(sim_host& host) -> void;
  // Enters a process under its current due time; an older entry is removed.
  auto add_to_agenda(sim_host& host) -> void;
  auto remove_from_agenda(sim_host& host) -> void;
  std::set<std::tuple<monotonic_time, std::uint64_t, sim_host*>> agenda_;  // by due time, then by start order
  std::vector<sim_host*> rescheduled_;                                     // processes whose due time may have changed
  sim_host* running_ = nullptr;
  std::uint64_t hosts_created_ = 0;
  using path_set = std::multiset<std::pair<std::string, std::string>>;
  [[nodiscard]] static auto covers(const path_set& paths, const machine& from, const machine& to) -> bool;
  path_set cuts_, refusals_;
  std::multimap<monotonic_time, std::function<void()>> events_;
};

}  // namespace reachridge
