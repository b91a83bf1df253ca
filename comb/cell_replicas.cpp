// What a primary owes its copies: slowing down for them, replacing them, handing over (design 6.6, 6.7).
#include <algorithm>

#include "comb/cell.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto cut_by = 0.03;  // the slow loop moves the share by a few percent (paper 3.2)
constexpr auto least_share = 0.05;
constexpr auto pair = std::size_t{2};
constexpr auto copy_spans = 15;  // a copy that is not in step after so many `lose` is given up

}  // namespace

// Where nothing is kept one backup is enough: what is lost with both was never promised for longer.
auto cell::copies_wanted() const -> std::size_t {
  return kept() ? std::max(pair, static_cast<std::size_t>(g.set.copies)) : pair;
}

auto cell::lost_backups() const -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& m : row.backups()) {
    auto it = mates.find(m);
    auto silent = it == mates.end() || (!in_touch(m) && h.now() - it->second.heard > g.set.lose);
    if (silent || disk_lost(m)) out.insert(m);
  }
  return out;
}

auto cell::leaves(const std::string& member) const -> bool {
  const auto* s = g.ses.known.find(name_of(member));
  return s ? g.ses.known.leaves(*s) : g.ses.known.leavings.count(name_of(member)) > 0;
}

auto cell::wish() const -> placement_wish {
  auto out = placement_wish();
  for (const auto& w : g.ses.wishes()) {
    if (str_or(w, "cell") != id) continue;
    out.hand_over = yes(w, "hand");
    out.lead = str_or(w, "lead");
    const auto* s = g.ses.known.find(str_or(w, "back"));
    if (!s || s->leaving || row.in_step(s->member())) continue;
    out.backup = s->member();
    out.replaced = str_or(w, "replaced");
  }
  return out;
}

// The in-step set once this member is in it: without what is lost, and of the rest, above the number wanted, without
// the one whose place it takes, those that leave, and the first of the others.
auto cell::step_with(const std::string& member, const placement_wish& wished) const -> std::vector<std::string> {
  auto lost = lost_backups();
  auto stay = std::vector<std::string>();
  for (const auto& m : row.backups())
    if (!lost.count(m) && name_of(m) != name_of(member)) stay.push_back(m);
  auto go = [&](const auto& which) {
    while (stay.size() + 2 > copies_wanted()) {
      auto it = std::find_if(stay.begin(), stay.end(), which);
      if (it == stay.end()) break;
      stay.erase(it);
    }
  };
  if (wished.backup == member) go([&](const auto& m) { return name_of(m) == wished.replaced; });
  go([&](const auto& m) { return leaves(m); });
  go([](const auto&) { return true; });
  auto out = std::vector<std::string>{me()};
  out.insert(out.end(), stay.begin(), stay.end());
  out.push_back(member);
  return out;
}

auto cell::tend() -> task<void> {
  log_time();
  forget_strays();
  slow_for_lag();
  co_await drop_lost();
  if (role == part::prim) co_await restore_copies();
  if (role == part::prim) co_await hand_over();
}

auto cell::log_time() -> void {
  auto law_step = law_entry();
  if (handing || (!law_step && h.now() - clock_at < g.set.lose / 4)) return;
  auto ops = clock_entry();
  if (law_step) ops.push_back(*law_step);
  if (!ops.empty()) operate(std::move(ops));
}

auto cell::forget_strays() -> void {
  // A move whose answer was lost, but which the ledger has taken.
  if (!fresh_back.empty() && row.in_step(fresh_back)) {
    fresh_back.clear();
    barred.clear();
  }
  // A move without an answer may still come about, until the epoch it builds on is past.
  if (fresh_back.empty() && unsure != row.epoch) proving.clear();
  std::erase_if(mates, [&](const auto& k) { return !row.in_step(k.first) && k.first != fresh_back; });
  auto drop = std::vector<std::string>();
  for (auto& [sid, at] : lonely)
    if (h.now() - at > g.set.resend) drop.push_back(sid);
  for (auto& sid : drop)
    finish(sid);
  for (const auto& m : row.backups())
    start_feed(m);
}

// Gradual slowing by the largest real-time lag of replay.
auto cell::slow_for_lag() -> void {
  auto heard_one = false;
  auto lag = tick{0};
  for (const auto& m : row.backups()) {
    auto it = mates.find(m);
    // A backup that is not heard does not lag, it may be gone: that is not for slowing to mend.
    if (it == mates.end() || !it->second.joined || h.now() - it->second.heard >= g.set.beat * 3) continue;
    heard_one = true;
    lag = std::max(lag, lag_of(it->second));
  }
  if (!heard_one) return;
  // Lag that falls already is let fall: the backlog drains at the share found.
  auto rising = lag >= lag_was;
  lag_was = (lag_was + lag) / 2;
  if (g.set.slowing && lag > g.set.lag && rising) {
    if (share >= 1) pace();
    share = std::max(least_share, share - cut_by);
  } else if (share < 1 && lag < g.set.lag / 2) {
    share = std::min(1.0, share + cut_by / 3);
  }
}

// Backups that are lost go from the row at once, where one in touch stays: outputs wait for all in step. Where
// nothing is kept the primary may go on alone; where messages are kept its set shrinks no further than two.
auto cell::drop_lost() -> task<void> {
  auto lost = lost_backups();
  auto backups = row.backups();
  auto stays =
      std::any_of(backups.begin(), backups.end(), [&](const auto& m) { return !lost.count(m) && in_touch(m); });
  if (((!lost.empty() && !stays) || doubtful()) && !waits.empty()) give_up("the second copy is out of reach");
  if (lost.empty() || (kept() && !stays)) co_return;
  auto next = row;
  std::erase_if(next.step, [&](const auto& m) { return lost.count(m) > 0; });
  auto won = co_await propose(next, "a backup is silent");
  if (!won || role != part::prim) co_return;
  for (const auto& m : lost) {
    mates.erase(m);
    hive::log(grade::note, g.set.name, id + ": goes on without " + m);
  }
  release();
}

