#include "queen/realm.hpp"

#include <algorithm>
#include <set>

#include "wax/verdict.hpp"

namespace hive {

auto name_of(const std::string& m) -> std::string { return m.substr(0, m.find('/')); }

constexpr auto zone_mark = std::string_view("zone:");
auto zone_key(const std::string& zone) -> std::string { return std::string(zone_mark) + zone; }
auto zone_of_key(const std::string& key) -> std::string {
  return key.compare(0, zone_mark.size(), zone_mark) == 0 ? key.substr(zone_mark.size()) : "";
}

auto cell_row::to_tree() const -> tree {
  auto s = twigs();
  for (const auto& m : step)
    s.emplace_back(m);
  // "back" is for readers: the set says it all.
  auto others = backups();
  auto back = others.empty() ? std::string() : others.front();
  return branch{{"epoch", epoch}, {"root", root}, {"prim", prim}, {"back", back},
                {"step", s},      {"idx", idx},   {"why", why}};
}
auto cell_row::from_tree(const tree& t) -> cell_row {
  auto r = cell_row{num(t, "epoch"), num_or(t, "root", 0), str(t, "prim"), {}, num_or(t, "idx", 0), str_or(t, "why")};
  for (const auto& m : list(t, "step"))
    r.step.emplace_back(m.as_string());
  return r;
}
auto cell_row::in_step(const std::string& m) const -> bool {
  return std::find(step.begin(), step.end(), m) != step.end();
}
auto cell_row::backups() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  std::copy_if(step.begin(), step.end(), std::back_inserter(out), [&](const auto& m) { return m != prim; });
  return out;
}
auto cell_row::holds(const std::string& m) const -> bool { return prim == m || in_step(m); }

auto realm::held_by(const std::string& name) const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& [id, c] : cells) {
    auto hit = name_of(c.prim) == name ||
               std::any_of(c.step.begin(), c.step.end(), [&](auto& m) { return name_of(m) == name; });
    if (hit) out.push_back(id);
  }
  return out;
}

auto realm::too_few(const tree& rest, std::int64_t copies) const -> std::string {
  auto zones = std::set<std::string>();
  auto count = std::int64_t{0}, hidden = std::int64_t{0};
  for (const auto& kv : rest.as_object()) {
    auto name = std::string(kv.key());
    if (leavings.count(name)) continue;
    ++count;
    auto zone = std::string(kv.value().as_string());
    if (zone.empty())
      ++hidden;
    else
      zones.insert(zone);
  }
  if (count < copies) return std::to_string(count) + " combs would be left, " + std::to_string(copies) + " are needed";
  if (static_cast<std::int64_t>(zones.size()) + hidden < 2) return "the combs that would be left stand in one locality";
  return {};
}

auto realm::apply(std::int64_t idx, const tree& deed) -> tree {
  try {
    auto k = str(deed, "k");
    if (k == "charter") return on_charter(idx, deed);
    if (k == "cell") return on_cell(idx, deed);
    if (k == "refound") return on_refound(idx, deed);
    if (k == "leave" || k == "left" || k == "stay" || k == "decline") return on_leave(idx, deed);
    return verdict("malformed", "unknown deed " + k).to_tree();
  } catch (const verdict& v) {
    return v.to_tree();
  } catch (const std::exception& e) {
    return verdict("malformed", e.what()).to_tree();
  }
}

namespace {

// A configuration in the log or a snapshot: a record, checked before it was proposed, or, as earlier releases wrote
// it, the text.
auto stored_configuration(const tree& stored) -> configuration_ptr {
  if (stored.is_string()) return configuration_record::from_charter(compile(std::string(stored.get_string())));
  return configuration_record::from_tree(stored);
}

}  // namespace

// Whole charters by compare-and-set: a repeat changes nothing, a stale one is refused.
auto realm::on_charter(std::int64_t idx, const tree& d) -> tree {
  auto next = stored_configuration(sub(d, sub(d, "record").is_object() ? "record" : "body"));
  auto now = law ? law->number : 0;
  if (law && next->number == now) {
    if (next->same_content(*law)) return branch{{"ok", true}, {"number", now}, {"repeat", true}};
    throw verdict("taken", "number " + std::to_string(now) + " is already used with other content", ran::no, -1,
                  branch{{"newest", now}});
  }
  if (next->number < now)
    throw verdict("stale", "number " + std::to_string(next->number) + " is below the newest, " + std::to_string(now),
                  ran::no, -1, branch{{"newest", now}});
  if (next->after >= 0 && next->after != now)
    throw verdict("stale",
                  "it is meant to follow " + std::to_string(next->after) + ", the newest is " + std::to_string(now),
                  ran::no, -1, branch{{"newest", now}});
  for (const auto& [name, p] : next->pools) {
    auto had = cells.count(name + "/0") > 0;
    auto width = std::int64_t{0};
    while (cells.count(name + "/" + std::to_string(width)))
      ++width;
    if (had && width != p.cells)
      throw verdict("bad_charter",
                    "spaces: '" + name + "' has " + std::to_string(width) + " cells, which cannot change", ran::no, -1);
    if (had || !law) continue;
    if (auto it = law->pools.find(name); it != law->pools.end() && it->second.cells != p.cells)
      throw verdict("bad_charter",
                    "spaces: '" + name + "' has " + std::to_string(it->second.cells) + " cells, which cannot change",
                    ran::no, -1);
  }
  law = next;
  law_idx = idx;
  return branch{{"ok", true}, {"number", next->number}};
}

