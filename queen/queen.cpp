#include "queen/queen.hpp"

#include <algorithm>

#include "scout/session.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto unknown_request = std::string_view("unknown request ");
constexpr auto usage_each = 10;  // swaps from one telling of usage to the next
// Of the lease, which is what a version may take to come into force everywhere: how finely versions are timed, and
// how often at most a node is sent one. A node so has several tries at each.
constexpr auto version_steps = 8;

}  // namespace

queen::queen(host& hh, const config& c)
    : h(hh),
      set(c),
      book(hh, c,
           {[this](std::int64_t i, const tree& d) {
              auto before = law.law;
              auto out = law.apply(i, d);
              time_version(before);
              refresh();
              return out;
            },
            [this] { return law.capture(); },
            [this](const tree& t) {
              law.restore(t);
              refresh();
            },
            [this] {
              grants.clear();
              wish.clear();
              // When another leader's versions were agreed on is not known here: they are all due.
              if (book.leads() && law.law) deadlines.add(law.law->number, h.now());
              news.wake();
            }}),
      home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("task ended: ") + x.what());
      spill("a task ended");
    }
  };
  // A queen whose disk was lost counts from one again: it must be another source.
  source = c.addr + "/" + book.disk_id();
  if (auto b = h.disk()->get("Q/boot")) boot = num(unseal(*b), "n");
  ++boot;
  h.disk()->put("Q/boot", seal(branch{{"n", boot}}));
  known.tables[source].ver = known.tables[source].floor = boot << 32;
  refresh();
  auto a = answers();
  a.ask = [this](wire_ptr w, tree t) { return ask(std::move(w), std::move(t)); };
  a.sweep = set.lose;
  home.spawn(serve(h, home, h.listen(c.addr), a, c.name));
  if (!c.web.empty()) {
    auto p = pages();
    p.page = [this](request r) { return page(std::move(r)); };
    home.spawn(serve_web(h, home, h.listen(c.web), p));
  }
  meet();
  home.spawn(sweep());
  home.spawn(place());
}
queen::~queen() = default;

auto queen::queens() const -> std::set<std::string> {
  auto out = std::set<std::string>(set.seeds.begin(), set.seeds.end());
  for (const auto& v : book.voters())
    out.insert(v.addr);
  out.erase(set.addr);
  return out;
}
auto queen::stands() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& v : book.voters())
    out.push_back(v.addr);
  return out;
}
auto queen::meet() -> void {
  for (const auto& a : queens())
    if (swapping.insert(a).second) home.spawn(swaps(a));
}

auto queen::refresh() -> void {
  known.law = law.law;
  known.cells = law.cells;
  known.leavings = law.leavings;
  known.cells_ver = law.cells_ver;
  news.wake();
}

// A version counts from when it was agreed on, rounded down. One that this queen applied before its lead was settled
// is timed anew then, before it gives any lease.
auto queen::time_version(const configuration_ptr& before) -> void {
  if (!law.law || law.law == before || !book.leads()) return;
  const auto step = set.lease / version_steps;
  deadlines.add(law.law->number, h.now() / step * step + set.lease);
}

auto queen::versions_to_tree(tick since, bool timed) const -> branch {
  auto newest = std::max(newest_agreed, law.law ? law.law->number : 0);
  if (!timed) return branch{{"need", newest}, {"newest", newest}};
  auto now = h.now();
  auto out = branch{{"need", deadlines.required(now)}, {"newest", newest}};
  if (auto due = deadlines.to_tree(now, since); !due.empty()) out["due"] = std::move(due);
  return out;
}

auto queen::configuration_due(const guest& g) const -> tick { return g.configuration_sent + set.lease / version_steps; }

// May this queen, as leader, still speak for the majority? (design 5.3)
auto queen::sure() const -> bool { return book.settled() && h.now() < book.quorum_at() + set.contact_span(); }

