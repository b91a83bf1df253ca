// The state machine of one partition; see partition_state.hpp.
#include "storage/partition_state.hpp"

#include <algorithm>

namespace reachridge {
namespace {

constexpr auto clock_step_ms = std::int64_t{1000};  // the partition's clock lags behind real time by at most this
// The number of resend windows for which the state keeps the sequence numbers of a client.
constexpr auto client_retention_resend_windows = std::int64_t{60};
constexpr auto max_sequence_runs = std::size_t{256};

}  // namespace

auto sequence_set::contains(sequence_number sequence) const -> bool {
  auto it = runs.upper_bound(sequence);
  if (it == runs.begin())
    return false;
  return std::prev(it)->second >= sequence;
}

auto sequence_set::add(sequence_number sequence) -> void {
  highest = std::max(highest, sequence);
  if (!runs.empty() && runs.rbegin()->second == sequence - 1)
    runs.rbegin()->second = sequence;
  else
    runs[sequence] = sequence;
  // A number whose run is removed is never accepted again: it is a duplicate as long as the message is held, and
  // `below_highest` after that.
  while (runs.size() > max_sequence_runs)
    runs.erase(runs.begin());
}

auto partition_state::check_sequence(const std::string& client, const std::string& topic,
                                     sequence_number sequence) const -> sequence_status {
  auto it = accepted_sequences.find({client, topic});
  if (it == accepted_sequences.end() || sequence > it->second.highest)
    return sequence_status::above_highest;
  auto is_accepted = it->second.contains(sequence) || holds_message(client, topic, sequence);
  return is_accepted ? sequence_status::duplicate : sequence_status::below_highest;
}

// Every accepted message is held for at least the resend window, so that a number whose run was removed is still known
// for that time. The sequence numbers of one client increase with the position.
auto partition_state::holds_message(const std::string& client, const std::string& topic, sequence_number sequence) const
    -> bool {
  auto found = topics.find(topic);
  if (found == topics.end())
    return false;
  const auto& messages = found->second.messages;
  auto not_above = std::find_if(messages.rbegin(), messages.rend(), [&](const message& held) {
    return held.sender == client && held.sequence <= sequence;
  });
  return not_above != messages.rend() && not_above->sequence == sequence;
}

auto partition_state::apply(message_position position, const log_entry& entry) -> std::vector<output> {
  return std::visit(
      [&](const auto& typed) {
        return apply_entry(position, typed);
      },
      entry);
}

auto partition_state::apply_entry(message_position /*position*/, const clock_advance& entry) -> std::vector<output> {
  auto previous_step = clock_ms / clock_step_ms;
  clock_ms += entry.elapsed_ms;
  if (clock_ms / clock_step_ms != previous_step)
    remove_expired();
  return {};
}

auto partition_state::apply_entry(message_position position, const publish_entry& entry) -> std::vector<output> {
  if (check_sequence(entry.sender, entry.topic, entry.sequence) != sequence_status::above_highest)
    return {};
  auto& accepted = accepted_sequences[{entry.sender, entry.topic}];
  accepted.add(entry.sequence);
  accepted.last_accepted_at = clock_ms;
  auto& topic = topics[entry.topic];
  topic.last_used = clock_ms;
  topic.messages.push_back({position, entry.sender, entry.body, entry.sequence, clock_ms, entry.wall_clock_ms,
                            entry.retention_ms.value_or(retention_ms)});

  // This entry is the output entry of both the acknowledgement and the deliveries.
  auto outputs = std::vector<output>();
  outputs.emplace_back(publish_accepted{entry.sender, entry.topic, entry.sequence, position});
  if (topic.subscriptions.empty())
    return outputs;
  auto delivery = message_delivery{{}, entry.topic, topic.messages.back()};
  for (const auto& id : topic.subscriptions) {
    subscriptions[id].last_position = position;
    delivery.subscription_ids.push_back(id);
  }
  outputs.emplace_back(std::move(delivery));
  return outputs;
}

auto partition_state::apply_entry(message_position position, const subscribe_entry& entry) -> std::vector<output> {
  const auto& id = entry.subscription_id;
  const auto after = entry.after;
  close_subscription(id);
  auto& topic = topics[entry.topic];
  topic.last_used = clock_ms;
  if (const auto expired_position = expired_up_to(topic); after >= 0 && after < expired_position)
    return {resume_expired{id, expired_position}};

  const auto from = after < 0 ? position : std::max(after, recreated_at_position);
  auto outputs = std::vector<output>();
  outputs.emplace_back(subscription_opened{id, from});
  auto& subscription = subscriptions[id];
  subscription = {entry.topic, entry.subscriber, from};
  topic.subscriptions.insert(id);
  for (const auto& retained : topic.messages) {
    if (retained.position <= from)
      continue;
    outputs.emplace_back(message_delivery{{id}, entry.topic, retained});
    subscription.last_position = retained.position;
  }
  return outputs;
}

auto partition_state::apply_entry(message_position /*position*/, const close_subscription_entry& entry)
    -> std::vector<output> {
  close_subscription(entry.subscription_id);
  return {};
}

auto partition_state::apply_entry(message_position /*position*/, const configuration_change& entry)
    -> std::vector<output> {
  retention_ms = entry.retention_ms;
  resend_ms = entry.resend_ms;
  configuration_version = entry.version;
  remove_expired();
  return {};
}

auto partition_state::apply_entry(message_position /*position*/, const go_live_entry& /*entry*/)
    -> std::vector<output> {
  return {};
}

auto partition_state::apply_entry(message_position /*position*/, const unrecognized_entry& /*entry*/)
    -> std::vector<output> {
  return {};
}

// The messages from before the partition was recreated only count as expired if the pool retains messages. Without
// retention, a subscriber has no right to them.
auto partition_state::expired_up_to(const topic_state& topic) const -> message_position {
  if (retention_ms > 0)
    return std::max(topic.expired_position, recreated_at_position);
  return topic.expired_position;
}

auto partition_state::close_subscription(const std::string& id) -> void {
  auto it = subscriptions.find(id);
  if (it == subscriptions.end())
    return;
  auto& topic = topics[it->second.topic];
  topic.subscriptions.erase(id);
  topic.last_used = clock_ms;
  subscriptions.erase(it);
}

auto partition_state::client_retention_ms() const -> std::int64_t {
  return resend_ms * client_retention_resend_windows;
}

auto partition_state::has_expired(const message& message) const -> bool {
  return message.accepted_at + std::max(message.retention_ms, resend_ms) + clock_step_ms < clock_ms;
}

auto partition_state::is_unused(const topic_state& topic) const -> bool {
  const auto longest_retention = std::max(retention_ms, resend_ms) + clock_step_ms;
  return topic.messages.empty() && topic.subscriptions.empty() &&
         topic.last_used + std::max(client_retention_ms(), longest_retention) < clock_ms;
}

auto partition_state::remove_expired_messages(topic_state& topic) -> void {
  while (!topic.messages.empty() && has_expired(topic.messages.front())) {
    topic.expired_position = topic.messages.front().position;
    topic.messages.pop_front();
  }
}

auto partition_state::remove_expired() -> void {
  for (auto& [name, topic] : topics)
    remove_expired_messages(topic);
  // Removes a topic, with its expired position, after the topic was unused for as long as a client's sequence numbers
  // are kept. A subscriber that resumes later misses no message that is still retained (design 6.1).
  std::erase_if(topics, [&](const auto& named_topic) {
    return is_unused(named_topic.second);
  });
  std::erase_if(accepted_sequences, [&](const auto& accepted) {
    return accepted.second.last_accepted_at + client_retention_ms() < clock_ms;
  });
}

}  // namespace reachridge
