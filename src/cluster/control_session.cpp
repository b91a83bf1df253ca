#include "cluster/control_session.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "cluster/session_codec.hpp"

namespace reachridge {

auto address_list_checksum(const std::vector<std::string>& addresses) -> std::int64_t {
  auto crc = boost::crc_32_type();
  for (const auto& address : addresses)
    crc.process_bytes(address.c_str(), address.size() + 1);
  return static_cast<std::int64_t>(crc.checksum());
}

control_session::control_session(host& host, const settings& settings, std::vector<std::string> seeds)
    : host_(host),
      settings_(settings),
      seeds_(std::move(seeds)),
      endpoints_(seeds_),
      known_endpoints_(seeds_.begin(), seeds_.end()),
      tasks_(host) {
  endpoint_index_ = host_.random_below(endpoints_.size());
  self.name = settings.name;
  self.zone = settings.zone;
  self.address = settings.address;
  self.http_address = settings.http_address;
  tasks_.spawn(run());
}

auto control_session::run() -> task<void> {
  lease_extended_at_ = host_.now();
  last_up_at_ = host_.now();
  while (!closed) {
    if (host_.now() >= move_at_)
      move_to_new_endpoint();
    if (!peer_)
      connect();
    const auto sent_at = host_.now();
    const auto answered = co_await send_heartbeat(sent_at);
    if (answered && closed)
      break;
    if (should_leave_endpoint())
      leave_endpoint();
    if (!peer_)
      continue;
    if (answered)
      co_await sleep_for(host_, pause_after(sent_at));
    else
      co_await link_changed_.wait(host_, host_.now() + settings_.heartbeat_interval);
  }
}

// An answer that came at once says that there is much to send: a short pause gathers it.
auto control_session::pause_after(monotonic_time sent_at) const -> monotonic_time {
  const auto answered_at_once = host_.now() - sent_at < settings_.heartbeat_interval / 2;
  return answered_at_once ? settings_.heartbeat_interval / 4 : 0;
}

auto control_session::connect() -> void {
  peer_ = std::make_shared<peer_connection>(
      host_, peer_connection::options{settings_.name, endpoints_[endpoint_index_], settings_.heartbeat_interval,
                                      settings_.failure_timeout});
  peer_->on_state_change = [this](bool) {
    link_changed_.wake();
  };
  peer_->on_process_gone = [this] {
    link_changed_.wake();
  };
}

auto control_session::disconnect() -> void {
  if (!peer_)
    return;
  peer_->on_state_change = nullptr;
  peer_->on_process_gone = nullptr;
  peer_->disconnect();
  peer_.reset();
}

auto control_session::use_endpoint(std::size_t index) -> void {
  disconnect();
  endpoint_index_ = index;
  lease_extended_at_ = last_up_at_ = host_.now();
}

auto control_session::move_to_new_endpoint() -> void {
  move_at_ = never;
  const auto found = std::find(endpoints_.begin(), endpoints_.end(), move_to_);
  if (found == endpoints_.end())
    return;
  const auto index = static_cast<std::size_t>(found - endpoints_.begin());
  if (index != endpoint_index_)
    use_endpoint(index);
}

// An endpoint whose connection is lost is left at once; one that is connected but does not extend the lease, after a
// while: sooner than the leader forgets the nodes of a control node that it does not hear.
auto control_session::should_leave_endpoint() -> bool {
  const auto now = host_.now();
  const auto is_up = peer_->is_up();
  const auto down_too_long = now - last_up_at_ > settings_.heartbeat_interval * 2;
  const auto connection_lost = !is_up && (down_too_long || peer_->refused_at() > last_up_at_);
  if (is_up)
    last_up_at_ = now;
  const auto lease_stalled = now - lease_extended_at_ > settings_.failure_timeout * 3 / 4;
  return (connection_lost || lease_stalled) && endpoints_.size() > 1;
}

// Each node goes to another at random: what one control node had does not all fall on the next.
auto control_session::leave_endpoint() -> void {
  disconnect();
  const auto distance = 1 + host_.random_below(endpoints_.size() - 1);
  use_endpoint((endpoint_index_ + distance) % endpoints_.size());
}

auto control_session::reported_version() const -> configuration_version {
  if (served_version)
    return served_version();
  return view.configuration ? view.configuration->number : 0;
}

auto control_session::make_heartbeat() const -> session_request {
  // In this order: reporting the version may change `self`, which goes out with the next heartbeat.
  return {.node = self,
          .held_versions = view.version_vector(),
          .control_nodes_checksum = control_nodes_.empty() ? 0 : address_list_checksum(control_nodes_),
          .accepts_deadlines = true,
          .served_version = reported_version()};
}

auto control_session::send_heartbeat(monotonic_time sent_at) -> task<bool> {
  try {
    auto request = encode(make_heartbeat());
    auto answer = co_await peer_->call(std::move(request), sent_at + settings_.failure_timeout);
    if (!closed)
      apply_reply(decode_session_reply(std::move(answer)), sent_at);
  } catch (const request_error&) {
    co_return false;
  }
  co_return true;
}

auto control_session::apply_reply(session_reply reply, monotonic_time sent_at) -> void {
  const auto had_lease = has_lease();
  if (reply.lease)
    extend_lease(*reply.lease, sent_at);
  update_control_nodes(reply.updates.control_nodes);
  const auto view_changed = view.merge(std::move(reply.updates.view_changes));
  const auto requests_changed = reply.placement_requests != placement_requests_;
  placement_requests_ = std::move(reply.placement_requests);
  if (view_changed || requests_changed || had_lease != has_lease())
    changed.wake();
}

auto control_session::extend_lease(const lease_grant& lease, monotonic_time sent_at) -> void {
  const auto expires_at = sent_at + lease.duration;
  lease_expires_at_ = std::max(lease_expires_at_, expires_at);
  // A control node that is granted nothing more gives what is left of the old lease: that is no extension.
  if (expires_at > extended_until_ + settings_.heartbeat_interval / 2) {
    extended_until_ = expires_at;
    lease_extended_at_ = host_.now();
  }
  update_versions(lease.versions, sent_at);
  if (!answered_once_)
    required_partitions_version_ = lease.partitions_version;
  answered_once_ = true;
}

// A node that has just started serves by nothing older than the newest that a majority had agreed on.
auto control_session::update_versions(const version_requirements& versions, monotonic_time sent_at) -> void {
  least_required_ = std::max(least_required_, versions.required);
  newest_announced_ = std::max({newest_announced_, least_required_, versions.newest});
  if (!answered_once_)
    least_required_ = newest_announced_;
  deadlines_.merge(versions.upcoming, sent_at);
  deadlines_.prune(host_.now());
}

// Takes over the voters of the replicated log as endpoints, before the seeds, which may all be of another time (design
// 5.2). All control nodes are to have equally many sessions: one that is new to this node is moved to with the
// probability that it would have been chosen at the start. Not at once, since all nodes hear of it together
// (design 5.1).
auto control_session::update_control_nodes(const std::vector<std::string>& addresses) -> void {
  if (addresses.empty())
    return;
  const auto current = endpoints_[endpoint_index_];
  control_nodes_ = addresses;
  auto new_nodes = std::vector<std::string>();
  for (const auto& address : addresses)
    if (known_endpoints_.insert(address).second)
      new_nodes.push_back(address);
  endpoints_ = control_nodes_;
  for (const auto& seed : seeds_)
    if (std::find(endpoints_.begin(), endpoints_.end(), seed) == endpoints_.end())
      endpoints_.push_back(seed);
  auto position = std::find(endpoints_.begin(), endpoints_.end(), current);
  if (position == endpoints_.end())
    position = endpoints_.insert(endpoints_.end(), current);  // it just answered
  endpoint_index_ = static_cast<std::size_t>(position - endpoints_.begin());
  if (new_nodes.empty() || host_.random_below(endpoints_.size()) >= new_nodes.size())
    return;
  move_to_ = new_nodes[host_.random_below(new_nodes.size())];
  const auto longest_delay = static_cast<std::uint64_t>(settings_.failure_timeout * 2);
  move_at_ = host_.now() + static_cast<monotonic_time>(host_.random_below(longest_delay));
}

auto control_session::call(value request, monotonic_time limit) -> task<value> {
  if (!peer_)
    throw request_error(errc::unreachable, "no session stands", execution_outcome::not_executed,
                        settings_.heartbeat_interval / millisecond);
  auto peer = peer_;  // kept until the answer comes, also if the session moves to another endpoint
  co_return co_await peer->call(std::move(request), limit);
}

auto control_session::propose(value command, monotonic_time limit) -> task<value> {
  auto request = encode_proposal(std::move(command));
  co_return co_await call(std::move(request), limit);
}

auto control_session::leave(monotonic_time limit) -> task<void> {
  closed = true;
  lease_expires_at_ = 0;
  auto request = encode_leave(self.name);
  try {
    co_await call(std::move(request), limit);
  } catch (const request_error&) {
    // The session ends by its timeout.
  }
}

}  // namespace reachridge
