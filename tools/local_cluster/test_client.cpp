#include "local_cluster/test_client.hpp"

#include <algorithm>
#include <utility>

namespace reachridge {
namespace {

constexpr auto poll_interval = 400 * millisecond;
constexpr auto connect_timeout = 2 * second;
constexpr auto silence_limit = 3500 * millisecond;  // must exceed every heartbeat interval
constexpr auto answer_timeout = 6 * second;         // a publish without an answer is repeated after this time
constexpr auto half_open_time = 8 * second;         // average time until an unread connection is closed
constexpr auto least_retry_ms = std::int64_t{50};
// In one of this many cases, a dropped connection is left half open or an accepted publish is repeated.
constexpr auto chance_one_in = std::uint64_t{4};

auto get_space(const std::string& topic) -> std::string {
  return topic.substr(0, topic.find('/'));
}

// Leaves a connection open without reading from it until the host of the client would close it.
auto leave_half_open(host& machine, std::shared_ptr<json_lines> connection) -> task<void> {
  co_await sleep_for(machine, machine.jittered(half_open_time));
  connection->transport().close();
}

}  // namespace

balancer::balancer(host& owner, const std::vector<std::string>& gateways) : host_(owner), tasks_(owner) {
  for (const auto& gateway : gateways)
    tasks_.spawn(poll(gateway));
}

auto balancer::poll(std::string gateway) -> task<void> {
  while (true) {
    auto reply = co_await fetch(host_, gateway, "GET", "/readyz", "", host_.now() + second);
    if (reply.status == 200)
      ready.insert(gateway);
    else
      ready.erase(gateway);
    co_await sleep_for(host_, poll_interval);
  }
}

auto balancer::draw() -> std::string {
  if (ready.empty())
    return {};
  return *std::next(ready.begin(), static_cast<std::ptrdiff_t>(host_.random_below(ready.size())));
}

client::client(host& owner, balancer& gateways, history& observed, plan behavior)
    : host_(owner), balancer_(gateways), history_(observed), plan_(std::move(behavior)), tasks_(owner) {
  for (const auto& topic : plan_.subscribed_topics)
    positions_[topic] = -1;
  tasks_.spawn(keep_connected());
  if (!plan_.published_topics.empty())
    tasks_.spawn(publish_continuously());
  if (plan_.drop < never)
    tasks_.spawn(drop_connections());
}

auto client::reset() -> void {
  if (connection_)
    connection_->transport().close();
}

auto client::drop_connections() -> task<void> {
  while (true) {
    co_await sleep_for(host_, host_.jittered(plan_.drop));
    if (host_.random_below(chance_one_in) == 0)
      reconnect_elsewhere();
    else
      reset();
  }
}

// Connects, resumes the subscriptions and reads messages. Reconnects after each disconnect. Never returns.
auto client::keep_connected() -> task<void> {
  while (true) {
    reconnect_delay_ = host_.jittered(500 * millisecond);
    if (!connecting_)
      history_.note(host_, object{{"e", "seek"}, {"who", plan_.name}});
    connecting_ = true;
    auto gateway = balancer_.draw();
    auto connection = std::shared_ptr<json_lines>();
    if (!gateway.empty())
      connection = co_await open_json_stream(host_, gateway, host_.now() + connect_timeout);
    if (connection)
      co_await use_connection(connection);
    co_await sleep_for(host_, reconnect_delay_);
  }
}

auto client::use_connection(std::shared_ptr<json_lines> connection) -> task<void> {
  connection_ = connection;
  enrol();
  linked = true;
  abandon_connection_ = false;
  for (auto& [key, publish] : in_flight_)
    publish.due = host_.now();
  while (!abandon_connection_) {
    auto line = co_await connection->next(host_.now() + silence_limit);
    if (!line)
      break;  // the connection is closed or silent
    process(boost::json::parse(*line));
  }
  linked = false;
  if (abandon_connection_ && !connection->transport().closed)
    tasks_.spawn(leave_half_open(host_, connection));
  else
    connection->transport().close();
  connection_.reset();
}

auto client::enrol() -> void {
  connection_->write(object{{"op", "enrol"}, {"name", plan_.name}});
  for (const auto& [topic, position] : positions_)
    subscribe(topic, position);
}

auto client::subscribe(const std::string& topic, std::int64_t position) -> void {
  auto request = object{{"op", "subscribe"}, {"topic", topic}};
  if (position >= 0)
    request["after"] = position;
  history_.note(host_, object{{"e", "sub"}, {"who", plan_.name}, {"topic", topic}, {"after", position}});
  connection_->write(request);
}

auto client::send_publish(publish_in_flight& publish) -> void {
  history_.note(host_, object{{"e", "try"},
                              {"who", plan_.name},
                              {"topic", publish.topic},
                              {"seq", publish.sequence},
                              {"body", publish.body}});
  ++publish.attempts;
  publish.due = host_.now() + answer_timeout;
  connection_->write(
      object{{"op", "publish"}, {"topic", publish.topic}, {"seq", publish.sequence}, {"body", publish.body}});
}

// Publishes to the topics in turn with a limit of publishes in flight for each topic, and repeats publishes that are
// due. Never returns.
auto client::publish_continuously() -> task<void> {
  co_await sleep_for(host_, host_.jittered(plan_.every));
  auto next_publish = host_.now();
  auto topic_index = std::size_t{0};
  while (true) {
    auto now = host_.now();
    if (linked && connection_) {
      send_due();
      if (now >= next_publish && now < plan_.until) {
        next_publish = now + host_.jittered(plan_.every);
        publish_next(plan_.published_topics[topic_index++ % plan_.published_topics.size()]);
      }
    }
    auto interval = std::max<monotonic_time>(5 * millisecond, plan_.every / 4);
    co_await sleep_for(host_, std::min<monotonic_time>(100 * millisecond, interval));
  }
}

auto client::send_due() -> void {
  auto now = host_.now();
  for (auto& [key, publish] : in_flight_)
    if (publish.due <= now)
      send_publish(publish);
  for (auto echo = echoes_.begin(); echo != echoes_.end();) {
    if (echo->due > now) {
      ++echo;
      continue;
    }
    send_publish(*echo);
    ++history_.counts["echo sent"];
    echo = echoes_.erase(echo);
  }
}

auto client::publish_next(const std::string& topic) -> void {
  auto in_flight_count = std::count_if(in_flight_.begin(), in_flight_.end(), [&](const auto& entry) {
    return entry.first.first == topic;
  });
  if (in_flight_count >= plan_.pipe)
    return;
  auto now = host_.now();
  auto sequence = ++sequences_[topic];
  auto body =
      plan_.name + "|" + topic + "|" + std::to_string(sequence) + "|" + std::to_string(host_.random() % 1000000);
  auto& publish = in_flight_[{topic, sequence}];
  publish = {topic, body, sequence, now, now, 0};
  history_.sent[{topic + " " + plan_.name, sequence}] = now;
  send_publish(publish);
}

auto client::process(const value& answer) -> void {
  auto operation = get_string_or(answer, "op");
  auto answered = get_string_or(answer, "for");
  if (operation == "deliver")
    return on_delivery(answer);
  if (operation == "return")
    return on_redirect(answer);
  if (operation == "ended")
    return on_subscribe_answer(answer);
  if (operation != "verdict")
    return;
  if (answered == "subscribe")
    return on_subscribe_answer(answer);
  if (answered == "link")
    reconnect_delay_ = get_int_or(answer, "retry_ms", 500) * millisecond;
  if (answered == "publish")
    on_publish_answer(answer);
}

auto client::on_delivery(const value& answer) -> void {
  auto topic = get_string(answer, "topic");
  auto position = get_int(answer, "pos");
  history_.note(host_, object{{"e", "got"},
                              {"who", plan_.name},
                              {"topic", topic},
                              {"pos", position},
                              {"from", get_value(answer, "from")},
                              {"seq", get_value(answer, "seq")},
                              {"body", get_value(answer, "body")}});
  positions_[topic] = position;
  auto sent = history_.sent.find({topic + " " + get_string(answer, "from"), get_int(answer, "seq")});
  if (sent != history_.sent.end())
    history_.deliveries[get_space(topic)].push_back(host_.now() - sent->second);
}

auto client::on_redirect(const value& answer) -> void {
  reconnect_delay_ = get_int_or(answer, "retry_ms", 100) * millisecond;
  reset();
}

auto client::on_subscribe_answer(const value& answer) -> void {
  if (get_string_or(answer, "verdict") == "done")
    return on_subscribed(answer);
  auto topic = get_string(answer, "topic");
  auto code = get_string_or(answer, "code");
  ++history_.counts["subscribe " + code];
  if (code != "gone")
    return reset();  // reconnect to another gateway
  history_.note(host_, object{{"e", "gone"}, {"who", plan_.name}, {"topic", topic}, {"after", positions_[topic]}});
  positions_[topic] = -1;
  if (connection_)
    connection_->write(object{{"op", "subscribe"}, {"topic", topic}});
}

auto client::on_subscribed(const value& answer) -> void {
  auto topic = get_string(answer, "topic");
  if (connecting_)
    history_.note(host_, object{{"e", "linked"}, {"who", plan_.name}});
  connecting_ = false;
  history_.note(host_,
                object{{"e", "subbed"}, {"who", plan_.name}, {"topic", topic}, {"pos", get_value(answer, "pos")}});
  if (positions_[topic] < 0)
    positions_[topic] = get_int(answer, "pos");
}

auto client::on_publish_answer(const value& answer) -> void {
  auto topic = get_string(answer, "topic");
  auto outcome = get_string_or(answer, "verdict");
  auto code = get_string_or(answer, "code");
  auto retry_ms = get_int_or(answer, "retry_ms", -1);
  auto publish = in_flight_.find({topic, get_int(answer, "seq")});
  history_.note(host_, object{{"e", "verdict"},
                              {"who", plan_.name},
                              {"topic", topic},
                              {"seq", get_value(answer, "seq")},
                              {"verdict", outcome},
                              {"code", code},
                              {"retry", retry_ms},
                              {"pos", get_int_or(answer, "pos", -1)}});
  ++history_.counts["publish " + outcome + (code.empty() ? "" : " " + code)];
  if (publish == in_flight_.end())
    return;
  auto refused_for_good = outcome == "refused" && retry_ms < 0;
  if (outcome == "acked")
    on_accepted(publish);
  else if (refused_for_good)
    in_flight_.erase(publish);
  else
    publish->second.due = host_.now() + std::max(retry_ms, least_retry_ms) * millisecond;
}

auto client::on_accepted(publish_map::iterator publish) -> void {
  auto& accepted = publish->second;
  history_.acks[get_space(accepted.topic)].push_back(host_.now() - accepted.first_attempt);
  if (plan_.echo > 0 && host_.random_below(chance_one_in) == 0) {
    accepted.due =
        host_.now() + static_cast<monotonic_time>(host_.random_below(static_cast<std::uint64_t>(plan_.echo)));
    echoes_.push_back(accepted);
  }
  in_flight_.erase(publish);
}

}  // namespace reachridge
