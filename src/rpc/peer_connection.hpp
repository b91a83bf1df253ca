// The calling side of a connection between two processes of the system, with automatic reconnection (design 3.3).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rpc/connection.hpp"
#include "rpc/messages.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// Maintains one connection to one address for the lifetime of the object. The connection is up after the first received
// frame, which proves a round trip: a network partition can let only one direction through. The connection is closed if
// no frame was received for `failure_timeout`. The module that calls the peer owns the object, and all its code runs on
// that module's event loop.
class peer_connection {
 public:
  struct options {
    std::string own_name;               // name of this process, sent in the hello message
    std::string address;                // IP:PORT of the peer
    monotonic_time heartbeat_interval;  // between heartbeats until the connection is up; also the initial retry delay
    monotonic_time failure_timeout;  // the peer is lost after this time without a frame; also the longest retry delay
    // Returns the addresses of members that can relay to the peer. Every other connection attempt goes through one
    // randomly chosen relay; there is never more than one relay hop. May be empty.
    std::function<std::vector<std::string>()> relays = {};
  };
  peer_connection(host& machine, options chosen);

  // Sends a call and waits for its reply until the deadline. Throws the request_error that the peer replied with,
  // errc::unreachable if the connection is not up and the call was therefore not sent, or errc::unclear if the
  // connection was lost or the deadline passed before the reply. A call is never retried automatically.
  auto call(value body, monotonic_time deadline) -> task<value>;
  // Sends a notification. Returns false if the connection is not up.
  auto send(const value& body) -> bool;
  // Gives up the current connection. Pending calls fail immediately with errc::unclear.
  auto disconnect() -> void;

  [[nodiscard]] auto is_up() const -> bool {
    return up_;
  }
  // Returns the time of the last received frame, or the time of the connection's start if no frame was received.
  [[nodiscard]] auto last_contact() const -> monotonic_time {
    return last_contact_;
  }
  [[nodiscard]] auto address() const -> const std::string& {
    return options_.address;
  }
  // Returns the time at which a direct attempt was last refused because no process listens on the address, or -never if
  // no attempt was refused since the connection was last up.
  [[nodiscard]] auto refused_at() const -> monotonic_time {
    return refused_at_;
  }
  // Returns whether the connection is up and goes through a relay.
  [[nodiscard]] auto relayed() const -> bool {
    return up_ && relayed_;
  }

  // Callbacks. Each may be empty.
  std::function<void(const value&)> on_notification;
  std::function<void(bool up)> on_state_change;
  // Called if the peer closed the connection and refused the next attempt. Its process has then ended.
  std::function<void()> on_process_gone;
  connection_ptr active;  // the current connection, which may not be up yet; null if there is none

 private:
  struct pending_call {
    signal done;
    std::optional<value> reply;
    bool disconnected = false;
  };

  // Connects, serves the connection until it ends, and repeats both until the object is destroyed.
  auto run() -> task<void>;
  auto open_stream() -> task<byte_stream_ptr>;
  auto run_connection(byte_stream_ptr stream) -> task<void>;
  // Returns the address of a relay for this attempt, or an empty string to connect directly.
  auto choose_relay() -> std::string;
  // Records that a direct attempt was refused.
  auto handle_refusal() -> void;
  auto start_connection(byte_stream_ptr stream) -> void;
  // Prepares the next attempt after the end of a connection that was up.
  auto prepare_reconnect(monotonic_time started_at) -> void;

  auto send_heartbeats(connection_ptr current) -> task<void>;
  // Returns the time without a received frame after which a heartbeat is due.
  [[nodiscard]] auto heartbeat_gap() const -> monotonic_time;
  [[nodiscard]] auto is_silent(monotonic_time now) const -> bool;

  auto handle_frame(const value& body) -> void;
  auto handle_reply(const value& reply) -> void;
  auto mark_up() -> void;
  [[nodiscard]] auto can_send() const -> bool {
    return up_ && active && active->is_open();
  }
  [[nodiscard]] auto retry_after_ms() const -> std::int64_t {
    return options_.heartbeat_interval / millisecond;
  }

  host& host_;
  options options_;
  bool up_ = false;
  bool relayed_ = false;  // the last attempt went through a relay
  monotonic_time last_contact_ = 0;
  monotonic_time refused_at_ = -never;
  int attempts_ = 0;                // since a connection was last up; odd attempts go through a relay if there is one
  bool closed_by_peer_ = false;     // the peer closed the last connection that was up; its process may have ended
  monotonic_time reconnect_delay_;  // before the next attempt; doubled each time up to the failure timeout
  call_id last_call_id_ = 0;
  std::map<call_id, std::shared_ptr<pending_call>> pending_calls_;
  task_group tasks_;  // the last member, so that its tasks are destroyed before the members that they use
};

}  // namespace reachridge
