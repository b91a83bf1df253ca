// Entry point of the agent process; see agent.hpp.
#include "runtime/daemon.hpp"

#include "agent/agent.hpp"

auto main(int argc, const char** argv) -> int {
  return reachridge::run_daemon<reachridge::agent>(reachridge::command_line(
      argc, argv, "the agent beside a gateway", reachridge::required_settings{true, false, true, false, false}));
}
