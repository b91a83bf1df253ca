#include "wax/main.hpp"

#include "scout/scout.hpp"

auto main(int argc, const char** argv) -> int {
  return hive::run_daemon<hive::scout>(
      hive::command_line(argc, argv, "the agent beside a forager", hive::needs{true, false, true, false, false}));
}
