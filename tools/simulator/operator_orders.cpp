#include "simulator/operator_orders.hpp"

#include <algorithm>
#include <utility>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto retire_timeout = 40 * second;
constexpr auto no_deadline = never / 2;
constexpr auto catch_up_poll_interval = 5 * millisecond;
// With fewer control nodes, an acknowledged configuration may be on one disk only.
constexpr auto least_voters_for_two_disks = 3;

}  // namespace

auto operator_orders::configure(const std::string& kind) -> void {
  if (kind == "configure_stale")
    return send_stale_configuration();
  if (kind == "configure_invalid")
    return send_invalid_configuration();
  auto body = fleet_.next_configuration();
  auto number = fleet_.configuration_number;
  send_configuration(number, body);
  if (kind != "configure_race")
    return;
  // Racing operators send different contents with the same number. At most one of them succeeds.
  auto other_spaces = fleet_.shape.spaces() + R"(,{"name":"other","keep_s":0,"cells":1})";
  send_configuration(number, probe_configuration(number, other_spaces));
}

auto operator_orders::send_stale_configuration() -> void {
  auto number = fleet_.configuration_number - 1;
  auto body = probe_configuration(number, fleet_.shape.spaces());
  if (number < 1)
    return;
  fleet_.operate([this, body](operator_client& client) -> task<void> {
    auto reply = co_await client.ask("PUT", "/v1/charter", body, no_deadline);
    ++counts_[reply.status == 200 ? "stale_taken" : "stale_refused"];
  });
}

auto operator_orders::send_invalid_configuration() -> void {
  fleet_.operate([this](operator_client& client) -> task<void> {
    auto body = std::string(R"({"number":999999,"spaces":[{"name":"x","keep_s":-5,"odd":1}],"rules":["allow what"]})");
    auto reply = co_await client.ask("PUT", "/v1/charter", body, no_deadline);
    ++counts_[reply.status == 200 ? "bad_taken" : "bad_refused"];
  });
}

auto operator_orders::send_configuration(std::int64_t number, std::string body) -> void {
  fleet_.operate([this, number, body = std::move(body)](operator_client& client) -> task<void> {
    return follow_configuration(client, number, body);
  });
}

auto operator_orders::follow_configuration(operator_client& client, std::int64_t number, std::string body)
    -> task<void> {
  auto acknowledged = co_await client.put(number, body);
  if (!acknowledged) {
    ++counts_["configure_lost"];
    co_return;
  }
  ++counts_["configure_won"];
  check_in_force_after_lease(number);
  auto is_newest = fleet_.configuration_number == number;
  auto has_majority = fleet_.shape.control_nodes >= least_voters_for_two_disks;
  if (is_newest && has_majority && fleet_.control_nodes_with(body) < 2)
    ++counts_["thin_configuration"];
  auto is_in_force = co_await client.await_in_force(number, no_deadline);
  if (!is_in_force)
    co_return;
  ++counts_["held"];
  if (!fleet_.gateway_with_older_configuration(number).empty())
    ++counts_["held_early"];
  co_await client.probe_all(std::max<std::int64_t>(1, number - 1), number);
}

auto operator_orders::check_in_force_after_lease(std::int64_t number) -> void {
  auto lease = fleet_.processes.begin()->second->settings.lease_duration;
  fleet_.network.schedule(fleet_.network.clock + lease, [this, number] {
    auto outdated_gateway = fleet_.gateway_with_older_configuration(number);
    if (outdated_gateway.empty())
      return;
    ++counts_["late_in_force"];
    log(log_level::warning, "scenario",
        outdated_gateway + " may still apply a configuration older than " + std::to_string(number));
  });
}

auto operator_orders::configure_often(std::int64_t changes, monotonic_time interval) -> void {
  for (auto i = std::int64_t{0}; i < changes; ++i) {
    auto is_last_change = i + 1 == changes;
    fleet_.network.schedule(fleet_.network.clock + i * interval, [this, is_last_change] {
      change_configuration(is_last_change);
    });
  }
}

