// The agent beside a gateway. It keeps the session with the control plane on behalf of the gateway (design 5.4).
#pragma once
#include <string>

#include "cluster/control_session.hpp"

namespace reachridge {

// Holds a session with a control node and serves the gateway's session. A lease that the agent grants to the gateway
// expires no later than the agent's own lease. The agent forwards all other requests to the control node unchanged.
class agent {
 public:
  // Starts listening for the gateway. `host` must outlive this object.
  agent(host& host, const settings& settings);
  control_session session;                     // the agent's session with a control node
  [[nodiscard]] auto status() const -> value;  // for the status page and the `status` request
  // Ends the agent's session with the control node before the process stops, at the latest at `deadline`.
  auto leave(monotonic_time deadline) -> task<void>;
  // Applies changed settings. The open session keeps its own copy.
  auto reload(const settings& settings) -> void {
    settings_ = settings;
  }

 private:
  auto handle_call(connection_ptr connection, value request) -> task<value>;
  auto on_session_request(session_request request) -> task<session_reply>;
  auto on_leave() -> void;
  // Copies the gateway's state from its heartbeat to the agent's session, which represents the gateway.
  auto record_gateway(const session_request& request, monotonic_time now) -> void;
  // Returns when the view has changes that the gateway does not hold, when the first lease can be granted, or at the
  // deadline.
  auto wait_for_changes(const session_request& request, monotonic_time deadline) -> task<void>;
  // The longest time for which the gateway may serve after its last request.
  [[nodiscard]] auto gateway_lease_limit() const -> monotonic_time;
  // The configuration version that the agent reports to the control node: the version that the gateway serves. Marks
  // the gateway as not ready if it has been silent for longer than any lease.
  auto reported_version() -> configuration_version;
  [[nodiscard]] auto can_grant_lease() const -> bool {
    return session.has_lease() && session.is_synchronized();
  }
  [[nodiscard]] auto make_lease(monotonic_time received_at) const -> lease_grant;

  host& host_;
  settings settings_;
  configuration_version gateway_version_ = 0;  // version that the gateway serves, according to its last heartbeat
  monotonic_time gateway_seen_at_ = 0;         // arrival time of the gateway's last heartbeat
  task_group tasks_;
};

}  // namespace reachridge
