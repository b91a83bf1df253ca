#include "gateway/gateway.hpp"

#include <algorithm>

#include "runtime/log.hpp"
#include "simulator/fleet.hpp"

// Must be the last include because the header redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// A simulated cluster without clients of its own, and raw connections to its first gateway.
struct gateway_fleet {
  gateway_fleet() : simulated(7, shape()) {
    has_started = simulated.begin();
  }
  static auto shape() -> fleet_shape {
    auto without_clients = fleet_shape();
    without_clients.clients = 0;
    return without_clients;
  }
  // Sends raw lines on one connection. Returns the verdict and code of each answer in order of arrival, with " later"
  // for answers that contain a retry time.
  auto send_lines(std::vector<std::string> lines, monotonic_time wait = 2 * second) -> std::vector<std::string> {
    auto answers = std::make_shared<std::vector<std::string>>();
    simulated.operator_tasks->spawn(exchange_lines(simulated, std::move(lines), answers));
    simulated.network.run(simulated.network.clock + wait);
    return *answers;
  }

  // Sends one HTTP request and returns the status of its response.
  auto request_status(std::string method, std::string path, std::string body) -> int {
    auto status = std::make_shared<int>(0);
    simulated.operator_tasks->spawn(fetch_status(simulated, method, path, body, status));
    simulated.network.run(simulated.network.clock + 2 * second);
    return *status;
  }

  static auto exchange_lines(fleet& nodes, std::vector<std::string> lines,
                             std::shared_ptr<std::vector<std::string>> answers) -> task<void> {
    auto& client = *nodes.outside;
    auto stream = co_await open_json_stream(client, nodes.gateway_addresses[0], client.now() + second);
    if (!stream)
      co_return;
    for (const auto& line : lines) {
      auto head = std::string(16, '\0');
      auto size = std::snprintf(head.data(), head.size(), "%zx\r\n", line.size() + 1);
      stream->transport().send(head.substr(0, static_cast<std::size_t>(size)) + line + "\n\r\n");
    }
    while (auto line = co_await stream->next(client.now() + 10 * second)) {
      auto answer = boost::json::parse(*line);
      if (get_string_or(answer, "op") != "verdict")
        continue;
      auto may_retry = get_int_or(answer, "retry_ms", -1) >= 0;
      answers->push_back(get_string_or(answer, "verdict") + " " + get_string_or(answer, "code") +
                         (may_retry ? " later" : ""));
    }
  }

  static auto fetch_status(fleet& nodes, std::string method, std::string path, std::string body,
                           std::shared_ptr<int> status) -> task<void> {
    auto& client = *nodes.outside;
    auto reply = co_await fetch(client, nodes.gateway_addresses[0], method, path, body, client.now() + 2 * second);
    *status = reply.status;
  }

  fleet simulated;
  bool has_started = false;
};
}  // namespace
TEST_GROUP(gateway_bad_input){};

TEST(gateway_bad_input, each_invalid_request_is_refused_and_the_connection_stays_open) {
  auto cluster = gateway_fleet();
  CHECK(cluster.has_started);
  auto answers = cluster.send_lines(
      {"{not json", "[1]", R"({"op":"publish","topic":"alerts/x","seq":1,"body":"b"})",
       R"({"op":"enrol","name":"a b"})", R"({"op":"enrol","name":"me"})",
       R"({"op":"publish","topic":"alerts/x","body":"b"})", R"({"op":"publish","topic":"alerts/x","seq":0,"body":"b"})",
       R"({"op":"publish","topic":"alerts/x","seq":"1","body":"b"})",
       R"({"op":"publish","topic":"alerts/x","seq":1,"body":"b","colour":1})",
       R"({"op":"publish","topic":"nowhere/x","seq":1,"body":"b"})",
       R"({"op":"publish","topic":"noslash","seq":1,"body":"b"})", R"({"op":"subscribe","topic":"probe/v1"})",
       R"({"op":"subscribe","topic":"alerts/x","after":-4})", R"({"op":"subscribe","topic":"alerts/x","after":99999})",
       R"({"op":"dance"})", R"({"op":"publish","topic":"alerts/x","seq":1,"body":")" + std::string(17000, 'x') + "\"}",
       R"({"op":"unsubscribe","topic":"alerts/y"})"});
  // Publishes are answered in the order in which they finish, so the test checks only the number of each error.
  LONGS_EQUAL(17, answers.size());
  auto count = [&](const std::string& outcome) {
    return std::count(answers.begin(), answers.end(), outcome);
  };
  LONGS_EQUAL(9, count("refused malformed"));
  LONGS_EQUAL(1, count("refused below"));
  LONGS_EQUAL(2, count("refused no_space"));  // includes the topic without '/', which has no space's prefix
  LONGS_EQUAL(1, count("refused denied"));
  LONGS_EQUAL(1, count("refused ahead"));
  LONGS_EQUAL(1, count("refused too_long"));
  LONGS_EQUAL(1, count("refused not_found"));
  LONGS_EQUAL(1, count("done "));
}

