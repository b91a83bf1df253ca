// The nodes that have a session with one control node, and how copies of that table are kept up to date (design 5.2).
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace reachridge {

// A row that was removed, kept for the holders of older copies.
struct session_tombstone {
  table_version version = 0;  // at which the row was removed
  std::string kind;           // of the node
  std::string zone;
};

// What the holder of an older copy lacks, without what it does not need.
struct session_table_delta {
  table_version version = 0;           // of the table that it leads to
  std::optional<table_version> since;  // the version that it adds to; none: it replaces the whole table
  std::vector<node_descriptor> rows;
  std::map<std::string, session_tombstone> removed;  // by name of the node
  bool zone_only = false;                            // it lacks the gateways of other zones
};
auto encode(const session_table_delta& delta) -> object;
// Throws decode_error for what is no such message.
auto decode_session_table_delta(const value& encoded) -> session_table_delta;

// The sessions of one control node. It alone changes the rows and counts the version up; others hold copies, which
// `apply` brings up to date. Invariant: no version of a row or tombstone is above the table's.
struct session_table {
  static constexpr auto max_tombstones = std::size_t{256};

  table_version version = 0;
  std::map<std::string, node_descriptor> rows;  // by name of the node
  std::map<std::string, session_tombstone> tombstones;
  table_version delta_floor = 0;  // a tombstone that the holder of an older version needs may be lacking
  bool zone_only = false;         // the gateways of other zones are not in this copy

  // Changes by the control node whose table this is. `new_version` is above all earlier ones.
  auto upsert(node_descriptor node, table_version new_version) -> void;
  auto remove(const std::string& name, table_version new_version) -> void;

  // What a holder of version `held` lacks of what it needs. `takes_deltas`: the holder knows deltas; it gets the whole
  // table if it does not, or if its version is too old for one. None if nothing that it needs has changed, unless
  // `always`: then at least the version.
  [[nodiscard]] auto delta_since(table_version held, const node_filter& needed, bool accepts_deltas, bool always) const
      -> std::optional<session_table_delta>;
  // Brings this copy up to date; an older delta changes nothing. Returns whether a row changed.
  auto apply(session_table_delta delta) -> bool;

  // The same in their encoded form; null: none.
  [[nodiscard]] auto changes_since(table_version held, const node_filter& needed, bool accepts_deltas,
                                   bool always) const -> value;
  auto merge(const value& encoded) -> bool;

 private:
  auto trim_tombstones() -> void;
};

}  // namespace reachridge
