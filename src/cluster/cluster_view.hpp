// A node's view of the cluster: the configuration, the partition assignments, the drains and the other nodes. Nodes
// keep their views up to date by pulling deltas from each other (design 5.2).
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/session_table.hpp"
#include "cluster/types.hpp"
#include "configuration/configuration_record.hpp"

namespace reachridge {

// The versions of all parts of a view. A node sends them with a pull, and the answering node derives the delta from
// them. The encoded form is called the version vector.
struct view_versions {
  std::int64_t configuration_number = 0;
  std::int64_t partitions = 0;
  std::map<std::string, table_version> tables;  // keyed by source, see cluster_view::session_tables
  // The nodes that the sender needs. Absent if the sender runs an earlier release, which supports neither deltas nor
  // packed configurations.
  std::optional<node_filter> filter;
};
auto encode(const view_versions& versions) -> value;
auto decode_view_versions(const value& encoded) -> view_versions;

// The assignments that changed since the receiver's version, and the complete set of drains.
struct partitions_delta {
  std::int64_t version = 0;
  std::map<std::string, partition_assignment> assignments;
  std::map<std::string, drain> drains;
};

// The difference between the view of the sender and the versions that the receiver holds.
struct view_delta {
  configuration_ptr configuration;  // null if the receiver has the newest configuration
  bool packed = true;  // true: the configuration is sent deflated; false: sent as text, for earlier releases
  std::optional<partitions_delta> partitions;
  std::map<std::string, session_table_delta> tables;
  std::vector<std::string> removed_tables;  // sources that the sender no longer knows
};
// Encodes only the parts that are present. An empty delta becomes an empty object.
auto encode(const view_delta& delta) -> object;
// Throws decode_error if the message is malformed, and request_error if its configuration does not compile.
auto decode_view_delta(const value& encoded) -> view_delta;

// The view of one node. The owner updates it with `merge` or `apply`; versions never decrease. A control node also
// updates its view from the replicated log and from its own sessions.
class cluster_view {
 public:
  using session_table = reachridge::session_table;

  configuration_ptr configuration;  // the newest version known; null until the first one arrives
  std::map<std::string, partition_assignment> partitions;
  std::map<std::string, drain> drains;                  // keyed by node name, or by zone_key for a zone
  std::int64_t partitions_version = 0;                  // the version of `partitions` and `drains`
  std::map<std::string, session_table> session_tables;  // keyed by source: the control node that holds the sessions
  node_filter filter;                                   // the nodes that this node needs to know

  // Returns the versions of all parts of this view, for the pull request to another node.
  [[nodiscard]] auto versions() const -> view_versions;
  // Returns the delta for a node that holds the versions `held`. If `include_empty` is set, the delta also reports new
  // table versions without any change that the receiver needs. The configuration is left out unless
  // `with_configuration` is set.
  [[nodiscard]] auto delta_since(const view_versions& held, bool include_empty, bool with_configuration) const
      -> view_delta;
  // Applies a delta. Older versions are ignored. Returns whether anything changed.
  auto apply(view_delta delta) -> bool;

  // The following functions do the same with encoded versions and deltas.
  [[nodiscard]] auto version_vector() const -> value {
    return encode(versions());
  }
  [[nodiscard]] auto changes_since(const value& held, bool include_empty = false, bool with_configuration = true) const
      -> object;
  auto merge(const value& encoded) -> bool {
    return apply(decode_view_delta(encoded));
  }
  // Returns whether this view has a newer configuration than the version vector `held` reports.
  [[nodiscard]] auto lacks_configuration(const value& held) const -> bool;

  // Returns the node with this name, or null if it has no session. If several control nodes list a session of the node,
  // a ready one is preferred.
  [[nodiscard]] auto find(const std::string& name) const -> const node_descriptor*;
  // Returns all nodes keyed by name, with the same preference as `find`.
  [[nodiscard]] auto nodes() const -> std::map<std::string, node_descriptor>;
  // Returns whether the zone is evacuated as a whole.
  [[nodiscard]] auto is_evacuated(const std::string& zone) const -> bool {
    return drains.count(zone_key(zone)) > 0;
  }
  // Returns whether partitions must move away from the node: the node is shutting down, is drained, or its zone is
  // evacuated.
  [[nodiscard]] auto is_draining(const node_descriptor& node) const -> bool {
    return node.stopping || drains.count(node.name) > 0 || is_evacuated(node.zone);
  }
  // Returns the addresses of the storage nodes that are neither in `zone` nor in the zone of `address`. These nodes may
  // reach `address` when a node in `zone` cannot. The result is empty if `address` is in `zone` itself.
  [[nodiscard]] auto relays(const std::string& zone, const std::string& address) const -> std::vector<std::string>;
  // Encodes the view for the status page and for statediff, which compares the views of nodes.
  [[nodiscard]] auto encode_known_state() const -> value;

 private:
  auto apply(partitions_delta delta) -> void;
  [[nodiscard]] auto is_newer(const configuration_ptr& other) const -> bool;
};

}  // namespace reachridge