TEST(gateway_bad_input, single_requests_get_their_http_status) {
  auto cluster = gateway_fleet();
  CHECK(cluster.has_started);
  LONGS_EQUAL(400, cluster.request_status("POST", "/v1/publish", "{"));
  LONGS_EQUAL(400, cluster.request_status("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":1})"));
  LONGS_EQUAL(413, cluster.request_status("POST", "/v1/publish", std::string(80000, 'x')));
  LONGS_EQUAL(403,
              cluster.request_status("POST", "/v1/publish", R"({"name":"me","topic":"probe/v1","seq":1,"body":"b"})"));
  LONGS_EQUAL(404, cluster.request_status("GET", "/v1/nothing", ""));
  LONGS_EQUAL(200,
              cluster.request_status("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":5,"body":"b"})"));
  LONGS_EQUAL(200,
              cluster.request_status("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":5,"body":"b"})"));
  LONGS_EQUAL(409,
              cluster.request_status("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":4,"body":"b"})"));
  LONGS_EQUAL(200, cluster.request_status("GET", "/v1/read?name=me&topic=alerts/x&after=0", ""));
}

TEST(gateway_bad_input, excess_requests_in_flight_are_refused_with_a_retry_time) {
  auto cluster = gateway_fleet();
  CHECK(cluster.has_started);
  auto lines = std::vector<std::string>{R"({"op":"enrol","name":"me"})"};
  for (auto i = 1; i <= 500; ++i)
    lines.push_back(R"({"op":"publish","topic":"alerts/x","seq":)" + std::to_string(i) + R"(,"body":"b"})");
  auto answers = cluster.send_lines(lines);
  LONGS_EQUAL(501, answers.size());
  auto busy = std::count(answers.begin(), answers.end(), "refused busy later");
  auto acked = std::count(answers.begin(), answers.end(), "acked ");
  CHECK(busy > 0);
  CHECK(acked >= 64);
}

TEST(gateway_bad_input, a_line_over_the_size_limit_ends_the_connection) {
  auto cluster = gateway_fleet();
  CHECK(cluster.has_started);
  auto answers = cluster.send_lines({R"({"op":"enrol","name":"me"})", std::string((1 << 20) + 10, 'x')});
  CHECK(answers.size() == 2 && answers[1] == "refused too_long");
}

namespace {
// A client_transport that takes requests from a queue and records the messages that the gateway sends.
class recorded_client : public client_transport {
 public:
  explicit recorded_client(event_loop& loop) : loop_(loop), stream_(loop) {}
  auto next(monotonic_time until) -> task<std::optional<value>> override {
    while (requests_.empty() && !closed) {
      auto in_time = co_await request_added_.wait(loop_, until);
      if (!in_time)
        break;
    }
    if (requests_.empty())
      co_return std::nullopt;
    auto next_request = std::move(requests_.front());
    requests_.pop_front();
    co_return std::move(next_request);
  }
  auto send(const value& message) -> void override {
    received.push_back(message);
  }
  auto close() -> void override {
    closed = true;
    request_added_.wake();
  }
  auto stream() -> reachridge::byte_stream& override {
    return stream_;
  }
  [[nodiscard]] auto wants_cursors() const -> bool override {
    return true;
  }
  auto request(const char* json) -> void {
    requests_.emplace_back(boost::json::parse(json));
    request_added_.wake();
  }
  auto received_of(const std::string& op, const std::string& kind = "") const -> std::vector<value> {
    auto out = std::vector<value>();
    for (const auto& message : received) {
      auto is_of_kind = kind.empty() || get_string_or(message, "for") == kind;
      if (get_string_or(message, "op") == op && is_of_kind)
        out.push_back(message);
    }
    return out;
  }
  std::vector<value> received;
  bool closed = false;

 private:
  struct idle_stream : reachridge::byte_stream {
    using reachridge::byte_stream::byte_stream;
    auto send(std::string_view) -> void override {}
    auto close() -> void override {}
    [[nodiscard]] auto unsent_bytes() const -> std::size_t override {
      return 0;
    }
  };
  event_loop& loop_;
  idle_stream stream_;
  std::deque<value> requests_;
  signal request_added_;
};
struct connected_fleet : gateway_fleet {
  auto node(std::size_t index) -> gateway& {
    return *simulated.processes.at(simulated.names("forager").at(index))->gateway;
  }
  auto open(std::size_t index, const char* name) -> std::shared_ptr<recorded_client> {
    auto client = std::make_shared<recorded_client>(*simulated.outside);
    simulated.operator_tasks->spawn(node(index).serve_client(client));
    client->request((std::string(R"({"op":"enrol","name":")") + name + "\"}").c_str());
    return client;
  }
  auto run(monotonic_time span) -> void {
    simulated.network.run(simulated.network.clock + span);
  }
};
}  // namespace
TEST_GROUP(gateway_connections){};

