// The agent beside a gateway: holds the session with the control plane and passes it on (design 5.4).
#pragma once
#include <string>

#include "cluster/control_session.hpp"

namespace reachridge {

// A session with a control node for the gateway, and the other end of the gateway's own session. The lease that the
// gateway is given ends with the agent's. All other requests are passed on to the control node as they are.
class agent {
 public:
  // Starts listening for the gateway; `host` must outlive this object.
  agent(host& host, const settings& settings);
  control_session session;
  [[nodiscard]] auto status() const -> value;
  auto leave(monotonic_time limit) -> task<void>;
  auto reload(const settings& settings) -> void {
    settings_ = settings;
  }

 private:
  auto handle_call(connection_ptr connection, value request) -> task<value>;
  auto on_session_request(session_request request) -> task<session_reply>;
  auto on_leave() -> void;
  // Takes over what the gateway says of itself: the agent's session stands for it.
  auto record_gateway(const session_request& request, monotonic_time now) -> void;
  auto wait_for_changes(const session_request& request, monotonic_time deadline) -> task<void>;
  // The longest that a gateway may serve after its last request.
  [[nodiscard]] auto gateway_lease_limit() const -> monotonic_time;
  // The version that the agent reports: what the gateway serves.
  auto reported_version() -> configuration_version;
  [[nodiscard]] auto can_grant_lease() const -> bool {
    return session.has_lease() && session.is_synchronized();
  }
  [[nodiscard]] auto make_lease(monotonic_time received_at) const -> lease_grant;

  host& host_;
  settings settings_;
  configuration_version gateway_version_ = 0;  // the version that the gateway last said it serves
  monotonic_time gateway_seen_at_ = 0;         // when the gateway last sent a request
  task_group tasks_;
};

}  // namespace reachridge
