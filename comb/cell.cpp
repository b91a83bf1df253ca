#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto frame_bytes = std::size_t{256} << 10;
constexpr auto rows_kept = std::size_t{1024};
constexpr auto cut_by = 0.03;  // the slow loop moves the share by a few percent (paper 3.2)
constexpr auto least_share = 0.05;
constexpr auto near_by = std::int64_t{256};  // entries between a primary and a copy that may be its pair

auto heft(const tree& e) -> std::size_t {
  const auto& b = sub(e, "b");
  return 64 + (b.is_string() ? b.get_string().size() : 0);
}

}  // namespace

cell::cell(ground gg, std::string i) : id(std::move(i)), g(std::move(gg)), h(g.h), disk(*h.disk()), home(h) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, g.set.name, id + ": task ended: " + x.what());
      spill("a cell's task ended");
      halt("a task of it ended");
      broken = true;
    }
  };
  born_at = h.now();
  try {
    load();
  } catch (const std::exception& e) {
    // Torn or altered bytes: never served; the pair makes this copy anew (design 6.8).
    hive::log(grade::grave, g.set.name, id + ": own copy is damaged: " + e.what());
    spill("a damaged copy of " + id);
    wipe();
    broken = true;
  }
  home.spawn(watch());
  home.spawn(settle());
  home.spawn(replay());
}

auto cell::key(std::int64_t i) const -> std::string {
  char buf[24];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(i));
  return "C/" + id + "/e/" + buf;
}

auto cell::epoch_at(std::int64_t i) const -> std::int64_t {
  if (i == base) return base_epoch;
  if (i < base || i > last()) return -1;
  return log[static_cast<std::size_t>(i - base - 1)].epoch;
}

auto cell::load() -> void {
  if (auto s = disk.get("C/" + id + "/s")) {
    auto t = unseal(*s);
    if (num(t, "format") != 1) throw bad_bytes("format is not 1");
    base = num(t, "idx");
    base_epoch = num(t, "epoch");
    state = hoard::restore(sub(t, "state"));
  }
  shelf = base;
  auto at = base;
  disk.scan("C/" + id + "/e/", [&](const std::string& k, const std::string& v) {
    auto i = static_cast<std::int64_t>(std::stoull(k.substr(k.rfind('/') + 1), nullptr, 16));
    if (i <= base) return;
    if (i != ++at) throw bad_bytes("entry " + std::to_string(at) + " is missing");
    auto t = unseal(v);
    log.push_back({num(t, "v"), yes(t, "g"), sub(t, "e"), h.now()});
  });
  applied = base;
  solid = disk.settled() ? last() : 0;  // what was only queued counts after its sync
  if (last() > 0)
    hive::log(grade::note, g.set.name,
              id + ": own copy holds entries " + std::to_string(base + 1) + " to " + std::to_string(last()));
}

auto cell::wipe() -> void {
  auto keys = std::vector<std::string>();
  try {
    disk.scan("C/" + id + "/", [&](const std::string& k, const std::string&) { keys.push_back(k); });
  } catch (const bad_bytes&) {
  }
  for (auto& k : keys)
    disk.cut(k);
  for (auto i = shelf + 1; i <= last(); ++i)
    disk.cut(key(i));  // also those behind a damaged record, where the scan ended
  ++wipes;
  log.clear();
  state = hoard();
  base = base_epoch = applied = solid = shelf = 0;
}

auto cell::push(entry e) -> std::int64_t {
  auto i = last() + 1;
  disk.put(key(i), seal(branch{{"v", e.epoch}, {"g", e.go}, {"e", e.e}}));
  if (str(e.e, "k") != "c") urgent = true;
  log.push_back(std::move(e));
  dirty.wake();
  return i;
}

auto cell::save() -> void {
  if (log.size() < rows_kept * 2) return;
  disk.put("C/" + id + "/s",
           seal(branch{{"format", 1}, {"idx", applied}, {"epoch", epoch_at(applied)}, {"state", state.capture()}}));
  for (auto i = shelf + 1; i <= applied; ++i)
    disk.cut(key(i));
  shelf = applied;
  while (log.size() > rows_kept && base < applied) {
    base_epoch = log.front().epoch;
    log.pop_front();
    ++base;
  }
}