TEST(gateway_connections, cursors_are_valid_for_any_client_and_one_topic) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto first = cluster.open(0, "a");
  first->request(R"({"op":"subscribe","topic":"alerts/x"})");
  cluster.run(second);
  first->request(R"({"op":"publish","topic":"alerts/x","seq":1,"body":"one"})");
  cluster.run(second);
  first->request(R"({"op":"publish","topic":"alerts/x","seq":2,"body":"two"})");
  cluster.run(second);
  LONGS_EQUAL(2, first->received_of("deliver").size());
  auto cursor = get_string(first->received_of("deliver")[0], "cursor");
  auto other = cluster.open(1, "b");
  other->request((R"({"op":"subscribe","topic":"alerts/x","cursor":")" + cursor + "\"}").c_str());
  other->request((R"({"op":"subscribe","topic":"alerts/y","cursor":")" + cursor + "\"}").c_str());
  other->request(R"({"op":"subscribe","topic":"alerts/z","cursor":"nonsense"})");
  cluster.run(second);
  LONGS_EQUAL(1, other->received_of("deliver").size());
  STRCMP_EQUAL("two", get_string(other->received_of("deliver")[0], "body").c_str());
  auto answers = other->received_of("verdict", "subscribe");
  LONGS_EQUAL(3, answers.size());
  LONGS_EQUAL(2, std::count_if(answers.begin(), answers.end(), [](auto& answer) {
                return get_string_or(answer, "code") == "gone" && get_int_or(answer, "retry_ms", -1) < 0;
              }));
}

TEST(gateway_connections, each_subscriber_is_counted_once_until_it_disconnects) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto first_of_a = cluster.open(0, "a"), second_of_a = cluster.open(1, "a"), client_b = cluster.open(1, "b");
  for (auto& client : {first_of_a, second_of_a, client_b})
    client->request(R"({"op":"subscribe","topic":"alerts/x"})");
  cluster.run(second);
  auto count = [&] {
    auto answers_before = client_b->received_of("verdict", "count").size();
    client_b->request(R"({"op":"count","topic":"alerts/x"})");
    cluster.run(second / 2);
    auto all = client_b->received_of("verdict", "count");
    return all.size() == answers_before + 1 ? get_int_or(all.back(), "count", -1) : -2;
  };
  LONGS_EQUAL(2, count());
  first_of_a->close();
  cluster.run(second / 2);
  LONGS_EQUAL(2, count());  // client a still has its other connection
  second_of_a->close();
  cluster.run(second / 2);
  LONGS_EQUAL(1, count());
}

// A client that reconnects may still have an old connection with requests on it. Publishes that arrive late over the
// old connection must not be delivered twice or out of order, and each answer must go to the connection of its request.
TEST(gateway_connections, late_publishes_on_an_old_connection_are_not_delivered) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto listener = cluster.open(2, "l"), old_connection = cluster.open(0, "a"), new_connection = cluster.open(1, "a");
  listener->request(R"({"op":"subscribe","topic":"alerts/x"})");
  cluster.run(second);
  old_connection->request(R"({"op":"publish","topic":"alerts/x","seq":5,"body":"five"})");
  new_connection->request(R"({"op":"publish","topic":"alerts/x","seq":5,"body":"five"})");  // retry without an answer
  cluster.run(second);
  new_connection->request(R"({"op":"publish","topic":"alerts/x","seq":7,"body":"seven"})");
  cluster.run(second);
  old_connection->request(R"({"op":"publish","topic":"alerts/x","seq":6,"body":"six"})");
  old_connection->request(R"({"op":"publish","topic":"alerts/x","seq":5,"body":"five"})");
  cluster.run(second);
  auto delivered = std::string();
  for (const auto& message : listener->received_of("deliver"))
    delivered += get_string(message, "body") + " ";
  STRCMP_EQUAL("five seven ", delivered.c_str());
  auto answers_of = [](const recorded_client& client) {
    auto out = std::string();
    for (const auto& answer : client.received_of("verdict", "publish"))
      out += std::to_string(get_int(answer, "seq")) +
             (get_string(answer, "verdict") == "acked" ? "+ " : "- " + get_string_or(answer, "code") + " ");
    return out;
  };
  CHECK(answers_of(*old_connection) == "5+ 6- below 5+ " || answers_of(*old_connection) == "5+ 5+ 6- below ");
  STRCMP_EQUAL("5+ 7+ ", answers_of(*new_connection).c_str());
}

