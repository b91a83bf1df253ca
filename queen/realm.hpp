// What the ledger's entries add up to: charters, cells, leavings (design 4.6).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "queen/order_fence.hpp"
#include "waggle/configuration_record.hpp"
#include "wax/tree.hpp"

namespace hive {

// Who holds a cell. A member is "name/disk": a lost disk makes another member.
struct cell_row {
  std::int64_t epoch = 0, root = 0;  // root: the epoch at which it was founded again, if ever
  std::string prim;
  std::vector<std::string> step;  // the in-step set: the primary and its backups; each of them may claim
  std::int64_t idx = 0;           // the ledger entry that said so
  std::string why;

  [[nodiscard]] auto to_tree() const -> tree;
  static auto from_tree(const tree& t) -> cell_row;
  [[nodiscard]] auto backups() const -> std::vector<std::string>;
  [[nodiscard]] auto holds(const std::string& m) const -> bool;
  [[nodiscard]] auto in_step(const std::string& m) const -> bool;
};
auto name_of(const std::string& member) -> std::string;
// What a whole zone that is evacuated is called among the leavings; no node has a ':' in its name.
auto zone_key(const std::string& zone) -> std::string;
auto zone_of_key(const std::string& key) -> std::string;  // empty: it names a node

class realm {
 public:
  auto apply(std::int64_t idx, const tree& deed) -> tree;
  [[nodiscard]] auto capture() const -> tree;
  auto restore(const tree& t) -> void;

  configuration_ptr law;  // the newest accepted; null before the first
  std::int64_t law_idx = 0;
  std::map<std::string, cell_row> cells;
  struct leaving {
    std::string kind;  // drain, evacuate or retire; a zone is only evacuated, and never done by itself
    bool done = false;
    std::int64_t idx = 0;
  };
  std::map<std::string, leaving> leavings;
  order_fence orders;          // on what leaves and stays
  std::int64_t cells_ver = 0;  // the entry that last changed cells or leavings
  [[nodiscard]] auto held_by(const std::string& name) const -> std::vector<std::string>;
  // Why these nodes, name -> zone, cannot hold `copies` copies in two localities; empty: they can. A node
  // without a zone is out of reach and may stand in any. Those that leave do not count.
  [[nodiscard]] auto too_few(const tree& rest, std::int64_t copies) const -> std::string;

 private:
  auto on_charter(std::int64_t idx, const tree& d) -> tree;
  auto on_cell(std::int64_t idx, const tree& d) -> tree;
  auto on_refound(std::int64_t idx, const tree& d) -> tree;
  auto on_leave(std::int64_t idx, const tree& d) -> tree;
};

}  // namespace hive
