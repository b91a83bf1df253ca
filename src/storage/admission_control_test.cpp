#include "storage/admission_control.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

constexpr auto lag_limit = 100 * millisecond;

// Reports a rising lag above the limit for the given number of rounds. Each round lowers the share.
auto throttle(admission_control& admission, int rounds, monotonic_time now) -> void {
  for (auto round = 1; round <= rounds; ++round)
    admission.adjust(lag_limit + round * millisecond, lag_limit, true, now);
}
}  // namespace

TEST_GROUP(admission_control){};

TEST(admission_control, every_publish_is_admitted_without_lag) {
  auto admission = admission_control();
  admission.restart(0);
  for (auto i = 0; i < 1000; ++i)
    CHECK(admission.try_admit(i * millisecond));
  LONGS_EQUAL(1000, admission.admitted());
  LONGS_EQUAL(0, admission.throttled());
}

TEST(admission_control, rising_lag_lowers_the_share_in_steps_down_to_the_minimum) {
  auto admission = admission_control();
  admission.restart(0);
  throttle(admission, 1, 0);
  DOUBLES_EQUAL(0.97, admission.share(), 1e-9);
  throttle(admission, 1000, 0);
  DOUBLES_EQUAL(0.05, admission.share(), 1e-9);
}

TEST(admission_control, falling_lag_keeps_the_share_and_low_lag_raises_it) {
  auto admission = admission_control();
  admission.restart(0);
  throttle(admission, 10, 0);
  auto share_before = admission.share();
  admission.adjust(lag_limit, lag_limit, true, 0);
  DOUBLES_EQUAL(share_before, admission.share(), 1e-9);
  admission.adjust(0, lag_limit, true, 0);
  DOUBLES_EQUAL(share_before + 0.01, admission.share(), 1e-9);
}

TEST(admission_control, lag_does_not_lower_the_share_if_throttling_is_disabled) {
  auto admission = admission_control();
  admission.restart(0);
  admission.adjust(lag_limit * 2, lag_limit, false, 0);
  DOUBLES_EQUAL(1, admission.share(), 1e-9);
}

TEST(admission_control, a_low_share_admits_that_share_of_the_peak_rate) {
  auto admission = admission_control();
  admission.restart(0);
  // 1000 publishes in one second set the peak rate.
  for (auto i = 0; i <= 1000; ++i)
    CHECK(admission.try_admit(i * millisecond));
  throttle(admission, 1000, second);
  auto admitted = 0;
  for (auto i = 1; i <= 1000; ++i)
    admitted += admission.try_admit(second + i * millisecond) ? 1 : 0;
  // The share is a twentieth of the peak rate. The bucket adds the tokens that it holds when throttling begins, which
  // are at most a quarter of a second of the rate.
  CHECK(admitted >= 40);
  CHECK(admitted <= 70);
  LONGS_EQUAL(1000 - admitted, admission.throttled());
}
