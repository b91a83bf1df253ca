// Limits of the log's size and of request sizes, and the time in which a voter catches up (design 4.7).
#include "raft/test_fleet.hpp"

// CppUTest must come last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
constexpr auto large_size = std::size_t{70} << 10;  // bytes; the size of a large configuration

// A node name of about `large_size` bytes.
auto large_name(int i) -> std::string {
  return "node-" + std::to_string(i) + "-" + std::string(large_size, 'x');
}

// Proposes pairs of large commands that cancel each other, so that the log grows and the state does not. Returns the
// largest size of any control node's log in memory, in bytes.
auto churn(fleet& cluster, int rounds) -> std::size_t {
  auto max_log_bytes = std::size_t{0};
  for (auto i = 0; i < rounds; ++i) {
    propose(cluster, drain_command(large_name(0)));
    propose(cluster, cancel_drain_command(large_name(0)));
    run_for(cluster, 15 * millisecond);
    for (const auto& name : cluster.names("queen"))
      if (cluster.processes.at(name)->up())
        max_log_bytes = std::max(max_log_bytes, raft_of(cluster, name).log_bytes());
  }
  return max_log_bytes;
}
// Adds `count` large names to the state.
auto add_large_names(fleet& cluster, int count) -> void {
  for (auto i = 0; i < count; ++i) {
    propose(cluster, drain_command(large_name(i)));
    run_for(cluster, 20 * millisecond);
  }
}
auto caught_up(fleet& cluster, const std::string& name) -> bool {
  auto lead = cluster.leader();
  return !lead.empty() && raft_of(cluster, name).commit_index() == raft_of(cluster, lead).commit_index();
}
// Grows the state to four megabytes and stops a follower, whose disk is lost. Returns the name of the follower.
auto lose_follower_disk_with_large_state(fleet& cluster) -> std::string {
  auto follower = other_control_node(cluster, cluster.leader());
  add_large_names(cluster, 60);
  churn(cluster, 30);
  cluster.kill(follower);
  cluster.lose_disk(follower);
  return follower;
}
auto status_number(fleet& cluster, const std::string& name, const char* key) -> std::int64_t {
  return get_int(raft_of(cluster, name).status(), key);
}
}  // namespace

