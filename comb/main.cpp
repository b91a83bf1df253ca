#include "wax/main.hpp"

#include "comb/comb.hpp"

auto main(int argc, const char** argv) -> int {
  return hive::run_daemon<hive::comb>(argc, argv, "a node that holds topics", hive::needs{true, false, false, true, true}, 4 * hive::sec);
}
