#include "storage/replica_record.hpp"

#include "simulator/fleet.hpp"

// Must be the last include because it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

const auto record_key = std::string("M/p/0");

// A simulated storage node with a disk. The record never waits, so the tests do not advance the clock.
struct disk_fixture {
  simulated_network network{1};
  sim_host host{network, network.machine_at("one", "z1"), true, 1};

  auto disk() -> store& {
    return *host.disk();
  }
  auto load_record() -> replica_record {
    auto record = replica_record(disk(), "p/0");
    record.load();
    return record;
  }
};
}  // namespace

TEST_GROUP(replica_records){};

TEST(replica_records, a_missing_record_says_that_the_replica_never_joined) {
  auto fixture = disk_fixture();
  LONGS_EQUAL(0, fixture.load_record().joined_epoch());
}

TEST(replica_records, the_highest_joined_epoch_is_stored) {
  auto fixture = disk_fixture();
  auto record = fixture.load_record();
  record.store_joined_epoch(7);
  record.store_joined_epoch(4);
  LONGS_EQUAL(7, record.joined_epoch());
  LONGS_EQUAL(7, fixture.load_record().joined_epoch());
}

TEST(replica_records, an_altered_record_is_refused) {
  auto fixture = disk_fixture();
  fixture.load_record().store_joined_epoch(7);
  auto stored = *fixture.disk().get(record_key);
  stored.back() = static_cast<char>(stored.back() ^ 1);
  fixture.disk().put(record_key, stored);
  CHECK_THROWS(decode_error, fixture.load_record());
}
