// A randomized test for stores that compares each read with a map.
#pragma once
#include <map>
#include <random>
#include <string>

#include "runtime/host.hpp"

namespace reachridge {

// Makes `steps` random puts, erasures, syncs and pauses with the store of `machine` and applies the same changes to a
// map. Compares the store with the map after each step. `difference` stays empty if all reads are equal; otherwise the
// function stops after the step with the first difference and describes the difference there. The same seed gives the
// same steps. There are only 18 keys with 3 prefixes, so that many changes affect the same key.
inline auto compare_store_with_map(host& machine, std::uint64_t seed, int steps, std::string& difference)
    -> task<void> {
  auto& disk = *machine.disk();
  auto random = std::mt19937_64(seed);
  auto syncs = task_group(machine);
  auto model = std::map<std::string, std::string>();
  auto random_key = [&] {
    auto group = static_cast<char>('a' + random() % 3);
    return std::string(1, group) + std::to_string(random() % 6);
  };
  auto read_store = [&](const std::string& prefix) {
    auto seen = std::string();
    disk.scan(prefix, [&](const std::string& key, const std::string& value) {
      seen += key + "=" + value + " ";
    });
    return seen;
  };
  auto read_model = [&](const std::string& prefix) {
    auto expected = std::string();
    for (const auto& [key, value] : model)
      if (key.starts_with(prefix))
        expected += key + "=" + value + " ";
    return expected;
  };
  for (auto step = 0; step < steps && difference.empty(); ++step) {
    auto key = random_key();
    switch (random() % 6) {
      case 0:
      case 1:
        disk.put(key, std::to_string(step));
        model[key] = std::to_string(step);
        break;
      case 2:
        disk.erase(key);
        model.erase(key);
        break;
      case 3:
        syncs.spawn([](store& synced_store) -> task<void> {
          co_await synced_store.sync();
        }(disk));
        break;
      case 4:
        co_await sleep_for(
            machine,
            static_cast<monotonic_time>(random() % 4) * millisecond);  // lets a sync in progress continue
        break;
      default:
        co_await disk.sync();
        if (!disk.all_durable())
          difference = "changes are not durable after a sync, step " + std::to_string(step);
    }
    auto expected = model.find(key);
    auto found = disk.get(key);
    if (found.has_value() != (expected != model.end()) || (found && *found != expected->second))
      difference = "get " + key + " at step " + std::to_string(step);
    for (const auto* prefix : {"", "a", "b", "c3"})
      if (auto seen = read_store(prefix); seen != read_model(prefix))
        difference = "scan '" + std::string(prefix) + "' at step " + std::to_string(step) + " gave " + seen;
  }
}

}  // namespace reachridge
