// The state that a gateway keeps for one client connection (design 7.2).
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "gateway/client_transport.hpp"

namespace reachridge {

// The task that serves the connection shares this state with the requests in flight, which may outlive the task.
struct client_connection {
  std::shared_ptr<client_transport> transport;
  std::string name;                                  // client name; empty until the client has enrolled
  std::map<std::string, std::string> subscriptions;  // requested topic -> subscription id
  std::uint64_t id = 0;                              // increases in the order of acceptance; 0: not accepted yet
  int in_flight = 0;                                 // publish and count requests without an answer yet
  bool closed = false;                               // the gateway sends no further messages
  bool redirected = false;                           // the gateway has sent a redirect
};
using client_ptr = std::shared_ptr<client_connection>;

}  // namespace reachridge
