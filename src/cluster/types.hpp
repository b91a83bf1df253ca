// Nodes, partition assignments and drains, as all nodes of a cluster know them (design 5). codec.cpp encodes and
// decodes these types.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "raft/types.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Clusters whose partitions have at least this number of replicas use reserve storage nodes. With two replicas, the
// loss of one storage node is the only tolerated loss; service then waits for a replica on another one.
constexpr auto min_replicas_with_reserve = std::int64_t{3};

// The number of a partition's assignment. Each committed assignment increments it by one.
using epoch_number = std::int64_t;
// The version of a session table. Only the control node that owns the table increments it.
using table_version = std::int64_t;

// A member is a node together with its disk, written "name/disk". A node that returns with a new disk after a disk loss
// is a different member. make_member_id returns the member for a disk of a node, node_of_member the node of a member.
auto make_member_id(const std::string& node, const std::string& disk_id) -> std::string;
auto node_of_member(const std::string& member) -> std::string;

// Returns the key of a zone in a map of drains. Node names contain no ':', so the key differs from every node name.
auto zone_key(const std::string& zone) -> std::string;
// Returns the zone of a key made by zone_key, or an empty string if the key is a node name.
auto zone_of_key(const std::string& key) -> std::string;

// Returns the pool of a partition, whose id has the form "pool/number".
auto pool_of_partition(const std::string& partition_id) -> std::string;

// The committed assignment of a partition to members. Epoch 0 means that the partition is not assigned yet.
struct partition_assignment {
  epoch_number epoch = 0;
  epoch_number recreated_epoch = 0;  // epoch in which the partition was last recreated empty; 0: never
  std::string primary;
  std::vector<std::string> in_sync_replicas;  // the primary and the backups that may take over
  log_index committed_index = 0;              // log index of the entry with this assignment
  std::string reason;                         // informational, for logs

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> partition_assignment;
  // Returns the in-sync replicas except the primary.
  [[nodiscard]] auto backups() const -> std::vector<std::string>;
  // Returns whether the member is the primary or an in-sync replica.
  [[nodiscard]] auto has_member(const std::string& member) const -> bool;
  [[nodiscard]] auto is_in_sync(const std::string& member) const -> bool;
  // Returns whether any in-sync replica is on the node, on any of its disks.
  [[nodiscard]] auto has_in_sync_replica_on(const std::string& node) const -> bool;
};

// Why partitions move away from a node or a zone.
enum class drain_kind {
  drain,     // temporary drain of a node
  evacuate,  // temporary drain of a node or a zone; the only kind for a zone
  retire     // permanent removal of a node
};
[[nodiscard]] auto to_string(drain_kind kind) -> std::string_view;
// Throws decode_error if the text is not the name of a kind.
[[nodiscard]] auto parse_drain_kind(std::string_view text) -> drain_kind;

// The drain of a node or a zone: all partitions must move away.
struct drain {
  drain_kind kind = drain_kind::drain;
  bool completed = false;         // the node holds no partitions any more; never set for a zone
  log_index committed_index = 0;  // log index of the entry that started the drain

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> drain;
};

// Describes a node that has a session with a control node.
struct node_descriptor {
  std::string name;
  std::string kind;  // one of the values in node_kind.hpp
  std::string zone;
  std::string address;
  std::string http_address;
  std::string disk_id;        // empty if the node has no storage
  bool ready = false;         // the node serves requests
  bool stopping = false;      // the node is shutting down
  bool reserve = false;       // a storage node beside a control node: holds replicas only while others are missing
  std::int64_t load = 0;      // the load that the node reported last
  table_version version = 0;  // table version of the last change of this row; not encoded by to_value

  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> node_descriptor;
  [[nodiscard]] auto member() const -> std::string {
    return make_member_id(name, disk_id);
  }
};

// Describes which other nodes a node needs to know. A storage node needs all storage nodes. A gateway also needs the
// gateways to which it may redirect clients: those of its own zone or, with `all_zones`, of all zones. An empty kind
// selects all nodes.
struct node_filter {
  std::string kind;
  std::string zone;
  bool all_zones = false;

  // Returns whether a node of this kind in this zone is needed.
  [[nodiscard]] auto covers(const std::string& node_kind, const std::string& node_zone) const -> bool;
  [[nodiscard]] auto to_value() const -> value;
  static auto from_value(const value& encoded) -> node_filter;
};

}  // namespace reachridge
