#include "scout/scout.hpp"

#include "wax/ring.hpp"

namespace hive {

scout::scout(host& hh, const config& c) : ses(hh, c, c.seeds), h(hh), set(c), home(hh) {
  ses.me.kind = "forager";
  ses.known.need = {"forager", c.zone};
  // What the forager serves is reported, not what the scout has pulled; while
  // the forager is silent the old number stays, and so the new one has not taken hold.
  // One silent for longer than any lease it was given serves nothing.
  ses.serving = [this] {
    auto silent = h.now() - seen > set.lease + set.beat;
    if (silent) ses.me.ready = false;
    return silent && ses.known.law ? ses.known.law->number : confirmed;
  };
  auto a = answers();
  a.ask = [this](wire_ptr w, tree t) { return ask(std::move(w), std::move(t)); };
  home.spawn(serve(h, home, h.listen(c.feed), a, c.name));
}

// The forager's side of the feed is a session too: the lease it is given ends
// with the scout's, counted from when the forager asked.
auto scout::ask(wire_ptr, tree t) -> task<tree> {
  auto op = str(t, "op");
  if (op == "session") {
    auto came = h.now();
    seen = came;
    auto row = seat::from_tree(sub(t, "me"));
    ses.me.ready = row.ready;
    ses.me.leaving = row.leaving;
    ses.me.usage = row.usage;
    ses.me.web = row.web;
    ses.me.addr = row.addr;
    confirmed = num_or(t, "charter", 0);
    auto vec = sub(t, "vec");
    // It pulls for the forager what the forager needs.
    if (yes(sub(vec, "need"), "wide")) ses.known.need.wide = true;
    auto end = came + set.lose / 3;
    auto out = ses.known.lacks(vec);
    auto can = [&] { return ses.leased() && ses.fresh(); };
    auto had = can();
    while (out.empty() && h.now() < end && (had || !can())) {  // a first lease is passed on at once
      auto in_time = co_await ses.news.wait(h, end);
      out = ses.known.lacks(vec);
      if (!in_time) break;
    }
    out = ses.known.lacks(vec, true);
    if (ses.leased() && ses.fresh()) {
      out["lease"] = h.now() + ses.lease_left() - came;
      out["need"] = ses.need();
      out["newest"] = ses.newest();
      if (auto due = ses.due_versions(came); !due.empty()) out["due"] = due;
      out["cells_need"] = ses.known.cells_ver;
    }
    co_return out;
  }
  if (op == "bye") {
    // The forager serves nothing from now on, until it asks again; the scout stays.
    seen = h.now() - set.lease - set.beat - 1;
    ses.me.ready = false;
    co_return branch{{"ok", true}};
  }
  if (op == "status") co_return status();
  co_return co_await ses.ask(std::move(t), h.now() + set.budget);
}

auto scout::leave(tick limit) -> task<void> { co_await ses.leave(limit); }

auto scout::status() const -> tree {
  return branch{{"kind", "scout"},        {"name", set.name},    {"zone", set.zone},
                {"leased", ses.leased()}, {"need", ses.need()},  {"charter", ses.known.law ? ses.known.law->number : 0},
                {"confirmed", confirmed}, {"queen", ses.door()}, {"vec", ses.known.vec()}};
}

}  // namespace hive
