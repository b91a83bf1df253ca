#include "scout/session.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "wax/ring.hpp"

namespace hive {

auto mark_of(const std::vector<std::string>& row) -> std::int64_t {
  auto crc = boost::crc_32_type();
  for (const auto& a : row)
    crc.process_bytes(a.c_str(), a.size() + 1);
  return static_cast<std::int64_t>(crc.checksum());
}

session::session(host& hh, const config& c, std::vector<std::string> d)
    : h(hh), set(c), seeds(std::move(d)), doors(seeds), met(seeds.begin(), seeds.end()), home(hh) {
  at = h.below(doors.size());
  me.name = c.name;
  me.zone = c.zone;
  me.addr = c.addr;
  me.web = c.web;
  home.spawn(run());
}

// The queens that stand now, as the ledger has them: the seeds may all be of another time (design 5.2). Among all
// queens each door is as likely: one that is new to this node is gone over to by the chance that it would have
// been chosen from the start. Not at once, since all nodes hear of it together (design 5.1).
auto session::take_queens(const tree& row) -> void {
  if (!row.is_array() || row.get_array().empty()) return;
  auto here = doors[at];
  auto fresh = std::vector<std::string>();
  queens.clear();
  for (const auto& a : row.get_array()) {
    queens.emplace_back(a.as_string());
    if (met.insert(queens.back()).second) fresh.push_back(queens.back());
  }
  doors = queens;
  for (const auto& s : seeds)
    if (std::find(doors.begin(), doors.end(), s) == doors.end()) doors.push_back(s);
  auto it = std::find(doors.begin(), doors.end(), here);
  if (it == doors.end()) it = doors.insert(doors.end(), here);  // it just answered
  at = static_cast<std::size_t>(it - doors.begin());
  if (fresh.empty() || h.below(doors.size()) >= fresh.size()) return;
  move_to = fresh[h.below(fresh.size())];
  move_at = h.now() + static_cast<tick>(h.below(static_cast<std::uint64_t>(set.lose * 2)));
}

// Which versions the lease wants in force, and when. A node that has just started serves by nothing older than the
// newest that a majority had agreed on.
auto session::take_versions(const tree& answer, tick asked) -> void {
  least = std::max(least, num_or(answer, "need", 0));
  newest_told = std::max({newest_told, least, num_or(answer, "newest", 0)});
  if (!ever) least = newest_told;
  if (const auto& due = sub(answer, "due"); due.is_array()) deadlines.merge(due.get_array(), asked);
  deadlines.prune(h.now());
}

auto session::leave_door() -> void {
  if (!line) return;
  line->on_turn = nullptr;
  line->on_gone = nullptr;
  line->quit();
  line.reset();
}

auto session::run() -> task<void> {
  auto good = h.now();     // when this door last made the lease longer
  auto top = tick{0};      // to when it ran then
  auto sent_up = h.now();  // when it last stood
  while (!gone) {
    if (h.now() >= move_at) {
      move_at = never;
      if (auto to = std::find(doors.begin(), doors.end(), move_to);
          to != doors.end() && static_cast<std::size_t>(to - doors.begin()) != at) {
        leave_door();
        at = static_cast<std::size_t>(to - doors.begin());
        good = sent_up = h.now();
      }
    }
    if (!line) {
      line = std::make_shared<colleague>(h, colleague::ways{set.name, doors[at], set.beat, set.lose});
      line->on_turn = [this](bool) { turned.wake(); };
      line->on_gone = [this] { turned.wake(); };
    }
    auto sent = h.now();
    auto failed = false;
    try {
      auto q = tree(branch{{"op", "session"},
                           {"me", me.to_tree()},
                           {"vec", known.vec()},
                           {"queens", queens.empty() ? 0 : mark_of(queens)},
                           {"deadlines", true},
                           {"charter", serving     ? serving()
                                       : known.law ? known.law->number
                                                   : 0}});
      auto r = co_await line->ask(std::move(q), sent + set.lose);
      if (gone) break;
      auto left = num_or(r, "lease", 0);
      auto had = leased();
      if (left > 0) {
        until = std::max(until, sent + left);
        // A queen that is granted nothing more gives what is left of the old: that is not good.
        if (sent + left > top + set.beat / 2) {
          top = sent + left;
          good = h.now();
        }
        take_versions(r, sent);
        if (!ever) cells_need = num_or(r, "cells_need", 0);
        ever = true;
      }
      take_queens(sub(r, "queens"));
      const auto& w = list(r, "wish");
      auto moved = known.merge(r) || w != wish;
      wish = w;
      if (moved || had != leased()) news.wake();
    } catch (const verdict&) {
      failed = true;
    }
    // A door that fell is left at once; one that stands but makes the lease no longer, after a while: sooner
    // than the leader forgets the nodes of a queen that it does not hear.
    auto fell = !line->up() && (h.now() - sent_up > set.beat * 2 || line->refused_at() > sent_up);
    if (line->up()) sent_up = h.now();
    if ((fell || h.now() - good > set.lose * 3 / 4) && doors.size() > 1) {
      leave_door();
      at = (at + 1 + h.below(doors.size() - 1)) %
           doors.size();  // each to another: what one queen had does not fall on the next
      good = sent_up = h.now();
    }
    if (!line) continue;
    if (failed)
      co_await turned.wait(h, h.now() + set.beat);
    else
      co_await rest(h, h.now() - sent < set.beat / 2 ? set.beat / 4 : 0);
  }
}

auto session::ask(tree t, tick limit) -> task<tree> {
  if (!line) throw verdict("away", "no session stands", ran::no, set.beat / msec);
  auto held = line;
  co_return co_await held->ask(std::move(t), limit);
}
auto session::propose(tree deed, tick limit) -> task<tree> {
  auto q = tree(branch{{"op", "deed"}, {"deed", std::move(deed)}});
  co_return co_await ask(std::move(q), limit);
}
auto session::leave(tick limit) -> task<void> {
  gone = true;
  until = 0;
  auto q = tree(branch{{"op", "bye"}, {"name", me.name}});
  try {
    co_await ask(std::move(q), limit);
  } catch (const verdict&) {
  }
}

}  // namespace hive
