// Entry point of the gateway daemon.
#include "runtime/daemon.hpp"

#include "gateway/gateway.hpp"

auto main(int argc, const char** argv) -> int {
  return reachridge::run_daemon<reachridge::gateway>(reachridge::command_line(
      argc, argv, "the proxy for client connections", reachridge::required_settings{true, true, true, false, false}));
}
