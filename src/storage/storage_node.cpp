// Startup, shutdown, connections and status of a storage node; see storage_node.hpp.
#include "storage/storage_node.hpp"

#include <algorithm>

#include "rpc/server.hpp"
#include "runtime/log.hpp"
#include "storage/disk_identity.hpp"

namespace reachridge {
namespace {

constexpr auto node_kind = "comb";  // the kind in the node descriptors of storage nodes
constexpr auto write_report_interval = 10 * second;
constexpr auto slow_write = 10 * millisecond;  // mean time of a write above which a disk is reported as slow

auto in_microseconds(const duration_report& report) -> value {
  return object{{"count", report.count}, {"mean_us", report.mean}, {"longest_us", report.longest}};
}

}  // namespace

storage_node::storage_node(host& host, const settings& settings, storage_node_options options)
    : session(host, settings, settings.seeds), host_(host), settings_(settings), tasks_(host) {
  tasks_.on_error = [this](std::exception_ptr error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& caught) {
      reachridge::log(log_level::error, settings_.name, std::string("background task failed: ") + caught.what());
      dump_log("a background task failed");
    }
  };
  session.self.kind = node_kind;
  session.view.filter = {node_kind, settings.zone};
  session.self.disk_id = options.disk_id.empty() ? load_or_create_disk_id(host_) : std::move(options.disk_id);
  session.self.reserve = options.reserve;
  session.self.ready = true;
  session.served_version = [this] {
    return served_version();
  };
  start_listening();
  tasks_.spawn(run_commands());
  tasks_.spawn(maintain_partitions());
  tasks_.spawn(report_slow_writes());
}
storage_node::~storage_node() = default;

auto storage_node::start_listening() -> void {
  auto handlers = rpc_handlers();
  handlers.on_call = [this](connection_ptr from, value request) {
    return handle_call(std::move(from), std::move(request));
  };
  handlers.on_notification = [this](const connection_ptr& from, const value& notification) {
    on_notification(from, notification);
  };
  handlers.on_close = [this](const connection_ptr& connection) {
    on_connection_lost(connection);
  };
  handlers.may_relay = [this](const std::string& address) {
    return may_relay_to(address);
  };
  handlers.sweep_interval = settings_.failure_timeout;
  tasks_.spawn(serve(host_, tasks_, host_.listen(settings_.address), handlers, settings_.name));
  if (settings_.http_address.empty())
    return;
  auto pages = http_handlers();
  pages.handle_request = [this](http_request request) {
    return handle_page(std::move(request));
  };
  tasks_.spawn(serve_http(host_, tasks_, host_.listen(settings_.http_address), pages));
}

// Only frames for other storage nodes are relayed.
auto storage_node::may_relay_to(const std::string& address) const -> bool {
  auto nodes = session.view.nodes();
  return std::any_of(nodes.begin(), nodes.end(), [&](const auto& named_node) {
    const auto& node = named_node.second;
    return node.kind == node_kind && node.address == address;
  });
}

auto storage_node::reload(const settings& settings) -> void {
  settings_ = settings;
  session.self.zone = settings.zone;
}

auto storage_node::peer(const std::string& address) -> peer_connection& {
  auto& connection = peers_[address];
  if (!connection)
    connection = make_peer(address);
  return *connection;
}

auto storage_node::make_peer(const std::string& address) -> std::unique_ptr<peer_connection> {
  auto relays = [this, address] {
    return session.view.relays(settings_.zone, address);
  };
  auto connection = std::make_unique<peer_connection>(
      host_, peer_connection::options{settings_.name, address, settings_.heartbeat_interval, settings_.failure_timeout,
                                      std::move(relays)});
  connection->on_notification = [this](const value& notification) {
    if (parse_replication_operation(get_string_or(notification, "op")) != replication_operation::acknowledge)
      return;
    if (auto* primary = find_partition(partition_of_replication(notification)))
      primary->on_acknowledgement(decode_replica_acknowledgement(notification));
  };
  auto notify_partitions = [this] {
    for (auto& [id, replica] : partitions_)
      replica->on_replica_connection_changed();
  };
  connection->on_state_change = [notify_partitions](bool /*up*/) {
    notify_partitions();
  };
  connection->on_process_gone = notify_partitions;
  return connection;
}

