// Tests of the fence for operators' orders.
#include "control/order_fence.hpp"

#include "runtime/request_error.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto passes(const order_fence& fence, const std::string& name, log_index expected_last_order) -> bool {
  try {
    fence.check(name, expected_last_order);
  } catch (const request_error& error) {
    STRCMP_EQUAL("overtaken", error.code_text().c_str());
    LONGS_EQUAL(fence.index_of(name), get_int(error.details, "after"));
    return false;
  }
  return true;
}

}  // namespace

TEST_GROUP(order_fences){};

TEST(order_fences, an_order_passes_only_with_the_index_of_the_last_order) {
  auto fence = order_fence();
  CHECK(passes(fence, "a", 0));
  fence.record("a", 0, 7);
  CHECK(!passes(fence, "a", 0));
  CHECK(passes(fence, "a", 7));
  CHECK(!passes(fence, "a", 8));
  CHECK(passes(fence, "b", 0));  // each name has its own index
}

TEST(order_fences, an_evicted_name_does_not_return_to_an_earlier_index) {
  auto fence = order_fence();
  fence.record("first", 0, 1);
  for (auto i = std::size_t{0}; i < order_fence::max_names; ++i)
    fence.record("n" + std::to_string(i), 0, log_index(static_cast<std::int64_t>(i)) + 2);
  LONGS_EQUAL(1, fence.index_of("first"));  // evicted, so the floor applies
  LONGS_EQUAL(1, fence.index_of("nonexistent"));
  CHECK(!passes(fence, "first", 0));
  CHECK(!passes(fence, "nonexistent", 0));
  CHECK(passes(fence, "first", 1));
}

TEST(order_fences, a_snapshot_contains_the_whole_state) {
  auto fence = order_fence();
  for (auto i = std::size_t{0}; i < order_fence::max_names + 5; ++i)
    fence.record("n" + std::to_string(i), 0, log_index(static_cast<std::int64_t>(i)) + 1);
  auto again = order_fence::restore(fence.take_snapshot());
  CHECK(again.take_snapshot() == fence.take_snapshot());
  LONGS_EQUAL(5, again.index_of("n0"));
  // The snapshot of a release without a fence is null.
  CHECK(order_fence::restore(nullptr).take_snapshot() == order_fence().take_snapshot());
}

TEST(order_fences, orders_from_a_release_without_a_fence_pass_and_are_not_recorded) {
  auto fence = order_fence();
  fence.record("a", 0, 3);
  fence.check("a", std::nullopt);
  fence.record("a", std::nullopt, 9);
  LONGS_EQUAL(3, fence.index_of("a"));
}

TEST(order_fences, a_refused_order_is_not_recorded) {
  auto fence = order_fence();
  fence.check_and_record("a", 0, 3);
  CHECK_THROWS(request_error, fence.check_and_record("a", 0, 4));
  LONGS_EQUAL(3, fence.index_of("a"));
}
