// Exchange of sessions between control nodes. The leader's reply permits the requesting control node to grant leases to
// the nodes whose sessions the request named, and to no other nodes (design 5.1, 5.3).
#include <algorithm>
#include <utility>

#include "cluster/session_codec.hpp"
#include "control/control_node.hpp"

namespace reachridge {
namespace {

constexpr auto rounds_per_load_report = 10;

}  // namespace

auto control_node::start_gossip() -> void {
  for (const auto& address : other_control_nodes())
    if (gossip_peers_.insert(address).second)
      tasks_.spawn(gossip_with(address));
}

auto control_node::gossip_with(std::string address) -> task<void> {
  auto progress = gossip_progress();
  while (other_control_nodes().count(address)) {
    const auto round = co_await exchange_gossip(address, progress);
    co_await wait_for_next_round(address, progress, round);
  }
  gossip_peers_.erase(address);
}

auto control_node::exchange_gossip(const std::string& address, gossip_progress& progress) -> task<gossip_round> {
  auto round = gossip_round();
  round.sent_at = host_.now();
  round.leader = raft.leader_address();
  round.live_nodes = sessions_.live_nodes(round.sent_at, settings_.failure_timeout);
  try {
    auto request = build_gossip_request(round.live_nodes, progress);
    const auto sent_table_version = request.table_version;
    auto encoded = encode(std::move(request));
    const auto answer = co_await raft.peer(address).call(std::move(encoded), round.sent_at + settings_.request_timeout);
    round.answered = true;
    const auto reply = decode_gossip_reply(answer);
    record_gossip_progress(reply, sent_table_version, round.live_nodes, progress);
    round.granted = reply.grant.has_value();
    if (reply.grant)
      apply_lease_grant(*reply.grant, round);
  } catch (const request_error&) {
    progress.table_version = -1;
    progress.live_nodes = std::nullopt;
  }
  co_return round;
}

auto control_node::build_gossip_request(const served_versions& live_nodes, gossip_progress& progress)
    -> gossip_request {
  const auto& table = sessions_.table();
  auto request = gossip_request();
  request.source = sessions_.source();
  request.table_version = table.version;
  request.accepts_deadlines = true;
  if (progress.live_nodes != live_nodes) {
    request.live_nodes = live_nodes;
    progress.live_nodes_version = sessions_.next_live_nodes_version();
  }
  request.live_nodes_version = progress.live_nodes_version;
  request.reports_loads = progress.rounds++ % rounds_per_load_report == 0;
  if (request.reports_loads)
    for (const auto& [name, served_version] : live_nodes)
      request.loads[name] = sessions_.find(name)->node.load;
  request.table_changes = table.changes_since(progress.table_version, {}, progress.accepts_deltas, true);
  return request;
}

auto control_node::record_gossip_progress(const gossip_reply& reply, std::int64_t sent_table_version,
                                          const served_versions& live_nodes, gossip_progress& progress) -> void {
  progress.table_version = std::min(reply.table_version, sent_table_version);
  progress.accepts_deltas = reply.accepts_deltas;
  progress.live_nodes.reset();
  if (reply.live_nodes_version == progress.live_nodes_version)
    progress.live_nodes = live_nodes;
}

auto control_node::apply_lease_grant(const gossip_lease_grant& grant, const gossip_round& round) -> void {
  last_granted_request_at_ = std::max(last_granted_request_at_, round.sent_at);
  requested_moves_.clear();
  for (const auto& move : grant.placement_requests)
    requested_moves_.push_back(replica_move::from_value(move));
  deadlines_.add(grant.versions.required, round.sent_at);
  deadlines_.merge(grant.versions.upcoming, round.sent_at);
  newest_committed_ = std::max({newest_committed_, grant.versions.required, grant.versions.newest});
  leased_partitions_version_ = std::max(leased_partitions_version_, grant.partitions_version);
  for (const auto& [name, served_version] : round.live_nodes) {
    auto* session = sessions_.find(name);
    if (!session)
      continue;
    if (session->max_lease_end < host_.now())
      changed_.wake();
    session->max_lease_end = std::max(session->max_lease_end, round.sent_at + settings_.lease_duration);
  }
}

auto control_node::wait_for_next_round(const std::string& address, const gossip_progress& progress,
                                       const gossip_round& round) -> task<void> {
  const auto leader_unchanged = [&] {
    return raft.leader_address() == round.leader;
  };
  // A new leader gets a request immediately. A leader that has not yet confirmed its quorum gets the next one soon,
  // because all leases depend on its grant.
  const auto leader_granted_nothing = round.answered && !round.granted && address == raft.leader_address();
  const auto interval = leader_granted_nothing ? settings_.heartbeat_interval / 4 : settings_.heartbeat_interval;
  const auto deadline = round.sent_at + interval;
  auto table_version = sessions_.table().version;
  while (host_.now() < deadline && leader_unchanged() && (!round.answered || table_version == progress.table_version)) {
    const auto woken = co_await changed_.wait(host_, deadline);
    table_version = sessions_.table().version;
    if (!woken)
      break;
  }
  // A short delay combines changes that follow each other closely.
  const auto earliest = round.sent_at + settings_.heartbeat_interval / 2;
  const auto may_wait = round.granted || address != round.leader;
  if (host_.now() < earliest && leader_unchanged() && may_wait)
    co_await sleep_until(host_, earliest);
}

auto control_node::on_gossip(const gossip_request& request) -> gossip_reply {
  auto& peer = peers_[request.source];
  peer.last_contact = host_.now();
  auto& table = view_.session_tables[request.source];
  if (request.table_changes.is_object() && table.merge(request.table_changes))
    changed_.wake();
  record_live_nodes(request, peer);
  auto reply = gossip_reply{.table_version = table.version,
                            .accepts_deltas = true,
                            .live_nodes_version = peer.live_nodes_version,
                            .grant = std::nullopt};
  if (peer.live_nodes_version != request.live_nodes_version)
    return reply;
  record_loads(request.loads, table);
  if (may_grant_leases())
    reply.grant = grant_leases_through(peer, request.accepts_deadlines);
  return reply;
}

// A request contains the list of live nodes only if the list has changed, but every request renews the list. A request
// that arrives after a newer one does not change the list.
auto control_node::record_live_nodes(const gossip_request& request, peer_sessions& peer) -> void {
  if (!request.live_nodes)
    return;
  const auto is_unnumbered = request.live_nodes_version == 0;
  if (is_unnumbered || request.live_nodes_version > peer.live_nodes_version) {
    peer.live_nodes_version = request.live_nodes_version;
    peer.live_nodes = *request.live_nodes;
  }
}

auto control_node::record_loads(const std::map<std::string, std::int64_t>& loads, cluster_view::session_table& table)
    -> void {
  for (const auto& [name, load] : loads)
    if (auto table_row = table.rows.find(name); table_row != table.rows.end())
      table_row->second.load = load;
}

auto control_node::grant_leases_through(const peer_sessions& peer, bool with_deadlines) -> gossip_lease_grant {
  const auto now = host_.now();
  for (const auto& [name, served_version] : peer.live_nodes)
    leases_.grant(name, now + settings_.lease_duration, served_version);
  auto grant = gossip_lease_grant();
  for (const auto& move : requested_moves_)
    grant.placement_requests.push_back(move.to_value());
  grant.versions = version_requirements_from(now, with_deadlines);
  grant.partitions_version = state.partitions_version.get();
  return grant;
}

}  // namespace reachridge
