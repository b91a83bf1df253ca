// The backup's side of the logging channel (design 6.2).
#include "comb/partition.hpp"

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

auto partition::obsolete() const -> bool {
  return role != replica_role::primary && inside == 0 && row.epoch > 0 && !row.holds(me()) &&
         h.now() - std::max({heard, born_at, back_at}) > context.set.lose * 5;
}

auto partition::on_join(tree t) -> task<tree> {
  auto here = visit(inside);
  auto e = num(t, "epoch");
  if (e < row.epoch || e < followed_epoch) throw verdict("old", id + " has moved on", ran::no, -1, row.to_tree());
  if (role == replica_role::primary) {
    if (e == row.epoch) throw verdict("old", "two primaries at one epoch", ran::no);
    halt("a newer primary joins");
  }
  followed = str(t, "from");
  followed_epoch = e;
  join_id = num_or(t, "join", 0);
  followed_gone = false;
  heard = h.now();
  if (role != replica_role::backup) back_at = h.now();
  role = replica_role::backup;
  auto upto = last();
  auto top = epoch_at(upto);
  auto era = wipes;
  co_await disk.sync();
  // What came in meanwhile is not synced yet.
  if (era == wipes && upto <= last() && epoch_at(upto) == top) synced = std::max(synced, upto);
  co_return branch{
      {"last", last()}, {"epoch", epoch_at(last())}, {"applied", applied}, {"broken", broken}, {"synced", synced}};
}

auto partition::on_copy(tree t) -> task<tree> {
  auto here = visit(inside);
  if (num(t, "epoch") != followed_epoch || str(t, "from") != followed || role != replica_role::backup)
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
  base = trimmed = applied = num(s, "idx");
  base_epoch = num(s, "epoch");
  state = partition_state::restore(sub(s, "state"));
  disk.put("C/" + id + "/s", seal(s));
  auto mine = followed_epoch;
  co_await disk.sync();
  if (followed_epoch != mine || role != replica_role::backup) throw verdict("old", "another primary is followed");
  broken = false;
  synced = std::max(synced, base);  // what came in meanwhile waits for its own sync
  co_return branch{{"ok", true}};
}

auto partition::on_log(const wire_ptr& w, const tree& t) -> void {
  if (role != replica_role::backup || num(t, "epoch") != followed_epoch || str(t, "from") != followed) {
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
  followed_link = w;
  followed_gone = false;
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
    append({num(r, "v"), yes(r, "g"), sub(r, "e"), h.now()});
    any = true;
  }
  if (any)
    entries_received.wake();
  else
    ack(false);
}

auto partition::on_wait(std::int64_t epoch) -> void {
  if (role != replica_role::primary && epoch >= row.epoch && epoch >= followed_epoch) heard = h.now();
}

// A closed channel speaks louder than silence: a primary that lives opens it again
// within a beat or two, one that was killed does not.
auto partition::channel_closed(const wire_ptr& w) -> bool {
  if (role != replica_role::backup || followed_link != w) return false;
  followed_link.reset();
  heard = std::min(heard, h.now() - context.set.lose + context.set.beat * 2);
  return true;
}

auto partition::primary_gone(const std::string& name) -> void {
  if (role != replica_role::backup || followed_link || name_of(followed) != name || row.prim != followed) return;
  followed_gone = true;
  look_at_once = true;
  wake_up.wake();
}

auto partition::ack(bool nack) -> void {
  if (!followed_link) return;
  followed_link->tell(branch{{"op", "c.ack"},
                             {"cell", id},
                             {"me", me()},
                             {"epoch", followed_epoch},
                             {"nack", nack},
                             {"got", synced},
                             {"done", applied}});
}

// Consumes the buffer up to its last go-live point, then stalls (paper 2.4, 3.2).
auto partition::replay() -> task<void> {
  while (true) {
    auto upto = applied;
    for (auto i = last(); i > applied && upto == applied; --i)
      if (i > base && log[static_cast<std::size_t>(i - base - 1)].go) upto = i;
    if (role == replica_role::primary || upto <= applied) {
      co_await entries_received.wait(h);
      continue;
    }
    while (applied < upto && role != replica_role::primary && applied >= base && applied < last()) {
      if (context.set.drag > 0) co_await rest(h, context.set.drag);
      if (role == replica_role::primary || applied < base || applied >= last()) break;
      auto i = applied + 1;
      state.apply(i, log[static_cast<std::size_t>(i - base - 1)].e);  // outputs are dropped
      applied = i;
    }
    if (role == replica_role::backup) save();
    co_await nap(h, 0);
  }
}

}  // namespace hive
