// The replicas on a storage node, and detection of terminated primary processes; see storage_node.hpp.
#include <algorithm>

#include "runtime/log.hpp"
#include "storage/storage_node.hpp"

namespace reachridge {

// Opens the partitions that the control nodes assign to this node, and removes obsolete replicas. The replicas on disk
// are opened immediately, even while the control nodes have no leader.
auto storage_node::maintain_partitions() -> task<void> {
  co_await open_stored_partitions();
  while (true) {
    co_await session.changed.wait(host_, host_.now() + settings_.heartbeat_interval);
    // While the disk fails, a replica that cannot be read must not be treated as damaged.
    if (!session.is_synchronized() || host_.disk()->failed())
      continue;
    apply_assignments();
    remove_obsolete_partitions();
    session.self.load = total_load();
  }
}

// Loading takes time, and clients wait for the partitions of the in-sync sets. Therefore spares are loaded last.
auto storage_node::open_stored_partitions() -> task<void> {
  auto stored = stored_partition_ids();
  auto ids = std::vector<std::string>(stored.begin(), stored.end());
  std::stable_partition(ids.begin(), ids.end(), [this](const auto& id) {
    return !is_stored_spare(id);
  });
  for (const auto& id : ids) {
    open_partition(id);
    co_await sleep_until(host_, 0);
  }
}

// Whether this node's replica was its partition's spare when it last heard of it.
auto storage_node::is_stored_spare(const std::string& id) const -> bool {
  try {
    auto record = replica_record(*host_.disk(), id);
    record.load();
    return record.spare() == session.self.member();
  } catch (const decode_error&) {
    return false;  // opening the partition reports the damage
  }
}

// Finds the ids in the keys of snapshots ("C/ID/s") and log entries ("C/ID/e/INDEX").
auto storage_node::stored_partition_ids() const -> std::set<std::string> {
  constexpr auto prefix = std::string_view("C/");
  auto ids = std::set<std::string>();
  host_.disk()->scan(std::string(prefix), [&](const std::string& key, const std::string& /*record*/) {
    const auto end = key.rfind(key.ends_with("/s") ? "/s" : "/e/");
    if (end != std::string::npos && end > prefix.size())
      ids.insert(key.substr(prefix.size(), end - prefix.size()));
  });
  return ids;
}

auto storage_node::apply_assignments() -> void {
  const auto member = session.self.member();
  const auto& assignments = session.view.partitions;
  for (const auto& [id, assignment] : assignments)
    if (assignment.has_member(member))
      open_partition(id);
  for (auto& [id, replica] : partitions_)
    if (auto it = assignments.find(id); it != assignments.end())
      replica->apply_assignment(it->second);
}

// Erases the replicas of partitions that are assigned to other nodes only.
auto storage_node::remove_obsolete_partitions() -> void {
  for (auto it = partitions_.begin(); it != partitions_.end();) {
    if (!it->second->is_obsolete()) {
      ++it;
      continue;
    }
    reachridge::log(log_level::info, settings_.name, it->first + ": obsolete replica removed");
    it->second->wipe();
    it = partitions_.erase(it);
  }
}

auto storage_node::open_partition(const std::string& id) -> partition& {
  auto& replica = partitions_[id];
  if (!replica) {
    auto peer_at = [this](const std::string& address) -> peer_connection& {
      return peer(address);
    };
    auto leaving = [this] {
      return leaving_;
    };
    replica =
        std::make_unique<partition>(partition_context{host_, settings_, session, peer_at, leaving, release_times_}, id);
  }
  return *replica;
}

auto storage_node::find_partition(const std::string& id) -> partition* {
  auto it = partitions_.find(id);
  return it == partitions_.end() ? nullptr : it->second.get();
}

auto storage_node::total_load() const -> std::int64_t {
  auto units = std::int64_t{0};
  for (const auto& [id, replica] : partitions_)
    units += replica->load_units();
  return units;
}

// Returns the oldest configuration version that is in effect in a partition whose primary is on this node.
auto storage_node::served_version() const -> std::int64_t {
  auto oldest = session.view.configuration ? session.view.configuration->number : 0;
  for (const auto& [id, replica] : partitions_)
    if (replica->is_primary())
      oldest = std::min(oldest, replica->configuration_number());
  return oldest;
}

// Checks whether the process whose connection was closed has terminated. A refused connection proves at once that the
// process has terminated. After a power failure or a network partition no attempt is refused, and the silence timeout
// detects the failure (design 6.5).
auto storage_node::probe_process(std::string name) -> task<void> {
  const auto* node = session.view.find(name);
  if (!node || node->address.empty())
    co_return;
  const auto address = node->address;
  const auto deadline = host_.now() + settings_.heartbeat_interval * 2;
  while (host_.now() < deadline) {
    auto refused = false;
    auto stream = co_await host_.connect(address, deadline, &refused);
    if (refused) {
      notify_process_gone(name);
      co_return;
    }
    if (!stream)
      co_return;
    // A terminating process may still accept the connection, but closes the connection soon. In this case the loop
    // tries again.
    auto got_data = co_await stream->read_more(host_.now() + settings_.heartbeat_interval / 4);
    stream->close();
    if (got_data || !stream->closed)
      co_return;
    co_await sleep_for(host_, settings_.heartbeat_interval / 16);
  }
}

auto storage_node::notify_process_gone(const std::string& name) -> void {
  for (auto& [id, replica] : partitions_)
    replica->on_primary_process_gone(name);
}

}  // namespace reachridge
