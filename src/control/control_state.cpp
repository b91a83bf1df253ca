// Validates committed commands and applies them to the replicated state.
#include "control/control_state.hpp"

#include <algorithm>
#include <set>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto min_zones = std::int64_t{2};  // minimum number of zones for the replicas of a partition

auto version_error(errc code, const std::string& message, std::int64_t newest) -> request_error {
  return {code, message, execution_outcome::not_executed, -1, object{{"newest", newest}}};
}

auto on_different_nodes(const std::vector<std::string>& members) -> bool {
  auto nodes = std::set<std::string>();
  return std::all_of(members.begin(), members.end(), [&](const auto& member) {
    return nodes.insert(node_of_member(member)).second;
  });
}

}  // namespace

auto control_state::partitions_of(const std::string& node) const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& [id, assignment] : partitions) {
    auto holds_replica = node_of_member(assignment.primary) == node || assignment.has_in_sync_replica_on(node);
    if (holds_replica)
      out.push_back(id);
  }
  return out;
}

auto control_state::insufficient_nodes_reason(const node_zones& nodes, std::int64_t replicas) const -> std::string {
  auto known_zones = std::set<std::string>();
  auto count = std::int64_t{0};
  auto unreachable_count = std::int64_t{0};
  for (const auto& [node, zone] : nodes) {
    if (drains.count(node))
      continue;
    ++count;
    if (zone.empty())
      ++unreachable_count;
    else
      known_zones.insert(zone);
  }
  if (count < replicas)
    return std::to_string(count) + " storage nodes would remain, but " + std::to_string(replicas) + " are required";
  auto max_zone_count = static_cast<std::int64_t>(known_zones.size()) + unreachable_count;
  if (max_zone_count < min_zones)
    return "the remaining storage nodes are all in one zone";
  return {};
}

auto control_state::apply_encoded(log_index index, const value& encoded) -> value {
  try {
    return encode(apply(index, decode_command(encoded)));
  } catch (const request_error& error) {
    return error.to_value();
  } catch (const std::exception& error) {
    return request_error(errc::malformed, error.what()).to_value();
  }
}

auto control_state::apply(log_index index, const control_command& command) -> command_result {
  try {
    return std::visit(
        [&](const auto& typed) {
          return apply_command(index, typed);
        },
        command);
  } catch (const request_error& error) {
    return error;
  }
}

// Compare-and-set on the configuration number: a repeated configuration changes nothing, an older one is refused.
auto control_state::apply_command(log_index index, const configuration_command& command) -> command_result {
  const auto& next = command.configuration;
  if (configuration && next->number == configuration->number) {
    if (next->same_content(*configuration))
      return command_accepted{.configuration_number = next->number, .is_repeat = true};
    throw version_error(
        errc::version_taken,
        "configuration number " + std::to_string(next->number) + " is already used with different content",
        next->number);
  }
  check_number(*next);
  check_partition_counts(*next);
  configuration = next;
  configuration_index = index;
  return command_accepted{.configuration_number = next->number};
}

auto control_state::check_number(const configuration_record& next) const -> void {
  auto newest = configuration ? configuration->number : 0;
  if (next.number < newest)
    throw version_error(errc::stale_version,
                        "configuration number " + std::to_string(next.number) + " is lower than the newest number " +
                            std::to_string(newest),
                        newest);
  if (next.after >= 0 && next.after != newest)
    throw version_error(errc::stale_version,
                        "the configuration must follow number " + std::to_string(next.after) +
                            ", but the newest number is " + std::to_string(newest),
                        newest);
}

auto control_state::check_partition_counts(const configuration_record& next) const -> void {
  for (const auto& [name, pool] : next.pools) {
    auto fixed = fixed_partition_count(name);
    if (!fixed || *fixed == pool.partitions)
      continue;
    throw request_error(errc::invalid_configuration, "spaces: '" + name + "' has " + std::to_string(*fixed) +
                                                         " partitions and this number cannot change");
  }
}

auto control_state::fixed_partition_count(const std::string& pool) const -> std::optional<std::int64_t> {
  auto assigned = std::int64_t{0};
  while (partitions.count(pool + "/" + std::to_string(assigned)))
    ++assigned;
  if (assigned > 0)
    return assigned;
  if (!configuration)
    return {};
  auto it = configuration->pools.find(pool);
  if (it == configuration->pools.end())
    return {};
  return it->second.partitions;
}

auto control_state::apply_command(log_index index, const assignment_command& command) -> command_result {
  auto& current = partitions[command.partition];
  auto next = command.assignment;
  if (auto reason = assignment_rejection_reason(current, next); !reason.empty())
    return command_superseded{reason, current};
  next.epoch = current.epoch + 1;
  next.recreated_epoch = current.recreated_epoch;
  next.committed_index = index;
  current = next;
  partitions_version = index;
  return command_accepted{.assignment = current};
}

