// Maintenance of a primary's replicas, performed every heartbeat interval: admission control, replacement of lost
// replicas, and handover of the leadership (design 6.6, 6.7, 6.11).
#include <algorithm>

#include "runtime/log.hpp"
#include "storage/member_lookup.hpp"
#include "storage/partition.hpp"

namespace reachridge {
namespace {

constexpr auto min_replicas = std::size_t{2};
constexpr auto join_timeout_factor = 15;  // a join is abandoned after this number of failure timeouts
// An epoch that an abandoned join leaves behind is raised after this number of failure timeouts, unless another change
// has raised it before.
constexpr auto raise_after_timeouts = 5;
constexpr auto max_silent_heartbeats = 3;      // the lag of a backup that is silent for longer is ignored
constexpr auto clock_entries_per_timeout = 4;  // minimum per failure timeout of an otherwise idle log (design 6.5)
// Expired subscriptions that are closed in one round of maintenance. A backup must not fall so far behind by them that
// it needs a copy of the state.
constexpr auto max_closings_per_round = std::size_t{max_entries_behind / 4};
// In failure timeouts. For this time a lost disk counts as one of the tolerated losses. It is shorter than the time for
// which operators count a machine as lost after its return.
constexpr auto lost_disk_timeouts = 5;

}  // namespace

// Returns the configured number of replicas, at least two. A partition that retains no messages needs only one backup,
// because the service does not guarantee its messages beyond the loss of both replicas.
auto partition::target_replica_count() const -> std::size_t {
  return keeps_messages() ? std::max(min_replicas, static_cast<std::size_t>(context_.settings.replicas)) : min_replicas;
}

// Returns the number of replicas that every released entry of a partition with retention must have. Entries must
// outlive the tolerated losses of disks. A disk that was lost a moment ago is one of these losses, so the entries need
// one replica less until it no longer counts. A silent member is different: its disk may be whole, and other disks may
// be lost before it is back.
auto partition::required_replica_count() const -> std::size_t {
  auto window = context_.settings.failure_timeout * lost_disk_timeouts;
  auto counted = std::count_if(lost_disks_.begin(), lost_disks_.end(), [&](const auto& lost) {
    return host_.now() - lost.second < window;
  });
  auto target = target_replica_count();
  return std::max(min_replicas, target - std::min(target, static_cast<std::size_t>(counted)));
}

// Remembers which members have lost their disk, also after they have left the in-sync set.
auto partition::note_lost_disks() -> void {
  for (const auto& member : assignment_.backups())
    if (is_disk_lost(context_.session.view, member))
      lost_disks_.try_emplace(member, host_.now());
}

// Returns the backups that have been silent for the failure timeout or have lost their disk.
auto partition::lost_backups() const -> std::set<std::string> {
  auto lost = std::set<std::string>();
  for (const auto& member : assignment_.backups()) {
    auto it = replicas_.find(member);
    auto is_silent = it == replicas_.end() || (!is_responsive(member) && host_.now() - it->second.last_contact >
                                                                             context_.settings.failure_timeout);
    if (is_silent || is_disk_lost(context_.session.view, member))
      lost.insert(member);
  }
  return lost;
}

auto partition::current_placement_request() const -> placement_request {
  auto current = placement_request();
  for (const auto& request : context_.session.placement_requests()) {
    if (get_string_or(request, "cell") != id)
      continue;
    current.hand_over = get_bool(request, "hand");
    current.new_primary = get_string_or(request, "lead");
    const auto* node = context_.session.view.find(get_string_or(request, "back"));
    if (!node || node->stopping || assignment_.is_in_sync(node->member()))
      continue;
    current.backup = node->member();
    current.replaced = get_string_or(request, "replaced");
  }
  return current;
}

// Whether another node has to take the member's replica: its node is leaving, or is a reserve that is not needed.
auto partition::must_be_replaced(const std::string& member) const -> bool {
  const auto& view = context_.session.view;
  return is_member_leaving(view, member) || is_unneeded_reserve(view, member, target_replica_count());
}

// Adds silent backups to the backups that stay beside a new member while the set would be smaller than required. The
// disk of a silent backup has every entry with a released output, so it may claim the partition if the others lose
// their disks.
auto partition::keep_silent_backups(std::vector<std::string>& remaining, const std::string& member) const -> void {
  if (!keeps_messages())
    return;
  for (const auto& backup : lost_backups()) {
    auto is_other_node = node_of_member(backup) != node_of_member(member);
    auto has_disk = !is_disk_lost(context_.session.view, backup);
    auto is_incomplete = remaining.size() + 2 < required_replica_count();  // 2: the primary and the new member
    if (is_other_node && has_disk && is_incomplete)
      remaining.push_back(backup);
  }
}

// Returns the in-sync set after this member has joined it. If more replicas remain than the target count, surplus
// backups are removed in this order: lost backups, the backup that the placement request replaces, backups on nodes
// that must be replaced, then the first of the other backups.
auto partition::in_sync_set_with(const std::string& member, const placement_request& request) const
    -> std::vector<std::string> {
  auto lost = lost_backups();
  auto remaining = std::vector<std::string>();
  for (const auto& backup : assignment_.backups())
    if (!lost.count(backup) && node_of_member(backup) != node_of_member(member))
      remaining.push_back(backup);
  auto drop_surplus = [&](const auto& can_drop) {
    while (remaining.size() + 2 > target_replica_count()) {  // 2: the primary and the new member
      auto it = std::find_if(remaining.begin(), remaining.end(), can_drop);
      if (it == remaining.end())
        break;
      remaining.erase(it);
    }
  };
  if (request.backup == member)
    drop_surplus([&](const auto& backup) {
      return node_of_member(backup) == request.replaced;
    });
  drop_surplus([&](const auto& backup) {
    return must_be_replaced(backup);
  });
  drop_surplus([](const auto&) {
    return true;
  });
  keep_silent_backups(remaining, member);
  auto in_sync = std::vector<std::string>{own_member()};
  in_sync.insert(in_sync.end(), remaining.begin(), remaining.end());
  in_sync.push_back(member);
  return in_sync;
}

// Performs one round of maintenance. Lost backups are dropped before a new backup joins, and both steps precede a
// handover, because each step uses the in-sync set that the previous step leaves.
auto partition::maintain_replicas() -> task<void> {
  append_clock_and_configuration();
  resolve_join();
  remove_former_replicas();
  note_lost_disks();
  close_expired_subscriptions();
  report_expired_resumes();
  for (const auto& backup : assignment_.backups())
    start_replication(backup);
  adjust_admission();
  co_await drop_lost_backups();
  if (role_ == replica_role::primary)
    co_await restore_replicas();
  if (role_ == replica_role::primary)
    maintain_spare();
  if (role_ == replica_role::primary)
    co_await hand_over();
}

// Appends a clock entry if the log has been idle, and an entry with the changes of a new configuration.
auto partition::append_clock_and_configuration() -> void {
  auto configuration = configuration_entry();
  auto longest_pause = context_.settings.failure_timeout / clock_entries_per_timeout;
  if (is_handing_over_ || (!configuration && host_.now() - last_clock_entry_at_ < longest_pause))
    return;
  auto entries = clock_entry();
  if (configuration)
    entries.push_back(*configuration);
  if (!entries.empty())
    append_operation(std::move(entries));
}

// Completes a join if the replicated log has committed it but the reply to the proposal was lost.
auto partition::resolve_join() -> void {
  if (!join_.member.empty() && assignment_.is_in_sync(join_.member)) {
    join_.member.clear();
    join_.excluded_members.clear();
  }
  // A proposal without a reply may still be committed until the epoch that it is based on has passed.
  if (join_.member.empty() && join_.unresolved_epoch != assignment_.epoch)
    join_.required_acks.clear();
}

auto partition::remove_former_replicas() -> void {
  std::erase_if(replicas_, [&](const auto& replica) {
    return !is_replication_target(replica.first);
  });
}

auto partition::close_expired_subscriptions() -> void {
  auto expired = std::vector<std::string>();
  for (const auto& [subscription, since] : disconnected_since_)
    if (expired.size() < max_closings_per_round && host_.now() - since > context_.settings.resend_window)
      expired.push_back(subscription);
  for (const auto& subscription : expired)
    close_subscription({subscription});
}

// Adjusts the admission rate to the largest replay lag of the backups (design 6.7).
auto partition::adjust_admission() -> void {
  auto any_responsive = false;
  auto lag = monotonic_time{0};
  for (const auto& backup : assignment_.backups()) {
    auto it = replicas_.find(backup);
    // A silent backup may have failed. Slower admission would not reduce its lag.
    if (it == replicas_.end() || !it->second.joined ||
        host_.now() - it->second.last_contact >= context_.settings.heartbeat_interval * max_silent_heartbeats)
      continue;
    any_responsive = true;
    lag = std::max(lag, replay_lag(it->second));
  }
  if (any_responsive)
    admission_.adjust(lag, context_.settings.lag_limit, context_.settings.slow_for_lag, host_.now());
}

// Removes lost backups from the in-sync set, because outputs wait for every in-sync replica. If the partition retains
// messages, the set never becomes smaller than required this way: what is accepted afterwards would be on fewer disks
// than may still be lost. The lost backups then stay until other replicas have joined. A partition without
// retention may continue with the primary alone (design 6.9, 6.11).
auto partition::drop_lost_backups() -> task<void> {
  auto lost = lost_backups();
  auto backups = assignment_.backups();
  auto has_responsive_backup = std::any_of(backups.begin(), backups.end(), [&](const auto& backup) {
    return !lost.count(backup) && is_responsive(backup);
  });
  auto is_replication_stalled = (!lost.empty() && !has_responsive_backup) || is_waiting_for_silent_backup();
  if (is_replication_stalled && !waiting_publishes_.empty())
    fail_waiting_requests("a required backup does not respond");
  auto remaining_count = assignment_.in_sync_replicas.size() - lost.size();
  if (lost.empty() || (keeps_messages() && remaining_count < required_replica_count()))
    co_return;
  auto next = assignment_;
  std::erase_if(next.in_sync_replicas, [&](const auto& member) {
    return lost.count(member) > 0;
  });
  auto is_accepted = co_await propose(next, "a backup is silent or has lost its disk");
  if (!is_accepted || role_ != replica_role::primary)
    co_return;
  for (const auto& member : lost) {
    replicas_.erase(member);
    log_info("removed the lost backup " + member);
  }
  release_outputs();
}

// Chooses a new backup if replicas are missing, or follows a placement request, and continues a join in progress. A
// join that is no longer needed is abandoned.
auto partition::restore_replicas() -> task<void> {
  co_await raise_epoch_after_abandoned_join();
  if (role_ != replica_role::primary)
    co_return;
  auto lost = lost_backups();
  auto healthy_backups = assignment_.backups();
  std::erase_if(healthy_backups, [&](const auto& backup) {
    return lost.count(backup) > 0 || must_be_replaced(backup);
  });
  auto lacks_replicas = healthy_backups.size() + 1 < target_replica_count();
  auto request = current_placement_request();
  auto can_choose = healthy_backups.empty() || host_.now() >= join_.next_choice_at;
  auto is_spare_promoted = join_.member.empty() && lacks_replicas && promote_spare();
  if (!is_spare_promoted && join_.member.empty() && lacks_replicas && can_choose)
    co_await choose_new_backup(healthy_backups);
  if (role_ != replica_role::primary)
    co_return;
  // If no new backup could be chosen, a requested move between existing nodes can still balance the load.
  if (join_.member.empty() && !healthy_backups.empty() && !request.backup.empty())
    begin_join(request.backup);
  auto is_join_unneeded = !lacks_replicas && join_.member != request.backup;
  if (is_join_unneeded && !join_.member.empty() && join_.unresolved_epoch != assignment_.epoch)
    forget_join();
  if (!join_.member.empty())
    co_await complete_join();
}

auto partition::begin_join(const std::string& member) -> void {
  join_.member = member;
  join_.since = host_.now();
  replicas_.erase(member);
  start_replication(member);
}

// Asks the control nodes for a member to become a new backup in addition to the remaining backups, and begins its join.
auto partition::choose_new_backup(const std::vector<std::string>& remaining) -> task<void> {
  auto excluded = array{own_member()};  // members, not nodes: a node that is back with a new disk may be chosen
  for (const auto& backup : assignment_.backups())
    excluded.emplace_back(backup);
  for (const auto& member : join_.excluded_members)
    excluded.emplace_back(member);
  if (auto candidate = take_former_spare(); !candidate.empty()) {
    log_info("chooses " + candidate + ", the spare of the former primary");
    begin_join(candidate);
    co_return;
  }
  auto request = value(object{{"op", "draw"},
                              {"cell", id},
                              {"zone", context_.settings.zone},
                              {"not", excluded},
                              {"with", array(remaining.begin(), remaining.end())}});
  try {
    auto reply = co_await context_.session.call(std::move(request), host_.now() + context_.settings.request_timeout);
    if (role_ != replica_role::primary)
      co_return;
    auto member = get_string(reply, "member");
    log_info("chooses " + member + " as a new backup");
    begin_join(member);
  } catch (const request_error& error) {
    join_.excluded_members.clear();
    join_.next_choice_at = host_.now() + context_.settings.failure_timeout / 2;
    reachridge::log(log_level::debug, context_.settings.name, id + ": " + error.what());
  }
}

// Adds the joining replica to the in-sync set as soon as it has every entry with a released output, because the replica
// may have to claim the partition immediately afterwards as the only survivor. After the replica has nearly caught up,
// outputs also wait for its acknowledgement; otherwise the index that it has to reach would keep advancing
// (design 6.6). The replica must have joined at the epoch that the proposal replaces, because it erases its data by a
// later assignment that does not name it (is_obsolete).
auto partition::complete_join() -> task<void> {
  auto member = join_.member;
  auto& replica = replicas_[member];
  auto has_joined_at_epoch = is_responsive(member) && replica.joined_epoch == assignment_.epoch;
  auto is_nearly_caught_up = has_joined_at_epoch && std::min(replica.acknowledged_index, replica.applied_index) >=
                                                        last_index() - max_entries_behind;
  if (is_nearly_caught_up)
    join_.required_acks.insert(member);
  if (is_nearly_caught_up && replica.acknowledged_index < released_index_)
    co_return;  // on_acknowledgement wakes run_role_checks when the replica has these entries
  if (!is_nearly_caught_up) {
    if (is_unresponsive(replica, join_.since) || is_join_overdue(join_.since))
      co_await abandon_join();
    co_return;
  }
  auto former_backups = assignment_.backups();
  auto is_accepted = co_await propose_in_sync_set(member);
  if (!is_accepted || role_ != replica_role::primary)
    co_return;
  join_.member.clear();
  join_.excluded_members.clear();
  admission_.reset_share();
  log_info(member + " joined the in-sync set");
  keep_as_spare(former_backups);
  check_immediately_ =
      assignment_.in_sync_replicas.size() < target_replica_count();  // chooses the next replica immediately
  release_outputs();
}

// Whether a replica that has been replicated to since this time gives no answer.
auto partition::is_unresponsive(const replica_progress& replica, monotonic_time since) const -> bool {
  auto is_silent = host_.now() - std::max(since, replica.last_contact) > context_.settings.failure_timeout;
  return replica.process_gone || is_silent;
}

auto partition::is_join_overdue(monotonic_time since) const -> bool {
  return host_.now() - since > context_.settings.failure_timeout * join_timeout_factor;
}

// Proposes the in-sync set with this member. Returns whether the proposal was committed. While the result is unknown,
// outputs keep waiting for the member's acknowledgement (design 6.6).
auto partition::propose_in_sync_set(const std::string& member) -> task<bool> {
  auto next = assignment_;
  next.in_sync_replicas = in_sync_set_with(member, current_placement_request());
  // The committed proposal may be found before the error arrives. The error then concerns an epoch that has passed.
  auto proposed_epoch = assignment_.epoch;
  auto is_accepted = false;
  try {
    is_accepted = co_await propose(next, "redundancy restored");
  } catch (const request_error& error) {
    if (error.outcome != execution_outcome::not_executed)
      join_.unresolved_epoch = proposed_epoch;
    else if (join_.unresolved_epoch != assignment_.epoch)
      join_.required_acks.clear();
    throw;
  }
  if (join_.unresolved_epoch != assignment_.epoch)
    join_.required_acks.clear();
  co_return is_accepted;
}

auto partition::abandon_join() -> task<void> {
  log_info("abandons the join of " + join_.member);
  // Raises the epoch, so that an earlier proposal without a reply can no longer be committed.
  if (join_.unresolved_epoch == assignment_.epoch) {
    auto is_accepted = co_await propose(assignment_, "raises the epoch after a proposal without a reply");
    if (!is_accepted || role_ != replica_role::primary)
      co_return;
    join_.required_acks.clear();
  }
  join_.excluded_members.insert(join_.member);
  forget_join();
}

auto partition::forget_join() -> void {
  forget_replica(join_.member);
  join_.member.clear();
}

// Ends the replication to a member that does not join the in-sync set after all.
auto partition::forget_replica(const std::string& member) -> void {
  auto it = replicas_.find(member);
  if (it == replicas_.end())
    return;
  if (it->second.requested_epoch > join_.abandoned_epoch) {
    join_.abandoned_epoch = it->second.requested_epoch;
    join_.abandoned_at = host_.now();
  }
  replicas_.erase(it);
}

// A member of an abandoned join may have joined at the current epoch. It erases its replica only by an assignment of a
// later epoch (is_obsolete), so the primary commits one. Usually the join of another member raises the epoch first.
auto partition::raise_epoch_after_abandoned_join() -> task<void> {
  auto raise_at = join_.abandoned_at + context_.settings.failure_timeout * raise_after_timeouts;
  if (join_.abandoned_epoch == assignment_.epoch && host_.now() >= raise_at)
    co_await propose(assignment_, "raises the epoch after an abandoned join");
}

// Hands over the leadership to a backup with the complete log if this node is leaving or the control nodes request a
// handover.
auto partition::hand_over() -> task<void> {
  auto request = current_placement_request();
  auto is_leaving = context_.is_leaving() || context_.session.view.is_draining(context_.session.self) ||
                    must_be_replaced(own_member());
  // Outputs that wait for a lost backup would block the handover.
  auto is_blocked = keeps_messages() && !lost_backups().empty();
  if ((!request.hand_over && !is_leaving) || is_blocked)
    co_return;
  auto successor = choose_successor(request);
  if (successor.empty())
    co_return;
  is_handing_over_ = true;  // rejects new publishes and subscriptions from now on
  co_await wait_until_caught_up(successor);
  if (role_ == replica_role::primary && pending_outputs_.empty() && has_all_entries(successor)) {
    auto next = assignment_;
    next.primary = successor;
    try {
      co_await propose(next, "handed over");
    } catch (const request_error&) {
      // The result is unknown. The code below or the next role check finds the committed assignment.
    }
  }
  if (role_ != replica_role::primary)
    co_return;
  if (assignment_.primary == own_member())
    is_handing_over_ = false;
  else
    step_down("handed over to " + assignment_.primary);
}

// Returns the responsive backup on the requested node, or the first responsive backup that is not leaving. Returns an
// empty string if there is no such backup.
auto partition::choose_successor(const placement_request& request) const -> std::string {
  auto lost = lost_backups();
  auto successor = std::string();
  for (const auto& backup : assignment_.backups()) {
    if (lost.count(backup) || !is_responsive(backup) || must_be_replaced(backup))
      continue;
    if (successor.empty() || node_of_member(backup) == request.new_primary)
      successor = backup;
  }
  return successor;
}

// Waits until all outputs are released and the successor has the complete log, at most for the failure timeout.
auto partition::wait_until_caught_up(const std::string& successor) -> task<void> {
  auto deadline = host_.now() + context_.settings.failure_timeout;
  auto is_caught_up = [&] {
    return pending_outputs_.empty() && has_all_entries(successor) && log_.synced_index() >= last_index();
  };
  while (role_ == replica_role::primary && host_.now() < deadline && !is_caught_up()) {
    replication_wakeup_.wake();
    co_await sleep_for(host_, context_.settings.heartbeat_interval / 8);
  }
}

auto partition::has_all_entries(const std::string& member) const -> bool {
  auto it = replicas_.find(member);
  return it != replicas_.end() && it->second.acknowledged_index >= last_index();
}

}  // namespace reachridge
