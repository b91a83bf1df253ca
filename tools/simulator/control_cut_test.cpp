// Tests of control nodes that are cut off from other control nodes: which requests they may answer (docs/survival.md).
#include "simulator/fleet.hpp"

#include "runtime/log.hpp"

// Must be the last include because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

auto shape_without_clients() -> fleet_shape {
  auto shape = fleet_shape();
  shape.clients = 0;
  return shape;
}
auto first_follower(const fleet& cluster) -> std::string {
  return cluster.leader() == "queen-1" ? "queen-2" : "queen-1";
}
auto machine_of(const fleet& cluster, const std::string& node) -> std::string {
  return cluster.processes.at(node)->machine->name;
}

// Sends a request to a node and returns its reply.
auto reply_of(fleet& cluster, const std::string& node, const std::string& method, const std::string& path,
              const std::string& body) -> http_reply {
  auto reply = std::make_shared<http_reply>();
  auto http_address = cluster.processes.at(node)->settings.http_address;
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string address, std::string request_method,
                                   std::string request_path, std::string request_body,
                                   std::shared_ptr<http_reply> result) -> task<void> {
    *result = co_await fetch(*fleet_.outside, address, request_method, request_path, request_body,
                             fleet_.outside->now() + 2 * second);
  }(cluster, http_address, method, path, body, reply));
  cluster.network.run(cluster.network.clock + 2 * second);
  return *reply;
}
auto cut_from_control(fleet& cluster, const std::string& node,
                      simulated_network::cut_kind kind = simulated_network::cut_kind::silent) -> void {
  for (const auto& other : cluster.names("queen")) {
    if (other == node)
      continue;
    cluster.network.cut(machine_of(cluster, node), machine_of(cluster, other), kind);
    cluster.network.cut(machine_of(cluster, other), machine_of(cluster, node), kind);
  }
}

}  // namespace

TEST_GROUP(control_cut){};

// A follower that receives the leader's requests but whose replies are lost must not report ready.
TEST(control_cut, a_follower_without_contact_is_not_ready) {
  auto cluster = fleet(51, shape_without_clients());
  CHECK(cluster.begin());
  auto node = first_follower(cluster);
  LONGS_EQUAL(200, reply_of(cluster, node, "GET", "/readyz", "").status);
  for (const auto& other : cluster.names("queen"))
    if (other != node)
      cluster.network.cut(machine_of(cluster, node), machine_of(cluster, other));
  // The leader's append requests still arrive. Their connection closes only later.
  cluster.network.run(cluster.network.clock + cluster.processes.at(node)->settings.failure_timeout * 21 / 20);
  CHECK(!cluster.processes.at(node)->control->raft.leader_address().empty());
  CHECK(!cluster.processes.at(node)->control->ready());
  LONGS_EQUAL(503, reply_of(cluster, node, "GET", "/readyz", "").status);
  for (const auto& other : cluster.names("queen"))
    if (other != node)
      cluster.network.heal(machine_of(cluster, node), machine_of(cluster, other));
  cluster.network.run(cluster.network.clock + 3 * second);
  LONGS_EQUAL(200, reply_of(cluster, node, "GET", "/readyz", "").status);
}

