// Which storage nodes hold which partitions: founding, evening out and founding again (design 5.5, 5.6).
#include "queen/queen.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {

auto queen::live_combs() const -> std::map<std::string, seat> {
  auto out = std::map<std::string, seat>();
  for (const auto& [n, s] : known.all())
    if (s.kind == "comb" && !s.disk.empty() && !known.leaves(s)) out[n] = s;
  return out;
}
auto queen::combs_at_need() const -> std::map<std::string, seat> {
  auto out = live_combs();
  auto zones = std::set<std::string>();
  for (const auto& [n, s] : out)
    zones.insert(s.zone);
  if (zones.size() >= 2) return out;
  for (const auto& [n, s] : known.all())
    if (s.kind == "comb" && !s.disk.empty() && !s.leaving && !law.leavings.count(n)) out[n] = s;
  return out;
}
// Who could hold copies without this comb: those in reach, and those out of reach that hold some.
auto queen::rest_without(const std::string& name) const -> branch {
  auto out = branch();
  for (const auto& [id, c] : law.cells)
    for (const auto& m : c.step)
      if (name_of(m) != name) out[name_of(m)] = "";
  for (const auto& [n, s] : known.all())
    if (s.kind == "comb" && !s.disk.empty() && !s.leaving && n != name) out[n] = s.zone;
  return out;
}
auto queen::loads() const -> std::map<std::string, std::int64_t> {
  auto out = std::map<std::string, std::int64_t>();
  for (const auto& [id, c] : law.cells) {
    out[name_of(c.prim)] += 2;
    for (const auto& m : c.backups())
      out[name_of(m)] += 1;
  }
  return out;
}

auto queen::copies_of(const std::string& pool) const -> std::int64_t {
  constexpr auto pair = std::int64_t{2};
  auto it = law.law ? law.law->pools.find(pool) : std::map<std::string, hive::pool>::const_iterator();
  return law.law && it != law.law->pools.end() && it->second.keep_ms > 0 ? set.copies : pair;
}

auto queen::founders(const std::vector<seat>& by_load, std::int64_t copies) -> std::vector<seat> {
  auto out = std::vector<seat>();
  auto in_zone = std::map<std::string, int>();
  while (out.size() < static_cast<std::size_t>(copies)) {
    const auto* best = static_cast<const seat*>(nullptr);
    for (const auto& s : by_load) {
      auto taken = std::any_of(out.begin(), out.end(), [&](const auto& one) { return one.name == s.name; });
      if (!taken && (!best || in_zone[s.zone] < in_zone[best->zone])) best = &s;
    }
    if (!best) break;  // fewer nodes than copies
    ++in_zone[best->zone];
    out.push_back(*best);
  }
  return in_zone.size() < 2 ? std::vector<seat>() : out;
}

// The best node for a new backup: in the locality with the fewest copies, least laden (paper 3.1). The first backup
// stands in another locality than the primary.
auto queen::on_draw(const tree& t) -> tree {
  auto zone = str(t, "zone");
  auto bar = std::set<std::string>();
  for (const auto& n : list(t, "not"))
    bar.insert(std::string(n.as_string()));
  auto primary = list(t, "not").empty() ? std::string() : name_of(std::string(list(t, "not")[0].as_string()));
  auto in_zone = std::map<std::string, int>{{zone, 1}};
  auto stay = std::set<std::string>();  // the backups that it keeps
  for (const auto& m : list(t, "with")) {
    stay.insert(name_of(std::string(m.as_string())));
    if (const auto* s = known.find(name_of(std::string(m.as_string())))) ++in_zone[s->zone];
  }
  auto apart = in_zone.size() > 1;
  auto use = loads();
  auto best = std::string();
  // One that has a second copy waits for a comb outside of the evacuated zones; a single copy takes any.
  auto row = law.cells.find(str_or(t, "cell"));
  auto backups = row == law.cells.end() ? std::vector<std::string>() : row->second.backups();
  auto paired = std::any_of(backups.begin(), backups.end(), [&](const auto& m) {
    const auto* s = known.find(name_of(m));
    return s && s->member() == m;
  });
  auto combs = paired ? live_combs() : combs_at_need();
  auto cost = [&](const std::string& n) { return std::pair(in_zone[combs[n].zone], use[n] + drawn[n]); };
  for (const auto& [n, s] : combs) {
    if ((s.zone == zone && !apart) || bar.count(s.member()) || primary == n || stay.count(n)) continue;
    if (best.empty() || cost(n) < cost(best)) best = n;
  }
  if (best.empty()) throw verdict("no_room", "no comb in another locality can take a copy", ran::no, set.lose / msec);
  ++drawn[best];
  return branch{{"member", combs[best].member()}, {"addr", combs[best].addr}};
}

