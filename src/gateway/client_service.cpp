// Client connections of the gateway: accepting, serving, redirecting and draining them (design 7.2, 7.3).
#include <algorithm>

#include "gateway/client_codec.hpp"
#include "gateway/gateway.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto unsent_limit_divisor = std::size_t{16};  // more unsent bytes than buffer_bytes / 16 close a connection
constexpr auto drain_steps_per_heartbeat = 4;
constexpr auto redirect_start_bound = std::uint64_t{64};  // exclusive bound of the random index of the first target

}  // namespace

auto gateway::has_room() const -> bool {
  return clients_.size() < static_cast<std::size_t>(settings_.max_clients);
}

// A starting gateway usually obtains its lease soon. Clients that connect before that wait for the lease for half the
// failure timeout at most, so that they are neither refused needlessly nor held for long.
auto gateway::wait_for_first_lease() -> task<void> {
  const auto wait_until = host_.now() + settings_.failure_timeout / 2;
  while (!has_served_ && !draining_ && host_.now() < wait_until &&
         clients_.size() + connections_waiting_for_lease_ < static_cast<std::size_t>(settings_.max_clients)) {
    ++connections_waiting_for_lease_;
    co_await session.changed.wait(host_, wait_until);
    --connections_waiting_for_lease_;
    has_served_ = has_served_ || is_serving();
  }
}

// Answers the first request, if there is one, with an error that names a retry time, and closes the connection.
auto gateway::refuse_connection(client_ptr client) -> task<void> {
  auto first = co_await client->transport->next(host_.now() + settings_.failure_timeout);
  const auto error =
      request_error(has_served_ ? errc::busy : errc::not_ready, "the gateway accepts no client connections at present",
                    execution_outcome::not_executed, host_.jittered(settings_.failure_timeout) / millisecond);
  if (first)
    send(client, client_api::encode_connection_error(error));
  client->transport->close();
}

auto gateway::serve_client(std::shared_ptr<client_transport> transport) -> task<void> {
  auto client = std::make_shared<client_connection>();
  client->transport = std::move(transport);
  co_await wait_for_first_lease();
  // A gateway that has served accepts connections even while it has no lease; it refuses each request instead.
  if (!has_served_ || !has_room()) {
    co_await refuse_connection(client);
    co_return;
  }
  client->id = ++last_client_id_;
  clients_[client->id] = client;
  co_await serve_requests(client);
  drop_client(client);
  client->transport->close();
}

auto gateway::serve_requests(client_ptr client) -> task<void> {
  while (!client->closed) {
    auto request = co_await client->transport->next(never);
    if (!request)
      break;
    const auto is_last = client_api::is_last_request(*request);
    handle_request(client, *request);
    if (is_last)
      break;
    const auto connected_during_drain = draining_ && client->id > last_client_before_drain_;
    if (connected_during_drain && !client->redirected)
      redirect(client);
  }
}

auto gateway::drop_client(const client_ptr& client) -> void {
  client->closed = true;
  clients_.erase(client->id);
  const auto subscriptions = client->subscriptions;
  for (const auto& [topic, id] : subscriptions)
    end_subscription(id, true);
}

auto gateway::send(const client_ptr& client, const value& message) -> void {
  if (client->closed)
    return;
  const auto unsent_limit = static_cast<std::size_t>(settings_.buffer_bytes) / unsent_limit_divisor;
  if (client->transport->stream().unsent_bytes() > unsent_limit) {
    client->closed = true;  // the client reads too slowly; it can reconnect and resume by position
    reachridge::log(log_level::info, settings_.name,
                    "closed connection of client '" + client->name + "': too many unsent bytes");
    client->transport->stream().close();
    return;
  }
  client->transport->send(message);
}

// Redirects the client to a ready gateway of this zone, or of another zone if this zone has none.
auto gateway::redirect(const client_ptr& client) -> void {
  auto same_zone = std::vector<std::string>();
  auto other_zones = std::vector<std::string>();
  for (const auto& [name, node] : session.view.nodes()) {
    const auto accepts_clients =
        node.kind == gateway_kind && node.ready && !node.stopping && !node.http_address.empty();
    if (!accepts_clients || node.http_address == session.self.http_address)
      continue;
    (node.zone == settings_.zone ? same_zone : other_zones).push_back(node.http_address);
  }
  const auto& targets = same_zone.empty() ? other_zones : same_zone;
  auto target = client_api::redirect();
  target.retry_after_ms = host_.jittered(settings_.heartbeat_interval * 2) / millisecond;
  if (!targets.empty())
    target.address = targets[redirect_count_++ % targets.size()];
  client->redirected = true;
  send(client, client_api::encode_redirect(target));
}

// Reports the gateway as not ready before it redirects clients. It redirects them in batches so that the other gateways
// are not overloaded, and clients without requests in flight first so that no answer is lost.
auto gateway::leave(monotonic_time limit) -> task<void> {
  draining_ = true;
  session.self.ready = false;
  session.self.stopping = true;
  const auto start = host_.now();
  const auto end = std::min(limit, start + settings_.drain_time);
  const auto redirects_end = start + (end - start) / 2;
  reachridge::log(log_level::info, settings_.name,
                  "drain started: redirecting " + std::to_string(clients_.size()) + " client connections");
  last_client_before_drain_ = last_client_id_;
  redirect_count_ = host_.random_below(redirect_start_bound);
  while (host_.now() < end && !clients_.empty()) {
    redirect_batch(std::max<monotonic_time>(redirects_end - host_.now(), 0));
    co_await sleep_for(host_, settings_.heartbeat_interval / drain_steps_per_heartbeat);
  }
  close_clients();
  co_await session.leave(host_.now() + settings_.heartbeat_interval);
}

// Performs one step of the drain. The batch is large enough that all clients are redirected when `time_left` has
// passed. Clients with requests in flight are skipped until then.
auto gateway::redirect_batch(monotonic_time time_left) -> void {
  auto all = clients_;
  const auto remaining = std::count_if(all.begin(), all.end(), [](const auto& entry) {
    return !entry.second->redirected;
  });
  const auto steps = time_left / (settings_.heartbeat_interval / drain_steps_per_heartbeat) + 1;
  auto budget = (remaining + steps - 1) / steps;
  for (auto& [id, client] : all) {
    if (budget <= 0)
      break;
    const auto is_busy = client->in_flight > 0 && time_left > 0;
    if (client->redirected || is_busy)
      continue;
    --budget;
    redirect(client);
  }
}

auto gateway::close_clients() -> void {
  auto all = clients_;
  for (auto& [id, client] : all) {
    client->closed = true;
    client->transport->close();
  }
}

}  // namespace reachridge
