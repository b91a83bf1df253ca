#include "runtime/duration_statistics.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(duration_statistics){};

TEST(duration_statistics, a_period_reports_its_own_durations_only) {
  auto statistics = duration_statistics();
  statistics.add(10 * millisecond);
  statistics.add(25 * millisecond);
  auto report = statistics.end_period();
  LONGS_EQUAL(2, report.count);
  LONGS_EQUAL(17500, report.mean);
  LONGS_EQUAL(25000, report.longest);
  STRCMP_EQUAL("17.5 ms on average, at most 25.0 ms, 2 times", report.to_text().c_str());
  statistics.add(3 * millisecond);
  LONGS_EQUAL(25000, statistics.last_report().longest);
  LONGS_EQUAL(3000, statistics.end_period().longest);
  LONGS_EQUAL(3000, statistics.last_report().mean);
}

TEST(duration_statistics, a_period_without_durations_is_empty) {
  auto statistics = duration_statistics();
  auto report = statistics.end_period();
  LONGS_EQUAL(0, report.count);
  STRCMP_EQUAL("0.0 ms on average, at most 0.0 ms, 0 times", report.to_text().c_str());
}