// A control node that is cut off does not see sessions of nodes with other control nodes. It must not refuse a drain
// order because the replica seems to be the last one, too few nodes seem to remain, or the node seems unknown.
TEST(control_cut, a_cut_off_node_does_not_refuse_orders_for_hidden_sessions) {
  for (auto kind : {simulated_network::cut_kind::silent, simulated_network::cut_kind::refusing})
    for (auto is_leader : {false, true}) {
      auto cluster = fleet(52, shape_without_clients());
      CHECK(cluster.begin());
      auto node = is_leader ? cluster.leader() : first_follower(cluster);
      cut_from_control(cluster, node, kind);
      cluster.network.run(cluster.network.clock + 5 * second);
      for (const auto* name : {"comb-1", "comb-2", "comb-3"}) {
        auto body = std::string(R"({"name":")") + name + R"(","kind":"retire"})";
        auto reply = reply_of(cluster, node, "POST", "/v1/leave", body);
        CHECK(reply.status == 503 || reply.status == 504);
        CHECK(get_string(reply.body, "code") != "last_copy");
      }
    }
}

// Only the connection between the two followers is cut, which hides the sessions of one follower from the other. The
// leader sees all sessions and has to decide the order.
TEST(control_cut, the_leader_decides_orders_that_a_follower_receives) {
  for (auto seed : {55, 56, 57, 58, 59, 60}) {
    auto cluster = fleet(static_cast<std::uint64_t>(seed), shape_without_clients());
    CHECK(cluster.begin());
    auto node = first_follower(cluster);
    for (const auto& other : cluster.names("queen")) {
      if (other == node || other == cluster.leader())
        continue;
      cluster.network.cut(machine_of(cluster, node), machine_of(cluster, other));
      cluster.network.cut(machine_of(cluster, other), machine_of(cluster, node));
    }
    cluster.network.run(cluster.network.clock + 3 * second);
    LONGS_EQUAL(200, reply_of(cluster, node, "POST", "/v1/leave", R"({"name":"comb-1","kind":"retire"})").status);
  }
}

// Followers take a cut that refuses connections for a failed leader and elect another one at once. The old leader must
// stop granting leases within the leader contact limit, and must neither serve reads nor confirm orders.
TEST(control_cut, a_leader_behind_a_refusing_cut_neither_reads_nor_confirms) {
  auto cluster = fleet(53, shape_without_clients());
  CHECK(cluster.begin());
  auto old_leader = cluster.leader();
  auto settings = cluster.processes.at(old_leader)->settings;
  cut_from_control(cluster, old_leader, simulated_network::cut_kind::refusing);
  auto started_at = cluster.network.clock;
  auto last_granted = started_at;
  while (cluster.network.clock < started_at + 3 * second) {
    cluster.network.run(cluster.network.clock + 10 * millisecond);
    if (cluster.processes.at(old_leader)->control->ready())
      last_granted = cluster.network.clock;
  }
  CHECK(last_granted - started_at <= settings.leader_contact_limit() + 10 * millisecond);
  LONGS_EQUAL(503, reply_of(cluster, old_leader, "GET", "/v1/charter", "").status);
  auto body = cluster.next_configuration();
  CHECK(reply_of(cluster, old_leader, "PUT", "/v1/charter", body).status >= 500);
}

// A replica that joins acknowledges the entries on its disk, without entries that arrived during the write.
TEST(control_cut, a_joining_replica_acknowledges_only_synced_entries) {
  auto cluster = fleet(54, shape_without_clients());
  CHECK(cluster.begin());
  auto partition = std::string("alerts/0");
  auto node = std::string();
  for (const auto& name : cluster.names("comb"))
    if (name != cluster.primary_of(partition) && name != cluster.backup_of(partition))
      node = name;
  auto settings = cluster.processes.at(node)->settings;
  cluster.processes.at(node)->machine->sync_cost = 80 * millisecond;
  auto reply = std::make_shared<value>();
  auto log_message = [partition](std::int64_t previous) {
    auto entries = array{object{{"v", 1000}, {"g", true}, {"e", object{{"k", "c"}, {"d", 1}}}}};
    return object{{"op", "c.log"},      {"cell", partition}, {"epoch", 1000},
                  {"from", "comb-9/x"}, {"prev", previous},  {"prev_epoch", previous ? 1000 : 0},
                  {"rows", entries}};
  };
  auto join = object{{"op", "c.join"}, {"cell", partition}, {"epoch", 1000}, {"from", "comb-9/x"}, {"last", 0}};
  // The second join arrives while the first row is being written. The second row arrives meanwhile on an older
  // connection.
  cluster.operator_tasks->spawn([](fleet& fleet_, std::string address, value join_request, value first_row,
                                   value second_row, std::shared_ptr<value> result) -> task<void> {
    auto old_connection =
        peer_connection(*fleet_.outside, peer_connection::options{"old", address, 100 * millisecond, second});
    auto new_connection =
        peer_connection(*fleet_.outside, peer_connection::options{"fresh", address, 100 * millisecond, second});
    while (!old_connection.is_up() || !new_connection.is_up())
      co_await sleep_for(*fleet_.outside, millisecond);
    auto second_join = join_request;
    co_await old_connection.call(std::move(join_request), fleet_.outside->now() + second);
    old_connection.send(first_row);
    co_await sleep_for(*fleet_.outside, 5 * millisecond);
    fleet_.operator_tasks->spawn([](fleet& fleet_, peer_connection& connection, value late_row) -> task<void> {
      co_await sleep_for(*fleet_.outside, 10 * millisecond);
      connection.send(late_row);
    }(fleet_, old_connection, std::move(second_row)));
    *result = co_await new_connection.call(std::move(second_join), fleet_.outside->now() + second);
  }(cluster, settings.address, join, log_message(0), log_message(1), reply));
  cluster.network.run(cluster.network.clock + 2 * second);
  CHECK(reply->is_object());
  LONGS_EQUAL(2, get_int(*reply, "last"));
  LONGS_EQUAL(1, get_int(*reply, "synced"));
}
