#include "runtime/loop_utilization.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(loop_utilization){};

TEST(loop_utilization, a_period_with_hardly_any_wait_is_overloaded) {
  auto utilization = loop_utilization(second);
  CHECK(!utilization.begin_wait(second + 60 * millisecond));
  utilization.end_wait(second + 70 * millisecond);
  auto report = utilization.begin_wait(second + 270 * millisecond);
  CHECK(report.has_value());
  LONGS_EQUAL(270 * millisecond, report->period);
  LONGS_EQUAL(260 * millisecond, report->busy);
  LONGS_EQUAL(200 * millisecond, report->longest_turn);
  CHECK(report->is_overloaded());
  STRCMP_EQUAL("the event loop was busy for 260 of 270 ms; its longest turn took 200 ms", report->to_text().c_str());
}

TEST(loop_utilization, each_period_counts_its_own_work) {
  auto utilization = loop_utilization(0);
  CHECK(utilization.begin_wait(300 * millisecond)->is_overloaded());
  utilization.end_wait(500 * millisecond);
  auto report = utilization.begin_wait(600 * millisecond);
  CHECK(report.has_value());
  LONGS_EQUAL(300 * millisecond, report->period);
  LONGS_EQUAL(100 * millisecond, report->busy);
  LONGS_EQUAL(100 * millisecond, report->longest_turn);
  CHECK(!report->is_overloaded());
}
