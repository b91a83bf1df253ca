// What a node knows of the deployment: the configuration, who holds which partition, drains, the other nodes. Nodes
// pull from each other what they lack (design 5.2).
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

// Which versions a node holds, so that another one can tell what it lacks. Encoded it is the "version vector".
struct view_versions {
  std::int64_t configuration_number = 0;
  std::int64_t partitions = 0;
  std::map<std::string, table_version> tables;  // by source
  // None: the node is of an earlier release, which knows neither deltas nor packed configurations.
  std::optional<node_filter> needed;
};
auto encode(const view_versions& versions) -> value;
auto decode_view_versions(const value& encoded) -> view_versions;

// The assignments that changed, and all drains.
struct partitions_delta {
  std::int64_t version = 0;
  std::map<std::string, partition_assignment> rows;
  std::map<std::string, drain> drains;
};

// What the holder of a view lacks.
struct view_delta {
  configuration_ptr configuration;  // null: nothing new
  bool packed = true;               // the configuration is sent deflated; false: as text, for earlier releases
  std::optional<partitions_delta> partitions;
  std::map<std::string, session_table_delta> tables;
  std::vector<std::string> removed_tables;  // their sources are gone
};
// Only what is there becomes a field; nothing: an empty object.
auto encode(const view_delta& delta) -> object;
// Throws decode_error for what is no such message, request_error for a configuration that does not compile.
auto decode_view_delta(const value& encoded) -> view_delta;

// A view is the property of one node, which brings it up to date with `merge`; versions only go up. On a control node
// it is also filled from the replicated log and from the node's own sessions.
class cluster_view {
 public:
  using session_table = reachridge::session_table;

  configuration_ptr configuration;  // the newest known; null before the first
  std::map<std::string, partition_assignment> partitions;
  std::map<std::string, drain> drains;                  // by the name of the node, or zone_key of the zone
  std::int64_t partitions_version = 0;                  // of partitions and drains
  std::map<std::string, session_table> session_tables;  // by source: the control node whose sessions they are
  node_filter filter;                                   // which nodes this node needs

  [[nodiscard]] auto versions() const -> view_versions;
  // What the holder of `held` lacks. `always`: also versions that bring nothing it needs. `with_configuration`: may
  // bring a configuration.
  [[nodiscard]] auto delta_since(const view_versions& held, bool always, bool with_configuration) const -> view_delta;
  // Brings this view up to date. Returns whether anything was new.
  auto apply(view_delta delta) -> bool;

  // The same in their encoded forms.
  [[nodiscard]] auto version_vector() const -> value {
    return encode(versions());
  }
  [[nodiscard]] auto changes_since(const value& held, bool always = false, bool with_configuration = true) const
      -> object;
  auto merge(const value& encoded) -> bool {
    return apply(decode_view_delta(encoded));
  }
  // Whether the holder of this version vector lacks the newest configuration.
  [[nodiscard]] auto lacks_configuration(const value& held) const -> bool;

  // The node of this name; null: it has no session. Of several sessions one that is ready counts.
  [[nodiscard]] auto find(const std::string& name) const -> const node_descriptor*;
  // All nodes by name, chosen like `find`.
  [[nodiscard]] auto nodes() const -> std::map<std::string, node_descriptor>;
  [[nodiscard]] auto is_evacuated(const std::string& zone) const -> bool {
    return drains.count(zone_key(zone)) > 0;
  }
  // Whether the node is to hold nothing: it is shutting down, or it drains, alone or with its zone.
  [[nodiscard]] auto is_draining(const node_descriptor& node) const -> bool {
    return node.stopping || drains.count(node.name) > 0 || is_evacuated(node.zone);
  }
  // The addresses of storage nodes of a third zone, which may reach `address` where a node of `zone` cannot. None if
  // `address` is in `zone`.
  [[nodiscard]] auto relays(const std::string& zone, const std::string& address) const -> std::vector<std::string>;
  // For the status page and statediff, which compares what nodes know.
  [[nodiscard]] auto encode_known_state() const -> value;

 private:
  auto apply(partitions_delta delta) -> void;
  [[nodiscard]] auto is_newer(const configuration_ptr& other) const -> bool;
};

}  // namespace reachridge
