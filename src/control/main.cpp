// Main program of a control node.
#include "runtime/daemon.hpp"

#include "control/control_node.hpp"

auto main(int argc, const char** argv) -> int {
  return reachridge::run_daemon<reachridge::control_node>(reachridge::command_line(
      argc, argv, "a control node of reachridge", reachridge::required_settings{true, true, false, true, true}));
}
