// Tests of the replacement of voters: a second failure at any time during a replacement does no harm (design 4.5).
#include "raft/test_fleet.hpp"

// Included last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
// Kills the control node and erases its disk.
auto wipe(fleet& cluster, const std::string& name) -> void {
  cluster.kill(name);
  cluster.lose_disk(name);
}
// Returns a join request for a disk at an address.
auto join_request_for(const std::string& address, const std::string& disk) -> value {
  return object{{"op", "l.enter"}, {"addr", address}, {"id", disk}};
}
// The second failure during the replacement of a voter: a restart of the leader, a restart of the other voter, the loss
// of the newcomer's disk, or a power loss of all nodes.
enum class second_loss { leader, other, newcomer, all };

auto to_string(second_loss loss) -> std::string {
  switch (loss) {
    case second_loss::leader:
      return "leader";
    case second_loss::other:
      return "other";
    case second_loss::newcomer:
      return "newcomer";
    case second_loss::all:
      break;
  }
  return "all";
}
auto restart(fleet& cluster, const std::string& name) -> void {
  cluster.kill(name);
  run_for(cluster, 2 * second);
  cluster.start(name);
}
auto apply_second_loss(fleet& cluster, second_loss loss, const std::string& leader, const std::string& newcomer)
    -> void {
  auto other = std::string();
  for (const auto& name : cluster.names("queen"))
    if (name != leader && name != newcomer)
      other = name;
  switch (loss) {
    case second_loss::leader:
      return restart(cluster, leader);
    case second_loss::other:
      return restart(cluster, other);
    case second_loss::newcomer:
      wipe(cluster, newcomer);
      run_for(cluster, 300 * millisecond);
      cluster.start(newcomer);
      return;
    case second_loss::all:
      cluster.power("all", false);
      cluster.power("all", true);
  }
}
// Replaces the disk of a voter and applies a second failure at `moment` after the voter's restart. Checks that the
// newcomer becomes a voter in time and that every control node has the command that was confirmed before.
auto check_second_loss(monotonic_time moment, second_loss loss) -> void {
  constexpr auto limit = 4 * second;
  auto description = to_string(loss) + " lost after " + std::to_string(moment / millisecond) + " ms";
  auto cluster = fleet(44 + static_cast<std::uint64_t>(moment / millisecond), control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto lost = other_control_node(cluster, lead);
  auto answer = propose(cluster, drain_command("kept"));
  run_for(cluster, 200 * millisecond);
  STRCMP_EQUAL("{\"ok\":true}", answer->c_str());
  wipe(cluster, lost);
  run_for(cluster, 500 * millisecond);
  cluster.start(lost);
  run_for(cluster, moment);
  apply_second_loss(cluster, loss, lead, lost);
  auto took = run_until(cluster, 2 * limit, [&] {
    return is_voter(cluster, lost);
  });
  if (took >= limit)
    FAIL(description.c_str());
  for (const auto& name : cluster.names("queen")) {
    took += run_until(cluster, limit, [&] {
      return cluster.processes.at(name)->control->state.drains.count("kept") > 0;
    });
    if (took >= limit)
      FAIL((name + " lacks it, " + description).c_str());
  }
}
}  // namespace

