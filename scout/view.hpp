// What a node has pulled of the system's state, one version per source (design 5.2).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "queen/realm.hpp"
#include "waggle/waggle.hpp"

namespace hive {

struct seat {  // a member: a node whose session with a control node stands
  std::string name, kind, zone, addr, web, disk;
  bool ready = false, leaving = false;
  std::int64_t usage = 0;
  [[nodiscard]] auto to_tree() const -> tree;
  static auto from_tree(const tree& t) -> seat;
  [[nodiscard]] auto member() const -> std::string { return name + "/" + disk; }
};

class view {
 public:
  struct table {
    std::int64_t ver = 0;
    std::map<std::string, seat> rows;
  };
  charter_ptr law;
  std::map<std::string, cell_row> cells;
  std::map<std::string, realm::leaving> leavings;
  std::int64_t cells_ver = 0;
  std::map<std::string, table> tables;  // by the queen whose sessions they are

  [[nodiscard]] auto vec() const -> tree;
  // What one who holds `vec` lacks; an empty map if nothing.
  [[nodiscard]] auto lacks(const tree& vec) const -> branch;
  // Takes in such a map; versions only go up. Returns whether anything was new.
  auto merge(const tree& t) -> bool;
  [[nodiscard]] auto find(const std::string& name) const -> const seat*;
  [[nodiscard]] auto evacuated(const std::string& zone) const -> bool { return leavings.count(zone_key(zone)) > 0; }
  // It is to hold nothing: it goes down, or was told to leave, by name or with its zone.
  [[nodiscard]] auto leaves(const seat& s) const -> bool { return s.leaving || leavings.count(s.name) > 0 || evacuated(s.zone); }
  // Combs of a third locality, which may reach `to` where `zone` cannot.
  [[nodiscard]] auto vias(const std::string& zone, const std::string& to) const -> std::vector<std::string>;
  // For guard: what this node believes.
  [[nodiscard]] auto beliefs() const -> tree;
  [[nodiscard]] auto all() const -> std::map<std::string, seat>;
};

}  // namespace hive
