// Who leads a partition: following the replicated log, claiming, going live, halting (design 6.5).
#include <algorithm>

#include "runtime/log.hpp"
#include "storage/member_lookup.hpp"
#include "storage/partition.hpp"

namespace reachridge {
namespace {

constexpr auto recreated_index_shift = 32;  // a recreated partition counts on from its epoch times 2^32 (design 6.10)
constexpr auto replay_checks_per_heartbeat = 50;

}  // namespace

// Proposes the successor of the known assignment, by compare-and-set of its epoch. Returns whether the replicated log
// has committed it, or one that gives the partition to the same primary; otherwise takes the assignment that it holds.
auto partition::propose(partition_assignment next, std::string why) -> task<bool> {
  auto command = next.to_value();
  command.as_object()["k"] = "cell";
  command.as_object()["id"] = id;
  command.as_object()["epoch"] = assignment_.epoch;
  command.as_object()["why"] = why;
  auto reply = co_await context_.session.propose(std::move(command), host_.now() + context_.settings.failure_timeout);
  auto committed = partition_assignment::from_value(get_value(reply, "row"));
  if (get_bool(reply, "ok")) {
    auto is_own = committed.primary == own_member();
    if (committed.epoch > assignment_.epoch)
      assignment_ = committed;
    co_return is_own || committed.primary == next.primary;
  }
  apply_row(committed);
  co_return false;
}

// Who lost a claim halts and takes the role it is given.
auto partition::apply_row(const partition_assignment& committed) -> void {
  if (committed.epoch <= assignment_.epoch)
    return;
  auto is_own = committed.primary == own_member();
  // Another backup was faster: it has from now on to make contact.
  if (role_ == replica_role::backup && committed.primary != assignment_.primary)
    last_contact_ = host_.now();
  assignment_ = committed;
  followed_.process_gone = false;
  if (role_ == replica_role::primary && !is_own)
    halt("epoch " + std::to_string(committed.epoch) + " is led by " + committed.primary);
  if (role_ == replica_role::primary && is_own) {
    log_info("own proposal found committed");
    wake_up_.wake();
    return;
  }
  if (!is_own && committed.is_in_sync(own_member()) && role_ != replica_role::backup)
    become_backup();
  auto follows_older = role_ == replica_role::backup && followed_.epoch < committed.epoch;
  if (follows_older && !committed.has_member(own_member()))
    role_ = replica_role::idle;
  wake_up_.wake();
}

// Becomes primary at the epoch that was won. Everything up to the last go-live point has been replayed (paper 2.3).
auto partition::go_live() -> void {
  released_index_ = last_index();  // by whoever led before
  if (last_index() < assignment_.recreated_epoch << recreated_index_shift)
    recreate();
  log_.drop_unfinished_operation();
  if (applied_index_ < last_index())
    throw std::logic_error(id + " would go live with entries not replayed");
  reset_leadership();
  log_info("live at epoch " + std::to_string(assignment_.epoch) + ", entry " + std::to_string(last_index()));
  auto entries = std::vector<log_entry>{go_live_entry{assignment_.epoch, own_member()}};
  if (auto configuration = configuration_entry())
    entries.push_back(*configuration);
  append_operation(std::move(entries));
  for (const auto& backup : assignment_.backups())
    start_feed(backup);
}

// A partition recreated after all its copies were lost counts on above every position it ever gave out, and knows
// nothing older (design 6.10).
auto partition::recreate() -> void {
  auto first = assignment_.recreated_epoch << recreated_index_shift;
  wipe();
  applied_index_ = first;
  state_.recreated_at = first;
  log_.restart_from({.index = first, .epoch = assignment_.recreated_epoch, .state = state_.take_snapshot()});
  log_.mark_synced(first);
}

auto partition::reset_leadership() -> void {
  ++leadership_number_;
  role_ = replica_role::primary;
  pending_outputs_.clear();
  replicas_.clear();
  join_.required_acks.clear();
  join_.member.clear();
  join_.excluded.clear();
  subscribers_.clear();
  handing_over_ = false;
  admission_.restart(host_.now());
  clock_logged_at_ = host_.now();
  for (const auto& [subscription, state] : state_.subscriptions)
    disconnected_[subscription] = host_.now();
}

// Final answers at once to what waits for an output: it may have happened or not.
auto partition::reject_waiting(const std::string& why) -> void {
  auto error = request_error(errc::unclear, why, execution_outcome::unknown,
                             context_.settings.heartbeat_interval * 2 / millisecond);
  for (auto& [publish, waiting] : waiting_publishes_)
    for (auto& reply : waiting)
      reply->fail(error);
  waiting_publishes_.clear();
  for (auto& pending : pending_outputs_) {
    auto* deferred = std::get_if<deferred_reply>(&pending.action);
    if (!deferred)
      continue;
    deferred->reply_to->fail(error);
    pending.action = std::monostate();
  }
}

// Ends the leadership. No output leaves any more: another primary may have gone live without its entry.
auto partition::halt(const std::string& why) -> void {
  if (role_ != replica_role::primary)
    return;
  reachridge::log(log_level::warning, context_.settings.name, id + ": halts: " + why);
  role_ = replica_role::idle;
  ++leadership_number_;
  reject_waiting("the cell is led elsewhere now");
  pending_outputs_.clear();
  replicas_.clear();
  join_.required_acks.clear();
  notify_subscribers_moved();
  subscribers_.clear();
  disconnected_.clear();
  log_grown_.wake();
  if (assignment_.primary != own_member() && assignment_.has_member(own_member()))
    become_backup();
}

// Tells each gateway once that it has to look for the primary.
auto partition::notify_subscribers_moved() -> void {
  auto notified = std::set<connection_ptr>();
  for (const auto& [subscription, subscriber] : subscribers_) {
    auto is_first = notified.insert(subscriber.connection).second;
    if (is_first)
      subscriber.connection->send(object{{"op", "moved"}, {"cell", id}});
  }
}

// Claims the partition for this node and goes live if the claim is committed. The log decides between claimants: the
// claim names the epoch it builds on, and only one can be the next.
auto partition::claim(std::string why) -> task<void> {
  auto next = claimed_assignment();
  auto former_primary = assignment_.primary;
  log_info("claims epoch " + std::to_string(assignment_.epoch + 1) + ": " + why);
  try {
    auto won = co_await propose(next, why);
    if (won && assignment_.primary == own_member())
      co_await take_over(former_primary, why);
  } catch (const request_error& error) {
    log_info(std::string("claim waits: ") + error.what());
  }
}

// Where messages are kept the in-sync set stays: only one that has everything may ever claim. Where none are kept the
// claimant goes on alone, as in the paper (design 6.9).
auto partition::claimed_assignment() const -> partition_assignment {
  auto next = assignment_;
  next.primary = own_member();
  auto no_backup_answers = assignment_.primary != own_member() || assignment_.in_sync_replicas.size() < 2;
  if (!keeps_messages() && no_backup_answers)
    next.in_sync_replicas = {own_member()};
  return next;
}

// From here on nothing of an older epoch is taken in; what was is replayed in full before this node goes live.
auto partition::take_over(std::string former_primary, std::string why) -> task<void> {
  auto claimed = assignment_.epoch;
  followed_.member = own_member();
  followed_.epoch = claimed;
  auto begun = host_.now();
  entries_received_.wake();
  co_await replay_before_go_live(claimed);
  if (role_ == replica_role::primary || assignment_.epoch != claimed)
    co_return;
  go_live();
  log_info("replayed for " + std::to_string((host_.now() - begun) / millisecond) + " ms before it went live");
  check_at_once_ = true;  // its new backup is sought at once
  if (former_primary != own_member()) {
    join_.excluded.insert(former_primary);  // not to be chosen while it is silent
    // The silence that led to the claim counts against its copy too.
    if (auto it = replicas_.find(former_primary); it != replicas_.end())
      it->second.last_contact = expired_contact();
  }
  dump_log(id + " taken over: " + why);
}

// Waits for `replay`, at the pace at which this node replays. The other replicas hear of it each heartbeat: a long
// replay would be silence to them, and they would claim in turn, and so on for ever.
auto partition::replay_before_go_live(partition_epoch claimed) -> task<void> {
  auto announced_at = host_.now() - context_.settings.heartbeat_interval;
  while (must_replay(claimed)) {
    if (host_.now() - announced_at >= context_.settings.heartbeat_interval) {
      announced_at = host_.now();
      announce_replay(claimed);
    }
    co_await sleep_for(host_, context_.settings.heartbeat_interval / replay_checks_per_heartbeat);
  }
}

auto partition::must_replay(partition_epoch claimed) const -> bool {
  if (role_ == replica_role::primary || assignment_.epoch != claimed)
    return false;
  return log_.last_go_live_point(applied_index_) > applied_index_;
}

auto partition::announce_replay(partition_epoch claimed) -> void {
  for (const auto& member : assignment_.in_sync_replicas) {
    auto address = member == own_member() ? "" : address_of_member(context_.session.view, member);
    if (!address.empty())
      context_.peer(address).send(encode(replay_announcement{.partition = id, .epoch = claimed}));
  }
}

// Follows the replicated log; cares for the replicas while this node leads, and claims where it may.
auto partition::follow_and_lead() -> task<void> {
  auto claim_delay = host_.jittered(context_.settings.heartbeat_interval);
  while (true) {
    co_await wait_for_next_check();
    if (!context_.session.is_synchronized())
      continue;
    const auto& committed = context_.session.view.partitions;
    if (auto it = committed.find(id); it != committed.end())
      apply_row(it->second);
    try {
      co_await check_role(claim_delay);
    } catch (const request_error& error) {
      reachridge::log(log_level::debug, context_.settings.name, id + ": " + error.what());
    }
  }
}

// A heartbeat, or less if something has happened.
auto partition::wait_for_next_check() -> task<void> {
  auto deadline = host_.now() + context_.settings.heartbeat_interval;
  while (host_.now() < deadline && !check_at_once_) {
    auto woken = co_await wake_up_.wait(host_, deadline);
    if (woken)
      break;
  }
  check_at_once_ = false;
}

// One look at what this node has to do in its role. `claim_delay` is drawn anew after each claim against a primary that
// gives no sign of life, so that two claimants do not meet again and again.
auto partition::check_role(monotonic_time& claim_delay) -> task<void> {
  if (role_ == replica_role::primary) {
    co_await maintain_replicas();
    co_return;
  }
  if (damaged_ || assignment_.epoch == 0 || context_.leaving())
    co_return;
  if (assignment_.primary == own_member()) {
    // After a restart too: it may have lost entries that it never acknowledged.
    co_await claim(assignment_.epoch == 1 ? "first start" : "its primary is back");
  } else if (!assignment_.is_in_sync(own_member())) {
    co_return;
  } else if (is_disk_lost(context_.session.view, assignment_.primary)) {
    co_await claim("its primary's disk is lost");
  } else if (followed_.process_gone || primary_is_silent(claim_delay)) {
    co_await claim(followed_.process_gone ? "its primary's process is gone" : "its primary is silent");
    claim_delay = host_.jittered(context_.settings.heartbeat_interval);
  }
}

// The backups wait longer by their place in the in-sync set, so that mostly one of them claims first.
auto partition::primary_is_silent(monotonic_time claim_delay) const -> bool {
  auto backups = assignment_.backups();
  auto place = std::find(backups.begin(), backups.end(), own_member()) - backups.begin();
  auto patience = context_.settings.failure_timeout + claim_delay + context_.settings.heartbeat_interval * place;
  return host_.now() - last_sign_of_primary() > patience;
}

}  // namespace reachridge
