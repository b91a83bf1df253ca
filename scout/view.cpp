#include "scout/view.hpp"

#include <algorithm>

#include "wax/verdict.hpp"

namespace hive {
namespace {

constexpr auto graves_most = std::size_t{256};  // rows that went and are still told of, by table

}  // namespace

auto seat::to_tree() const -> tree {
  return branch{{"name", name}, {"kind", kind},   {"zone", zone},       {"addr", addr},  {"web", web},
                {"disk", disk}, {"ready", ready}, {"leaving", leaving}, {"usage", usage}};
}
auto seat::from_tree(const tree& t) -> seat {
  return {str(t, "name"),    str(t, "kind"),  str(t, "zone"),    str_or(t, "addr"),    str_or(t, "web"),
          str_or(t, "disk"), yes(t, "ready"), yes(t, "leaving"), num_or(t, "usage", 0)};
}

auto interest::covers(const std::string& row_kind, const std::string& row_zone) const -> bool {
  if (kind.empty() || row_kind == "comb") return true;
  return kind == "forager" && row_kind == "forager" && (wide || row_zone == zone);
}
auto interest::to_tree() const -> tree { return branch{{"kind", kind}, {"zone", zone}, {"wide", wide}}; }
auto interest::from_tree(const tree& t) -> interest {
  if (!t.is_object()) return {};
  return {str(t, "kind"), str_or(t, "zone"), yes(t, "wide")};
}

auto view::table::put(seat s, std::int64_t version) -> void {
  ver = s.ver = version;
  gone.erase(s.name);
  // Who needed the old row may not need the new one: to them it has gone.
  if (auto it = rows.find(s.name); it != rows.end() && (it->second.kind != s.kind || it->second.zone != s.zone))
    gone[s.name] = {version, it->second.kind, it->second.zone};
  auto name = s.name;
  rows[name] = std::move(s);
  trim();
}
auto view::table::cut(const std::string& name, std::int64_t version) -> void {
  auto it = rows.find(name);
  if (it == rows.end()) return;
  ver = version;
  gone[name] = {version, it->second.kind, it->second.zone};
  rows.erase(it);
  trim();
}
auto view::table::trim() -> void {
  while (gone.size() > graves_most) {
    auto old = std::min_element(gone.begin(), gone.end(), [](auto& a, auto& b) { return a.second.ver < b.second.ver; });
    floor = std::max(floor, old->second.ver);
    gone.erase(old);
  }
}

auto view::table::lacks(std::int64_t held, const interest& need, bool steps, bool settle) const -> tree {
  if (ver <= held || (narrow && (need.kind.empty() || need.wide))) return nullptr;
  auto step = steps && held > 0 && held >= floor;
  auto out = branch{{"ver", ver}};
  auto list = twigs();
  for (const auto& [n, s] : rows) {
    if ((step && s.ver <= held) || !need.covers(s.kind, s.zone)) continue;
    auto t = s.to_tree();
    t.as_object()["v"] = s.ver;
    list.push_back(std::move(t));
  }
  auto went = branch();
  if (step)
    for (const auto& [n, g] : gone)
      if (g.ver > held && need.covers(g.kind, g.zone))
        went[n] = branch{{"v", g.ver}, {"kind", g.kind}, {"zone", g.zone}};
  if (step && list.empty() && went.empty() && !settle) return nullptr;
  out["rows"] = std::move(list);
  if (step) out["since"] = held;
  if (!went.empty()) out["gone"] = std::move(went);
  if (narrow || (need.kind == "forager" && !need.wide)) out["narrow"] = true;
  return out;
}

auto view::table::merge(const tree& t) -> bool {
  auto next = num(t, "ver");
  auto widens = narrow && !yes(t, "narrow");
  if (next < ver || (next == ver && !widens)) return false;
  auto since = num_or(t, "since", -1);
  if (since > ver) return false;  // a step from a version that is not held here
  auto fresh = since < 0;
  if (since < 0) {
    rows.clear();
    gone.clear();
    floor = next;
    narrow = yes(t, "narrow");
  }
  if (const auto& g = sub(t, "gone"); g.is_object())
    for (const auto& kv : g.get_object()) {
      auto v = num(kv.value(), "v");
      auto it = rows.find(std::string(kv.key()));
      if (it != rows.end() && it->second.ver < v) rows.erase(it);
      gone[std::string(kv.key())] = {v, str_or(kv.value(), "kind"), str_or(kv.value(), "zone")};
      fresh = true;
    }
  for (const auto& r : list(t, "rows")) {
    auto s = seat::from_tree(r);
    s.ver = num_or(r, "v", next);
    if (auto it = gone.find(s.name); it != gone.end() && it->second.ver < s.ver) gone.erase(it);
    auto name = s.name;
    rows[name] = std::move(s);
    fresh = true;
  }
  ver = next;
  trim();
  return fresh;
}

auto view::vec() const -> tree {
  auto t = branch();
  for (const auto& [q, tab] : tables)
    t[q] = tab.narrow && need.wide ? 0 : tab.ver;
  return branch{{"charter", law ? law->number : 0}, {"cells", cells_ver}, {"tables", t}, {"need", need.to_tree()}};
}

auto view::lacks(const tree& vec, bool settle, bool with_law) const -> branch {
  auto out = branch();
  const auto& said =
      sub(vec, "need");  // who says none is of an earlier landing, and knows no steps and no packed charters
  if (with_law && lacks_law(vec)) {
    if (said.is_object()) {
      out["packed"] = law->rules();
      out["head"] = law->head();
    } else {
      out["charter"] = law->body();
    }
  }
  if (auto had = num_or(vec, "cells", 0); cells_ver > had) {
    auto rows = branch();
    for (const auto& [id, r] : cells)
      if (r.idx > had) rows[id] = r.to_tree();
    auto gone = branch();
    for (const auto& [n, l] : leavings)
      gone[n] = branch{{"kind", l.kind}, {"done", l.done}, {"idx", l.idx}};
    out["cells"] = branch{{"ver", cells_ver}, {"rows", rows}, {"leavings", gone}};
  }
  const auto& held = sub(vec, "tables");
  auto needs = interest::from_tree(said);
  auto tabs = branch();
  for (const auto& [q, t] : tables)
    if (auto some = t.lacks(num_or(held, q, 0), needs, said.is_object(), settle); !some.is_null())
      tabs[q] = std::move(some);
  if (held.is_object())
    for (const auto& kv : held.get_object())
      if (!tables.count(std::string(kv.key()))) tabs[kv.key()] = nullptr;  // that queen is gone
  if (!tabs.empty()) out["tables"] = tabs;
  return out;
}

auto view::merge(const tree& t) -> bool {
  auto fresh = false;
  const auto& whole = sub(t, "charter");
  const auto& packed = sub(t, "packed");
  if (whole.is_string() || packed.is_string()) {
    auto next = packed.is_string() ? configuration_record::from_pull(sub(t, "head"), std::string(packed.get_string()))
                                   : configuration_record::from_charter(compile(std::string(whole.get_string())));
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
      if (kv.value().is_null())
        fresh |= tables.erase(q) > 0;
      else
        fresh |= tables[q].merge(kv.value());
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
  for (const auto& [id, c] : cells)
    cs[id] = c.to_tree();
  auto ms = branch();
  for (const auto& [n, s] : all())
    ms[n] = branch{{"kind", s.kind}, {"zone", s.zone}, {"leaving", s.leaving}};
  auto ls = branch();
  for (const auto& [n, l] : leavings)
    ls[n] = branch{{"kind", l.kind}, {"done", l.done}};
  return branch{
      {"charter", law ? law->number : 0}, {"cells", cs}, {"members", ms}, {"leavings", ls}, {"need", need.to_tree()}};
}
auto view::all() const -> std::map<std::string, seat> {
  auto out = std::map<std::string, seat>();
  for (const auto& [q, t] : tables)
    for (const auto& [n, s] : t.rows)
      if (auto& o = out[n]; o.name.empty() || s.ready) o = s;
  return out;
}

}  // namespace hive
