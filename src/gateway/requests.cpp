// Requests of clients to the gateway: dispatch, publish and count, and the way to a partition's primary (design 7.2).
#include <algorithm>
#include <cctype>

#include "gateway/client_codec.hpp"
#include "gateway/gateway.hpp"

namespace reachridge {
namespace {

constexpr auto max_in_flight = 64;  // requests of one connection that wait for their answer (design 7.4)
constexpr auto max_client_name_bytes = std::size_t{100};
constexpr auto invalid_client_name = "name wants 1 to 100 letters, digits, '-', '_', '.', ':'";

// 1 to 100 letters, digits, '-', '_', '.', ':'.
auto is_client_name(const std::string& name) -> bool {
  if (name.empty() || name.size() > max_client_name_bytes)
    return false;
  return std::all_of(name.begin(), name.end(), [](unsigned char character) {
    return std::isalnum(character) || std::string_view("-_.:").find(static_cast<char>(character)) != std::string::npos;
  });
}

auto needs_enrolment(client_api::operation asked) -> bool {
  switch (asked) {
    case client_api::operation::enrol:
    case client_api::operation::heartbeat:
    case client_api::operation::unreadable:
      return false;
    default:
      return true;
  }
}

// Whether the same request may go to a primary again: it did not run, and another primary may take it.
auto is_retryable(const request_error& error) -> bool {
  if (error.outcome != execution_outcome::not_executed)
    return false;
  return error.code == errc::not_primary || error.code == errc::moving || error.code == errc::unreachable;
}

}  // namespace

// A request that fails at once is answered here; the others answer when they end.
auto gateway::handle_request(const client_ptr& client, const value& request) -> void {
  auto operation_name = std::string();
  try {
    operation_name = client_api::operation_name(request);
    dispatch(client, operation_name, request);
  } catch (const request_error& error) {
    ++refused_;
    send(client, client_api::encode_request_error(error, operation_name, client_api::decode_echoed_fields(request)));
  }
}

auto gateway::dispatch(const client_ptr& client, const std::string& operation_name, const value& request) -> void {
  using client_api::operation;
  const auto asked = client_api::parse_operation(operation_name);
  if (needs_enrolment(asked) && client->name.empty())
    throw request_error(errc::malformed, "enrol first");
  switch (asked) {
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
    throw request_error(errc::version_taken, "this link is enrolled already");
  client->name = std::move(request.name);
  send(client, client_api::encode_enrolled(client->name, settings_.name));
}

// Counts a request that is answered later; `requests` says in the error what there are too many of.
auto gateway::begin_request(const client_ptr& client, const char* requests) -> void {
  if (client->in_flight >= max_in_flight)
    throw request_error(errc::busy, std::string("too many ") + requests + " of this link wait",
                        execution_outcome::not_executed, settings_.heartbeat_interval / millisecond);
  ++client->in_flight;
}

auto gateway::publish(client_ptr client, client_api::publish_request request, client_api::echoed_fields echoed)
    -> task<void> {
  auto answer = object();
  try {
    auto result = co_await send_publish(client->name, std::move(request));
    answer = client_api::encode_published(result, echoed);
    ++acked_;
  } catch (const request_error& error) {
    answer = client_api::encode_publish_error(error, echoed);
    ++(error.outcome == execution_outcome::not_executed ? refused_ : unclear_);
  }
  --client->in_flight;
  send(client, answer);
}

// Answers how many clients are subscribed to a topic.
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

// Checks a publish, passes it to the primary and waits for its answer; throws request_error.
auto gateway::send_publish(std::string client_name, client_api::publish_request request)
    -> task<client_api::publish_result> {
  if (!is_client_name(client_name))
    throw request_error(errc::malformed, invalid_client_name);
  if (request.body.size() > static_cast<std::size_t>(settings_.max_message_bytes))
    throw request_error(errc::message_too_long,
                        "a message over " + std::to_string(settings_.max_message_bytes) + " bytes");
  if (request.sequence < 1)
    throw request_error(errc::sequence_too_low, "seq wants a whole number from 1 up");
  auto target = resolve_route(action::publish, client_name, request.topic, request.body.size());
  auto partition = target.partition();
  auto deadline = request_deadline(target.space, settings_.failure_timeout * 2);
  auto message = storage_api::encode(storage_api::publish_request{
      partition, target.topic, client_name, request.sequence, std::move(request.body), target.space.keep_ms});
  auto sent = co_await call_primary(partition, std::move(message), primary_wait_end(target.space), deadline);
  auto reply = storage_api::decode_publish_reply(sent);
  co_return client_api::publish_result{request.topic, request.sequence, reply.position, reply.repeated};
}

// The request's way through the rules of the newest configuration; throws request_error where it ends.
auto gateway::resolve_route(action asked, const std::string& client_name, const std::string& topic, std::size_t bytes)
    -> route {
  if (!session.may_serve() || !session.is_synchronized())
    throw request_error(errc::no_lease, "no charter lease stands here", execution_outcome::not_executed,
                        host_.jittered(settings_.failure_timeout) / millisecond);
  if (!is_topic(topic))
    throw request_error(errc::malformed, "'" + topic + "' is no topic");
  const auto decision = rules().decide(asked, client_name, topic, bytes);
  if (!decision.allowed)
    throw request_error(errc::permission_denied, decision.reason);
  const auto* space = is_topic(decision.topic) ? rules().space_of(decision.topic) : nullptr;
  if (!space)
    throw request_error(errc::no_such_space, "no space holds '" + decision.topic + "'");
  return {decision.topic, *space};
}

// Until when a request may wait for a primary that is not there: a client that is refused at once asks again, and one
// that was held long without being served was held for nothing.
auto gateway::primary_wait_end(const space& topics) const -> monotonic_time {
  const auto wait = topics.target_ms > 0 ? topics.target_ms * millisecond / 5 : settings_.failure_timeout * 2;
  return host_.now() + wait;
}

// Until when the primary may take to answer: half of the space's timeout, if it has one.
auto gateway::request_deadline(const space& topics, monotonic_time default_timeout) const -> monotonic_time {
  return host_.now() + (topics.timeout_ms > 0 ? topics.timeout_ms * millisecond / 2 : default_timeout);
}

// Asks the partition's primary. While a takeover is under way it waits for the new one until `wait_until`, so that the
// request can still run in its time; nothing is held back for any other reason (design 7.2).
auto gateway::call_primary(std::string partition, value request, monotonic_time wait_until, monotonic_time deadline)
    -> task<value> {
  const auto retry_after_ms = host_.jittered(settings_.failure_timeout / 4) / millisecond;
  auto rejected_by = std::string();  // the address that answered that it is not the primary
  while (true) {
    auto failure = request_error(errc::unreachable, "no primary of " + partition + " is in reach",
                                 execution_outcome::not_executed, retry_after_ms);
    const auto address = primary_to_ask(partition, rejected_by);
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
    const auto may_ask_again = co_await wait_for_primary(partition, rejected_by, wait_until);
    if (may_ask_again)
      rejected_by.clear();
  }
}

// Empty: none is known but the one that has just answered that it is not the primary.
auto gateway::primary_to_ask(const std::string& partition, const std::string& rejected_by) const -> std::string {
  auto address = primary_address(partition);
  return address == rejected_by ? "" : address;
}

// Waits for a change of the view, at most half a heartbeat interval. Returns whether any primary may be asked: another
// one is known, or the time has passed.
auto gateway::wait_for_primary(std::string partition, std::string rejected_by, monotonic_time wait_until)
    -> task<bool> {
  const auto retry_at = std::min(wait_until, host_.now() + settings_.heartbeat_interval / 2);
  co_await session.changed.wait(host_, retry_at);
  co_return primary_address(partition) != rejected_by || host_.now() >= retry_at;
}

// None: there is no address or no connection now, so nothing was sent. Throws the storage node's error.
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
