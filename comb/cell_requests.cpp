// What callers ask of a partition's primary, and when its outputs may leave (design 6.3, 6.7).
#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
// The Output Rule: nothing above this index may leave (paper 2.2). A kept
// cell also wants its own disk and each backup's to have it; alone it says nothing.
auto cell::safe() const -> std::int64_t {
  auto out = solid;
  if (row.step.size() < 2 && kept()) return -1;
  auto count = [&](const std::string& m) {
    auto it = mates.find(m);
    out = std::min(out, it == mates.end() ? -1 : it->second.got);
  };
  for (const auto& m : row.step)
    if (m != row.prim) count(m);
  for (const auto& m : proving)
    count(m);
  return out;
}

auto cell::release() -> void {
  if (role != part::prim) return;
  auto upto = safe();
  while (!outs.empty() && outs.front().idx <= upto) {
    auto p = std::move(outs.front());
    outs.pop_front();
    spoken = std::max(spoken, p.idx);
    dispatch(p);
  }
}

auto cell::dispatch(pending& p) -> void {
  if (p.to) {
    p.to->out = std::move(p.reply);
    p.to->done.wake();
    return;
  }
  auto& o = p.out;
  if (o.what == output::kind::accepted) {
    auto it = waits.find({o.ids[0], {o.topic, o.msg.seq}});
    if (it == waits.end()) return;
    for (auto& s : it->second) {
      s->out = branch{{"pos", o.pos}};
      s->done.wake();
    }
    waits.erase(it);
  } else if (o.what == output::kind::deliver) {
    auto by = std::vector<std::pair<wire_ptr, twigs>>();
    for (const auto& i : o.ids) {
      auto it = wires.find(i);
      if (it == wires.end() || p.idx < it->second.from) continue;
      auto at = std::find_if(by.begin(), by.end(), [&](auto& b) { return b.first == it->second.w; });
      if (at == by.end()) at = by.insert(by.end(), {it->second.w, {}});
      at->second.emplace_back(i);
    }
    for (auto& [w, ids] : by) {
      if (w->owed() > static_cast<std::size_t>(g.set.buffer)) {
        w->drop();  // it comes back and resumes by position
        continue;
      }
      w->tell(branch{{"op", "got"},
                     {"i", ids},
                     {"t", o.topic},
                     {"pos", o.pos},
                     {"d", o.msg.from},
                     {"s", o.msg.seq},
                     {"b", o.msg.body},
                     {"w", o.msg.wall}});
    }
  } else if (o.what == output::kind::opened || o.what == output::kind::gone) {
    auto it = wires.find(o.ids[0]);
    if (it == wires.end() || p.idx < it->second.from) return;
    it->second.w->tell(branch{{"op", "subbed"},
                              {"i", o.ids[0]},
                              {"n", it->second.turn},
                              {"ok", o.what == output::kind::opened},
                              {"pos", o.pos},
                              {"code", o.what == output::kind::gone ? "gone" : "ok"}});
    if (o.what == output::kind::gone) wires.erase(it);
  }
}

// The gradual slowing's pace: how many publishes this share lets in now.
auto cell::pace() -> void {
  auto now = h.now();
  if (now - window >= sec) {
    peak = std::max<double>(share >= 1 ? 0 : peak, static_cast<double>(in_window));
    in_window = 0;
    window = now;
  }
  auto rate = share * std::max(peak, 1.0);
  tokens = std::min(tokens + rate * static_cast<double>(now - paced) / sec, std::max(rate / 4, 1.0));
  paced = now;
}

auto cell::publish(const tree& t, slot_ptr s) -> void {
  auto refuse = [&](verdict v) {
    s->bad = std::move(v);
    s->done.wake();
  };
  if (role != part::prim) return refuse({"not_here", id + " is not led here", ran::no, g.set.beat / msec});
  auto who = str(t, "d"), topic = str(t, "t"), body = str(t, "b");
  auto seq = num(t, "s");
  auto again = g.set.beat * 2 / msec;  // a new pair mostly stands by then
  auto k = std::pair(who, std::pair(topic, seq));
  switch (state.weigh(who, topic, seq)) {
    case standing::below:
      return refuse({"below", "a higher sequence number was accepted already", ran::no});
    case standing::repeat:
      if (doubtful())
        refuse({"unclear", "accepted here, the second copy does not answer: send it again", ran::maybe, again});
      else if (auto it = waits.find(k); it != waits.end())
        it->second.push_back(s);
      else if (applied > safe() && lone())
        refuse({"unclear", "accepted here, not yet safe: send it again", ran::maybe, again});
      else {
        outs.push_back({applied, {}, s, branch{{"repeat", true}}});
        release();
      }
      return;
    case standing::fresh:
      break;
  }
  if (handing) return refuse({"moving", id + " is changing hands", ran::no, g.set.beat / msec});
  if (lone()) return refuse({"lone", "a kept space takes nothing until its second copy stands", ran::no, again});
  // The buffer towards a backup is full: the primary stops (paper 3.2).
  for (const auto& m : row.step) {
    auto it = m == row.prim ? mates.end() : mates.find(m);
    if (it == mates.end()) continue;
    auto bytes = std::size_t{0};
    auto from = std::max(it->second.done, base);
    for (auto i = from + 1; i <= last() && bytes <= static_cast<std::size_t>(g.set.buffer); ++i)
      bytes += entry_bytes(log[static_cast<std::size_t>(i - base - 1)].e);
    if (bytes > static_cast<std::size_t>(g.set.buffer)) {
      ++stops;
      return refuse({"full", "the log buffer is full", ran::no, g.set.lag / msec});
    }
  }
  pace();
  if (share < 1) {
    if (tokens < 1) {
      ++slowed;
      return refuse({"slow", "the backup lags; admission is slowed", ran::no, g.set.beat / msec});
    }
    tokens -= 1;
  }
  ++in_window;
  ++admitted;
  waits[k].push_back(s);
  auto ops = clock_entry();
  auto e = branch{{"k", "p"}, {"t", topic}, {"d", who}, {"s", seq}, {"b", body}, {"w", h.wall()}};
  // How long its space keeps it is the forager's word, which let it in by its charter.
  if (const auto& keep = sub(t, "keep"); keep.is_int64()) e["keep"] = keep;
  ops.emplace_back(std::move(e));
  operate(std::move(ops));
  if (doubtful()) give_up("the second copy does not answer");
}

