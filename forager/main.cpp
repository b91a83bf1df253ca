#include "wax/main.hpp"

#include "forager/forager.hpp"

auto main(int argc, const char** argv) -> int {
  return hive::run_daemon<hive::forager>(argc, argv, "the proxy for downstream links", hive::needs{true, true, true, false, false}, 4 * hive::sec);
}
