// What the members of a deployment know of each other: nodes, which of them hold a partition, and drains (design 5).
// codec.cpp has their encoded form.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "raft/types.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Counts the assignments of a partition; each one that is committed raises it by one.
using epoch_number = std::int64_t;
// Orders the changes of one table, whose source alone counts it up.
using table_version = std::int64_t;

// Members. A member is "name/disk": a node whose disk was lost comes back as another member.
auto make_member_id(const std::string& node, const std::string& disk_id) -> std::string;
auto node_of_member(const std::string& member) -> std::string;

// The key of a whole zone among the drains. No node's name contains a ':', so it can't be taken for a node's.
auto zone_key(const std::string& zone) -> std::string;
// The zone of such a key; empty: the key is the name of a node.
auto zone_of_key(const std::string& key) -> std::string;

// Which pool a partition "pool/number" belongs to.
auto pool_of_partition(const std::string& partition_id) -> std::string;

// Which members hold a partition, as the control nodes have committed it. Epoch 0: not assigned yet.
struct partition_assignment {
  epoch_number epoch = 0;
  epoch_number recreated_epoch = 0;  // at which the partition was last recreated empty; 0: never
  std::string primary;
  std::vector<std::string> in_sync_replicas;  // the primary and its backups; each of them may take over
  log_index committed_index = 0;              // of the entry that committed it
  std::string reason;                         // for people who read logs

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> partition_assignment;
  // The replicas in sync without the primary.
  [[nodiscard]] auto backups() const -> std::vector<std::string>;
  [[nodiscard]] auto has_member(const std::string& member) const -> bool;
  [[nodiscard]] auto is_in_sync(const std::string& member) const -> bool;
  // Whether a replica in sync, on whatever disk, is on this node.
  [[nodiscard]] auto has_in_sync_replica_on(const std::string& node) const -> bool;
};

// What is to become of a node, or a zone, that partitions move away from.
enum class drain_kind {
  drain,     // a node, for a while
  evacuate,  // a node or a zone, for a while; the only kind for a zone
  retire     // a node, for good
};
[[nodiscard]] auto to_string(drain_kind kind) -> std::string_view;
// Throws decode_error for a text that names no kind.
[[nodiscard]] auto parse_drain_kind(std::string_view text) -> drain_kind;

// A node or a zone that is to hold no partitions.
struct drain {
  drain_kind kind = drain_kind::drain;
  bool completed = false;         // the node holds nothing any more; never set for a zone
  log_index committed_index = 0;  // of the entry that began it

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> drain;
};

// A node that has a session with a control node.
struct node_descriptor {
  std::string name;
  std::string kind;  // of the node: control, storage node, gateway, agent
  std::string zone;
  std::string address;
  std::string http_address;
  std::string disk_id;        // empty: it stores nothing
  bool ready = false;         // it serves
  bool stopping = false;      // it is shutting down
  std::int64_t load = 0;      // as it reported it last
  table_version version = 0;  // of its table when this row last changed; not part of the encoded descriptor

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> node_descriptor;
  [[nodiscard]] auto member() const -> std::string {
    return make_member_id(name, disk_id);
  }
};

// Which nodes a node has to know. A storage node needs the storage nodes; a gateway also the gateways that it may
// redirect its clients to: those of its own zone, or of all zones. Without a kind all nodes are needed.
struct node_filter {
  std::string kind;
  std::string zone;
  bool all_zones = false;

  [[nodiscard]] auto covers(const std::string& node_kind, const std::string& node_zone) const -> bool;
  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> node_filter;
};

}  // namespace reachridge
