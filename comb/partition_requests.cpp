// What callers ask of a partition's primary, and when its outputs may leave (design 6.3, 6.7).
#include "comb/partition.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
// The Output Rule: nothing above this index may leave (paper 2.2). A kept
// cell also wants its own disk and each backup's to have it; alone it says nothing.
auto partition::safe() const -> std::int64_t {
  auto out = synced;
  if (row.step.size() < 2 && kept()) return -1;
  auto count = [&](const std::string& m) {
    auto it = replicas.find(m);
    out = std::min(out, it == replicas.end() ? -1 : it->second.acked);
  };
  for (const auto& m : row.step)
    if (m != row.prim) count(m);
  for (const auto& m : proving)
    count(m);
  return out;
}

auto partition::release() -> void {
  if (role != replica_role::primary) return;
  auto upto = safe();
  while (!pending_outputs.empty() && pending_outputs.front().idx <= upto) {
    auto p = std::move(pending_outputs.front());
    pending_outputs.pop_front();
    released = std::max(released, p.idx);
    dispatch(p);
  }
}

auto partition::dispatch(pending& p) -> void {
  if (p.to) {
    p.to->out = std::move(p.reply);
    p.to->done.wake();
    return;
  }
  auto& o = p.out;
  if (o.what == output::kind::accepted) {
    auto it = waiting_publishes.find({o.ids[0], {o.topic, o.msg.seq}});
    if (it == waiting_publishes.end()) return;
    for (auto& s : it->second) {
      s->out = branch{{"pos", o.pos}};
      s->done.wake();
    }
    waiting_publishes.erase(it);
  } else if (o.what == output::kind::deliver) {
    auto by = std::vector<std::pair<wire_ptr, twigs>>();
    for (const auto& i : o.ids) {
      auto it = subscribers.find(i);
      if (it == subscribers.end() || p.idx < it->second.from) continue;
      auto at = std::find_if(by.begin(), by.end(), [&](auto& b) { return b.first == it->second.w; });
      if (at == by.end()) at = by.insert(by.end(), {it->second.w, {}});
      at->second.emplace_back(i);
    }
    for (auto& [w, ids] : by) {
      if (w->owed() > static_cast<std::size_t>(context.set.buffer)) {
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
    auto it = subscribers.find(o.ids[0]);
    if (it == subscribers.end() || p.idx < it->second.from) return;
    it->second.w->tell(branch{{"op", "subbed"},
                              {"i", o.ids[0]},
                              {"n", it->second.turn},
                              {"ok", o.what == output::kind::opened},
                              {"pos", o.pos},
                              {"code", o.what == output::kind::gone ? "gone" : "ok"}});
    if (o.what == output::kind::gone) subscribers.erase(it);
  }
}

// The gradual slowing's pace: how many publishes this share lets in now.
auto partition::refill_tokens() -> void {
  auto now = h.now();
  if (now - window >= sec) {
    peak = std::max<double>(share >= 1 ? 0 : peak, static_cast<double>(in_window));
    in_window = 0;
    window = now;
  }
  auto rate = share * std::max(peak, 1.0);
  tokens = std::min(tokens + rate * static_cast<double>(now - refilled_at) / sec, std::max(rate / 4, 1.0));
  refilled_at = now;
}

auto partition::publish(const tree& t, pending_reply_ptr s) -> void {
  auto refuse = [&](verdict v) {
    s->bad = std::move(v);
    s->done.wake();
  };
  if (role != replica_role::primary)
    return refuse({"not_here", id + " is not led here", ran::no, context.set.beat / msec});
  auto who = str(t, "d"), topic = str(t, "t"), body = str(t, "b");
  auto seq = num(t, "s");
  auto again = context.set.beat * 2 / msec;  // a new pair mostly stands by then
  auto k = std::pair(who, std::pair(topic, seq));
  switch (state.weigh(who, topic, seq)) {
    case standing::below:
      return refuse({"below", "a higher sequence number was accepted already", ran::no});
    case standing::repeat:
      if (awaits_silent_backup())
        refuse({"unclear", "accepted here, the second copy does not answer: send it again", ran::maybe, again});
      else if (auto it = waiting_publishes.find(k); it != waiting_publishes.end())
        it->second.push_back(s);
      else if (applied > safe() && unreplicated())
        refuse({"unclear", "accepted here, not yet safe: send it again", ran::maybe, again});
      else {
        pending_outputs.push_back({applied, {}, s, branch{{"repeat", true}}});
        release();
      }
      return;
    case standing::fresh:
      break;
  }
  if (handing_over) return refuse({"moving", id + " is changing hands", ran::no, context.set.beat / msec});
  if (unreplicated())
    return refuse({"lone", "a kept space takes nothing until its second copy stands", ran::no, again});
  // The buffer towards a backup is full: the primary stops (paper 3.2).
  for (const auto& m : row.step) {
    auto it = m == row.prim ? replicas.end() : replicas.find(m);
    if (it == replicas.end()) continue;
    auto bytes = std::size_t{0};
    auto from = std::max(it->second.done, base);
    for (auto i = from + 1; i <= last() && bytes <= static_cast<std::size_t>(context.set.buffer); ++i)
      bytes += entry_bytes(log[static_cast<std::size_t>(i - base - 1)].e);
    if (bytes > static_cast<std::size_t>(context.set.buffer)) {
      ++stops;
      return refuse({"full", "the log buffer is full", ran::no, context.set.lag / msec});
    }
  }
  refill_tokens();
  if (share < 1) {
    if (tokens < 1) {
      ++slowed;
      return refuse({"slow", "the backup lags; admission is slowed", ran::no, context.set.beat / msec});
    }
    tokens -= 1;
  }
  ++in_window;
  ++admitted;
  waiting_publishes[k].push_back(s);
  auto ops = clock_entry();
  auto e = branch{{"k", "p"}, {"t", topic}, {"d", who}, {"s", seq}, {"b", body}, {"w", h.wall()}};
  // How long its space keeps it is the forager's word, which let it in by its charter.
  if (const auto& keep = sub(t, "keep"); keep.is_int64()) e["keep"] = keep;
  ops.emplace_back(std::move(e));
  operate(std::move(ops));
  if (awaits_silent_backup()) refuse_waiting("the second copy does not answer");
}

// Something waits for a copy, and that has been still for three beats, in each of which it acks
// at least once: nobody is kept waiting for what may not come. The entries stay; a repeat is acked
// as soon as they are safe.
auto partition::awaits_silent_backup() const -> bool {
  if (!kept() || safe() >= last()) return false;
  return std::any_of(row.step.begin(), row.step.end(), [&](const auto& m) {
    auto it = m == row.prim ? replicas.end() : replicas.find(m);
    return it != replicas.end() && it->second.acked < last() && h.now() - it->second.heard > context.set.beat * 3;
  });
}

auto partition::unreplicated() const -> bool {
  return kept() &&
         std::none_of(row.step.begin(), row.step.end(), [&](const auto& m) { return m != row.prim && in_touch(m); });
}

auto partition::subscribe(const tree& t, const wire_ptr& w) -> void {
  auto sid = str(t, "i");
  if (role != replica_role::primary || handing_over) {
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
  if (auto it = subscribers.find(sid);
      turn > 0 && it != subscribers.end() && (it->second.turn > turn || (it->second.w == w && it->second.turn == turn)))
    return;
  subscribers[sid] = {w, last() + 1, turn};
  unlinked.erase(sid);
  operate({branch{{"k", "s"}, {"i", sid}, {"t", str(t, "t")}, {"d", str(t, "d")}, {"a", num(t, "a")}}});
}

auto partition::finish(const std::string& sid) -> void {
  subscribers.erase(sid);
  unlinked.erase(sid);
  if (role == replica_role::primary && !handing_over && state.open.count(sid))
    operate({branch{{"k", "e"}, {"i", sid}}});
}

auto partition::read(const tree& t, pending_reply_ptr s) -> void {
  if (role != replica_role::primary) {
    s->bad = verdict("not_here", id + " is not led here", ran::no, context.set.beat / msec);
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
  pending_outputs.push_back({applied, {}, s, out});
  release();
}

// Subscribers are counted from the replayed state, each caller once, whatever old link of it
// still lingers. One whose forager's link has gone counts for as long as a new one may take.
auto partition::count(const tree& t, pending_reply_ptr s) -> void {
  if (role != replica_role::primary) {
    s->bad = verdict("not_here", id + " is not led here", ran::no, context.set.beat / msec);
    s->done.wake();
    return;
  }
  auto who = std::set<std::string_view>();
  if (auto it = state.topics.find(str(t, "t")); it != state.topics.end())
    for (const auto& sid : it->second.open)
      if (auto l = unlinked.find(sid); l == unlinked.end() || h.now() - l->second < context.set.lose)
        who.insert(state.open.at(sid).who);
  pending_outputs.push_back({applied, {}, s, branch{{"count", who.size()}}});
  release();
}

auto partition::lost(const wire_ptr& w) -> void {
  for (auto it = subscribers.begin(); it != subscribers.end();) {
    if (it->second.w == w) {
      unlinked[it->first] = h.now();
      it = subscribers.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace hive