auto cell::restore_copies() -> task<void> {
  auto lost = lost_backups();
  auto sound = row.backups();
  std::erase_if(sound, [&](const auto& m) { return lost.count(m) > 0 || leaves(m); });
  auto short_of = sound.size() + 1 < copies_wanted();
  auto wished = wish();
  if (fresh_back.empty() && short_of && (sound.empty() || h.now() >= next_draw)) co_await draw_copy(sound);
  if (role != part::prim) co_return;
  // Where no node is left to draw, what there is may still be evened out.
  if (fresh_back.empty() && !sound.empty() && !wished.backup.empty()) begin_copy(wished.backup);
  if (!short_of && fresh_back != wished.backup && !fresh_back.empty() && unsure != row.epoch) {
    mates.erase(fresh_back);  // not needed any more
    fresh_back.clear();
  }
  if (!fresh_back.empty()) co_await bring_in_step();
}

auto cell::begin_copy(const std::string& member) -> void {
  fresh_back = member;
  fresh_since = h.now();
  mates.erase(member);
  start_feed(member);
}

// Asks for a node for another copy, beside those that stay.
auto cell::draw_copy(const std::vector<std::string>& stay) -> task<void> {
  auto bar = twigs{me()};  // members, not names: a lost disk's successor may be drawn
  for (const auto& m : row.backups())
    bar.emplace_back(m);
  for (const auto& m : barred)
    bar.emplace_back(m);
  auto q = tree(branch{
      {"op", "draw"}, {"cell", id}, {"zone", g.set.zone}, {"not", bar}, {"with", twigs(stay.begin(), stay.end())}});
  try {
    auto r = co_await g.ses.ask(std::move(q), h.now() + g.set.budget);
    if (role != part::prim) co_return;
    auto member = str(r, "member");
    hive::log(grade::note, g.set.name, id + ": draws " + member + " for its pair");
    begin_copy(member);
  } catch (const verdict& v) {
    barred.clear();
    next_draw = h.now() + g.set.lose / 2;
    hive::log(grade::fine, g.set.name, id + ": " + v.what());
  }
}

// From when the copy is near, outputs want its ack too; it is in step only once it has all whose outputs left before:
// it may be alone with them a moment later (design 6.6).
auto cell::bring_in_step() -> task<void> {
  auto mine = fresh_back;
  auto& k = mates[mine];
  auto near = in_touch(mine) && std::min(k.got, k.done) >= last() - near_entries;
  if (near) proving.insert(mine);
  if (near && k.got < spoken) co_return;  // on_ack tells when it has them
  if (!near) {
    auto still = h.now() - std::max(fresh_since, k.heard) > g.set.lose;
    if (k.gone || still || h.now() - fresh_since > g.set.lose * copy_spans) co_await give_up_copy();
    co_return;
  }
  auto next = row;
  next.step = step_with(mine, wish());
  auto won = false;
  try {
    won = co_await propose(next, "redundancy restored");
  } catch (const verdict& v) {
    if (v.run != ran::no)
      unsure = row.epoch;
    else if (unsure != row.epoch)
      proving.clear();
    throw;
  }
  if (unsure != row.epoch) proving.clear();
  if (!won || role != part::prim) co_return;
  fresh_back.clear();
  barred.clear();
  share = 1;
  lag_was = 0;
  hive::log(grade::note, g.set.name, id + ": pair is " + mine + " now");
  hurry = row.step.size() < copies_wanted();  // the next copy is sought at once
  release();
}

auto cell::give_up_copy() -> task<void> {
  hive::log(grade::note, g.set.name, id + ": gives up on " + fresh_back);
  if (unsure == row.epoch) {  // first it must be known that the move will never come about
    auto won = co_await propose(row, "settles a move without an answer");
    if (!won || role != part::prim) co_return;
    proving.clear();
  }
  barred.insert(fresh_back);
  mates.erase(fresh_back);
  fresh_back.clear();
}

// Going, or for a wish: hands over to a backup that has everything.
auto cell::hand_over() -> task<void> {
  auto wished = wish();
  auto going = wished.hand_over || g.leaving() || g.ses.known.leaves(g.ses.me);
  if (!going) co_return;
  auto lost = lost_backups();
  auto heir = std::string();
  for (const auto& m : row.backups()) {
    if (lost.count(m) || !in_touch(m) || leaves(m)) continue;
    if (heir.empty() || name_of(m) == wished.lead) heir = m;
  }
  if (heir.empty()) co_return;
  handing = true;
  auto end = h.now() + g.set.lose;
  auto has_all = [&] { return mates.count(heir) > 0 && mates[heir].got >= last(); };
  while (role == part::prim && h.now() < end && (!outs.empty() || !has_all() || solid < last())) {
    grown.wake();
    co_await rest(h, g.set.beat / 8);
  }
  if (role == part::prim && outs.empty() && has_all()) {
    auto next = row;
    next.prim = heir;
    try {
      co_await propose(next, "handed over");
    } catch (const verdict&) {
    }
  }
  if (role == part::prim && row.prim == me())
    handing = false;
  else if (role == part::prim)
    halt("handed over to " + row.prim);
}

}  // namespace hive
