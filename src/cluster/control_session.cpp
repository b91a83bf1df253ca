#include "cluster/control_session.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "cluster/session_codec.hpp"
#include "runtime/log.hpp"

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
    report_lease();
    if (should_leave_endpoint())
      leave_endpoint();
    if (!peer_)
      continue;
    if (answered)
      co_await sleep_for(host_, pause_after(sent_at));
    else
      co_await connection_changed_.wait(host_, host_.now() + settings_.heartbeat_interval);
  }
}

// Logs when the node has obtained or lost its lease, since without one it does not serve.
auto control_session::report_lease() -> void {
  if (has_lease() == lease_reported_)
    return;
  lease_reported_ = has_lease();
  if (lease_reported_)
    log(log_level::info, settings_.name, "obtained a lease from " + endpoint());
  else
    log(log_level::warning, settings_.name,
        "has no lease and does not serve; extended last " +
            std::to_string((host_.now() - lease_extended_at_) / millisecond) + " ms ago; asks " + endpoint());
}

// A control node delays its answer while it has no updates. After a fast answer the session pauses briefly, so that the
// next heartbeat collects several updates.
auto control_session::pause_after(monotonic_time sent_at) const -> monotonic_time {
  const auto answered_at_once = host_.now() - sent_at < settings_.heartbeat_interval / 2;
  return answered_at_once ? settings_.heartbeat_interval / 4 : 0;
}

auto control_session::connect() -> void {
  peer_ = std::make_shared<peer_connection>(
      host_, peer_connection::options{settings_.name, endpoints_[endpoint_index_], settings_.heartbeat_interval,
                                      settings_.failure_timeout});
  peer_->on_state_change = [this](bool) {
    connection_changed_.wake();
  };
  peer_->on_process_gone = [this] {
    connection_changed_.wake();
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
  const auto found = std::find(endpoints_.begin(), endpoints_.end(), move_target_);
  if (found == endpoints_.end())
    return;
  const auto index = static_cast<std::size_t>(found - endpoints_.begin());
  if (index != endpoint_index_)
    use_endpoint(index);
}

// The session leaves an endpoint whose connection was refused or has been down for two heartbeat intervals. It leaves a
// connected endpoint that has not extended the lease for 3/4 of the failure timeout, which is before the leader drops
// the nodes of a control node that it no longer hears from.
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

// Chooses the next endpoint at random, so that the sessions of a failed control node spread over all others.
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
  // `self` is copied first: reported_version() may change it, and the change is sent with the next heartbeat.
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
  // A control node whose own permission is not renewed grants only the remainder of the old lease. That does not count
  // as an extension.
  if (expires_at > extended_until_ + settings_.heartbeat_interval / 2) {
    extended_until_ = expires_at;
    lease_extended_at_ = host_.now();
  }
  update_versions(lease.versions, sent_at);
  if (!lease_received_)
    required_partitions_version_ = lease.partitions_version;
  lease_received_ = true;
}

// After its start, a node must not serve with a configuration older than the newest committed one at that time.
auto control_session::update_versions(const version_requirements& versions, monotonic_time sent_at) -> void {
  least_required_ = std::max(least_required_, versions.required);
  newest_announced_ = std::max({newest_announced_, least_required_, versions.newest});
  if (!lease_received_)
    least_required_ = newest_announced_;
  deadlines_.merge(versions.upcoming, sent_at);
  deadlines_.prune(host_.now());
}

// Uses the voters of the replicated log as endpoints, ahead of the seeds, which may all be outdated (design 5.2). To
// balance sessions over the control nodes, the session moves to a newly listed control node with the probability with
// which it would have chosen that node at its start. The move takes place after a random delay, because all nodes learn
// of the new control node at the same time (design 5.1).
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
    position = endpoints_.insert(endpoints_.end(), current);  // the current endpoint stays usable: it has just answered
  endpoint_index_ = static_cast<std::size_t>(position - endpoints_.begin());
  if (new_nodes.empty() || host_.random_below(endpoints_.size()) >= new_nodes.size())
    return;
  move_target_ = new_nodes[host_.random_below(new_nodes.size())];
  const auto longest_delay = static_cast<std::uint64_t>(settings_.failure_timeout * 2);
  move_at_ = host_.now() + static_cast<monotonic_time>(host_.random_below(longest_delay));
}

auto control_session::call(value request, monotonic_time deadline) -> task<value> {
  if (!peer_)
    throw request_error(errc::unreachable, "no connection to the control plane", execution_outcome::not_executed,
                        settings_.heartbeat_interval / millisecond);
  auto peer = peer_;  // keeps the connection until the answer arrives, even if the session moves to another endpoint
  co_return co_await peer->call(std::move(request), deadline);
}

auto control_session::propose(value command, monotonic_time deadline) -> task<value> {
  auto request = encode_proposal(std::move(command));
  co_return co_await call(std::move(request), deadline);
}

auto control_session::leave(monotonic_time deadline) -> task<void> {
  closed = true;
  lease_expires_at_ = 0;
  auto request = encode_leave(self.name);
  try {
    co_await call(std::move(request), deadline);
  } catch (const request_error&) {
    // The control node ends the session after the failure timeout.
  }
}

}  // namespace reachridge
