// Tests of an even list of voters of which one is gone for good when others lose their disks (design 4.5).
#include "raft/test_fleet.hpp"

// Included last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
constexpr auto recovery_limit = 12 * second;

// One voter of an even list ends for good without a SIGTERM, and as many others as the settings tolerate lose their
// disks `moment` later.
struct sudden_loss {
  std::int64_t tolerated_losses = 1;
  bool leader_loses_disk = false;
  bool silent = false;  // the machines lose their power, so that no process refuses a connection
  monotonic_time moment = 0;
};
auto describe(const sudden_loss& loss) -> std::string {
  return std::to_string(loss.tolerated_losses) + " tolerated, " + (loss.silent ? "silent, " : "refused, ") +
         (loss.leader_loses_disk ? "the leader and others lose" : "only others than the leader lose") +
         " their disks after " + std::to_string(loss.moment / millisecond) + " ms";
}
auto stop(fleet& cluster, const std::string& name, bool silent) -> void {
  if (silent)
    cluster.power(cluster.processes.at(name)->machine->name, false);
  else
    cluster.kill(name);
}
auto restart(fleet& cluster, const std::string& name, bool silent) -> void {
  if (silent)
    cluster.power(cluster.processes.at(name)->machine->name, true);
  else
    cluster.start(name);
}
auto check_sudden_loss(const sudden_loss& loss) -> void {
  constexpr auto downtime = 700 * millisecond;
  auto shape = control_nodes_only(2 * loss.tolerated_losses + 1);
  shape.settings["copies"] = std::to_string(loss.tolerated_losses + 1);
  auto cluster = fleet(70 + static_cast<std::uint64_t>(loss.moment / millisecond), shape);
  start_with_newcomer(cluster);
  auto leader = cluster.leader();
  LONGS_EQUAL(2 * loss.tolerated_losses + 2, raft_of(cluster, leader).voters().size());
  auto answer = propose(cluster, drain_command("kept"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("{\"ok\":true}", answer->c_str());

  auto gone = other_control_node(cluster, leader);
  stop(cluster, gone, loss.silent);
  run_for(cluster, loss.moment);
  auto lost = std::vector<std::string>();
  if (loss.leader_loses_disk)
    lost.push_back(leader);
  for (const auto& name : cluster.names("queen"))
    if (name != gone && name != leader && lost.size() < static_cast<std::size_t>(loss.tolerated_losses))
      lost.push_back(name);
  for (const auto& name : lost) {
    stop(cluster, name, loss.silent);
    cluster.lose_disk(name);
  }
  run_for(cluster, downtime);
  for (const auto& name : lost)
    restart(cluster, name, loss.silent);
  if (!serves_again(cluster, "after", recovery_limit))
    FAIL(describe(loss).c_str());
  CHECK_TRUE_TEXT(cluster.processes.at(cluster.leader())->control->state.drains.contains("kept"),
                  describe(loss).c_str());
}
}  // namespace

TEST_GROUP(raft_sudden_loss){};
// Guards against a log without a leader for ever: a voter of four is killed for good, and another one loses its disk
// before a failure timeout has passed.
TEST(raft_sudden_loss, a_disk_lost_right_after_a_voter_of_four_was_killed_leaves_a_majority) {
  auto cluster = fleet(68, control_nodes_only(3));
  start_with_newcomer(cluster);
  auto leader = cluster.leader();
  auto killed = other_control_node(cluster, leader);
  cluster.remove(killed);
  run_for(cluster, 100 * millisecond);
  lose_disk_and_restart(cluster, leader);
  CHECK(serves_again(cluster, "after", recovery_limit));
}
// The same at many moments, and for two losses that are tolerated: the leader removes a voter whose process has exited
// as soon as it knows.
TEST(raft_sudden_loss, a_voter_of_an_even_list_whose_process_has_exited_is_removed_at_once) {
  for (auto tolerated_losses : {1, 2})
    for (auto leader_loses_disk : {false, true})
      for (auto moment = 20 * millisecond; moment <= 1500 * millisecond; moment += 40 * millisecond)
        check_sudden_loss({tolerated_losses, leader_loses_disk, false, moment});
}
// A voter whose machine is silent counts until a failure timeout has passed and the shorter list is committed.
TEST(raft_sudden_loss, a_silent_voter_of_an_even_list_is_removed_after_a_failure_timeout) {
  for (auto tolerated_losses : {1, 2})
    for (auto moment = 1300 * millisecond; moment <= 2500 * millisecond; moment += 100 * millisecond)
      check_sudden_loss({tolerated_losses, true, true, moment});
}
// Guards against a leader that steps down when half of an even list falls silent: it could never be elected again.
TEST(raft_sudden_loss, a_leader_that_hears_only_half_of_an_even_list_shortens_it) {
  for (auto tolerated_losses : {1, 2})
    for (auto moment = monotonic_time{0}; moment <= 1500 * millisecond; moment += 60 * millisecond)
      check_sudden_loss({tolerated_losses, false, true, moment});
}
// A leader that is cut off from more than half of an even list steps down, and removes no voter.
TEST(raft_sudden_loss, a_leader_that_hears_fewer_than_half_of_an_even_list_steps_down) {
  auto cluster = fleet(69, control_nodes_only(3));
  start_with_newcomer(cluster);
  auto old_leader = cluster.leader();
  auto machine = cluster.processes.at(old_leader)->machine->name;
  cluster.network.cut(machine, "*");
  cluster.network.cut("*", machine);
  run_for(cluster, 2 * second);
  CHECK_FALSE(raft_of(cluster, old_leader).is_leader());
  LONGS_EQUAL(4, raft_of(cluster, old_leader).voters().size());
  cluster.network.heal(machine, "*");
  cluster.network.heal("*", machine);
  CHECK(serves_again(cluster, "after", recovery_limit));
}
