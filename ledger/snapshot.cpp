// Snapshots: they bound the log, and bring up a follower whose next entry is no longer in it (design 4.6).
#include "ledger/ledger.hpp"
#include "ledger/storage.hpp"

namespace hive {
namespace {

constexpr auto keep_rows = std::int64_t{512};  // entries kept behind a snapshot

}  // namespace

auto ledger::on_capture(tree t) -> task<tree> {
  auto their = num(t, "term");
  if (auto to = str_or(t, "to"); !to.empty() && to != me.id) co_return answer(false);
  if (their < term) co_return answer(false);
  follow(their, str(t, "lead"));
  heard_lead = h.now();
  auto idx = num(t, "idx");
  if (idx > agreed) {
    for (auto i = base + 1; i <= last(); ++i)
      disk.cut(slot(i));
    log.clear();
    base = idx;
    base_term = num(t, "idx_term");
    base_panel = to_panel(sub(t, "panel"));
    base_realm = str_or(t, "realm");
    base_state = sub(t, "state");
    agreed = applied = solid = base;
    law.restore(base_state);
    disk.put("L/cap", seal(branch{{"idx", base},
                                  {"term", base_term},
                                  {"panel", to_tree(base_panel)},
                                  {"realm", base_realm},
                                  {"state", base_state}}));
    founded = true;
    keep_meta();
    seat();
    agreed_more.wake();
  }
  co_await disk.sync();
  auto out = answer(term == their);
  out["match"] = idx;
  co_return out;
}

auto ledger::send_capture(std::string addr, std::int64_t t) -> task<void> {
  auto state = law.capture();
  auto idx = applied;
  auto q = tree(branch{{"op", "l.capture"},
                       {"term", t},
                       {"lead", me.addr},
                       {"idx", idx},
                       {"idx_term", term_at(idx)},
                       {"to", disk_at(addr)},
                       {"panel", to_tree(panel_at(idx))},
                       {"realm", realm},
                       {"state", std::move(state)}});
  auto r = co_await reach(addr).ask(std::move(q), h.now() + set.lose);
  if (role != part::lead || term != t) co_return;
  if (num(r, "term") > term) co_return follow(num(r, "term"), "");
  if (yes(r, "ok")) {
    marks[addr].match = std::max(marks[addr].match, idx);
    marks[addr].next = idx + 1;
  }
}

// Bounded growth: a capture replaces the entries before it.
auto ledger::shrink() -> void {
  if (applied - base < keep_rows * 2) return;
  auto upto = applied;
  auto state = law.capture();
  auto t = term_at(upto);
  base_panel = panel_at(upto);
  base_realm = realm;
  for (auto i = base + 1; i <= upto; ++i) {
    log.pop_front();
    disk.cut(slot(i));
  }
  base = upto;
  base_term = t;
  base_state = std::move(state);
  disk.put("L/cap", seal(branch{{"idx", base},
                                {"term", base_term},
                                {"panel", to_tree(base_panel)},
                                {"realm", base_realm},
                                {"state", base_state}}));
  home.spawn(settle());
}

}  // namespace hive
