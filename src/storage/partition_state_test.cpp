#include "storage/partition_state.hpp"

#include <algorithm>

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using reachridge::clock_advance;
using reachridge::close_subscription_entry;
using reachridge::partition_state;
using reachridge::publish_entry;
using reachridge::sequence_status;
using reachridge::subscribe_entry;

constexpr auto topic = "a/x";
constexpr auto other_topic = "a/y";
constexpr auto pool_retention_ms = 35000;

auto publish(const std::string& client, int sequence, const std::string& to = topic) -> publish_entry {
  return {to, client, sequence, "hello", 0, {}};
}
auto publish_retained(const std::string& client, int sequence, const std::string& to, std::int64_t retention_ms)
    -> publish_entry {
  return {to, client, sequence, "hello", 0, retention_ms};
}
auto elapse(std::int64_t milliseconds) -> clock_advance {
  return {milliseconds};
}
auto subscribe(const std::string& id, std::int64_t after) -> subscribe_entry {
  return {id, topic, "w", after};
}

auto state_with_retention() -> partition_state {
  auto state = partition_state();
  state.retention_ms = pool_retention_ms;
  return state;
}
auto is_subscription_opened(const reachridge::output& produced) -> bool {
  return std::holds_alternative<reachridge::subscription_opened>(produced);
}
auto is_resume_expired(const reachridge::output& produced) -> bool {
  return std::holds_alternative<reachridge::resume_expired>(produced);
}

}  // namespace

TEST_GROUP(partition_state_entries){};

// Guards against a message that is delivered twice: its accepted number was called too low for ever after 256 further
// numbers that did not follow each other, and the client sent the message again under a new number.
TEST(partition_state_entries, an_accepted_number_is_known_for_the_resend_window_whatever_comes_after_it) {
  constexpr auto later_numbers = 5000;
  constexpr auto step_ms = 2;
  for (auto retention_ms : {0, pool_retention_ms}) {
    auto state = partition_state();
    state.retention_ms = retention_ms;
    auto position = 0;
    // Two clients use two topics in turn, so that no two accepted numbers of a client and a topic follow each other.
    for (auto number = 1; number <= later_numbers; ++number)
      for (const auto* client : {"c", "d"}) {
        state.apply(++position, elapse(step_ms / 2));
        state.apply(++position, publish(client, number, number % 2 ? topic : other_topic));
      }
    constexpr auto numbers_in_window = 10000 / step_ms;
    for (auto number = later_numbers - numbers_in_window + 1; number <= later_numbers; ++number) {
      const auto* used_topic = number % 2 ? topic : other_topic;
      const auto* unused_topic = number % 2 ? other_topic : topic;
      CHECK(state.check_sequence("c", used_topic, number) == sequence_status::duplicate);
      if (number < later_numbers - 1)
        CHECK(state.check_sequence("c", unused_topic, number) == sequence_status::below_highest);
    }
  }
}
// After the resend window, and after its message has expired, a number may be called too low, but is never accepted.
TEST(partition_state_entries, an_accepted_number_is_not_accepted_again_after_the_resend_window) {
  auto state = partition_state();
  for (auto number = 1; number <= 600; ++number)
    state.apply(number, publish("c", number, number % 2 ? topic : other_topic));
  state.apply(601, elapse(13000));
  LONGS_EQUAL(0, state.topics[topic].messages.size());
  CHECK(state.check_sequence("c", topic, 1) == sequence_status::below_highest);
  CHECK(state.apply(602, publish("c", 1)).empty());
}

TEST(partition_state_entries, a_duplicate_and_a_late_sequence_number_are_recognized) {
  auto state = partition_state();
  state.apply(1, publish("c", 5));
  state.apply(2, publish("c", 7));
  CHECK(state.check_sequence("c", topic, 5) == sequence_status::duplicate);
  CHECK(state.check_sequence("c", topic, 6) == sequence_status::below_highest);
  CHECK(state.check_sequence("c", topic, 8) == sequence_status::above_highest);
  CHECK(state.check_sequence("d", topic, 1) == sequence_status::above_highest);
  CHECK(state.apply(3, publish("c", 6)).empty());
  LONGS_EQUAL(2, state.topics[topic].messages.size());
}

TEST(partition_state_entries, a_publish_is_acknowledged_and_delivered) {
  auto state = partition_state();
  state.apply(1, subscribe("s", -1));
  state.apply(2, subscribe("r", -1));
  auto outputs = state.apply(3, publish("c", 5));
  LONGS_EQUAL(2, outputs.size());
  const auto& accepted = std::get<reachridge::publish_accepted>(outputs[0]);
  STRCMP_EQUAL("c", accepted.sender.c_str());
  STRCMP_EQUAL(topic, accepted.topic.c_str());
  LONGS_EQUAL(5, accepted.sequence);
  LONGS_EQUAL(3, accepted.position);
  const auto& delivery = std::get<reachridge::message_delivery>(outputs[1]);
  CHECK((delivery.subscription_ids == std::vector<std::string>{"r", "s"}));
  LONGS_EQUAL(3, delivery.message.position);
  STRCMP_EQUAL("hello", delivery.message.body.c_str());
}

