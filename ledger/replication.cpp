// Replication: entries and heartbeats from the leader to its followers, and what is committed (design 4.2).
#include <algorithm>

#include "ledger/ledger.hpp"
#include "ledger/storage.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto rows_most = std::size_t{64};  // entries in one append

}  // namespace

auto ledger::answer(bool ok) const -> branch {
  return branch{{"term", term}, {"ok", ok}, {"id", me.id}, {"last", last()}};
}

// Waits for the own disk; then the own copy counts too.
auto ledger::settle() -> task<void> {
  auto upto = last();
  auto t = term;
  try {
    co_await disk.sync();
  } catch (const verdict&) {
    hive::log(grade::grave, set.name, "the ledger's disk fails; giving up the lead");
    if (role == part::lead) follow(term, "");
    co_return;
  }
  if (term == t) solid = std::max(solid, std::min(upto, last()));
  if (role == part::lead) advance();
}

auto ledger::advance() -> void {
  auto all = std::vector<std::int64_t>();
  for (const auto& v : panel) {
    auto it = marks.find(v.addr);
    all.push_back(v == me ? solid : it == marks.end() ? 0 : it->second.match);
  }
  if (all.empty()) return;
  std::sort(all.rbegin(), all.rend());
  auto safe = all[majority() - 1];
  if (safe > agreed && term_at(safe) == term) {
    agreed = safe;
    agreed_more.wake();
    grown.wake();
  }
}

auto ledger::quorum_at() const -> tick {
  auto all = std::vector<tick>();
  for (const auto& v : panel) {
    auto it = marks.find(v.addr);
    all.push_back(v == me ? h.now() : it == marks.end() ? -never : it->second.heard);
  }
  if (all.empty()) return -never;
  std::sort(all.rbegin(), all.rend());
  return all[majority() - 1];
}

auto ledger::on_append(tree t) -> task<tree> {
  auto their = num(t, "term");
  // Meant for the disk that stood here before: what is on this one may be of another ledger.
  if (auto to = str_or(t, "to"); !to.empty() && to != me.id) co_return answer(false);
  if (their < term) co_return answer(false);
  if (their > term || role != part::follow || lead != str(t, "lead")) follow(their, str(t, "lead"));
  heard_lead = h.now();
  auto prev = num(t, "prev");
  auto out = branch();
  if (prev > last() || (prev >= base && term_at(prev) != num(t, "prev_term"))) {
    out = answer(false);
    auto hint = std::min(prev - 1, last());
    auto odd = term_at(hint);
    while (prev <= last() && hint > std::max(base, agreed) && term_at(hint) == odd)
      --hint;
    out["hint"] = std::max(hint, agreed) + 1;
    co_return out;
  }
  auto i = prev;
  for (const auto& r : list(t, "rows")) {
    ++i;
    if (i <= base) continue;
    auto rt = num(r, "t");
    if (i <= last()) {
      if (term_at(i) == rt) continue;
      chop(i);
    }
    append({rt, sub(r, "d")});
  }
  if (!founded && !panel.empty()) {
    founded = true;
    keep_meta();
  }
  if (auto seen = std::min(num(t, "commit"), i); seen > agreed) {
    agreed = seen;
    agreed_more.wake();
  }
  co_await disk.sync();
  if (term != their || i > last()) co_return answer(false);
  solid = std::max(solid, i);
  out = answer(true);
  out["match"] = i;
  co_return out;
}

// One task per colleague while leading: appends, beats, captures.
auto ledger::feed(std::string addr, std::int64_t t) -> task<void> {
  auto told = std::int64_t{-1};
  auto mine = [&] {
    if (role != part::lead || term != t) return false;
    return learners.count(addr) > 0 || seated(addr);
  };
  while (mine()) {
    auto& m = marks[addr];
    if (m.next < 1) m.next = 1;
    auto failed = false;
    try {
      if (m.next <= base) {
        co_await send_capture(addr, t);
        if (!mine()) break;
      }
      auto prev = marks[addr].next - 1;
      auto rows = twigs();
      for (auto i = prev + 1; i <= last() && rows.size() < rows_most && i > base; ++i) {
        const auto& r = log[static_cast<std::size_t>(i - base - 1)];
        rows.push_back(branch{{"t", r.term}, {"d", r.deed}});
      }
      auto sent = h.now();
      auto upto = agreed;
      auto q = tree(branch{{"op", "l.append"},
                           {"term", t},
                           {"lead", me.addr},
                           {"to", disk_at(addr)},
                           {"prev", prev},
                           {"prev_term", term_at(prev)},
                           {"commit", upto},
                           {"rows", std::move(rows)}});
      auto r = co_await reach(addr).ask(std::move(q), h.now() + heat);
      if (!mine()) break;
      auto seat_id = std::string();
      for (const auto& v : panel)
        if (v.addr == addr) seat_id = v.id;
      auto right = seat_id.empty() || seat_id == str(r, "id");
      auto& k = marks[addr];
      if (num(r, "term") > term) {
        follow(num(r, "term"), "");
        break;
      }
      if (right) k.heard = sent;
      if (yes(r, "ok")) {
        if (right) k.match = std::max(k.match, num(r, "match"));
        k.next = num(r, "match") + 1;
        told = upto;
      } else {
        k.next = std::max<std::int64_t>(1, num_or(r, "hint", k.next - 1));
        told = -1;
      }
      advance();
      beat_in.wake();
      if (!right) failed = true;
    } catch (const verdict&) {
      failed = true;
    }
    if (!mine()) break;
    if (failed) {
      co_await rest(h, set.beat);
    } else if (marks[addr].next > last() && told >= agreed) {
      co_await grown.wait(h, h.now() + set.beat);
    }
  }
}

}  // namespace hive
