// Life cycle of the gateway, its descriptor and its status.
#include "gateway/gateway.hpp"

#include <algorithm>
#include <cstdio>

#include "gateway/client_codec.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto heartbeats_per_beat = 5;  // clients get a sign of life once in so many heartbeat intervals

// Sets the subscriptions of this run apart from those of an earlier one.
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
      reachridge::log(log_level::warning, settings_.name, std::string("task ended: ") + thrown.what());
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
  return !leaving_ && session.may_serve() && session.is_synchronized();
}

// Out of an evacuated zone new connections go elsewhere, as long as another gateway can take them.
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
      subscriptions_.lose_primaries_at(address);
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
    co_await sleep_for(host_, settings_.heartbeat_interval * heartbeats_per_beat);
    auto all = clients_;
    for (auto& [id, client] : all)
      send(client, client_api::encode_heartbeat());
  }
}

// What other nodes learn of this one. Where it may have to redirect clients to other zones it asks for the gateways of
// all zones as well: its own zone is evacuated, or no other gateway is there.
auto gateway::update_descriptor() -> void {
  session.self.ready = ready();
  session.self.stopping = leaving_;
  session.self.load = static_cast<std::int64_t>(clients_.size());
  const auto nodes = session.view.nodes();
  const auto has_neighbour = std::any_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
    const auto& node = entry.second;
    return node.kind == gateway_kind && node.zone == settings_.zone && node.http_address != session.self.http_address;
  });
  if (has_neighbour || !session.is_synchronized())
    alone_since_ = host_.now();
  const auto alone_for = host_.now() - alone_since_;
  if (session.view.is_evacuated(settings_.zone) || alone_for > settings_.failure_timeout / 2)
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
                {"acked", acked_},
                {"refused", refused_},
                {"unclear", unclear_},
                {"delivered", delivered_},
                {"beliefs", session.view.encode_known_state()}};
}

}  // namespace reachridge
