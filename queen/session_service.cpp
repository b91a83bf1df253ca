// Sessions of nodes with a control node, what control nodes tell each other of theirs, and the versions that
// come with a lease (design 5.1 to 5.3).
#include "queen/queen.hpp"

#include <algorithm>

#include "scout/session.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto usage_each = 10;  // swaps from one telling of usage to the next
// Of the lease, which is what a version may take to come into force everywhere: how finely versions are timed, and
// how often at most a node is sent one. A node so has several tries at each.
constexpr auto version_steps = 8;

}  // namespace

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
          wish.push_back(move::from_tree(m));
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
      ws.push_back(m.to_tree());
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

}  // namespace hive
