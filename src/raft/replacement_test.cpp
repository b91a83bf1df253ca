// Replacing voters: at each moment of a replacement another loss does no harm (design 4.5).
#include "raft/test_fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
auto wipe(fleet& cluster, const std::string& name) -> void {
  cluster.kill(name);
  cluster.lose_disk(name);
}
auto join_as(const std::string& address, const std::string& disk) -> value {
  return object{{"op", "l.enter"}, {"addr", address}, {"id", disk}};
}
// What is lost while a voter is being replaced.
enum class second_loss { leader, other, newcomer, all };

auto to_string(second_loss what) -> std::string {
  switch (what) {
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
auto lose_again(fleet& cluster, second_loss what, const std::string& leader, const std::string& newcomer) -> void {
  auto other = std::string();
  for (const auto& name : cluster.names("queen"))
    if (name != leader && name != newcomer)
      other = name;
  switch (what) {
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
// A voter's disk is lost and replaced, and `moment` after its return something else is lost.
auto check_second_loss(monotonic_time moment, second_loss what) -> void {
  constexpr auto limit = 4 * second;
  auto description = to_string(what) + " lost after " + std::to_string(moment / millisecond) + " ms";
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
  lose_again(cluster, what, lead, lost);
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
// What one disk holds counts for no other at its address: neither beside a learner nor beside a voter.
TEST(raft_replacement, a_second_disk_at_an_address_must_catch_up_by_itself) {
  auto cluster = fleet(41, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto other = other_control_node(cluster, lead);
  auto was = raft_of(cluster, lead).voters();
  auto answer = send_request(cluster, lead, join_as(address_of(cluster, other), "another-disk"));
  run_for(cluster, 2 * second);
  STRCMP_EQUAL("catching_up", answer->c_str());
  CHECK(was == raft_of(cluster, lead).voters());
  CHECK(raft_of(cluster, lead).is_leader());
  // Nor may anyone take the leader's own place.
  answer = send_request(cluster, lead, join_as(address_of(cluster, lead), "another-disk"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("malformed", answer->c_str());
  // It is forgotten once it has been silent for long.
  run_for(cluster, 6 * second);
  CHECK_FALSE(get_bool(raft_of(cluster, lead).status(), "changing"));
}
// A lost disk stays a voter until the one that replaces it has all: never fewer voters than before.
TEST(raft_replacement, nobody_leaves_before_the_newcomer_is_in) {
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
    auto least = std::size_t{9};
    auto most = std::size_t{0};
    auto listed = std::size_t{0};
    for (auto i = 0; i < 3000 && !is_voter(cluster, newcomer); ++i) {
      run_for(cluster, millisecond);
      least = std::min(least, raft_of(cluster, lead).voters().size());
      most = std::max(most, raft_of(cluster, lead).voters().size());
      auto now = raft_of(cluster, lead).status();
      const auto& rows = get_array(now, "voters");
      auto counts = std::count_if(rows.begin(), rows.end(), [](const value& row) {
        return get_string(row, "seat") == "voter";
      });
      listed = std::max(listed, static_cast<std::size_t>(counts));
    }
    CHECK(is_voter(cluster, newcomer));
    run_for(cluster, 200 * millisecond);
    LONGS_EQUAL(3, least);
    LONGS_EQUAL(3, most);
    LONGS_EQUAL(4, listed);  // for a moment both lists count
    LONGS_EQUAL(3, get_array(raft_of(cluster, lead).status(), "voters").size());
    CHECK_FALSE(get_bool(raft_of(cluster, lead).status(), "changing"));
  }
}
// A leader whose followers both have other disks than those of the voters has no majority.
TEST(raft_replacement, answers_of_other_disks_are_no_majority) {
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
// A second loss, at each moment of a replacement: another voter, the leader, the newcomer's disk again, or the power
// of all. What was confirmed stays, and the newcomer is a voter within four seconds of the last return.
TEST(raft_replacement, a_second_loss_at_each_moment) {
  for (auto moment = monotonic_time{0}; moment < 800 * millisecond; moment += 40 * millisecond)
    for (auto what : {second_loss::leader, second_loss::other, second_loss::newcomer, second_loss::all})
      check_second_loss(moment, what);
}
// From the moment in which it asks another to run, a leader gives no lease and takes no command.
TEST(raft_replacement, a_leaving_leader_confirms_nothing) {
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
