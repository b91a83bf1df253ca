// The stored log after a power failure between any two writes, and the limits of the entries in memory.
#include "raft/log_storage.hpp"

#include "simulator/simulated_network.hpp"

// CppUTest must come last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

// Records all writes in their order. `records` does not change by itself: `apply` applies one recorded write to it.
class recording_store : public store {
 public:
  struct write_step {
    std::string key, value;
    bool erased;
  };
  explicit recording_store(event_loop& loop) : store(loop) {}
  ~recording_store() override {
    stop_tasks();
  }
  auto apply(const write_step& step) -> void {
    if (step.erased)
      records.erase(step.key);
    else
      records[step.key] = step.value;
  }
  std::map<std::string, std::string> records;
  std::vector<write_step> steps;

 protected:
  auto get_written(const std::string& key) -> std::optional<std::string> override {
    auto it = records.find(key);
    return it == records.end() ? std::optional<std::string>() : it->second;
  }
  auto scan_written(const std::string& prefix, const visitor& visit) -> void override {
    for (const auto& [key, value] : records)
      if (key.starts_with(prefix))
        visit(key, value);
  }
  auto write(const std::vector<change>& changes) -> task<void> override {
    for (const auto& written : changes)
      steps.push_back({written.key, written.value, written.erased});
    co_return;
  }
};

}  // namespace

TEST_GROUP(log_storage_tests) {
  simulated_network network{1};
  machine& node_machine = network.machine_at("m", "z");
  sim_host process_host{network, node_machine, false, 1};
  task_group tasks{process_host};
  recording_store disk{process_host};
  log_storage log{disk};

  void setup() override {
    log.load(7);
    log.bootstrap({{"a:1", "x"}, {"b:1", "y"}, {"c:1", "z"}});
    log.term = 1;
    log.save_metadata();
  }
  auto append_entries(int count, term_number term)->void {
    for (auto i = 0; i < count; ++i)
      log.append(term, object{{"k", "leave"}, {"name", std::to_string(i)}});
  }
  auto snapshot_at(log_index index)->snapshot {
    return {index, log.term_at(index), log.members_at(index), log.log_id(), value(object{{"upto", index.get()}})};
  }
  auto sync()->void {
    tasks.spawn([](log_storage& storage) -> task<void> {
      co_await storage.sync();
    }(log));
    network.run(network.clock + second);
  }
  // Simulates a power failure after each write from `from` on: the log must load, and it must have all entries up to
  // `min_last`.
  auto check_each_power_failure(std::size_t from, log_index min_last)->void {
    auto written = recording_store(process_host);
    for (auto i = std::size_t{0}; i < disk.steps.size(); ++i) {
      written.apply(disk.steps[i]);
      if (i + 1 < from)
        continue;
      auto copy = recording_store(process_host);
      copy.records = written.records;
      auto loaded = log_storage(copy);
      auto failure = std::string();
      try {
        loaded.load(1);
      } catch (const std::exception& error) {
        failure = error.what();
      }
      STRCMP_EQUAL("", failure.c_str());
      CHECK(loaded.last() >= min_last);
      CHECK(loaded.members().voters.size() == 3);
    }
  }
};
TEST(log_storage_tests, a_snapshot_is_durable_before_the_entries_that_it_covers_are_erased) {
  append_entries(20, 1);
  sync();
  auto from = disk.steps.size();
  log.compact(snapshot_at(15), 15);
  sync();
  check_each_power_failure(from, 20);
  LONGS_EQUAL(15, log.snapshot_index());
}
TEST(log_storage_tests, installing_a_snapshot_leaves_no_gap) {
  append_entries(20, 1);
  sync();
  auto from = disk.steps.size();
  auto image = snapshot_at(10);
  image.term = 2;  // differs from the term of the stored entry, so the entries must not stay
  log.term = 2;
  log.install(image, serialize_snapshot(image));
  sync();
  check_each_power_failure(from, 10);
  LONGS_EQUAL(10, log.last());
}
// Entries after a snapshot that matches the log may be acknowledged already, so the installation must not remove them.
TEST(log_storage_tests, entries_that_follow_an_installed_snapshot_stay) {
  append_entries(20, 1);
  log.durable_index = 20;
  sync();
  auto image = snapshot_at(10);
  log.install(image, serialize_snapshot(image));
  LONGS_EQUAL(20, log.last());
  LONGS_EQUAL(20, log.durable_index);
  LONGS_EQUAL(10, log.first());
  LONGS_EQUAL(1, log.term_at(15));
}
// A power failure between the write of a snapshot and the erasure of the covered entries leaves them on disk.
TEST(log_storage_tests, covered_entries_are_erased_at_the_next_start) {
  append_entries(5, 1);
  sync();
  auto copy = recording_store(process_host);
  for (const auto& step : disk.steps)
    copy.apply(step);
  copy.records["L/cap"] = serialize_snapshot(snapshot_at(5));
  auto reloaded = log_storage(copy);
  reloaded.load(1);
  LONGS_EQUAL(5, reloaded.last());
  tasks.spawn([](log_storage& storage) -> task<void> {
    co_await storage.sync();
  }(reloaded));
  network.run(network.clock + second);
  LONGS_EQUAL(5, copy.steps.size());
}
// A snapshot cannot cover entries that are not applied, so these do not count towards the compaction threshold.
TEST(log_storage_tests, only_applied_entries_make_a_snapshot_due) {
  auto command = object{{"k", "leave"}, {"name", std::string(100 << 10, 'x')}};
  for (auto i = 0; i < 30; ++i)
    log.append(1, command);
  CHECK_FALSE(log.snapshot_due(0));
  CHECK_FALSE(log.snapshot_due(5));
  CHECK(log.snapshot_due(25));
  log.compact(snapshot_at(25), 25);
  CHECK_FALSE(log.snapshot_due(30));
  log.truncate_from(28);
  CHECK_FALSE(log.snapshot_due(27));
  CHECK(log.bytes() < std::size_t{14} * (100 << 10));
}
// Entries that a follower still needs stay in memory up to max_retained_bytes, others up to max_tail_bytes.
TEST(log_storage_tests, entries_that_a_follower_needs_stay_within_bounds) {
  auto command = object{{"k", "leave"}, {"name", std::string(100 << 10, 'x')}};
  for (auto i = 0; i < 60; ++i)
    log.append(1, command);
  log.compact(snapshot_at(60), 5);
  LONGS_EQUAL(5, log.first());
  for (auto i = 0; i < 60; ++i)
    log.append(1, command);
  log.compact(snapshot_at(120), 5);
  CHECK(log.first() > 5);
  CHECK(log.bytes() <= max_retained_bytes);
  log.compact(snapshot_at(120), 120);
  CHECK(log.bytes() <= max_tail_bytes);
}
TEST(log_storage_tests, membership_follows_appended_and_truncated_entries) {
  auto two_voters = encode(membership_command{{{{"a:1", "x"}, {"b:1", "y"}}, {}}, {}});
  append_entries(3, 1);
  auto index = log.append(1, two_voters);
  LONGS_EQUAL(2, log.members().voters.size());
  LONGS_EQUAL(index, log.members_index());
  LONGS_EQUAL(3, log.members_at(index - 1).voters.size());
  log.truncate_from(index);
  LONGS_EQUAL(3, log.members().voters.size());
  LONGS_EQUAL(0, log.members_index());
}
