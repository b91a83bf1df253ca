// Tests of the choice of nodes for replicas and of load balancing.
#include "control/placement_policy.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto node(const std::string& name, const std::string& zone) -> node_descriptor {
  auto out = node_descriptor();
  out.name = name;
  out.kind = "comb";
  out.zone = zone;
  out.disk_id = "1";
  return out;
}

auto table(const std::vector<node_descriptor>& nodes) -> node_table {
  auto out = node_table();
  for (const auto& node : nodes)
    out[node.name] = node;
  return out;
}

// Returns an assignment with the first node as the primary.
auto assigned(const std::vector<std::string>& nodes) -> partition_assignment {
  auto out = partition_assignment();
  out.epoch = 1;
  for (const auto& name : nodes)
    out.in_sync_replicas.push_back(make_member_id(name, "1"));
  out.primary = out.in_sync_replicas.front();
  return out;
}

auto names(const std::vector<node_descriptor>& nodes) -> std::string {
  auto out = std::string();
  for (const auto& node : nodes)
    out += node.name + " ";
  return out;
}

auto move_of(const partition_table& partitions, const node_table& nodes) -> std::string {
  auto move = choose_move(partitions, nodes, partition_loads(partitions));
  return move ? to_json(move->to_value()) : "none";
}

}  // namespace

TEST_GROUP(placement_policy){};

TEST(placement_policy, the_least_loaded_nodes_of_different_zones_are_chosen) {
  auto by_load = nodes_by_load(table({node("a", "z1"), node("b", "z1"), node("c", "z2")}), {{"a", 2}, {"c", 4}});
  STRCMP_EQUAL("b a c ", names(by_load).c_str());
  STRCMP_EQUAL("b c ", names(choose_replicas(by_load, 2)).c_str());
  STRCMP_EQUAL("b c a ", names(choose_replicas(by_load, 3)).c_str());
  STRCMP_EQUAL("b c a ", names(choose_replicas(by_load, 4)).c_str());  // there are only three nodes
  CHECK(choose_replicas({node("a", "z1"), node("b", "z1")}, 2).empty());
}

TEST(placement_policy, a_backup_goes_to_the_zone_with_the_fewest_replicas) {
  auto nodes = table({node("a", "z1"), node("b", "z1"), node("c", "z2"), node("d", "z3")});
  auto request = backup_request{"z1", {"a/1"}, {}, "p/0"};
  STRCMP_EQUAL("d", choose_backup(request, {{"z1", 1}}, nodes, {{"c", 1}})->name.c_str());
  STRCMP_EQUAL("c", choose_backup(request, {{"z1", 1}}, nodes, {})->name.c_str());
  request.kept_members = {"c/1"};
  STRCMP_EQUAL("d", choose_backup(request, {{"z1", 1}, {"z2", 1}}, nodes, {{"d", 9}})->name.c_str());
  request.excluded_members = {"a/1", "d/1"};
  STRCMP_EQUAL("b", choose_backup(request, {{"z1", 1}, {"z2", 1}}, nodes, {})->name.c_str());
  request.excluded_members = {"a/1", "b/1", "d/1"};
  CHECK(!choose_backup(request, {{"z1", 1}, {"z2", 1}}, nodes, {}));
}

TEST(placement_policy, the_first_backup_is_in_another_zone_than_the_primary) {
  auto nodes = table({node("a", "z1"), node("b", "z1")});
  CHECK(!choose_backup({"z1", {"a/1"}, {}, "p/0"}, {{"z1", 1}}, nodes, {}));
}

TEST(placement_policy, moving_a_backup_is_preferred_to_moving_a_primary) {
  auto nodes = table({node("a", "z1"), node("b", "z2"), node("c", "z2")});
  auto partitions = partition_table{{"p/0", assigned({"a", "b"})}, {"p/1", assigned({"b", "a"})}};
  STRCMP_EQUAL(R"({"cell":"p/0","prim":"a","back":"c","replaced":"b","lead":"","hand":false})",
               move_of(partitions, nodes).c_str());
}

TEST(placement_policy, the_primary_role_is_transferred_if_no_backup_can_move) {
  auto nodes = table({node("a", "z1"), node("b", "z2")});
  auto partitions =
      partition_table{{"p/0", assigned({"a", "b"})}, {"p/1", assigned({"a", "b"})}, {"p/2", assigned({"a", "b"})}};
  STRCMP_EQUAL(R"({"cell":"p/0","prim":"a","back":"","replaced":"","lead":"b","hand":true})",
               move_of(partitions, nodes).c_str());
}

TEST(placement_policy, a_move_does_not_reduce_the_number_of_zones) {
  auto nodes = table({node("a", "z1"), node("b", "z2"), node("c", "z1")});
  auto partitions =
      partition_table{{"p/0", assigned({"a", "b"})}, {"p/1", assigned({"a", "b"})}, {"p/2", assigned({"b", "a"})}};
  // Node c is in the same zone as node a, so only a backup on node a can move to node c.
  STRCMP_EQUAL(R"({"cell":"p/2","prim":"b","back":"c","replaced":"a","lead":"","hand":false})",
               move_of(partitions, nodes).c_str());
}

TEST(placement_policy, a_partition_that_lacks_a_replica_does_not_move) {
  auto nodes = table({node("a", "z1"), node("c", "z2")});  // node b has no session
  auto partitions = partition_table{{"p/0", assigned({"a", "b"})}, {"p/1", assigned({"a", "b"})}};
  STRCMP_EQUAL("none", move_of(partitions, nodes).c_str());
}

TEST(placement_policy, equal_loads_cause_no_move) {
  auto nodes = table({node("a", "z1"), node("b", "z2")});
  auto partitions = partition_table{{"p/0", assigned({"a", "b"})}, {"p/1", assigned({"b", "a"})}};
  STRCMP_EQUAL("none", move_of(partitions, nodes).c_str());
}
