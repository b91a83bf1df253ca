// What a node has pulled of the system's state, one version per source (design 5.2).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "queen/realm.hpp"
#include "waggle/configuration_record.hpp"

namespace hive {

struct seat {  // a member: a node whose session with a control node stands
  std::string name, kind, zone, addr, web, disk;
  bool ready = false, leaving = false;
  std::int64_t usage = 0;
  std::int64_t ver = 0;  // the version of its table at which it last changed
  [[nodiscard]] auto to_tree() const -> tree;
  static auto from_tree(const tree& t) -> seat;
  [[nodiscard]] auto member() const -> std::string { return name + "/" + disk; }
};

// Which rows a node needs. A comb needs the combs; a forager also the foragers that it may send its links to:
// those of its own zone, or of all zones if it is `wide`. One that names no kind needs all.
struct interest {
  std::string kind, zone;
  bool wide = false;
  [[nodiscard]] auto covers(const std::string& row_kind, const std::string& row_zone) const -> bool;
  [[nodiscard]] auto to_tree() const -> tree;
  static auto from_tree(const tree& t) -> interest;
};

class view {
 public:
  // One queen's sessions, with the version at which each row changed or went.
  struct table {
    std::int64_t ver = 0;
    std::map<std::string, seat> rows;
    struct grave {  // a row that went, kept for those who still hold it
      std::int64_t ver = 0;
      std::string kind, zone;
    };
    std::map<std::string, grave> gone;
    std::int64_t floor = 0;  // who holds less may lack a grave: it gets the whole
    bool narrow = false;     // rows of the other zones' foragers are not here

    auto put(seat s, std::int64_t version) -> void;
    auto cut(const std::string& name, std::int64_t version) -> void;
    // What one who holds version `held` and takes steps lacks of what it needs; the whole if steps do not reach
    // that far back. Null if nothing it needs has changed, unless `settle`: then at least the version.
    [[nodiscard]] auto lacks(std::int64_t held, const interest& need, bool steps, bool settle) const -> tree;
    // Takes in such a tree; versions only go up. Returns whether any row changed.
    auto merge(const tree& t) -> bool;

   private:
    auto trim() -> void;
  };
  configuration_ptr law;
  std::map<std::string, cell_row> cells;
  std::map<std::string, realm::leaving> leavings;
  std::int64_t cells_ver = 0;
  std::map<std::string, table> tables;  // by the queen whose sessions they are
  interest need;

  [[nodiscard]] auto vec() const -> tree;
  // What one who holds `vec` lacks; an empty map if nothing. `settle`: also versions that bring nothing needed.
  // `with_law`: the configuration too.
  [[nodiscard]] auto lacks(const tree& vec, bool settle = false, bool with_law = true) const -> branch;
  // Whether it lacks the newest configuration.
  [[nodiscard]] auto lacks_law(const tree& vec) const -> bool { return law && law->number > num_or(vec, "charter", 0); }
  // Takes in such a map; versions only go up. Returns whether anything was new.
  auto merge(const tree& t) -> bool;
  [[nodiscard]] auto find(const std::string& name) const -> const seat*;
  [[nodiscard]] auto evacuated(const std::string& zone) const -> bool { return leavings.count(zone_key(zone)) > 0; }
  // It is to hold nothing: it goes down, or was told to leave, by name or with its zone.
  [[nodiscard]] auto leaves(const seat& s) const -> bool {
    return s.leaving || leavings.count(s.name) > 0 || evacuated(s.zone);
  }
  // Combs of a third locality, which may reach `to` where `zone` cannot.
  [[nodiscard]] auto vias(const std::string& zone, const std::string& to) const -> std::vector<std::string>;
  // For guard: what this node believes.
  [[nodiscard]] auto beliefs() const -> tree;
  [[nodiscard]] auto all() const -> std::map<std::string, seat>;
};

}  // namespace hive
