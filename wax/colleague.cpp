#include "wax/colleague.hpp"

#include "wax/ring.hpp"

namespace hive {

auto frame(const tree& t) -> std::string {
  auto body = pack(t);
  auto n = body.size();
  auto head = std::string(4, '\0');
  for (auto i = 0U; i < 4; ++i)
    head[i] = static_cast<char>(n >> (8 * i));
  return head + body;
}

auto unframe(std::string& in, std::size_t& used) -> std::optional<tree> {
  if (in.size() - used < 4) return {};
  auto n = std::size_t{0};
  for (auto i = 0U; i < 4; ++i)
    n |= static_cast<std::size_t>(static_cast<unsigned char>(in[used + i])) << (8 * i);
  if (n > frame_most) throw bad_bytes("a frame of " + std::to_string(n) + " bytes");
  if (in.size() - used < 4 + n) return {};
  auto t = unpack(std::string_view(in).substr(used + 4, n));
  if (!t.is_object()) throw bad_bytes("a frame that is no map");
  used += 4 + n;
  return t;
}

namespace {

// Sweeps without a byte until the other side is asked for a sign of life, and until its link ends. They are counted,
// not timed: where this process stood still itself, nobody passes for silent.
constexpr auto quiet_asked = 2;
constexpr auto quiet_most = 5;

// Reads frames in order until the link ends; a malformed one ends it (issue: bad input).
auto frames(link_ptr way, std::function<void(const tree&)> fn, std::string me) -> task<void> {
  try {
    while (true) {
      auto used = std::size_t{0};
      while (!way->shut || !way->in.empty()) {
        auto t = unframe(way->in, used);
        if (!t) break;
        fn(*t);
      }
      way->in.erase(0, used);
      way->eaten();
      auto live = co_await way->more();
      if (!live) break;
    }
  } catch (const bad_bytes& e) {
    log(grade::warn, me, "malformed frame from " + way->from + ": " + e.what());
  }
  way->close();
}

auto respond(wire_ptr w, std::int64_t id, tree t, std::function<task<tree>(wire_ptr, tree)> fn) -> task<void> {
  auto out = branch{{"r", id}};
  try {
    auto v = co_await fn(w, std::move(t));
    out["v"] = std::move(v);
  } catch (const verdict& e) {
    out["e"] = e.to_tree();
  } catch (const std::exception& e) {
    out["e"] = verdict("malformed", e.what()).to_tree();
  }
  w->tell(out);
}

auto pump(link_ptr from, link_ptr to) -> task<void> {
  while (true) {
    if (!from->in.empty()) {
      to->send(from->in);
      from->in.clear();
      from->eaten();
      auto room = co_await to->room(std::size_t{1} << 20, never);
      if (!room) break;
    }
    auto live = co_await from->more();
    if (!live) break;
  }
  to->close();
}

// Passes a colleague's bytes on to a third that it cannot reach itself (design 3.8).
auto relay(host& h, nest& home, link_ptr way, std::string to, std::string me) -> task<void> {
  auto far = co_await h.dial(to, h.now() + sec);
  if (!far) co_return way->close();
  log(grade::note, me, "relays " + way->from + " to " + to);
  home.spawn(pump(far, way));
  co_await pump(way, far);
}

using wire_list = std::vector<std::weak_ptr<wire>>;

// The dialling side alone keeps time by beats; where it hears enough it sends none.
auto sweep_callers(host& h, std::shared_ptr<wire_list> callers, tick span, std::string me) -> task<void> {
  while (true) {
    co_await rest(h, span);
    std::erase_if(*callers, [](const auto& c) { return c.expired(); });
    for (const auto& c : *callers) {
      auto w = c.lock();
      if (!w || !w->live() || !w->replies) continue;
      ++w->quiet;
      if (w->quiet >= quiet_most) {
        log(grade::note, me, w->who + " has been silent for long, its link ends");
        w->drop();
      } else if (w->quiet >= quiet_asked) {
        w->tell(branch{{"op", "beat"}, {"n", h.now()}});
      }
    }
  }
}

auto guest(host& h, nest& home, link_ptr way, answers a, std::string me, std::shared_ptr<wire_list> callers)
    -> task<void> {
  try {
    auto first = std::optional<tree>();
    auto used = std::size_t{0};
    while (!first) {
      first = unframe(way->in, used);
      if (first) break;
      auto live = co_await way->more();
      if (!live) co_return way->close();
    }
    if (str_or(*first, "op") == "relay") {
      way->in.erase(0, used);
      auto to = str(*first, "to");
      if (!a.may_relay || !a.may_relay(to)) co_return way->close();
      co_return co_await relay(h, home, way, to, me);
    }
  } catch (const bad_bytes& e) {
    log(grade::warn, me, "malformed frame from " + way->from + ": " + e.what());
    co_return way->close();
  }
  auto w = std::make_shared<wire>(way);
  callers->emplace_back(w);
  auto fn = [&home, w, a, me](const tree& t) {
    auto op = str_or(t, "op");
    w->quiet = 0;
    if (op == "hello") {
      w->who = str_or(t, "me");
      w->replies = yes(t, "replies");
    } else if (op == "beaten") {
      // a sign of life, and nothing else
    } else if (op == "beat") {
      w->tell(branch{{"op", "beaten"}, {"n", sub(t, "n")}});
    } else if (auto id = num_or(t, "q", -1); id >= 0) {
      home.spawn(respond(w, id, t, a.ask));
    } else if (a.note) {
      a.note(w, t);
    }
  };
  co_await frames(way, fn, me);
  if (a.gone) a.gone(w);
}

}  // namespace

auto serve(host& h, nest& home, std::unique_ptr<door> d, answers a, std::string me) -> task<void> {
  auto callers = std::make_shared<wire_list>();
  if (a.sweep > 0) home.spawn(sweep_callers(h, callers, a.sweep, me));
  while (true) {
    auto way = co_await d->knocks.pop(h);
    home.spawn(guest(h, home, way, a, me, callers));
  }
}

colleague::colleague(host& hh, ways w) : h(hh), set(std::move(w)), home(hh) { home.spawn(run()); }

auto colleague::run() -> task<void> {
  auto wait = set.beat;
  auto turn = 0;        // odd ones go over a third locality, if any stands
  auto closed = false;  // the link that stood was closed: the next dial tells whether its process lives
  while (true) {
    auto via = std::string();
    if (set.vias && turn % 2 == 1)
      if (auto row = set.vias(); !row.empty()) via = row[h.below(row.size())];
    auto refused = false;
    auto way = co_await h.dial(via.empty() ? set.addr : via, h.now() + set.lose / 2, &refused);
    over_hop = !via.empty();
    ++turn;
    if (refused && !over_hop) {
      none_at = h.now();
      if (closed && on_gone) on_gone();
    }
    if (refused || !way) closed = false;
    if (way) {
      if (over_hop) way->send(frame(branch{{"op", "relay"}, {"to", set.addr}}));
      auto w = std::make_shared<wire>(way);
      w->tell(branch{{"op", "hello"}, {"me", set.me}, {"replies", true}});
      line = w;
      last = h.now();
      auto since = last;
      home.spawn(beats(w));
      // Up only after the first round trip: a one-way cut must not pass for a link.
      auto fn = [this](const tree& t) { take(t); };
      co_await frames(way, fn, set.me);
      if (on) {
        wait = set.beat;
        turn = h.now() - last > set.lose ? 1 : 0;  // silent, not closed: perhaps a cut
        closed = turn == 0 && h.now() - since > set.beat;
      }
      fall();
      if (closed) {
        co_await rest(h, set.beat / 16);  // a dial taken by a process on its way out is closed too: once more
        continue;
      }
    }
    co_await rest(h, h.spread(wait));
    wait = std::min(wait * 2, set.lose);
  }
}

// What the other side sends anyway is a sign of life; asked for one it is only when that has been lacking.
auto colleague::beats(wire_ptr w) -> task<void> {
  auto asked = -never;
  while (w->live() && line == w) {
    auto now = h.now();
    if (now - last > set.lose) {
      w->drop();
      break;
    }
    auto gap = on ? std::max(set.lose * 2 / 5, set.beat) : set.beat;
    auto due = std::max(on ? last : -never, asked) + gap;
    if (now >= due) {
      w->tell(branch{{"op", "beat"}, {"n", now}});
      asked = now;
      due = now + gap;
    }
    co_await nap(h, std::min(due, last + set.lose + 1));
  }
}

auto colleague::take(const tree& t) -> void {
  last = h.now();
  if (!on) {
    on = true;
    none_at = -never;
    if (on_turn) on_turn(true);
  }
  if (auto id = num_or(t, "r", -1); id >= 0) {
    auto it = open.find(id);
    if (it == open.end()) return;
    it->second->out = t;
    it->second->done.wake();
    return;
  }
  auto op = str_or(t, "op");
  if (op == "beat") {
    if (line) line->tell(branch{{"op", "beaten"}, {"n", sub(t, "n")}});
  } else if (op != "beaten" && on_note) {
    on_note(t);
  }
}

auto colleague::fall() -> void {
  line.reset();
  for (auto& [id, s] : open) {
    s->lost = true;
    s->done.wake();
  }
  open.clear();
  if (on) {
    on = false;
    if (on_turn) on_turn(false);
  }
}

auto colleague::tell(const tree& t) -> bool {
  if (!on || !line || !line->live()) return false;
  line->tell(t);
  return true;
}

auto colleague::ask(tree t, tick until) -> task<tree> {
  if (!on || !line || !line->live()) throw verdict("away", set.addr + " is not reached", ran::no, set.beat / msec);
  auto id = ++count;
  auto s = std::make_shared<slot>();
  open[id] = s;
  t.as_object()["q"] = id;
  line->tell(t);
  while (!s->out && !s->lost) {
    auto in_time = co_await s->done.wait(h, until);
    if (!in_time) break;
  }
  open.erase(id);
  if (!s->out) throw verdict("unclear", set.addr + " did not answer", ran::maybe, set.beat / msec);
  if (const auto& e = sub(*s->out, "e"); e.is_object()) throw verdict::from_tree(e);
  co_return sub(*s->out, "v");
}

}  // namespace hive
