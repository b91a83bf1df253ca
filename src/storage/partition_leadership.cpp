// Leadership of a partition: following the assignments of the replicated log, claiming the partition, going live and
// stepping down (design 6.5).
#include <algorithm>

#include "runtime/log.hpp"
#include "storage/member_lookup.hpp"
#include "storage/partition.hpp"

namespace reachridge {
namespace {

constexpr auto recreated_index_shift = 32;  // a recreated partition starts at index epoch * 2^32 (design 6.10)
constexpr auto replay_checks_per_heartbeat = 50;

}  // namespace

// Proposes the next assignment by compare-and-set of the epoch of the known assignment. Returns whether the replicated
// log has committed the proposal or another assignment with the same primary. If the proposal is rejected, applies the
// committed assignment.
auto partition::propose(partition_assignment next, std::string reason) -> task<bool> {
  auto command = next.to_value();
  command.as_object()["k"] = "cell";
  command.as_object()["id"] = id;
  command.as_object()["epoch"] = assignment_.epoch;
  command.as_object()["why"] = reason;
  auto reply = co_await context_.session.propose(std::move(command), host_.now() + context_.settings.failure_timeout);
  auto committed = partition_assignment::from_value(get_value(reply, "row"));
  if (get_bool(reply, "ok")) {
    auto is_primary_here = committed.primary == own_member();
    if (committed.epoch > assignment_.epoch)
      assignment_ = committed;
    co_return is_primary_here || committed.primary == next.primary;
  }
  apply_assignment(committed);
  co_return false;
}

// A primary that a newer assignment replaces steps down. The replica takes the role that the assignment gives it.
auto partition::apply_assignment(const partition_assignment& committed) -> void {
  if (committed.epoch <= assignment_.epoch)
    return;
  auto is_primary_here = committed.primary == own_member();
  // Another replica became the primary: its failure timeout starts now.
  if (role_ == replica_role::backup && committed.primary != assignment_.primary)
    last_contact_ = host_.now();
  assignment_ = committed;
  followed_.process_gone = false;
  if (role_ == replica_role::primary && !is_primary_here)
    step_down("the primary of epoch " + std::to_string(committed.epoch) + " is " + committed.primary);
  if (role_ == replica_role::primary && is_primary_here) {
    log_info("found its own proposal committed in the replicated log");
    check_wakeup_.wake();
    return;
  }
  if (!is_primary_here && committed.is_in_sync(own_member()) && role_ != replica_role::backup)
    become_backup();
  auto follows_older_epoch = role_ == replica_role::backup && followed_.epoch < committed.epoch;
  if (follows_older_epoch && !committed.has_member(own_member()))
    role_ = replica_role::idle;
  check_wakeup_.wake();
}

// Becomes the primary at the claimed epoch. All entries up to the last go-live point have been replayed (paper 2.3).
auto partition::go_live() -> void {
  released_index_ = last_index();  // former primaries may have released outputs up to here
  if (last_index() < assignment_.recreated_epoch << recreated_index_shift)
    recreate();
  log_.drop_unfinished_operation();
  if (applied_index_ < last_index())
    throw std::logic_error(id + " cannot go live: the log has entries that are not replayed");
  begin_leadership();
  log_info("went live at epoch " + std::to_string(assignment_.epoch) + ", entry " + std::to_string(last_index()));
  auto entries = std::vector<log_entry>{go_live_entry{assignment_.epoch, own_member()}};
  if (auto configuration = configuration_entry())
    entries.push_back(*configuration);
  append_operation(std::move(entries));
  for (const auto& backup : assignment_.backups())
    start_replication(backup);
}

// Starts the log of a partition that was recreated after all its replicas were lost. The new log starts above every
// position that the partition ever assigned, and contains no older data (design 6.10).
auto partition::recreate() -> void {
  auto first = assignment_.recreated_epoch << recreated_index_shift;
  wipe();
  applied_index_ = first;
  state_.recreated_at_position = first;
  log_.restart_from({.index = first, .epoch = assignment_.recreated_epoch, .state = state_.take_snapshot()});
  record_.mark_replaced();
  is_damaged_ = false;
  log_.mark_synced(first);
}

// Whether this replica holds everything that it acknowledged as a member of the assignment. A replica whose log is
// damaged or was erased does not, unless the partition was recreated empty after the log was erased.
auto partition::holds_acknowledged_entries() const -> bool {
  if (!is_damaged_)
    return true;
  auto erased_epoch = record_.erased_epoch();
  return erased_epoch && assignment_.recreated_epoch > *erased_epoch && !disk_.failed();
}

// Logs once per epoch that a member of the assignment does not claim the partition.
auto partition::report_missing_log() -> void {
  if (!assignment_.has_member(own_member()) || assignment_.epoch == unclaimed_epoch_)
    return;
  unclaimed_epoch_ = assignment_.epoch;
  reachridge::log(log_level::error, context_.settings.name,
                  id + ": does not claim epoch " + std::to_string(assignment_.epoch + 1) +
                      ": the log of this in-sync replica is damaged or was erased, and no copy has replaced it");
}

auto partition::begin_leadership() -> void {
  ++leadership_number_;
  role_ = replica_role::primary;
  pending_outputs_.clear();
  replicas_.clear();
  join_.required_acks.clear();
  join_.member.clear();
  join_.excluded_members.clear();
  spare_ = spare_replica();
  spare_.former = record_.spare();
  delay_spare_choice();
  subscribers_.clear();
  is_handing_over_ = false;
  admission_.restart(host_.now());
  last_clock_entry_at_ = host_.now();
  for (const auto& [subscription, state] : state_.subscriptions)
    disconnected_since_[subscription] = host_.now();
}

// Fails all requests that wait for an output. The outcome of these requests is unknown.
auto partition::fail_waiting_requests(const std::string& reason) -> void {
  auto error = request_error(errc::unclear, reason, execution_outcome::unknown,
                             context_.settings.heartbeat_interval * 2 / millisecond);
  for (auto& [publish, waiting] : waiting_publishes_)
    for (auto& reply : waiting)
      reply->fail(error);
  waiting_publishes_.clear();
  for (auto& pending : pending_outputs_) {
    if (auto* deferred = std::get_if<deferred_reply>(&pending.action))
      deferred->reply_to->fail(error);
    else if (auto* refused = std::get_if<deferred_refusal>(&pending.action))
      refused->reply_to->fail(error);
    else
      continue;
    pending.action = std::monostate();
  }
}

// Ends the leadership and discards the pending outputs: another primary may have gone live without their entries.
auto partition::step_down(const std::string& reason) -> void {
  if (role_ != replica_role::primary)
    return;
  reachridge::log(log_level::warning, context_.settings.name, id + ": steps down: " + reason);
  role_ = replica_role::idle;
  ++leadership_number_;
  fail_waiting_requests("this node is no longer the primary of the partition");
  pending_outputs_.clear();
  replicas_.clear();
  join_.required_acks.clear();
  notify_gateways_moved();
  subscribers_.clear();
  disconnected_since_.clear();
  replication_wakeup_.wake();
  if (assignment_.primary != own_member() && assignment_.has_member(own_member()))
    become_backup();
}

// Notifies each gateway once that it has to look up the new primary.
auto partition::notify_gateways_moved() -> void {
  auto notified = std::set<connection_ptr>();
  for (const auto& [subscription, subscriber] : subscribers_) {
    auto is_first = notified.insert(subscriber.connection).second;
    if (is_first)
      subscriber.connection->send(object{{"op", "moved"}, {"cell", id}});
  }
}

// Claims the partition for this node and goes live if the claim is committed. If several replicas claim concurrently,
// the replicated log commits only one claim per epoch.
auto partition::claim(std::string reason) -> task<void> {
  auto next = claimed_assignment();
  auto former_primary = assignment_.primary;
  log_info("claims epoch " + std::to_string(assignment_.epoch + 1) + ": " + reason);
  try {
    auto is_accepted = co_await propose(next, reason);
    if (is_accepted && assignment_.primary == own_member())
      co_await take_over(former_primary, reason);
  } catch (const request_error& error) {
    log_info(std::string("claim failed and will be retried: ") + error.what());
  }
}

// Returns the assignment that a claim proposes. If the partition retains messages, the in-sync set is unchanged,
// because only a replica with all released entries may claim. Otherwise the claimant continues alone, as in the paper
// (design 6.9).
auto partition::claimed_assignment() const -> partition_assignment {
  auto next = assignment_;
  next.primary = own_member();
  auto continues_alone = assignment_.primary != own_member() || assignment_.in_sync_replicas.size() < 2;
  if (!keeps_messages() && continues_alone)
    next.in_sync_replicas = {own_member()};
  return next;
}

// Takes over after a committed claim. The replica rejects entries of lower epochs from now on, and replays all entries
// that it has before it goes live.
auto partition::take_over(std::string former_primary, std::string reason) -> task<void> {
  auto claimed = assignment_.epoch;
  followed_.member = own_member();
  followed_.epoch = claimed;
  auto started_at = host_.now();
  entries_received_.wake();
  co_await replay_before_go_live(claimed);
  if (role_ == replica_role::primary || assignment_.epoch != claimed)
    co_return;
  go_live();
  log_info("replayed for " + std::to_string((host_.now() - started_at) / millisecond) + " ms before going live");
  check_immediately_ = true;  // chooses a new backup immediately
  if (former_primary != own_member()) {
    join_.excluded_members.insert(former_primary);  // a silent member must not be chosen as the new backup
    // The former primary also counts as silent in its role as a backup.
    if (auto it = replicas_.find(former_primary); it != replicas_.end())
      it->second.last_contact = expired_contact_time();
  }
  dump_log(id + " was taken over: " + reason);
}

// Waits until the replay task has applied all entries up to the last go-live point. Announces the replay to the other
// replicas every heartbeat interval: otherwise they would treat a long replay as a failure and claim the partition
// repeatedly.
auto partition::replay_before_go_live(partition_epoch claimed) -> task<void> {
  auto announced_at = host_.now() - context_.settings.heartbeat_interval;
  while (is_replay_pending(claimed)) {
    if (host_.now() - announced_at >= context_.settings.heartbeat_interval) {
      announced_at = host_.now();
      announce_replay(claimed);
    }
    co_await sleep_for(host_, context_.settings.heartbeat_interval / replay_checks_per_heartbeat);
  }
}

auto partition::is_replay_pending(partition_epoch claimed) const -> bool {
  if (role_ == replica_role::primary || assignment_.epoch != claimed)
    return false;
  return log_.last_go_live_point(applied_index_) > applied_index_;
}

auto partition::announce_replay(partition_epoch claimed) -> void {
  for (const auto& member : assignment_.in_sync_replicas) {
    auto address = member == own_member() ? "" : address_of_member(context_.session.view, member);
    if (!address.empty())
      context_.peer_connection_to(address).send(encode(replay_announcement{.partition = id, .epoch = claimed}));
  }
}

// Applies new assignments and checks the role, at least once per heartbeat interval. A primary maintains its replicas;
// a backup claims the partition if the primary has failed.
auto partition::run_role_checks() -> task<void> {
  auto claim_delay = host_.jittered(context_.settings.heartbeat_interval);
  while (true) {
    co_await wait_for_next_check();
    if (!context_.session.is_synchronized())
      continue;
    const auto& committed = context_.session.view.partitions;
    if (auto it = committed.find(id); it != committed.end())
      apply_assignment(it->second);
    try {
      co_await check_role(claim_delay);
    } catch (const request_error& error) {
      reachridge::log(log_level::debug, context_.settings.name, id + ": " + error.what());
    }
  }
}

// Waits for the heartbeat interval, or until check_wakeup_ or check_immediately_ requests an earlier check.
auto partition::wait_for_next_check() -> task<void> {
  auto deadline = host_.now() + context_.settings.heartbeat_interval;
  while (host_.now() < deadline && !check_immediately_) {
    auto woken = co_await check_wakeup_.wait(host_, deadline);
    if (woken)
      break;
  }
  check_immediately_ = false;
}

// Performs one check of the role. Each claim against a silent primary sets a new random `claim_delay`, so that two
// claimants do not collide repeatedly.
auto partition::check_role(monotonic_time& claim_delay) -> task<void> {
  if (role_ == replica_role::primary) {
    co_await maintain_replicas();
    co_return;
  }
  // A node that shuts down resumes no leadership. It still claims from a primary that is lost before another replica
  // has taken this one's place.
  auto is_resigned = context_.is_leaving() && assignment_.primary == own_member();
  if (assignment_.epoch == 0 || is_resigned)
    co_return;
  if (!holds_acknowledged_entries()) {
    report_missing_log();
    co_return;
  }
  if (assignment_.primary == own_member()) {
    // An assigned primary that is not live claims a new epoch, also after a restart: it may have lost entries that it
    // had not acknowledged.
    co_await claim(assignment_.epoch == 1 ? "the partition starts for the first time" : "the assigned primary resumes");
  } else if (!assignment_.is_in_sync(own_member())) {
    co_return;
  } else if (is_disk_lost(context_.session.view, assignment_.primary)) {
    co_await claim("the primary's disk is lost");
  } else if (followed_.process_gone || is_primary_silent(claim_delay)) {
    co_await claim(followed_.process_gone ? "the primary's process has terminated" : "the primary is silent");
    claim_delay = host_.jittered(context_.settings.heartbeat_interval);
  }
}

// The silence timeout of a backup grows with its position in the in-sync set, so that usually only one backup claims.
auto partition::is_primary_silent(monotonic_time claim_delay) const -> bool {
  auto backups = assignment_.backups();
  auto backup_position = std::find(backups.begin(), backups.end(), own_member()) - backups.begin();
  auto silence_timeout =
      context_.settings.failure_timeout + claim_delay + context_.settings.heartbeat_interval * backup_position;
  return host_.now() - last_primary_contact() > silence_timeout;
}

}  // namespace reachridge
