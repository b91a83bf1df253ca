// Tests of control nodes that shut down: a voter that ends for good does not count in later majorities, and a restart
// costs the log none of its tolerance (design 4.5).
#include "raft/test_fleet.hpp"

// Included last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
constexpr auto shutdown_limit = 4 * second;
constexpr auto recovery_limit = 12 * second;

auto voter_count(fleet& cluster) -> std::size_t {
  return raft_of(cluster, cluster.leader()).voters().size();
}
// One machine is replaced as planned, and another one loses its disk at `moment` after the SIGTERM.
struct planned_replacement {
  bool leader_leaves = false;     // the machine that is removed is the leader
  bool newcomer_is_lost = false;  // the newcomer loses its disk; otherwise one of the other initial voters does
  monotonic_time moment = 0;
};
auto describe(const planned_replacement& plan) -> std::string {
  return std::string(plan.leader_leaves ? "the leader" : "a follower") + " leaves, " +
         (plan.newcomer_is_lost ? "the newcomer" : "another voter") + " loses its disk after " +
         std::to_string(plan.moment / millisecond) + " ms";
}
auto check_planned_replacement(const planned_replacement& plan) -> void {
  auto cluster = fleet(60 + static_cast<std::uint64_t>(plan.moment / millisecond), control_nodes_only(3));
  auto newcomer = start_with_newcomer(cluster);
  auto leader = cluster.leader();
  auto follower = other_control_node(cluster, leader);
  auto leaving = plan.leader_leaves ? leader : follower;
  auto other = plan.leader_leaves ? follower : leader;
  auto answer = propose(cluster, drain_command("kept"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("{\"ok\":true}", answer->c_str());
  cluster.term(leaving, shutdown_limit);
  run_for(cluster, plan.moment);
  lose_disk_and_restart(cluster, plan.newcomer_is_lost ? newcomer : other);
  run_until(cluster, shutdown_limit, [&] {
    return !cluster.processes.at(leaving)->up();
  });
  cluster.remove(leaving);
  if (!serves_again(cluster, "after", recovery_limit))
    FAIL(describe(plan).c_str());
  CHECK_TRUE_TEXT(cluster.processes.at(cluster.leader())->control->state.drains.contains("kept"),
                  describe(plan).c_str());
}
}  // namespace

TEST_GROUP(raft_shutdown){};
// Guards against a log without a leader for ever: a machine that was replaced as planned stayed a voter after its end,
// and the next lost disk left too few voters.
TEST(raft_shutdown, a_disk_lost_after_a_planned_replacement_leaves_a_majority) {
  for (auto moment = monotonic_time{0}; moment <= 800 * millisecond; moment += 40 * millisecond)
    for (auto leader_leaves : {false, true})
      for (auto newcomer_is_lost : {false, true})
        check_planned_replacement({leader_leaves, newcomer_is_lost, moment});
}
// A restart looks like a removal to the process. The voter leaves a list of four and is in it again soon after.
TEST(raft_shutdown, a_restarted_voter_of_four_leaves_and_joins_again) {
  for (auto leader_leaves : {false, true}) {
    auto cluster = fleet(61, control_nodes_only(3));
    start_with_newcomer(cluster);
    auto leader = cluster.leader();
    auto restarted = leader_leaves ? leader : other_control_node(cluster, leader);
    cluster.term(restarted, shutdown_limit);
    auto took = run_until(cluster, shutdown_limit, [&] {
      return !cluster.processes.at(restarted)->up();
    });
    CHECK(took < 1 * second);
    LONGS_EQUAL(3, voter_count(cluster));
    cluster.start(restarted);
    took = run_until(cluster, recovery_limit, [&] {
      return is_voter(cluster, restarted);
    });
    CHECK(took < 1 * second);
    LONGS_EQUAL(4, voter_count(cluster));
  }
}
// Three voters are the fewest that outlive one lost disk, so a voter of three that restarts stays in the list and ends
// without a delay.
TEST(raft_shutdown, a_voter_of_three_stays_in_the_list) {
  for (auto leader_leaves : {false, true}) {
    auto cluster = fleet(62, control_nodes_only(3));
    start_all(cluster);
    auto leader = cluster.leader();
    auto restarted = leader_leaves ? leader : other_control_node(cluster, leader);
    cluster.term(restarted, shutdown_limit);
    auto took = run_until(cluster, shutdown_limit, [&] {
      return !cluster.processes.at(restarted)->up();
    });
    CHECK(took < 500 * millisecond);
    run_for(cluster, 2 * second);
    LONGS_EQUAL(3, voter_count(cluster));
    cluster.start(restarted);
    run_for(cluster, 1 * second);
    CHECK(is_voter(cluster, restarted));
  }
}
// Of two voters of four that shut down together, one leaves the list; the other one stays, and both end in time.
TEST(raft_shutdown, of_two_voters_that_shut_down_together_one_leaves) {
  auto cluster = fleet(63, control_nodes_only(3));
  start_with_newcomer(cluster);
  auto leader = cluster.leader();
  auto follower = other_control_node(cluster, leader);
  cluster.term(leader, shutdown_limit);
  cluster.term(follower, shutdown_limit);
  auto took = run_until(cluster, shutdown_limit, [&] {
    return !cluster.processes.at(leader)->up() && !cluster.processes.at(follower)->up();
  });
  CHECK(took < 2 * second);
  run_for(cluster, 1 * second);
  CHECK_FALSE(cluster.leader().empty());
  LONGS_EQUAL(3, voter_count(cluster));
}
// A whole cluster that shuts down ends within its limit although nobody is left to take over.
TEST(raft_shutdown, a_whole_cluster_shuts_down_in_time) {
  for (auto with_newcomer : {false, true}) {
    auto cluster = fleet(64, control_nodes_only(3));
    if (with_newcomer)
      start_with_newcomer(cluster);
    else
      start_all(cluster);
    for (const auto& name : cluster.names("queen"))
      cluster.term(name, shutdown_limit);
    auto took = run_until(cluster, 2 * shutdown_limit, [&] {
      return std::none_of(cluster.processes.begin(), cluster.processes.end(), [](const auto& entry) {
        return entry.second->up();
      });
    });
    CHECK(took <= shutdown_limit + second);
    for (const auto& name : cluster.names("queen"))
      cluster.start(name);
    CHECK(serves_again(cluster, "after", recovery_limit));
  }
}
// A machine that shuts down while it still catches up does not become a voter after its end.
TEST(raft_shutdown, a_learner_that_shuts_down_does_not_become_a_voter) {
  for (auto moment = monotonic_time{0}; moment <= 400 * millisecond; moment += 10 * millisecond) {
    auto cluster = fleet(65, control_nodes_only(3));
    start_all(cluster);
    auto newcomer = cluster.add_control_node();
    cluster.start(newcomer);
    run_for(cluster, moment);
    cluster.term(newcomer, shutdown_limit);
    run_until(cluster, shutdown_limit, [&] {
      return !cluster.processes.at(newcomer)->up();
    });
    run_for(cluster, 50 * millisecond);
    LONGS_EQUAL(3, voter_count(cluster));
  }
}
// Guards against a list that can never have a leader again: two of five voters have lost their disks, and a third one
// restarts. It stays in the list, because the two that remain are no majority of four.
TEST(raft_shutdown, a_voter_that_the_others_need_stays_in_the_list) {
  auto cluster = fleet(66, control_nodes_only(5));
  start_all(cluster);
  run_for(cluster, 2 * second);
  auto leader = cluster.leader();
  auto others = std::vector<std::string>();
  for (const auto& name : cluster.names("queen"))
    if (name != leader)
      others.push_back(name);
  cluster.remove(others[0]);
  cluster.remove(others[1]);
  cluster.term(others[2], shutdown_limit);
  run_until(cluster, 2 * shutdown_limit, [&] {
    return !cluster.processes.at(others[2])->up();
  });
  run_for(cluster, 1 * second);
  cluster.start(others[2]);
  CHECK(serves_again(cluster, "after", recovery_limit));
}
// Guards against a log without a leader for ever: a voter of four that was killed for good counted for five failure
// timeouts, and the next lost disk left too few voters.
TEST(raft_shutdown, a_killed_voter_of_four_is_removed_soon) {
  constexpr auto removal_limit = 1500 * millisecond;  // one failure timeout, heartbeats and the commit
  for (auto leader_is_killed : {false, true}) {
    auto cluster = fleet(67, control_nodes_only(3));
    start_with_newcomer(cluster);
    auto leader = cluster.leader();
    auto follower = other_control_node(cluster, leader);
    cluster.remove(leader_is_killed ? leader : follower);
    run_for(cluster, removal_limit);
    lose_disk_and_restart(cluster, leader_is_killed ? follower : leader);
    CHECK(serves_again(cluster, "after", recovery_limit));
  }
}
