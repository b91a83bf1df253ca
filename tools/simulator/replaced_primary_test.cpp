// Tests of what a primary answers that was replaced and does not know it yet.
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rpc/peer_connection.hpp"
#include "simulator/fleet.hpp"

// Must be the last include because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

constexpr auto partition_id = "alerts/0";  // a partition of a space that retains messages

auto applied_index(const fleet& cluster, const std::string& node) -> std::int64_t {
  return get_int(cluster.processes.at(node)->storage->held_partition(partition_id)->status(), "applied");
}
auto is_primary(const fleet& cluster, const std::string& node) -> bool {
  const auto* replica = cluster.processes.at(node)->storage->held_partition(partition_id);
  return replica && replica->is_primary();
}
// Returns the storage node that is the primary besides `replaced`; an empty string if there is none.
auto successor_of(const fleet& cluster, const std::string& replaced) -> std::string {
  for (const auto& node : cluster.names("comb"))
    if (node != replaced && is_primary(cluster, node))
      return node;
  return {};
}
// Runs the simulation until `done` returns true. Returns false if it does not within `limit`.
auto run_until(fleet& cluster, monotonic_time limit, const std::function<bool()>& done) -> bool {
  const auto end = cluster.network.clock + limit;
  while (!done() && cluster.network.clock < end)
    cluster.network.run(cluster.network.clock + 10 * millisecond);
  return done();
}
auto subscribe_after(fleet& cluster, std::string address, std::int64_t position,
                     std::shared_ptr<std::vector<std::string>> replies) -> task<void> {
  auto connection =
      peer_connection(*cluster.outside, peer_connection::options{"test", address, 100 * millisecond, second});
  connection.on_notification = [replies](const value& notification) {
    if (get_string_or(notification, "op") == "subbed")
      replies->push_back(get_string(notification, "code"));
  };
  while (!connection.is_up())
    co_await sleep_for(*cluster.outside, 10 * millisecond);
  connection.send(object{
      {"op", "sub"}, {"cell", partition_id}, {"i", "test"}, {"t", "alerts/x"}, {"d", "w"}, {"a", position}, {"n", 1}});
  co_await sleep_for(*cluster.outside, 5 * second);
}
}  // namespace

TEST_GROUP(replaced_primary){};
// Guards against a client that is told for good that its position was never assigned, although the successor of the
// primary has assigned it.
TEST(replaced_primary, a_position_of_its_successor_is_not_refused) {
  auto shape = fleet_shape();
  shape.storage_nodes = 3;
  shape.settings["lease_ms"] = "4000";
  auto cluster = fleet(95, shape);
  CHECK(cluster.begin());
  cluster.network.run(cluster.network.clock + 3 * second);
  const auto old_primary = cluster.primary_of(partition_id);
  const auto zone = cluster.processes.at(old_primary)->machine->zone;
  cluster.network.cut(zone, "*");
  cluster.network.cut("*", zone);
  CHECK(run_until(cluster, 3 * second, [&] {
    const auto successor = successor_of(cluster, old_primary);
    return !successor.empty() && applied_index(cluster, successor) > applied_index(cluster, old_primary);
  }));
  CHECK(is_primary(cluster, old_primary));
  const auto successor = successor_of(cluster, old_primary);
  const auto position = applied_index(cluster, successor);

  const auto subscribe_at = [&](const std::string& node) {
    auto replies = std::make_shared<std::vector<std::string>>();
    cluster.operator_tasks->spawn(
        subscribe_after(cluster, cluster.processes.at(node)->settings.address, position, replies));
    return replies;
  };
  const auto old_replies = subscribe_at(old_primary);
  const auto successor_replies = subscribe_at(successor);
  cluster.network.run(cluster.network.clock + 3 * second);
  CHECK(std::find(old_replies->begin(), old_replies->end(), "ahead") == old_replies->end());
  CHECK(!successor_replies->empty());
  STRCMP_EQUAL("ok", successor_replies->front().c_str());
}
// The primary refuses a position that was never assigned once its backups have acknowledged that it is the primary.
TEST(replaced_primary, a_primary_refuses_a_position_that_was_never_assigned) {
  auto shape = fleet_shape();
  shape.clients = 0;
  auto cluster = fleet(96, shape);
  CHECK(cluster.begin());
  auto replies = std::make_shared<std::vector<std::string>>();
  cluster.operator_tasks->spawn(subscribe_after(
      cluster, cluster.processes.at(cluster.primary_of(partition_id))->settings.address, 1000000, replies));
  CHECK(run_until(cluster, second, [&] {
    return !replies->empty();
  }));
  STRCMP_EQUAL("ahead", replies->front().c_str());
}
