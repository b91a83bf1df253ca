#include "queen/queen.hpp"

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto unknown_request = std::string_view("unknown request ");

}  // namespace

queen::queen(host& hh, const config& c)
    : h(hh),
      set(c),
      book(hh, c,
           {[this](std::int64_t i, const tree& d) {
              auto before = law.law;
              auto out = law.apply(i, d);
              time_version(before);
              refresh();
              return out;
            },
            [this] { return law.capture(); },
            [this](const tree& t) {
              law.restore(t);
              refresh();
            },
            [this] {
              grants.clear();
              wish.clear();
              // When another leader's versions were agreed on is not known here: they are all due.
              if (book.leads() && law.law) deadlines.add(law.law->number, h.now());
              news.wake();
            }}),
      home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("task ended: ") + x.what());
      spill("a task ended");
    }
  };
  // A queen whose disk was lost counts from one again: it must be another source.
  source = c.addr + "/" + book.disk_id();
  if (auto b = h.disk()->get("Q/boot")) boot = num(unseal(*b), "n");
  ++boot;
  h.disk()->put("Q/boot", seal(branch{{"n", boot}}));
  known.tables[source].ver = known.tables[source].floor = boot << 32;
  refresh();
  auto a = answers();
  a.ask = [this](wire_ptr w, tree t) { return ask(std::move(w), std::move(t)); };
  a.sweep = set.lose;
  home.spawn(serve(h, home, h.listen(c.addr), a, c.name));
  if (!c.web.empty()) {
    auto p = pages();
    p.page = [this](request r) { return page(std::move(r)); };
    home.spawn(serve_web(h, home, h.listen(c.web), p));
  }
  meet();
  home.spawn(sweep());
  home.spawn(place());
}
queen::~queen() = default;

auto queen::queens() const -> std::set<std::string> {
  auto out = std::set<std::string>(set.seeds.begin(), set.seeds.end());
  for (const auto& v : book.voters())
    out.insert(v.addr);
  out.erase(set.addr);
  return out;
}
auto queen::stands() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& v : book.voters())
    out.push_back(v.addr);
  return out;
}
auto queen::meet() -> void {
  for (const auto& a : queens())
    if (swapping.insert(a).second) home.spawn(swaps(a));
}

auto queen::refresh() -> void {
  known.law = law.law;
  known.cells = law.cells;
  known.leavings = law.leavings;
  known.cells_ver = law.cells_ver;
  news.wake();
}

// May this queen, as leader, still speak for the majority? (design 5.3)
auto queen::sure() const -> bool { return book.settled() && h.now() < book.quorum_at() + set.contact_span(); }

// A follower is ready if the leader has just spoken to it for the majority: to hear a leader is not enough, its own
// words may be lost on their way.
auto queen::ready() const -> bool { return book.leads() ? sure() : h.now() - granted_at < set.lose; }

auto queen::lends(const std::string& name) const -> bool {
  if (book.leads()) return sure();
  auto it = guests.find(name);
  return it != guests.end() && it->second.grant > h.now();
}

auto queen::ask(wire_ptr, tree t) -> task<tree> {
  auto op = str(t, "op");
  if (op.compare(0, 2, "l.") == 0) co_return co_await book.ask(op, std::move(t));
  if (op == "session") co_return co_await on_session(std::move(t));
  if (op == "swap") co_return on_swap(t);
  if (op == "deed") co_return co_await deed(sub(t, "deed"));
  if (op == "bye") {
    auto n = str(t, "name");
    if (guests.erase(n)) {
      known.tables[source].cut(n, (boot << 32) + ++bump);
      news.wake();
    }
    if (!book.leads()) {
      try {
        co_await book.ask_leader(t, h.now() + set.budget);
      } catch (const verdict&) {
      }
    }
    grants.erase(n);
    co_return branch{{"ok", true}};
  }
  if (op == "voters") {
    if (!book.leads()) co_return co_await to_leader(std::move(t));
    co_return book.stand();
  }
  if (op == "draw" || op == "held" || op == "fresh" || op == "refound" || op == "leave") {
    if (!book.leads()) co_return co_await to_leader(std::move(t));
    co_await book.fresh(h.now() + set.budget);
    if (op == "draw") co_return on_draw(t);
    if (op == "refound") {
      auto id = str(t, "cell");
      if (!law.cells.count(id)) throw verdict("not_found", "no cell " + id);
      if (!all_lost(law.cells[id])) throw verdict("denied", "not every copy of " + id + " is known to be lost");
      co_return co_await refound(id, true);
    }
    if (op == "held") co_return on_held(t);
    if (op == "leave") co_return co_await decide(leave_order::from_tree(t), num(t, "after"));
    co_return branch{{"charter", law.law ? tree(law.law->body()) : tree()}, {"realm", law.capture()}};
  }
  if (op == "status") co_return status();
  throw verdict("malformed", std::string(unknown_request) + op);
}

auto queen::to_leader(tree t) -> task<tree> {
  t.as_object().erase("q");
  try {
    co_return co_await book.ask_leader(std::move(t), h.now() + set.budget);
  } catch (const verdict& v) {
    if (v.why.compare(0, unknown_request.size(), unknown_request) != 0) throw;
  }
  throw verdict("no_leader", "the leader is of an earlier version", ran::no, set.lose / msec);
}

auto queen::deed(tree d) -> task<tree> {
  if (book.leads()) co_return co_await book.propose(std::move(d), h.now() + set.lose);
  auto q = tree(branch{{"op", "deed"}, {"deed", std::move(d)}});
  co_return co_await book.ask_leader(std::move(q), h.now() + set.lose);
}
auto queen::zones() const -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& [n, s] : known.all())
    out.insert(s.zone);
  return out;
}

auto queen::leave(tick limit) -> task<void> { co_await book.yield(limit); }

auto queen::status() const -> tree {
  return branch{{"kind", "queen"},        {"name", set.name},          {"zone", set.zone},
                {"ledger", book.stand()}, {"sessions", guests.size()}, {"beliefs", known.beliefs()}};
}

}  // namespace hive