TEST_GROUP(raft_replacement){};
// Entries on one disk do not count for another disk at the same address, whether the first disk is a learner's or a
// voter's.
TEST(raft_replacement, a_different_disk_at_an_address_must_catch_up_first) {
  auto cluster = fleet(41, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto other = other_control_node(cluster, lead);
  auto voters_before = raft_of(cluster, lead).voters();
  auto answer = send_request(cluster, lead, join_request_for(address_of(cluster, other), "another-disk"));
  run_for(cluster, 2 * second);
  STRCMP_EQUAL("catching_up", answer->c_str());
  CHECK(voters_before == raft_of(cluster, lead).voters());
  CHECK(raft_of(cluster, lead).is_leader());
  // A different disk cannot join at the leader's address.
  answer = send_request(cluster, lead, join_request_for(address_of(cluster, lead), "another-disk"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("malformed", answer->c_str());
  // The leader drops the learner after it has been unresponsive for long enough.
  run_for(cluster, 6 * second);
  CHECK_FALSE(get_bool(raft_of(cluster, lead).status(), "changing"));
}
// A lost disk stays a voter until its replacement has caught up, so there are never fewer voters than before.
TEST(raft_replacement, no_voter_is_removed_before_its_replacement_joins) {
  for (auto same_address : {true, false}) {
    auto cluster = fleet(42, control_nodes_only(3));
    start_all(cluster);
    auto lead = cluster.leader();
    auto lost = other_control_node(cluster, lead);
    auto newcomer = lost;
    if (same_address) {
      wipe(cluster, lost);
    } else {
      cluster.remove(lost);
      run_for(cluster, 2500 * millisecond);
      newcomer = cluster.add_control_node();
    }
    cluster.start(newcomer);
    auto min_voter_count = std::size_t{9};
    auto max_voter_count = std::size_t{0};
    auto max_listed_count = std::size_t{0};
    for (auto i = 0; i < 3000 && !is_voter(cluster, newcomer); ++i) {
      run_for(cluster, millisecond);
      min_voter_count = std::min(min_voter_count, raft_of(cluster, lead).voters().size());
      max_voter_count = std::max(max_voter_count, raft_of(cluster, lead).voters().size());
      auto status = raft_of(cluster, lead).status();
      const auto& members = get_array(status, "voters");
      auto listed_count = std::count_if(members.begin(), members.end(), [](const value& member) {
        return get_string(member, "seat") == "voter";
      });
      max_listed_count = std::max(max_listed_count, static_cast<std::size_t>(listed_count));
    }
    CHECK(is_voter(cluster, newcomer));
    run_for(cluster, 200 * millisecond);
    LONGS_EQUAL(3, min_voter_count);
    LONGS_EQUAL(3, max_voter_count);
    LONGS_EQUAL(4, max_listed_count);  // the joint membership contains the voters of both lists
    LONGS_EQUAL(3, get_array(raft_of(cluster, lead).status(), "voters").size());
    CHECK_FALSE(get_bool(raft_of(cluster, lead).status(), "changing"));
  }
}
// A leader has no majority if both followers run on disks other than those of the voters.
TEST(raft_replacement, replies_of_other_disks_form_no_majority) {
  auto cluster = fleet(43, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  for (const auto& name : cluster.names("queen"))
    if (name != lead) {
      wipe(cluster, name);
      cluster.start(name);
    }
  run_for(cluster, 2 * second);
  CHECK(cluster.leader().empty());
}
// Applies each kind of second failure at many points in time during a replacement. Confirmed commands are kept, and the
// newcomer is a voter within four seconds after the failed nodes have restarted.
TEST(raft_replacement, a_second_loss_at_any_time_does_no_harm) {
  for (auto moment = monotonic_time{0}; moment < 800 * millisecond; moment += 40 * millisecond)
    for (auto loss : {second_loss::leader, second_loss::other, second_loss::newcomer, second_loss::all})
      check_second_loss(moment, loss);
}
// After a leader has asked a follower to take over, it grants no lease and accepts no command.
TEST(raft_replacement, a_leader_that_transfers_leadership_confirms_nothing) {
  auto cluster = fleet(45, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  for (const auto& name : cluster.names("queen"))
    if (name != lead)
      cluster.freeze(name, true);
  CHECK(raft_of(cluster, lead).last_quorum_contact() > cluster.network.clock - 300 * millisecond);
  call_raft(cluster, lead, [](consensus& log, host& process_host) -> task<value> {
    co_await log.transfer_leadership(process_host.now() + second);
    co_return value();
  });
  run_for(cluster, 20 * millisecond);
  CHECK(raft_of(cluster, lead).is_leader());
  CHECK(raft_of(cluster, lead).last_quorum_contact() == -never);
  auto answer = propose(cluster, drain_command("late"));
  run_for(cluster, 10 * millisecond);
  STRCMP_EQUAL("no_leader", answer->c_str());
}
