// Main program of a control node.
#include "runtime/daemon.hpp"

#include "reserve/core_daemon.hpp"

auto main(int argc, const char** argv) -> int {
  return reachridge::run_daemon<reachridge::core_daemon>(reachridge::command_line(
      argc, argv, "a control node of reachridge", reachridge::required_settings{true, true, false, true, true}));
}
