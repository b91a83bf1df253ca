// Encoding and decoding of snapshots of a partition's state. Each message, topic, subscription and set of accepted
// sequence numbers is encoded as an array, so the order of its fields is part of the format.
#include "storage/partition_state.hpp"

namespace reachridge {
namespace {

auto encode_message(const message& message) -> value {
  return array{message.position,    message.sender,        message.body,        message.sequence,
               message.accepted_at, message.wall_clock_ms, message.retention_ms};
}

// Snapshots of the first releases lack the retention of each message. The retention of the pool then applies.
auto decode_message(const value& encoded, std::int64_t pool_retention_ms) -> message {
  const auto& fields = encoded.as_array();
  auto out = message();
  out.position = fields.at(0).as_int64();
  out.sender = fields.at(1).as_string();
  out.body = fields.at(2).as_string();
  out.sequence = fields.at(3).as_int64();
  out.accepted_at = fields.at(4).as_int64();
  out.wall_clock_ms = fields.at(5).as_int64();
  out.retention_ms = fields.size() > 6 ? fields.at(6).as_int64() : pool_retention_ms;
  return out;
}

auto encode_topics(const partition_state& state) -> array {
  auto out = array();
  for (const auto& [name, topic] : state.topics) {
    auto messages = array();
    for (const auto& message : topic.messages)
      messages.push_back(encode_message(message));
    out.push_back(array{name, topic.expired_position, messages, topic.last_used});
  }
  return out;
}

auto decode_topic(partition_state& state, const value& encoded) -> void {
  const auto& fields = encoded.as_array();
  auto& topic = state.topics[std::string(fields.at(0).as_string())];
  topic.expired_position = fields.at(1).as_int64();
  // Snapshots of the first release lack the time of the last use.
  topic.last_used = fields.size() > 3 ? fields.at(3).as_int64() : state.clock_ms;
  for (const auto& message : fields.at(2).as_array())
    topic.messages.push_back(decode_message(message, state.retention_ms));
}

auto encode_subscriptions(const partition_state& state) -> array {
  auto out = array();
  for (const auto& [id, subscription] : state.subscriptions)
    out.push_back(array{id, subscription.topic, subscription.subscriber, subscription.last_position});
  return out;
}

auto decode_subscription(partition_state& state, const value& encoded) -> void {
  const auto& fields = encoded.as_array();
  auto id = std::string(fields.at(0).as_string());
  auto& subscription = state.subscriptions[id];
  subscription.topic = fields.at(1).as_string();
  subscription.subscriber = fields.at(2).as_string();
  subscription.last_position = fields.at(3).as_int64();
  state.topics[subscription.topic].subscriptions.insert(id);
}

auto encode_accepted_sequences(const partition_state& state) -> array {
  auto out = array();
  for (const auto& [key, accepted] : state.accepted_sequences) {
    auto runs = array();
    for (const auto& [first, last] : accepted.runs)
      runs.push_back(array{first, last});
    out.push_back(array{key.first, key.second, accepted.highest, accepted.last_accepted_at, runs});
  }
  return out;
}

auto decode_accepted_sequences(partition_state& state, const value& encoded) -> void {
  const auto& fields = encoded.as_array();
  auto key = std::pair(std::string(fields.at(0).as_string()), std::string(fields.at(1).as_string()));
  auto& accepted = state.accepted_sequences[std::move(key)];
  accepted.highest = fields.at(2).as_int64();
  accepted.last_accepted_at = fields.at(3).as_int64();
  for (const auto& run : fields.at(4).as_array())
    accepted.runs[run.at(0).as_int64()] = run.at(1).as_int64();
}

}  // namespace

auto partition_state::take_snapshot() const -> value {
  return object{{"clock", clock_ms},
                {"keep", retention_ms},
                {"resend", resend_ms},
                {"law", configuration_version},
                {"root", recreated_at_position},
                {"topics", encode_topics(*this)},
                {"open", encode_subscriptions(*this)},
                {"callers", encode_accepted_sequences(*this)}};
}

auto partition_state::restore(const value& snapshot) -> partition_state {
  auto state = partition_state();
  state.clock_ms = get_int(snapshot, "clock");
  state.retention_ms = get_int(snapshot, "keep");
  state.resend_ms = get_int(snapshot, "resend");
  state.configuration_version = get_int(snapshot, "law");
  state.recreated_at_position = get_int_or(snapshot, "root", 0);
  for (const auto& topic : get_array(snapshot, "topics"))
    decode_topic(state, topic);
  for (const auto& subscription : get_array(snapshot, "open"))
    decode_subscription(state, subscription);
  for (const auto& accepted : get_array(snapshot, "callers"))
    decode_accepted_sequences(state, accepted);
  return state;
}

}  // namespace reachridge
