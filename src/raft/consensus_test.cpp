// Tests of bootstrap, membership changes, full disks and foreign disks.
#include "raft/consensus.hpp"

#include "raft/test_fleet.hpp"

// Included last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

TEST_GROUP(raft_bootstrap){};
TEST(raft_bootstrap, two_configured_seeds_elect_a_leader) {
  auto cluster = fleet(5, control_nodes_only(2));
  for (auto name : {"queen-1", "queen-2"}) {
    cluster.processes.at(name)->settings.seeds = {address_of(cluster, "queen-1"), address_of(cluster, "queen-2")};
    cluster.start(name);
  }
  cluster.network.run(cluster.network.clock + 3 * second);
  CHECK(!cluster.leader().empty());
}
TEST(raft_bootstrap, a_missing_seed_prevents_bootstrap) {
  auto cluster = fleet(5, control_nodes_only(2));
  cluster.processes.at("queen-1")->settings.seeds = {address_of(cluster, "queen-1"), address_of(cluster, "queen-2")};
  cluster.start("queen-1");
  cluster.network.run(cluster.network.clock + 5 * second);
  STRCMP_EQUAL("", cluster.leader().c_str());
}
// A seed that lost its disk and knows no other seed would otherwise start a second history.
TEST(raft_bootstrap, a_blank_seed_waits_if_bootstrap_is_not_allowed) {
  auto cluster = fleet(5, control_nodes_only(1));
  auto& set = cluster.processes.at("queen-1")->settings;
  set.seeds = {set.address};
  set.may_bootstrap = false;
  cluster.start("queen-1");
  cluster.network.run(cluster.network.clock + 5 * second);
  STRCMP_EQUAL("", cluster.leader().c_str());
  cluster.kill("queen-1");
  set.may_bootstrap = true;
  cluster.start("queen-1");
  cluster.network.run(cluster.network.clock + 3 * second);
  STRCMP_EQUAL("queen-1", cluster.leader().c_str());
}
// A seed that restarted before the log was bootstrapped may no longer bootstrap it. The other seeds bootstrap the log
// with this seed as a voter, and its vote counts.
TEST(raft_bootstrap, a_seed_that_may_not_bootstrap_becomes_a_voter) {
  auto cluster = fleet(6, control_nodes_only(3));
  cluster.processes.at("queen-3")->settings.may_bootstrap = false;
  for (auto name : {"queen-1", "queen-2", "queen-3"})
    cluster.start(name);
  cluster.network.run(cluster.network.clock + 3 * second);
  CHECK(!cluster.leader().empty());
  cluster.kill(cluster.leader() == "queen-1" ? "queen-1" : "queen-2");
  cluster.network.run(cluster.network.clock + 5 * second);
  CHECK(!cluster.leader().empty());
}

