// What a primary owes its copies: slowing down for them, replacing them, handing over (design 6.6, 6.7).
#include <algorithm>

#include "comb/partition.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto cut_by = 0.03;  // the slow loop moves the share by a few percent (paper 3.2)
constexpr auto least_share = 0.05;
constexpr auto pair = std::size_t{2};
constexpr auto copy_spans = 15;  // a copy that is not in step after so many `lose` is given up

}  // namespace

// Where nothing is kept one backup is enough: what is lost with both was never promised for longer.
auto partition::copies_wanted() const -> std::size_t {
  return kept() ? std::max(pair, static_cast<std::size_t>(context.set.copies)) : pair;
}

auto partition::lost_backups() const -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& m : row.backups()) {
    auto it = replicas.find(m);
    auto silent = it == replicas.end() || (!in_touch(m) && h.now() - it->second.heard > context.set.lose);
    if (silent || disk_lost(m)) out.insert(m);
  }
  return out;
}

auto partition::leaves(const std::string& member) const -> bool {
  const auto* s = context.ses.known.find(name_of(member));
  return s ? context.ses.known.leaves(*s) : context.ses.known.leavings.count(name_of(member)) > 0;
}

auto partition::wish() const -> placement_wish {
  auto out = placement_wish();
  for (const auto& w : context.ses.wishes()) {
    if (str_or(w, "cell") != id) continue;
    out.hand_over = yes(w, "hand");
    out.lead = str_or(w, "lead");
    const auto* s = context.ses.known.find(str_or(w, "back"));
    if (!s || s->leaving || row.in_step(s->member())) continue;
    out.backup = s->member();
    out.replaced = str_or(w, "replaced");
  }
  return out;
}