// A follower is ready if the leader has just spoken to it for the majority: to hear a leader is not enough, its own
// words may be lost on their way.
auto queen::ready() const -> bool { return book.leads() ? sure() : h.now() - granted_at < set.lose; }

auto queen::lends(const std::string& name) const -> bool {
  if (book.leads()) return sure();
  auto it = guests.find(name);
  return it != guests.end() && it->second.grant > h.now();
}

auto queen::ask(wire_ptr, tree t) -> task<tree> {
  auto op = str(t, "op");
  if (op.compare(0, 2, "l.") == 0) co_return co_await book.ask(op, std::move(t));
  if (op == "session") co_return co_await on_session(std::move(t));
  if (op == "swap") co_return on_swap(t);
  if (op == "deed") co_return co_await deed(sub(t, "deed"));
  if (op == "bye") {
    auto n = str(t, "name");
    if (guests.erase(n)) {
      known.tables[source].cut(n, (boot << 32) + ++bump);
      news.wake();
    }
    if (!book.leads()) {
      try {
        co_await book.ask_leader(t, h.now() + set.budget);
      } catch (const verdict&) {
      }
    }
    grants.erase(n);
    co_return branch{{"ok", true}};
  }
  if (op == "voters") {
    if (!book.leads()) co_return co_await to_leader(std::move(t));
    co_return book.stand();
  }
  if (op == "draw" || op == "held" || op == "fresh" || op == "refound" || op == "leave") {
    if (!book.leads()) co_return co_await to_leader(std::move(t));
    co_await book.fresh(h.now() + set.budget);
    if (op == "draw") co_return on_draw(t);
    if (op == "refound") {
      auto id = str(t, "cell");
      if (!law.cells.count(id)) throw verdict("not_found", "no cell " + id);
      if (!all_lost(law.cells[id])) throw verdict("denied", "not every copy of " + id + " is known to be lost");
      co_return co_await refound(id, true);
    }
    if (op == "held") co_return on_held(t);
    if (op == "leave") co_return co_await decide(leave_order::from_tree(t), num(t, "after"));
    co_return branch{{"charter", law.law ? tree(law.law->body()) : tree()}, {"realm", law.capture()}};
  }
  if (op == "status") co_return status();
  throw verdict("malformed", std::string(unknown_request) + op);
}

auto queen::to_leader(tree t) -> task<tree> {
  t.as_object().erase("q");
  try {
    co_return co_await book.ask_leader(std::move(t), h.now() + set.budget);
  } catch (const verdict& v) {
    if (v.why.compare(0, unknown_request.size(), unknown_request) != 0) throw;
  }
  throw verdict("no_leader", "the leader is of an earlier version", ran::no, set.lose / msec);
}

auto queen::deed(tree d) -> task<tree> {
  if (book.leads()) co_return co_await book.propose(std::move(d), h.now() + set.lose);
  auto q = tree(branch{{"op", "deed"}, {"deed", std::move(d)}});
  co_return co_await book.ask_leader(std::move(q), h.now() + set.lose);
}

