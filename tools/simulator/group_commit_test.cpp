// Tests of what a publish waits for on the disks of its primary and its backup.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rpc/peer_connection.hpp"
#include "simulator/fleet.hpp"

// Must be the last include because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

constexpr auto partition_count = 8;
constexpr auto topic_count = 24;
constexpr auto round_count = 60;
constexpr auto sync_time = 40 * millisecond;
constexpr auto longest_write = sync_time * 3 / 2;  // the simulated disk varies the time of a write by half
constexpr auto network_time = 10 * millisecond;    // of a publish, its replication and both answers
constexpr auto publish_interval = millisecond;     // between the publishes of one round

// A fleet whose storage nodes have slow disks. Its only client is the publisher of the test.
auto shape_with_slow_disks() -> fleet_shape {
  auto shape = fleet_shape();
  shape.storage_nodes = 3;
  shape.partitions = partition_count;
  shape.clients = 0;
  shape.sync = sync_time;
  return shape;
}

// Publishes to the primaries of all partitions over one connection to each storage node, and measures how long each
// publish takes.
class publisher {
 public:
  explicit publisher(fleet& cluster) : cluster_(cluster), tasks_(*cluster.outside) {
    for (const auto& node : cluster.names("comb"))
      connections_[node] = std::make_unique<peer_connection>(
          *cluster.outside,
          peer_connection::options{"test", cluster.processes.at(node)->settings.address, 100 * millisecond, second});
    cluster.network.run(cluster.network.clock + second);
  }
  // Publishes one message to each topic and waits for the answers.
  auto publish_round(std::int64_t sequence) -> void {
    for (auto topic = 0; topic < topic_count; ++topic) {
      tasks_.spawn(publish("alerts/" + std::to_string(topic % partition_count), topic, sequence));
      cluster_.network.run(cluster_.network.clock + publish_interval);
    }
    while (answers_ < sequence * topic_count)
      cluster_.network.run(cluster_.network.clock + millisecond);
  }
  [[nodiscard]] auto longest() const -> monotonic_time {
    return longest_;
  }
  [[nodiscard]] auto failures() const -> int {
    return failures_;
  }

 private:
  auto publish(std::string partition, int topic, std::int64_t sequence) -> task<void> {
    auto& connection = *connections_.at(cluster_.primary_of(partition));
    auto request = value(object{{"op", "pub"},
                                {"cell", partition},
                                {"t", "alerts/" + std::to_string(topic)},
                                {"d", "test"},
                                {"s", sequence},
                                {"b", "text"},
                                {"keep", 60000}});
    auto sent_at = cluster_.network.clock;
    try {
      co_await connection.call(std::move(request), sent_at + 5 * second);
    } catch (const request_error&) {
      ++failures_;
    }
    ++answers_;
    longest_ = std::max(longest_, cluster_.network.clock - sent_at);
  }

  fleet& cluster_;
  std::map<std::string, std::unique_ptr<peer_connection>> connections_;
  std::int64_t answers_ = 0;
  int failures_ = 0;
  monotonic_time longest_ = 0;
  task_group tasks_;
};
}  // namespace

TEST_GROUP(group_commit){};

// Guards against a publish that waits for a third write, although its entry was in the second: the disk wrote changes
// of other partitions meanwhile, and the sync waited for those as well (review/6 on slow disks).
TEST(group_commit, a_publish_waits_for_the_write_under_way_and_for_its_own) {
  auto cluster = fleet(101, shape_with_slow_disks());
  CHECK(cluster.begin());
  cluster.network.run(cluster.network.clock + 3 * second);
  auto client = publisher(cluster);
  for (auto round = 1; round <= round_count; ++round)
    client.publish_round(round);
  LONGS_EQUAL(0, client.failures());
  CHECK_COMPARE(client.longest(), <=, 2 * longest_write + network_time);
}