// One atomic claim or move: taken only at the epoch it expects, and only for who is in step.
auto realm::on_cell(std::int64_t idx, const tree& d) -> tree {
  auto id = str(d, "id");
  auto& now = cells[id];
  auto next = cell_row::from_tree(d);
  auto no = [&](const char* why) -> tree { return branch{{"ok", false}, {"why", why}, {"row", now.to_tree()}}; };
  if (now.epoch != next.epoch) return no("another epoch stands");
  if (next.prim.empty() || !next.in_step(next.prim)) return no("a primary must be in step");
  auto nodes = std::set<std::string>();
  for (const auto& m : next.step)
    if (!nodes.insert(name_of(m)).second) return no("copies want different nodes");
  if (now.epoch > 0 && !now.in_step(next.prim)) return no("only a node in step may hold the cell");
  // Told done, a retired node gets nothing again, also by a move that was under way.
  for (const auto& [n, l] : leavings) {
    auto is_n = [&, n = n](const std::string& m) { return name_of(m) == n; };
    if (l.kind == "retire" && l.done && std::any_of(next.step.begin(), next.step.end(), is_n))
      return no("a retired node holds nothing");
  }
  next.epoch = now.epoch + 1;
  next.root = now.root;
  next.idx = idx;
  now = next;
  cells_ver = idx;
  return branch{{"ok", true}, {"row", now.to_tree()}};
}

// All copies of a cell are lost: it begins anew, above all it ever said. By itself only
// where nothing is kept; for a kept space an operator must say so.
auto realm::on_refound(std::int64_t idx, const tree& d) -> tree {
  auto id = str(d, "id");
  auto it = cells.find(id);
  if (it == cells.end()) throw verdict("not_found", "no cell " + id);
  auto next = cell_row::from_tree(d);
  if (it->second.epoch != next.epoch)
    return branch{{"ok", false}, {"why", "another epoch stands"}, {"row", it->second.to_tree()}};
  auto p = law ? law->pools.find(id.substr(0, id.find('/'))) : std::map<std::string, pool>::const_iterator();
  auto kept = !law || p == law->pools.end() || p->second.keep_ms > 0;
  if (kept && !yes(d, "forsake"))
    throw verdict("denied", id + " is of a kept space: founding it again forsakes what it kept");
  next.epoch = next.root = it->second.epoch + 1;
  next.idx = idx;
  it->second = next;
  cells_ver = idx;
  return branch{{"ok", true}, {"row", next.to_tree()}};
}

auto realm::on_leave(std::int64_t idx, const tree& d) -> tree {
  auto name = str(d, "name");
  auto k = str(d, "k");
  if (k != "left") {
    orders.check(name, d);
    orders.record(name, d, idx);
  }
  if (k == "decline") return branch{{"ok", true}};  // refused where it was decided: what is older must not follow
  if (k == "leave") {
    auto kind = str(d, "kind");
    if (!zone_of_key(name).empty() && kind != "evacuate") throw verdict("malformed", "a zone can only be evacuated");
    if (auto it = leavings.find(name);
        it != leavings.end() && (it->second.kind == kind || it->second.kind == "retire")) {
      if (it->second.kind != kind) throw verdict("taken", name + " is being retired already");
      return branch{{"ok", true}, {"repeat", true}, {"done", it->second.done}};
    }
    // Said again here, since two retirements may be under way at once.
    if (const auto& rest = sub(d, "rest"); rest.is_object())
      if (auto why = too_few(rest, num_or(d, "copies", 2)); !why.empty()) throw verdict("too_few", why);
    leavings[name] = {kind, false, idx};
  } else if (k == "stay") {
    auto it = leavings.find(name);
    if (it == leavings.end()) return branch{{"ok", true}, {"repeat", true}};
    if (it->second.kind == "retire" && it->second.done) throw verdict("taken", name + " is retired");
    leavings.erase(it);
  } else {
    auto it = leavings.find(name);
    if (it == leavings.end() || !zone_of_key(name).empty()) throw verdict("not_found", name + " is not leaving");
    if (!held_by(name).empty()) return branch{{"ok", false}, {"why", "cells are left there"}};
    it->second.done = true;
  }
  cells_ver = idx;
  return branch{{"ok", true}};
}

auto realm::capture() const -> tree {
  auto c = branch();
  for (const auto& [id, r] : cells)
    c[id] = r.to_tree();
  auto l = branch();
  for (const auto& [n, v] : leavings)
    l[n] = branch{{"kind", v.kind}, {"done", v.done}, {"idx", v.idx}};
  return branch{{"format", 1},
                {"charter", law ? law->to_tree() : tree()},
                {"law_idx", law_idx},
                {"cells", c},
                {"leavings", l},
                {"cells_ver", cells_ver},
                {"orders", orders.capture()}};
}

// A malformed capture throws before anything here changes.
auto realm::restore(const tree& t) -> void {
  auto next = realm();
  if (!t.is_null()) {
    if (num(t, "format") != 1) throw verdict("damaged", "the ledger's capture has an unknown format");
    if (const auto& stored = sub(t, "charter"); !stored.is_null()) next.law = stored_configuration(stored);
    next.law_idx = num(t, "law_idx");
    for (const auto& kv : sub(t, "cells").as_object())
      next.cells[std::string(kv.key())] = cell_row::from_tree(kv.value());
    for (const auto& kv : sub(t, "leavings").as_object())
      next.leavings[std::string(kv.key())] = {str(kv.value(), "kind"), yes(kv.value(), "done"), num(kv.value(), "idx")};
    next.cells_ver = num(t, "cells_ver");
    next.orders = order_fence::restore(sub(t, "orders"));
  }
  *this = std::move(next);
}

}  // namespace hive