// A sign of life of a node; the answer brings its lease and what it lacks.
auto queen::on_session(tree t) -> task<tree> {
  auto came = h.now();
  auto row = seat::from_tree(sub(t, "me"));
  auto& g = guests[row.name];
  g.seen = came;
  g.charter = num_or(t, "charter", 0);
  auto& mine = known.tables[source];
  auto same = row;
  same.usage = g.row.usage;
  auto held = mine.rows.find(row.name);
  if (held == mine.rows.end() || same.to_tree() != g.row.to_tree()) {
    mine.put(row, (boot << 32) + ++bump);
    news.wake();
  } else {
    held->second.usage = row.usage;  // no news to anyone
  }
  g.row = row;
  auto vec = sub(t, "vec");
  // A third of `lose` between two signs of life; sooner where the number sent is not yet reported.
  auto span = g.charter < g.sent_number ? set.beat / 2 : set.lose / 3;
  auto end = came + span;
  auto had = num_or(t, "queens", 0);
  // When a configuration that the node lacks may go; a session that has ended waits for none.
  auto law_at = [&] {
    auto it = guests.find(row.name);
    return known.lacks_law(vec) && it != guests.end() ? configuration_due(it->second) : never;
  };
  auto lacks = [&](bool settle) {
    auto o = known.lacks(vec, settle, h.now() >= law_at());
    if (auto row = stands(); !row.empty() && mark_of(row) != had) {
      auto names = twigs();
      for (const auto& a : row)
        names.emplace_back(a);
      o["queens"] = names;
    }
    return o;
  };
  auto out = lacks(false);
  auto lent = lends(row.name);  // a lease that can be had meanwhile is news as well
  while (out.empty() && (lent || !lends(row.name)) && h.now() < end) {
    auto until = std::min(end, law_at());
    auto in_time = co_await news.wait(h, until);
    out = lacks(false);
    if (!in_time && until == end) break;
  }
  // Comings and goings are told of together; cells at once, but not each alone where many change; a charter at once.
  auto since = h.now();
  if (auto it = guests.find(row.name);
      it != guests.end() && !out.empty() && !out.contains("charter") && !out.contains("packed")) {
    auto due = out.contains("cells") ? it->second.told + set.beat / 2 : since + set.beat / 2;
    if (due > since) co_await nap(h, due);
  }
  out = lacks(true);
  if (auto it = guests.find(row.name); it != guests.end()) {
    if (out.contains("cells")) it->second.told = h.now();
    if (out.contains("packed") || out.contains("charter")) {
      it->second.configuration_sent = h.now();
      it->second.sent_number = known.law->number;
    }
  }
  if (auto wishes = wishes_for(row.name); !wishes.empty()) out["wish"] = wishes;
  auto now = h.now();
  auto add_versions = [&] {
    for (auto& field : versions_to_tree(came, yes(t, "deadlines")))
      out[field.key()] = std::move(field.value());
  };
  if (book.leads()) {
    if (sure()) {
      auto& gr = grants[row.name];
      gr.until = std::max(gr.until, now + set.lease);
      gr.charter = num_or(t, "charter", 0);
      out["lease"] = now + set.lease - came;
      add_versions();
      out["cells_need"] = law.cells_ver;
    }
  } else if (auto it = guests.find(row.name); it != guests.end() && it->second.grant > now) {
    out["lease"] = it->second.grant - came;
    add_versions();
    out["cells_need"] = grant_cells;
  }
  co_return out;
}

