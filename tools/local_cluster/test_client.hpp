// Simulated clients of the service and the load balancer that distributes them over the gateways (design 9.2).
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "local_cluster/history.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// Polls the readiness of the gateways and picks a random ready gateway for each new connection.
class balancer {
 public:
  balancer(host& owner, const std::vector<std::string>& gateways);
  // Adds a gateway that joined during the run.
  auto watch(const std::string& gateway) -> void {
    tasks_.spawn(poll(gateway));
  }
  // Returns the address of a ready gateway, or an empty string if none is ready.
  auto draw() -> std::string;
  std::set<std::string> ready;

 private:
  auto poll(std::string gateway) -> task<void>;
  host& host_;
  task_group tasks_;
};

// A client that keeps a connection, resumes its subscriptions, publishes in sequence and repeats each publish until the
// answer is clear. The client records everything it sends and receives in the history.
class client {
 public:
  // What the client does.
  struct plan {
    std::string name;
    std::vector<std::string> subscribed_topics, published_topics;
    monotonic_time every = second;  // average time between publishes
    monotonic_time drop = never;    // average time after which the client drops its connection
    int pipe = 1;                   // maximum number of publishes in flight for one topic
    monotonic_time echo = 0;        // some accepted publishes are sent again within this time; 0: none
    monotonic_time until = never;   // time after which no new publish starts
  };
  client(host& owner, balancer& gateways, history& observed, plan behavior);
  // Closes the connection; the client then reconnects.
  auto reset() -> void;
  // Reconnects to another gateway while the old connection stays half open.
  auto reconnect_elsewhere() -> void {
    abandon_connection_ = true;
  }
  // Starts no new publishes. Publishes in flight are repeated until they are answered.
  auto stop_publishing() -> void {
    plan_.until = 0;
  }
  // Stops dropping connections.
  auto keep_connection() -> void {
    plan_.drop = never;
  }
  bool linked = false;

 private:
  // A publish without a final answer. `due` is the time of the next attempt.
  struct publish_in_flight {
    std::string topic, body;
    std::int64_t sequence;
    monotonic_time first_attempt, due;
    int attempts = 0;
  };
  using publish_map = std::map<std::pair<std::string, std::int64_t>, publish_in_flight>;  // by topic and sequence

  auto keep_connected() -> task<void>;
  auto use_connection(std::shared_ptr<json_lines> connection) -> task<void>;
  auto enrol() -> void;
  auto subscribe(const std::string& topic, std::int64_t position) -> void;
  auto drop_connections() -> task<void>;

  auto publish_continuously() -> task<void>;
  auto send_due() -> void;
  auto publish_next(const std::string& topic) -> void;
  auto send_publish(publish_in_flight& publish) -> void;

  auto process(const value& answer) -> void;
  auto on_delivery(const value& answer) -> void;
  auto on_redirect(const value& answer) -> void;
  auto on_subscribe_answer(const value& answer) -> void;
  auto on_subscribed(const value& answer) -> void;
  auto on_publish_answer(const value& answer) -> void;
  auto on_accepted(publish_map::iterator publish) -> void;

  host& host_;
  balancer& balancer_;
  history& history_;
  plan plan_;
  std::shared_ptr<json_lines> connection_;
  std::map<std::string, std::int64_t> positions_;  // by topic; -1: not subscribed before
  publish_map in_flight_;
  std::vector<publish_in_flight> echoes_;  // accepted publishes to be sent again
  std::map<std::string, std::int64_t> sequences_;
  monotonic_time reconnect_delay_ = 0;
  bool abandon_connection_ = false, connecting_ = false;
  task_group tasks_;
};

}  // namespace reachridge