auto operator_orders::change_configuration(bool is_last_change) -> void {
  auto body = fleet_.next_configuration();
  auto number = fleet_.configuration_number;
  fleet_.operate([this, number, body, is_last_change](operator_client& client) -> task<void> {
    auto sent_at = fleet_.network.clock;
    auto acknowledged = co_await client.put(number, body);
    auto elapsed_ms = (fleet_.network.clock - sent_at) / millisecond;
    if (!acknowledged) {
      // A change that a newer change has overtaken is refused as stale. Only the last change must be accepted.
      ++counts_[is_last_change ? "last_change_lost" : "changes_overtaken"];
      co_return;
    }
    ++counts_["changes_acked"];
    counts_["ack_ms"] = std::max(counts_["ack_ms"], elapsed_ms);
    check_in_force_after_lease(number);
    if (is_last_change)
      co_await await_configuration_everywhere(number);
  });
}

// Measures the time until every process has the configuration.
auto operator_orders::await_configuration_everywhere(std::int64_t number) -> task<void> {
  auto acknowledged_at = fleet_.network.clock;
  while (!fleet_.process_with_older_configuration(number).empty())
    co_await sleep_for(*fleet_.outside, catch_up_poll_interval);
  counts_["catch_up_ms"] = (fleet_.network.clock - acknowledged_at) / millisecond;
  ++counts_["caught_up"];
}

auto operator_orders::send_once(const std::string& control_node, const std::string& order) -> void {
  auto address = fleet_.processes.at(control_node)->settings.http_address;
  if (order == "read")
    return fleet_.operate([this, address](operator_client& client) -> task<void> {
      auto answer = co_await client.read_once(address);
      ++counts_["read_" + answer];
    });
  if (order == "configure") {
    auto body = fleet_.next_configuration();
    auto number = fleet_.configuration_number;
    return fleet_.operate([this, address, number, body](operator_client& client) -> task<void> {
      auto answer = co_await client.put_once(address, number, body);
      ++counts_["order_" + answer];
    });
  }
  auto colon = order.find(':');
  auto kind = order.substr(0, colon);
  auto node = colon == std::string::npos ? std::string() : order.substr(colon + 1);
  if (kind != "retire" && kind != "drain")
    throw request_error(errc::invalid_scenario,
                        "'" + order + "' is not an order: expected read, configure, drain:NODE or retire:NODE");
  fleet_.operate([this, address, kind, node](operator_client& client) -> task<void> {
    auto answer = co_await client.drain_once(address, node, kind);
    ++counts_["order_" + answer];
  });
}

auto operator_orders::drain(const std::string& node, const std::string& kind, monotonic_time deadline) -> void {
  fleet_.operate([this, node, kind, deadline](operator_client& client) -> task<void> {
    auto completed = co_await client.leave(node, kind, deadline);
    ++counts_[completed ? "left" : "leave_refused"];
  });
}

auto operator_orders::evacuate_zone(const std::string& zone, monotonic_time deadline) -> void {
  fleet_.operate([this, zone, deadline](operator_client& client) -> task<void> {
    auto completed = co_await client.evacuate(zone, deadline);
    ++counts_[completed ? "cleared" : "clear_late"];
  });
}

auto operator_orders::retire(const std::string& node, std::function<void()> on_accepted,
                             std::function<void()> on_removed) -> void {
  auto deadline = fleet_.network.clock + retire_timeout;
  fleet_.operate([this, node, deadline, on_accepted = std::move(on_accepted),
                  on_removed = std::move(on_removed)](operator_client& client) -> task<void> {
    auto completed = co_await client.leave(node, "retire", deadline, on_accepted);
    ++counts_[completed ? "left" : "leave_refused"];
    if (!completed)
      co_return;
    fleet_.remove(node);
    if (on_removed)
      on_removed();
  });
}

}  // namespace reachridge
