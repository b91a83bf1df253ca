// What a loss of power may leave on the disk, write by write.
#include "raft/log_storage.hpp"

#include "simulator/simulated_network.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

// Keeps each write in its order.
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
  auto take(const write_step& step) -> void {
    if (step.erased)
      rows.erase(step.key);
    else
      rows[step.key] = step.value;
  }
  std::map<std::string, std::string> rows;
  std::vector<write_step> steps;

 protected:
  auto get_written(const std::string& key) -> std::optional<std::string> override {
    auto it = rows.find(key);
    return it == rows.end() ? std::optional<std::string>() : it->second;
  }
  auto scan_written(const std::string& prefix, const visitor& visit) -> void override {
    for (const auto& [key, value] : rows)
      if (key.starts_with(prefix))
        visit(key, value);
  }
  auto write(const std::vector<change>& changes) -> task<void> override {
    for (const auto& one : changes)
      steps.push_back({one.key, one.value, one.erased});
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
  auto fill(int count, term_number term)->void {
    for (auto i = 0; i < count; ++i)
      log.append(term, object{{"k", "leave"}, {"name", std::to_string(i)}});
  }
  auto snapshot_at(log_index at)->snapshot {
    return {at, log.term_at(at), log.members_at(at), log.log_id(), value(object{{"upto", at.get()}})};
  }
  auto sync()->void {
    tasks.spawn([](log_storage& storage) -> task<void> {
      co_await storage.sync();
    }(log));
    network.run(network.clock + second);
  }
  // Loads the disk as each prefix of the writes from `from` on leaves it; each must load and hold all up to `least`.
  auto each_prefix(std::size_t from, log_index least)->void {
    auto seen = recording_store(process_host);
    for (auto i = std::size_t{0}; i < disk.steps.size(); ++i) {
      seen.take(disk.steps[i]);
      if (i + 1 < from)
        continue;
      auto copy = recording_store(process_host);
      copy.rows = seen.rows;
      auto loaded = log_storage(copy);
      auto failure = std::string();
      try {
        loaded.load(1);
      } catch (const std::exception& error) {
        failure = error.what();
      }
      STRCMP_EQUAL("", failure.c_str());
      CHECK(loaded.last() >= least);
      CHECK(loaded.members().voters.size() == 3);
    }
  }
};
TEST(log_storage_tests, a_snapshot_is_there_before_what_it_replaces_goes) {
  fill(20, 1);
  sync();
  auto from = disk.steps.size();
  log.compact(snapshot_at(15), 15);
  sync();
  each_prefix(from, 20);
  LONGS_EQUAL(15, log.snapshot_index());
}
TEST(log_storage_tests, an_installed_snapshot_leaves_no_hole) {
  fill(20, 1);
  sync();
  auto from = disk.steps.size();
  auto image = snapshot_at(10);
  image.term = 2;  // of another history than the entries here
  log.term = 2;
  log.install(image, serialize_snapshot(image));
  sync();
  each_prefix(from, 10);
  LONGS_EQUAL(10, log.last());
}
// A snapshot of the same history takes nothing away that this disk has said it holds.
TEST(log_storage_tests, entries_that_follow_an_installed_snapshot_stay) {
  fill(20, 1);
  log.durable_index = 20;
  sync();
  auto image = snapshot_at(10);
  log.install(image, serialize_snapshot(image));
  LONGS_EQUAL(20, log.last());
  LONGS_EQUAL(20, log.durable_index);
  LONGS_EQUAL(10, log.first());
  LONGS_EQUAL(1, log.term_at(15));
}
// What was left behind by a loss of power goes at the next start.
TEST(log_storage_tests, covered_entries_are_erased_at_the_next_start) {
  fill(5, 1);
  sync();
  auto copy = recording_store(process_host);
  for (const auto& step : disk.steps)
    copy.take(step);
  copy.rows["L/cap"] = serialize_snapshot(snapshot_at(5));
  auto again = log_storage(copy);
  again.load(1);
  LONGS_EQUAL(5, again.last());
  tasks.spawn([](log_storage& storage) -> task<void> {
    co_await storage.sync();
  }(again));
  network.run(network.clock + second);
  LONGS_EQUAL(5, copy.steps.size());
}
// What is not applied cannot be in a snapshot: it is no reason for one.
TEST(log_storage_tests, only_what_is_applied_asks_for_a_snapshot) {
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
// In memory a follower that is being brought up keeps what it needs, up to the bound and no further.
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
TEST(log_storage_tests, voters_follow_the_log) {
  auto two = encode(membership_command{{{{"a:1", "x"}, {"b:1", "y"}}, {}}, {}});
  fill(3, 1);
  auto at = log.append(1, two);
  LONGS_EQUAL(2, log.members().voters.size());
  LONGS_EQUAL(at, log.members_index());
  LONGS_EQUAL(3, log.members_at(at - 1).voters.size());
  log.truncate_from(at);
  LONGS_EQUAL(3, log.members().voters.size());
  LONGS_EQUAL(0, log.members_index());
}
