// Elections: who leads, when a voter runs, how a leader hands over (design 4.1, 4.4).
#include <algorithm>

#include "ledger/ledger.hpp"
#include "ledger/storage.hpp"
#include "wax/ring.hpp"

namespace hive {

auto ledger::may_vote() const -> bool { return founded && std::find(panel.begin(), panel.end(), me) != panel.end(); }

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

}  // namespace hive
