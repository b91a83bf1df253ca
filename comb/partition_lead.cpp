// Who leads a partition: claims, going live, halting (design 6.5).
#include "comb/partition.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
auto partition::propose(cell_row next, std::string why) -> task<bool> {
  auto d = next.to_tree();
  d.as_object()["k"] = "cell";
  d.as_object()["id"] = id;
  d.as_object()["epoch"] = row.epoch;
  d.as_object()["why"] = why;
  auto r = co_await context.ses.propose(std::move(d), h.now() + context.set.lose);
  auto got = cell_row::from_tree(sub(r, "row"));
  if (yes(r, "ok")) {
    auto mine = got.prim == me();
    if (got.epoch > row.epoch) row = got;
    co_return mine || got.prim == next.prim;
  }
  apply_row(got);
  co_return false;
}

// The ledger's word. Who lost a claim halts and takes the part it is given.
auto partition::apply_row(const cell_row& r) -> void {
  if (r.epoch <= row.epoch) return;
  // Another backup was faster: its time to be heard begins now.
  if (role == replica_role::backup && r.prim != row.prim) heard = h.now();
  row = r;
  followed_gone = false;
  if (role == replica_role::primary && r.prim != me())
    halt("epoch " + std::to_string(r.epoch) + " is led by " + r.prim);
  if (role == replica_role::primary && r.prim == me()) {
    hive::log(grade::note, context.set.name, id + ": own move found in the ledger");
    wake_up.wake();
    return;
  }
  if (r.prim != me() && r.in_step(me()) && role != replica_role::backup) {
    role = replica_role::backup;
    back_at = heard = h.now();
    entries_received.wake();
  }
  if (!r.holds(me()) && role == replica_role::backup && followed_epoch < r.epoch) role = replica_role::idle;
  wake_up.wake();
}

auto partition::go_live() -> void {
  released = last();  // by whoever led before
  // A cell founded again after all its copies were lost counts on above every
  // position it ever gave out, and knows nothing older (design 6.10).
  if (last() < row.root << 32) {
    wipe();
    base = trimmed = applied = synced = row.root << 32;
    base_epoch = row.root;
    state.root = base;
    disk.put("C/" + id + "/s",
             seal(branch{{"format", 1}, {"idx", base}, {"epoch", base_epoch}, {"state", state.capture()}}));
  }
  // All up to the last go-live point has been replayed (paper 2.3); the rest is cut off.
  while (last() > base && !log.back().go) {
    disk.cut(key(last()));
    log.pop_back();
  }
  if (applied < last()) throw std::logic_error(id + " would go live with entries not replayed");
  synced = std::min(synced, last());
  ++leadership;
  role = replica_role::primary;
  pending_outputs.clear();
  replicas.clear();
  proving.clear();
  joining.clear();
  excluded.clear();
  subscribers.clear();
  handing_over = false;
  share = 1;
  clock_at = refilled_at = window = h.now();
  for (const auto& [sid, l] : state.open)
    unlinked[sid] = h.now();
  hive::log(grade::note, context.set.name,
            id + ": live at epoch " + std::to_string(row.epoch) + ", entry " + std::to_string(last()));
  auto ops = std::vector<tree>{branch{{"k", "v"}, {"e", row.epoch}, {"m", me()}}};
  if (auto l = configuration_entry()) ops.push_back(*l);
  operate(std::move(ops));
  for (const auto& m : row.backups())
    start_feed(m);
}

auto partition::refuse_waiting(const std::string& why) -> void {
  auto v = verdict("unclear", why, ran::maybe, context.set.beat * 2 / msec);
  for (auto& [k, row_] : waiting_publishes)
    for (auto& s : row_) {
      s->bad = v;
      s->done.wake();
    }
  waiting_publishes.clear();
  for (auto& p : pending_outputs)
    if (p.to) {
      p.to->bad = v;
      p.to->done.wake();
      p.to.reset();
      p.out.what = output::kind::accepted;
      p.out.ids = {""};
    }
}

