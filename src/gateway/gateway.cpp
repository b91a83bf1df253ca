// Life cycle, descriptor and status of the gateway.
#include "gateway/gateway.hpp"

#include <algorithm>
#include <cstdio>

#include "gateway/client_codec.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto intervals_per_client_heartbeat = 5;  // heartbeat intervals between two heartbeats to a client

// Returns a prefix with a random run id, which keeps subscription ids of this run distinct from those of earlier runs.
auto subscription_id_prefix(host& machine, const std::string& gateway_name) -> std::string {
  char run_id[20];
  std::snprintf(run_id, sizeof run_id, "%08llx", static_cast<unsigned long long>(machine.random() >> 32));
  return gateway_name + ":" + run_id + ":";
}

}  // namespace

gateway::gateway(host& machine, const settings& configured)
    : session(machine, configured, {configured.feed_address}),
      host_(machine),
      settings_(configured),
      subscriptions_(subscription_id_prefix(machine, configured.name)),
      tasks_(machine) {
  tasks_.on_error = [this](std::exception_ptr error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& thrown) {
      reachridge::log(log_level::warning, settings_.name, std::string("background task failed: ") + thrown.what());
    }
  };
  session.self.kind = gateway_kind;
  session.view.filter = {gateway_kind, settings_.zone};
  session.served_version = [this] {
    update_descriptor();
    return session.view.configuration ? session.view.configuration->number : 0;
  };
  if (!settings_.http_address.empty())
    serve_pages();
  tasks_.spawn(maintain_subscriptions());
  tasks_.spawn(heartbeat_loop());
}

gateway::~gateway() = default;

auto gateway::is_serving() const -> bool {
  return !draining_ && session.may_serve() && session.is_synchronized();
}

// A gateway in an evacuated zone is not ready while another gateway can accept new connections.
auto gateway::ready() const -> bool {
  if (!is_serving())
    return false;
  if (!session.view.is_evacuated(settings_.zone))
    return true;
  const auto nodes = session.view.nodes();
  return std::none_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
    const auto& node = entry.second;
    return node.kind == gateway_kind && node.ready && !session.view.is_draining(node);
  });
}

auto gateway::rules() const -> const compiled_configuration& {
  return *session.view.configuration->compiled();
}

auto gateway::storage_connection(const std::string& address) -> peer_connection& {
  auto& connection = storage_connections_[address];
  if (connection)
    return *connection;
  auto options =
      peer_connection::options{settings_.name, address, settings_.heartbeat_interval, settings_.failure_timeout};
  options.relays = [this, address] {
    return session.view.relays(settings_.zone, address);
  };
  connection = std::make_unique<peer_connection>(host_, std::move(options));
  connection->on_notification = [this, address](const value& message) {
    on_notification(address, message);
  };
  connection->on_state_change = [this, address](bool is_up) {
    if (!is_up)
      subscriptions_.detach_from_node(address);
    session.changed.wake();
  };
  return *connection;
}

auto gateway::primary_address(const std::string& partition) const -> std::string {
  const auto assignment = session.view.partitions.find(partition);
  if (assignment == session.view.partitions.end() || assignment->second.primary.empty())
    return "";
  const auto& primary = assignment->second.primary;
  const auto* node = session.view.find(node_of_member(primary));
  return node && node->member() == primary ? node->address : "";
}

auto gateway::heartbeat_loop() -> task<void> {
  while (true) {
    co_await sleep_for(host_, settings_.heartbeat_interval * intervals_per_client_heartbeat);
    auto all = clients_;
    for (auto& [id, client] : all)
      send(client, client_api::encode_heartbeat());
  }
}

// Updates the descriptor that other nodes receive. Also requests the gateways of all zones if this gateway may have to
// redirect clients to other zones: its zone is evacuated or has had no other gateway for half the failure timeout.
auto gateway::update_descriptor() -> void {
  session.self.ready = ready();
  session.self.stopping = draining_;
  session.self.load = static_cast<std::int64_t>(clients_.size());
  const auto nodes = session.view.nodes();
  const auto has_neighbour = std::any_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
    const auto& node = entry.second;
    return node.kind == gateway_kind && node.zone == settings_.zone && node.http_address != session.self.http_address;
  });
  if (has_neighbour || !session.is_synchronized())
    last_neighbour_seen_at_ = host_.now();
  const auto time_without_neighbour = host_.now() - last_neighbour_seen_at_;
  if (session.view.is_evacuated(settings_.zone) || time_without_neighbour > settings_.failure_timeout / 2)
    session.view.filter.all_zones = true;
}

auto gateway::status() const -> value {
  return object{{"kind", gateway_kind},
                {"name", settings_.name},
                {"zone", settings_.zone},
                {"ready", ready()},
                {"leased", session.has_lease()},
                {"links", clients_.size()},
                {"subscriptions", subscriptions_.size()},
                {"open", subscriptions_.open_count()},
                {"acked", acknowledged_publishes_},
                {"refused", refused_requests_},
                {"unclear", unclear_publishes_},
                {"delivered", delivered_messages_},
                {"beliefs", session.view.encode_known_state()}};
}

}  // namespace reachridge
