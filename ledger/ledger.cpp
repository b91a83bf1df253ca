#include "ledger/ledger.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto rows_most = std::size_t{64};    // entries in one append
constexpr auto keep_rows = std::int64_t{512};  // entries kept behind a capture
constexpr auto seats_least = std::size_t{3};   // voters that silence alone does not bring below

auto slot(std::int64_t i) -> std::string {
  char buf[32];
  std::snprintf(buf, sizeof buf, "L/e/%016llx", static_cast<unsigned long long>(i));
  return buf;
}
auto to_tree(const std::vector<voter>& p) -> tree {
  auto out = twigs();
  for (const auto& v : p)
    out.push_back(branch{{"addr", v.addr}, {"id", v.id}});
  return out;
}
auto to_panel(const tree& t) -> std::vector<voter> {
  auto out = std::vector<voter>();
  if (t.is_array())
    for (const auto& v : t.get_array())
      out.push_back({str(v, "addr"), str(v, "id")});
  return out;
}

}  // namespace

ledger::ledger(host& hh, const config& c, rules r)
    : h(hh), set(c), law(std::move(r)), disk(*hh.disk()), heat(c.lose * 3 / 8), home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("ledger task ended: ") + x.what());
      spill("a ledger task ended");
    }
  };
  me.addr = c.addr;
  load();
  home.spawn(clock());
  home.spawn(applier());
}

auto ledger::load() -> void {
  auto meta = disk.get("L/meta");
  if (!meta) {
    auto had = false;
    disk.scan("L/", [&](const std::string&, const std::string&) { had = true; });
    if (had) throw verdict("damaged", "the ledger's folder lacks its first record");
    char buf[20];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(h.chance()));
    me.id = buf;
    keep_meta();
    return;
  }
  auto m = unseal(*meta);
  if (num(m, "format") != 1) throw verdict("damaged", "the ledger's format is not 1");
  me.id = str(m, "id");
  term = num(m, "term");
  voted = str(m, "voted");
  founded = yes(m, "founded");
  if (auto cap = disk.get("L/cap")) {
    auto t = unseal(*cap);
    base = num(t, "idx");
    base_term = num(t, "term");
    base_panel = to_panel(sub(t, "panel"));
    base_realm = str_or(t, "realm");
    base_state = sub(t, "state");
    if (!base_state.is_null()) law.restore(base_state);
  }
  agreed = applied = base;
  disk.scan("L/e/", [&](const std::string& k, const std::string& v) {
    auto i = static_cast<std::int64_t>(std::stoull(k.substr(4), nullptr, 16));
    if (i <= base) return;
    if (i != last() + 1) throw verdict("damaged", "the ledger lacks entry " + std::to_string(last() + 1));
    auto t = unseal(v);
    log.push_back({num(t, "t"), sub(t, "d")});
  });
  solid = last();
  seat();
  // It may have promised a leader quiet just before it went down (design 4.4).
  if (term > 0) heard_lead = h.now();
}

auto ledger::keep_meta() -> void {
  disk.put("L/meta",
           seal(branch{{"format", 1}, {"id", me.id}, {"term", term}, {"voted", voted}, {"founded", founded}}));
}

auto ledger::term_at(std::int64_t i) const -> std::int64_t {
  if (i == base) return base_term;
  if (i < base || i > last()) return -1;
  return log[static_cast<std::size_t>(i - base - 1)].term;
}
auto ledger::may_vote() const -> bool { return founded && std::find(panel.begin(), panel.end(), me) != panel.end(); }
auto ledger::seat() -> void {
  panel = panel_at(last());
  realm = base_realm;
  for (const auto& r : log)
    if (realm.empty()) realm = str_or(r.deed, "realm");
}
auto ledger::panel_at(std::int64_t idx) const -> std::vector<voter> {
  auto out = base_panel;
  for (auto i = base + 1; i <= std::min(idx, last()); ++i)
    if (const auto& p = sub(log[static_cast<std::size_t>(i - base - 1)].deed, "panel"); p.is_array()) out = to_panel(p);
  return out;
}
auto ledger::append(row r) -> std::int64_t {
  auto i = last() + 1;
  disk.put(slot(i), seal(branch{{"t", r.term}, {"d", r.deed}}));
  if (const auto& p = sub(r.deed, "panel"); p.is_array()) panel = to_panel(p);
  if (realm.empty()) realm = str_or(r.deed, "realm");
  log.push_back(std::move(r));
  return i;
}
auto ledger::chop(std::int64_t from) -> void {
  while (last() >= from) {
    disk.cut(slot(last()));
    log.pop_back();
  }
  solid = std::min(solid, last());
  seat();
}

