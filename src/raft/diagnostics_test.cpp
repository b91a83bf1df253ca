// Tests of the log lines that tell why the replicated log has no leader.
#include "raft/test_fleet.hpp"
#include "runtime/log.hpp"

// Included last because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;
using namespace reachridge::raft_tests;

namespace {
constexpr auto start_marker = "a test of diagnostics starts";

// Returns the lines of the log since the start of the test that contain `text`.
auto lines_with(const std::string& text) -> std::vector<std::string> {
  auto all_lines = recent_log();
  auto lines = std::istringstream(all_lines.substr(all_lines.rfind(start_marker)));
  auto found = std::vector<std::string>();
  for (auto line = std::string(); std::getline(lines, line);)
    if (line.find(text) != std::string::npos)
      found.push_back(line);
  return found;
}
auto contains(const std::string& line, const std::string& text) -> bool {
  return line.find(text) != std::string::npos;
}
}  // namespace

TEST_GROUP(raft_diagnostics){void setup() override{log(log_level::info, "tests", start_marker);
}
}
;
// Two of three voters are lost in two ways. The third one names both, at growing intervals.
TEST(raft_diagnostics, a_voter_without_a_leader_names_the_voters_it_lacks) {
  auto cluster = fleet(90, control_nodes_only(3));
  start_all(cluster);
  cluster.kill("queen-2");
  cluster.kill("queen-3");
  cluster.lose_disk("queen-3");
  cluster.start("queen-3");
  run_for(cluster, 20 * second);
  auto lines = lines_with("queen-1: no leader of the replicated log for");
  CHECK(lines.size() >= 3 && lines.size() <= 5);
  CHECK(contains(lines.back(), address_of(cluster, "queen-1") + " granted"));
  CHECK(contains(lines.back(), address_of(cluster, "queen-2") + " did not reply"));
  CHECK(contains(lines.back(), address_of(cluster, "queen-3") + " has a different disk"));
}
// An election after the loss of a leader is no reason for a report.
TEST(raft_diagnostics, a_short_time_without_a_leader_is_not_reported) {
  auto cluster = fleet(91, control_nodes_only(3));
  start_all(cluster);
  cluster.kill(cluster.leader());
  run_for(cluster, 5 * second);
  CHECK_FALSE(cluster.leader().empty());
  LONGS_EQUAL(0, lines_with("no leader of the replicated log for").size());
}
TEST(raft_diagnostics, a_start_reports_what_is_on_the_disk) {
  auto cluster = fleet(92, control_nodes_only(3));
  start_all(cluster);
  LONGS_EQUAL(3, lines_with("no replicated log yet, not a voter").size());
  cluster.kill("queen-2");
  cluster.start("queen-2");
  auto lines = lines_with("queen-2: disk " + raft_of(cluster, "queen-2").disk_id() + ": replicated log up to entry");
  LONGS_EQUAL(1, lines.size());
  CHECK(contains(lines.front(), "of term 1, term 1, one of 3 voters"));
}
// A seed with a blank disk that may not create a log waits for one. It says so once.
TEST(raft_diagnostics, a_blank_seed_that_waits_for_a_log_names_those_that_replied) {
  auto cluster = fleet(93, control_nodes_only(3));
  for (auto name : {"queen-1", "queen-2"}) {
    cluster.processes.at(name)->settings.may_bootstrap = false;
    cluster.start(name);
  }
  run_for(cluster, 10 * second);
  auto lines = lines_with("queen-1: waits for a replicated log: this control node may not create one");
  LONGS_EQUAL(1, lines.size());
  CHECK(contains(lines.front(), address_of(cluster, "queen-1")));
  CHECK_FALSE(contains(lines.front(), address_of(cluster, "queen-3")));
}
// A node that waits to join repeats its request several times a second, but not its line in the log.
TEST(raft_diagnostics, an_error_of_a_join_request_is_logged_once) {
  auto cluster = fleet(94, control_nodes_only(3));
  start_all(cluster);
  cluster.kill("queen-2");
  cluster.kill("queen-3");
  cluster.lose_disk("queen-3");
  cluster.start("queen-3");
  run_for(cluster, 10 * second);
  LONGS_EQUAL(1, lines_with("queen-3: join request failed: no leader of the replicated log is known").size());
}
