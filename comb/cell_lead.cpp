// Who leads a partition: claims, going live, halting (design 6.5).
#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
auto cell::propose(cell_row next, std::string why) -> task<bool> {
  auto d = next.to_tree();
  d.as_object()["k"] = "cell";
  d.as_object()["id"] = id;
  d.as_object()["epoch"] = row.epoch;
  d.as_object()["why"] = why;
  auto r = co_await g.ses.propose(std::move(d), h.now() + g.set.lose);
  auto got = cell_row::from_tree(sub(r, "row"));
  if (yes(r, "ok")) {
    auto mine = got.prim == me();
    if (got.epoch > row.epoch) row = got;
    co_return mine || got.prim == next.prim;
  }
  meet(got);
  co_return false;
}

// The ledger's word. Who lost a claim halts and takes the part it is given.
auto cell::meet(const cell_row& r) -> void {
  if (r.epoch <= row.epoch) return;
  // Another backup was faster: its time to be heard begins now.
  if (role == part::back && r.prim != row.prim) heard = h.now();
  row = r;
  lord_gone = false;
  if (role == part::prim && r.prim != me()) halt("epoch " + std::to_string(r.epoch) + " is led by " + r.prim);
  if (role == part::prim && r.prim == me()) {
    hive::log(grade::note, g.set.name, id + ": own move found in the ledger");
    stir.wake();
    return;
  }
  if (r.prim != me() && r.in_step(me()) && role != part::back) {
    role = part::back;
    back_at = heard = h.now();
    rows_in.wake();
  }
  if (!r.holds(me()) && role == part::back && lord_epoch < r.epoch) role = part::idle;
  stir.wake();
}

