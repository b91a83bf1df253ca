// Requests of the gateway and the state that the agent reports for it; see agent.hpp.
#include "agent/agent.hpp"

#include "cluster/control_operation.hpp"
#include "cluster/node_kind.hpp"
#include "cluster/session_codec.hpp"
#include "rpc/server.hpp"
#include "runtime/log.hpp"

namespace reachridge {

agent::agent(host& host, const settings& settings)
    : session(host, settings, settings.seeds), host_(host), settings_(settings), tasks_(host) {
  session.self.kind = node_kind::gateway;
  session.view.filter = {node_kind::gateway, settings.zone};
  session.served_version = [this] {
    return reported_version();
  };
  auto handlers = rpc_handlers();
  handlers.on_call = [this](connection_ptr connection, value request) {
    return handle_call(std::move(connection), std::move(request));
  };
  tasks_.spawn(serve(host_, tasks_, host_.listen(settings.feed_address), handlers, settings.name));
}

auto agent::gateway_lease_limit() const -> monotonic_time {
  return settings_.lease_duration + settings_.heartbeat_interval;
}

// The agent reports the version that the gateway serves, not the version that the agent holds. While the gateway is
// silent the reported version does not change, so a newer version does not count as in force everywhere. A gateway that
// has been silent for longer than any lease that it was granted serves nothing; then the agent's own version is
// reported.
auto agent::reported_version() -> configuration_version {
  const auto silent = host_.now() - gateway_seen_at_ > gateway_lease_limit();
  if (silent)
    session.self.ready = false;
  return silent && session.view.configuration ? session.view.configuration->number : gateway_version_;
}

auto agent::handle_call(connection_ptr, value request) -> task<value> {
  const auto operation = find_control_operation(get_string(request, "op"));
  if (operation == control_operation::session) {
    auto reply = co_await on_session_request(decode_session_request(request));
    co_return encode(std::move(reply));
  }
  if (operation == control_operation::leave) {
    on_leave();
    co_return object{{"ok", true}};
  }
  if (operation == control_operation::status)
    co_return status();
  co_return co_await session.call(std::move(request), host_.now() + settings_.request_timeout);
}

auto agent::on_session_request(session_request request) -> task<session_reply> {
  const auto received_at = host_.now();
  record_gateway(request, received_at);
  co_await wait_for_changes(request, received_at + settings_.failure_timeout / heartbeat_waits_per_failure_timeout);
  auto reply = session_reply();
  reply.updates.view_changes = session.view.changes_since(request.held_versions, true);
  if (can_grant_lease())
    reply.lease = make_lease(received_at);
  co_return reply;
}

auto agent::record_gateway(const session_request& request, monotonic_time now) -> void {
  gateway_seen_at_ = now;
  session.self.ready = request.node.ready;
  session.self.stopping = request.node.stopping;
  session.self.load = request.node.load;
  session.self.http_address = request.node.http_address;
  session.self.address = request.node.address;
  gateway_version_ = request.served_version;
  // The agent must hold the nodes of all zones if the gateway asks for them.
  if (requests_all_zones(request.held_versions))
    session.view.filter.all_zones = true;
}

auto agent::wait_for_changes(const session_request& request, monotonic_time deadline) -> task<void> {
  const auto has_changes = [&] {
    return !session.view.changes_since(request.held_versions).empty();
  };
  const auto could_grant_lease = can_grant_lease();
  auto changes_found = has_changes();
  // If the agent has just obtained its first lease, answer at once so that the gateway gets a lease as well.
  while (!changes_found && host_.now() < deadline && (could_grant_lease || !can_grant_lease())) {
    const auto woken = co_await session.changed.wait(host_, deadline);
    changes_found = has_changes();
    if (!woken)
      break;
  }
}

auto agent::make_lease(monotonic_time received_at) const -> lease_grant {
  return {.duration = host_.now() + session.remaining_lease() - received_at,
          .versions = session.requirements_relative_to(received_at),
          .partitions_version = session.view.partitions_version};
}

// Treats the gateway as not serving until its next heartbeat. The agent's own session continues.
auto agent::on_leave() -> void {
  gateway_seen_at_ = host_.now() - gateway_lease_limit() - 1;
  session.self.ready = false;
}

auto agent::leave(monotonic_time deadline) -> task<void> {
  co_await session.leave(deadline);
}

auto agent::status() const -> value {
  return object{{"kind", node_kind::agent},
                {"name", settings_.name},
                {"zone", settings_.zone},
                {"leased", session.has_lease()},
                {"need", session.required_version()},
                {"charter", session.view.configuration ? session.view.configuration->number : 0},
                {"confirmed", gateway_version_},
                {"queen", session.endpoint()},
                {"vec", session.view.version_vector()}};
}

}  // namespace reachridge
