// Answers nodes' heartbeats with configuration versions and leases, and ends silent sessions (design 5.1 to 5.3).
#include <algorithm>
#include <utility>

#include "cluster/control_session.hpp"
#include "control/control_node.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// The lease duration bounds the time until a version is in force everywhere. One step, a fraction of the lease
// duration, is the resolution of version deadlines and the minimum interval between two configurations sent to the same
// node. A node therefore has several attempts to receive each version.
constexpr auto steps_per_lease = 8;

constexpr auto shortage_heartbeats = 2;  // a shortage of storage nodes that lasts this long starts reserves
constexpr auto start_timeouts = 3;       // in failure timeouts; before, missing sessions are no shortage

}  // namespace

// The deadline counts from when the version was committed, rounded down to a step. If this control node applied the
// version before its leadership was settled, the deadline is set again at that point, before any lease is granted.
auto control_node::set_version_deadline(const configuration_ptr& previous) -> void {
  auto is_new = state.configuration && state.configuration != previous;
  if (!is_new || !raft.is_leader())
    return;
  const auto step = settings_.lease_duration / steps_per_lease;
  deadlines_.add(state.configuration->number, host_.now() / step * step + settings_.lease_duration);
}

auto control_node::newest_accepted() const -> configuration_version {
  return state.configuration ? state.configuration->number : 0;
}

auto control_node::version_requirements_from(monotonic_time since, bool with_deadlines) const -> version_requirements {
  auto versions = version_requirements();
  versions.newest = std::max(newest_committed_, newest_accepted());
  if (!with_deadlines) {
    versions.required = versions.newest;
    return versions;
  }
  const auto now = host_.now();
  versions.required = deadlines_.required(now);
  versions.upcoming = deadlines_.pending(now, since);
  return versions;
}

auto control_node::configuration_send_time(const session_request& request) const -> monotonic_time {
  const auto* session = sessions_.find(request.node.name);
  if (!session || !view_.lacks_configuration(request.held_versions))
    return never;
  return session->configuration_sent_at + settings_.lease_duration / steps_per_lease;
}

auto control_node::on_session_request(session_request request) -> task<session_reply> {
  const auto received_at = host_.now();
  if (sessions_.record_heartbeat(request, received_at))
    changed_.wake();
  const auto found = co_await wait_for_changes(request, received_at);
  co_await coalesce_changes(request.node.name, found);
  auto reply = session_reply();
  reply.updates = collect_updates(request, true);
  record_sent(request.node.name, reply.updates);
  reply.placement_requests = moves_requested_from(request.node.name);
  reply.lease = grant_lease(request, received_at);
  co_return reply;
}

auto control_node::wait_for_changes(const session_request& request, monotonic_time received_at)
    -> task<session_updates> {
  const auto& name = request.node.name;
  // The wait is shorter if the node has not yet reported that it serves the version that it was sent.
  const auto report_pending = request.served_version < sessions_.find(name)->sent_configuration_version;
  const auto longest_wait = report_pending ? settings_.heartbeat_interval / 2
                                           : settings_.failure_timeout / heartbeat_waits_per_failure_timeout;
  const auto deadline = received_at + longest_wait;
  auto updates = collect_updates(request, false);
  const auto could_grant_lease = may_grant_lease_to(name);
  // The wait also ends when this control node becomes able to grant the node a lease.
  while (updates.empty() && (could_grant_lease || !may_grant_lease_to(name)) && host_.now() < deadline) {
    const auto until = std::min(deadline, configuration_send_time(request));
    const auto woken = co_await changed_.wait(host_, until);
    updates = collect_updates(request, false);
    if (!woken && until == deadline)
      break;
  }
  co_return updates;
}

// Changes of nodes are delayed and reported together. Changes of partitions are reported immediately unless partitions
// were sent to this node only recently. A configuration is reported immediately.
auto control_node::coalesce_changes(const std::string& name, const session_updates& found) -> task<void> {
  const auto* session = sessions_.find(name);
  if (!session || found.empty() || found.has_configuration())
    co_return;
  const auto now = host_.now();
  const auto from = found.has_partitions() ? session->partitions_sent_at : now;
  const auto due = from + settings_.heartbeat_interval / 2;
  if (due > now)
    co_await sleep_until(host_, due);
}

auto control_node::collect_updates(const session_request& request, bool include_unneeded) const -> session_updates {
  auto updates = session_updates();
  const auto send_configuration = host_.now() >= configuration_send_time(request);
  updates.view_changes = view_.changes_since(request.held_versions, include_unneeded, send_configuration);
  auto endpoints = session_endpoints();
  if (!endpoints.empty() && address_list_checksum(endpoints) != request.control_nodes_checksum)
    updates.control_nodes = std::move(endpoints);
  return updates;
}

