// Bounds in bytes: what the log keeps, what is sent at once, and how long it takes to bring a voter up (design 4.7).
#include "raft/test_fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
constexpr auto large = std::size_t{70} << 10;  // bytes, as a large configuration

// Names of about `large` bytes.
auto large_name(int i) -> std::string {
  return "node-" + std::to_string(i) + "-" + std::string(large, 'x');
}

// Large commands that overtake each other: the log grows and the state does not. Gives the most bytes that any control
// node kept in its log.
auto churn(fleet& cluster, int rounds) -> std::size_t {
  auto most = std::size_t{0};
  for (auto i = 0; i < rounds; ++i) {
    propose(cluster, drain_command(large_name(0)));
    propose(cluster, cancel_drain_command(large_name(0)));
    run_for(cluster, 15 * millisecond);
    for (const auto& name : cluster.names("queen"))
      if (cluster.processes.at(name)->up())
        most = std::max(most, raft_of(cluster, name).log_bytes());
  }
  return most;
}
// Makes the state as large as `count` large names.
auto fill(fleet& cluster, int count) -> void {
  for (auto i = 0; i < count; ++i) {
    propose(cluster, drain_command(large_name(i)));
    run_for(cluster, 20 * millisecond);
  }
}
auto caught_up(fleet& cluster, const std::string& name) -> bool {
  auto lead = cluster.leader();
  return !lead.empty() && raft_of(cluster, name).commit_index() == raft_of(cluster, lead).commit_index();
}
// A state of four megabytes, and a voter without a disk, not started: its name.
auto empty_one_beside_a_large_state(fleet& cluster) -> std::string {
  auto follower = other_control_node(cluster, cluster.leader());
  fill(cluster, 60);
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
TEST(raft_recovery, the_log_is_bounded_in_bytes) {
  auto cluster = fleet(51, control_nodes_only(3));
  start_all(cluster);
  auto most = churn(cluster, 400);
  CHECK(most > (std::size_t{1} << 20));
  CHECK(most <= compaction_threshold_bytes + max_tail_bytes + 8 * large);
  auto lead = cluster.leader();
  auto on_disk = std::size_t{0};
  for (const auto& [key, value] : cluster.processes.at(lead)->machine->durable)
    on_disk += value.size();
  CHECK(on_disk <= compaction_threshold_bytes + 8 * large);
}
// Down through thousands of changes, or emptied: it has all again within two seconds.
TEST(raft_recovery, a_voter_is_brought_up_in_bounded_time) {
  for (auto emptied : {false, true}) {
    auto cluster = fleet(52, control_nodes_only(3));
    start_all(cluster);
    auto lead = cluster.leader();
    auto follower = other_control_node(cluster, lead);
    fill(cluster, 30);
    cluster.kill(follower);
    churn(cluster, 80);
    for (auto i = 0; i < 3000; ++i) {
      propose(cluster, drain_command("small"));
      propose(cluster, cancel_drain_command("small"));
      if (i % 10 == 0)
        run_for(cluster, 10 * millisecond);
    }
    STRCMP_EQUAL(lead.c_str(), cluster.leader().c_str());
    if (emptied)
      cluster.lose_disk(follower);
    cluster.start(follower);
    auto took = run_until(cluster, 10 * second, [&] {
      return caught_up(cluster, follower) && is_voter(cluster, follower);
    });
    CHECK(took < 2 * second);
    CHECK(cluster.leader() == lead);
  }
}
// The changes go on while the emptied one comes back, and it is not replaced meanwhile.
TEST(raft_recovery, an_emptied_voter_joins_again_under_random_faults) {
  auto cluster = fleet(53, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = other_control_node(cluster, lead);
  fill(cluster, 30);
  cluster.kill(follower);
  cluster.lose_disk(follower);
  churn(cluster, 100);
  cluster.start(follower);
  for (auto i = 0; i < 100 && !is_voter(cluster, follower); ++i)
    churn(cluster, 2);
  CHECK(is_voter(cluster, follower));
  cluster.kill(lead);
  auto took = run_until(cluster, 5 * second, [&] {
    return !cluster.leader().empty();
  });
  CHECK(took < 2 * second);
}
// Several megabytes over a link of half a megabyte a second take many times `lose`: nobody is thought silent meanwhile,
// and the leader stays.
TEST(raft_recovery, a_large_snapshot_over_a_slow_link_ends_no_leadership) {
  auto cluster = fleet(54, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = empty_one_beside_a_large_state(cluster);
  run_for(cluster, 500 * millisecond);
  cluster.network.latency = 40 * millisecond;
  auto term = status_number(cluster, lead, "term");
  cluster.start(follower);
  auto took = run_until(cluster, 60 * second, [&] {
    return is_voter(cluster, follower);
  });

  CHECK(took > 3 * second);
  CHECK(took < 10 * second);
  CHECK(cluster.leader() == lead);
  LONGS_EQUAL(term, status_number(cluster, lead, "term"));
  LONGS_EQUAL(59, cluster.processes.at(follower)->control->state.drains.size());  // the churn took one back
}
// Entries are sent a window at a time: a frame of them all would not be answered in time, ever.
TEST(raft_recovery, entries_go_over_a_slow_link_in_parts) {
  auto cluster = fleet(57, control_nodes_only(3));
  start_all(cluster);
  auto follower = other_control_node(cluster, cluster.leader());
  cluster.kill(follower);
  churn(cluster, 13);
  cluster.network.latency = 40 * millisecond;
  cluster.start(follower);
  auto took = run_until(cluster, 20 * second, [&] {
    return caught_up(cluster, follower);
  });
  CHECK(took < 8 * second);
}
// What fits into no frame would hold up everything behind it.
TEST(raft_recovery, a_command_that_fits_into_no_frame_is_refused) {
  auto cluster = fleet(58, control_nodes_only(3));
  start_all(cluster);
  auto answer = propose(cluster, drain_command(std::string(5 << 20, 'x')));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("too_large", answer->c_str());
  answer = propose(cluster, drain_command("small"));
  run_for(cluster, 100 * millisecond);
  STRCMP_EQUAL("{\"ok\":true}", answer->c_str());
}
// The link breaks many times on the way: parts that have come are not sent again.
TEST(raft_recovery, a_transfer_goes_on_where_it_was_cut_off) {
  auto cluster = fleet(55, control_nodes_only(3));
  start_all(cluster);
  auto lead = cluster.leader();
  auto follower = empty_one_beside_a_large_state(cluster);
  cluster.network.latency = 40 * millisecond;
  cluster.start(follower);
  auto began = cluster.network.bytes;
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
  LONGS_EQUAL(59, cluster.processes.at(follower)->control->state.drains.size());  // the churn took one back
  CHECK(cluster.network.bytes - began < std::size_t{3} * 60 * large);
}
// Loss of power of all, at any moment in which snapshots replace entries: what was confirmed is there.
TEST(raft_recovery, nothing_is_lost_while_the_log_is_cut) {
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
    auto took = run_until(cluster, 5 * second, [&] {
      return !cluster.leader().empty() && raft_of(cluster, cluster.leader()).leadership_established();
    });
    CHECK(took < 5 * second);
    const auto& state = cluster.processes.at(cluster.leader())->control->state;
    for (auto i = std::size_t{0}; i < answers.size(); ++i)
      if (*answers[i] == "{\"ok\":true}")
        LONGS_EQUAL(1, state.drains.count("n" + std::to_string(i)));
  }
}

// Parts that are foreign, out of order or altered are refused by name, change nothing, and end nothing.
TEST_GROUP(raft_snapshot_chunks) {
  fleet cluster{61, control_nodes_only(3)};
  std::string lead;
  std::string follower;
  std::string image;

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
    image = serialize_snapshot(content);
  }
  auto chunk(std::int64_t offset, std::size_t length)->snapshot_chunk {
    auto size = static_cast<std::int64_t>(image.size());
    return {status_number(cluster, lead, "term"),
            address_of(cluster, lead),
            raft_of(cluster, follower).disk_id(),
            1000,
            status_number(cluster, lead, "term"),
            size,
            checksum_of(image),
            offset,
            image.substr(static_cast<std::size_t>(offset), length)};
  }
  auto reply_to(const snapshot_chunk& request)->std::string {
    auto answer = send_request(cluster, follower, encode(request));
    run_for(cluster, 50 * millisecond);
    return *answer;
  }
  auto check_unharmed()->void {
    CHECK(status_number(cluster, follower, "agreed") < 1000);
    CHECK(cluster.leader() == lead);
    auto put = propose(cluster, drain_command("after"));
    run_for(cluster, 200 * millisecond);
    CHECK(put->find("\"ok\":true") != std::string::npos);
    LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("before"));
    LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("after"));
  }
};
TEST(raft_snapshot_chunks, one_out_of_order_is_not_taken) {
  auto answer = reply_to(chunk(10, 10));
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":0") != std::string::npos);
  reply_to(chunk(0, 10));
  answer = reply_to(chunk(20, 10));
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":10") != std::string::npos);
  answer = reply_to(chunk(0, 10));  // doubled
  CHECK(answer.find("\"next\":10") != std::string::npos);
  check_unharmed();
}
TEST(raft_snapshot_chunks, one_of_another_disk_or_snapshot_is_not_taken) {
  auto foreign = chunk(0, 10);
  foreign.target_disk = "another";
  CHECK(reply_to(foreign).find("\"ok\":false") != std::string::npos);
  reply_to(chunk(0, 10));
  auto other = chunk(10, 10);
  other.checksum ^= 1;
  auto answer = reply_to(other);
  CHECK(answer.find("\"ok\":false") != std::string::npos);
  CHECK(answer.find("\"next\":0") != std::string::npos);
  check_unharmed();
}
TEST(raft_snapshot_chunks, an_altered_or_truncated_whole_is_refused) {
  auto altered = chunk(0, image.size());
  altered.data[image.size() / 2] ^= 1;
  STRCMP_EQUAL("malformed", reply_to(altered).c_str());
  image.resize(image.size() - 5);  // truncated, with a checksum that fits
  STRCMP_EQUAL("malformed", reply_to(chunk(0, image.size())).c_str());
  image = encode_with_checksum(object{{"idx", 1000}});  // whole, and no snapshot
  STRCMP_EQUAL("malformed", reply_to(chunk(0, image.size())).c_str());
  auto content = snapshot{
      1000, status_number(cluster, lead, "term"), {{{"10.7.7.1:1", "x"}}, {}}, "", value(object{{"format", 1}})};
  image = serialize_snapshot(content);  // a snapshot, and its state is none
  STRCMP_EQUAL("malformed", reply_to(chunk(0, image.size())).c_str());
  content.state = cluster.processes.at(lead)->control->state.take_snapshot();
  content.index = 900;
  image = serialize_snapshot(content);  // whole, and not the one that was named
  STRCMP_EQUAL("malformed", reply_to(chunk(0, image.size())).c_str());
  check_unharmed();
}
// A committed entry is never written over, whoever says so.
TEST(raft_snapshot_chunks, an_entry_in_place_of_a_committed_one_is_refused) {
  propose(cluster, drain_command("first"));
  run_for(cluster, 200 * millisecond);
  auto at = status_number(cluster, follower, "agreed");
  auto term = status_number(cluster, lead, "term");
  auto request =
      append_request{term + 1, address_of(cluster, lead),       raft_of(cluster, follower).disk_id(), at - 1, term,
                     at,       {{term + 1, drain_command("x")}}};
  auto answer = send_request(cluster, follower, encode(request));
  run_for(cluster, 50 * millisecond);
  STRCMP_EQUAL("conflict", answer->c_str());
  LONGS_EQUAL(at, status_number(cluster, follower, "agreed"));
  LONGS_EQUAL(1, cluster.processes.at(follower)->control->state.drains.count("first"));
}
