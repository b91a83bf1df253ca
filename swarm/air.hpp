// The simulated fleet's machines, net and disks, all on one simulated clock (design 9.1).
#pragma once
#include <coroutine>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wax/host.hpp"

namespace hive {

class air;
class sim_link;
class sim_door;

struct machine {
  std::string name, zone, ip;
  bool on = true;
  bool full = false;                          // its disk takes no more
  double slow = 1;                            // how much slower than the others
  tick sync_cost = 3 * msec;
  double spikes = 0;                          // share of syncs that take up to `spike` more
  tick spike = 0;
  bool holds = false;                         // a sync holds its process; else it works aside
  std::map<std::string, std::string> solid;   // what is synced
};

class sim_host;

// A sync that holds the whole process: nothing else of it runs until the disk has
// answered, and then the one that asked runs first.
class hold {
 public:
  hold(sim_host& h, tick at) : own(h), when(at) {}
  hold(const hold&) = delete;
  auto operator=(const hold&) -> hold& = delete;
  ~hold();
  [[nodiscard]] auto await_ready() const -> bool { return false; }
  auto await_suspend(std::coroutine_handle<> g) -> void;
  auto await_resume() const -> void {}

 private:
  sim_host& own;
  tick when;
  std::coroutine_handle<> grip;
};

class sim_host : public host {
 public:
  sim_host(air& a, machine& m, bool disk, std::uint64_t seed);
  ~sim_host() override;
  [[nodiscard]] auto now() const -> tick override;
  [[nodiscard]] auto wall() const -> std::int64_t override;
  auto chance() -> std::uint64_t override { return dice(); }
  auto listen(const std::string& addr) -> std::unique_ptr<door> override;
  auto dial(std::string addr, tick until, bool* refused = nullptr) -> task<link_ptr> override;
  auto disk() -> store* override { return db.get(); }
  bool frozen = false;
  tick busy = 0;      // its processor works until then
  std::coroutine_handle<> held;  // what waits for the disk, if anything does
  tick held_until = 0;
  tick cost = 15;     // microseconds of one step
  air& world;
  machine& box;
  std::mt19937_64 dice;

 private:
  std::unique_ptr<store> db;
};

class air {
 public:
  explicit air(std::uint64_t seed);
  ~air();
  auto machine_at(const std::string& name, const std::string& zone) -> machine&;
  auto later(tick at, std::function<void()> fn) -> void;
  // Runs until the clock stands at `end`.
  auto run(tick end) -> void;
  // May bytes go from one to the other now?
  [[nodiscard]] auto open(const machine& from, const machine& to) const -> bool;
  auto cut(const std::string& from, const std::string& to) -> void;  // names of machines or zones; '*' all
  auto heal(const std::string& from, const std::string& to) -> void;
  tick clock = 0;
  std::mt19937_64 dice;
  double loss = 0;          // share of packets sent again
  tick wire = 300;          // one way, microseconds
  std::uint64_t steps = 0, packets = 0;
  // What standing and working cost: sends and their bytes, syncs of disks, times a process woke.
  std::uint64_t sends = 0, bytes = 0, syncs = 0, wakes = 0;
  std::map<std::string, std::unique_ptr<machine>> machines;
  std::map<std::string, sim_door*> doors;   // by address
  std::set<sim_host*> hosts_set;
  std::vector<sim_host*> hosts;             // in order of their start
  bool stop = false;

 private:
  std::multiset<std::pair<std::string, std::string>> cuts;
  std::multimap<tick, std::function<void()>> events;
};

}  // namespace hive
