#include "local_cluster/linearizability.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

auto put(std::int64_t number, const char* content, std::int64_t called, std::int64_t returned,
         order_outcome outcome = order_outcome::confirmed) -> operator_order {
  return {"a", order_kind::put_configuration, configuration_object, number, content, called, returned, outcome};
}
auto read(std::int64_t number, const char* content, std::int64_t called, std::int64_t returned) -> operator_order {
  return {"b",      order_kind::read_configuration, configuration_object, number, content, called,
          returned, order_outcome::confirmed};
}
auto begin(const char* kind, std::int64_t called, std::int64_t returned,
           order_outcome outcome = order_outcome::confirmed) -> operator_order {
  return {"a", order_kind::order_drain, "node", 0, kind, called, returned, outcome};
}
auto withdraw(std::int64_t called, std::int64_t returned, order_outcome outcome = order_outcome::confirmed)
    -> operator_order {
  return {"a", order_kind::withdraw_drain, "node", 0, "", called, returned, outcome};
}
auto read_kind(const char* kind, std::int64_t called, std::int64_t returned) -> operator_order {
  return {"b", order_kind::read_drain, "node", 0, kind, called, returned, order_outcome::confirmed};
}
constexpr auto refused = order_outcome::refused;
constexpr auto unknown = order_outcome::unknown;

auto is_linearizable(const std::vector<operator_order>& history) -> bool {
  return !find_unexplained(history);
}
}  // namespace

TEST_GROUP(linearizability){};
TEST(linearizability, empty_and_sequential_histories_are_linearizable) {
  CHECK(is_linearizable({}));
  CHECK(is_linearizable({put(1, "x", 0, 1), read(1, "x", 2, 3), put(2, "y", 4, 5), read(2, "y", 6, 7)}));
}
TEST(linearizability, concurrent_read_may_return_old_or_new_state) {
  CHECK(is_linearizable({put(1, "x", 0, 10), read(0, "", 2, 3), read(1, "x", 4, 5)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 10), read(1, "x", 2, 3), read(0, "", 4, 5)}));
}
TEST(linearizability, reads_return_the_confirmed_configuration) {
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 1), read(0, "", 2, 3)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 1), put(2, "y", 2, 3), read(1, "x", 4, 5)}));
}
TEST(linearizability, each_number_has_one_content) {
  CHECK(is_linearizable({put(1, "x", 0, 9), put(1, "y", 0, 9, refused), read(1, "x", 10, 11)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 9), put(1, "y", 0, 9)}));
  CHECK(is_linearizable({put(1, "x", 0, 9), put(1, "x", 5, 12)}));
}
TEST(linearizability, highest_number_wins) {
  CHECK(is_linearizable({put(7, "x", 0, 1), put(5, "y", 2, 3, refused), read(7, "x", 4, 5)}));
  CHECK_FALSE(is_linearizable({put(7, "x", 0, 1), put(5, "y", 2, 3)}));
}
TEST(linearizability, refusal_needs_a_reason_and_is_final) {
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 1, refused)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 1), put(1, "x", 2, 3, refused)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 9), put(1, "y", 0, 9, refused), read(1, "y", 10, 11)}));
}
TEST(linearizability, unanswered_order_is_carried_out_at_most_once) {
  CHECK(is_linearizable({put(1, "x", 0, 1, unknown), read(0, "", 2, 3)}));
  CHECK(is_linearizable({put(1, "x", 0, 1, unknown), read(0, "", 2, 3), read(1, "x", 4, 5)}));
  CHECK(is_linearizable({put(1, "x", 0, 1, unknown), put(1, "y", 2, 3, refused), read(1, "x", 4, 5)}));
  CHECK_FALSE(is_linearizable({put(1, "x", 0, 1, unknown), read(1, "x", 2, 3), read(0, "", 4, 5)}));
  CHECK_FALSE(is_linearizable(
      {begin("evacuate", 0, 1, unknown), read_kind("evacuate", 2, 3), withdraw(4, 5), read_kind("evacuate", 6, 7)}));
}
TEST(linearizability, unanswered_order_is_fenced_by_a_newer_one) {
  auto late_order = std::vector<operator_order>{begin("evacuate", 0, 5, unknown), begin("evacuate", 6, 7),
                                                withdraw(8, 9), read_kind("evacuate", 10, 11)};
  CHECK_FALSE(is_linearizable(late_order));
  auto unfenced = order_rules();
  unfenced.given_up_orders_are_fenced = false;
  CHECK(!find_unexplained(late_order, unfenced));
  // If the newer order is sent before the timeout of the older one, either may be carried out last.
  CHECK(is_linearizable({begin("evacuate", 0, 9, unknown), withdraw(8, 12), read_kind("evacuate", 13, 14)}));
}
TEST(linearizability, retirement_is_not_replaced_by_another_drain) {
  CHECK(is_linearizable({begin("retire", 0, 1), begin("drain", 2, 3, refused), withdraw(4, 5), begin("drain", 6, 7)}));
  CHECK(is_linearizable({begin("retire", 0, 1), withdraw(2, 3, refused), read_kind("retire", 4, 5)}));
  CHECK_FALSE(is_linearizable({begin("retire", 0, 1), begin("drain", 2, 3)}));
  CHECK_FALSE(is_linearizable({begin("drain", 0, 1), withdraw(2, 3, refused)}));
}
TEST(linearizability, objects_are_checked_separately) {
  auto other_node = read_kind("", 4, 5);
  other_node.object = "another node";
  CHECK(is_linearizable({put(1, "x", 0, 1), begin("drain", 2, 3), other_node, read_kind("drain", 6, 7)}));
}
TEST(linearizability, contradiction_is_minimized) {
  auto history = std::vector<operator_order>();
  for (auto i = std::int64_t{1}; i <= 8; ++i) {
    history.push_back(put(i, "x", i * 10, i * 10 + 5));
    history.push_back(read(i, "x", i * 10 + 6, i * 10 + 7));
  }
  history.push_back(put(9, "lost", 88, 89, unknown));
  history.push_back(read(3, "x", 90, 91));
  history.push_back(read(8, "x", 92, 93));
  auto found = find_unexplained(history);
  CHECK(found.has_value());
  STRCMP_EQUAL("configuration", found->object.c_str());
  // The part consists of the stale read and of an earlier confirmation of a newer configuration.
  LONGS_EQUAL_TEXT(2, found->orders.size(), to_text(*found).c_str());
  LONGS_EQUAL(3, found->orders.back().number);
}
TEST(linearizability, search_handles_eight_concurrent_operators) {
  auto history = std::vector<operator_order>();
  for (auto round = std::int64_t{0}; round < 12; ++round)
    for (auto client = std::int64_t{0}; client < 8; ++client) {
      auto from = round * 100 + client;
      history.push_back(client % 2 ? begin("drain", from, from + 90) : withdraw(from, from + 90));
      if (client == 3)
        history.back().outcome = unknown;
    }
  history.push_back(read_kind("", 2000, 2001));
  CHECK(is_linearizable(history));
}
