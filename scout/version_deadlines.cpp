#include "scout/version_deadlines.hpp"

#include <iterator>

namespace hive {

auto version_deadlines::add(std::int64_t number, tick due) -> void {
  auto later = by_due.upper_bound(due);
  if (later != by_due.begin() && std::prev(later)->second >= number) return;  // implied
  by_due[due] = number;
  // Older versions that are due later are implied now.
  later = by_due.upper_bound(due);
  while (later != by_due.end() && later->second <= number)
    later = by_due.erase(later);
}

auto version_deadlines::required(tick now) const -> std::int64_t {
  auto later = by_due.upper_bound(now);
  return later == by_due.begin() ? 0 : std::prev(later)->second;
}

auto version_deadlines::to_tree(tick now, tick since) const -> twigs {
  auto rows = twigs();
  for (auto it = by_due.upper_bound(now); it != by_due.end(); ++it)
    rows.push_back(twigs{it->second, it->first - since});
  return rows;
}

auto version_deadlines::merge(const twigs& rows, tick since) -> void {
  for (const auto& row : rows) {
    if (!row.is_array() || row.get_array().size() != 2) throw bad_bytes("a deadline is a number and a time");
    const auto& number = row.get_array()[0];
    const auto& left = row.get_array()[1];
    if (!number.is_int64() || !left.is_int64()) throw bad_bytes("a deadline is a number and a time");
    add(number.get_int64(), since + left.get_int64());
  }
}

auto version_deadlines::prune(tick now) -> void {
  auto later = by_due.upper_bound(now);
  if (later != by_due.begin()) by_due.erase(by_due.begin(), std::prev(later));
}

}  // namespace hive
