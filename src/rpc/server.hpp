// The accepting side of connections between processes of the system: serves calls, notifications and relays, and closes
// connections to peers that no longer respond (design 3.3, 3.8).
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "rpc/connection.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// The callbacks of a server. All of them run on the event loop.
struct rpc_handlers {
  // Executes a call and returns the body of its reply. A request_error is returned to the caller, any other exception
  // is returned as errc::malformed.
  std::function<task<value>(connection_ptr, value)> on_call;
  // Handles a message that has no reply. Messages arrive in the order in which the peer sent them. May be empty.
  std::function<void(const connection_ptr&, const value&)> on_notification;
  // Called when a connection has ended. May be empty.
  std::function<void(const connection_ptr&)> on_close;
  // Returns whether an address belongs to a member of the cluster, to which connections may be relayed. If empty, the
  // server relays no connection.
  std::function<bool(const std::string&)> may_relay;
  // The time between two sweeps. A sweep sends heartbeats to silent peers and closes the connections of peers that do
  // not reply. It finds peers that are gone without having closed their connection, for example after a power failure
  // or during a network partition. 0 disables the sweeps.
  monotonic_time sweep_interval = 0;
};

// Accepts connections and serves each of them in a task of `tasks`, until that group is destroyed. The log lines appear
// under `own_name`.
auto serve(host& machine, task_group& tasks, std::unique_ptr<listener> listening, rpc_handlers handlers,
           std::string own_name) -> task<void>;

}  // namespace reachridge