// One operation of the primary. Its entries are applied as they are logged;
// what they make it say waits until the last of them is safe (paper 2.2, 2.4).
auto cell::operate(std::vector<tree> ops) -> void {
  auto row_outs = std::vector<output>();
  auto idx = std::int64_t{0};
  for (auto i = std::size_t{0}; i < ops.size(); ++i) {
    idx = push({row.epoch, i + 1 == ops.size(), ops[i], h.now()});
    auto o = state.apply(idx, ops[i]);
    applied = idx;
    for (auto& one : o)
      row_outs.push_back(std::move(one));
  }
  for (auto& o : row_outs)
    outs.push_back({idx, std::move(o), nullptr, {}});
  grown.wake();
  save();
}

auto cell::clock_entry() -> std::vector<tree> {
  auto ms = (h.now() - clock_at) / msec;
  if (ms < g.set.beat / msec / 2) return {};
  clock_at += ms * msec;
  return {branch{{"k", "c"}, {"d", ms}}};
}

// What the newest configuration alters for this cell. Most alter nothing: then nothing is logged.
auto cell::law_entry() const -> std::optional<tree> {
  const auto& law = g.ses.known.law;
  if (!law || law->number <= state.law) return {};
  auto it = law->pools.find(id.substr(0, id.find('/')));
  auto keep = it == law->pools.end() ? state.keep : it->second.keep_ms;
  if (keep == state.keep && g.set.resend / msec == state.resend) return {};
  return branch{{"k", "l"}, {"keep", keep}, {"resend", g.set.resend / msec}, {"n", law->number}};
}

auto cell::law() const -> std::int64_t {
  const auto& newest = g.ses.known.law;
  return newest && !law_entry() ? std::max(state.law, newest->number) : state.law;
}

