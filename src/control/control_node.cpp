// Startup, request dispatch, forwarding to the leader and the cluster view of a control node.
#include "control/control_node.hpp"

#include "cluster/node_kind.hpp"
#include "cluster/session_codec.hpp"
#include "rpc/server.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Prefix of the error that a control node returns for an unknown operation. Earlier releases return the same text.
constexpr auto unknown_request_prefix = std::string_view("unknown request ");
constexpr auto raft_prefix = std::string_view("l.");  // operations of the replicated log
constexpr auto boot_key = "Q/boot";                   // disk key of the number of starts of this control node

}  // namespace

control_node::control_node(host& host, const settings& settings)
    : host_(host),
      settings_(settings),
      raft(host, settings,
           {[this](std::int64_t log_index, const value& command) {
              auto previous = state.configuration;
              auto result = state.apply_encoded(log_index, command);
              set_version_deadline(previous);
              refresh_view();
              return result;
            },
            [this] {
              return state.take_snapshot();
            },
            [this](const value& snapshot) {
              state.restore(snapshot);
              refresh_view();
            },
            [this] {
              on_leader_change();
            }}),
      tasks_(host) {
  tasks_.on_error = [this](std::exception_ptr error) {
    log_task_error(error);
  };
  // The source contains the disk identity: after the loss of its disk, a control node counts its starts from one again
  // and must therefore be a different source.
  sessions_.start(settings.address + "/" + raft.disk_id(), next_boot_id());
  refresh_view();
  auto handlers = rpc_handlers();
  handlers.on_call = [this](connection_ptr connection, value request) {
    return handle_call(std::move(connection), std::move(request));
  };
  handlers.sweep_interval = settings.failure_timeout;
  tasks_.spawn(serve(host_, tasks_, host_.listen(settings.address), handlers, settings.name));
  if (!settings.http_address.empty()) {
    auto page_handlers = http_handlers();
    page_handlers.handle_request = [this](http_request request) {
      return handle_page(std::move(request));
    };
    tasks_.spawn(serve_http(host_, tasks_, host_.listen(settings.http_address), page_handlers));
  }
  start_gossip();
  tasks_.spawn(expire_sessions());
  tasks_.spawn(place_partitions());
}
control_node::~control_node() = default;

auto control_node::next_boot_id() -> std::int64_t {
  auto boot_id = std::int64_t{0};
  if (auto stored = host_.disk()->get(boot_key))
    boot_id = get_int(decode_with_checksum(*stored), "n");
  ++boot_id;
  host_.disk()->put(boot_key, encode_with_checksum(object{{"n", boot_id}}));
  return boot_id;
}

auto control_node::on_leader_change() -> void {
  leases_.clear();
  requested_moves_.clear();
  // A new leader does not know when versions were committed under an earlier leader, so they are all due now.
  if (raft.is_leader() && state.configuration)
    deadlines_.add(state.configuration->number, host_.now());
  changed_.wake();
}

auto control_node::log_task_error(std::exception_ptr error) const -> void {
  try {
    std::rethrow_exception(std::move(error));
  } catch (const std::exception& caught) {
    reachridge::log(log_level::error, settings_.name, std::string("background task failed: ") + caught.what());
    dump_log("a background task failed");
  }
}

auto control_node::other_control_nodes() const -> std::set<std::string> {
  auto addresses = std::set<std::string>(settings_.seeds.begin(), settings_.seeds.end());
  for (const auto& voter : raft.voters())
    addresses.insert(voter.address);
  addresses.erase(settings_.address);
  return addresses;
}
auto control_node::session_endpoints() const -> std::vector<std::string> {
  auto addresses = std::vector<std::string>();
  for (const auto& voter : raft.voters())
    addresses.push_back(voter.address);
  return addresses;
}
auto control_node::refresh_view() -> void {
  view_.configuration = state.configuration;
  view_.partitions = state.partitions;
  view_.drains = state.drains;
  view_.partitions_version = state.partitions_version.get();
  changed_.wake();
}

auto control_node::may_grant_leases() const -> bool {
  return raft.leadership_established() && host_.now() < raft.last_quorum_contact() + settings_.leader_contact_limit();
}

// A follower is ready if the leader has recently granted it leases, which requires a majority. Messages from a leader
// alone do not prove readiness, because the follower's own messages may be lost.
auto control_node::ready() const -> bool {
  return raft.is_leader() ? may_grant_leases() : host_.now() - last_granted_request_at_ < settings_.failure_timeout;
}

