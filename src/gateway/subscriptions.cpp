// Subscriptions of the gateway. The gateway keeps each subscription open at the current primary of its partition and
// forwards the messages to the client (design 7.3).
#include <utility>
#include <vector>

#include "gateway/client_codec.hpp"
#include "gateway/cursor.hpp"
#include "gateway/gateway.hpp"

namespace reachridge {

auto gateway::cursor_for(const subscription& entry, std::int64_t position) const -> std::optional<std::string> {
  if (!entry.client->transport->wants_cursors())
    return {};
  return encode_cursor(entry.topic, entry.partition, position);
}

auto gateway::subscribe(const client_ptr& client, client_api::subscribe_request request) -> void {
  if (client->subscriptions.count(request.topic))
    throw request_error(errc::version_taken, "the connection is already subscribed to the topic");
  const auto target = resolve_route(action::subscribe, client->name, request.topic, 0);
  if (client->subscriptions.size() >= static_cast<std::size_t>(rules().subscriptions))
    throw request_error(errc::busy, "too many subscriptions on this connection", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  auto added = subscription();
  added.requested_topic = request.topic;
  added.topic = target.topic;
  added.partition = target.partition();
  added.client = client;
  if (request.after)
    added.last_position = *request.after;
  if (request.cursor) {
    const auto position = decode_cursor(*request.cursor, added.topic, added.partition);
    if (!position)
      throw request_error(errc::position_expired, "the cursor is not valid for this topic");
    added.last_position = *position;
  }
  auto& [id, entry] = subscriptions_.add(std::move(added));
  client->subscriptions[request.topic] = id;
  open_subscription(id, entry);
}

auto gateway::unsubscribe(const client_ptr& client, const client_api::unsubscribe_request& request) -> void {
  const auto found = client->subscriptions.find(request.topic);
  if (found == client->subscriptions.end())
    throw request_error(errc::not_found, "the connection is not subscribed to the topic");
  end_subscription(std::string(found->second), true);
  send(client, client_api::encode_unsubscribed(request.topic));
}

auto gateway::end_subscription(const std::string& id, bool notify_primary) -> void {
  auto* ended = subscriptions_.find(id);
  if (!ended)
    return;
  if (notify_primary && !ended->storage_address.empty())
    storage_connection(ended->storage_address)
        .send(storage_api::encode(storage_api::unsubscribe_message{ended->partition, id}));
  ended->client->subscriptions.erase(ended->requested_topic);
  subscriptions_.erase(id);
}

// Sends the subscription to the primary of its partition, if the primary is known and connected.
auto gateway::open_subscription(const std::string& id, subscription& entry) -> void {
  const auto assignment = session.view.partitions.find(entry.partition);
  const auto address = primary_address(entry.partition);
  if (address.empty() || assignment == session.view.partitions.end())
    return;
  auto& connection = storage_connection(address);
  if (!connection.is_up())
    return;
  entry.begin_opening(address, assignment->second.epoch, host_.now());
  connection.send(storage_api::encode(storage_api::subscribe_message{
      entry.partition, id, entry.topic, entry.client->name, entry.last_position, entry.opening}));
}

// Keeps every subscription open at the current primary of its partition, resuming after the last delivered position.
// Runs when the session changes and periodically; the period is short only while a subscription is not open.
auto gateway::maintain_subscriptions() -> task<void> {
  auto pending = false;
  while (true) {
    const auto interval = pending ? settings_.heartbeat_interval / 2 : settings_.failure_timeout;
    co_await session.changed.wait(host_, host_.now() + interval);
    has_served_ = has_served_ || is_serving();
    end_denied_subscriptions();
    connect_to_storage_nodes();
    pending = reopen_subscriptions();
  }
}

// Checks all subscriptions once per new configuration. Ends the subscriptions that the configuration no longer allows
// or whose topic it has moved to another pool.
auto gateway::end_denied_subscriptions() -> void {
  const auto& configuration = session.view.configuration;
  if (!configuration || configuration->number == subscriptions_checked_version_)
    return;
  subscriptions_checked_version_ = configuration->number;
  auto ended = std::vector<std::pair<std::string, errc>>();
  for (const auto& [id, entry] : subscriptions_) {
    const auto decision = rules().decide(action::subscribe, entry.client->name, entry.requested_topic, 0);
    const auto same_topic = decision.allowed && decision.topic == entry.topic;
    const auto* space = same_topic ? rules().space_of(decision.topic) : nullptr;
    if (!space)
      ended.emplace_back(id, errc::permission_denied);
    else if (partition_of(*space, entry.topic) != entry.partition)
      ended.emplace_back(id, errc::position_expired);  // another space contains the topic now
  }
  for (const auto& [id, code] : ended) {
    const auto* entry = subscriptions_.find(id);
    send(entry->client, client_api::encode_subscription_ended({entry->requested_topic, code, entry->last_position}));
    end_subscription(id, true);
  }
}

// Connects to all storage nodes before the connections are needed.
auto gateway::connect_to_storage_nodes() -> void {
  for (const auto& [control_node, table] : session.view.session_tables)
    for (const auto& [name, node] : table.rows)
      if (node.kind == storage_kind && !node.address.empty())
        storage_connection(node.address);
}

// Returns whether any subscription was not open at the current primary of its partition.
auto gateway::reopen_subscriptions() -> bool {
  auto pending = false;
  for (auto& [id, entry] : subscriptions_) {
    const auto assignment = session.view.partitions.find(entry.partition);
    if (assignment == session.view.partitions.end()) {
      pending = true;
      continue;
    }
    const auto primary_moved =
        assignment->second.epoch != entry.epoch && primary_address(entry.partition) != entry.storage_address;
    if (entry.open && !primary_moved && !entry.storage_address.empty())
      continue;
    pending = true;
    reopen_if_due(id, entry, primary_moved);
  }
  return pending;
}

auto gateway::reopen_if_due(const std::string& id, subscription& entry, bool primary_moved) -> void {
  const auto retry_interval =
      entry.storage_address.empty() ? settings_.heartbeat_interval / 2 : settings_.request_timeout;
  if (!primary_moved && host_.now() - entry.sent_at < retry_interval)
    return;
  // Messages may have been missed since the subscription was open, so the next message must start a new opening instead
  // of retrying the previous one.
  if (entry.open)
    entry.detach_from_primary();
  open_subscription(id, entry);
}

auto gateway::on_notification(const std::string& address, const value& message) -> void {
  switch (storage_api::notification_kind(message)) {
    case storage_api::notification::delivery:
      return on_delivery(address, storage_api::decode_delivery(message));
    case storage_api::notification::subscribe_reply:
      return on_subscribe_reply(address, storage_api::decode_subscribe_reply(message));
    case storage_api::notification::partition_moved:
      subscriptions_.detach_partition(storage_api::decode_partition_moved(message).partition, address);
      return session.changed.wake();
    case storage_api::notification::unknown:
      return;
  }
}

auto gateway::on_delivery(const std::string& address, const storage_api::delivery& message) -> void {
  for (const auto& id : message.subscriptions) {
    auto* entry = subscriptions_.find_at_primary(id, address);
    if (!entry || !entry->accept(message.position))
      continue;
    ++delivered_messages_;
    send(entry->client,
         client_api::encode_delivery({entry->requested_topic, message.position, message.sender, message.sequence,
                                      message.body, message.published_at, cursor_for(*entry, message.position)}));
  }
}

auto gateway::on_subscribe_reply(const std::string& address, const storage_api::subscribe_reply& reply) -> void {
  auto* entry = subscriptions_.find_at_primary(reply.subscription, address);
  if (!entry)
    return;
  // Ignore the reply to an earlier opening.
  if (reply.opening.value_or(entry->opening) != entry->opening)
    return;
  if (reply.accepted)
    return on_subscription_accepted(*entry, reply);
  if (reply.code == errc::not_primary) {
    entry->storage_address.clear();
    entry->sent_at = host_.now();
    return;
  }
  const auto* reason = reply.code == errc::position_expired ? "messages after the requested position have expired"
                                                            : "the requested position was never assigned";
  const auto error = request_error(reply.code, reason);
  send(entry->client, client_api::encode_subscription_refused(
                          {error, entry->requested_topic, reply.position, entry->client_notified}));
  end_subscription(reply.subscription, false);
}

auto gateway::on_subscription_accepted(subscription& entry, const storage_api::subscribe_reply& reply) -> void {
  entry.open = true;
  if (entry.last_position < 0)
    entry.last_position = reply.position.value_or(-1);
  if (entry.client_notified)
    return;
  entry.client_notified = true;
  send(entry.client, client_api::encode_subscribed(
                         {entry.requested_topic, entry.last_position, cursor_for(entry, entry.last_position)}));
}

}  // namespace reachridge