// Control nodes tell each other their sessions; the leader's answer lets the
// asker give leases to just those it has named.
auto queen::swaps(std::string addr) -> task<void> {
  auto told = std::int64_t{-1};
  auto steps = false;  // the other side takes steps
  auto said = tree();  // the sessions it holds as standing, and the number they went under
  auto said_ver = std::int64_t{0};
  auto round = 0;
  while (queens().count(addr)) {
    auto sent = h.now();
    auto fine = false, granted = false;
    auto under = book.leader();
    try {
      auto names = std::vector<std::string>();
      auto live = branch();
      for (const auto& [n, g] : guests) {
        if (sent - g.seen > set.lose) continue;
        live[n] = branch{{"charter", g.charter}};
        names.push_back(n);
      }
      const auto& mine = known.tables[source];
      auto q = branch{{"op", "swap"}, {"from", source}, {"ver", mine.ver}, {"deadlines", true}};
      if (said != tree(live)) {
        q["live"] = live;
        said_ver = (boot << 32) + ++lives;
      }
      q["live_ver"] = said_ver;
      if (round++ % usage_each == 0) {
        auto use = branch();
        for (const auto& n : names)
          use[n] = guests[n].row.usage;
        q["usage"] = use;
      }
      if (auto some = mine.lacks(told, {}, steps, true); !some.is_null())
        for (auto& kv : some.as_object())
          q[kv.key()] = kv.value();
      auto ver = mine.ver;
      auto r = co_await book.reach(addr).ask(tree(std::move(q)), sent + set.budget);
      fine = true;
      told = std::min(num_or(r, "have", -1), ver);
      steps = yes(r, "steps");
      said = num_or(r, "live_ver", 0) == said_ver ? tree(live) : tree();
      if (yes(r, "grant")) {
        granted = true;
        granted_at = std::max(granted_at, sent);
        wish.clear();
        for (const auto& m : list(r, "wish"))
          wish.push_back({str(m, "cell"), str(m, "prim"), str(m, "back"), yes(m, "hand")});
        deadlines.add(num(r, "need"), sent);
        if (const auto& due = sub(r, "due"); due.is_array()) deadlines.merge(due.get_array(), sent);
        newest_agreed = std::max({newest_agreed, num(r, "need"), num_or(r, "newest", 0)});
        grant_cells = std::max(grant_cells, num(r, "cells"));
        for (const auto& n : names)
          if (auto it = guests.find(n); it != guests.end()) {
            if (it->second.grant < h.now()) news.wake();
            it->second.grant = std::max(it->second.grant, sent + set.lease);
          }
      }
    } catch (const verdict&) {
      told = -1;
      said = nullptr;
    }
    auto changed = known.tables[source].ver;
    // A new leader is asked at once, and one that is not sure of its majority yet soon again: all leases wait for it.
    auto end = sent + (fine && !granted && addr == book.leader() ? set.beat / 4 : set.beat);
    while (h.now() < end && book.leader() == under && (!fine || changed == told)) {
      auto in_time = co_await news.wait(h, end);
      changed = known.tables[source].ver;
      if (!in_time) break;
    }
    // What changes together is told together.
    if (auto soon = sent + set.beat / 2; h.now() < soon && book.leader() == under && (granted || addr != under))
      co_await nap(h, soon);
  }
  swapping.erase(addr);
}

auto queen::on_swap(const tree& t) -> tree {
  auto from = str(t, "from");
  mates_seen[from] = h.now();
  if (sub(t, "rows").is_array() && known.tables[from].merge(t)) news.wake();
  auto out = branch{{"have", known.tables[from].ver}, {"steps", true}};
  // Who stands there and what they serve is said when it changes; each swap says it anew, also without words. One
  // that was overtaken on its way says nothing.
  auto& there = standing[from];
  auto live_ver = num_or(t, "live_ver", 0);
  if (const auto& live = sub(t, "live"); live.is_object() && (live_ver > there.ver || live_ver == 0)) {
    there = {live_ver, {}};
    for (const auto& kv : live.get_object())
      there.charters[std::string(kv.key())] = num_or(kv.value(), "charter", 0);
  }
  out["live_ver"] = there.ver;
  if (there.ver != live_ver) return out;
  if (const auto& use = sub(t, "usage"); use.is_object()) {
    auto& rows = known.tables[from].rows;
    for (const auto& kv : use.get_object())
      if (auto it = rows.find(std::string(kv.key())); it != rows.end() && kv.value().is_int64())
        it->second.usage = kv.value().get_int64();
  }
  if (sure()) {
    for (const auto& [n, charter] : there.charters) {
      auto& g = grants[n];
      g.until = std::max(g.until, h.now() + set.lease);
      g.charter = charter;
    }
    auto ws = twigs();
    for (const auto& m : wish)
      ws.push_back(branch{{"cell", m.cell}, {"prim", m.prim}, {"back", m.back}, {"hand", m.hand}});
    out["wish"] = ws;
    out["grant"] = true;
    for (auto& field : versions_to_tree(h.now(), yes(t, "deadlines")))
      out[field.key()] = std::move(field.value());
    out["cells"] = law.cells_ver;
  }
  return out;
}