auto partition::halt(const std::string& why) -> void {
  if (role != replica_role::primary) return;
  hive::log(grade::warn, context.set.name, id + ": halts: " + why);
  role = replica_role::idle;
  ++leadership;
  refuse_waiting("the cell is led elsewhere now");
  pending_outputs.clear();
  replicas.clear();
  proving.clear();
  auto told = std::set<wire_ptr>();
  for (auto& [sid, e] : subscribers)
    if (told.insert(e.w).second) e.w->tell(branch{{"op", "moved"}, {"cell", id}});
  subscribers.clear();
  unlinked.clear();
  log_grown.wake();
  if (row.prim != me() && row.holds(me())) {
    role = replica_role::backup;
    back_at = heard = h.now();
    entries_received.wake();
  }
}

auto partition::claim(std::string why) -> task<void> {
  auto next = row;
  next.prim = me();
  // A kept cell's in-step set stays: only one that has all may ever claim.
  // Where nothing is kept, the lone winner goes on alone, as in the paper.
  auto was_silent = row.prim != me();
  auto gone = row.prim;
  auto silent = was_silent || row.step.size() < 2;
  if (!kept() && silent) next.step = {me()};
  hive::log(grade::note, context.set.name, id + ": claims epoch " + std::to_string(row.epoch + 1) + ": " + why);
  try {
    auto won = co_await propose(next, why);
    if (won && row.prim == me()) {
      // From here on nothing of an older epoch is taken in; what was is replayed in
      // full first, at the pace at which this node replays.
      auto mine = row.epoch;
      followed = me();
      followed_epoch = mine;
      auto begun = h.now();
      auto left = [this] {
        for (auto i = last(); i > applied && i > base; --i)
          if (log[static_cast<std::size_t>(i - base - 1)].go) return true;
        return false;
      };
      entries_received.wake();
      for (auto told = h.now() - context.set.beat; role != replica_role::primary && row.epoch == mine && left();
           co_await rest(h, context.set.beat / 50)) {
        if (h.now() - told < context.set.beat) continue;
        // A long replay is no silence: without a word the pair would claim in turn, and so on for ever.
        told = h.now();
        for (const auto& m : row.step)
          if (const auto* s = context.ses.known.find(name_of(m)); m != me() && s && s->member() == m)
            context.reach(s->addr).tell(branch{{"op", "c.wait"}, {"cell", id}, {"epoch", mine}});
      }
      if (role == replica_role::primary || row.epoch != mine) co_return;
      go_live();
      hive::log(grade::note, context.set.name,
                id + ": replayed for " + std::to_string((h.now() - begun) / msec) + " ms before it went live");
      look_at_once = true;                    // its new pair is sought at once
      if (was_silent) excluded.insert(gone);  // not to be drawn before it is heard again
      // The silence that led to the claim counts against its copy too.
      if (was_silent && replicas.count(gone)) replicas[gone].heard = h.now() - context.set.lose - 1;
      spill(id + " taken over: " + why);
    }
  } catch (const verdict& v) {
    hive::log(grade::note, context.set.name, id + ": claim waits: " + v.what());
  }
}

// The life of the cell here: follow the ledger, notice silence, claim, tend.
auto partition::follow_and_lead() -> task<void> {
  auto patience = h.spread(context.set.beat);
  // The backups' patience differs by their place in the row, so that mostly one claims first.
  auto rank = [&] {
    auto backups = row.backups();
    return std::find(backups.begin(), backups.end(), me()) - backups.begin();
  };
  while (true) {
    auto end = h.now() + context.set.beat;
    while (h.now() < end && !look_at_once) {
      auto in_time = co_await wake_up.wait(h, end);
      if (in_time) break;
    }
    look_at_once = false;
    if (!context.ses.fresh()) continue;
    if (auto it = context.ses.known.cells.find(id); it != context.ses.known.cells.end()) apply_row(it->second);
    try {
      if (role == replica_role::primary) {
        co_await tend_replicas();
      } else if (broken || row.epoch == 0 || context.leaving()) {
        continue;
      } else if (row.prim == me()) {
        co_await claim(row.epoch == 1 ? "first start" : "its primary is back");
      } else if (row.in_step(me()) && disk_lost(row.prim)) {
        co_await claim("its primary's disk is lost");
      } else if (row.in_step(me()) && (followed_gone || h.now() - std::max({heard, born_at, back_at}) >
                                                            context.set.lose + patience + context.set.beat * rank())) {
        co_await claim(followed_gone ? "its primary's process is gone" : "its primary is silent");
        patience = h.spread(context.set.beat);
      }
    } catch (const verdict& v) {
      hive::log(grade::fine, context.set.name, id + ": " + v.what());
    }
  }
}

}  // namespace hive
