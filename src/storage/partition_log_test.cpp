#include "storage/partition_log.hpp"

#include "simulator/fleet.hpp"

// Must be the last include because it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// A simulated storage node with a disk. Only the tests of writes advance the clock.
struct disk_fixture {
  simulated_network network{1};
  sim_host host{network, network.machine_at("one", "z1"), true, 1};
  task_group tasks{host};

  auto disk() -> store& {
    return *host.disk();
  }
  // Begins a write of everything that is queued on the disk.
  auto begin_write() -> void {
    tasks.spawn([](store& written) -> task<void> {
      co_await written.sync();
    }(disk()));
    network.run(network.clock + millisecond);
  }
  // Waits for the end of the write under way.
  auto finish_write() -> void {
    network.run(network.clock + host.own_machine.sync_cost * 2);
  }
};

auto clock_entry(partition_epoch epoch, bool go_live_point) -> partition_log::entry {
  return {epoch, go_live_point, object{{"k", "c"}, {"d", 1}}, 0};
}

auto append_until_snapshot_is_due(partition_log& log) -> void {
  while (!log.snapshot_is_due())
    log.append(clock_entry(1, true));
}

auto urgent_entry() -> partition_log::entry {
  return {1, true, object{{"k", "v"}, {"e", 1}, {"m", "n/d"}}, 0};
}
}  // namespace

TEST_GROUP(partition_log){};

TEST(partition_log, reload_restores_appended_entries) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  LONGS_EQUAL(1, log.append(clock_entry(1, true)));
  LONGS_EQUAL(2, log.append(clock_entry(2, true)));

  auto reloaded = partition_log(fixture.disk(), "p/0");
  CHECK_FALSE(reloaded.load_snapshot().has_value());
  reloaded.load_entries(0);
  LONGS_EQUAL(2, reloaded.last_index());
  LONGS_EQUAL(1, reloaded.epoch_at(1));
  LONGS_EQUAL(2, reloaded.epoch_at(2));
  LONGS_EQUAL(-1, reloaded.epoch_at(3));
  // The entries are only queued on the disk. They count as synced after the next sync.
  LONGS_EQUAL(0, reloaded.synced_index());
}

TEST(partition_log, load_rejects_a_missing_entry) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  for (auto i = 0; i < 3; ++i)
    log.append(clock_entry(1, true));
  fixture.disk().erase("C/p/0/e/0000000000000002");
  auto reloaded = partition_log(fixture.disk(), "p/0");
  CHECK_FALSE(reloaded.load_snapshot().has_value());
  CHECK_THROWS(decode_error, reloaded.load_entries(0));
}

TEST(partition_log, wipe_erases_all_entries_of_its_own_partition_only) {
  auto fixture = disk_fixture();
  auto other = partition_log(fixture.disk(), "p/1");
  other.append(clock_entry(1, true));
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  log.wipe();
  LONGS_EQUAL(0, log.last_index());
  auto keys = std::vector<std::string>();
  fixture.disk().scan("C/", [&](const std::string& key, const std::string&) {
    keys.push_back(key);
  });
  LONGS_EQUAL(1, keys.size());
  STRCMP_EQUAL("C/p/1/e/0000000000000001", keys.front().c_str());
}

TEST(partition_log, unfinished_operation_is_dropped_up_to_the_last_go_live_point) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  log.append(clock_entry(1, false));
  log.append(clock_entry(1, false));
  log.mark_synced(3);
  LONGS_EQUAL(1, log.last_go_live_point(0));
  LONGS_EQUAL(2, log.last_go_live_point(2));
  log.drop_unfinished_operation();
  LONGS_EQUAL(1, log.last_index());
  LONGS_EQUAL(1, log.synced_index());
}

TEST(partition_log, a_write_covers_only_entries_appended_before_it_began) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  fixture.begin_write();
  log.append(clock_entry(1, true));
  log.update_synced_index();
  LONGS_EQUAL(0, log.synced_index());
  fixture.finish_write();
  log.update_synced_index();
  LONGS_EQUAL(1, log.synced_index());
}

// The disk makes the entries of all partitions durable with one write, whichever of them has requested it.
TEST(partition_log, a_write_that_another_partition_requested_covers_the_entries) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  auto other = partition_log(fixture.disk(), "p/1");
  other.append(clock_entry(1, true));
  log.append(clock_entry(1, true));
  log.append(clock_entry(1, true));
  fixture.begin_write();
  other.append(clock_entry(1, true));
  fixture.finish_write();
  CHECK(fixture.disk().is_durable(log.newest_change()));
  CHECK_FALSE(fixture.disk().is_durable(other.newest_change()));
  log.update_synced_index();
  LONGS_EQUAL(2, log.synced_index());
}

// After the wipe a different entry has the index of an entry that the write covered.
TEST(partition_log, a_write_that_began_before_a_wipe_covers_no_later_entry) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  fixture.begin_write();
  log.wipe();
  log.append(clock_entry(1, true));
  fixture.finish_write();
  log.update_synced_index();
  LONGS_EQUAL(0, log.synced_index());
}

// A log that was restarted from a snapshot is synced up to the snapshot once the snapshot is durable.
TEST(partition_log, entries_below_a_snapshot_are_synced_with_it) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.restart_from({.index = 7, .epoch = 2, .state = object{{"some", "state"}}});
  log.update_synced_index();
  LONGS_EQUAL(0, log.synced_index());
  fixture.begin_write();
  log.append(clock_entry(2, true));
  fixture.finish_write();
  log.update_synced_index();
  LONGS_EQUAL(7, log.synced_index());
}

