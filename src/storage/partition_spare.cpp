// The spare of a partition: a replica beyond the in-sync set that follows the log (design 6.12).
//
// A partition that retains messages accepts nothing while fewer replicas are in sync than the tolerated losses require.
// A spare that has joined already takes the place of a lost replica with one committed proposal; any other replica
// needs a copy of the state first. Outputs do not wait for the spare, it never claims, and no assignment names it.
#include <algorithm>

#include "cluster/node_kind.hpp"
#include "runtime/checksum.hpp"
#include "storage/member_lookup.hpp"
#include "storage/partition.hpp"

namespace reachridge {
namespace {

// With two replicas, the loss of one is the only tolerated loss: service waits for a copy of the state.
constexpr auto min_replicas_with_spare = std::size_t{3};
// In failure timeouts. A spare whose node is silent keeps its place for this time, and a new one is chosen only after
// the in-sync set has been complete for this time: a node that restarts needs no copy of the state.
constexpr auto patience_timeouts = 5;
// A new spare is chosen after up to this many times the patience, at random. Otherwise all partitions would copy their
// states at the same moment after a loss.
constexpr auto max_choice_delay = 3;

}  // namespace

auto partition::has_spares() const -> bool {
  return keeps_messages() && target_replica_count() >= min_replicas_with_spare;
}

auto partition::spare_patience() const -> monotonic_time {
  return context_.settings.failure_timeout * patience_timeouts;
}

auto partition::delay_spare_choice() -> void {
  auto random_delay = host_.random_below(static_cast<std::uint64_t>(spare_patience() * (max_choice_delay - 1)));
  spare_.next_choice_at = host_.now() + spare_patience() + static_cast<monotonic_time>(random_delay);
}

// A spare is chosen while the in-sync set is complete, so that its copy of the state does not delay those that the set
// needs.
auto partition::maintain_spare() -> void {
  if (!spare_.member.empty() && !is_spare_usable())
    drop_spare();
  auto is_set_complete =
      join_.member.empty() && assignment_.in_sync_replicas.size() >= target_replica_count() && lost_backups().empty();
  if (!is_set_complete)
    delay_spare_choice();
  if (is_set_complete && spare_.member.empty())
    set_spare(take_former_spare());
  if (!spare_.member.empty())
    return start_replication(spare_.member);
  if (!has_spares() || host_.now() < spare_.next_choice_at)
    return;
  delay_spare_choice();
  set_spare(choose_spare());
  if (spare_.member.empty())
    return;
  log_info("chooses " + spare_.member + " as the spare");
  start_replication(spare_.member);
}

auto partition::set_spare(std::string member) -> void {
  spare_.member = std::move(member);
  spare_.since = host_.now();
  if (!spare_.member.empty())
    record_.store_spare(spare_.member);
}

// Whether the spare can still take a place in the in-sync set, now or after its node is back.
auto partition::is_spare_usable() const -> bool {
  auto is_taken = assignment_.has_in_sync_replica_on(node_of_member(spare_.member)) || spare_.member == join_.member;
  if (is_taken || is_disk_lost(context_.session.view, spare_.member) || is_on_drained_node(spare_.member))
    return false;
  auto it = replicas_.find(spare_.member);
  auto last_contact = std::max(spare_.since, it == replicas_.end() ? spare_.since : it->second.last_contact);
  auto is_copying = it != replicas_.end() && !it->second.joined && is_join_overdue(spare_.since);
  return !is_copying && host_.now() - last_contact < spare_patience();
}

// Whether operators want the member's node to give up its replicas. A node that only restarts does not.
auto partition::is_on_drained_node(const std::string& member) const -> bool {
  const auto& view = context_.session.view;
  const auto* node = view.find(node_of_member(member));
  return view.drains.contains(node_of_member(member)) || (node && view.is_evacuated(node->zone));
}

// Returns a member on a storage node without a replica of this partition, or an empty string. The node is in a zone
// with as few in-sync replicas as possible. A hash of the node and the partition spreads the spares over the nodes.
auto partition::choose_spare() const -> std::string {
  const auto& view = context_.session.view;
  auto nodes = view.nodes();
  auto replicas_by_zone = std::map<std::string, int>();
  for (const auto& member : assignment_.in_sync_replicas)
    if (auto it = nodes.find(node_of_member(member)); it != nodes.end())
      ++replicas_by_zone[it->second.zone];
  auto best_rank = std::pair<int, std::uint32_t>();
  auto best = std::string();
  for (const auto& [name, node] : nodes) {
    auto is_storage_node = node.kind == node_kind::storage && !node.disk_id.empty() && !node.reserve;
    if (!is_storage_node || view.is_draining(node) || assignment_.has_in_sync_replica_on(name))
      continue;
    auto zone = replicas_by_zone.find(node.zone);
    auto rank = std::pair(zone == replicas_by_zone.end() ? 0 : zone->second, crc_32(name + "/" + id));
    if (!best.empty() && rank >= best_rank)
      continue;
    best_rank = rank;
    best = node.member();
  }
  return best;
}

// Whether a member that is not in sync may follow the log again when its node is available.
auto partition::may_follow_again(const std::string& member) const -> bool {
  return !assignment_.has_in_sync_replica_on(node_of_member(member)) && !join_.excluded_members.contains(member) &&
         !must_be_replaced(member) && !is_disk_lost(context_.session.view, member);
}

// Returns the former primary's spare once, as soon as its node is available; otherwise an empty string.
auto partition::take_former_spare() -> std::string {
  if (spare_.former.empty() || !has_spares())
    return {};
  if (may_follow_again(spare_.former) && address_of_member(context_.session.view, spare_.former).empty())
    return {};
  auto member = std::exchange(spare_.former, {});
  return may_follow_again(member) ? member : std::string();
}

// Keeps one of the replaced backups as the spare: one that is silent or whose node shuts down. If its node comes back
// with its disk, it lacks only the latest entries.
auto partition::keep_as_spare(const std::vector<std::string>& former_backups) -> void {
  if (!has_spares() || !spare_.member.empty())
    return;
  auto can_return = [&](const auto& member) {
    auto is_gone = !is_responsive(member) || is_member_leaving(context_.session.view, member);
    return is_gone && !assignment_.is_in_sync(member) && !is_disk_lost(context_.session.view, member) &&
           !is_on_drained_node(member);
  };
  auto it = std::find_if(former_backups.begin(), former_backups.end(), can_return);
  if (it == former_backups.end())
    return;
  set_spare(*it);
  log_info("keeps " + spare_.member + " as the spare");
}

auto partition::drop_spare() -> void {
  auto member = std::exchange(spare_.member, {});
  auto is_needed_otherwise = assignment_.is_in_sync(member) || member == join_.member;
  if (!is_needed_otherwise)
    forget_replica(member);
}

// Lets the spare join the in-sync set if it follows the log at the current epoch. Returns whether it does.
auto partition::promote_spare() -> bool {
  auto it = replicas_.find(spare_.member);
  auto is_ready = it != replicas_.end() && is_responsive(spare_.member) && it->second.joined_epoch == assignment_.epoch;
  if (!is_ready || !is_spare_usable() || must_be_replaced(spare_.member))
    return false;
  log_info("the spare " + spare_.member + " joins the in-sync set");
  join_.member = std::exchange(spare_.member, {});
  join_.since = host_.now();
  spare_promoted_.wake();
  return true;
}

}  // namespace reachridge
