// Answers to nodes' heartbeats, the versions and leases that come with them, and the end of silent sessions (design 5.1
// to 5.3).
#include <algorithm>
#include <utility>

#include "cluster/control_session.hpp"
#include "control/control_node.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Of the lease, which is what a version may take to come into force everywhere: how finely versions are timed, and
// how often at most a node is sent one. A node so has several tries at each.
constexpr auto steps_per_lease = 8;

}  // namespace

// A version counts from when it was agreed on, rounded down. One that this control node applied before its lead was
// settled is timed anew then, before it gives any lease.
auto control_node::time_version(const configuration_ptr& before) -> void {
  auto is_new = state.configuration && state.configuration != before;
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
  versions.newest = std::max(newest_agreed_, newest_accepted());
  if (!with_deadlines) {
    versions.required = versions.newest;
    return versions;
  }
  const auto now = host_.now();
  versions.required = deadlines_.required(now);
  versions.upcoming = deadlines_.pending(now, since);
  return versions;
}

auto control_node::configuration_due(const session_request& request) const -> monotonic_time {
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
  reply.placement_requests = moves_for(request.node.name);
  reply.lease = grant_lease(request, received_at);
  co_return reply;
}

auto control_node::wait_for_changes(const session_request& request, monotonic_time received_at)
    -> task<session_updates> {
  const auto& name = request.node.name;
  // Sooner where the node has not yet reported the version that it was sent.
  const auto report_pending = request.served_version < sessions_.find(name)->sent_version;
  const auto longest_wait = report_pending ? settings_.heartbeat_interval / 2
                                           : settings_.failure_timeout / heartbeat_waits_per_failure_timeout;
  const auto deadline = received_at + longest_wait;
  auto updates = collect_updates(request, false);
  const auto could_lease = may_lease_to(name);
  // A lease that can be had meanwhile is news as well.
  while (updates.empty() && (could_lease || !may_lease_to(name)) && host_.now() < deadline) {
    const auto until = std::min(deadline, configuration_due(request));
    const auto woken = co_await changed_.wait(host_, until);
    updates = collect_updates(request, false);
    if (!woken && until == deadline)
      break;
  }
  co_return updates;
}

// Nodes that come and go are reported together; partitions at once, but not each alone where many change; a
// configuration at once.
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

auto control_node::collect_updates(const session_request& request, bool settle) const -> session_updates {
  auto updates = session_updates();
  const auto send_configuration = host_.now() >= configuration_due(request);
  updates.view_changes = view_.changes_since(request.held_versions, settle, send_configuration);
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
    session->sent_version = view_.configuration->number;
  }
}

auto control_node::grant_lease(const session_request& request, monotonic_time received_at)
    -> std::optional<lease_grant> {
  const auto& name = request.node.name;
  if (!may_lease_to(name))
    return std::nullopt;
  auto grant = lease_grant();
  if (raft.is_leader()) {
    const auto expires_at = host_.now() + settings_.lease_duration;
    leases_.grant(name, expires_at, request.served_version);
    grant.duration = expires_at - received_at;
    grant.partitions_version = state.partitions_version.get();
  } else {
    grant.duration = sessions_.find(name)->lease_limit - received_at;
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
    excuse_pause(now, now - due);
    const auto sessions_ended = end_silent_sessions(now);
    const auto tables_dropped = drop_silent_tables(now);
    if (sessions_ended || tables_dropped)
      changed_.wake();
    deadlines_.prune(now);
    leases_.remove_expired(now);
  }
}

// What came during a pause is not read yet. If it counted, a busy control node would end sessions of live nodes, and
// the reports of that would make all control nodes busier.
auto control_node::excuse_pause(monotonic_time now, monotonic_time pause) -> void {
  if (pause <= settings_.heartbeat_interval / 2)
    return;
  sessions_.excuse_pause(now, pause);
  for (auto& [source, peer] : peers_)
    peer.last_contact = std::min(now, peer.last_contact + pause);
}

auto control_node::end_silent_sessions(monotonic_time now) -> bool {
  const auto ended = sessions_.remove_silent(now, settings_.failure_timeout);
  for (const auto& name : ended)
    reachridge::log(log_level::info, settings_.name, "session of " + name + " has ended");
  return !ended.empty();
}

auto control_node::drop_silent_tables(monotonic_time now) -> bool {
  return std::erase_if(view_.session_tables, [&](const auto& entry) {
           const auto& source = entry.first;
           if (source == sessions_.source() || now - peers_[source].last_contact <= settings_.failure_timeout)
             return false;
           peers_.erase(source);
           return true;
         }) > 0;
}

// A version is in force when every node that may serve has said that it serves this version or a newer one.
auto control_node::on_in_force_query(configuration_version version) const -> in_force_status {
  const auto now = host_.now();
  auto status = in_force_status{.version = version, .newest = newest_accepted(), .waiting = {}};
  status.waiting = leases_.holders_below(version, now);
  // An older leader's leases may still run; one that was wrongly taken for dead granted some for a voter's quiet
  // longer.
  const auto earlier_leases_end =
      raft.leader_since() + settings_.lease_duration * 5 / 4 + settings_.failure_timeout * 3 / 8;
  if (now < earlier_leases_end)
    status.waiting.emplace_back("(leases given under an earlier leader)");
  if (version > status.newest)
    status.waiting.emplace_back("(the number is not accepted)");
  return status;
}

}  // namespace reachridge