TEST_GROUP(raft_voters){};
// A control node at a new address replaces a lost voter, which then no longer counts in any majority.
TEST(raft_voters, a_node_at_a_new_address_replaces_a_lost_voter) {
  for (auto lose_leader : {true, false}) {
    auto cluster = fleet(7, control_nodes_only(3));
    start_all(cluster);
    auto lead = cluster.leader();
    auto lost = lose_leader ? lead : lead == "queen-2" ? "queen-3" : "queen-2";
    cluster.remove(lost);
    run_for(cluster, 2 * second);
    cluster.start(cluster.add_control_node());
    run_for(cluster, 2500 * millisecond);  // too short for the leader to remove an unresponsive voter
    auto names = sorted(voter_names(cluster));
    CHECK(names.find("queen-4") != std::string::npos);
    CHECK(names.find(lost) == std::string::npos);
    LONGS_EQUAL(24, names.size());
    cluster.remove(cluster.leader());
    run_for(cluster, 5 * second);
    CHECK(!cluster.leader().empty());
  }
}
// The new control node joins before the old one is lost, so no joining node replaces the old one. The leader removes it
// because it is unresponsive.
TEST(raft_voters, an_unresponsive_voter_is_removed_if_three_remain) {
  auto cluster = fleet(8, control_nodes_only(3));
  start_all(cluster);
  cluster.start(cluster.add_control_node());
  run_for(cluster, 5 * second);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 ", sorted(voter_names(cluster)).c_str());
  cluster.remove("queen-1");
  run_for(cluster, 12 * second);
  STRCMP_EQUAL("queen-2 queen-3 queen-4 ", sorted(voter_names(cluster)).c_str());
  cluster.remove("queen-2");  // three voters remain, so none is removed
  run_for(cluster, 12 * second);
  STRCMP_EQUAL("queen-2 queen-3 queen-4 ", sorted(voter_names(cluster)).c_str());
  CHECK(!cluster.leader().empty());
}
// Guards against a log without a leader for ever (review/3): where two losses are tolerated, the list shrank from five
// voters to three while a zone was dark, and two lost disks were then a majority.
TEST(raft_voters, the_list_keeps_a_majority_after_the_tolerated_losses) {
  constexpr auto zone_outage = 12 * second;
  auto shape = control_nodes_only(5);
  shape.settings["copies"] = "3";
  auto cluster = fleet(13, shape);
  start_all(cluster);
  run_for(cluster, 2 * second);
  LONGS_EQUAL(5, raft_of(cluster, cluster.leader()).voters().size());
  auto leader = cluster.leader();
  auto followers = cluster.names("queen");
  std::erase(followers, leader);
  for (const auto& dark : {followers[0], followers[1]})
    cluster.kill(dark);
  run_for(cluster, zone_outage);
  LONGS_EQUAL(5, raft_of(cluster, cluster.leader()).voters().size());
  for (const auto& dark : {followers[0], followers[1]})
    cluster.start(dark);
  run_for(cluster, 200 * millisecond);
  for (const auto& wiped : {leader, followers[2]}) {
    cluster.kill(wiped);
    cluster.lose_disk(wiped);
  }
  run_for(cluster, 1 * second);
  for (const auto& wiped : {leader, followers[2]})
    cluster.start(wiped);
  run_for(cluster, 12 * second);
  CHECK_FALSE(cluster.leader().empty());
  for (const auto& name : cluster.names("queen"))
    CHECK(is_voter(cluster, name));
}
// All nodes have the same three seeds. The other two nodes join by themselves, and two of the five may then be lost.
TEST(raft_voters, five_control_nodes_all_become_voters) {
  auto cluster = fleet(9, control_nodes_only(5));
  for (const auto& name : cluster.names("queen"))
    cluster.processes.at(name)->settings.seeds.resize(3);
  start_all(cluster);
  run_for(cluster, 6 * second);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 queen-5 ", sorted(voter_names(cluster)).c_str());
  cluster.kill("queen-1");
  cluster.kill("queen-2");
  run_for(cluster, 5 * second);
  CHECK(!cluster.leader().empty());
}
// A voter is replaced while it is partitioned from the others, and joins again afterwards.
TEST(raft_voters, a_replaced_voter_rejoins) {
  auto cluster = fleet(10, control_nodes_only(3));
  start_all(cluster);
  auto follower = cluster.leader() == "queen-1" ? std::string("queen-2") : std::string("queen-1");
  auto machine_name = cluster.processes.at(follower)->machine->name;
  cluster.network.cut(machine_name, "*");
  cluster.network.cut("*", machine_name);
  run_for(cluster, 3 * second);
  cluster.start(cluster.add_control_node());
  run_for(cluster, 6 * second);
  CHECK(sorted(voter_names(cluster)).find(follower) == std::string::npos);
  cluster.network.heal(machine_name, "*");
  cluster.network.heal("*", machine_name);
  run_for(cluster, 8 * second);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 ", sorted(voter_names(cluster)).c_str());
}
// All initial control nodes are replaced one after the other. Storage nodes, agents and control nodes connect to the
// current voters.
TEST(raft_voters, nodes_connect_to_replaced_control_nodes) {
  auto shape = control_nodes_only(3);
  shape.storage_nodes = shape.gateways = 1;
  auto cluster = fleet(11, shape);
  for (const auto& [name, process] : cluster.processes)
    cluster.start(name);
  run_for(cluster, 4 * second);
  for (auto lost : {"queen-1", "queen-2", "queen-3"}) {
    cluster.remove(lost);
    run_for(cluster, 2 * second);
    cluster.start(cluster.add_control_node());
    run_for(cluster, 8 * second);
    if (std::string(lost) == "queen-1")
      cluster.relist("queen-1", "queen-4");
    if (std::string(lost) == "queen-2")
      cluster.relist("queen-2", "queen-5");
  }
  STRCMP_EQUAL("queen-4 queen-5 queen-6 ", sorted(voter_names(cluster)).c_str());
  CHECK(cluster.processes.at("comb-1")->storage->session.has_lease());
  CHECK(cluster.processes.at("scout-1")->agent->session.has_lease());
  auto status = cluster.processes.at("queen-4")->control->status();
  CHECK(get_value(get_value(status, "beliefs"), "members").as_object().contains("comb-1"));
}
TEST(raft_voters, status_shows_voters_and_a_pending_change) {
  auto cluster = fleet(12, control_nodes_only(3));
  start_all(cluster);
  auto newcomer = cluster.add_control_node();
  auto lead = cluster.leader();
  cluster.start(newcomer);
  auto learner_address = std::string();
  for (auto i = 0; i < 400 && learner_address.empty(); ++i) {
    run_for(cluster, 10 * millisecond);
    auto status = cluster.processes.at(lead)->control->raft.status();
    for (const auto& member : get_array(status, "voters"))
      if (get_string(member, "seat") == "enters" && get_bool(status, "changing"))
        learner_address = get_string(member, "addr");
  }
  STRCMP_EQUAL(address_of(cluster, newcomer).c_str(), learner_address.c_str());
  run_for(cluster, 5 * second);
  auto status = cluster.processes.at(lead)->control->raft.status();
  CHECK_FALSE(get_bool(status, "changing"));
  LONGS_EQUAL(4, get_array(status, "voters").size());
  for (const auto& member : get_array(status, "voters")) {
    STRCMP_EQUAL("voter", get_string(member, "seat").c_str());
    LONGS_EQUAL(0, get_int(member, "behind"));
    CHECK(get_int(member, "silent_ms") < 500);
  }
}

