// The gateway serves client connections and HTTP requests by the rules of the newest configuration, and forwards the
// requests to the primaries of partitions (design 7).
#pragma once
#include <map>
#include <memory>
#include <string>

#include "cluster/control_session.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/client_messages.hpp"
#include "gateway/client_transport.hpp"
#include "gateway/storage_messages.hpp"
#include "gateway/subscription_table.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// A gateway of a zone. Owns its session with the control plane, its connections to storage nodes, its client
// connections and their subscriptions. All functions must be called from the same event loop.
//
// The implementation is divided by concern: gateway.cpp (life cycle, descriptor, status), client_service.cpp (client
// connections, drain), requests.cpp (publish, count), subscriptions.cpp (subscriptions), pages.cpp (HTTP).
class gateway {
 public:
  gateway(host& machine, const settings& configured);
  ~gateway();

  // Returns the state and the counters that operators and the simulator read.
  [[nodiscard]] auto status() const -> value;
  // Drains the gateway: reports it as not ready, redirects its clients and closes the connections that remain at
  // `limit` or after the configured drain time. Then ends the session.
  auto leave(monotonic_time limit) -> task<void>;
  // Replaces the settings.
  auto reload(const settings& next) -> void {
    settings_ = next;
  }
  // Returns whether new client connections should be made to this gateway.
  [[nodiscard]] auto ready() const -> bool;
  // Returns the rules of the newest configuration. The session must have received a configuration.
  [[nodiscard]] auto rules() const -> const compiled_configuration&;
  // Returns whether the gateway serves requests. It may do so while it is not ready for new connections.
  [[nodiscard]] auto is_serving() const -> bool;
  // Serves one connection until it ends. A listener spawns this task for each connection that it accepts.
  auto serve_client(std::shared_ptr<client_transport> transport) -> task<void>;

  control_session session;

 private:
  // The topic after rewriting by the newest configuration, and the space that contains it.
  struct route {
    std::string topic;
    reachridge::space space;
    [[nodiscard]] auto partition() const -> std::string {
      return partition_of(space, topic);
    }
  };

  // Node kinds as written in node descriptors.
  static constexpr auto gateway_kind = "forager";
  static constexpr auto storage_kind = "comb";

  // Life cycle and descriptor.
  auto heartbeat_loop() -> task<void>;
  auto update_descriptor() -> void;
  auto storage_connection(const std::string& address) -> peer_connection&;
  // Returns the address of the partition's primary; empty if the primary is unknown or its node is not in the view.
  [[nodiscard]] auto primary_address(const std::string& partition) const -> std::string;

  // Client connections.
  auto wait_for_first_lease() -> task<void>;
  auto refuse_connection(client_ptr client) -> task<void>;
  auto serve_requests(client_ptr client) -> task<void>;
  auto drop_client(const client_ptr& client) -> void;
  auto send(const client_ptr& client, const value& message) -> void;
  auto redirect(const client_ptr& client) -> void;
  auto redirect_batch(monotonic_time time_left) -> void;
  auto close_clients() -> void;
  [[nodiscard]] auto has_room() const -> bool;

  // Requests.
  auto handle_request(const client_ptr& client, const value& request) -> void;
  auto dispatch(const client_ptr& client, const std::string& operation_name, const value& request) -> void;
  auto enrol(const client_ptr& client, client_api::enrol_request request) -> void;
  auto begin_request(const client_ptr& client, const char* request_kind) -> void;
  auto publish(client_ptr client, client_api::publish_request request, client_api::echoed_fields echoed) -> task<void>;
  auto count_subscribers(client_ptr client, client_api::count_request request, client_api::echoed_fields echoed)
      -> task<void>;
  auto send_publish(std::string client_name, client_api::publish_request request) -> task<client_api::publish_result>;
  auto call_primary(std::string partition, value request, monotonic_time wait_until, monotonic_time deadline)
      -> task<value>;
  [[nodiscard]] auto usable_primary_address(const std::string& partition, const std::string& rejected_by) const
      -> std::string;
  auto wait_for_primary(std::string partition, std::string rejected_by, monotonic_time wait_until) -> task<bool>;
  auto call_if_connected(std::string address, value request, monotonic_time deadline) -> task<std::optional<value>>;
  [[nodiscard]] auto primary_wait_end(const space& target_space) const -> monotonic_time;
  [[nodiscard]] auto request_deadline(const space& target_space, monotonic_time default_timeout) const
      -> monotonic_time;
  auto resolve_route(action requested_action, const std::string& client_name, const std::string& topic,
                     std::size_t bytes) -> route;

  // Subscriptions.
  auto subscribe(const client_ptr& client, client_api::subscribe_request request) -> void;
  auto unsubscribe(const client_ptr& client, const client_api::unsubscribe_request& request) -> void;
  auto end_subscription(const std::string& id, bool notify_primary) -> void;
  auto open_subscription(const std::string& id, subscription& entry) -> void;
  auto maintain_subscriptions() -> task<void>;
  auto end_denied_subscriptions() -> void;
  auto connect_to_storage_nodes() -> void;
  auto reopen_subscriptions() -> bool;
  auto reopen_if_due(const std::string& id, subscription& entry, bool primary_moved) -> void;
  auto on_notification(const std::string& address, const value& message) -> void;
  auto on_delivery(const std::string& address, const storage_api::delivery& message) -> void;
  auto on_subscribe_reply(const std::string& address, const storage_api::subscribe_reply& reply) -> void;
  auto on_subscription_accepted(subscription& entry, const storage_api::subscribe_reply& reply) -> void;
  [[nodiscard]] auto cursor_for(const subscription& entry, std::int64_t position) const -> std::optional<std::string>;

  // HTTP.
  auto serve_pages() -> void;
  auto handle_page(http_request request) -> task<http_response>;
  auto handle_stream(http_request request, std::shared_ptr<json_lines> lines) -> task<void>;
  auto readiness_page() -> http_response;
  auto read_page(http_request request) -> task<http_response>;

  host& host_;
  settings settings_;
  std::map<std::string, std::unique_ptr<peer_connection>> storage_connections_;  // by address
  subscription_table subscriptions_;
  std::map<std::uint64_t, client_ptr> clients_;  // by connection id
  std::uint64_t last_client_id_ = 0;
  std::uint64_t last_client_before_drain_ = 0;      // last connection accepted before the drain started
  std::int64_t subscriptions_checked_version_ = 0;  // version that all subscriptions were last checked against
  // Counters since the start of the process.
  std::uint64_t acknowledged_publishes_ = 0;
  std::uint64_t refused_requests_ = 0;
  std::uint64_t unclear_publishes_ = 0;  // the publish may have been executed
  std::uint64_t delivered_messages_ = 0;
  bool draining_ = false;                          // leave() was called
  bool has_served_ = false;                        // the gateway has held a lease and a synchronized view
  std::size_t connections_waiting_for_lease_ = 0;  // connections that wait for the first lease
  monotonic_time last_neighbour_seen_at_ = 0;      // when the view last had another gateway of this zone
  std::size_t redirect_count_ = 0;                 // selects the targets of redirects in turn
  task_group tasks_;
};

}  // namespace reachridge
