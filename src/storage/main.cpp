// The storage node program.
#include "runtime/daemon.hpp"
#include "storage/storage_node.hpp"

auto main(int argc, const char** argv) -> int {
  return reachridge::run_daemon<reachridge::storage_node>(
      reachridge::command_line(argc, argv, "a storage node, which stores topics and delivers their messages",
                               reachridge::required_settings{true, false, false, true, true}));
}
