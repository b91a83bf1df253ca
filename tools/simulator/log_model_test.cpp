#include "simulator/log_model.hpp"

#include "runtime/log.hpp"
#include "runtime/value.hpp"
#include "simulator/log_invariants.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

#if defined(__SANITIZE_ADDRESS__)
constexpr auto schedules = std::uint64_t{400};
#else
constexpr auto schedules = std::uint64_t{6000};
#endif

auto stored_entry(std::int64_t term, std::int64_t command) -> std::string {
  return encode_with_checksum(object{{"t", term}, {"d", object{{"command", command}}}});
}
// Returns the name of the invariant that the check reports as violated, or an empty string.
template <class Check>
auto violated_invariant(Check check) -> std::string {
  try {
    check();
  } catch (const invariant_violation& fault) {
    return fault.invariant;
  }
  return {};
}
auto voters_named(const std::string& names, const std::string& outgoing = "") -> membership {
  auto out = membership();
  for (auto name : names)
    out.voters.push_back({std::string(1, name), "disk"});
  for (auto name : outgoing)
    out.outgoing.push_back({std::string(1, name), "disk"});
  return out;
}
}  // namespace

TEST_GROUP(log_invariants) {
  log_invariants invariants;
};
TEST(log_invariants, quorums_of_adjacent_configurations_overlap) {
  CHECK(quorums_overlap(voters_named("abc"), voters_named("abcd")));
  CHECK(quorums_overlap(voters_named("abc"), voters_named("ab")));
  CHECK(quorums_overlap(voters_named("abcd"), voters_named("abcde")));
  CHECK_FALSE(quorums_overlap(voters_named("abc"), voters_named("abcde")));
  CHECK_FALSE(quorums_overlap(voters_named("abc"), voters_named("abd")));
  CHECK_FALSE(quorums_overlap(voters_named("abc"), voters_named("a")));
}
TEST(log_invariants, quorums_of_a_joint_configuration_overlap_those_of_both_lists) {
  CHECK(quorums_overlap(voters_named("abc"), voters_named("ade", "abc")));
  CHECK(quorums_overlap(voters_named("ade"), voters_named("ade", "abc")));
  CHECK_FALSE(quorums_overlap(voters_named("bcf"), voters_named("ade", "abd")));
}
TEST(log_invariants, a_new_disk_at_an_address_is_a_different_voter) {
  auto before = voters_named("abc"), after = before;
  after.voters[2].disk_id = "emptied";
  CHECK_FALSE(quorums_overlap(before, after));
}
TEST(log_invariants, a_disk_votes_once_per_term) {
  invariants.vote_granted("disk", 3, "a");
  invariants.vote_granted("disk", 3, "a");
  invariants.vote_granted("disk", 4, "b");
  STRCMP_EQUAL("one-vote-a-term", violated_invariant([&] {
                                    invariants.vote_granted("disk", 3, "b");
                                  }).c_str());
}
TEST(log_invariants, a_term_has_one_leader) {
  invariants.leader_seen("one", 3);
  invariants.leader_seen("one", 3);
  STRCMP_EQUAL("one-leader-a-term", violated_invariant([&] {
                                      invariants.leader_seen("other", 3);
                                    }).c_str());
}
TEST(log_invariants, index_and_term_identify_one_entry) {
  invariants.entry_seen(5, stored_entry(2, 10), nullptr);
  invariants.entry_seen(5, stored_entry(3, 11), nullptr);
  STRCMP_EQUAL("log-matching", violated_invariant([&] {
                                 invariants.entry_seen(5, stored_entry(2, 12), nullptr);
                               }).c_str());
}
TEST(log_invariants, equal_entries_have_equal_predecessors) {
  auto entry = stored_entry(2, 10), preceding_entry = stored_entry(1, 8), other_entry = stored_entry(2, 9);
  invariants.entry_seen(5, entry, &preceding_entry);
  invariants.entry_seen(5, entry, &preceding_entry);
  STRCMP_EQUAL("log-matching", violated_invariant([&] {
                                 invariants.entry_seen(5, entry, &other_entry);
                               }).c_str());
}
TEST(log_invariants, a_committed_entry_does_not_change) {
  invariants.entry_committed(5, stored_entry(2, 10));
  STRCMP_EQUAL("committed-stays", violated_invariant([&] {
                                    invariants.entry_committed(5, stored_entry(3, 11));
                                  }).c_str());
  invariants.applied(7, 20, 1);
  STRCMP_EQUAL("committed-stays", violated_invariant([&] {
                                    invariants.applied(7, 21, 1);
                                  }).c_str());
  STRCMP_EQUAL("committed-stays", violated_invariant([&] {
                                    invariants.acknowledged(7, 22, second);
                                  }).c_str());
}
TEST(log_invariants, replicas_have_equal_state_at_an_equal_index) {
  invariants.applied(7, 20, 1);
  STRCMP_EQUAL("equal-state", violated_invariant([&] {
                                invariants.restored(7, 2);
                              }).c_str());
}
TEST(log_invariants, a_command_is_applied_once_and_a_refused_command_never) {
  invariants.applied(7, 20, 1);
  STRCMP_EQUAL("applied-once", violated_invariant([&] {
                                 invariants.applied(8, 20, 2);
                               }).c_str());
  invariants.refused(21);
  STRCMP_EQUAL("refused-never-runs", violated_invariant([&] {
                                       invariants.applied(9, 21, 3);
                                     }).c_str());
}
TEST(log_invariants, a_read_includes_commands_acknowledged_before_it) {
  invariants.applied(7, 20, 1);
  invariants.acknowledged(7, 20, 2 * second);
  invariants.require_applied("fresh-read", 6, second, "a");
  invariants.require_applied("fresh-read", 7, 3 * second, "a");
  STRCMP_EQUAL("fresh-read", violated_invariant([&] {
                               invariants.require_applied("fresh-read", 6, 2 * second, "a");
                             }).c_str());
}
TEST(log_invariants, quorums_of_active_and_committed_voters_overlap) {
  invariants.voters_committed(3, voters_named("abc"));
  invariants.check_active_voters(voters_named("abcd"), "a");
  STRCMP_EQUAL("majorities-meet", violated_invariant([&] {
                                    invariants.check_active_voters(voters_named("abcde"), "a");
                                  }).c_str());
}