auto ledger::answer(bool ok) const -> branch {
  return branch{{"term", term}, {"ok", ok}, {"id", me.id}, {"last", last()}};
}

auto ledger::follow(std::int64_t t, const std::string& who) -> void {
  auto was = role;
  if (t > term) {
    term = t;
    voted.clear();
    keep_meta();
  }
  role = part::follow;
  auto changed = lead != who || was == part::lead;
  lead = who;
  if (was == part::lead) {
    hive::log(grade::note, set.name, "leads no longer, term " + std::to_string(term));
    for (auto& [i, w] : waits) {
      w->lost = true;
      w->done.wake();
    }
    waits.clear();
    marks.clear();
    learners.clear();
    grown.wake();
    beat_in.wake();
  }
  if (changed && law.turned) law.turned();
}

auto ledger::take_lead() -> void {
  role = part::lead;
  lead = me.addr;
  lead_since = h.now();
  marks.clear();
  learners.clear();
  changing = false;
  hive::log(grade::note, set.name, "leads the ledger, term " + std::to_string(term));
  first_own = append({term, branch{{"panel", to_tree(panel)}, {"realm", realm.empty() ? me.id : realm}}});
  home.spawn(settle());
  for (const auto& v : panel) {
    if (v == me) continue;
    marks[v.addr].next = last();
    marks[v.addr].heard = h.now();  // it has just voted, or is given the time to answer
    home.spawn(feed(v.addr, term));
  }
  if (law.turned) law.turned();
}

// Waits for the own disk; then the own copy counts too.
auto ledger::settle() -> task<void> {
  auto upto = last();
  auto t = term;
  try {
    co_await disk.sync();
  } catch (const verdict&) {
    hive::log(grade::grave, set.name, "the ledger's disk fails; giving up the lead");
    if (role == part::lead) follow(term, "");
    co_return;
  }
  if (term == t) solid = std::max(solid, std::min(upto, last()));
  if (role == part::lead) advance();
}

auto ledger::advance() -> void {
  auto all = std::vector<std::int64_t>();
  for (const auto& v : panel) {
    auto it = marks.find(v.addr);
    all.push_back(v == me ? solid : it == marks.end() ? 0 : it->second.match);
  }
  if (all.empty()) return;
  std::sort(all.rbegin(), all.rend());
  auto safe = all[majority() - 1];
  if (safe > agreed && term_at(safe) == term) {
    agreed = safe;
    agreed_more.wake();
    grown.wake();
  }
}