auto control_state::assignment_rejection_reason(const partition_assignment& current,
                                                const partition_assignment& next) const -> std::string {
  if (current.epoch != next.epoch)
    return "the partition has another epoch";
  if (next.primary.empty() || !next.is_in_sync(next.primary))
    return "the primary must be in sync";
  if (!on_different_nodes(next.in_sync_replicas))
    return "the replicas must be on different nodes";
  if (current.epoch > 0 && !current.is_in_sync(next.primary))
    return "only an in-sync replica may become the primary";
  // A retired node never receives a replica again, not even from a move that was in progress when its drain completed.
  auto on_retired_node =
      std::any_of(next.in_sync_replicas.begin(), next.in_sync_replicas.end(), [&](const auto& member) {
        return is_retired(node_of_member(member));
      });
  if (on_retired_node)
    return "a retired node must not hold a replica";
  return {};
}

auto control_state::is_retired(const std::string& node) const -> bool {
  auto it = drains.find(node);
  return it != drains.end() && it->second.kind == drain_kind::retire && it->second.completed;
}

// Only an operator may accept the loss of retained messages.
auto control_state::apply_command(log_index index, const recreation_command& command) -> command_result {
  const auto& id = command.partition;
  auto it = partitions.find(id);
  if (it == partitions.end())
    throw request_error(errc::not_found, "unknown partition " + id);
  auto& current = it->second;
  auto next = command.assignment;
  if (current.epoch != next.epoch)
    return command_superseded{"the partition has another epoch", current};
  if (keeps_messages(id) && !command.accepts_message_loss)
    throw request_error(
        errc::permission_denied,
        id + " belongs to a space that retains messages: recreating the partition loses the retained messages");
  next.epoch = current.epoch + 1;
  next.recreated_epoch = next.epoch;
  next.committed_index = index;
  current = next;
  partitions_version = index;
  return command_accepted{.assignment = current};
}

// A partition of an unknown pool is assumed to retain messages.
auto control_state::keeps_messages(const std::string& partition) const -> bool {
  if (!configuration)
    return true;
  auto pool = configuration->pools.find(pool_of_partition(partition));
  return pool == configuration->pools.end() || pool->second.keep_ms > 0;
}

auto control_state::apply_command(log_index index, const begin_drain_command& command) -> command_result {
  const auto& name = command.name;
  drain_fence.check_and_record(name, command.expected_last_order, index);
  if (!zone_of_key(name).empty() && command.kind != drain_kind::evacuate)
    throw request_error(errc::malformed, "a zone can be evacuated but not drained or retired");
  if (auto it = drains.find(name); it != drains.end()) {
    const auto& current = it->second;
    if (current.kind == command.kind)
      return command_accepted{.is_repeat = true, .drain_completed = current.completed};
    if (current.kind == drain_kind::retire)
      throw request_error(errc::version_taken, name + " is already being retired");
  }
  // The leader has checked this when it decided the order, but two retirements may have been decided concurrently.
  if (command.remaining_nodes) {
    auto reason = insufficient_nodes_reason(*command.remaining_nodes, command.replicas);
    if (!reason.empty())
      throw request_error(errc::too_few_nodes, reason);
  }
  drains[name] = {command.kind, false, index};
  partitions_version = index;
  return command_accepted{};
}

auto control_state::apply_command(log_index index, const end_drain_command& command) -> command_result {
  drain_fence.check_and_record(command.name, command.expected_last_order, index);
  auto it = drains.find(command.name);
  if (it == drains.end())
    return command_accepted{.is_repeat = true};
  if (is_retired(command.name))
    throw request_error(errc::version_taken, command.name + " has been retired");
  drains.erase(it);
  partitions_version = index;
  return command_accepted{};
}

auto control_state::apply_command(log_index index, const decline_drain_command& command) -> command_result {
  drain_fence.check_and_record(command.name, command.expected_last_order, index);
  return command_accepted{};
}

auto control_state::apply_command(log_index index, const complete_drain_command& command) -> command_result {
  const auto& name = command.name;
  auto it = drains.find(name);
  auto is_draining_node = it != drains.end() && zone_of_key(name).empty();
  if (!is_draining_node)
    throw request_error(errc::not_found, name + " is not a draining node");
  if (!partitions_of(name).empty())
    return command_superseded{"the node still holds partitions"};
  it->second.completed = true;
  partitions_version = index;
  return command_accepted{};
}

}  // namespace reachridge
