#include "wax/main.hpp"

#include "scout/scout.hpp"

auto main(int argc, const char** argv) -> int {
  return hive::run_daemon<hive::scout>(argc, argv, "the agent beside a forager", hive::needs{true, false, true, false, false}, 4 * hive::sec);
}
