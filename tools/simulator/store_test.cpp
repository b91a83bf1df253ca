// Tests the simulated disk: reads include writes that are not yet synced, and removed keys stay removed (design 3.1).
#include "runtime/store_model.hpp"
#include "simulator/fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

constexpr auto model_seeds = 40;
constexpr auto model_steps = 400;

// Long enough that a node without partitions removes its copies during the cut.
constexpr auto cut_off_for = 9 * second;

}  // namespace

TEST_GROUP(simulated_disk){};

TEST(simulated_disk, reads_include_unsynced_writes) {
  for (auto seed = 1; seed <= model_seeds; ++seed) {
    auto simulation = simulated_network(static_cast<std::uint64_t>(seed));
    auto& node_machine = simulation.machine_at("one", "z1");
    auto difference = std::string();
    {
      auto host = sim_host(simulation, node_machine, true, static_cast<std::uint64_t>(seed));
      auto tasks = task_group(host);
      auto completed = false;
      tasks.spawn([](sim_host& process_host, int model_seed, std::string& found_difference, bool& done) -> task<void> {
        co_await compare_store_with_map(process_host, static_cast<std::uint64_t>(model_seed), model_steps,
                                        found_difference);
        done = true;
      }(host, seed, difference, completed));
      simulation.run(simulation.clock + 60 * second);
      CHECK(completed);
    }
    STRCMP_EQUAL("", difference.c_str());
  }
}

// Guards against a sync that waits for changes which were made after those that it was called for.
TEST(simulated_disk, a_sync_up_to_a_change_does_not_wait_for_later_changes) {
  auto simulation = simulated_network(1);
  auto& node_machine = simulation.machine_at("one", "z1");
  auto host = sim_host(simulation, node_machine, true, 1);
  auto tasks = task_group(host);
  auto& disk = *host.disk();
  auto synced = false;
  auto sync_up_to = [](store& written, store::change_number change, bool& done) -> task<void> {
    co_await written.sync_up_to(change);
    done = true;
  };
  disk.put("a", "1");
  const auto first = disk.newest_change();
  auto ignored = false;
  tasks.spawn(sync_up_to(disk, first, ignored));
  simulation.run(simulation.clock + millisecond);
  disk.put("b", "2");
  tasks.spawn(sync_up_to(disk, first, synced));
  simulation.run(simulation.clock + node_machine.sync_cost * 3 / 2);
  CHECK(synced);
  LONGS_EQUAL(1, disk.syncs);
  CHECK(disk.is_durable(first));
  CHECK_FALSE(disk.all_durable());
}

namespace {
// Makes one change and waits until it is durable, as each request of a node does.
auto change_and_sync(store& disk, std::string key, int& synced) -> task<void> {
  disk.put(std::move(key), "content");
  co_await disk.sync();
  ++synced;
}
// Handles `count` requests one after the other, with other tasks in between, at an interval.
auto handle_requests(sim_host& host, task_group& tasks, int count, monotonic_time interval, int& synced) -> task<void> {
  for (auto i = 0; i < count; ++i) {
    tasks.spawn(change_and_sync(*host.disk(), std::to_string(i), synced));
    co_await sleep_for(host, interval);
  }
}
// The number of writes that make the changes of requests durable which arrive at an interval after an earlier write.
auto writes_for_requests(monotonic_time sync_cost, monotonic_time interval) -> std::uint64_t {
  constexpr auto count = 5;
  auto simulation = simulated_network(1);
  auto& node_machine = simulation.machine_at("one", "z1");
  node_machine.sync_cost = sync_cost;
  auto host = sim_host(simulation, node_machine, true, 1);
  host.step_cost = 0;
  auto tasks = task_group(host);
  auto synced = 0;
  tasks.spawn(change_and_sync(*host.disk(), "first", synced));
  simulation.run(simulation.clock + 2 * sync_cost);
  LONGS_EQUAL(1, synced);
  const auto writes_before = host.disk()->syncs;
  tasks.spawn(handle_requests(host, tasks, count, interval, synced));
  simulation.run(simulation.clock + 10 * sync_cost);
  LONGS_EQUAL(1 + count, synced);
  return host.disk()->syncs - writes_before;
}
}  // namespace

// Guards against a write that begins with the first of several requests that have arrived together: the others then
// wait for a second write.
TEST(simulated_disk, requests_that_arrived_together_share_a_write) {
  LONGS_EQUAL(1, writes_for_requests(2 * millisecond, 0));
}

// On a slow disk, a request that arrives shortly after the first one shares its write. On a fast disk the write has
// begun.
TEST(simulated_disk, a_slow_disk_collects_changes_before_a_write) {
  constexpr auto interval = 100;
  LONGS_EQUAL(1, writes_for_requests(30 * millisecond, interval));
  CHECK_COMPARE(writes_for_requests(2 * millisecond, interval), >, 1);
}

// Guards against a storage node that offers a copy again after its removal. After removing its copies a storage node
// writes nothing else, so it may be asked to join a partition before the removals are synced.
TEST(simulated_disk, a_removed_copy_is_not_offered_again) {
  auto offered = 0;
  for (auto seed = 71; seed <= 74; ++seed) {
    auto shape = fleet_shape();
    shape.keep_low = shape.keep;
    shape.every = 100 * millisecond;
    auto simulated = fleet(static_cast<std::uint64_t>(seed), shape);
    CHECK(simulated.begin());
    simulated.network.run(simulated.network.clock + 2 * second);
    simulated.network.cut("z1", "*");
    simulated.network.cut("*", "z1");
    simulated.network.run(simulated.network.clock + cut_off_for);
    simulated.network.heal("z1", "*");
    simulated.network.heal("*", "z1");
    for (auto deadline = simulated.network.clock + 10 * second; simulated.network.clock < deadline;) {
      simulated.network.run(simulated.network.clock + 5 * millisecond);
      for (const auto& [name, process] : simulated.processes) {
        if (!process->storage)
          continue;
        auto status = process->storage->status();
        for (const auto& partition_status : get_value(status, "cells").as_object()) {
          auto prefix = "C/" + std::string(partition_status.key()) + "/";
          auto on_disk = process->machine->durable.lower_bound(prefix);
          auto held = on_disk != process->machine->durable.end() && on_disk->first.starts_with(prefix);
          offered += get_int(partition_status.value(), "solid") > 0 && !held;
        }
      }
    }
  }
  LONGS_EQUAL(0, offered);
}
