// Client requests to a partition's primary, and the release of the primary's outputs (design 6.3, 6.7).
#include <algorithm>

#include "storage/partition.hpp"

namespace reachridge {
namespace {

constexpr auto max_read_rows = std::size_t{1000};

}  // namespace

// Returns the last index whose outputs may be sent according to the Output Rule (paper 2.2): the entries up to this
// index are durable on this node's disk and on the disk of every in-sync backup. If the partition retains messages,
// they must be on one disk more than may still be lost, so nothing is sent while the in-sync set is smaller than that.
auto partition::releasable_index() const -> std::int64_t {
  auto durable_index = log_.synced_index();
  if (keeps_messages() && assignment_.in_sync_replicas.size() < required_replica_count())
    return -1;
  auto require_ack = [&](const std::string& member) {
    auto it = replicas_.find(member);
    durable_index = std::min(durable_index, it == replicas_.end() ? -1 : it->second.acknowledged_index);
  };
  for (const auto& member : assignment_.in_sync_replicas)
    if (member != assignment_.primary)
      require_ack(member);
  for (const auto& member : join_.required_acks)
    require_ack(member);
  return durable_index;
}

auto partition::release_outputs() -> void {
  if (role_ != replica_role::primary)
    return;
  const auto durable_index = releasable_index();
  const auto now = host_.now();
  while (!pending_outputs_.empty() && pending_outputs_.front().log_index <= durable_index) {
    auto pending = std::move(pending_outputs_.front());
    pending_outputs_.pop_front();
    note_release(pending.log_index, now);
    dispatch_output(pending);
  }
}

// The entries of an operation are released together, each with several outputs.
auto partition::note_release(entry_index index, monotonic_time now) -> void {
  if (index <= released_index_)
    return;
  released_index_ = index;
  if (index > log_.base_index())
    context_.release_times.add(now - log_.at(index).appended_at);
}

auto partition::dispatch_output(pending_output& pending) -> void {
  if (auto* deferred = std::get_if<deferred_reply>(&pending.action)) {
    deferred->reply_to->succeed(std::move(deferred->reply));
    return;
  }
  if (auto* refused = std::get_if<deferred_refusal>(&pending.action))
    return refused->reply_to->fail(std::move(refused->error));
  if (const auto* refusal = std::get_if<position_refusal>(&pending.action))
    return send_refusal(pending.log_index, refusal->subscription_id, subscribe_result::ahead_of_log,
                        refusal->last_position);
  if (const auto* ready_output = std::get_if<output>(&pending.action))
    std::visit(
        [&](const auto& typed_output) {
          send_output(pending.log_index, typed_output);
        },
        *ready_output);
}

auto partition::send_output(message_position /*log_index*/, const publish_accepted& accepted) -> void {
  auto it = waiting_publishes_.find({accepted.sender, {accepted.topic, accepted.sequence}});
  if (it == waiting_publishes_.end())
    return;
  for (auto& waiting : it->second)
    waiting->succeed(publish_reply{accepted.position});
  waiting_publishes_.erase(it);
}

// Sends one notification to each gateway. A gateway that reads too slowly is disconnected; it resumes by position.
auto partition::send_output(message_position log_index, const message_delivery& delivery) -> void {
  auto by_gateway = std::vector<std::pair<connection_ptr, std::vector<std::string>>>();
  for (const auto& id : delivery.subscription_ids) {
    auto it = find_subscriber(id, log_index);
    if (it == subscribers_.end())
      continue;
    const auto& gateway = it->second.connection;
    auto group = std::find_if(by_gateway.begin(), by_gateway.end(), [&](auto& candidate) {
      return candidate.first == gateway;
    });
    if (group == by_gateway.end())
      group = by_gateway.insert(by_gateway.end(), {gateway, {}});
    group->second.push_back(id);
  }
  const auto& message = delivery.message;
  for (auto& [gateway, ids] : by_gateway) {
    if (gateway->unsent_bytes() > static_cast<std::size_t>(context_.settings.buffer_bytes)) {
      gateway->close();
      continue;
    }
    gateway->send(encode(delivery_notification{std::move(ids), delivery.topic, message.position, message.sender,
                                               message.sequence, message.body, message.wall_clock_ms}));
  }
}

auto partition::send_output(message_position log_index, const subscription_opened& opened) -> void {
  auto it = find_subscriber(opened.subscription_id, log_index);
  if (it == subscribers_.end())
    return;
  it->second.connection->send(
      encode(subscribe_reply{opened.subscription_id, it->second.opening, subscribe_result::ok, opened.position}));
}

auto partition::send_output(message_position log_index, const resume_expired& expired) -> void {
  ++expired_resumes_.count;
  expired_resumes_.last_expired_position = expired.expired_position;
  send_refusal(log_index, expired.subscription_id, subscribe_result::expired, expired.expired_position);
}

// Logs how many subscriptions could not be resumed since the last report. The refusals are final for the clients.
auto partition::report_expired_resumes() -> void {
  const auto refused = std::exchange(expired_resumes_, {});
  if (refused.count > 0)
    log_info("refused " + std::to_string(refused.count) +
             " subscriptions from expired positions; the last one lacks messages up to position " +
             std::to_string(refused.last_expired_position) + ", which are no longer held (retention " +
             std::to_string(state_.retention_ms) + " ms)");
}

auto partition::send_refusal(message_position log_index, const std::string& subscription_id, subscribe_result reason,
                             message_position position) -> void {
  auto it = find_subscriber(subscription_id, log_index);
  if (it == subscribers_.end())
    return;
  it->second.connection->send(encode(subscribe_reply{subscription_id, it->second.opening, reason, position}));
  subscribers_.erase(it);
}

// Returns the subscriber that receives this subscription's outputs of the entry at log_index. Returns the end iterator
// if a later entry opened or reopened the subscription, or if its gateway is disconnected.
auto partition::find_subscriber(const std::string& subscription_id, message_position log_index)
    -> std::map<std::string, subscriber>::iterator {
  auto it = subscribers_.find(subscription_id);
  if (it == subscribers_.end() || log_index < it->second.first_index)
    return subscribers_.end();
  return it;
}

auto partition::not_primary_error() const -> request_error {
  return {errc::not_primary, id + ": this node is not the primary", execution_outcome::not_executed,
          context_.settings.heartbeat_interval / millisecond};
}

// The order of the checks is part of the interface: a client gets the error of the first check that fails.
auto partition::publish(const publish_request& request, pending_reply_ptr reply) -> void {
  if (role_ != replica_role::primary)
    return reply->fail(not_primary_error());
  switch (state_.check_sequence(request.sender, request.topic, request.sequence)) {
    case sequence_status::below_highest:
      return refuse_low_sequence(std::move(reply));
    case sequence_status::duplicate:
      return answer_duplicate(request, std::move(reply));
    case sequence_status::above_highest:
      break;
  }
  if (auto refusal = check_can_replicate())
    return reply->fail(*std::move(refusal));
  if (auto refusal = check_log_buffers())
    return reply->fail(*std::move(refusal));
  if (auto refusal = check_admission())
    return reply->fail(*std::move(refusal));
  waiting_publishes_[{request.sender, {request.topic, request.sequence}}].push_back(std::move(reply));
  append_publish(request);
  if (is_waiting_for_silent_backup())
    fail_waiting_requests("a backup does not acknowledge");
}

// Handles a publish whose sequence number has already been accepted. The publish is acknowledged after its entry is
// durable on all in-sync replicas, and is not logged again.
auto partition::answer_duplicate(const publish_request& request, pending_reply_ptr reply) -> void {
  if (is_waiting_for_silent_backup())
    return reply->fail({errc::unclear, "accepted, but a backup does not acknowledge: retry the publish",
                        execution_outcome::unknown, backup_retry_ms()});
  auto waiting = waiting_publishes_.find({request.sender, {request.topic, request.sequence}});
  if (waiting != waiting_publishes_.end()) {
    waiting->second.push_back(std::move(reply));
    return;
  }
  if (applied_index_ > releasable_index() && is_unreplicated())
    return reply->fail({errc::unclear, "accepted, but not replicated yet: retry the publish",
                        execution_outcome::unknown, backup_retry_ms()});
  reply_when_replicated(std::move(reply), publish_reply());
}

// Refuses a publish below the highest accepted sequence number. The refusal is final for the client. If this primary
// was replaced and loses the entry with the higher number, its successor may still accept the lower one. Therefore the
// refusal waits until all entries so far are durable on all in-sync replicas.
auto partition::refuse_low_sequence(pending_reply_ptr reply) -> void {
  auto is_unproven = applied_index_ > releasable_index();
  if (is_unproven && (is_unreplicated() || is_waiting_for_silent_backup()))
    return reply->fail({errc::unclear, "a higher sequence number is not replicated yet: retry the publish",
                        execution_outcome::unknown, backup_retry_ms()});
  auto error = request_error(errc::sequence_too_low, "a higher sequence number has already been accepted");
  pending_outputs_.push_back({applied_index_, deferred_refusal{std::move(reply), std::move(error)}});
  release_outputs();
}

auto partition::check_can_replicate() const -> std::optional<request_error> {
  if (is_handing_over_)
    return request_error(errc::moving, id + " is being handed over to another node", execution_outcome::not_executed,
                         context_.settings.heartbeat_interval / millisecond);
  if (is_unreplicated())
    return request_error(errc::unreplicated,
                         "a space that retains messages needs a responsive backup to accept a publish",
                         execution_outcome::not_executed, backup_retry_ms());
  return {};
}

// Rejects publishes while the entries that a backup has not replayed yet fill the log buffer (paper 3.2).
auto partition::check_log_buffers() -> std::optional<request_error> {
  const auto& members = assignment_.in_sync_replicas;
  if (std::none_of(members.begin(), members.end(), [&](const auto& member) {
        return has_full_log_buffer(member);
      }))
    return {};
  admission_.count_buffer_full_refusal();
  return request_error(errc::log_full, "the log buffer for a backup is full", execution_outcome::not_executed,
                       context_.settings.lag_limit / millisecond);
}

auto partition::has_full_log_buffer(const std::string& member) const -> bool {
  auto it = member == assignment_.primary ? replicas_.end() : replicas_.find(member);
  if (it == replicas_.end())
    return false;
  const auto buffer_bytes = static_cast<std::size_t>(context_.settings.buffer_bytes);
  auto waiting_bytes = std::size_t{0};
  const auto replayed_index = std::max(it->second.applied_index, log_.base_index());
  for (auto index = replayed_index + 1; index <= last_index() && waiting_bytes <= buffer_bytes; ++index)
    waiting_bytes += estimate_entry_bytes(log_.at(index).payload);
  return waiting_bytes > buffer_bytes;
}

// Admits only a share of the publishes while a backup lags (design 6.7).
auto partition::check_admission() -> std::optional<request_error> {
  if (admission_.try_admit(host_.now()))
    return {};
  return request_error(errc::throttled, "a backup lags and admission is throttled", execution_outcome::not_executed,
                       context_.settings.heartbeat_interval / millisecond);
}

auto partition::append_publish(const publish_request& request) -> void {
  auto entries = clock_entry();
  entries.emplace_back(publish_entry{request.topic, request.sender, request.sequence, request.body,
                                     host_.wall_clock_ms(), request.retention_ms});
  append_operation(std::move(entries));
}

// Two heartbeat intervals are usually long enough for a new backup to be in sync.
auto partition::backup_retry_ms() const -> std::int64_t {
  return context_.settings.heartbeat_interval * 2 / millisecond;
}

// Sends the reply after all entries applied so far are durable on all in-sync replicas (design 6.3).
auto partition::reply_when_replicated(pending_reply_ptr reply_to, client_reply reply) -> void {
  pending_outputs_.push_back({applied_index_, deferred_reply{std::move(reply_to), std::move(reply)}});
  release_outputs();
}

// Whether an output waits for a backup that has been silent for three heartbeat intervals. A live backup acknowledges
// at least once per heartbeat interval. Waiting clients then get an error instead of a long wait. The entries stay in
// the log, and a retried publish is acknowledged after they are durable on all in-sync replicas.
auto partition::is_waiting_for_silent_backup() const -> bool {
  if (!keeps_messages() || releasable_index() >= last_index())
    return false;
  const auto& members = assignment_.in_sync_replicas;
  return std::any_of(members.begin(), members.end(), [&](const auto& member) {
    auto it = member == assignment_.primary ? replicas_.end() : replicas_.find(member);
    return it != replicas_.end() && it->second.acknowledged_index < last_index() &&
           host_.now() - it->second.last_contact > context_.settings.heartbeat_interval * 3;
  });
}

auto partition::is_unreplicated() const -> bool {
  if (!keeps_messages())
    return false;
  const auto& members = assignment_.in_sync_replicas;
  return std::none_of(members.begin(), members.end(), [&](const auto& member) {
    return member != assignment_.primary && is_responsive(member);
  });
}

auto partition::subscribe(const subscribe_request& request, const connection_ptr& gateway) -> void {
  const auto& subscription_id = request.subscription_id;
  const auto opening = request.opening;
  if (role_ != replica_role::primary || is_handing_over_) {
    gateway->send(encode(subscribe_reply{subscription_id, opening, subscribe_result::not_led_here, 0}));
    return;
  }
  if (is_outdated(request, gateway))
    return;
  subscribers_[subscription_id] = {gateway, last_index() + 1, opening};
  disconnected_since_.erase(subscription_id);
  if (request.after > applied_index_)
    return refuse_position(subscription_id);
  append_operation({subscribe_entry{subscription_id, request.topic, request.subscriber, request.after}});
}

// Refuses a subscription from a position above the log. The refusal is final for the client, and the successor of a
// primary that was replaced without knowing it may have assigned the position. Therefore the refusal is an output of an
// entry of its own, which the in-sync replicas acknowledge only while this node is the primary.
auto partition::refuse_position(const std::string& subscription_id) -> void {
  auto last_position = applied_index_;
  append_operation({close_subscription_entry{subscription_id}});
  pending_outputs_.push_back({applied_index_, position_refusal{subscription_id, last_position}});
  release_outputs();
}

// A gateway may retry a subscribe request on the same connection while the reply waits for its entry to become durable.
// The retry is ignored, because the reply is still sent. Logging the retry would delay the reply each time, without end
// on slow disks. A request of an earlier opening is also outdated: it was delayed on an abandoned connection. A gateway
// of the first release sends no opening number, so each of its requests counts as new.
auto partition::is_outdated(const subscribe_request& request, const connection_ptr& gateway) const -> bool {
  auto it = subscribers_.find(request.subscription_id);
  if (request.opening <= 0 || it == subscribers_.end())
    return false;
  const auto& current = it->second;
  return current.opening > request.opening || (current.connection == gateway && current.opening == request.opening);
}

auto partition::close_subscription(const close_subscription_request& request) -> void {
  const auto& subscription_id = request.subscription_id;
  subscribers_.erase(subscription_id);
  disconnected_since_.erase(subscription_id);
  const auto can_append = role_ == replica_role::primary && !is_handing_over_;
  if (can_append && state_.subscriptions.count(subscription_id))
    append_operation({close_subscription_entry{subscription_id}});
}

auto partition::read(const read_request& request, pending_reply_ptr reply) -> void {
  if (role_ != replica_role::primary)
    return reply->fail(not_primary_error());
  auto result = read_reply();
  result.position = applied_index_;
  if (auto it = state_.topics.find(request.topic); it != state_.topics.end()) {
    const auto& topic = it->second;
    result.expired = request.after < topic.expired_position;
    for (const auto& stored : topic.messages) {
      if (result.messages.size() >= max_read_rows)
        break;
      if (stored.position <= request.after)
        continue;
      result.messages.push_back({stored.position, stored.sender, stored.sequence, stored.body, stored.wall_clock_ms});
    }
  }
  reply_when_replicated(std::move(reply), std::move(result));
}

// Counts the subscribers of a topic in the replicated state. Each client counts once, even if it still has an old
// connection. A subscriber whose gateway is disconnected counts until the failure timeout has passed, because the
// gateway may reconnect.
auto partition::count(const count_request& request, pending_reply_ptr reply) -> void {
  if (role_ != replica_role::primary)
    return reply->fail(not_primary_error());
  auto clients = std::set<std::string_view>();
  if (auto it = state_.topics.find(request.topic); it != state_.topics.end()) {
    for (const auto& subscription_id : it->second.subscriptions) {
      auto disconnected = disconnected_since_.find(subscription_id);
      if (disconnected == disconnected_since_.end() ||
          host_.now() - disconnected->second < context_.settings.failure_timeout)
        clients.insert(state_.subscriptions.at(subscription_id).subscriber);
    }
  }
  reply_when_replicated(std::move(reply), count_reply{clients.size()});
}

auto partition::on_gateway_disconnected(const connection_ptr& gateway) -> void {
  for (auto it = subscribers_.begin(); it != subscribers_.end();) {
    if (it->second.connection == gateway) {
      disconnected_since_[it->first] = host_.now();
      it = subscribers_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace reachridge
