#include "simulator/capacity.hpp"

#include "rpc/peer_connection.hpp"
#include "runtime/request_error.hpp"
#include "simulator/simulated_network.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {
constexpr auto machine_bytes = std::int64_t{32} << 30;
auto error_of(const fleet_load& load, std::int64_t memory = machine_bytes) -> std::string {
  try {
    check_limits(load, memory);
  } catch (const request_error& failure) {
    return failure.code_text() + ": " + failure.message;
  }
  return {};
}
auto mentions(const std::string& error, const char* text) -> bool {
  return error.find(text) != std::string::npos;
}
}  // namespace

TEST_GROUP(capacity_shapes){};
TEST(capacity_shapes, errors_name_the_value_out_of_range) {
  STRCMP_EQUAL("", error_of({25, 48, 0, 0}).c_str());
  STRCMP_EQUAL("", error_of({7, 1, 1000, 4000}).c_str());
  CHECK(mentions(error_of({0, 48, 0, 0}), "fleet: 0 is outside"));
  CHECK(mentions(error_of({6, 48, 0, 0}), "fleet: 6 is outside"));
  CHECK(mentions(error_of({100000, 48, 0, 0}), "fleet: 100000 is outside"));
  CHECK(mentions(error_of({25, 0, 0, 0}), "cells: 0 is outside"));
  CHECK(mentions(error_of({25, 1025, 0, 0}), "cells: 1025 is outside"));
  CHECK(mentions(error_of({25, 48, -1, 0}), "rate: -1 is outside"));
  CHECK(mentions(error_of({25, 48, 0, 4001}), "listeners: 4001 is outside"));
}
TEST(capacity_shapes, a_fleet_needing_over_half_of_the_memory_is_rejected) {
  auto load = fleet_load{400, 48, 0, 0};
  auto needed = memory_of(load);
  STRCMP_EQUAL("", error_of(load, needed * 2).c_str());
  CHECK(mentions(error_of(load, needed * 2 - 2), "memory: a fleet of 400 nodes and 48 cells"));
}
TEST(capacity_shapes, no_fleet_starts_if_one_is_out_of_range) {
  auto plan = sweep_plan();
  plan.nodes = {7, 100000};
  CHECK_THROWS(request_error, run_sweeps(plan));
}
TEST(capacity_shapes, every_node_has_a_role) {
  for (auto node_count : {7, 8, 25, 50, 800}) {
    auto load = fleet_load{node_count, 48, 0, 0};
    CHECK_EQUAL(node_count, 3 + load.storage_nodes() + load.gateways());
    CHECK(load.storage_nodes() >= 2);
    CHECK(load.gateways() >= 2);
  }
}

TEST_GROUP(capacity_slopes){};
TEST(capacity_slopes, fit_reproduces_points_on_a_line) {
  auto polynomial = fit({{25, 57}, {50, 107}, {100, 207}}, 1);
  DOUBLES_EQUAL(7, polynomial.coefficients[0], 1e-9);
  DOUBLES_EQUAL(2, polynomial.coefficients[1], 1e-9);
  DOUBLES_EQUAL(0, polynomial.relative_error, 1e-9);
  DOUBLES_EQUAL(10407, polynomial.at(5200), 1e-6);
}
TEST(capacity_slopes, fit_minimizes_squared_residuals) {
  auto polynomial = fit({{0, 0}, {1, 2}, {2, 2}}, 1);
  DOUBLES_EQUAL(1.0 / 3, polynomial.coefficients[0], 1e-9);
  DOUBLES_EQUAL(1, polynomial.coefficients[1], 1e-9);
  DOUBLES_EQUAL(1.0 / 3, polynomial.relative_error, 1e-9);  // a residual of 2/3 at a largest value of 2
}
TEST(capacity_slopes, fit_growth_uses_a_parabola_only_if_a_line_misses) {
  auto parabola = fit_growth({{25, 625}, {50, 2500}, {100, 10000}, {200, 40000}});
  CHECK_EQUAL(3U, parabola.coefficients.size());
  DOUBLES_EQUAL(1, parabola.coefficients[2], 1e-6);
  DOUBLES_EQUAL(27040000, parabola.at(5200), 10);
  CHECK_EQUAL(2U, fit_growth({{25, 25}, {50, 51}, {100, 99}, {200, 200}}).coefficients.size());
}
TEST(capacity_slopes, fit_rejects_a_line_through_one_point) {
  CHECK_THROWS(request_error, fit({{25, 1}, {25, 2}}, 1));
}

