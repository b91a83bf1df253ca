// Calls, notifications, closed connections and HTTP requests that arrive at a storage node; see storage_node.hpp.
#include "runtime/log.hpp"
#include "storage/storage_node.hpp"

namespace reachridge {
namespace {

constexpr auto max_queued_commands = std::size_t{2000};  // the limit of waiting commands at one priority level

}  // namespace

auto storage_node::handle_call(connection_ptr from, value request) -> task<value> {
  const auto operation = get_string(request, "op");
  if (auto client_request = parse_client_call(operation))
    co_return co_await wait_for_reply(enqueue_call(*client_request, std::move(from), std::move(request)));
  if (auto replication_request = parse_replication_operation(operation))
    co_return co_await handle_replication_call(*replication_request, std::move(request));
  if (operation == "status")
    co_return status();
  throw request_error(errc::malformed, "unknown operation " + operation);
}

// Handles a primary's request to join a replica on this node, or a chunk of a state copy. Opens the replica if this
// node does not have the replica yet.
auto storage_node::handle_replication_call(replication_operation operation, value request) -> task<value> {
  if (operation == replication_operation::join) {
    check_may_join();
    auto join = decode_replica_join_request(request);
    auto& replica = open_partition(join.partition);
    auto reply = co_await replica.on_join(std::move(join));
    co_return encode(reply);
  }
  if (operation == replication_operation::copy_state) {
    check_disk();
    auto chunk = decode_state_chunk(request);
    auto& replica = open_partition(chunk.partition);
    co_await replica.on_state_chunk(std::move(chunk));
    co_return encode_state_chunk_reply();
  }
  throw request_error(errc::malformed, "unknown operation " + std::string(to_string(operation)));
}

auto storage_node::enqueue_call(client_operation operation, connection_ptr gateway, value request)
    -> pending_reply_ptr {
  auto partition_id = partition_of_request(request);
  const auto level = priority_of(partition_id);
  if (commands_.size_at(level) >= max_queued_commands)
    throw request_error(errc::busy, "the request queue of this priority is full", execution_outcome::not_executed,
                        settings_.lag_limit / millisecond);
  auto reply = std::make_shared<pending_reply>();
  commands_.push(level,
                 client_command{operation, std::move(partition_id), std::move(request), std::move(gateway), reply});
  return reply;
}

auto storage_node::wait_for_reply(pending_reply_ptr reply) -> task<value> {
  const auto deadline = host_.now() + settings_.failure_timeout * 2;
  while (!reply->result && !reply->error) {
    auto in_time = co_await reply->done.wait(host_, deadline);
    if (!in_time)
      throw request_error(errc::unclear, "the required log entries were not replicated before the timeout",
                          execution_outcome::unknown, settings_.failure_timeout / millisecond / 2);
  }
  if (reply->error)
    throw *reply->error;
  co_return encode(*reply->result);
}

// Throws request_error if the disk refuses writes. The node then accepts nothing from a primary, because the node could
// not acknowledge what it receives (design 6.8).
auto storage_node::check_disk() const -> void {
  if (host_.disk()->failed())
    throw request_error(errc::disk_failed, "the disk refuses writes", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
}

// Throws request_error if the disk refuses writes or this node's view of the cluster may be out of date.
auto storage_node::check_may_join() const -> void {
  check_disk();
  if (!session.is_synchronized())
    throw request_error(errc::unreachable, "the cluster view is not synchronized with the control nodes",
                        execution_outcome::not_executed, settings_.heartbeat_interval / millisecond);
}

auto storage_node::on_notification(const connection_ptr& from, const value& notification) -> void {
  try {
    dispatch_notification(from, notification);
  } catch (const decode_error& error) {
    reachridge::log(log_level::warning, settings_.name,
                    "malformed notification from " + from->peer_name + ": " + error.what());
    from->close();
  }
}

auto storage_node::dispatch_notification(const connection_ptr& from, const value& notification) -> void {
  const auto operation = get_string_or(notification, "op");
  if (auto client_request = parse_client_notification(operation)) {
    auto partition_id = partition_of_request(notification);
    const auto level = priority_of(partition_id);
    commands_.push(level, client_command{*client_request, std::move(partition_id), notification, from, nullptr});
    return;
  }
  const auto replication_request = parse_replication_operation(operation);
  if (replication_request == replication_operation::append_entries) {
    if (auto* backup = find_partition(partition_of_replication(notification)))
      backup->on_append(from, decode_append_message(notification));
  } else if (replication_request == replication_operation::announce_replay) {
    if (auto* backup = find_partition(partition_of_replication(notification)))
      backup->on_replay_announcement(decode_replay_announcement(notification).epoch);
  }
}

auto storage_node::on_connection_lost(const connection_ptr& connection) -> void {
  commands_.push(priority_command_queue::most_urgent, connection_lost{connection});
}

// Returns the priority level of a partition, which follows from the urgency of its pool (design 6.7). A partition of an
// unknown pool has the lowest priority.
auto storage_node::priority_of(const std::string& partition_id) const -> std::size_t {
  if (!session.view.configuration)
    return priority_command_queue::least_urgent;
  const auto& pools = session.view.configuration->pools;
  auto it = pools.find(partition_id.substr(0, partition_id.find('/')));
  if (it == pools.end())
    return priority_command_queue::least_urgent;
  return priority_command_queue::least_urgent - static_cast<std::size_t>(it->second.urgency);
}

auto storage_node::run_commands() -> task<void> {
  while (true) {
    if (run_next_command())
      co_await sleep_until(host_, 0);  // lets other tasks run between two commands
    else
      co_await commands_.queued.wait(host_);
  }
}

auto storage_node::run_next_command() -> bool {
  auto next = commands_.pop();
  if (!next)
    return false;
  ++commands_run_;
  std::visit(
      [this](const auto& typed) {
        run_command(typed);
      },
      *next);
  return true;
}

auto storage_node::run_command(const connection_lost& command) -> void {
  auto lost_primary = false;
  for (auto& [id, replica] : partitions_) {
    replica->on_gateway_disconnected(command.connection);
    lost_primary |= replica->drop_primary_connection(command.connection);
  }
  if (lost_primary)
    tasks_.spawn(probe_process(command.connection->peer_name));
}

auto storage_node::run_command(const client_command& command) -> void {
  try {
    if (auto* target = find_partition(command.partition))
      run_on_partition(*target, command);
    else
      reject_not_held(command);
  } catch (const decode_error& error) {
    if (command.reply)
      command.reply->fail({errc::malformed, error.what()});
    reachridge::log(log_level::warning, settings_.name, std::string("malformed client request: ") + error.what());
  }
}

auto storage_node::run_on_partition(partition& target, const client_command& command) -> void {
  switch (command.operation) {
    case client_operation::publish:
      return target.publish(decode_publish_request(command.request), command.reply);
    case client_operation::subscribe:
      return target.subscribe(decode_subscribe_request(command.request), command.gateway);
    case client_operation::close_subscription:
      return target.close_subscription(decode_close_subscription_request(command.request));
    case client_operation::read:
      return target.read(decode_read_request(command.request), command.reply);
    case client_operation::count:
      return target.count(decode_count_request(command.request), command.reply);
  }
}

auto storage_node::reject_not_held(const client_command& command) -> void {
  if (command.reply) {
    command.reply->fail({errc::not_primary, command.partition + " has no replica on this node",
                         execution_outcome::not_executed, settings_.heartbeat_interval / millisecond});
  } else if (command.operation == client_operation::subscribe) {
    auto request = decode_subscribe_request(command.request);
    command.gateway->send(
        encode(subscribe_reply{request.subscription_id, request.opening, subscribe_result::not_led_here, 0}));
  }
}

auto storage_node::handle_page(http_request request) -> task<http_response> {
  if (auto page = common_page(request.path, [this] {
        return status();
      }))
    co_return *page;
  if (request.path != "/readyz")
    throw request_error(errc::not_found, "no page " + request.path);
  const auto is_leased = session.is_synchronized() && session.has_lease();
  if (!leaving_ && is_leased && !host_.disk()->failed())
    co_return http_response{200, {}, "ready\n"};
  throw request_error(errc::not_ready,
                      leaving_ ? "leaving" : "the node is not synchronized, has no lease or its disk has failed",
                      execution_outcome::not_executed, settings_.failure_timeout / millisecond);
}

}  // namespace reachridge