TEST_GROUP(raft_recovery){};
TEST(raft_recovery, the_log_size_is_limited) {
  auto cluster = fleet(51, control_nodes_only(3));
  start_all(cluster);
  auto max_log_bytes = churn(cluster, 400);
  CHECK(max_log_bytes > (std::size_t{1} << 20));
  CHECK(max_log_bytes <= compaction_threshold_bytes + max_tail_bytes + 8 * large_size);
  auto lead = cluster.leader();
  auto on_disk = std::size_t{0};
  for (const auto& [key, value] : cluster.processes.at(lead)->machine->durable)
    on_disk += value.size();
  CHECK(on_disk <= compaction_threshold_bytes + 8 * large_size);
}
// A voter that missed thousands of changes, with or without its disk, catches up within two seconds.
TEST(raft_recovery, a_restarted_voter_catches_up_in_time) {
  for (auto disk_lost : {false, true}) {
    auto cluster = fleet(52, control_nodes_only(3));
    start_all(cluster);
    auto lead = cluster.leader();
    auto follower = other_control_node(cluster, lead);
    add_large_names(cluster, 30);
    cluster.kill(follower);
    churn(cluster, 80);
    for (auto i = 0; i < 3000; ++i) {
      propose(cluster, drain_command("small"));
      propose(cluster, cancel_drain_command("small"));
      if (i % 10 == 0)
        run_for(cluster, 10 * millisecond);
    }
    STRCMP_EQUAL(lead.c_str(), cluster.leader().c_str());
    if (disk_lost)
      cluster.lose_disk(follower);
    cluster.start(follower);
    auto elapsed = run_until(cluster, 10 * second, [&] {
      return caught_up(cluster, follower) && is_voter(cluster, follower);
    });
    CHECK(elapsed < 2 * second);
    CHECK(cluster.leader() == lead);
  }
}
// Changes continue while a voter with a blank disk rejoins, and the voter is not replaced meanwhile. Once it is back,
// an election succeeds without the former leader.
TEST(raft_recovery, a_voter_with_a_blank_disk_rejoins_under_load) {
  auto cluster = fleet(53, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = other_control_node(cluster, lead);
  add_large_names(cluster, 30);
  cluster.kill(follower);
  cluster.lose_disk(follower);
  churn(cluster, 100);
  cluster.start(follower);
  for (auto i = 0; i < 100 && !is_voter(cluster, follower); ++i)
    churn(cluster, 2);
  CHECK(is_voter(cluster, follower));
  cluster.kill(lead);
  auto elapsed = run_until(cluster, 5 * second, [&] {
    return !cluster.leader().empty();
  });
  CHECK(elapsed < 2 * second);
}
// A snapshot of several megabytes over a link of half a megabyte per second takes many times the failure timeout. No
// replica may be considered silent meanwhile, and the leader must not change.
TEST(raft_recovery, a_large_snapshot_over_a_slow_link_causes_no_election) {
  auto cluster = fleet(54, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = lose_follower_disk_with_large_state(cluster);
  run_for(cluster, 500 * millisecond);
  cluster.network.latency = 40 * millisecond;
  auto term = status_number(cluster, lead, "term");
  cluster.start(follower);
  auto elapsed = run_until(cluster, 60 * second, [&] {
    return is_voter(cluster, follower);
  });

  CHECK(elapsed > 3 * second);
  CHECK(elapsed < 10 * second);
  CHECK(cluster.leader() == lead);
  LONGS_EQUAL(term, status_number(cluster, lead, "term"));
  LONGS_EQUAL(59, cluster.processes.at(follower)->control->state.drains.size());  // churn cancels one of the 60 drains
}
// The leader sends the missing entries one window at a time. A single request with all of them would time out at every
// attempt.
TEST(raft_recovery, entries_are_sent_over_a_slow_link_in_several_requests) {
  auto cluster = fleet(57, control_nodes_only(3));
  start_all(cluster);
  auto follower = other_control_node(cluster, cluster.leader());
  cluster.kill(follower);
  churn(cluster, 13);
  cluster.network.latency = 40 * millisecond;
  cluster.start(follower);
  auto elapsed = run_until(cluster, 20 * second, [&] {
    return caught_up(cluster, follower);
  });
  CHECK(elapsed < 8 * second);
}
// A command that exceeds the frame size could never be replicated and would block all entries after it.
TEST(raft_recovery, a_command_larger_than_a_frame_is_rejected) {
  auto cluster = fleet(58, control_nodes_only(3));
  start_all(cluster);
  auto answer = propose(cluster, drain_command(std::string(5 << 20, 'x')));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("too_large", answer->c_str());
  answer = propose(cluster, drain_command("small"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("{\"ok\":true}", answer->c_str());
}
// The link fails many times during a snapshot transfer. Chunks that have arrived must not be sent again.
TEST(raft_recovery, an_interrupted_snapshot_transfer_resumes) {
  auto cluster = fleet(55, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = lose_follower_disk_with_large_state(cluster);
  cluster.network.latency = 40 * millisecond;
  cluster.start(follower);
  auto bytes_at_start = cluster.network.bytes;
  auto leader_machine = cluster.processes.at(lead)->machine->name;
  auto follower_machine = cluster.processes.at(follower)->machine->name;
  for (auto i = 0; i < 40 && !is_voter(cluster, follower); ++i) {
    run_for(cluster, 2500 * millisecond);
    cluster.network.cut(leader_machine, follower_machine);
    cluster.network.cut(follower_machine, leader_machine);
    run_for(cluster, 1200 * millisecond);
    cluster.network.heal(leader_machine, follower_machine);
    cluster.network.heal(follower_machine, leader_machine);
  }
  CHECK(is_voter(cluster, follower));
  LONGS_EQUAL(59, cluster.processes.at(follower)->control->state.drains.size());  // churn cancels one of the 60 drains
  CHECK(cluster.network.bytes - bytes_at_start < std::size_t{3} * 60 * large_size);
}
// All control nodes lose power at varying times while snapshots replace entries. Acknowledged commands must survive.
TEST(raft_recovery, acknowledged_commands_survive_a_power_failure_during_compaction) {
  for (auto round = 0; round < 20; ++round) {
    auto cluster = fleet(56 + static_cast<std::uint64_t>(round), control_nodes_only(3));
    start_all(cluster);
    churn(cluster, 12);
    auto answers = std::vector<call_outcome>();
    for (auto i = 0; i < 20; ++i) {
      answers.push_back(propose(cluster, drain_command("n" + std::to_string(i))));
      propose(cluster, drain_command(large_name(0)));
      propose(cluster, cancel_drain_command(large_name(0)));
      run_for(cluster, 2 * millisecond + monotonic_time{round} * 500);
    }
    cluster.power("all", false);
    cluster.power("all", true);
    auto elapsed = run_until(cluster, 5 * second, [&] {
      return !cluster.leader().empty() && raft_of(cluster, cluster.leader()).leadership_established();
    });
    CHECK(elapsed < 5 * second);
    const auto& state = cluster.processes.at(cluster.leader())->control->state;
    for (auto i = std::size_t{0}; i < answers.size(); ++i)
      if (*answers[i] == "{\"ok\":true}")
        LONGS_EQUAL(1, state.drains.count("n" + std::to_string(i)));
  }
}

// A follower rejects chunks that are out of order, corrupt, or meant for another disk or snapshot. Its state, the
// process and the leader must not change.
TEST_GROUP(raft_snapshot_chunks) {
  fleet cluster{61, control_nodes_only(3)};
  std::string lead;
  std::string follower;
  std::string serialized;

  void setup() override {
    start_all(cluster);
    lead = cluster.leader();
    follower = other_control_node(cluster, lead);
    propose(cluster, drain_command("before"));
    run_for(cluster, 200 * millisecond);
    auto content = snapshot{1000,
                            status_number(cluster, lead, "term"),
                            {{{"10.7.7.1:1", "x"}}, {}},
                            "fleet",
                            cluster.processes.at(lead)->control->state.take_snapshot()};
    serialized = serialize_snapshot(content);
  }
  auto chunk(std::int64_t offset, std::size_t length)->snapshot_chunk {
    auto size = static_cast<std::int64_t>(serialized.size());
    return {status_number(cluster, lead, "term"),
            address_of(cluster, lead),
            raft_of(cluster, follower).disk_id(),
            1000,
            status_number(cluster, lead, "term"),
            size,
            checksum_of(serialized),
            offset,
            serialized.substr(static_cast<std::size_t>(offset), length)};
  }
  auto send_chunk(const snapshot_chunk& request)->std::string {
    auto answer = send_request(cluster, follower, encode(request));
    run_for(cluster, 50 * millisecond);
    return *answer;
  }
  auto check_unaffected()->void {
    CHECK(status_number(cluster, follower, "agreed") < 1000);
    CHECK(cluster.leader() == lead);
    auto put = propose(cluster, drain_command("after"));
    run_for(cluster, 200 * millisecond);
    CHECK(put->find("\"ok\":true") != std::string::npos);
    LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("before"));
    LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("after"));
  }
};
TEST(raft_snapshot_chunks, a_chunk_out_of_order_is_rejected) {
  auto answer = send_chunk(chunk(10, 10));
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":0") != std::string::npos);
  send_chunk(chunk(0, 10));
  answer = send_chunk(chunk(20, 10));
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":10") != std::string::npos);
  answer = send_chunk(chunk(0, 10));  // duplicate
  CHECK(answer.find("\"next\":10") != std::string::npos);
  check_unaffected();
}
TEST(raft_snapshot_chunks, a_chunk_for_another_disk_or_snapshot_is_rejected) {
  auto misdirected = chunk(0, 10);
  misdirected.target_disk = "another";
  CHECK(send_chunk(misdirected).find("\"ok\":false") != std::string::npos);
  send_chunk(chunk(0, 10));
  auto other = chunk(10, 10);
  other.checksum ^= 1;
  auto answer = send_chunk(other);
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":0") != std::string::npos);
  check_unaffected();
}
TEST(raft_snapshot_chunks, a_corrupt_or_truncated_snapshot_is_rejected) {
  auto corrupt = chunk(0, serialized.size());
  corrupt.data[serialized.size() / 2] ^= 1;
  STRCMP_EQUAL("malformed", send_chunk(corrupt).c_str());
  serialized.resize(serialized.size() - 5);  // truncated; the chunk's checksum matches the truncated bytes
  STRCMP_EQUAL("malformed", send_chunk(chunk(0, serialized.size())).c_str());
  serialized = encode_with_checksum(object{{"idx", 1000}});  // intact, but not a snapshot
  STRCMP_EQUAL("malformed", send_chunk(chunk(0, serialized.size())).c_str());
  auto content = snapshot{
      1000, status_number(cluster, lead, "term"), {{{"10.7.7.1:1", "x"}}, {}}, "", value(object{{"format", 1}})};
  serialized = serialize_snapshot(content);  // a snapshot with a malformed state
  STRCMP_EQUAL("malformed", send_chunk(chunk(0, serialized.size())).c_str());
  content.state = cluster.processes.at(lead)->control->state.take_snapshot();
  content.index = 900;
  serialized = serialize_snapshot(content);  // intact, but its index differs from the chunk's
  STRCMP_EQUAL("malformed", send_chunk(chunk(0, serialized.size())).c_str());
  check_unaffected();
}
// A follower never overwrites a committed entry, even for a request with a higher term.
TEST(raft_snapshot_chunks, an_entry_that_conflicts_with_a_committed_entry_is_rejected) {
  propose(cluster, drain_command("first"));
  run_for(cluster, 200 * millisecond);
  auto committed_index = status_number(cluster, follower, "agreed");
  auto term = status_number(cluster, lead, "term");
  auto request =
      append_request{term + 1, address_of(cluster, lead), raft_of(cluster, follower).disk_id(), committed_index - 1,
                     term,     committed_index,           {{term + 1, drain_command("x")}}};
  auto answer = send_request(cluster, follower, encode(request));
  run_for(cluster, 50 * millisecond);
  STRCMP_EQUAL("conflict", answer->c_str());
  LONGS_EQUAL(committed_index, status_number(cluster, follower, "agreed"));
  LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("first"));
}
