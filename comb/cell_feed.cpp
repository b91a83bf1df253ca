// The primary's side of the logging channel: one task for each copy (design 6.2, 6.6).
#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto frame_bytes = std::size_t{256} << 10;

}  // namespace

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
  auto& k = mates[m];
  k.heard = k.since = h.now();
  k.feed = ++feeds;
  home.spawn(feed(m, stint, k.feed));
}

// The logging channel to one copy: compare logs, copy the running state if
// they part, then stream; straight down, again after every break.
auto cell::feed(std::string m, std::int64_t mine, std::int64_t number) -> task<void> {
  auto on = [&] {
    if (role != part::prim || stint != mine) return false;
    auto it = mates.find(m);
    return it != mates.end() && it->second.feed == number;
  };
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
      auto join = ++joins;
      auto q = tree(branch{
          {"op", "c.join"}, {"cell", id}, {"epoch", row.epoch}, {"from", me()}, {"join", join}, {"last", last()}});
      auto r = co_await c.ask(std::move(q), h.now() + g.set.lose);
      if (!on()) break;
      auto theirs = num(r, "last");
      auto synced = num_or(r, "synced", theirs);  // only what is on its disk counts as acknowledged
      // One that would have long to replay is sooner whole with a copy.
      auto done = num(r, "applied");
      auto match = !yes(r, "broken") && last() - done <= near_entries && theirs >= base && theirs <= last() &&
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
                               {"join", join},
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
      stir.wake();
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
          size += entry_bytes(en.e);
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

}  // namespace hive