// A replica whose disk is full neither votes nor leads on the basis of unwritten data. It keeps running and follows
// again when the disk has free space.
TEST_GROUP(raft_disks){};
TEST(raft_disks, a_leader_with_a_full_disk_steps_down_and_recovers) {
  auto cluster = fleet(13, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto propose_drain = [&](const std::string& node, const char* name) {
    auto answer = propose_at(cluster, node, drain_command(name));
    run_for(cluster, 2 * second);
    return *answer;
  };
  cluster.processes.at(lead)->machine->disk_full = true;
  STRCMP_EQUAL("unclear", propose_drain(lead, "comb-1").c_str());
  run_for(cluster, 3 * second);
  auto next = cluster.leader();
  CHECK(!next.empty() && next != lead);
  STRCMP_EQUAL("{\"ok\":true}", propose_drain(next, "comb-2").c_str());
  cluster.processes.at(lead)->machine->disk_full = false;
  run_for(cluster, 3 * second);
  // The first leader has all entries again: after the second leader is killed, the remaining two nodes form a majority.
  cluster.kill(next);
  run_for(cluster, 5 * second);
  auto third = cluster.leader();
  CHECK(!third.empty());
  STRCMP_EQUAL("{\"ok\":true}", propose_drain(third, "comb-3").c_str());
  LONGS_EQUAL(1, cluster.processes.at(lead)->control->state.drains.count("comb-2"));
  LONGS_EQUAL(1, cluster.processes.at(lead)->control->state.drains.count("comb-3"));
}

// A disk that belongs to another cluster is not admitted, and its content is not changed.
TEST_GROUP(raft_foreign_disks){};
TEST(raft_foreign_disks, a_disk_of_another_cluster_cannot_join) {
  auto foreign = std::map<std::string, std::string>();
  {
    auto other = fleet(31, control_nodes_only(3));
    start_all(other);
    foreign = other.network.machines.at("q2")->durable;
  }
  auto cluster = fleet(32, control_nodes_only(3));
  start_all(cluster);
  auto voters_before = sorted(voter_names(cluster));
  auto name = cluster.add_control_node();
  cluster.processes.at(name)->machine->durable = foreign;
  cluster.start(name);
  run_for(cluster, 10 * second);
  STRCMP_EQUAL(voters_before.c_str(), sorted(voter_names(cluster)).c_str());
  STRCMP_EQUAL(decode_with_checksum(foreign.at("L/meta")).at("id").as_string().c_str(),
               cluster.processes.at(name)->control->raft.disk_id().c_str());
  CHECK(!cluster.processes.at(name)->control->raft.is_leader());
  // The foreign disk accepts no entries either when it replaces the disk of a voter.
  auto lost = cluster.leader() == "queen-1" ? std::string("queen-2") : std::string("queen-1");
  auto own_disk = cluster.processes.at(lost)->machine->durable;
  cluster.kill(lost);
  cluster.processes.at(lost)->machine->durable = foreign;
  cluster.start(lost);
  run_for(cluster, 8 * second);
  STRCMP_EQUAL(voters_before.c_str(), sorted(voter_names(cluster)).c_str());
  auto entries = [](const std::map<std::string, std::string>& disk) {
    return std::map<std::string, std::string>(disk.lower_bound("L/e/"), disk.lower_bound("L/e0"));
  };
  CHECK(!entries(foreign).empty());
  CHECK(entries(cluster.processes.at(lost)->machine->durable) == entries(foreign));
  cluster.kill(lost);
  cluster.processes.at(lost)->machine->durable = own_disk;
  cluster.start(lost);
  run_for(cluster, 4 * second);
  STRCMP_EQUAL(voters_before.c_str(), sorted(voter_names(cluster)).c_str());
}

// A node that cannot write to its disk sends no join request, because a pending join would block the joins of other
// nodes.
TEST(raft_disks, a_node_with_a_full_disk_does_not_block_joins) {
  auto cluster = fleet(14, control_nodes_only(3));
  start_all(cluster);
  auto full_node = cluster.add_control_node();
  auto healthy_node = cluster.add_control_node();
  cluster.processes.at(full_node)->machine->disk_full = true;
  cluster.start(full_node);
  run_for(cluster, 500 * millisecond);
  cluster.start(healthy_node);
  run_for(cluster, 1500 * millisecond);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-5 ", sorted(voter_names(cluster)).c_str());
  cluster.processes.at(full_node)->machine->disk_full = false;
  run_for(cluster, 3 * second);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 queen-5 ", sorted(voter_names(cluster)).c_str());
}
