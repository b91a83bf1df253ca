// The table of the nodes that have a session with one control node, and the deltas that keep copies of the table up to
// date (design 5.2).
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace reachridge {

// Records the removal of a row, so that deltas can report it to holders of older copies.
struct session_tombstone {
  table_version version = 0;  // table version of the removal
  std::string kind;           // kind of the removed node
  std::string zone;
};

// The changes that bring an older copy up to date, limited to the nodes that its holder needs.
struct session_table_delta {
  table_version version = 0;           // table version after the changes
  std::optional<table_version> since;  // version before the changes; absent: replaces the whole table
  std::vector<node_descriptor> rows;
  std::map<std::string, session_tombstone> removed;  // keyed by node name
  bool zone_only = false;                            // gateways of other zones are left out
};
auto encode(const session_table_delta& delta) -> object;
// Throws decode_error if the message is malformed.
auto decode_session_table_delta(const value& encoded) -> session_table_delta;

// The sessions of one control node. Only that control node calls `upsert` and `remove`; all other nodes hold copies,
// which they update with `apply`. Invariant: no row or tombstone has a higher version than the table.
struct session_table {
  static constexpr auto max_tombstones = std::size_t{256};

  table_version version = 0;
  std::map<std::string, node_descriptor> rows;  // keyed by node name
  std::map<std::string, session_tombstone> tombstones;
  table_version delta_floor = 0;  // deltas from older versions are impossible: their tombstones may have been dropped
  bool zone_only = false;         // this copy lacks the gateways of other zones

  // Adds, replaces or removes a row. For the control node that owns the table; `new_version` must exceed all earlier
  // versions.
  auto upsert(node_descriptor node, table_version new_version) -> void;
  auto remove(const std::string& name, table_version new_version) -> void;

  // Returns the changes since version `held` that `filter` covers. The delta contains the whole table if the holder
  // does not accept deltas or if `held` is too old. Returns nullopt if no covered row has changed; with `include_empty`
  // a delta that only raises the version is returned instead.
  [[nodiscard]] auto delta_since(table_version held, const node_filter& filter, bool accepts_deltas,
                                 bool include_empty) const -> std::optional<session_table_delta>;
  // Applies a delta to this copy. Ignores a delta that is older than the copy, or that starts from a newer version.
  // Returns whether a row may have changed.
  auto apply(session_table_delta delta) -> bool;

  // The following functions do the same with encoded deltas. A null value stands for nullopt.
  [[nodiscard]] auto changes_since(table_version held, const node_filter& filter, bool accepts_deltas,
                                   bool include_empty) const -> value;
  auto merge(const value& encoded) -> bool;

 private:
  auto trim_tombstones() -> void;
};

}  // namespace reachridge