// Drops sessions and tables that have gone silent.
auto queen::sweep() -> task<void> {
  while (true) {
    auto due = h.now() + set.beat;
    co_await nap(h, due);
    meet();
    auto now = h.now();
    auto& mine = known.tables[source];
    auto lost = false;
    // Time in which this queen was held up counts against nobody: what came meanwhile is not read yet. Else a queen
    // that is busy ends sessions that stand, and telling of it makes all queens busier.
    if (auto late = now - due; late > set.beat / 2) {
      for (auto& [n, g] : guests)
        g.seen = std::min(now, g.seen + late);
      for (auto& [q, at] : mates_seen)
        at = std::min(now, at + late);
    }
    for (auto it = guests.begin(); it != guests.end();) {
      if (now - it->second.seen > set.lose) {
        hive::log(grade::note, set.name, "session of " + it->first + " has ended");
        mine.cut(it->first, (boot << 32) + ++bump);
        it = guests.erase(it);
        lost = true;
      } else {
        ++it;
      }
    }
    for (auto it = known.tables.begin(); it != known.tables.end();) {
      if (it->first != source && now - mates_seen[it->first] > set.lose) {
        standing.erase(it->first);
        it = known.tables.erase(it);
        lost = true;
      } else {
        ++it;
      }
    }
    if (lost) news.wake();
    deadlines.prune(now);
    for (auto it = grants.begin(); it != grants.end();)
      it = it->second.until < now ? grants.erase(it) : std::next(it);
  }
}

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
auto queen::zones() const -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& [n, s] : known.all())
    out.insert(s.zone);
  return out;
}
auto queen::loads() const -> std::map<std::string, std::int64_t> {
  auto out = std::map<std::string, std::int64_t>();
  for (const auto& [id, c] : law.cells) {
    out[name_of(c.prim)] += 2;
    if (!c.back.empty()) out[name_of(c.back)] += 1;
  }
  return out;
}

// The best node for a new backup: another locality, least laden (paper 3.1).
auto queen::on_draw(const tree& t) -> tree {
  auto zone = str(t, "zone");
  auto bar = std::set<std::string>();
  for (const auto& n : list(t, "not"))
    bar.insert(std::string(n.as_string()));
  auto not_name = list(t, "not").empty() ? std::string() : std::string(list(t, "not")[0].as_string());
  auto use = loads();
  auto best = std::string();
  // A pair that has two copies waits for a comb outside of the evacuated zones; a single copy takes any.
  auto row = law.cells.find(str_or(t, "cell"));
  const auto* back = row == law.cells.end() ? nullptr : known.find(name_of(row->second.back));
  auto paired = back && back->member() == row->second.back;
  auto combs = paired ? live_combs() : combs_at_need();
  for (const auto& [n, s] : combs) {
    if (s.zone == zone || bar.count(s.member()) || name_of(not_name) == n) continue;
    auto cost = [&](const std::string& x) { return use[x] + drawn[x]; };
    if (best.empty() || cost(n) < cost(best)) best = n;
  }
  if (best.empty()) throw verdict("no_room", "no comb in another locality can take a copy", ran::no, set.lose / msec);
  ++drawn[best];
  return branch{{"member", combs[best].member()}, {"addr", combs[best].addr}};
}