auto control_node::may_grant_lease_to(const std::string& name) const -> bool {
  if (raft.is_leader())
    return may_grant_leases();
  const auto* session = sessions_.find(name);
  return session && session->max_lease_end > host_.now();
}

auto control_node::handle_call(connection_ptr, value request) -> task<value> {
  const auto name = get_string(request, "op");
  if (name.starts_with(raft_prefix))
    co_return co_await raft.handle_request(name, std::move(request));
  const auto operation = find_control_operation(name);
  if (!operation)
    throw request_error(errc::malformed, std::string(unknown_request_prefix) + name);
  switch (*operation) {
    case control_operation::session: {
      auto reply = co_await on_session_request(decode_session_request(request));
      co_return encode(std::move(reply));
    }
    case control_operation::leave:
      co_return co_await on_leave(request);
    case control_operation::gossip:
      co_return encode(on_gossip(decode_gossip_request(std::move(request))));
    case control_operation::propose:
      co_return co_await propose(get_value(request, "deed"));
    case control_operation::choose_replica:
    case control_operation::in_force:
    case control_operation::read_state:
    case control_operation::recreate_partition:
    case control_operation::drain:
    case control_operation::voters:
      co_return co_await answer_at_leader(*operation, std::move(request));
    case control_operation::status:
      break;
  }
  co_return status();
}

auto control_node::answer_at_leader(control_operation operation, value request) -> task<value> {
  if (!raft.is_leader())
    co_return co_await forward_to_leader(std::move(request));
  if (operation == control_operation::voters)
    co_return raft.status();
  co_await raft.read_barrier(host_.now() + settings_.request_timeout);
  switch (operation) {
    case control_operation::choose_replica:
      co_return on_choose_replica(request);
    case control_operation::in_force:
      co_return encode(on_in_force_query(get_int(request, "number")));
    case control_operation::recreate_partition:
      co_return co_await on_recreate_partition(get_string(request, "cell"));
    case control_operation::drain:
      co_return co_await on_drain_order(drain_order::from_value(request), get_int(request, "after"));
    default:
      co_return encode_committed_state();
  }
}

auto control_node::on_leave(const value& request) -> task<value> {
  const auto name = get_string(request, "name");
  if (sessions_.remove(name))
    changed_.wake();
  if (!raft.is_leader()) {
    try {
      co_await raft.call_leader(request, host_.now() + settings_.request_timeout);
    } catch (const request_error&) {
      // The lease expires without the leader's help.
    }
  }
  leases_.revoke(name);
  co_return object{{"ok", true}};
}

auto control_node::on_recreate_partition(const std::string& id) -> task<value> {
  if (!state.partitions.count(id))
    throw request_error(errc::not_found, "unknown partition " + id);
  if (!all_replicas_lost(state.partitions[id]))
    throw request_error(errc::permission_denied, "not every replica of " + id + " is known to be lost");
  co_return co_await recreate_partition(id, true);
}

auto control_node::encode_committed_state() const -> value {
  return object{{"charter", state.configuration ? value(state.configuration->body()) : value()},
                {"realm", state.take_snapshot()}};
}

auto control_node::forward_to_leader(value request) -> task<value> {
  request.as_object().erase("q");
  try {
    co_return co_await raft.call_leader(std::move(request), host_.now() + settings_.request_timeout);
  } catch (const request_error& error) {
    if (!error.message.starts_with(unknown_request_prefix))
      throw;
  }
  throw request_error(errc::no_leader, "the leader runs an earlier release without this operation",
                      execution_outcome::not_executed, settings_.failure_timeout / millisecond);
}

auto control_node::propose(value command) -> task<value> {
  const auto deadline = host_.now() + settings_.failure_timeout;
  if (raft.is_leader())
    co_return co_await raft.propose(std::move(command), deadline);
  auto request = encode_proposal(std::move(command));
  co_return co_await raft.call_leader(std::move(request), deadline);
}
auto control_node::zones() const -> std::set<std::string> {
  auto zones = std::set<std::string>();
  for (const auto& [name, node] : view_.nodes())
    zones.insert(node.zone);
  return zones;
}

auto control_node::leave(monotonic_time limit) -> task<void> {
  co_await raft.leave(limit);
}

auto control_node::status() const -> value {
  return object{{"kind", node_kind::control}, {"name", settings_.name},       {"zone", settings_.zone},
                {"ledger", raft.status()},    {"sessions", sessions_.size()}, {"beliefs", view_.encode_known_state()}};
}

}  // namespace reachridge
