// Membership: founding, joining, replacing and removing voters (design 4.5).
#include <algorithm>

#include "ledger/ledger.hpp"
#include "ledger/storage.hpp"
#include "wax/ring.hpp"

namespace hive {

auto ledger::seat() -> void {
  panel = panel_at(last());
  realm = base_realm;
  for (const auto& r : log)
    if (realm.empty()) realm = str_or(r.deed, "realm");
}

auto ledger::seated(const std::string& addr) const -> bool {
  return std::any_of(panel.begin(), panel.end(), [&](auto& v) { return v.addr == addr; });
}

auto ledger::disk_at(const std::string& addr) const -> std::string {
  if (auto it = learners.find(addr); it != learners.end()) return it->second;
  for (const auto& v : panel)
    if (v.addr == addr) return v.id;
  return {};
}

auto ledger::peers() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  auto add = [&](const std::string& a) {
    if (a != me.addr && std::find(out.begin(), out.end(), a) == out.end()) out.push_back(a);
  };
  for (const auto& v : panel)
    add(v.addr);
  for (const auto& s : set.seeds)
    add(s);
  return out;
}

auto ledger::silent(tick span) const -> std::vector<voter> {
  auto out = std::vector<std::pair<tick, voter>>();
  for (const auto& v : panel) {
    auto it = marks.find(v.addr);
    if (v != me && it != marks.end() && h.now() - it->second.heard > span) out.emplace_back(it->second.heard, v);
  }
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.first < b.first; });
  auto row = std::vector<voter>();
  for (auto& [at, v] : out)
    row.push_back(std::move(v));
  return row;
}

// A colleague whose disk was lost, or that is new: first learns, then takes a seat.
// Voters change one at a time.
auto ledger::on_enter(tree t) -> task<tree> {
  auto who = voter{str(t, "addr"), str(t, "id")};
  if (role != part::lead) {
    if (lead.empty()) throw verdict("no_leader", "no leader yet", ran::no, set.lose / msec);
    t.as_object()["op"] = "l.enter";
    co_return co_await ask_leader(t, h.now() + set.lose);
  }
  if (auto theirs = str_or(t, "realm"); !theirs.empty() && !realm.empty() && theirs != realm) {
    hive::log(grade::warn, set.name, who.addr + " has a disk of another fleet's ledger; it is not let in");
    throw verdict("foreign", "the disk holds another fleet's ledger: empty the folder, or name its own fleet's seeds",
                  ran::no);
  }
  if (changing) throw verdict("busy", "another voter is being changed", ran::no, set.lose / msec);
  // Before an entry of its own term is agreed, voters of an earlier change may not be known here.
  if (!settled()) throw verdict("busy", "the leader is not settled yet", ran::no, set.beat / msec);
  changing = true;
  auto mine = term;
  try {
    if (std::find(panel.begin(), panel.end(), who) == panel.end()) {
      auto back = seated(who.addr);
      if (back) {
        auto old = *std::find_if(panel.begin(), panel.end(), [&](auto& v) { return v.addr == who.addr; });
        co_await unseat(old, "has another disk");
      }
      if (role == part::lead && term == mine && learners.insert_or_assign(who.addr, who.id).second)
        home.spawn(feed(who.addr, term));
      auto end = h.now() + set.lose * 4;
      while (role == part::lead && term == mine && h.now() < end && (marks[who.addr].match < agreed))
        co_await rest(h, set.beat);
      if (role != part::lead || term != mine || marks[who.addr].match < agreed)
        throw verdict("unclear", "the new voter did not catch up", ran::maybe, set.lose / msec);
      // Who comes takes the place of one that is lost, wherever that one stood: nobody waits for it.
      if (auto row = silent(set.lose * 2); !back && !row.empty())
        co_await unseat(row.front(), "is silent while another comes");
      if (role != part::lead || term != mine)
        throw verdict("unclear", "the lead has changed", ran::maybe, set.lose / msec);
      auto next = panel;
      next.push_back(who);
      auto d = tree(branch{{"panel", to_tree(next)}});
      co_await propose(std::move(d), h.now() + set.lose);
      learners.erase(who.addr);
      hive::log(grade::note, set.name, "voter " + who.addr + " seated");
    }
  } catch (...) {
    if (term == mine) changing = false;
    throw;
  }
  if (term == mine) changing = false;
  co_return branch{{"ok", true}};
}

// Takes a voter off the list; whoever calls keeps other changes away meanwhile, or there is none.
auto ledger::unseat(voter v, const char* why) -> task<void> {
  auto own = !changing;
  auto mine = term;
  changing = true;
  hive::log(grade::warn, set.name, "voter " + v.addr + " " + why + "; its seat is removed");
  auto next = std::vector<voter>();
  for (const auto& one : panel)
    if (one != v) next.push_back(one);
  try {
    auto d = tree(branch{{"panel", to_tree(next)}});
    co_await propose(std::move(d), h.now() + set.lose);
    marks.erase(v.addr);
  } catch (const verdict& e) {
    if (!own) throw;
    hive::log(grade::note, set.name, "voter " + v.addr + ": " + e.what());
  }
  if (own && term == mine) changing = false;
}

auto ledger::enter(std::string via) -> task<void> {
  try {
    auto q = tree(branch{{"op", "l.enter"}, {"addr", me.addr}, {"id", me.id}, {"realm", realm}});
    co_await reach(via).ask(std::move(q), h.now() + set.lose * 6);
  } catch (const verdict& v) {
    hive::log(grade::note, set.name, std::string("not yet a voter: ") + v.what());
  }
}

// One that thinks itself a voter but hears no leader: the others may have gone on without it.
auto ledger::enter_again() -> task<void> {
  entering = true;
  auto via = std::string();
  for (const auto& s : peers()) {
    try {
      auto q = tree(branch{{"op", "l.who"}, {"addr", me.addr}, {"id", me.id}});
      auto r = co_await reach(s).ask(std::move(q), h.now() + set.budget);
      if (str(r, "lead").empty() || yes(r, "mate")) continue;
      via = s;
      break;
    } catch (const verdict&) {
    }
  }
  if (!via.empty()) co_await enter(via);
  entering = false;
}

// A blank disk: founds the ledger if it may and all seeds are blank, else re-enters.
auto ledger::found() -> task<void> {
  auto seen = std::vector<voter>();
  auto blank = true;
  auto via = std::string();
  auto seed = std::find(set.seeds.begin(), set.seeds.end(), me.addr) != set.seeds.end();
  if (seed) seen.push_back(me);
  for (const auto& s : peers()) {
    try {
      auto q = tree(branch{{"op", "l.who"}});
      auto r = co_await reach(s).ask(std::move(q), h.now() + set.budget);
      seen.push_back({s, str(r, "id")});
      if (yes(r, "founded") && !yes(r, "empty")) {
        blank = false;
        if (str(r, "lead") == s) via = s;
        if (via.empty()) via = s;
      }
    } catch (const verdict&) {
    }
  }
  if (!founded && set.found && blank && seed && seen.size() == set.seeds.size()) {
    base_panel = seen;
    founded = true;
    seat();
    disk.put("L/cap", seal(branch{{"idx", 0}, {"term", 0}, {"panel", to_tree(panel)}, {"state", nullptr}}));
    keep_meta();
    try {
      co_await disk.sync();
      hive::log(grade::note, set.name, "the ledger is founded");
    } catch (const verdict&) {
    }
  } else if (!blank) {
    co_await enter(via);
  }
  if (!may_vote()) co_await rest(h, h.spread(set.beat));
}

}  // namespace hive
