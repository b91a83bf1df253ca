#include "queen/order_fence.hpp"

#include <algorithm>

#include "wax/verdict.hpp"

namespace hive {

auto order_fence::index_of(const std::string& name) const -> std::int64_t {
  auto it = last.find(name);
  return it == last.end() ? floor : it->second;
}

auto order_fence::check(const std::string& name, const tree& command) const -> void {
  const auto& after = sub(command, "after");
  if (!after.is_int64()) return;
  auto now = index_of(name);
  if (after.get_int64() == now) return;
  throw verdict("overtaken", "another order on " + name + " came first", ran::no, 0, branch{{"after", now}});
}

auto order_fence::record(const std::string& name, const tree& command, std::int64_t idx) -> void {
  // Without a fence nothing is remembered: a log and a snapshot of an earlier version must add up to the same state.
  if (!sub(command, "after").is_int64()) return;
  last[name] = idx;
  while (last.size() > names_most) {
    auto oldest = std::min_element(last.begin(), last.end(), [](auto& a, auto& b) { return a.second < b.second; });
    floor = std::max(floor, oldest->second);
    last.erase(oldest);
  }
}

auto order_fence::capture() const -> tree {
  auto rows = branch();
  for (const auto& [name, idx] : last)
    rows[name] = idx;
  return branch{{"floor", floor}, {"last", rows}};
}

auto order_fence::restore(const tree& t) -> order_fence {
  auto out = order_fence();
  if (t.is_null()) return out;
  out.floor = num(t, "floor");
  for (const auto& kv : sub(t, "last").as_object())
    out.last[std::string(kv.key())] = kv.value().as_int64();
  return out;
}

}  // namespace hive
