// The replicated log as its user sees it: proposals, fresh reads, requests of other voters, status (design 4).
#include "ledger/ledger.hpp"

#include <algorithm>

#include "ledger/storage.hpp"
#include "wax/ring.hpp"

namespace hive {

ledger::ledger(host& hh, const config& c, rules r)
    : h(hh), set(c), law(std::move(r)), disk(*hh.disk()), heat(c.lose * 3 / 8), home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("ledger task ended: ") + x.what());
      spill("a ledger task ended");
    }
  };
  me.addr = c.addr;
  load();
  home.spawn(clock());
  home.spawn(applier());
}

auto ledger::reach(const std::string& addr) -> colleague& {
  auto& c = mates[addr];
  if (!c) {
    c = std::make_unique<colleague>(h, colleague::ways{set.name, addr, set.beat, set.lose});
    c->on_gone = [this, addr] { leader_gone(addr); };
  }
  return *c;
}

auto ledger::ask_leader(tree t, tick until) -> task<tree> {
  if (lead.empty() || lead == me.addr)
    throw verdict("no_leader", "no ledger leader is known here", ran::no, set.lose / msec);
  co_return co_await reach(lead).ask(std::move(t), until);
}

auto ledger::propose(tree deed, tick until) -> task<tree> {
  if (role != part::lead) throw verdict("no_leader", "this queen does not lead", ran::no, set.beat / msec);
  auto w = std::make_shared<wait>();
  w->term = term;
  auto i = append({term, std::move(deed)});
  waits[i] = w;
  home.spawn(settle());
  grown.wake();
  while (!w->out && !w->lost) {
    auto in_time = co_await w->done.wait(h, until);
    if (!in_time) break;
  }
  if (!w->out) throw verdict("unclear", "the ledger did not agree in time", ran::maybe, set.beat / msec);
  co_return std::move(*w->out);
}

auto ledger::fresh(tick until) -> task<void> {
  auto asked = h.now();
  auto t = term;
  auto fail = verdict("no_leader", "no majority confirms the newest state now", ran::no, set.lose / msec);
  if (role != part::lead) throw fail;
  auto first = first_own;
  grown.wake();
  while (quorum_at() < asked) {
    auto in_time = co_await beat_in.wait(h, until);
    if (!in_time || role != part::lead || term != t) throw fail;
  }
  auto upto = std::max(agreed, first);
  while (applied < upto) {
    auto in_time = co_await agreed_more.wait(h, until);
    if (!in_time || role != part::lead || term != t) throw fail;
  }
}

auto ledger::applier() -> task<void> {
  while (true) {
    while (applied < agreed) {
      auto i = applied + 1;
      auto r = log[static_cast<std::size_t>(i - base - 1)];
      auto out = sub(r.deed, "panel").is_array() ? tree(branch{{"ok", true}}) : law.apply(i, r.deed);
      applied = i;
      if (role == part::lead && i == first_own && law.turned) law.turned();  // settled: it speaks for the majority now
      if (auto it = waits.find(i); it != waits.end()) {
        if (it->second->term == r.term)
          it->second->out = std::move(out);
        else
          it->second->lost = true;
        it->second->done.wake();
        waits.erase(it);
      }
      agreed_more.wake();
    }
    shrink();
    co_await agreed_more.wait(h);
  }
}

auto ledger::ask(std::string op, tree t) -> task<tree> {
  if (op == "l.vote") co_return co_await on_vote(std::move(t));
  if (op == "l.append") co_return co_await on_append(std::move(t));
  if (op == "l.capture") co_return co_await on_capture(std::move(t));
  if (op == "l.enter") co_return co_await on_enter(std::move(t));
  if (op == "l.run") {
    if (num(t, "term") == term && role == part::follow && may_vote()) home.spawn(usurp());
    co_return branch{{"ok", true}};
  }
  if (op == "l.who") {
    auto mate = std::find(panel.begin(), panel.end(), voter{str_or(t, "addr"), str_or(t, "id")}) != panel.end();
    co_return branch{
        {"id", me.id}, {"founded", founded}, {"empty", term == 0 && last() == 0}, {"lead", lead}, {"mate", mate}};
  }
  throw verdict("malformed", "unknown request " + op);
}

auto ledger::stand() const -> tree {
  // The leader knows how each voter is; the others name them only.
  auto rows = to_tree(panel).as_array();
  if (role == part::lead) {
    auto tell = [&](branch& row, const std::string& addr, const char* seat) {
      auto it = marks.find(addr);
      auto here = addr == me.addr;
      row["seat"] = seat;
      row["behind"] = here ? last() - solid : it == marks.end() ? last() : last() - it->second.match;
      row["silent_ms"] = here ? 0 : it == marks.end() ? -1 : (h.now() - it->second.heard) / msec;
    };
    for (auto& r : rows)
      tell(r.as_object(), str(r, "addr"), "voter");
    for (const auto& [a, disk_there] : learners) {
      auto row = branch{{"addr", a}, {"id", disk_there}};
      tell(row, a, "enters");
      rows.push_back(row);
    }
  }
  return branch{{"role", role == part::lead  ? "leader"
                         : role == part::run ? "candidate"
                         : may_vote()        ? "follower"
                                             : "learner"},
                {"leader", lead},
                {"term", term},
                {"last", last()},
                {"agreed", agreed},
                {"applied", applied},
                {"base", base},
                {"voters", rows},
                {"changing", role == part::lead && changing},
                {"disk", me.id}};
}

}  // namespace hive
