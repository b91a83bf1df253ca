// Client requests: dispatch, publish, count, and calls to the primary of a partition (design 7.2).
#include <algorithm>
#include <cctype>

#include "gateway/client_codec.hpp"
#include "gateway/gateway.hpp"

namespace reachridge {
namespace {

constexpr auto max_in_flight = 64;  // unanswered publish and count requests per connection (design 7.4)
constexpr auto max_client_name_bytes = std::size_t{100};
constexpr auto invalid_client_name = "name must consist of 1 to 100 letters, digits, '-', '_', '.' or ':'";

// Returns whether the name consists of 1 to 100 letters, digits, '-', '_', '.' and ':'.
auto is_client_name(const std::string& name) -> bool {
  if (name.empty() || name.size() > max_client_name_bytes)
    return false;
  return std::all_of(name.begin(), name.end(), [](unsigned char character) {
    return std::isalnum(character) || std::string_view("-_.:").find(static_cast<char>(character)) != std::string::npos;
  });
}

auto needs_enrolment(client_api::operation requested_operation) -> bool {
  switch (requested_operation) {
    case client_api::operation::enrol:
    case client_api::operation::heartbeat:
    case client_api::operation::unreadable:
      return false;
    default:
      return true;
  }
}

// Returns whether a request may be sent again: it was not executed, and a primary may accept it later.
auto is_retryable(const request_error& error) -> bool {
  if (error.outcome != execution_outcome::not_executed)
    return false;
  return error.code == errc::not_primary || error.code == errc::moving || error.code == errc::unreachable;
}

}  // namespace

// Answers requests that fail before they are sent. The other requests answer when they finish.
auto gateway::handle_request(const client_ptr& client, const value& request) -> void {
  auto operation_name = std::string();
  try {
    operation_name = client_api::operation_name(request);
    dispatch(client, operation_name, request);
  } catch (const request_error& error) {
    ++refused_requests_;
    send(client, client_api::encode_request_error(error, operation_name, client_api::decode_echoed_fields(request)));
  }
}

auto gateway::dispatch(const client_ptr& client, const std::string& operation_name, const value& request) -> void {
  using client_api::operation;
  const auto requested_operation = client_api::parse_operation(operation_name);
  if (needs_enrolment(requested_operation) && client->name.empty())
    throw request_error(errc::malformed, "the connection has not enrolled a client name");
  switch (requested_operation) {
    case operation::heartbeat:
      return client_api::check_heartbeat(request);
    case operation::unreadable:
      throw client_api::decode_unreadable(request);
    case operation::enrol:
      return enrol(client, client_api::decode_enrol(request));
    case operation::publish: {
      auto message = client_api::decode_publish(request);
      begin_request(client, "publishes");
      return tasks_.spawn(publish(client, std::move(message), client_api::decode_echoed_fields(request)));
    }
    case operation::count: {
      auto counted = client_api::decode_count(request);
      begin_request(client, "requests");
      return tasks_.spawn(count_subscribers(client, std::move(counted), client_api::decode_echoed_fields(request)));
    }
    case operation::subscribe:
      return subscribe(client, client_api::decode_subscribe(request));
    case operation::unsubscribe:
      return unsubscribe(client, client_api::decode_unsubscribe(request));
    case operation::unknown:
      throw request_error(errc::malformed, "unknown op '" + operation_name + "'");
  }
}

auto gateway::enrol(const client_ptr& client, client_api::enrol_request request) -> void {
  if (!is_client_name(request.name))
    throw request_error(errc::malformed, invalid_client_name);
  if (!client->name.empty())
    throw request_error(errc::version_taken, "the connection has already enrolled a client name");
  client->name = std::move(request.name);
  send(client, client_api::encode_enrolled(client->name, settings_.name));
}

// Registers a request that is answered later. Throws request_error (errc::busy) if too many requests are in flight;
// `request_kind` names them in the error text.
auto gateway::begin_request(const client_ptr& client, const char* request_kind) -> void {
  if (client->in_flight >= max_in_flight)
    throw request_error(errc::busy, std::string("too many ") + request_kind + " of this connection are in flight",
                        execution_outcome::not_executed, settings_.heartbeat_interval / millisecond);
  ++client->in_flight;
}

auto gateway::publish(client_ptr client, client_api::publish_request request, client_api::echoed_fields echoed)
    -> task<void> {
  auto answer = object();
  try {
    auto result = co_await send_publish(client->name, std::move(request));
    answer = client_api::encode_published(result, echoed);
    ++acknowledged_publishes_;
  } catch (const request_error& error) {
    answer = client_api::encode_publish_error(error, echoed);
    ++(error.outcome == execution_outcome::not_executed ? refused_requests_ : unclear_publishes_);
  }
  --client->in_flight;
  send(client, answer);
}

// Answers with the number of clients that are subscribed to a topic.
auto gateway::count_subscribers(client_ptr client, client_api::count_request request, client_api::echoed_fields echoed)
    -> task<void> {
  auto answer = object();
  try {
    auto target = resolve_route(action::subscribe, client->name, request.topic, 0);
    auto partition = target.partition();
    auto message = storage_api::encode(storage_api::count_request{partition, target.topic});
    auto reply = co_await call_primary(partition, std::move(message), primary_wait_end(target.space),
                                       request_deadline(target.space, settings_.request_timeout));
    answer = client_api::encode_counted(storage_api::decode_count_reply(reply), echoed);
  } catch (const request_error& error) {
    answer = client_api::encode_count_error(error, echoed);
  }
  --client->in_flight;
  send(client, answer);
}

// Validates a publish request, sends it to the primary and returns the result. Throws request_error.
auto gateway::send_publish(std::string client_name, client_api::publish_request request)
    -> task<client_api::publish_result> {
  if (!is_client_name(client_name))
    throw request_error(errc::malformed, invalid_client_name);
  if (request.body.size() > static_cast<std::size_t>(settings_.max_message_bytes))
    throw request_error(errc::message_too_long,
                        "the message body exceeds " + std::to_string(settings_.max_message_bytes) + " bytes");
  if (request.sequence < 1)
    throw request_error(errc::sequence_too_low, "seq must be a whole number of at least 1");
  auto target = resolve_route(action::publish, client_name, request.topic, request.body.size());
  auto partition = target.partition();
  auto deadline = request_deadline(target.space, settings_.failure_timeout * 2);
  auto message = storage_api::encode(storage_api::publish_request{
      partition, target.topic, client_name, request.sequence, std::move(request.body), target.space.keep_ms});
  auto sent = co_await call_primary(partition, std::move(message), primary_wait_end(target.space), deadline);
  auto reply = storage_api::decode_publish_reply(sent);
  co_return client_api::publish_result{request.topic, request.sequence, reply.position, reply.repeated};
}

// Applies the rules of the newest configuration to a request. Throws request_error if the gateway may not serve, the
// topic is invalid, the rules deny the request, or no space contains the topic.
auto gateway::resolve_route(action requested_action, const std::string& client_name, const std::string& topic,
                            std::size_t bytes) -> route {
  if (!session.may_serve() || !session.is_synchronized())
    throw request_error(errc::no_lease, "the gateway has no valid configuration lease or no synchronized view",
                        execution_outcome::not_executed, host_.jittered(settings_.failure_timeout) / millisecond);
  if (!is_topic(topic))
    throw request_error(errc::malformed, "'" + topic + "' is not a valid topic");
  const auto decision = rules().decide(requested_action, client_name, topic, bytes);
  if (!decision.allowed)
    throw request_error(errc::permission_denied, decision.reason);
  const auto* space = is_topic(decision.topic) ? rules().space_of(decision.topic) : nullptr;
  if (!space)
    throw request_error(errc::no_such_space, "no space contains topic '" + decision.topic + "'");
  return {decision.topic, *space};
}

// Returns the time until which a request may wait for an unavailable primary. The wait is short because a client that
// is refused early can retry, while a request that waits long and then fails has only delayed the retry.
auto gateway::primary_wait_end(const space& target_space) const -> monotonic_time {
  const auto wait =
      target_space.target_ms > 0 ? target_space.target_ms * millisecond / 5 : settings_.failure_timeout * 2;
  return host_.now() + wait;
}

// Returns the time by which the primary must answer: after half of the timeout of the space, or after `default_timeout`
// if the space has none.
auto gateway::request_deadline(const space& target_space, monotonic_time default_timeout) const -> monotonic_time {
  return host_.now() + (target_space.timeout_ms > 0 ? target_space.timeout_ms * millisecond / 2 : default_timeout);
}

// Sends a request to the primary of the partition and returns its reply. If no primary accepts the request, waits for
// one until `wait_until`, so that the request can still succeed after a takeover. Requests are not delayed for any
// other reason (design 7.2). Throws request_error.
auto gateway::call_primary(std::string partition, value request, monotonic_time wait_until, monotonic_time deadline)
    -> task<value> {
  const auto retry_after_ms = host_.jittered(settings_.failure_timeout / 4) / millisecond;
  auto rejected_by = std::string();  // address of the node that answered errc::not_primary
  while (true) {
    auto failure = request_error(errc::unreachable, "no primary of partition " + partition + " is reachable",
                                 execution_outcome::not_executed, retry_after_ms);
    const auto address = usable_primary_address(partition, rejected_by);
    try {
      if (auto reply = co_await call_if_connected(address, request, deadline))
        co_return std::move(*reply);
    } catch (const request_error& error) {
      if (!is_retryable(error))
        throw;
      failure = error;
      if (error.code == errc::not_primary)
        rejected_by = address;
    }
    if (host_.now() >= wait_until)
      throw failure;
    const auto may_retry_any_primary = co_await wait_for_primary(partition, rejected_by, wait_until);
    if (may_retry_any_primary)
      rejected_by.clear();
  }
}

// Returns the address of the primary; empty if no primary is known or if its address is `rejected_by`.
auto gateway::usable_primary_address(const std::string& partition, const std::string& rejected_by) const
    -> std::string {
  auto address = primary_address(partition);
  return address == rejected_by ? "" : address;
}

// Waits until the session changes, but at most half a heartbeat interval and not beyond `wait_until`. Returns whether
// any primary may be called: the primary is no longer `rejected_by`, or the time has passed.
auto gateway::wait_for_primary(std::string partition, std::string rejected_by, monotonic_time wait_until)
    -> task<bool> {
  const auto retry_at = std::min(wait_until, host_.now() + settings_.heartbeat_interval / 2);
  co_await session.changed.wait(host_, retry_at);
  co_return primary_address(partition) != rejected_by || host_.now() >= retry_at;
}

// Returns nothing if the address is empty or the node is not connected; in that case the request was not sent. Throws
// the error of the storage node.
auto gateway::call_if_connected(std::string address, value request, monotonic_time deadline)
    -> task<std::optional<value>> {
  if (address.empty())
    co_return std::nullopt;
  auto& connection = storage_connection(address);
  if (!connection.is_up())
    co_return std::nullopt;
  co_return co_await connection.call(std::move(request), deadline);
}

}  // namespace reachridge
