// The backup's side of the logging channel (design 6.2).
#include "comb/cell.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
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
  join_id = num_or(t, "join", 0);
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
  // One of an earlier join may come late, over a link that was given up since: it would undo what was acknowledged.
  if (num_or(t, "join", 0) != join_id) throw verdict("old", "another join came after this copy was begun");
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

}  // namespace hive