// Something waits for a copy, and that has been still for three beats, in each of which it acks
// at least once: nobody is kept waiting for what may not come. The entries stay; a repeat is acked
// as soon as they are safe.
auto cell::doubtful() const -> bool {
  if (!kept() || safe() >= last()) return false;
  return std::any_of(row.step.begin(), row.step.end(), [&](const auto& m) {
    auto it = m == row.prim ? mates.end() : mates.find(m);
    return it != mates.end() && it->second.got < last() && h.now() - it->second.heard > g.set.beat * 3;
  });
}

auto cell::lone() const -> bool {
  return kept() &&
         std::none_of(row.step.begin(), row.step.end(), [&](const auto& m) { return m != row.prim && in_touch(m); });
}

auto cell::subscribe(const tree& t, const wire_ptr& w) -> void {
  auto sid = str(t, "i");
  if (role != part::prim || handing) {
    w->tell(branch{
        {"op", "subbed"}, {"i", sid}, {"n", num_or(t, "n", 0)}, {"ok", false}, {"code", "not_here"}, {"pos", 0}});
    return;
  }
  if (num(t, "a") > applied) {
    w->tell(branch{
        {"op", "subbed"}, {"i", sid}, {"n", num_or(t, "n", 0)}, {"ok", false}, {"code", "ahead"}, {"pos", applied}});
    return;
  }
  // Asked again over the same link while the answer waits for its output: that answer
  // comes. To log it anew would push the answer out each time, for ever on slow disks.
  auto turn = num_or(t, "n", 0);
  // And one of an earlier opening may come late, over a link that was given up since.
  // A forager of the first landing does not count: each of its asks is an opening.
  if (auto it = wires.find(sid);
      turn > 0 && it != wires.end() && (it->second.turn > turn || (it->second.w == w && it->second.turn == turn)))
    return;
  wires[sid] = {w, last() + 1, turn};
  lonely.erase(sid);
  operate({branch{{"k", "s"}, {"i", sid}, {"t", str(t, "t")}, {"d", str(t, "d")}, {"a", num(t, "a")}}});
}

auto cell::finish(const std::string& sid) -> void {
  wires.erase(sid);
  lonely.erase(sid);
  if (role == part::prim && !handing && state.open.count(sid)) operate({branch{{"k", "e"}, {"i", sid}}});
}

auto cell::read(const tree& t, slot_ptr s) -> void {
  if (role != part::prim) {
    s->bad = verdict("not_here", id + " is not led here", ran::no, g.set.beat / msec);
    s->done.wake();
    return;
  }
  auto rows = twigs();
  auto after = num(t, "a");
  auto it = state.topics.find(str(t, "t"));
  auto gone = it != state.topics.end() && after < it->second.floor;
  if (it != state.topics.end())
    for (const auto& m : it->second.kept)
      if (m.pos > after && rows.size() < 1000)
        rows.push_back(branch{{"pos", m.pos}, {"from", m.from}, {"seq", m.seq}, {"body", m.body}, {"at", m.wall}});
  auto out = branch{{"rows", rows}, {"expired", gone}, {"pos", applied}};
  outs.push_back({applied, {}, s, out});
  release();
}

// Subscribers are counted from the replayed state, each caller once, whatever old link of it
// still lingers. One whose forager's link has gone counts for as long as a new one may take.
auto cell::count(const tree& t, slot_ptr s) -> void {
  if (role != part::prim) {
    s->bad = verdict("not_here", id + " is not led here", ran::no, g.set.beat / msec);
    s->done.wake();
    return;
  }
  auto who = std::set<std::string_view>();
  if (auto it = state.topics.find(str(t, "t")); it != state.topics.end())
    for (const auto& sid : it->second.open)
      if (auto l = lonely.find(sid); l == lonely.end() || h.now() - l->second < g.set.lose)
        who.insert(state.open.at(sid).who);
  outs.push_back({applied, {}, s, branch{{"count", who.size()}}});
  release();
}

auto cell::lost(const wire_ptr& w) -> void {
  for (auto it = wires.begin(); it != wires.end();) {
    if (it->second.w == w) {
      lonely[it->first] = h.now();
      it = wires.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace hive
