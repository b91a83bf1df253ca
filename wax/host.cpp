#include "wax/host.hpp"

#include "wax/verdict.hpp"

namespace hive {
namespace {

constexpr auto pause = 250 * msec;  // before what the disk did not take is tried again

}  // namespace

auto store::get(const std::string& key) -> std::optional<std::string> {
  auto changes = pending(key);
  auto change = changes.find(key);
  if (change == changes.end()) return get_written(key);
  if (change->second->cut) return {};
  return change->second->val;
}

auto store::pending(const std::string& prefix) const -> pending_changes {
  auto out = pending_changes();
  for (const auto* row : {&held, &next})
    for (const auto& change : *row)
      if (change.key.starts_with(prefix)) out[change.key] = &change;
  return out;
}

auto store::scan(const std::string& prefix, const visitor& visit) -> void {
  auto changes = pending(prefix);
  auto change = changes.begin();
  auto visit_change = [&] {
    if (!change->second->cut) visit(change->first, change->second->val);
    ++change;
  };
  scan_written(prefix, [&](const std::string& key, const std::string& value) {
    while (change != changes.end() && change->first < key)
      visit_change();
    if (change != changes.end() && change->first == key)
      visit_change();
    else
      visit(key, value);
  });
  while (change != changes.end())
    visit_change();
}

auto store::sync() -> task<void> {
  auto want = asked;
  while (sure < want) {
    if (bad) throw verdict("disk", "the disk does not take writes", ran::maybe);
    if (!busy) {
      busy = true;
      home.spawn(flush());  // starts at the next turn: others of this turn join the same group
    }
    co_await done.wait(hub);
  }
}

// A task of the store's own: whoever asked may end while the disk works.
auto store::flush() -> task<void> {
  while (true) {
    // What failed stays first: nothing later may be on the disk without it.
    for (auto& d : next)
      held.push_back(std::move(d));
    next.clear();
    auto upto = asked;
    bytes += size;
    size = 0;
    ++syncs;
    try {
      co_await write(held);
      sure = upto;
      held.clear();
      bad = false;
    } catch (const std::exception&) {
      bad = true;
    }
    if (!bad) break;
    done.wake();
    co_await rest(hub, pause);
  }
  busy = false;
  done.wake();
}

}  // namespace hive