TEST(partition_state_entries, resume_delivers_missed_messages_and_fails_only_if_one_expired) {
  auto state = state_with_retention();
  state.apply(1, publish("c", 1));
  state.apply(2, elapse(30000));
  state.apply(3, publish("c", 2));
  auto outputs = state.apply(4, subscribe("s", 0));
  LONGS_EQUAL(3, outputs.size());
  CHECK(is_subscription_opened(outputs[0]));
  LONGS_EQUAL(3, state.subscriptions["s"].last_position);
  state.apply(5, elapse(7000));  // the first message is 37 s old, the second message is 7 s old
  CHECK(is_resume_expired(state.apply(6, subscribe("s", 0))[0]));
  CHECK(is_subscription_opened(state.apply(7, subscribe("s", 1))[0]));
}

TEST(partition_state_entries, unused_topics_are_removed) {
  auto state = state_with_retention();
  auto most_topics = std::size_t{0};
  for (auto i = 1; i <= 3000; ++i) {  // one new topic every six seconds for five hours
    state.apply(std::int64_t{i} * 2, publish("c" + std::to_string(i), 1, "a/t" + std::to_string(i)));
    state.apply(i * 2 + 1, elapse(6000));
    most_topics = std::max(most_topics, state.topics.size());
    CHECK(state.accepted_sequences.size() <= state.topics.size() + 1);
  }
  CHECK(most_topics >= 100);  // a topic is kept for ten minutes after its last use
  CHECK(most_topics <= 110);
  // A topic with a subscription, with a retained message, or in its resend window is not removed.
  state.apply(7001, subscribe("s", -1));
  state.apply(7002, elapse(3600000));
  LONGS_EQUAL(1, state.topics.size());
  state.apply(7003, publish("c", 1));
  state.apply(7004, close_subscription_entry{"s"});
  state.apply(7005, elapse(30000));
  LONGS_EQUAL(1, state.topics.size());
  LONGS_EQUAL(1, state.topics[topic].messages.size());
  state.apply(7006, elapse(700000));
  LONGS_EQUAL(0, state.topics.size());
  CHECK(is_subscription_opened(state.apply(7007, subscribe("s", 7003))[0]));
}

TEST(partition_state_entries, a_snapshot_contains_the_whole_state) {
  auto state = partition_state();
  state.apply(1, subscribe("s", -1));
  state.apply(2, publish("c", 5));
  state.apply(3, elapse(1200));
  auto restored = partition_state::restore(state.take_snapshot());
  CHECK(restored.take_snapshot() == state.take_snapshot());
  auto outputs = state.apply(4, publish("c", 6));
  auto restored_outputs = restored.apply(4, publish("c", 6));
  LONGS_EQUAL(outputs.size(), restored_outputs.size());
  CHECK(restored.take_snapshot() == state.take_snapshot());
}

TEST(partition_state_entries, the_format_of_a_snapshot_is_stable) {
  auto state = state_with_retention();
  state.recreated_at_position = 1;
  state.configuration_version = 9;
  state.apply(2, subscribe("s", -1));
  state.apply(3, publish("c", 5));
  state.apply(4, publish_retained("c", 6, topic, 20));
  state.apply(5, elapse(1200));
  STRCMP_EQUAL(R"({"clock":1200,"keep":35000,"resend":10000,"law":9,"root":1,)"
               R"("topics":[["a/x",0,[[3,"c","hello",5,0,0,35000],[4,"c","hello",6,0,0,20]],0]],)"
               R"("open":[["s","a/x","w",4]],"callers":[["c","a/x",6,0,[[5,6]]]]})",
               reachridge::to_json(state.take_snapshot()).c_str());
}

TEST(partition_state_entries, each_message_is_retained_as_its_own_space_specifies) {
  auto state = state_with_retention();
  state.apply(1, publish_retained("c", 1, topic, 0));  // like every message, kept for the resend window
  state.apply(2, publish_retained("c", 2, other_topic, 20000));
  state.apply(3, elapse(15000));
  LONGS_EQUAL(0, state.topics[topic].messages.size());
  LONGS_EQUAL(1, state.topics[other_topic].messages.size());
  auto restored = partition_state::restore(state.take_snapshot());
  CHECK(restored.take_snapshot() == state.take_snapshot());
  restored.apply(4, elapse(7000));
  LONGS_EQUAL(0, restored.topics[other_topic].messages.size());
}
