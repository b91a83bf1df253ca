// A fence for operators' orders: an order that its sender has abandoned must not be carried out after a newer order
// (design 4.6).
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "raft/types.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Part of the replicated state. An order on a name (a node or a zone) carries the log index of the last order on that
// name that the deciding node knew. The order is applied only if this index is still the last one (compare-and-set).
// The index of a name never decreases, even after the name has been evicted from the table. An index that was replaced
// therefore never becomes valid again.
class order_fence {
 public:
  static constexpr auto max_names = std::size_t{1024};  // names kept; the oldest one is evicted and raises the floor

  // Returns the log index of the last order on `name`, or the floor if the table does not contain the name.
  [[nodiscard]] auto index_of(const std::string& name) const -> log_index;
  // Throws request_error(errc::superseded) if `expected_last_order` is not the index of the last order on `name`. An
  // order from a release without a fence carries no index and always passes.
  auto check(const std::string& name, const std::optional<log_index>& expected_last_order) const -> void;
  // Records an order that was applied at log index `index`, even if the order changed nothing.
  auto record(const std::string& name, const std::optional<log_index>& expected_last_order, log_index index) -> void;
  // Checks an order and records it if it passes. Throws the same error as `check`.
  auto check_and_record(const std::string& name, const std::optional<log_index>& expected_last_order, log_index index)
      -> void;

  // Returns the complete fence in the form that `restore` accepts.
  [[nodiscard]] auto take_snapshot() const -> value;
  // Returns the fence of a snapshot. A null snapshot comes from a release without a fence and yields an empty fence.
  static auto restore(const value& snapshot) -> order_fence;

 private:
  std::map<std::string, log_index> last_orders_;
  log_index floor_ = 0;  // at least the index of the last order on every name that is not in the table
};

}  // namespace reachridge
