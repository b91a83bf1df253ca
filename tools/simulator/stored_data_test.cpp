// Checks that this release opens data stored in format 2 by an earlier release. The fixture holds a snapshot and later
// log entries, term and vote, partitions with messages, and a node removal that was ordered but not completed.
#include "raft/test_fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {

constexpr auto orders_before_snapshot = std::int64_t{520};  // two commands each; enough to trigger a snapshot

auto fleet_without_clients(std::uint64_t seed) -> fleet {
  auto shape = fleet_shape();
  shape.clients = 0;
  return fleet(seed, shape);
}

auto call_gateway(fleet& simulated, const std::string& method, const std::string& path, const std::string& body)
    -> http_reply {
  auto reply = std::make_shared<http_reply>();
  simulated.operator_tasks->spawn([](fleet& target_fleet, std::string request_method, std::string request_path,
                                     std::string request_body, std::shared_ptr<http_reply> out) -> task<void> {
    auto deadline = target_fleet.outside->now() + 2 * second;
    *out = co_await fetch(*target_fleet.outside, target_fleet.gateway_addresses[0], request_method, request_path,
                          request_body, deadline);
  }(simulated, method, path, body, reply));
  run_for(simulated, 2 * second);
  return *reply;
}

auto publish(fleet& simulated, int sequence) -> http_reply {
  auto number = std::to_string(sequence);
  return call_gateway(simulated, "POST", "/v1/publish",
                      R"({"name":"old","topic":"alerts/x","seq":)" + number + R"(,"body":"word )" + number + "\"}");
}

// Writes the fixture. Commit 88d735c produced the stored one.
auto write_fixture(const std::string& file) -> void {
  auto simulated = fleet_without_clients(31);
  CHECK(simulated.begin());
  for (auto sequence = 1; sequence <= 3; ++sequence)
    LONGS_EQUAL(200, publish(simulated, sequence).status);
  for (auto i = std::int64_t{0}; i < orders_before_snapshot; ++i) {
    propose(simulated, drain_command("gone"));
    propose(simulated, cancel_drain_command("gone"));
    run_for(simulated, 10 * millisecond);
  }
  propose(simulated, drain_command("kept"));
  propose(simulated, object{{"k", "leave"}, {"name", "comb-3"}, {"kind", "retire"}});
  run_for(simulated, 40 * millisecond);
  simulated.power("all", false);
  simulated.save_disks(file);
}

auto start_from_fixture(fleet& simulated) -> void {
  simulated.load_disks(std::string(REACHRIDGE_SOURCE) + "/fixtures/format-2.json");
  for (const auto& name : simulated.names("all"))
    simulated.start(name);
  run_for(simulated, 10 * second);
}

}  // namespace

TEST_GROUP(stored_data){};

TEST(stored_data, format_2_restores_the_control_state) {
  if (const auto* file = std::getenv("REACHRIDGE_SAVE_DISKS_2"))
    return write_fixture(file);
  auto simulated = fleet_without_clients(32);
  start_from_fixture(simulated);
  auto leader = simulated.leader();
  CHECK(!leader.empty());
  const auto& state = simulated.processes.at(leader)->control->state;
  LONGS_EQUAL(1, state.configuration->number);
  LONGS_EQUAL(1, state.drains.count("kept"));
  LONGS_EQUAL(0, state.drains.count("gone"));
  LONGS_EQUAL(1, state.drains.count("comb-3"));
  CHECK(raft_of(simulated, leader).commit_index() > 2 * orders_before_snapshot);
  for (const auto& name : simulated.names("queen"))
    LONGS_EQUAL(3, raft_of(simulated, name).voters().size());
}

TEST(stored_data, format_2_restores_messages_and_accepted_sequence_numbers) {
  auto simulated = fleet_without_clients(33);
  start_from_fixture(simulated);
  auto read = call_gateway(simulated, "GET", "/v1/read?name=me&topic=alerts/x&after=0", "");
  LONGS_EQUAL(200, read.status);
  auto rows = get_array(read.body, "rows");
  LONGS_EQUAL(3, rows.size());
  STRCMP_EQUAL("word 2", get_string(rows[1], "body").c_str());
  CHECK(get_bool(publish(simulated, 3).body, "repeat"));
  LONGS_EQUAL(200, publish(simulated, 4).status);
}

TEST(stored_data, format_2_resumes_an_ordered_removal) {
  auto simulated = fleet_without_clients(34);
  start_from_fixture(simulated);
  run_for(simulated, 20 * second);
  const auto& state = simulated.processes.at(simulated.leader())->control->state;
  LONGS_EQUAL(0, state.partitions_of("comb-3").size());
  CHECK(state.drains.at("comb-3").completed);
}
