// Test helpers that use real sockets on the loopback interface.
#pragma once
#include <memory>
#include <string>

#include "runtime/ev_host.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {

// Listens on a free loopback port and sets `address` to it. Returns null if all tried ports are in use.
inline auto listen_on_free_port(ev_host& machine, std::string& address) -> std::unique_ptr<listener> {
  constexpr auto first_port = 24100;
  constexpr auto ports = 100;
  for (auto port = first_port; port < first_port + ports; ++port) {
    address = "127.0.0.1:" + std::to_string(port);
    try {
      return machine.listen(address);
    } catch (const request_error&) {
      // The port is in use.
    }
  }
  return nullptr;
}

// A host without a disk that listens on a loopback port.
struct loopback {
  ev_host machine{""};
  task_group tasks{machine};
  std::string address;
  std::unique_ptr<listener> listening = listen_on_free_port(machine, address);
};

}  // namespace reachridge