// Founds the cells of new spaces and closes leavings; only the leader acts.
auto queen::place() -> task<void> {
  while (true) {
    co_await rest(h, set.beat);
    if (!sure() || !law.law) continue;
    drawn.clear();
    balance();
    auto combs = combs_at_need();
    auto use = loads();
    try {
      for (const auto& [name, s] : law.law->pools) {
        for (auto k = std::int64_t{0}; k < s.cells; ++k) {
          auto id = name + "/" + std::to_string(k);
          if (auto it = law.cells.find(id); it != law.cells.end() && it->second.epoch > 0) continue;
          auto less = [&](const seat& a, const seat& b) {
            return std::pair(use[a.name], a.name) < std::pair(use[b.name], b.name);
          };
          auto order = std::vector<seat>();
          for (const auto& [n, c] : combs)
            order.push_back(c);
          std::sort(order.begin(), order.end(), less);
          auto members = founders(order, copies_of(name));
          if (members.empty()) break;
          auto step = twigs();
          for (const auto& m : members) {
            use[m.name] += step.empty() ? 2 : 1;
            step.emplace_back(m.member());
          }
          auto d = tree(branch{{"k", "cell"},
                               {"id", id},
                               {"epoch", 0},
                               {"prim", members.front().member()},
                               {"step", step},
                               {"why", "placed"}});
          co_await book.propose(std::move(d), h.now() + set.lose);
          if (!sure()) break;
        }
      }
      auto dead = std::vector<std::string>();
      for (const auto& [id, c] : law.cells) {
        auto s = law.law->pools.find(id.substr(0, id.find('/')));
        if (s != law.law->pools.end() && s->second.keep_ms == 0 && all_lost(c)) dead.push_back(id);
      }
      for (const auto& id : dead)
        co_await refound(id, false);
      auto open = std::vector<std::string>();
      for (const auto& [n, l] : law.leavings)
        if (!l.done && zone_of_key(n).empty() && law.held_by(n).empty()) open.push_back(n);
      for (const auto& n : open) {
        auto d = tree(branch{{"k", "left"}, {"name", n}});
        co_await book.propose(std::move(d), h.now() + set.lose);
      }
    } catch (const verdict& v) {
      hive::log(grade::note, set.name, std::string("placement waits: ") + v.what());
    }
  }
}

// Each node in step is back with another disk: no copy is left anywhere.
auto queen::all_lost(const cell_row& c) const -> bool {
  if (c.step.empty()) return false;
  return std::all_of(c.step.begin(), c.step.end(), [&](const auto& m) {
    const auto* s = known.find(name_of(m));
    return s && !s->disk.empty() && s->member() != m;
  });
}

auto queen::refound(std::string id, bool forsake) -> task<tree> {
  auto combs = combs_at_need();
  auto use = loads();
  auto order = std::vector<seat>();
  for (const auto& [n, c] : combs)
    order.push_back(c);
  std::stable_sort(order.begin(), order.end(), [&](auto& a, auto& b) { return use[a.name] < use[b.name]; });
  if (order.empty()) throw verdict("no_room", "no comb is there", ran::no, set.lose / msec);
  auto members = founders(order, copies_of(id.substr(0, id.find('/'))));
  if (members.empty()) throw verdict("no_room", "no comb in a second locality", ran::no, set.lose / msec);
  auto step = twigs();
  for (const auto& m : members)
    step.emplace_back(m.member());
  hive::log(grade::warn, set.name, id + ": all copies are lost; founded again");
  auto d = tree(branch{{"k", "refound"},
                       {"id", id},
                       {"epoch", law.cells[id].epoch},
                       {"prim", members.front().member()},
                       {"step", step},
                       {"why", "founded again"},
                       {"forsake", forsake}});
  co_return co_await deed(std::move(d));
}

