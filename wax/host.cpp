#include "wax/host.hpp"

#include "wax/verdict.hpp"

namespace hive {

auto store::sync() -> task<void> {
  auto want = asked;
  while (sure < want) {
    if (bad) throw verdict("disk", "the disk does not take writes", ran::maybe);
    if (busy) {
      co_await done.wait(hub);
      continue;
    }
    busy = true;
    co_await nap(hub, 0);  // others of this turn join the same group
    auto row = std::move(next);
    next.clear();
    auto upto = asked;
    bytes += size;
    size = 0;
    ++syncs;
    try {
      co_await write(std::move(row));
      sure = upto;
    } catch (const std::exception&) {
      bad = true;
    }
    busy = false;
    done.wake();
  }
}

}  // namespace hive