TEST(partition_log, snapshot_replaces_entries_on_disk_and_keeps_the_newest_in_memory) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  append_until_snapshot_is_due(log);
  auto last = log.last_index();
  log.store_snapshot(last, object{{"some", "state"}});
  LONGS_EQUAL(last, log.last_index());
  CHECK(log.base_index() > 0);
  CHECK(log.base_index() < last);

  auto reloaded = partition_log(fixture.disk(), "p/0");
  auto state = reloaded.load_snapshot();
  CHECK(state.has_value());
  CHECK(*state == value(object{{"some", "state"}}));
  reloaded.load_entries(0);
  LONGS_EQUAL(last, reloaded.base_index());
  LONGS_EQUAL(last, reloaded.last_index());
  LONGS_EQUAL(1, reloaded.epoch_at(last));
}

// When all clients return at once, many small subscribe entries follow each other. A large state must not be encoded
// after each thousand of them.
TEST(partition_log, snapshot_of_a_large_state_is_not_due_after_few_bytes) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  constexpr auto state_bytes = std::size_t{2} << 20;
  log.append(clock_entry(1, true));
  log.store_snapshot(log.last_index(), object{{"some", std::string(state_bytes, 's')}});
  append_until_snapshot_is_due(log);
  CHECK(log.replication_cost(1) >= state_bytes);
  log.store_snapshot(log.last_index(), object{{"some", "state"}});
  auto entries_before = log.last_index();
  append_until_snapshot_is_due(log);
  CHECK(log.last_index() - entries_before <= 2048);
}

TEST(partition_log, entries_in_memory_are_bounded_however_large_the_state_is) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  constexpr auto state_bytes = std::size_t{32} << 20;
  log.append(clock_entry(1, true));
  log.store_snapshot(log.last_index(), object{{"some", std::string(state_bytes, 's')}});
  append_until_snapshot_is_due(log);
  CHECK(log.last_index() - log.base_index() <= 8192);
}

TEST(partition_log, a_reloaded_log_is_due_for_a_snapshot_as_before) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  constexpr auto state_bytes = std::size_t{2} << 20;
  log.append(clock_entry(1, true));
  log.store_snapshot(log.last_index(), object{{"some", std::string(state_bytes, 's')}});
  append_until_snapshot_is_due(log);

  auto reloaded = partition_log(fixture.disk(), "p/0");
  CHECK(reloaded.load_snapshot().has_value());
  reloaded.load_entries(0);
  CHECK(reloaded.snapshot_is_due());
  LONGS_EQUAL(log.replication_cost(1), reloaded.replication_cost(1));
}

TEST(partition_log, truncated_entries_are_gone_from_memory_and_disk) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  for (auto epoch : {1, 1, 2, 2, 4})
    log.append(clock_entry(epoch, true));
  log.mark_synced(5);
  log.truncate_to(3);
  LONGS_EQUAL(3, log.last_index());
  LONGS_EQUAL(3, log.synced_index());

  auto reloaded = partition_log(fixture.disk(), "p/0");
  CHECK(!reloaded.load_snapshot().has_value());
  reloaded.load_entries(0);
  LONGS_EQUAL(3, reloaded.last_index());
  LONGS_EQUAL(2, reloaded.epoch_at(3));
}

// An entry that the write covered has the same index as a later one of another epoch.
TEST(partition_log, a_write_that_began_before_a_truncation_covers_no_later_entry) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  log.append(clock_entry(1, true));
  fixture.begin_write();
  log.truncate_to(1);
  log.append(clock_entry(2, true));
  fixture.finish_write();
  log.update_synced_index();
  LONGS_EQUAL(1, log.synced_index());
}

TEST(partition_log, only_common_entries_after_the_snapshot_can_be_truncated_to) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  for (auto epoch : {1, 1, 2, 2, 4})
    log.append(clock_entry(epoch, true));
  auto newest_of_epoch_3 = log.last_entry_of_epoch(9, 3);
  LONGS_EQUAL(4, newest_of_epoch_3.index);
  LONGS_EQUAL(2, newest_of_epoch_3.epoch);
  LONGS_EQUAL(0, log.last_entry_of_epoch(9, 0).index);
  CHECK(log.can_truncate_to({2, 1}));
  CHECK(!log.can_truncate_to({2, 2}));
  CHECK(!log.can_truncate_to({6, 4}));
  log.store_snapshot(3, object{{"some", "state"}});
  CHECK(!log.can_truncate_to({2, 1}));
  CHECK(log.can_truncate_to({3, 2}));
}

TEST(partition_log, a_damaged_snapshot_is_not_read) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  CHECK(!log.read_snapshot().has_value());
  log.append(clock_entry(1, true));
  log.store_snapshot(1, object{{"some", "state"}});
  CHECK(*log.read_snapshot() == value(object{{"some", "state"}}));
  LONGS_EQUAL(1, log.snapshot_index());
  auto record = *fixture.disk().get("C/p/0/s");
  record.back() = static_cast<char>(record.back() ^ 1);
  fixture.disk().put("C/p/0/s", record);
  CHECK_THROWS(decode_error, (void)log.read_snapshot());
}

TEST(partition_log, only_entries_other_than_clock_advances_need_an_immediate_sync) {
  auto fixture = disk_fixture();
  auto log = partition_log(fixture.disk(), "p/0");
  log.append(clock_entry(1, true));
  CHECK_FALSE(log.sync_is_urgent());
  log.append(urgent_entry());
  CHECK(log.sync_is_urgent());
  log.clear_sync_urgency();
  CHECK_FALSE(log.sync_is_urgent());
}
