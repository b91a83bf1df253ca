// Carries out operators' drain orders: the HTTP page accepts an order, the leader decides it, and the replicated log
// applies it if the fence permits (design 4.6).
#include <algorithm>
#include <set>

#include "control/control_node.hpp"

namespace reachridge {

auto control_node::knows_storage_node(const std::string& name) const -> bool {
  if (state.drains.count(name))
    return true;
  const auto* node = view_.find(name);
  if (node && node->kind == "comb" && !node->reserve)
    return true;
  return !state.partitions_of(name).empty();
}

auto control_node::retirement_rejection(const drain_order& order, const node_zones& remaining_nodes) const
    -> std::optional<request_error> {
  for (const auto& [id, assignment] : state.partitions) {
    if (!assignment.has_in_sync_replica_on(order.name))
      continue;
    const auto& replicas = assignment.in_sync_replicas;
    auto has_other_replica = std::any_of(replicas.begin(), replicas.end(), [&](const auto& member) {
      return node_of_member(member) != order.name && is_live(member);
    });
    if (!has_other_replica)
      return request_error(errc::last_replica,
                           order.name + " holds the only in-sync replica of " + id + " that is reachable",
                           execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  }
  auto reason = state.insufficient_nodes_reason(remaining_nodes, order.replicas);
  if (!reason.empty())
    return request_error(errc::too_few_nodes, reason);
  return {};
}

auto control_node::decide_drain(const drain_order& order, log_index expected_last_order) const -> drain_decision {
  if (!order.begins_drain)
    return {end_drain_command{order.name, expected_last_order}, {}};
  auto command = begin_drain_command{order.name, expected_last_order, order.kind, {}, order.replicas};
  auto refusal = std::optional<request_error>();
  auto targets_zone = !zone_of_key(order.name).empty();
  auto current = state.drains.find(order.name);
  auto already_retiring = current != state.drains.end() && current->second.kind == drain_kind::retire;
  if (!targets_zone && !knows_storage_node(order.name)) {
    refusal = request_error(errc::not_found, "storage node " + order.name + " is unknown");
  } else if (order.kind == drain_kind::retire && !already_retiring) {
    command.remaining_nodes = nodes_remaining_without(order.name);
    refusal = retirement_rejection(order, *command.remaining_nodes);
  }
  if (!refusal)
    return {command, {}};
  return {decline_drain_command{order.name, expected_last_order, command.remaining_nodes, command.replicas}, refusal};
}

// A refusal is committed to the replicated log as well, because orders that were decided earlier must not be applied
// after it.
auto control_node::on_drain_order(const drain_order& order, log_index expected_last_order) -> task<value> {
  auto decision = decide_drain(order, expected_last_order);
  auto command = encode(decision.command);
  auto out = co_await propose(std::move(command));
  if (!get_bool(out, "ok"))
    throw request_error::from_value(out);
  if (decision.refusal)
    throw *decision.refusal;
  co_return out;
}

auto control_node::submit_drain_order(const drain_order& order) -> task<value> {
  auto request = order.to_value();
  request.as_object()["op"] = "leave";
  request.as_object()["after"] = state.drain_fence.index_of(order.name).get();
  auto out = co_await handle_call(nullptr, std::move(request));
  if (!get_bool(out, "ok"))
    throw request_error::from_value(out);
  co_return out;
}

auto control_node::partitions_remaining_on(const control_state& current, const std::string& name) const
    -> std::set<std::string> {
  auto nodes = std::vector<std::string>();
  if (auto zone = zone_of_key(name); zone.empty()) {
    nodes.push_back(name);
  } else {
    for (const auto& [node_name, node] : view_.nodes())
      if (node.kind == "comb" && node.zone == zone)
        nodes.push_back(node_name);
  }
  auto out = std::set<std::string>();
  for (const auto& node : nodes)
    for (const auto& id : current.partitions_of(node))
      out.insert(id);
  return out;
}

auto control_node::list_drains() -> task<http_response> {
  auto current = co_await read_state();
  auto encoded_drains = object();
  for (const auto& [name, drain] : current.drains) {
    auto remaining_partitions = partitions_remaining_on(current, name);
    auto targets_zone = !zone_of_key(name).empty();
    encoded_drains[name] = object{{"kind", to_string(drain.kind)},
                                  {"done", targets_zone ? remaining_partitions.empty() : drain.completed},
                                  {"left", array(remaining_partitions.begin(), remaining_partitions.end())}};
  }
  co_return http_response{200, encoded_drains, {}};
}

auto control_node::read_state() -> task<control_state> {
  auto request = value(object{{"op", "fresh"}});
  auto out = co_await handle_call(nullptr, std::move(request));
  auto current = control_state();
  current.restore(get_value(out, "realm"));
  co_return current;
}

auto control_node::drain_page(http_request request) -> task<http_response> {
  if (request.method == "GET")
    co_return co_await list_drains();
  auto requested = parse_drain_order(request);
  request.deadline = std::min(request.deadline, host_.now() + settings_.failure_timeout);
  auto out = co_await submit_until_decided(requested, request);
  auto zone = zone_of_key(requested.name);
  auto is_unknown_zone = !zone.empty() && !zones().count(zone);
  if (requested.begins_drain && is_unknown_zone)
    out.as_object()["warn"] = "zone " + zone + " currently has no known node";
  co_return http_response{200, out, {}};
}

auto control_node::submit_until_decided(const drain_order& requested, const http_request& request) -> task<value> {
  auto error =
      request_error(errc::superseded, "the client no longer waits for the order", execution_outcome::not_executed, 0);
  while (request.awaited(host_.now())) {
    try {
      co_return co_await submit_drain_order(requested);
    } catch (const request_error& failure) {
      if (failure.code != errc::superseded)
        throw;
      error = failure;
    }
    // Wait until this control node has applied the order that came first.
    auto retry_at = std::min(request.deadline, host_.now() + settings_.heartbeat_interval / 4);
    co_await changed_.wait(host_, retry_at);
  }
  throw error;
}

}  // namespace reachridge