auto cell::go_live() -> void {
  spoken = last();  // by whoever led before
  // A cell founded again after all its copies were lost counts on above every
  // position it ever gave out, and knows nothing older (design 6.10).
  if (last() < row.root << 32) {
    wipe();
    base = shelf = applied = solid = row.root << 32;
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
  solid = std::min(solid, last());
  ++stint;
  role = part::prim;
  outs.clear();
  mates.clear();
  proving.clear();
  fresh_back.clear();
  barred.clear();
  wires.clear();
  handing = false;
  share = 1;
  clock_at = paced = window = h.now();
  for (const auto& [sid, l] : state.open)
    lonely[sid] = h.now();
  hive::log(grade::note, g.set.name,
            id + ": live at epoch " + std::to_string(row.epoch) + ", entry " + std::to_string(last()));
  auto ops = std::vector<tree>{branch{{"k", "v"}, {"e", row.epoch}, {"m", me()}}};
  if (auto l = law_entry()) ops.push_back(*l);
  operate(std::move(ops));
  for (const auto& m : row.backups())
    start_feed(m);
}

auto cell::give_up(const std::string& why) -> void {
  auto v = verdict("unclear", why, ran::maybe, g.set.beat * 2 / msec);
  for (auto& [k, row_] : waits)
    for (auto& s : row_) {
      s->bad = v;
      s->done.wake();
    }
  waits.clear();
  for (auto& p : outs)
    if (p.to) {
      p.to->bad = v;
      p.to->done.wake();
      p.to.reset();
      p.out.what = output::kind::accepted;
      p.out.ids = {""};
    }
}

auto cell::halt(const std::string& why) -> void {
  if (role != part::prim) return;
  hive::log(grade::warn, g.set.name, id + ": halts: " + why);
  role = part::idle;
  ++stint;
  give_up("the cell is led elsewhere now");
  outs.clear();
  mates.clear();
  proving.clear();
  auto told = std::set<wire_ptr>();
  for (auto& [sid, e] : wires)
    if (told.insert(e.w).second) e.w->tell(branch{{"op", "moved"}, {"cell", id}});
  wires.clear();
  lonely.clear();
  grown.wake();
  if (row.prim != me() && row.holds(me())) {
    role = part::back;
    back_at = heard = h.now();
    rows_in.wake();
  }
}

auto cell::claim(std::string why) -> task<void> {
  auto next = row;
  next.prim = me();
  // A kept cell's in-step set stays: only one that has all may ever claim.
  // Where nothing is kept, the lone winner goes on alone, as in the paper.
  auto was_silent = row.prim != me();
  auto gone = row.prim;
  auto silent = was_silent || row.step.size() < 2;
  if (!kept() && silent) next.step = {me()};
  hive::log(grade::note, g.set.name, id + ": claims epoch " + std::to_string(row.epoch + 1) + ": " + why);
  try {
    auto won = co_await propose(next, why);
    if (won && row.prim == me()) {
      // From here on nothing of an older epoch is taken in; what was is replayed in
      // full first, at the pace at which this node replays.
      auto mine = row.epoch;
      lord = me();
      lord_epoch = mine;
      auto begun = h.now();
      auto left = [this] {
        for (auto i = last(); i > applied && i > base; --i)
          if (log[static_cast<std::size_t>(i - base - 1)].go) return true;
        return false;
      };
      rows_in.wake();
      for (auto told = h.now() - g.set.beat; role != part::prim && row.epoch == mine && left();
           co_await rest(h, g.set.beat / 50)) {
        if (h.now() - told < g.set.beat) continue;
        // A long replay is no silence: without a word the pair would claim in turn, and so on for ever.
        told = h.now();
        for (const auto& m : row.step)
          if (const auto* s = g.ses.known.find(name_of(m)); m != me() && s && s->member() == m)
            g.reach(s->addr).tell(branch{{"op", "c.wait"}, {"cell", id}, {"epoch", mine}});
      }
      if (role == part::prim || row.epoch != mine) co_return;
      go_live();
      hive::log(grade::note, g.set.name,
                id + ": replayed for " + std::to_string((h.now() - begun) / msec) + " ms before it went live");
      hurry = true;                         // its new pair is sought at once
      if (was_silent) barred.insert(gone);  // not to be drawn before it is heard again
      // The silence that led to the claim counts against its copy too.
      if (was_silent && mates.count(gone)) mates[gone].heard = h.now() - g.set.lose - 1;
      spill(id + " taken over: " + why);
    }
  } catch (const verdict& v) {
    hive::log(grade::note, g.set.name, id + ": claim waits: " + v.what());
  }
}

// The life of the cell here: follow the ledger, notice silence, claim, tend.
auto cell::watch() -> task<void> {
  auto patience = h.spread(g.set.beat);
  // The backups' patience differs by their place in the row, so that mostly one claims first.
  auto rank = [&] {
    auto backups = row.backups();
    return std::find(backups.begin(), backups.end(), me()) - backups.begin();
  };
  while (true) {
    auto end = h.now() + g.set.beat;
    while (h.now() < end && !hurry) {
      auto in_time = co_await stir.wait(h, end);
      if (in_time) break;
    }
    hurry = false;
    if (!g.ses.fresh()) continue;
    if (auto it = g.ses.known.cells.find(id); it != g.ses.known.cells.end()) meet(it->second);
    try {
      if (role == part::prim) {
        co_await tend();
      } else if (broken || row.epoch == 0 || g.leaving()) {
        continue;
      } else if (row.prim == me()) {
        co_await claim(row.epoch == 1 ? "first start" : "its primary is back");
      } else if (row.in_step(me()) && disk_lost(row.prim)) {
        co_await claim("its primary's disk is lost");
      } else if (row.in_step(me()) && (lord_gone || h.now() - std::max({heard, born_at, back_at}) >
                                                        g.set.lose + patience + g.set.beat * rank())) {
        co_await claim(lord_gone ? "its primary's process is gone" : "its primary is silent");
        patience = h.spread(g.set.beat);
      }
    } catch (const verdict& v) {
      hive::log(grade::fine, g.set.name, id + ": " + v.what());
    }
  }
}

}  // namespace hive