auto queen::wishes_for(const std::string& name) const -> twigs {
  auto out = twigs();
  for (const auto& m : wish)
    if (m.prim == name) out.push_back(m.to_tree());
  return out;
}

auto queen::move::to_tree() const -> tree {
  return branch{{"cell", cell},         {"prim", prim}, {"back", back},
                {"replaced", replaced}, {"lead", lead}, {"hand", hands_over()}};
}
auto queen::move::from_tree(const tree& t) -> move {
  return {str(t, "cell"), str(t, "prim"), str(t, "back"), str_or(t, "replaced"), str_or(t, "lead")};
}

// Evens out usage, one cell at a time: the most laden comb gives something to the
// least laden, a backup before a lead (design 5.6).
auto queen::balance() -> void {
  auto use = loads();
  auto combs = live_combs();
  if (!wish.empty()) {
    const auto& m = wish.front();
    const auto& c = law.cells[m.cell];
    auto holds = std::any_of(c.step.begin(), c.step.end(), [&](const auto& one) { return name_of(one) == m.back; });
    auto done = m.hands_over() ? name_of(c.prim) != m.prim : holds;
    if (!done && name_of(c.prim) == m.prim && h.now() - wished < set.lose * 5) return;
    wish.clear();
    return;  // a pause before the next
  }
  if (combs.size() < 2 || h.now() - wished < set.lose) return;
  auto order = std::vector<seat>();
  for (const auto& [n, s] : combs)
    order.push_back(s);
  std::stable_sort(order.begin(), order.end(), [&](auto& a, auto& b) { return use[a.name] < use[b.name]; });
  // Each move, or the pair of moves that 'later' begins, lowers the sum of squares:
  // they end. The cheaper kinds are tried for all pairs of combs first.
  for (auto kind : {shift::back, shift::hand, shift::later})
    for (auto hi = order.rbegin(); hi != order.rend(); ++hi)
      for (const auto& lo : order)
        if (use[hi->name] - use[lo.name] >= (kind == shift::later ? 4 : 3) && wish_move(kind, *hi, lo, combs)) return;
}

namespace {

// In how many zones the copies would stand, were one of them replaced by a copy on this node. All stand on `combs`.
auto zone_count(const cell_row& row, const std::map<std::string, seat>& combs, const std::string& replaced,
                const seat& by) -> std::size_t {
  auto zones = std::set<std::string>();
  for (const auto& m : row.step)
    zones.insert(name_of(m) == replaced ? by.zone : combs.at(name_of(m)).zone);
  return zones.size();
}

}  // namespace

auto queen::wish_move(shift kind, const seat& hi, const seat& lo, std::map<std::string, seat>& combs) -> bool {
  for (const auto& [id, c] : law.cells) {
    auto whole = std::all_of(c.step.begin(), c.step.end(), [&](const auto& m) { return combs.count(name_of(m)) > 0; });
    if (!whole) continue;  // what lacks a copy is mended first
    auto zones_now = zone_count(c, combs, "", lo);
    auto holds_lo = std::any_of(c.step.begin(), c.step.end(), [&](const auto& m) { return name_of(m) == lo.name; });
    auto leads = name_of(c.prim) == hi.name;
    for (const auto& m : c.backups()) {
      auto backup = name_of(m);
      auto hand = kind == shift::hand && leads && backup == lo.name;
      // Copies stand in no fewer zones after a move than before it.
      auto zones_then = zone_count(c, combs, backup, lo);
      auto apart = !holds_lo && zones_then >= zones_now && zones_then > 1;
      auto copy = apart && ((kind == shift::back && backup == hi.name) || (kind == shift::later && leads));
      if (!hand && !copy) continue;
      wish = {{id, name_of(c.prim), hand ? "" : lo.name, hand ? "" : backup, hand ? lo.name : ""}};
      wished = h.now();
      hive::log(
          grade::note, set.name,
          id + (hand ? ": wish that " + name_of(c.prim) + " hands it over to " : ": wish for a backup on ") + lo.name);
      return true;
    }
  }
  return false;
}

}  // namespace hive