// Took hold: every node that may serve has said it serves this number or a newer one.
auto queen::on_held(const tree& t) -> tree {
  auto n = num(t, "number");
  auto newest = law.law ? law.law->number : 0;
  auto wait = twigs();
  // An older leader's leases may still run; one that was wrongly taken for dead gave some a voter's quiet longer.
  auto early = h.now() < book.since() + set.lease * 5 / 4 + set.lose * 3 / 8;
  for (const auto& [name, g] : grants)
    if (g.until > h.now() && g.charter < n) wait.emplace_back(name);
  if (early) wait.emplace_back("(leases given under an earlier leader)");
  if (n > newest) wait.emplace_back("(the number is not accepted)");
  return branch{{"number", n}, {"newest", newest}, {"held", wait.empty()}, {"waiting", wait}};
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
          if (order.empty()) break;
          auto prim = order.front();
          auto back = std::find_if(order.begin(), order.end(), [&](auto& c) { return c.zone != prim.zone; });
          if (back == order.end()) break;
          use[prim.name] += 2;
          use[back->name] += 1;
          auto d = tree(branch{{"k", "cell"},
                               {"id", id},
                               {"epoch", 0},
                               {"prim", prim.member()},
                               {"back", back->member()},
                               {"step", twigs{prim.member(), back->member()}},
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
  auto prim = order.front();
  auto back = std::find_if(order.begin(), order.end(), [&](auto& c) { return c.zone != prim.zone; });
  if (back == order.end()) throw verdict("no_room", "no comb in a second locality", ran::no, set.lose / msec);
  hive::log(grade::warn, set.name, id + ": all copies are lost; founded again");
  auto d = tree(branch{{"k", "refound"},
                       {"id", id},
                       {"epoch", law.cells[id].epoch},
                       {"prim", prim.member()},
                       {"back", back->member()},
                       {"step", twigs{prim.member(), back->member()}},
                       {"why", "founded again"},
                       {"forsake", forsake}});
  co_return co_await deed(std::move(d));
}

auto queen::wishes_for(const std::string& name) const -> twigs {
  auto out = twigs();
  for (const auto& m : wish)
    if (m.prim == name) out.push_back(branch{{"cell", m.cell}, {"back", m.back}, {"hand", m.hand}});
  return out;
}

// Evens out usage, one cell at a time: the most laden comb gives something to the
// least laden, a backup before a lead (design 5.6).
auto queen::balance() -> void {
  auto use = loads();
  auto combs = live_combs();
  if (!wish.empty()) {
    const auto& m = wish.front();
    const auto& c = law.cells[m.cell];
    auto done = m.hand ? name_of(c.prim) != m.prim : name_of(c.back) == m.back;
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

auto queen::wish_move(shift kind, const seat& hi, const seat& lo, std::map<std::string, seat>& combs) -> bool {
  for (const auto& [id, c] : law.cells) {
    auto p = name_of(c.prim), b = name_of(c.back);
    if (!combs.count(p) || !combs.count(b)) continue;  // broken pairs mend themselves first
    auto apart = combs[p].zone != lo.zone && p != lo.name && b != lo.name;
    auto hand = kind == shift::hand && p == hi.name && b == lo.name;
    auto copy = apart && ((kind == shift::back && b == hi.name) || (kind == shift::later && p == hi.name));
    if (!hand && !copy) continue;
    wish = {{id, p, hand ? "" : lo.name, hand}};
    wished = h.now();
    hive::log(grade::note, set.name,
              id + (hand ? ": wish that " + p + " hands it over to " : ": wish for a backup on ") + lo.name);
    return true;
  }
  return false;
}

// What the fleet as it is now cannot give yet. No refusal: a charter holds whatever combs are there, and
// cells are founded once there is room for them.
auto queen::lacking(const charter& next) const -> std::string {
  auto zones = std::set<std::string>();
  for (const auto& [n, s] : known.all())
    if (s.kind == "comb" && !s.disk.empty() && !law.leavings.count(n)) zones.insert(s.zone);
  for (const auto& [n, s] : next.spaces) {
    if (s.keep_ms == 0 || zones.size() >= 2) continue;
    return "space '" + n + "' is kept: that wants combs with disks in two localities, and " +
           std::to_string(zones.size()) + " has or have one now";
  }
  return {};
}

auto queen::page_charter(request r) -> task<response> {
  if (r.path == "/v1/charter/held" && r.verb == "GET") {
    auto n = std::int64_t{0};
    try {
      n = std::stoll(r.query["number"]);
    } catch (const std::exception&) {
      throw verdict("malformed", "held wants ?number=N");
    }
    auto q = tree(branch{{"op", "held"}, {"number", n}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{200, out, {}};
  }
  if (r.path != "/v1/charter") throw verdict("not_found", "no page " + r.path);
  if (r.verb == "GET") {
    auto q = tree(branch{{"op", "fresh"}});
    auto out = co_await ask(nullptr, std::move(q));
    if (!sub(out, "charter").is_string()) throw verdict("not_found", "no charter was accepted yet");
    co_return response{200, boost::json::parse(str(out, "charter")), {}};
  }
  if (r.verb != "PUT" && r.verb != "POST") throw verdict("malformed", "charter takes GET and PUT");
  auto next = compile(r.body);
  auto warn = lacking(*next);
  if (r.query["dry"] == "yes") {
    auto fresh = twigs();
    for (const auto& [n, s] : next->pools)
      for (auto k = std::int64_t{0}; k < s.cells; ++k)
        if (auto id = n + "/" + std::to_string(k); !law.cells.count(id)) fresh.emplace_back(id);
    auto plan = branch{{"dry", true}, {"number", next->number}, {"cells_to_place", fresh}};
    if (!warn.empty()) plan["warn"] = warn;
    co_return response{200, plan, {}};
  }
  auto d = tree(branch{{"k", "charter"}, {"record", configuration_record::from_charter(next)->to_tree()}});
  auto out = co_await deed(std::move(d));
  if (!yes(out, "ok")) throw verdict::from_tree(out);
  if (!warn.empty()) out.as_object()["warn"] = warn;
  co_return response{200, out, {}};
}

auto queen::page(request r) -> task<response> {
  if (auto p = common_page(r.path, [this] { return status(); })) co_return *p;
  if (r.path == "/readyz") {
    if (ready()) co_return response{200, {}, "ready\n"};
    throw verdict("no_leader", "no ledger leader is in reach", ran::no, set.lose / msec);
  }
  if (r.path == "/v1/members") {
    auto rows = twigs();
    for (const auto& [q, t] : known.tables)
      for (const auto& [n, s] : t.rows) {
        auto o = s.to_tree();
        o.as_object()["queen"] = q;
        rows.push_back(o);
      }
    co_return response{200, rows, {}};
  }
  if (r.path == "/v1/voters") {
    auto q = tree(branch{{"op", "voters"}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{
        200,
        branch{{"leader", sub(out, "leader")}, {"changing", sub(out, "changing")}, {"voters", sub(out, "voters")}},
        {}};
  }
  if (r.path == "/v1/cells") {
    auto q = tree(branch{{"op", "fresh"}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{200, sub(sub(out, "realm"), "cells"), {}};
  }
  if (r.path.compare(0, 11, "/v1/charter") == 0) co_return co_await page_charter(std::move(r));
  if (r.path == "/v1/refound" && r.verb == "POST") {
    auto ec = boost::json::error_code();
    auto t = boost::json::parse(r.body, ec);
    if (ec || !sub(t, "cell").is_string()) throw verdict("malformed", "the body wants {\"cell\": ID}");
    auto q = tree(branch{{"op", "refound"}, {"cell", str(t, "cell")}});
    auto out = co_await ask(nullptr, std::move(q));
    if (!yes(out, "ok")) throw verdict::from_tree(out);
    co_return response{200, out, {}};
  }
  if (r.path == "/v1/leave" || r.path == "/v1/stay") co_return co_await page_leave(std::move(r));
  throw verdict("not_found", "no page " + r.path);
}

auto queen::leave(tick limit) -> task<void> { co_await book.yield(limit); }

auto queen::status() const -> tree {
  return branch{{"kind", "queen"},        {"name", set.name},          {"zone", set.zone},
                {"ledger", book.stand()}, {"sessions", guests.size()}, {"beliefs", known.beliefs()}};
}

}  // namespace hive
