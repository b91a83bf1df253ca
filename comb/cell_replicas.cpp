// What a primary owes its copies: slowing down for them, replacing them, handing over (design 6.6, 6.7).
#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto cut_by = 0.03;  // the slow loop moves the share by a few percent (paper 3.2)
constexpr auto least_share = 0.05;

}  // namespace

// What a primary owes its pair: feeding it, replacing it, handing over.
auto cell::tend() -> task<void> {
  auto law_step = law_entry();
  if (!handing && (law_step || h.now() - clock_at >= g.set.lose / 4)) {
    auto ops = clock_entry();
    if (law_step) ops.push_back(*law_step);
    if (!ops.empty()) operate(std::move(ops));
  }
  // A move whose answer was lost, but which the ledger has taken.
  if (!fresh_back.empty() && row.back == fresh_back) {
    fresh_back.clear();
    barred.clear();
  }
  // A move without an answer may still come about, until the epoch it builds on is past.
  if (fresh_back.empty() && unsure != row.epoch) proving.clear();
  for (auto it = mates.begin(); it != mates.end();)
    it = it->first != row.back && it->first != fresh_back ? mates.erase(it) : std::next(it);
  auto drop = std::vector<std::string>();
  for (auto& [sid, at] : lonely)
    if (h.now() - at > g.set.resend) drop.push_back(sid);
  for (auto& sid : drop)
    finish(sid);
  start_feed(row.back);

  // Gradual slowing by the real-time lag of replay.
  auto back = mates.find(row.back);
  // A backup that is not heard does not lag, it may be gone: that is not for slowing to mend.
  if (back != mates.end() && back->second.joined && h.now() - back->second.heard < g.set.beat * 3) {
    auto lag = lag_of(back->second);
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

  auto away = [&](const std::string& m) {
    const auto* s = g.ses.known.find(name_of(m));
    return s ? g.ses.known.leaves(*s) : g.ses.known.leavings.count(name_of(m)) > 0;
  };
  auto silent = !row.back.empty() && !in_touch(row.back) && h.now() - mates[row.back].heard > g.set.lose;
  auto lost_back = silent || disk_lost(row.back);
  if ((lost_back || doubtful()) && !waits.empty()) give_up("the second copy is out of reach");
  if (lost_back && !kept() && row.step.size() > 1) {
    auto next = row;
    next.back.clear();
    next.step = {me()};
    auto old = row.back;
    auto won = co_await propose(next, "the backup is silent");
    if (!won || role != part::prim) co_return;
    mates.erase(old);
    hive::log(grade::note, g.set.name, id + ": goes on alone");
    release();
  }
  // A wish of the placement: another backup, or to hand over to the one that is.
  auto wish_back = std::string();
  auto wish_hand = false;
  for (const auto& w : g.ses.wishes()) {
    if (str_or(w, "cell") != id) continue;
    wish_hand = yes(w, "hand");
    const auto* s = g.ses.known.find(str_or(w, "back"));
    if (s && !s->leaving && s->zone != g.set.zone && s->member() != row.back) wish_back = s->member();
  }
  auto sound = !row.back.empty() && !lost_back && !away(row.back);
  if (sound && !wish_back.empty() && fresh_back.empty()) {
    fresh_back = wish_back;
    fresh_since = h.now();
    mates.erase(fresh_back);
    start_feed(fresh_back);
  }
  auto want = !sound || !wish_back.empty();
  if (want && fresh_back.empty()) {
    auto bar = twigs{me()};  // members, not names: a lost disk's successor may be drawn
    if (!row.back.empty()) bar.emplace_back(row.back);
    for (const auto& n : barred)
      bar.emplace_back(n);
    auto q = tree(branch{{"op", "draw"}, {"cell", id}, {"zone", g.set.zone}, {"not", bar}});
    try {
      auto r = co_await g.ses.ask(std::move(q), h.now() + g.set.budget);
      if (role != part::prim) co_return;
      fresh_back = str(r, "member");
      hive::log(grade::note, g.set.name, id + ": draws " + fresh_back + " for its pair");
      fresh_since = h.now();
      mates.erase(fresh_back);
      start_feed(fresh_back);
    } catch (const verdict&) {
      barred.clear();
      throw;
    }
  }
  if (!want && !fresh_back.empty() && unsure != row.epoch) {
    mates.erase(fresh_back);
    fresh_back.clear();
  }
  if (!fresh_back.empty()) {
    auto& k = mates[fresh_back];
    auto near = in_touch(fresh_back) && std::min(k.got, k.done) >= last() - near_entries;
    // From here on outputs want its ack too; it is in step only once it has all whose outputs
    // left before: it may be alone with them a moment later (design 6.6).
    if (near) proving.insert(fresh_back);
    if (near && k.got < spoken) {
      // on_ack tells when it has them
    } else if (near) {
      auto next = row;
      auto mine = fresh_back;
      next.back = mine;
      next.step = {me(), mine};
      auto old = row.back;
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
      if (old != mine) mates.erase(old);
      fresh_back.clear();
      barred.clear();
      share = 1;
      lag_was = 0;
      hive::log(grade::note, g.set.name, id + ": pair is " + mine + " now");
      release();
    } else if (k.gone || h.now() - std::max(fresh_since, k.heard) > g.set.lose ||
               h.now() - fresh_since > g.set.lose * 15) {
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
  }
  // Going: hand over to a pair that has everything.
  auto going = (wish_hand && sound) || g.leaving() || g.ses.known.leaves(g.ses.me);
  if (going && !row.back.empty() && in_touch(row.back) && !away(row.back)) {
    handing = true;
    auto end = h.now() + g.set.lose;
    while (role == part::prim && h.now() < end && (!outs.empty() || mates[row.back].got < last() || solid < last())) {
      grown.wake();
      co_await rest(h, g.set.beat / 8);
    }
    if (role == part::prim && outs.empty() && mates[row.back].got >= last()) {
      auto next = row;
      next.prim = row.back;
      next.back = me();
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
}

}  // namespace hive