// The Output Rule: nothing above this index may leave (paper 2.2). A kept
// cell also wants its own and its pair's disk to have it; alone it says nothing.
auto cell::safe() const -> std::int64_t {
  auto out = solid;
  if (row.back.empty() && kept()) return -1;
  auto count = [&](const std::string& m) {
    auto it = mates.find(m);
    out = std::min(out, it == mates.end() ? -1 : it->second.got);
  };
  if (!row.back.empty()) count(row.back);
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
      else if (applied > safe() && kept() && (row.back.empty() || !in_touch(row.back)))
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
  if (kept() && (row.back.empty() || !in_touch(row.back)))
    return refuse({"lone", "a kept space takes nothing until its second copy stands", ran::no, again});
  // The buffer towards the backup is full: the primary stops (paper 3.2).
  if (auto it = mates.find(row.back); it != mates.end()) {
    auto bytes = std::size_t{0};
    auto from = std::max(it->second.done, base);
    for (auto i = from + 1; i <= last() && bytes <= static_cast<std::size_t>(g.set.buffer); ++i)
      bytes += heft(log[static_cast<std::size_t>(i - base - 1)].e);
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

// Something waits for the second copy, and that has been still for three beats, in each of which it acks
// at least once: nobody is kept waiting for what may not come. The entries stay; a repeat is acked
// as soon as they are safe.
auto cell::doubtful() const -> bool {
  if (row.back.empty() || !kept() || safe() >= last()) return false;
  auto it = mates.find(row.back);
  return it != mates.end() && h.now() - it->second.heard > g.set.beat * 3;
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

// Flushes to the own disk, grouped; entries that only tell the time may wait a beat.
auto cell::settle() -> task<void> {
  while (true) {
    while (solid >= last())
      co_await dirty.wait(h);
    auto end = h.now() + g.set.beat;
    while (!urgent && h.now() < end)
      co_await dirty.wait(h, end);
    urgent = false;
    auto upto = last();
    auto top = epoch_at(upto);
    auto era = wipes;
    auto fault = std::string();
    try {
      co_await disk.sync();
    } catch (const verdict& v) {
      fault = v.what();
    }
    if (!fault.empty()) {
      auto was = std::exchange(broken, true);
      halt("disk: " + fault);
      spill("the disk of " + g.set.name + " fails");
      while (disk.broken())
        co_await rest(h, g.set.beat);
      if (!was) broken = false;  // it has taken everything since, in order
      continue;
    }
    if (era == wipes && upto <= last() && epoch_at(upto) == top) solid = std::max(solid, upto);
    if (role == part::prim)
      release();
    else if (role == part::back)
      ack(false);
  }
}

// ---- the backup's side ----

namespace {
struct visit {
  explicit visit(int& n) : n(n) { ++n; }
  visit(const visit&) = delete;
  auto operator=(const visit&) -> visit& = delete;
  ~visit() { --n; }
  int& n;
};
}  // namespace

auto cell::spent() const -> bool {
  return role != part::prim && inside == 0 && row.epoch > 0 && !row.holds(me()) &&
         h.now() - std::max({heard, born_at, back_at}) > g.set.lose * 5;
}

auto cell::on_join(tree t) -> task<tree> {
  auto here = visit(inside);
  auto e = num(t, "epoch");
  if (e < row.epoch || e < lord_epoch) throw verdict("old", id + " has moved on", ran::no, -1, row.to_tree());
  if (role == part::prim) {
    if (e == row.epoch) throw verdict("old", "two primaries at one epoch", ran::no);
    halt("a newer primary joins");
  }
  lord = str(t, "from");
  lord_epoch = e;
  lord_gone = false;
  heard = h.now();
  if (role != part::back) back_at = h.now();
  role = part::back;
  auto upto = last();
  auto top = epoch_at(upto);
  auto era = wipes;
  co_await disk.sync();
  // What came in meanwhile is not synced yet.
  if (era == wipes && upto <= last() && epoch_at(upto) == top) solid = std::max(solid, upto);
  co_return branch{
      {"last", last()}, {"epoch", epoch_at(last())}, {"applied", applied}, {"broken", broken}, {"synced", solid}};
}

auto cell::on_copy(tree t) -> task<tree> {
  auto here = visit(inside);
  if (num(t, "epoch") != lord_epoch || str(t, "from") != lord || role != part::back)
    throw verdict("old", "another primary is followed");
  heard = h.now();
  if (num(t, "part") == 0) copy_part.clear();
  copy_part += str(t, "bytes");
  if (!yes(t, "end")) co_return branch{{"ok", true}};
  auto text = std::string();
  for (auto i = std::size_t{0}; i + 1 < copy_part.size(); i += 2) {
    auto nib = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
    text += static_cast<char>(nib(copy_part[i]) * 16 + nib(copy_part[i + 1]));
  }
  copy_part.clear();
  auto s = unseal(text);
  wipe();
  base = shelf = applied = num(s, "idx");
  base_epoch = num(s, "epoch");
  state = hoard::restore(sub(s, "state"));
  disk.put("C/" + id + "/s", seal(s));
  auto mine = lord_epoch;
  co_await disk.sync();
  if (lord_epoch != mine || role != part::back) throw verdict("old", "another primary is followed");
  broken = false;
  solid = std::max(solid, base);  // what came in meanwhile waits for its own sync
  co_return branch{{"ok", true}};
}

auto cell::on_log(const wire_ptr& w, const tree& t) -> void {
  if (role != part::back || num(t, "epoch") != lord_epoch || str(t, "from") != lord) {
    // A lower epoch is refused: a thawed primary gets no ack and sends nothing.
    w->tell(branch{{"op", "c.ack"},
                   {"cell", id},
                   {"me", me()},
                   {"epoch", num(t, "epoch")},
                   {"nack", true},
                   {"got", -1},
                   {"done", -1}});
    return;
  }
  lord_wire = w;
  lord_gone = false;
  heard = h.now();
  auto prev = num(t, "prev");
  if (prev > last() || epoch_at(prev) != num(t, "prev_epoch")) {
    if (prev >= base) return ack(true);
  }
  auto i = prev;
  auto any = false;
  for (const auto& r : list(t, "rows")) {
    ++i;
    if (i <= last()) continue;
    push({num(r, "v"), yes(r, "g"), sub(r, "e"), h.now()});
    any = true;
  }
  if (any)
    rows_in.wake();
  else
    ack(false);
}

auto cell::on_wait(std::int64_t epoch) -> void {
  if (role != part::prim && epoch >= row.epoch && epoch >= lord_epoch) heard = h.now();
}

// A closed channel speaks louder than silence: a primary that lives opens it again
// within a beat or two, one that was killed does not.
auto cell::channel_closed(const wire_ptr& w) -> bool {
  if (role != part::back || lord_wire != w) return false;
  lord_wire.reset();
  heard = std::min(heard, h.now() - g.set.lose + g.set.beat * 2);
  return true;
}

auto cell::primary_gone(const std::string& name) -> void {
  if (role != part::back || lord_wire || name_of(lord) != name || row.prim != lord) return;
  lord_gone = true;
  hurry = true;
  stir.wake();
}

auto cell::ack(bool nack) -> void {
  if (!lord_wire) return;
  lord_wire->tell(branch{{"op", "c.ack"},
                         {"cell", id},
                         {"me", me()},
                         {"epoch", lord_epoch},
                         {"nack", nack},
                         {"got", solid},
                         {"done", applied}});
}

// Consumes the buffer up to its last go-live point, then stalls (paper 2.4, 3.2).
auto cell::replay() -> task<void> {
  while (true) {
    auto upto = applied;
    for (auto i = last(); i > applied && upto == applied; --i)
      if (i > base && log[static_cast<std::size_t>(i - base - 1)].go) upto = i;
    if (role == part::prim || upto <= applied) {
      co_await rows_in.wait(h);
      continue;
    }
    while (applied < upto && role != part::prim && applied >= base && applied < last()) {
      if (g.set.drag > 0) co_await rest(h, g.set.drag);
      if (role == part::prim || applied < base || applied >= last()) break;
      auto i = applied + 1;
      state.apply(i, log[static_cast<std::size_t>(i - base - 1)].e);  // outputs are dropped
      applied = i;
    }
    if (role == part::back) save();
    co_await nap(h, 0);
  }
}

// ---- the primary's side ----

auto cell::lag_of(const mate& k) const -> tick {
  auto at = std::max(k.done, k.brought);
  return at >= base && at < last() ? h.now() - log[static_cast<std::size_t>(at - base)].born : 0;
}

auto cell::in_touch(const std::string& m) const -> bool {
  auto it = mates.find(m);
  return it != mates.end() && it->second.joined && h.now() - it->second.heard <= g.set.lose;
}

// Its node is back with another disk: that member is no more, and its silence need not be waited for.
auto cell::disk_lost(const std::string& m) const -> bool {
  auto back = false;
  for (const auto& [q, t] : g.ses.known.tables) {
    auto it = t.rows.find(name_of(m));
    if (it == t.rows.end() || it->second.disk.empty()) continue;
    if (it->second.member() == m) return false;
    back = true;
  }
  return back;
}

auto cell::start_feed(const std::string& m) -> void {
  if (m.empty() || mates.count(m)) return;
  mates[m].heard = mates[m].since = h.now();
  home.spawn(feed(m, stint));
}

// The logging channel to one copy: compare logs, copy the running state if
// they part, then stream; straight down, again after every break.
auto cell::feed(std::string m, std::int64_t mine) -> task<void> {
  auto on = [&] { return role == part::prim && stint == mine && mates.count(m) > 0; };
  while (on()) {
    const auto* s = g.ses.known.find(name_of(m));
    auto addr = s && s->member() == m ? s->addr : "";
    if (addr.empty()) {
      co_await rest(h, g.set.beat);
      continue;
    }
    auto& c = g.reach(addr);
    auto moved = false;
    try {
      auto q = tree(branch{{"op", "c.join"}, {"cell", id}, {"epoch", row.epoch}, {"from", me()}, {"last", last()}});
      auto r = co_await c.ask(std::move(q), h.now() + g.set.lose);
      if (!on()) break;
      auto theirs = num(r, "last");
      auto synced = num_or(r, "synced", theirs);  // only what is on its disk counts as acknowledged
      // One that would have long to replay is sooner whole with a copy.
      auto done = num(r, "applied");
      auto match = !yes(r, "broken") && last() - done <= near_by && theirs >= base && theirs <= last() &&
                   epoch_at(theirs) == num(r, "epoch");
      if (!match) {
        // The state is captured between two operations; the cell goes on meanwhile (paper 3.1).
        auto idx = applied;
        auto bytes = seal(branch{{"format", 1}, {"idx", idx}, {"epoch", epoch_at(idx)}, {"state", state.capture()}});
        auto hex = std::string();
        for (auto ch : bytes) {
          hex += "0123456789abcdef"[static_cast<unsigned char>(ch) >> 4];
          hex += "0123456789abcdef"[static_cast<unsigned char>(ch) & 15];
        }
        auto e = row.epoch;
        for (auto at = std::size_t{0}, part = std::size_t{0}; at < hex.size() || part == 0; ++part) {
          auto bit = hex.substr(at, frame_bytes);
          at += bit.size();
          auto p = tree(branch{{"op", "c.copy"},
                               {"cell", id},
                               {"epoch", e},
                               {"from", me()},
                               {"part", part},
                               {"bytes", bit},
                               {"end", at >= hex.size()}});
          co_await c.ask(std::move(p), h.now() + g.set.lose);
          if (!on()) co_return;
          mates[m].heard = h.now();
        }
        theirs = done = synced = idx;
        ++mates[m].copies;
        hive::log(grade::note, g.set.name, id + ": copied to " + m + " at " + std::to_string(idx));
      } else {
        hive::log(grade::note, g.set.name,
                  id + ": " + m + " joins with its own log up to " + std::to_string(theirs) + ", synced up to " +
                      std::to_string(synced));
      }
      {
        auto& k = mates[m];
        k.next = theirs + 1;
        k.got = std::min(theirs, synced);
        k.done = done;
        k.brought = last();
        k.joined = true;
        k.gone = false;
        k.nacked = false;
        k.heard = h.now();
      }
      release();
      if (m == fresh_back) stir.wake();
      auto e = row.epoch;
      while (on() && c.up() && !mates[m].nacked && h.now() - mates[m].heard <= g.set.lose && row.epoch == e) {
        auto& k = mates[m];
        if (k.next <= base) break;  // trimmed away: copy again
        auto rows = twigs();
        auto size = std::size_t{0};
        auto prev = k.next - 1;
        auto held = c.line && c.line->owed() > frame_bytes * 4;
        while (!held && k.next <= last() && size < frame_bytes) {
          const auto& en = log[static_cast<std::size_t>(k.next - base - 1)];
          size += heft(en.e);
          rows.push_back(branch{{"v", en.epoch}, {"g", en.go}, {"e", en.e}});
          ++k.next;
        }
        c.tell(branch{{"op", "c.log"},
                      {"cell", id},
                      {"epoch", e},
                      {"from", me()},
                      {"prev", prev},
                      {"prev_epoch", epoch_at(prev)},
                      {"rows", std::move(rows)}});
        if (k.next > last() || held)
          co_await grown.wait(h, h.now() + g.set.beat);
        else
          co_await nap(h, 0);
      }
      // The same for the other side: a killed backup closes its link at once.
      if (on() && !c.up()) mates[m].heard = std::min(mates[m].heard, h.now() - g.set.lose + g.set.beat * 2);
      moved = on() && c.up() && !mates[m].nacked && row.epoch != e;
    } catch (const verdict& v) {
      if (v.code == "old" && on() && num_or(v.more, "epoch", 0) > row.epoch) halt("its copy follows a newer epoch");
    }
    if (!on()) break;
    if (moved) continue;  // only the epoch went up: join again at once
    mates[m].joined = false;
    if (c.refused_at() > mates[m].since && !mates[m].gone) {  // dead, not only silent: its place is filled at once
      mates[m].gone = true;
      mates[m].heard = h.now() - g.set.lose - 1;
      hurry = true;
      stir.wake();
    }
    co_await rest(h, c.up() ? g.set.beat : g.set.beat / 8);
  }
}

auto cell::on_ack(const std::string& m, const tree& t) -> void {
  auto it = mates.find(m);
  if (role != part::prim || it == mates.end() || num(t, "epoch") != row.epoch) return;
  if (yes(t, "nack")) {
    it->second.nacked = true;
    grown.wake();
    return;
  }
  if (!it->second.joined) return;
  it->second.heard = h.now();
  it->second.got = std::max(it->second.got, num(t, "got"));
  it->second.done = std::max(it->second.done, num(t, "done"));
  if (m == fresh_back && proving.count(m) && it->second.got >= spoken) stir.wake();
  release();
}

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
  row = r;
  lord_gone = false;
  if (role == part::prim && r.prim != me()) halt("epoch " + std::to_string(r.epoch) + " is led by " + r.prim);
  if (role == part::prim && r.prim == me()) {
    hive::log(grade::note, g.set.name, id + ": own move found in the ledger");
    stir.wake();
    return;
  }
  if (r.prim != me() && (r.back == me() || r.in_step(me())) && role != part::back) {
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
  start_feed(row.back);
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
  next.back.clear();
  for (const auto& m : row.step)
    if (m != me()) next.back = m;
  // A kept cell's in-step set stays: only one that has all may ever claim.
  // Where nothing is kept, the lone winner goes on alone, as in the paper.
  auto was_silent = row.prim != me();
  auto gone = row.prim;
  auto silent = was_silent || next.back.empty();
  if (!kept() && silent) {
    next.back.clear();
    next.step = {me()};
  }
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
      // The silence that led to the claim counts against the other copy too.
      if (was_silent && mates.count(row.back)) mates[row.back].heard = h.now() - g.set.lose - 1;
      spill(id + " taken over: " + why);
    }
  } catch (const verdict& v) {
    hive::log(grade::note, g.set.name, id + ": claim waits: " + v.what());
  }
}

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
    auto near = in_touch(fresh_back) && std::min(k.got, k.done) >= last() - near_by;
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

// The life of the cell here: follow the ledger, notice silence, claim, tend.
auto cell::watch() -> task<void> {
  auto patience = h.spread(g.set.beat);
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
      } else if (row.in_step(me()) &&
                 (lord_gone || h.now() - std::max({heard, born_at, back_at}) > g.set.lose + patience)) {
        co_await claim(lord_gone ? "its primary's process is gone" : "its primary is silent");
        patience = h.spread(g.set.beat);
      }
    } catch (const verdict& v) {
      hive::log(grade::fine, g.set.name, id + ": " + v.what());
    }
  }
}

auto cell::stand() const -> tree {
  auto ms = branch();
  for (const auto& [m, k] : mates) {
    auto lag = lag_of(k) / msec;
    ms[m] = branch{{"joined", k.joined}, {"got", k.got}, {"done", k.done}, {"lag_ms", lag}, {"copies", k.copies}};
  }
  return branch{{"role", role == part::prim   ? "primary"
                         : role == part::back ? "backup"
                                              : "idle"},
                {"epoch", row.epoch},
                {"prim", row.prim},
                {"back", row.back},
                {"last", last()},
                {"applied", applied},
                {"solid", solid},
                {"root", state.root},
                {"broken", broken},
                {"share", share},
                {"slowed", slowed},
                {"stops", stops},
                {"open", state.open.size()},
                {"linked", wires.size()},
                {"topics", state.topics.size()},
                {"pending", outs.size()},
                {"spoken", spoken},
                {"copies", ms},
                {"charter", law()}};
}

}  // namespace hive
