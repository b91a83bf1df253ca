#include "scout/view.hpp"

#include "wax/verdict.hpp"

namespace hive {

auto seat::to_tree() const -> tree {
  return branch{{"name", name}, {"kind", kind}, {"zone", zone}, {"addr", addr}, {"web", web},
                {"disk", disk}, {"ready", ready}, {"leaving", leaving}, {"usage", usage}};
}
auto seat::from_tree(const tree& t) -> seat {
  return {str(t, "name"), str(t, "kind"), str(t, "zone"), str_or(t, "addr"), str_or(t, "web"),
          str_or(t, "disk"), yes(t, "ready"), yes(t, "leaving"), num_or(t, "usage", 0)};
}

auto view::vec() const -> tree {
  auto t = branch();
  for (const auto& [q, tab] : tables) t[q] = tab.ver;
  return branch{{"charter", law ? law->number : 0}, {"cells", cells_ver}, {"tables", t}};
}

auto view::lacks(const tree& vec) const -> branch {
  auto out = branch();
  if (law && law->number > num_or(vec, "charter", 0)) out["charter"] = law->body;
  if (auto had = num_or(vec, "cells", 0); cells_ver > had) {
    auto rows = branch();
    for (const auto& [id, r] : cells)
      if (r.idx > had) rows[id] = r.to_tree();
    auto gone = branch();
    for (const auto& [n, l] : leavings) gone[n] = branch{{"kind", l.kind}, {"done", l.done}, {"idx", l.idx}};
    out["cells"] = branch{{"ver", cells_ver}, {"rows", rows}, {"leavings", gone}};
  }
  const auto& held = sub(vec, "tables");
  auto tabs = branch();
  for (const auto& [q, t] : tables) {
    if (t.ver <= num_or(held, q, 0)) continue;
    auto rows = twigs();
    for (const auto& [n, s] : t.rows) rows.push_back(s.to_tree());
    tabs[q] = branch{{"ver", t.ver}, {"rows", rows}};
  }
  if (held.is_object())
    for (const auto& kv : held.get_object())
      if (!tables.count(std::string(kv.key()))) tabs[kv.key()] = nullptr;  // that queen is gone
  if (!tabs.empty()) out["tables"] = tabs;
  return out;
}

auto view::merge(const tree& t) -> bool {
  auto fresh = false;
  if (const auto& c = sub(t, "charter"); c.is_string()) {
    auto next = compile(std::string(c.get_string()));
    if (!law || next->number > law->number) {
      law = next;
      fresh = true;
    }
  }
  if (const auto& c = sub(t, "cells"); c.is_object() && num(c, "ver") > cells_ver) {
    for (const auto& kv : sub(c, "rows").as_object()) {
      auto r = cell_row::from_tree(kv.value());
      auto& now = cells[std::string(kv.key())];
      if (r.epoch > now.epoch) now = r;
    }
    leavings.clear();
    for (const auto& kv : sub(c, "leavings").as_object())
      leavings[std::string(kv.key())] = {str(kv.value(), "kind"), yes(kv.value(), "done"), num(kv.value(), "idx")};
    cells_ver = num(c, "ver");
    fresh = true;
  }
  if (const auto& tabs = sub(t, "tables"); tabs.is_object()) {
    for (const auto& kv : tabs.get_object()) {
      auto q = std::string(kv.key());
      if (kv.value().is_null()) {
        fresh |= tables.erase(q) > 0;
        continue;
      }
      auto& tab = tables[q];
      if (num(kv.value(), "ver") <= tab.ver) continue;
      tab.ver = num(kv.value(), "ver");
      tab.rows.clear();
      for (const auto& r : list(kv.value(), "rows")) {
        auto s = seat::from_tree(r);
        tab.rows[s.name] = s;
      }
      fresh = true;
    }
  }
  return fresh;
}

auto view::find(const std::string& name) const -> const seat* {
  const auto* out = static_cast<const seat*>(nullptr);
  for (const auto& [q, t] : tables)
    if (auto it = t.rows.find(name); it != t.rows.end() && (!out || it->second.ready)) out = &it->second;
  return out;
}
auto view::vias(const std::string& zone, const std::string& to) const -> std::vector<std::string> {
  auto seats = all();
  auto there = std::string();
  for (const auto& [n, s] : seats)
    if (s.kind == "comb" && s.addr == to) there = s.zone;
  auto out = std::vector<std::string>();
  if (there == zone) return out;
  for (const auto& [n, s] : seats)
    if (s.kind == "comb" && s.zone != zone && s.zone != there) out.push_back(s.addr);
  return out;
}

auto view::beliefs() const -> tree {
  auto cs = branch();
  for (const auto& [id, c] : cells) cs[id] = c.to_tree();
  auto ms = branch();
  for (const auto& [n, s] : all()) ms[n] = branch{{"kind", s.kind}, {"zone", s.zone}, {"leaving", s.leaving}};
  auto ls = branch();
  for (const auto& [n, l] : leavings) ls[n] = branch{{"kind", l.kind}, {"done", l.done}};
  return branch{{"charter", law ? law->number : 0}, {"cells", cs}, {"members", ms}, {"leavings", ls}};
}
auto view::all() const -> std::map<std::string, seat> {
  auto out = std::map<std::string, seat>();
  for (const auto& [q, t] : tables)
    for (const auto& [n, s] : t.rows)
      if (auto& o = out[n]; o.name.empty() || s.ready) o = s;
  return out;
}

}  // namespace hive
