#include "local_cluster/operator_client.hpp"

#include <algorithm>
#include <utility>

#include "cluster/types.hpp"

namespace reachridge {

operator_client::operator_client(host& owner, std::vector<std::string> control_nodes, std::vector<std::string> gateways,
                                 history& observed)
    : host_(owner), control_nodes_(std::move(control_nodes)), gateways_(std::move(gateways)), history_(observed) {}

auto operator_client::ask(std::string method, std::string path, std::string body, monotonic_time deadline)
    -> task<http_reply> {
  auto reply = http_reply();
  while (host_.now() < deadline) {
    auto address = control_nodes_[host_.random_below(control_nodes_.size())];
    reply = co_await fetch(host_, address, method, path, body, std::min(deadline, host_.now() + 3 * second));
    if (reply.status > 0 && reply.status < 500)
      co_return reply;
    co_await sleep_for(host_, 200 * millisecond);
  }
  co_return reply;
}

namespace {
auto sum_of(const value& content) -> std::string {
  return std::to_string(std::hash<std::string>()(to_json(content)));
}
}  // namespace

// Repeats the request until the answer is clear, as operators do. A refusal is a clear answer.
auto operator_client::put(std::int64_t number, std::string body) -> task<bool> {
  auto request = "charter " + std::to_string(number) + " try " + std::to_string(++count_);
  history_.note(host_, object{{"e", "ask"}, {"what", request}});
  auto reply = co_await ask("PUT", "/v1/charter", body, never / 2);
  history_.note(host_, object{{"e", "told"}, {"what", request}});
  if (reply.status == 200)
    history_.note(host_, object{{"e", "put"}, {"number", number}, {"sum", sum_of(boost::json::parse(body))}});
  co_return reply.status == 200;
}

auto operator_client::await_in_force(std::int64_t number, monotonic_time deadline) -> task<bool> {
  while (host_.now() < deadline) {
    auto reply = co_await ask("GET", "/v1/charter/held?number=" + std::to_string(number), "", deadline);
    if (reply.status == 200 && get_bool(reply.body, "held")) {
      history_.note(host_, object{{"e", "held"}, {"number", number}});
      co_return true;
    }
    co_await sleep_for(host_, 100 * millisecond);
  }
  co_return false;
}

// The gateway accepts the publish only if this configuration is in force there.
auto operator_client::probe(std::string node, std::int64_t number) -> task<void> {
  auto asked_at = host_.now() / millisecond;
  auto body = to_json(
      object{{"name", "prober"}, {"topic", "probe/v" + std::to_string(number)}, {"seq", ++count_}, {"body", "probe"}});
  auto reply = co_await fetch(host_, node, "POST", "/v1/publish", body, host_.now() + 2 * second);
  if (reply.status == 200)
    history_.note(host_, object{{"e", "probe"}, {"node", node}, {"number", number}, {"t0", asked_at}});
}
auto operator_client::probe_all(std::int64_t low, std::int64_t high) -> task<void> {
  for (auto& gateway : gateways_)
    for (auto number = low; number <= high; ++number)
      co_await probe(gateway, number);
}

// Probes the gateways in turn for the newest configuration and the two before it. After every fourth gateway, reads
// back from a random control node.
auto operator_client::poll_continuously(std::function<std::int64_t()> newest) -> task<void> {
  for (auto i = std::size_t{0};; ++i) {
    auto newest_number = newest();
    for (auto number = newest_number; number > 0 && number > newest_number - 3; --number)
      co_await probe(gateways_[i % gateways_.size()], number);
    if (i % 4 == 0)
      co_await read_from(control_nodes_[host_.random_below(control_nodes_.size())], host_.now() + 2 * second);
    co_await sleep_for(host_, 100 * millisecond);
  }
}

auto operator_client::send_once(std::string node, std::string method, std::string path, std::string body)
    -> task<std::string> {
  constexpr auto answered_within = 2 * second;
  auto reply = co_await fetch(host_, node, method, path, body, host_.now() + answered_within);
  if (reply.status == 200)
    co_return "taken";
  // The code last_copy is final for operators, like a refusal.
  if (reply.status >= 500 && get_string_or(reply.body, "code") != "last_copy")
    co_return "retry";
  co_return reply.status > 0 ? "refused" : "late";
}
auto operator_client::put_once(std::string node, std::int64_t number, std::string body) -> task<std::string> {
  auto answer = co_await send_once(std::move(node), "PUT", "/v1/charter", body);
  if (answer == "taken")
    history_.note(host_, object{{"e", "put"}, {"number", number}, {"sum", sum_of(boost::json::parse(body))}});
  co_return answer;
}
auto operator_client::drain_once(std::string node, std::string name, std::string kind) -> task<std::string> {
  auto body = to_json(object{{"name", name}, {"kind", kind}});
  co_return co_await send_once(std::move(node), "POST", "/v1/leave", body);
}
// The consistency checker treats the result like any other read: it must not be older than an earlier acknowledgement.
auto operator_client::read_once(std::string node) -> task<std::string> {
  auto asked_at = host_.now();
  auto was_read = co_await read_from(node, host_.now() + 2 * second);
  if (was_read)
    co_return "taken";
  co_return host_.now() - asked_at < 2 * second ? "retry" : "late";
}

auto operator_client::leave(std::string name, std::string kind, monotonic_time deadline, std::function<void()> accepted)
    -> task<bool> {
  auto body = to_json(object{{"name", name}, {"kind", kind}});
  auto request = "leaving of " + name + " try " + std::to_string(++count_);
  history_.note(host_, object{{"e", "ask"}, {"what", request}});
  auto reply = co_await ask("POST", "/v1/leave", body, deadline);
  history_.note(host_, object{{"e", "told"}, {"what", request}});
  if (reply.status != 200)
    co_return false;
  if (accepted)
    accepted();
  while (host_.now() < deadline) {
    reply = co_await ask("GET", "/v1/leave", "", deadline);
    if (reply.status == 200 && get_bool(get_value(reply.body, name), "done")) {
      history_.note(host_, object{{"e", "left"}, {"name", name}});
      co_return true;
    }
    co_await sleep_for(host_, 200 * millisecond);
  }
  co_return false;
}

auto operator_client::evacuate(std::string zone, monotonic_time deadline) -> task<bool> {
  auto body = to_json(object{{"zone", zone}, {"kind", "evacuate"}});
  auto key = zone_key(zone);
  auto reply = http_reply();
  while (reply.status != 200 && host_.now() < deadline) {
    reply = co_await ask("POST", "/v1/leave", body, deadline);
    if (reply.status != 200)
      co_await sleep_for(host_, 200 * millisecond);
  }
  if (reply.status != 200)
    co_return false;
  history_.note(host_, object{{"e", "left"}, {"name", key}});  // the evacuation is durable once acknowledged
  while (host_.now() < deadline) {
    reply = co_await ask("GET", "/v1/leave", "", deadline);
    if (reply.status == 200 && get_bool(get_value(reply.body, key), "done"))
      co_return true;
    co_await sleep_for(host_, 200 * millisecond);
  }
  co_return false;
}

auto operator_client::read_from(std::string node, monotonic_time deadline) -> task<bool> {
  auto asked_at = host_.now() / millisecond;
  auto reply = co_await fetch(host_, node, "GET", "/v1/charter", "", deadline);
  if (reply.status != 200)
    co_return false;
  history_.note(
      host_,
      object{
          {"e", "newest"}, {"number", get_value(reply.body, "number")}, {"sum", sum_of(reply.body)}, {"t0", asked_at}});
  asked_at = host_.now() / millisecond;
  reply = co_await fetch(host_, node, "GET", "/v1/leave", "", deadline);
  if (reply.status != 200)
    co_return false;
  auto names = array();
  for (const auto& field : reply.body.as_object())
    if (get_bool(field.value(), "done") || !zone_of_key(std::string(field.key())).empty())
      names.emplace_back(field.key());
  history_.note(host_, object{{"e", "leaves"}, {"names", names}, {"t0", asked_at}});
  co_return true;
}
auto operator_client::read_back(monotonic_time deadline) -> task<bool> {
  while (host_.now() < deadline) {
    auto is_read = co_await read_from(control_nodes_[host_.random_below(control_nodes_.size())],
                                      std::min(deadline, host_.now() + 3 * second));
    if (is_read)
      co_return true;
    co_await sleep_for(host_, 200 * millisecond);
  }
  co_return false;
}
auto operator_client::read_all(std::vector<std::string> nodes, monotonic_time deadline) -> task<bool> {
  for (auto& node : nodes) {
    auto is_read = false;
    while (!is_read && host_.now() < deadline) {
      is_read = co_await read_from(node, std::min(deadline, host_.now() + 3 * second));
      if (!is_read)
        co_await sleep_for(host_, 200 * millisecond);
    }
    if (!is_read)
      co_return false;
  }
  co_return true;
}

auto probe_configuration(std::int64_t number, const std::string& spaces) -> std::string {
  auto number_text = std::to_string(number);
  return R"({"number":)" + number_text + R"(,"spaces":[)" + spaces +
         R"(,{"name":"probe","keep_s":0,"cells":1}],"rules":["allow publish on probe/v)" + number_text +
         R"( for prober","deny all on probe/*","allow all on *"]})";
}

}  // namespace reachridge