// Each side counts the frames and bytes that it sent or received.
TEST_GROUP(capacity_counts){};
namespace {
// Two processes on one machine or on two machines, connected by one stream that has carried three sends.
struct host_pair {
  explicit host_pair(bool apart) : simulation(7) {
    auto& first_machine = simulation.machine_at("a", "z1");
    auto& second_machine = apart ? simulation.machine_at("b", "z2") : first_machine;
    first_host = std::make_unique<sim_host>(simulation, first_machine, false, 1);
    second_host = std::make_unique<sim_host>(simulation, second_machine, false, 2);
    first_tasks = std::make_unique<task_group>(*first_host);
    second_tasks = std::make_unique<task_group>(*second_host);
    second_listener = second_host->listen(second_machine.ip + ":7000");
    second_tasks->spawn([](host_pair& hosts) -> task<void> {
      hosts.second_end = co_await hosts.second_listener->accepted.pop(*hosts.second_host);
    }(*this));
    first_tasks->spawn([](host_pair& hosts, std::string address) -> task<void> {
      auto stream = co_await hosts.first_host->connect(address, second);
      for (auto size : {10, 20, 100000})
        stream->send(std::string(static_cast<std::size_t>(size), 'x'));
      hosts.first_end = stream;
    }(*this, second_machine.ip + ":7000"));
    simulation.run(second);
  }
  simulated_network simulation;
  std::unique_ptr<sim_host> first_host, second_host;
  std::unique_ptr<task_group> first_tasks, second_tasks;
  std::unique_ptr<listener> second_listener;
  byte_stream_ptr first_end, second_end;
};
}  // namespace
TEST(capacity_counts, traffic_between_machines) {
  auto hosts = host_pair(true);
  CHECK_EQUAL(100030U, hosts.second_end->input.size());
  CHECK_EQUAL(3U, hosts.first_host->activity.frames_out);
  CHECK_EQUAL(100030U, hosts.first_host->activity.bytes_out);
  CHECK_EQUAL(0U, hosts.first_host->activity.bytes_in);
  CHECK_EQUAL(3U, hosts.second_host->activity.frames_in);
  CHECK_EQUAL(100030U, hosts.second_host->activity.bytes_in);
  CHECK_EQUAL(0U, hosts.first_host->activity.near_bytes + hosts.second_host->activity.near_bytes);
  CHECK(hosts.first_host->activity.resumes > 0);
}
TEST(capacity_counts, traffic_inside_a_machine) {
  auto hosts = host_pair(false);
  CHECK_EQUAL(3U, hosts.first_host->activity.near_frames);
  CHECK_EQUAL(100030U, hosts.second_host->activity.near_bytes);
  CHECK_EQUAL(0U, hosts.first_host->activity.bytes_out + hosts.second_host->activity.bytes_in);
}

TEST_GROUP(capacity_fleets){};
TEST(capacity_fleets, counts_repeat_exactly) {
  auto first_run = measure({8, 4, 0, 0}, 1, second), second_run = measure({8, 4, 0, 0}, 1, second);
  for (const auto* role : {"queen", "comb", "forager", "scout"})
    for (const auto* figure :
         {"frames_out", "frames_in", "bytes_out", "bytes_in", "near_bytes", "resumes", "timers", "pull_bytes"}) {
      DOUBLES_EQUAL(first_run.roles[role][figure], second_run.roles[role][figure], 0);
      CHECK(std::string(figure).substr(0, 4) == "near" || first_run.roles[role][figure] > 0);
    }
  CHECK_EQUAL(3, first_run.processes["queen"]);
  CHECK_EQUAL(2, first_run.processes["comb"]);
  CHECK_EQUAL(3, first_run.processes["forager"]);
  CHECK(first_run.fleet["loss_bytes"] > 0);
  CHECK(first_run.fleet["charter_bytes"] >= first_run.fleet["charter_body"] / 2);
}
// An idle gateway sends only heartbeats: one to each storage node per two fifths of lose_ms (design 3.3).
TEST(capacity_fleets, each_storage_node_adds_heartbeats_of_a_gateway) {
  auto small_fleet = measure({12, 4, 0, 0}, 1, second), large_fleet = measure({20, 4, 0, 0}, 1, second);
  auto added_storage_nodes =
      static_cast<double>(fleet_load{20, 4, 0, 0}.storage_nodes() - fleet_load{12, 4, 0, 0}.storage_nodes());
  DOUBLES_EQUAL(2.5 * added_storage_nodes,
                large_fleet.roles["forager"]["frames_out"] - small_fleet.roles["forager"]["frames_out"], 1);
}
TEST(capacity_fleets, messages_are_delivered_to_listeners) {
  auto measurement = measure({8, 4, 40, 32}, 1, 2 * second);
  CHECK(measurement.fleet["messages"] > 20);
  DOUBLES_EQUAL(measurement.fleet["messages"] * 2, measurement.fleet["deliveries"], measurement.fleet["messages"] / 5);
}
TEST(capacity_fleets, growth_and_slopes_are_computed_from_the_measurements) {
  auto plan = sweep_plan();
  plan.nodes = {8, 16};
  plan.partitions = {4, 16};
  plan.span = second;
  auto survey = run_sweeps(plan);
  auto ratios = growth(survey);
  CHECK(ratios["frames"] > 0.5);
  DOUBLES_EQUAL(ratios["frames"], ratios["frames_last"] / ratios["frames_first"], 1e-9);
  auto json = to_value(survey);
  CHECK_EQUAL(2U, get_array(json, "nodes").size());
  CHECK(get_value(get_value(get_value(json, "slopes"), "comb"), "frames_out").is_object());
  CHECK(to_text(survey).find("full size: 5200 nodes") != std::string::npos);
}