// The in-step set once this member is in it: without what is lost, and of the rest, above the number wanted, without
// the one whose place it takes, those that leave, and the first of the others.
auto partition::step_with(const std::string& member, const placement_wish& wished) const -> std::vector<std::string> {
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

auto partition::tend_replicas() -> task<void> {
  log_time();
  forget_strays();
  slow_for_lag();
  co_await drop_lost();
  if (role == replica_role::primary) co_await restore_copies();
  if (role == replica_role::primary) co_await hand_over();
}

auto partition::log_time() -> void {
  auto law_step = configuration_entry();
  if (handing_over || (!law_step && h.now() - clock_at < context.set.lose / 4)) return;
  auto ops = clock_entry();
  if (law_step) ops.push_back(*law_step);
  if (!ops.empty()) operate(std::move(ops));
}

auto partition::forget_strays() -> void {
  // A move whose answer was lost, but which the ledger has taken.
  if (!joining.empty() && row.in_step(joining)) {
    joining.clear();
    excluded.clear();
  }
  // A move without an answer may still come about, until the epoch it builds on is past.
  if (joining.empty() && unsettled_epoch != row.epoch) proving.clear();
  std::erase_if(replicas, [&](const auto& k) { return !row.in_step(k.first) && k.first != joining; });
  auto drop = std::vector<std::string>();
  for (auto& [sid, at] : unlinked)
    if (h.now() - at > context.set.resend) drop.push_back(sid);
  for (auto& sid : drop)
    finish(sid);
  for (const auto& m : row.backups())
    start_feed(m);
}

// Gradual slowing by the largest real-time lag of replay.
auto partition::slow_for_lag() -> void {
  auto heard_one = false;
  auto lag = tick{0};
  for (const auto& m : row.backups()) {
    auto it = replicas.find(m);
    // A backup that is not heard does not lag, it may be gone: that is not for slowing to mend.
    if (it == replicas.end() || !it->second.joined || h.now() - it->second.heard >= context.set.beat * 3) continue;
    heard_one = true;
    lag = std::max(lag, lag_of(it->second));
  }
  if (!heard_one) return;
  // Lag that falls already is let fall: the backlog drains at the share found.
  auto rising = lag >= lag_was;
  lag_was = (lag_was + lag) / 2;
  if (context.set.slowing && lag > context.set.lag && rising) {
    if (share >= 1) refill_tokens();
    share = std::max(least_share, share - cut_by);
  } else if (share < 1 && lag < context.set.lag / 2) {
    share = std::min(1.0, share + cut_by / 3);
  }
}

// Backups that are lost go from the row at once, where one in touch stays: outputs wait for all in step. Where
// nothing is kept the primary may go on alone; where messages are kept its set shrinks no further than two.
auto partition::drop_lost() -> task<void> {
  auto lost = lost_backups();
  auto backups = row.backups();
  auto stays =
      std::any_of(backups.begin(), backups.end(), [&](const auto& m) { return !lost.count(m) && in_touch(m); });
  if (((!lost.empty() && !stays) || awaits_silent_backup()) && !waiting_publishes.empty())
    refuse_waiting("the second copy is out of reach");
  if (lost.empty() || (kept() && !stays)) co_return;
  auto next = row;
  std::erase_if(next.step, [&](const auto& m) { return lost.count(m) > 0; });
  auto won = co_await propose(next, "a backup is silent");
  if (!won || role != replica_role::primary) co_return;
  for (const auto& m : lost) {
    replicas.erase(m);
    hive::log(grade::note, context.set.name, id + ": goes on without " + m);
  }
  release();
}

auto partition::restore_copies() -> task<void> {
  auto lost = lost_backups();
  auto sound = row.backups();
  std::erase_if(sound, [&](const auto& m) { return lost.count(m) > 0 || leaves(m); });
  auto short_of = sound.size() + 1 < copies_wanted();
  auto wished = wish();
  if (joining.empty() && short_of && (sound.empty() || h.now() >= next_draw)) co_await draw_copy(sound);
  if (role != replica_role::primary) co_return;
  // Where no node is left to draw, what there is may still be evened out.
  if (joining.empty() && !sound.empty() && !wished.backup.empty()) begin_copy(wished.backup);
  if (!short_of && joining != wished.backup && !joining.empty() && unsettled_epoch != row.epoch) {
    replicas.erase(joining);  // not needed any more
    joining.clear();
  }
  if (!joining.empty()) co_await bring_in_step();
}

auto partition::begin_copy(const std::string& member) -> void {
  joining = member;
  joining_since = h.now();
  replicas.erase(member);
  start_feed(member);
}

// Asks for a node for another copy, beside those that stay.
auto partition::draw_copy(const std::vector<std::string>& stay) -> task<void> {
  auto bar = twigs{me()};  // members, not names: a lost disk's successor may be drawn
  for (const auto& m : row.backups())
    bar.emplace_back(m);
  for (const auto& m : excluded)
    bar.emplace_back(m);
  auto q = tree(branch{{"op", "draw"},
                       {"cell", id},
                       {"zone", context.set.zone},
                       {"not", bar},
                       {"with", twigs(stay.begin(), stay.end())}});
  try {
    auto r = co_await context.ses.ask(std::move(q), h.now() + context.set.budget);
    if (role != replica_role::primary) co_return;
    auto member = str(r, "member");
    hive::log(grade::note, context.set.name, id + ": draws " + member + " for its pair");
    begin_copy(member);
  } catch (const verdict& v) {
    excluded.clear();
    next_draw = h.now() + context.set.lose / 2;
    hive::log(grade::fine, context.set.name, id + ": " + v.what());
  }
}

// From when the copy is near, outputs want its ack too; it is in step only once it has all whose outputs left before:
// it may be alone with them a moment later (design 6.6).
auto partition::bring_in_step() -> task<void> {
  auto mine = joining;
  auto& k = replicas[mine];
  auto near = in_touch(mine) && std::min(k.acked, k.done) >= last() - near_entries;
  if (near) proving.insert(mine);
  if (near && k.acked < released) co_return;  // on_ack tells when it has them
  if (!near) {
    auto still = h.now() - std::max(joining_since, k.heard) > context.set.lose;
    if (k.gone || still || h.now() - joining_since > context.set.lose * copy_spans) co_await give_up_copy();
    co_return;
  }
  auto next = row;
  next.step = step_with(mine, wish());
  auto won = false;
  try {
    won = co_await propose(next, "redundancy restored");
  } catch (const verdict& v) {
    if (v.run != ran::no)
      unsettled_epoch = row.epoch;
    else if (unsettled_epoch != row.epoch)
      proving.clear();
    throw;
  }
  if (unsettled_epoch != row.epoch) proving.clear();
  if (!won || role != replica_role::primary) co_return;
  joining.clear();
  excluded.clear();
  share = 1;
  lag_was = 0;
  hive::log(grade::note, context.set.name, id + ": pair is " + mine + " now");
  look_at_once = row.step.size() < copies_wanted();  // the next copy is sought at once
  release();
}

auto partition::give_up_copy() -> task<void> {
  hive::log(grade::note, context.set.name, id + ": gives up on " + joining);
  if (unsettled_epoch == row.epoch) {  // first it must be known that the move will never come about
    auto won = co_await propose(row, "settles a move without an answer");
    if (!won || role != replica_role::primary) co_return;
    proving.clear();
  }
  excluded.insert(joining);
  replicas.erase(joining);
  joining.clear();
}

// Going, or for a wish: hands over to a backup that has everything.
auto partition::hand_over() -> task<void> {
  auto wished = wish();
  auto going = wished.hand_over || context.leaving() || context.ses.known.leaves(context.ses.me);
  if (!going) co_return;
  auto lost = lost_backups();
  auto heir = std::string();
  for (const auto& m : row.backups()) {
    if (lost.count(m) || !in_touch(m) || leaves(m)) continue;
    if (heir.empty() || name_of(m) == wished.lead) heir = m;
  }
  if (heir.empty()) co_return;
  handing_over = true;
  auto end = h.now() + context.set.lose;
  auto has_all = [&] { return replicas.count(heir) > 0 && replicas[heir].acked >= last(); };
  while (role == replica_role::primary && h.now() < end &&
         (!pending_outputs.empty() || !has_all() || synced < last())) {
    log_grown.wake();
    co_await rest(h, context.set.beat / 8);
  }
  if (role == replica_role::primary && pending_outputs.empty() && has_all()) {
    auto next = row;
    next.prim = heir;
    try {
      co_await propose(next, "handed over");
    } catch (const verdict&) {
    }
  }
  if (role == replica_role::primary && row.prim == me())
    handing_over = false;
  else if (role == replica_role::primary)
    halt("handed over to " + row.prim);
}

}  // namespace hive