TEST_GROUP(log_model){};
TEST(log_model, a_seed_always_gives_the_same_run) {
  for (auto seed : {1U, 17U, 99U}) {
    auto options = model_options();
    options.trace = true;
    auto first_run = run_log_model(seed, options), second_run = run_log_model(seed, options);
    CHECK(!first_run.trace.empty());
    CHECK(first_run.trace == second_run.trace);
  }
}
// Each seed gives one schedule. A failing schedule is printed in shrunk form; replay: simulator --model --seeds SEED.
TEST(log_model, the_invariants_hold_under_every_schedule) {
  auto acknowledged = std::int64_t{0}, elections = std::int64_t{0}, snapshots = std::int64_t{0};
  auto changes = std::int64_t{0}, liveness_checked = std::int64_t{0};
  for (auto seed = std::uint64_t{1}; seed <= schedules; ++seed) {
    auto run = run_log_model(seed);
    if (!run.violations.empty())
      FAIL(to_text(shrink_log_model(seed)).c_str());
    acknowledged += run.acknowledged;
    elections += run.elections;
    snapshots += run.snapshots;
    changes += run.membership_changes;
    liveness_checked += run.liveness_checked ? 1 : 0;
  }
  // The schedules must actually cause elections, snapshots and membership changes.
  auto count = static_cast<std::int64_t>(schedules);
  CHECK(acknowledged > count * 5);
  CHECK(elections > count * 2);
  CHECK(snapshots > count);
  CHECK(changes > count / 2);
  CHECK(liveness_checked > count * 9 / 10);
}