auto storage_node::leave(monotonic_time limit) -> task<void> {
  leaving_ = true;
  leaving_since_ = host_.now();
  session.self.stopping = true;
  session.self.ready = false;
  reachridge::log(log_level::info, settings_.name,
                  "shutting down: handing over partitions; " + std::to_string(assigned_partitions().size()) +
                      " count on its disk, for " + std::to_string(partitions_to_replace().size()) +
                      " of them another node can take its replica");
  auto leads_partition = [this] {
    return std::any_of(partitions_.begin(), partitions_.end(), [](const auto& replica) {
      return replica.second->is_primary();
    });
  };
  while (host_.now() < limit && (leads_partition() || !partitions_to_replace().empty()))
    co_await sleep_for(host_, settings_.heartbeat_interval / 4);
  report_unreplaced();
  reachridge::log(log_level::info, settings_.name,
                  "shut down after " + std::to_string((host_.now() - leaving_since_) / millisecond) + " ms; " +
                      std::to_string(assigned_partitions().size()) + " partitions still count on its disk");
  co_await session.leave(std::min(limit, host_.now() + settings_.heartbeat_interval));
}

// A process that gets SIGTERM cannot know whether its disk comes back. Until other nodes have taken its replicas, it is
// one of the disks that the tolerated losses count on.
auto storage_node::partitions_to_replace() const -> std::vector<std::string> {
  auto out = assigned_partitions();
  std::erase_if(out, [this](const auto& id) {
    return !can_be_replaced(session.view.partitions.at(id));
  });
  return out;
}

// The partitions whose committed assignments, as far as this node knows them, name this node's disk.
auto storage_node::assigned_partitions() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& [id, assignment] : session.view.partitions)
    if (assignment.has_member(session.self.member()))
      out.push_back(id);
  return out;
}

// Whether any other storage node could take this node's replica of the partition. A reserve starts only after this node
// has told that it leaves.
auto storage_node::can_be_replaced(const partition_assignment& assignment) const -> bool {
  auto may_start_reserve =
      settings_.replicas >= min_replicas_with_reserve && host_.now() < leaving_since_ + settings_.failure_timeout;
  if (may_start_reserve)
    return true;
  auto nodes = session.view.nodes();
  return std::any_of(nodes.begin(), nodes.end(), [&](const auto& named_node) {
    const auto& node = named_node.second;
    auto is_storage_node = node.kind == node_kind && !node.disk_id.empty();
    return is_storage_node && !session.view.is_draining(node) && !assignment.has_in_sync_replica_on(node.name);
  });
}

auto storage_node::report_unreplaced() const -> void {
  auto ids = partitions_to_replace();
  if (ids.empty())
    return;
  reachridge::log(log_level::warning, settings_.name,
                  "ends while " + std::to_string(ids.size()) + " partitions still count on its disk, first " +
                      ids.front() + ": no other node has taken its replicas in time");
}

// Logs how long the disk and the replication take while the disk is slow. Both bound the rate at which a client that
// waits for answers can publish.
auto storage_node::report_slow_writes() -> task<void> {
  while (true) {
    co_await sleep_for(host_, write_report_interval);
    auto writes = host_.disk()->write_times.end_period();
    auto releases = release_times_.end_period();
    if (writes.mean >= slow_write)
      reachridge::log(log_level::info, settings_.name,
                      "slow disk: a synced write took " + writes.to_text() +
                          "; an output waited for the disks of all in-sync replicas " + releases.to_text());
  }
}

auto storage_node::held_partition(const std::string& id) const -> const partition* {
  auto it = partitions_.find(id);
  return it == partitions_.end() ? nullptr : it->second.get();
}

auto storage_node::status() const -> value {
  auto partitions = object();
  for (const auto& [id, replica] : partitions_)
    partitions[id] = replica->status();
  const auto* disk = host_.disk();
  return object{{"kind", node_kind},
                {"name", settings_.name},
                {"zone", settings_.zone},
                {"member", session.self.member()},
                {"leased", session.has_lease()},
                {"cells", partitions},
                {"queued", commands_.size()},
                {"beliefs", session.view.encode_known_state()},
                {"worked", commands_run_},
                {"syncs", disk->syncs},
                {"bytes", disk->bytes},
                {"write_times", in_microseconds(disk->write_times.last_report())},
                {"release_times", in_microseconds(release_times_.last_report())},
                {"disk_fails", disk->failed()}};
}

}  // namespace reachridge
