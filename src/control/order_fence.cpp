#include "control/order_fence.hpp"

#include <algorithm>

#include "runtime/request_error.hpp"

namespace reachridge {

auto order_fence::index_of(const std::string& name) const -> log_index {
  auto it = last_orders_.find(name);
  return it == last_orders_.end() ? floor_ : it->second;
}

auto order_fence::check(const std::string& name, const std::optional<log_index>& expected_last_order) const -> void {
  if (!expected_last_order)
    return;
  auto last = index_of(name);
  if (*expected_last_order == last)
    return;
  throw request_error(errc::superseded, "another order on " + name + " was applied first",
                      execution_outcome::not_executed, 0, object{{"after", last.get()}});
}

auto order_fence::record(const std::string& name, const std::optional<log_index>& expected_last_order, log_index index)
    -> void {
  // An order without an index is not recorded: the log and the snapshot of an earlier release must yield the same
  // state.
  if (!expected_last_order)
    return;
  last_orders_[name] = index;
  while (last_orders_.size() > max_names) {
    auto oldest = std::min_element(last_orders_.begin(), last_orders_.end(), [](const auto& a, const auto& b) {
      return a.second < b.second;
    });
    floor_ = std::max(floor_, oldest->second);
    last_orders_.erase(oldest);
  }
}

auto order_fence::check_and_record(const std::string& name, const std::optional<log_index>& expected_last_order,
                                   log_index index) -> void {
  check(name, expected_last_order);
  record(name, expected_last_order, index);
}

auto order_fence::take_snapshot() const -> value {
  auto encoded_orders = object();
  for (const auto& [name, index] : last_orders_)
    encoded_orders[name] = index.get();
  return object{{"floor", floor_.get()}, {"last", encoded_orders}};
}

auto order_fence::restore(const value& snapshot) -> order_fence {
  auto out = order_fence();
  if (snapshot.is_null())
    return out;
  out.floor_ = get_int(snapshot, "floor");
  for (const auto& field : get_value(snapshot, "last").as_object())
    out.last_orders_[std::string(field.key())] = field.value().as_int64();
  return out;
}

}  // namespace reachridge
