// Encodes the control state as a snapshot of the replicated log and restores it.
#include "control/control_state.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto snapshot_format = 1;

}  // namespace

auto control_state::take_snapshot() const -> value {
  auto encoded_partitions = object();
  for (const auto& [id, assignment] : partitions)
    encoded_partitions[id] = assignment.to_value();
  auto encoded_drains = object();
  for (const auto& [name, drain] : drains)
    encoded_drains[name] = drain.to_value();
  return object{{"format", snapshot_format},
                {"charter", configuration ? configuration->to_value() : value()},
                {"law_idx", configuration_index.get()},
                {"cells", encoded_partitions},
                {"leavings", encoded_drains},
                {"cells_ver", partitions_version.get()},
                {"orders", drain_fence.take_snapshot()}};
}

// Decodes into a temporary state, so that a malformed snapshot leaves this state unchanged.
auto control_state::restore(const value& snapshot) -> void {
  auto next = control_state();
  if (!snapshot.is_null()) {
    if (get_int(snapshot, "format") != snapshot_format)
      throw request_error(errc::damaged, "the snapshot of the control state has an unknown format");
    if (const auto& stored = get_value(snapshot, "charter"); !stored.is_null())
      next.configuration = decode_stored_configuration(stored);
    next.configuration_index = get_int(snapshot, "law_idx");
    for (const auto& field : get_value(snapshot, "cells").as_object())
      next.partitions[std::string(field.key())] = partition_assignment::from_value(field.value());
    for (const auto& field : get_value(snapshot, "leavings").as_object())
      next.drains[std::string(field.key())] = drain::from_value(field.value());
    next.partitions_version = get_int(snapshot, "cells_ver");
    next.drain_fence = order_fence::restore(get_value(snapshot, "orders"));
  }
  *this = std::move(next);
}

}  // namespace reachridge