auto ledger::quorum_at() const -> tick {
  auto all = std::vector<tick>();
  for (const auto& v : panel) {
    auto it = marks.find(v.addr);
    all.push_back(v == me ? h.now() : it == marks.end() ? -never : it->second.heard);
  }
  if (all.empty()) return -never;
  std::sort(all.rbegin(), all.rend());
  return all[majority() - 1];
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

auto ledger::reach(const std::string& addr) -> colleague& {
  auto& c = mates[addr];
  if (!c) {
    c = std::make_unique<colleague>(h, colleague::ways{set.name, addr, set.beat, set.lose});
    c->on_gone = [this, addr] { leader_gone(addr); };
  }
  return *c;
}

// The leader's link was closed and its address refuses: its process is dead, and the quiet
// promised to it has no one left to protect (design 4.4).
auto ledger::leader_gone(const std::string& addr) -> void {
  if (role != part::follow || lead != addr) return;
  hive::log(grade::note, set.name, "the leader's process is gone: " + addr);
  heard_lead = -never;
  orphaned = h.now();
  follow(term, "");
  pushed.wake();
}

auto ledger::ask_leader(tree t, tick until) -> task<tree> {
  if (lead.empty() || lead == me.addr)
    throw verdict("no_leader", "no ledger leader is known here", ran::no, set.lose / msec);
  co_return co_await reach(lead).ask(std::move(t), until);
}

// The one clock of the ledger: founding, elections, and a leader that lost its majority.
auto ledger::clock() -> task<void> {
  auto tried = false;
  try {
    co_await disk.sync();
  } catch (const verdict&) {
  }
  while (true) {
    if (disk.broken() && role != part::lead) {  // it cannot vote, stand or enter: it listens
      co_await rest(h, set.beat);
      continue;
    }
    if (!may_vote()) {
      co_await found();
      continue;
    }
    if (role == part::lead) {
      co_await rest(h, set.beat);
      if (role == part::lead && h.now() - quorum_at() > heat) {
        hive::log(grade::warn, set.name, "a majority is out of reach");
        follow(term, "");
        heard_lead = h.now();
        continue;
      }
      // One gone for good must not count in every majority; none goes by silence alone where few are left.
      if (auto row = silent(set.lose * 5); settled() && !changing && panel.size() > seats_least && !row.empty())
        home.spawn(unseat(row.front(), "has been silent for long"));
      continue;
    }
    // The first try of a life goes by the order of the seats: after a start of all, chance would only add to the quiet.
    auto turn = std::find(panel.begin(), panel.end(), me) - panel.begin();
    auto by_seat = turn * set.beat / 2 + static_cast<tick>(h.below(static_cast<std::uint64_t>(set.beat / 4)));
    auto due = std::max(heard_lead, h.now() - heat) + heat +
               (tried ? static_cast<tick>(h.below(static_cast<std::uint64_t>(heat))) : by_seat);
    // Nobody's quiet to keep: at once, one after the other so that the votes do not split.
    if (h.now() - orphaned < heat && h.now() - heard_lead >= heat) due = h.now() + by_seat;
    auto sooner = co_await pushed.wait(h, due);
    if (sooner) continue;
    if (role == part::lead || h.now() - heard_lead < heat) continue;
    if (!may_vote() || leaving || role == part::run) continue;
    if (!lead.empty()) follow(term, "");
    tried = true;
    auto won = co_await run_for(true);
    // Perhaps its seat was given away while it was not there.
    if (!won && !entering && h.now() - heard_lead > set.lose * 2) home.spawn(enter_again());
    if (!won || h.now() - heard_lead < heat) continue;
    won = co_await run_for(false);
    if (won) take_lead();
  }
}

auto ledger::canvass(voter v, tree t, std::shared_ptr<std::set<std::string>> ayes, std::shared_ptr<std::size_t> left,
                     std::shared_ptr<signal> s) -> task<void> {
  try {
    auto r = co_await reach(v.addr).ask(std::move(t), h.now() + heat);
    if (num(r, "term") > term) follow(num(r, "term"), "");
    // An amnesiac's vote does not count: its disk is not the one that was seated.
    if (yes(r, "ok") && str(r, "id") == v.id) ayes->insert(v.addr);
  } catch (const verdict&) {
  }
  --*left;
  s->wake();
}

// `dry` asks first whether it could win, so that a cut-off node does not raise terms.
auto ledger::run_for(bool dry) -> task<bool> {
  auto t = term + 1;
  if (!dry) {
    role = part::run;
    term = t;
    voted = me.addr;
    keep_meta();
    try {
      co_await disk.sync();
    } catch (const verdict&) {
      if (role == part::run) role = part::follow;
      co_return false;
    }
    if (term != t || role != part::run) co_return false;
  }
  auto ayes = std::make_shared<std::set<std::string>>();
  auto left = std::make_shared<std::size_t>(0);  // voters that have not answered
  auto s = std::make_shared<signal>();
  ayes->insert(me.addr);
  auto ballot = tree(branch{{"op", "l.vote"},
                            {"term", t},
                            {"from", me.addr},
                            {"last", last()},
                            {"last_term", term_at(last())},
                            {"dry", dry},
                            {"go", urged}});
  for (const auto& v : panel)
    if (v != me) {
      ++*left;
      home.spawn(canvass(v, ballot, ayes, left, s));
    }
  auto end = h.now() + heat;
  while (ayes->size() < majority() && *left > 0 && h.now() < end) {
    if (dry ? term >= t : (term != t || role != part::run)) co_return false;
    auto in_time = co_await s->wait(h, end);
    if (!in_time) break;
  }
  if (dry) co_return term < t && ayes->size() >= majority();
  if (term != t || role != part::run) co_return false;
  if (ayes->size() >= majority()) co_return true;
  role = part::follow;
  co_return false;
}

auto ledger::usurp() -> task<void> {
  urged = true;
  auto won = co_await run_for(false);
  urged = false;
  if (won) take_lead();
}

auto ledger::on_vote(tree t) -> task<tree> {
  auto ask_term = num(t, "term");
  auto dry = yes(t, "dry");
  auto newer =
      num(t, "last_term") > term_at(last()) || (num(t, "last_term") == term_at(last()) && num(t, "last") >= last());
  // Who still hears a leader keeps it.
  auto content = (role == part::lead || h.now() - heard_lead < heat) && !yes(t, "go");
  if (!may_vote() || ask_term < term || content) co_return answer(false);
  if (dry) co_return answer(newer && ask_term > term);
  if (ask_term > term) follow(ask_term, "");
  auto ok = newer && (voted.empty() || voted == str(t, "from"));
  if (ok) {
    voted = str(t, "from");
    keep_meta();
    heard_lead = h.now();
  }
  co_await disk.sync();
  if (term != ask_term) ok = false;
  co_return answer(ok);
}

auto ledger::on_append(tree t) -> task<tree> {
  auto their = num(t, "term");
  // Meant for the disk that stood here before: what is on this one may be of another ledger.
  if (auto to = str_or(t, "to"); !to.empty() && to != me.id) co_return answer(false);
  if (their < term) co_return answer(false);
  if (their > term || role != part::follow || lead != str(t, "lead")) follow(their, str(t, "lead"));
  heard_lead = h.now();
  auto prev = num(t, "prev");
  auto out = branch();
  if (prev > last() || (prev >= base && term_at(prev) != num(t, "prev_term"))) {
    out = answer(false);
    auto hint = std::min(prev - 1, last());
    auto odd = term_at(hint);
    while (prev <= last() && hint > std::max(base, agreed) && term_at(hint) == odd)
      --hint;
    out["hint"] = std::max(hint, agreed) + 1;
    co_return out;
  }
  auto i = prev;
  for (const auto& r : list(t, "rows")) {
    ++i;
    if (i <= base) continue;
    auto rt = num(r, "t");
    if (i <= last()) {
      if (term_at(i) == rt) continue;
      chop(i);
    }
    append({rt, sub(r, "d")});
  }
  if (!founded && !panel.empty()) {
    founded = true;
    keep_meta();
  }
  if (auto seen = std::min(num(t, "commit"), i); seen > agreed) {
    agreed = seen;
    agreed_more.wake();
  }
  co_await disk.sync();
  if (term != their || i > last()) co_return answer(false);
  solid = std::max(solid, i);
  out = answer(true);
  out["match"] = i;
  co_return out;
}

auto ledger::on_capture(tree t) -> task<tree> {
  auto their = num(t, "term");
  if (auto to = str_or(t, "to"); !to.empty() && to != me.id) co_return answer(false);
  if (their < term) co_return answer(false);
  follow(their, str(t, "lead"));
  heard_lead = h.now();
  auto idx = num(t, "idx");
  if (idx > agreed) {
    for (auto i = base + 1; i <= last(); ++i)
      disk.cut(slot(i));
    log.clear();
    base = idx;
    base_term = num(t, "idx_term");
    base_panel = to_panel(sub(t, "panel"));
    base_realm = str_or(t, "realm");
    base_state = sub(t, "state");
    agreed = applied = solid = base;
    law.restore(base_state);
    disk.put("L/cap", seal(branch{{"idx", base},
                                  {"term", base_term},
                                  {"panel", to_tree(base_panel)},
                                  {"realm", base_realm},
                                  {"state", base_state}}));
    founded = true;
    keep_meta();
    seat();
    agreed_more.wake();
  }
  co_await disk.sync();
  auto out = answer(term == their);
  out["match"] = idx;
  co_return out;
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

auto ledger::send_capture(std::string addr, std::int64_t t) -> task<void> {
  auto state = law.capture();
  auto idx = applied;
  auto q = tree(branch{{"op", "l.capture"},
                       {"term", t},
                       {"lead", me.addr},
                       {"idx", idx},
                       {"idx_term", term_at(idx)},
                       {"to", disk_at(addr)},
                       {"panel", to_tree(panel_at(idx))},
                       {"realm", realm},
                       {"state", std::move(state)}});
  auto r = co_await reach(addr).ask(std::move(q), h.now() + set.lose);
  if (role != part::lead || term != t) co_return;
  if (num(r, "term") > term) co_return follow(num(r, "term"), "");
  if (yes(r, "ok")) {
    marks[addr].match = std::max(marks[addr].match, idx);
    marks[addr].next = idx + 1;
  }
}

// One task per colleague while leading: appends, beats, captures.
auto ledger::feed(std::string addr, std::int64_t t) -> task<void> {
  auto told = std::int64_t{-1};
  auto mine = [&] {
    if (role != part::lead || term != t) return false;
    return learners.count(addr) > 0 || seated(addr);
  };
  while (mine()) {
    auto& m = marks[addr];
    if (m.next < 1) m.next = 1;
    auto failed = false;
    try {
      if (m.next <= base) {
        co_await send_capture(addr, t);
        if (!mine()) break;
      }
      auto prev = marks[addr].next - 1;
      auto rows = twigs();
      for (auto i = prev + 1; i <= last() && rows.size() < rows_most && i > base; ++i) {
        const auto& r = log[static_cast<std::size_t>(i - base - 1)];
        rows.push_back(branch{{"t", r.term}, {"d", r.deed}});
      }
      auto sent = h.now();
      auto upto = agreed;
      auto q = tree(branch{{"op", "l.append"},
                           {"term", t},
                           {"lead", me.addr},
                           {"to", disk_at(addr)},
                           {"prev", prev},
                           {"prev_term", term_at(prev)},
                           {"commit", upto},
                           {"rows", std::move(rows)}});
      auto r = co_await reach(addr).ask(std::move(q), h.now() + heat);
      if (!mine()) break;
      auto seat_id = std::string();
      for (const auto& v : panel)
        if (v.addr == addr) seat_id = v.id;
      auto right = seat_id.empty() || seat_id == str(r, "id");
      auto& k = marks[addr];
      if (num(r, "term") > term) {
        follow(num(r, "term"), "");
        break;
      }
      if (right) k.heard = sent;
      if (yes(r, "ok")) {
        if (right) k.match = std::max(k.match, num(r, "match"));
        k.next = num(r, "match") + 1;
        told = upto;
      } else {
        k.next = std::max<std::int64_t>(1, num_or(r, "hint", k.next - 1));
        told = -1;
      }
      advance();
      beat_in.wake();
      if (!right) failed = true;
    } catch (const verdict&) {
      failed = true;
    }
    if (!mine()) break;
    if (failed) {
      co_await rest(h, set.beat);
    } else if (marks[addr].next > last() && told >= agreed) {
      co_await grown.wait(h, h.now() + set.beat);
    }
  }
}

auto ledger::propose(tree deed, tick until) -> task<tree> {
  if (role != part::lead) throw verdict("no_leader", "this queen does not lead", ran::no, set.beat / msec);
  auto w = std::make_shared<wait>();
  w->term = term;
  auto i = append({term, std::move(deed)});
  waits[i] = w;
  home.spawn(settle());
  grown.wake();
  while (!w->out && !w->lost) {
    auto in_time = co_await w->done.wait(h, until);
    if (!in_time) break;
  }
  if (!w->out) throw verdict("unclear", "the ledger did not agree in time", ran::maybe, set.beat / msec);
  co_return std::move(*w->out);
}

auto ledger::fresh(tick until) -> task<void> {
  auto asked = h.now();
  auto t = term;
  auto fail = verdict("no_leader", "no majority confirms the newest state now", ran::no, set.lose / msec);
  if (role != part::lead) throw fail;
  auto first = first_own;
  grown.wake();
  while (quorum_at() < asked) {
    auto in_time = co_await beat_in.wait(h, until);
    if (!in_time || role != part::lead || term != t) throw fail;
  }
  auto upto = std::max(agreed, first);
  while (applied < upto) {
    auto in_time = co_await agreed_more.wait(h, until);
    if (!in_time || role != part::lead || term != t) throw fail;
  }
}

auto ledger::applier() -> task<void> {
  while (true) {
    while (applied < agreed) {
      auto i = applied + 1;
      auto r = log[static_cast<std::size_t>(i - base - 1)];
      auto out = sub(r.deed, "panel").is_array() ? tree(branch{{"ok", true}}) : law.apply(i, r.deed);
      applied = i;
      if (role == part::lead && i == first_own && law.turned) law.turned();  // settled: it speaks for the majority now
      if (auto it = waits.find(i); it != waits.end()) {
        if (it->second->term == r.term)
          it->second->out = std::move(out);
        else
          it->second->lost = true;
        it->second->done.wake();
        waits.erase(it);
      }
      agreed_more.wake();
    }
    shrink();
    co_await agreed_more.wait(h);
  }
}

// Bounded growth: a capture replaces the entries before it.
auto ledger::shrink() -> void {
  if (applied - base < keep_rows * 2) return;
  auto upto = applied;
  auto state = law.capture();
  auto t = term_at(upto);
  base_panel = panel_at(upto);
  base_realm = realm;
  for (auto i = base + 1; i <= upto; ++i) {
    log.pop_front();
    disk.cut(slot(i));
  }
  base = upto;
  base_term = t;
  base_state = std::move(state);
  disk.put("L/cap", seal(branch{{"idx", base},
                                {"term", base_term},
                                {"panel", to_tree(base_panel)},
                                {"realm", base_realm},
                                {"state", base_state}}));
  home.spawn(settle());
}

// A colleague told to run now does not wait for silence; voters let it (`go`).
auto ledger::yield(tick until) -> task<void> {
  leaving = true;
  while (role == part::lead && h.now() < until) {
    for (const auto& v : panel) {
      if (v == me || marks[v.addr].match < last()) continue;
      try {
        auto q = tree(branch{{"op", "l.run"}, {"term", term}});
        co_await reach(v.addr).ask(std::move(q), h.now() + heat);
      } catch (const verdict&) {
        continue;
      }
      co_await rest(h, set.beat);
      break;
    }
    co_await rest(h, set.beat / 4);
  }
}

auto ledger::ask(std::string op, tree t) -> task<tree> {
  if (op == "l.vote") co_return co_await on_vote(std::move(t));
  if (op == "l.append") co_return co_await on_append(std::move(t));
  if (op == "l.capture") co_return co_await on_capture(std::move(t));
  if (op == "l.enter") co_return co_await on_enter(std::move(t));
  if (op == "l.run") {
    if (num(t, "term") == term && role == part::follow && may_vote()) home.spawn(usurp());
    co_return branch{{"ok", true}};
  }
  if (op == "l.who") {
    auto mate = std::find(panel.begin(), panel.end(), voter{str_or(t, "addr"), str_or(t, "id")}) != panel.end();
    co_return branch{
        {"id", me.id}, {"founded", founded}, {"empty", term == 0 && last() == 0}, {"lead", lead}, {"mate", mate}};
  }
  throw verdict("malformed", "unknown request " + op);
}

auto ledger::stand() const -> tree {
  // The leader knows how each voter is; the others name them only.
  auto rows = to_tree(panel).as_array();
  if (role == part::lead) {
    auto tell = [&](branch& row, const std::string& addr, const char* seat) {
      auto it = marks.find(addr);
      auto here = addr == me.addr;
      row["seat"] = seat;
      row["behind"] = here ? last() - solid : it == marks.end() ? last() : last() - it->second.match;
      row["silent_ms"] = here ? 0 : it == marks.end() ? -1 : (h.now() - it->second.heard) / msec;
    };
    for (auto& r : rows)
      tell(r.as_object(), str(r, "addr"), "voter");
    for (const auto& [a, disk_there] : learners) {
      auto row = branch{{"addr", a}, {"id", disk_there}};
      tell(row, a, "enters");
      rows.push_back(row);
    }
  }
  return branch{{"role", role == part::lead  ? "leader"
                         : role == part::run ? "candidate"
                         : may_vote()        ? "follower"
                                             : "learner"},
                {"leader", lead},
                {"term", term},
                {"last", last()},
                {"agreed", agreed},
                {"applied", applied},
                {"base", base},
                {"voters", rows},
                {"changing", role == part::lead && changing},
                {"disk", me.id}};
}

}  // namespace hive