auto control_node::record_sent(const std::string& name, const session_updates& updates) -> void {
  auto* session = sessions_.find(name);
  if (!session)
    return;
  if (updates.has_partitions())
    session->partitions_sent_at = host_.now();
  if (updates.has_configuration()) {
    session->configuration_sent_at = host_.now();
    session->sent_configuration_version = view_.configuration->number;
  }
}

auto control_node::grant_lease(const session_request& request, monotonic_time received_at)
    -> std::optional<lease_grant> {
  const auto& name = request.node.name;
  if (!may_grant_lease_to(name))
    return std::nullopt;
  auto grant = lease_grant();
  if (raft.is_leader()) {
    const auto expires_at = host_.now() + settings_.lease_duration;
    leases_.grant(name, expires_at, request.served_version);
    grant.duration = expires_at - received_at;
    grant.partitions_version = state.partitions_version.get();
  } else {
    grant.duration = sessions_.find(name)->max_lease_end - received_at;
    grant.partitions_version = leased_partitions_version_;
  }
  grant.versions = version_requirements_from(received_at, request.accepts_deadlines);
  return grant;
}

auto control_node::expire_sessions() -> task<void> {
  while (true) {
    const auto due = host_.now() + settings_.heartbeat_interval;
    co_await sleep_until(host_, due);
    start_gossip();
    const auto now = host_.now();
    extend_for_pause(now, now - due);
    const auto sessions_ended = end_timed_out_sessions(now);
    const auto tables_dropped = remove_stale_tables(now);
    if (sessions_ended || tables_dropped)
      changed_.wake();
    deadlines_.prune(now);
    leases_.remove_expired(now);
    report_storage_shortage(now);
  }
}

// After a start, storage nodes need some time to open their sessions again.
auto control_node::report_storage_shortage(monotonic_time now) -> void {
  if (!lacks_storage_nodes())
    shortage_since_ = now;
  auto is_lasting = now - shortage_since_ >= settings_.heartbeat_interval * shortage_heartbeats;
  auto is_settled = now - started_at_ >= settings_.failure_timeout * start_timeouts;
  if (on_storage_shortage && is_lasting && is_settled)
    on_storage_shortage();
}

// Messages that arrived during a pause have not been read yet. If the pause counted as silence, an overloaded control
// node would end the sessions of live nodes, and the resulting updates would increase the load on all control nodes.
auto control_node::extend_for_pause(monotonic_time now, monotonic_time pause) -> void {
  if (pause <= settings_.heartbeat_interval / 2)
    return;
  sessions_.extend_for_pause(now, pause);
  for (auto& [source, peer] : peers_)
    peer.last_contact = std::min(now, peer.last_contact + pause);
}

auto control_node::end_timed_out_sessions(monotonic_time now) -> bool {
  const auto ended = sessions_.remove_timed_out(now, settings_.failure_timeout);
  for (const auto& name : ended)
    reachridge::log(log_level::info, settings_.name, "session of " + name + " has timed out");
  return !ended.empty();
}

auto control_node::remove_stale_tables(monotonic_time now) -> bool {
  return std::erase_if(view_.session_tables, [&](const auto& entry) {
           const auto& source = entry.first;
           if (source == sessions_.source() || now - peers_[source].last_contact <= settings_.failure_timeout)
             return false;
           peers_.erase(source);
           return true;
         }) > 0;
}

// A version is in force when every node that may hold a lease has reported that it serves this version or a newer one.
auto control_node::on_in_force_query(configuration_version version) const -> in_force_status {
  const auto now = host_.now();
  auto status = in_force_status{.version = version, .newest = newest_accepted(), .waiting = {}};
  status.waiting = leases_.holders_below(version, now);
  // Leases from an earlier leader may still be valid. If that leader was wrongly considered dead, it may have granted
  // leases for one more election timeout, in which voters would otherwise have rejected other candidates.
  const auto earlier_leases_end =
      raft.leader_since() + settings_.lease_duration * 5 / 4 + settings_.failure_timeout * 3 / 8;
  if (now < earlier_leases_end)
    status.waiting.emplace_back("(leases from an earlier leader may still be valid)");
  if (version > status.newest)
    status.waiting.emplace_back("(the version has not been accepted)");
  return status;
}

}  // namespace reachridge
