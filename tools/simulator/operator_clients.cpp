#include "simulator/operator_clients.hpp"

#include <array>

#include "cluster/types.hpp"
#include "runtime/http.hpp"

namespace reachridge {
namespace {

constexpr auto min_attempt_timeout = 100 * millisecond;  // time until an operator considers an answer lost
constexpr auto max_attempt_timeout = 1500 * millisecond;
constexpr auto min_order_timeout = 300 * millisecond;  // for an order with all its retries
constexpr auto max_order_timeout = 4 * second;
constexpr auto max_pause = 200 * millisecond;

auto content_hash(const value& configuration) -> std::string {
  return std::to_string(std::hash<std::string>()(to_json(configuration)) % 1000000);
}

}  // namespace

operator_clients::operator_clients(fleet& simulated_fleet, std::uint64_t seed)
    : fleet_(simulated_fleet), random_engine_(seed) {
  for (const auto& name : simulated_fleet.names("comb"))
    objects_.push_back(name);
  objects_.push_back(zone_key("z1"));
  auto first_order = operator_order();
  first_order.client = "setup";
  first_order.kind = order_kind::put_configuration;
  first_order.number = 1;
  first_order.content = content_hash(boost::json::parse(probe_configuration(1, simulated_fleet.shape.spaces())));
  first_order.returned = now_ms();
  history_.push_back(first_order);
}

auto operator_clients::start(int operators, monotonic_time until) -> void {
  for (auto i = 1; i <= operators; ++i) {
    ++running_tasks_;
    fleet_.operator_tasks->spawn(run_operator("operator-" + std::to_string(i), until));
  }
}

auto operator_clients::draw_object() -> std::string {
  return objects_[random_below(objects_.size())];
}

auto operator_clients::run_operator(std::string client, monotonic_time until) -> task<void> {
  while (fleet_.network.clock < until) {
    switch (random_below(6)) {
      case 0:
      case 1:
        co_await put_configuration(client);
        break;
      case 2:
        co_await begin_drain(client);
        break;
      case 3:
        co_await withdraw_drain(client);
        break;
      case 4:
        co_await read_configuration(client, max_attempt_timeout);
        break;
      default:
        co_await read_drains(client, max_attempt_timeout);
    }
    co_await sleep_for(*fleet_.outside, static_cast<monotonic_time>(random_below(max_pause)));
  }
  --running_tasks_;
}

auto operator_clients::send_request(order_request request, monotonic_time timeout) -> task<order_answer> {
  auto& host = *fleet_.outside;
  auto control_node = fleet_.control_addresses[random_below(fleet_.control_addresses.size())];
  auto reply = co_await fetch(host, control_node, request.method, request.path, request.body, host.now() + timeout);
  auto result = order_answer();
  result.body = reply.body;
  if (reply.status == 200)
    result.outcome = order_outcome::confirmed;
  if (!reply.body.is_object() || get_string_or(reply.body, "verdict") != "refused")
    co_return result;
  auto code = get_string_or(reply.body, "code");
  result.outcome = order_outcome::refused;
  result.is_temporary = code != "stale" && code != "taken";
  co_return result;
}

// Sends an order until its answer is definite or the operator gives up. The history contains each attempt as an order
// of its own because an earlier attempt may have been executed too, but not after the attempt that is confirmed.
auto operator_clients::send_until_answered(operator_order order, order_request request) -> task<void> {
  auto& host = *fleet_.outside;
  auto end = host.now() + min_order_timeout + static_cast<monotonic_time>(random_below(max_order_timeout));
  while (host.now() < end) {
    order.called = now_ms();
    auto reply = co_await send_request(
        request, min_attempt_timeout + static_cast<monotonic_time>(random_below(max_attempt_timeout)));
    order.returned = now_ms();
    order.outcome = reply.outcome;
    if (!reply.is_temporary)
      history_.push_back(order);
    if (!reply.is_temporary && reply.outcome != order_outcome::unknown)
      co_return;
    co_await sleep_for(host, static_cast<monotonic_time>(random_below(max_pause)));
  }
}

auto operator_clients::put_configuration(std::string client) -> task<void> {
  auto order = operator_order();
  order.client = client;
  order.kind = order_kind::put_configuration;
  // Most orders use the next number. Some reuse a number of another operator, and a few use an older number.
  constexpr auto number_steps = std::array{1, 1, 1, 0, 0, -1};
  order.number = std::max<std::int64_t>(1, newest_number_ + number_steps[random_below(number_steps.size())]);
  newest_number_ = std::max(newest_number_, order.number);
  auto body = probe_configuration(order.number, fleet_.shape.spaces());
  auto distinct_rule = R"("allow publish on probe/w)" + std::to_string(++content_count_) + R"( for prober",)";
  body.insert(body.find(R"("deny all)"), distinct_rule);
  order.content = content_hash(boost::json::parse(body));
  auto request = order_request{"PUT", "/v1/charter", body};
  co_await send_until_answered(order, request);
}

namespace {
auto drain_request_body(const std::string& node_or_zone, const std::string& kind) -> std::string {
  auto zone = zone_of_key(node_or_zone);
  auto body = zone.empty() ? object{{"name", node_or_zone}} : object{{"zone", zone}};
  if (!kind.empty())
    body["kind"] = kind;
  return to_json(body);
}
}  // namespace

auto operator_clients::begin_drain(std::string client) -> task<void> {
  auto order = operator_order();
  order.client = client;
  order.kind = order_kind::order_drain;
  order.object = draw_object();
  constexpr auto kinds = std::array{"evacuate", "evacuate", "drain", "retire"};
  order.content = zone_of_key(order.object).empty() ? kinds[random_below(kinds.size())] : "evacuate";
  auto request = order_request{"POST", "/v1/leave", drain_request_body(order.object, order.content)};
  co_await send_until_answered(order, request);
}

auto operator_clients::withdraw_drain(std::string client) -> task<void> {
  auto order = operator_order();
  order.client = client;
  order.kind = order_kind::withdraw_drain;
  order.object = draw_object();
  auto request = order_request{"POST", "/v1/stay", drain_request_body(order.object, "")};
  co_await send_until_answered(order, request);
}

auto operator_clients::read_configuration(std::string client, monotonic_time timeout) -> task<bool> {
  auto order = operator_order();
  order.client = client;
  order.called = now_ms();
  auto request = order_request{"GET", "/v1/charter", ""};
  auto reply = co_await send_request(request, timeout);
  if (reply.outcome != order_outcome::confirmed)
    co_return false;
  order.number = get_int(reply.body, "number");
  order.content = content_hash(reply.body);
  order.returned = now_ms();
  history_.push_back(order);
  co_return true;
}

auto operator_clients::read_drains(std::string client, monotonic_time timeout) -> task<bool> {
  auto order = operator_order();
  order.client = client;
  order.kind = order_kind::read_drain;
  order.called = now_ms();
  auto request = order_request{"GET", "/v1/leave", ""};
  auto reply = co_await send_request(request, timeout);
  if (reply.outcome != order_outcome::confirmed)
    co_return false;
  order.returned = now_ms();
  for (const auto& object : objects_) {
    order.object = object;
    order.content = get_string_or(get_value(reply.body, object), "kind");
    history_.push_back(order);
  }
  co_return true;
}

auto operator_clients::read_all(monotonic_time until) -> task<void> {
  auto& host = *fleet_.outside;
  ++running_tasks_;
  auto configuration_read = false, drains_read = false;
  while (host.now() < until && !(configuration_read && drains_read)) {
    if (!configuration_read)
      configuration_read = co_await read_configuration("reader", max_attempt_timeout);
    if (!drains_read)
      drains_read = co_await read_drains("reader", max_attempt_timeout);
    co_await sleep_for(host, max_pause);
  }
  --running_tasks_;
}

}  // namespace reachridge