// A machine that loses power closes no connection. Its subscribers must still leave the count after a timeout.
TEST(gateway_connections, subscribers_of_a_gateway_without_power_leave_the_count) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto lost_client = cluster.open(0, "a"), remaining_client = cluster.open(1, "b");
  for (auto& client : {lost_client, remaining_client})
    client->request(R"({"op":"subscribe","topic":"alerts/x"})");
  cluster.run(second);
  auto count = [&] {
    remaining_client->request(R"({"op":"count","topic":"alerts/x"})");
    cluster.run(second / 2);
    return get_int_or(remaining_client->received_of("verdict", "count").back(), "count", -1);
  };
  LONGS_EQUAL(2, count());
  cluster.simulated.power(cluster.simulated.processes.at(cluster.simulated.names("forager").at(0))->machine->name,
                          false);
  cluster.run(10 * second);  // shorter than the network takes to give up on unacknowledged data
  LONGS_EQUAL(1, count());
}

TEST(gateway_connections, a_draining_gateway_redirects_its_clients_and_serves_meanwhile) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto client = cluster.open(0, "a");
  client->request(R"({"op":"subscribe","topic":"alerts/x"})");
  cluster.run(second);
  cluster.simulated.operator_tasks->spawn(cluster.node(0).leave(cluster.simulated.network.clock + 3 * second));
  cluster.run(10 * millisecond);
  CHECK(!cluster.node(0).ready());
  client->request(R"({"op":"publish","topic":"alerts/x","seq":1,"body":"one"})");
  cluster.run(second);
  LONGS_EQUAL(1, client->received_of("verdict", "publish").size());
  STRCMP_EQUAL("acked", get_string(client->received_of("verdict", "publish")[0], "verdict").c_str());
  auto redirects = client->received_of("return");
  LONGS_EQUAL(1, redirects.size());
  auto others = cluster.simulated.names("forager");
  CHECK(get_string_or(redirects[0], "to") != cluster.simulated.processes.at(others[0])->settings.http_address);
  CHECK(std::any_of(others.begin(), others.end(), [&](auto& other) {
    return cluster.simulated.processes.at(other)->settings.http_address == get_string_or(redirects[0], "to");
  }));
}

TEST(gateway_connections, a_publish_waits_for_a_takeover_within_its_deadline) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto client = cluster.open(0, "a");
  cluster.run(second);
  auto assignment = cluster.node(0).session.view.partitions.at(
      partition_of(*cluster.node(0).session.view.configuration->compiled()->space_of("alerts/x"), "alerts/x"));
  cluster.simulated.kill(node_of_member(assignment.primary));
  client->request(R"({"op":"publish","topic":"alerts/x","seq":1,"body":"one"})");
  cluster.run(4 * second);
  auto answers = client->received_of("verdict", "publish");
  LONGS_EQUAL(1, answers.size());
  CHECK(get_string(answers[0], "verdict") == "acked" ||
        get_string(answers[0], "verdict") == "unclear");  // unclear: the request was in flight when the process died
}

// After a power loss all clients reconnect at once. If a gateway that is about to obtain its lease refused them, they
// would return only after the retry time. Without a lease, they must be refused soon and with a retry time.
TEST(gateway_connections, connections_to_a_starting_gateway_wait_for_its_first_lease_for_a_limited_time) {
  auto cluster = connected_fleet();
  CHECK(cluster.has_started);
  auto gateway_name = cluster.simulated.names("forager").at(0);
  auto restart_and_connect = [&] {
    cluster.simulated.kill(gateway_name);
    cluster.simulated.start(gateway_name);
    return cluster.open(0, "a");
  };
  auto client = restart_and_connect();
  cluster.run(second / 2);
  LONGS_EQUAL(1, client->received_of("verdict", "enrol").size());
  LONGS_EQUAL(0, client->received_of("verdict", "link").size());
  for (auto& control_node : cluster.simulated.names("queen"))
    cluster.simulated.kill(control_node);
  cluster.run(5 * second);
  auto refused_client = restart_and_connect();
  cluster.run(600 * millisecond);
  auto answers = refused_client->received_of("verdict", "link");
  LONGS_EQUAL(1, answers.size());
  STRCMP_EQUAL("not_ready", get_string(answers[0], "code").c_str());
  CHECK(get_int_or(answers[0], "retry_ms", -1) >= 0);
}
