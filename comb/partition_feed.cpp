// The primary's side of the logging channel: one task for each copy (design 6.2, 6.6).
#include "comb/partition.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto frame_bytes = std::size_t{256} << 10;

}  // namespace

auto partition::lag_of(const replica& k) const -> tick {
  auto at = std::max(k.done, k.lacked_at_join);
  return at >= base && at < last() ? h.now() - log[static_cast<std::size_t>(at - base)].born : 0;
}

auto partition::in_touch(const std::string& m) const -> bool {
  auto it = replicas.find(m);
  return it != replicas.end() && it->second.joined && h.now() - it->second.heard <= context.set.lose;
}

// Its node is back with another disk: that member is no more, and its silence need not be waited for.
auto partition::disk_lost(const std::string& m) const -> bool {
  auto back = false;
  for (const auto& [q, t] : context.ses.known.tables) {
    auto it = t.rows.find(name_of(m));
    if (it == t.rows.end() || it->second.disk.empty()) continue;
    if (it->second.member() == m) return false;
    back = true;
  }
  return back;
}

auto partition::start_feed(const std::string& m) -> void {
  if (m.empty() || replicas.count(m)) return;
  auto& k = replicas[m];
  k.heard = k.since = h.now();
  k.feed = ++feeds;
  home.spawn(feed(m, leadership, k.feed));
}

// The logging channel to one copy: compare logs, copy the running state if
// they part, then stream; straight down, again after every break.
auto partition::feed(std::string m, std::int64_t mine, std::int64_t number) -> task<void> {
  auto on = [&] {
    if (role != replica_role::primary || leadership != mine) return false;
    auto it = replicas.find(m);
    return it != replicas.end() && it->second.feed == number;
  };
  while (on()) {
    const auto* s = context.ses.known.find(name_of(m));
    auto addr = s && s->member() == m ? s->addr : "";
    if (addr.empty()) {
      co_await rest(h, context.set.beat);
      continue;
    }
    auto& c = context.reach(addr);
    auto moved = false;
    try {
      auto join = ++joins;
      auto q = tree(branch{
          {"op", "c.join"}, {"cell", id}, {"epoch", row.epoch}, {"from", me()}, {"join", join}, {"last", last()}});
      auto r = co_await c.ask(std::move(q), h.now() + context.set.lose);
      if (!on()) break;
      auto theirs = num(r, "last");
      auto their_synced = num_or(r, "synced", theirs);  // only what is on its disk counts as acknowledged
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
          co_await c.ask(std::move(p), h.now() + context.set.lose);
          if (!on()) co_return;
          replicas[m].heard = h.now();
        }
        theirs = done = their_synced = idx;
        ++replicas[m].copies;
        hive::log(grade::note, context.set.name, id + ": copied to " + m + " at " + std::to_string(idx));
      } else {
        hive::log(grade::note, context.set.name,
                  id + ": " + m + " joins with its own log up to " + std::to_string(theirs) + ", synced up to " +
                      std::to_string(their_synced));
      }
      {
        auto& k = replicas[m];
        k.next = theirs + 1;
        k.acked = std::min(theirs, their_synced);
        k.done = done;
        k.lacked_at_join = last();
        k.joined = true;
        k.gone = false;
        k.nacked = false;
        k.heard = h.now();
      }
      release();
      wake_up.wake();
      auto e = row.epoch;
      while (on() && c.up() && !replicas[m].nacked && h.now() - replicas[m].heard <= context.set.lose &&
             row.epoch == e) {
        auto& k = replicas[m];
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
          co_await log_grown.wait(h, h.now() + context.set.beat);
        else
          co_await nap(h, 0);
      }
      // The same for the other side: a killed backup closes its link at once.
      if (on() && !c.up())
        replicas[m].heard = std::min(replicas[m].heard, h.now() - context.set.lose + context.set.beat * 2);
      moved = on() && c.up() && !replicas[m].nacked && row.epoch != e;
    } catch (const verdict& v) {
      if (v.code == "old" && on() && num_or(v.more, "epoch", 0) > row.epoch) halt("its copy follows a newer epoch");
    }
    if (!on()) break;
    if (moved) continue;  // only the epoch went up: join again at once
    replicas[m].joined = false;
    if (c.refused_at() > replicas[m].since &&
        !replicas[m].gone) {  // dead, not only silent: its place is filled at once
      replicas[m].gone = true;
      replicas[m].heard = h.now() - context.set.lose - 1;
      look_at_once = true;
      wake_up.wake();
    }
    co_await rest(h, c.up() ? context.set.beat : context.set.beat / 8);
  }
}

auto partition::on_ack(const std::string& m, const tree& t) -> void {
  auto it = replicas.find(m);
  if (role != replica_role::primary || it == replicas.end() || num(t, "epoch") != row.epoch) return;
  if (yes(t, "nack")) {
    it->second.nacked = true;
    log_grown.wake();
    return;
  }
  if (!it->second.joined) return;
  it->second.heard = h.now();
  it->second.acked = std::max(it->second.acked, num(t, "got"));
  it->second.done = std::max(it->second.done, num(t, "done"));
  if (m == joining && proving.count(m) && it->second.acked >= released) wake_up.wake();
  release();
}

}  // namespace hive
