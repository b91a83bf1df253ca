#include "cluster/control_operation.hpp"

#include <algorithm>
#include <array>

namespace reachridge {
namespace {

struct named_operation {
  control_operation operation;
  std::string_view name;
};
constexpr auto operations = std::array{
    named_operation{control_operation::session, "session"},
    named_operation{control_operation::leave, "bye"},
    named_operation{control_operation::gossip, "swap"},
    named_operation{control_operation::propose, "deed"},
    named_operation{control_operation::choose_replica, "draw"},
    named_operation{control_operation::in_force, "held"},
    named_operation{control_operation::read_state, "fresh"},
    named_operation{control_operation::recreate_partition, "refound"},
    named_operation{control_operation::drain, "leave"},
    named_operation{control_operation::voters, "voters"},
    named_operation{control_operation::status, "status"},
};

}  // namespace

auto name_of(control_operation operation) -> std::string_view {
  return std::find_if(operations.begin(), operations.end(),
                      [&](const auto& entry) {
                        return entry.operation == operation;
                      })
      ->name;
}

auto find_control_operation(std::string_view name) -> std::optional<control_operation> {
  const auto* entry = std::find_if(operations.begin(), operations.end(), [&](const auto& known) {
    return known.name == name;
  });
  if (entry == operations.end())
    return std::nullopt;
  return entry->operation;
}

}  // namespace reachridge
