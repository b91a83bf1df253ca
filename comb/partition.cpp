// A partition's log and state on its node's disk, and what it tells of itself (design 6.1, 6.2).
#include "comb/partition.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto rows_kept = std::size_t{1024};

}  // namespace

auto entry_bytes(const tree& entry) -> std::size_t {
  constexpr auto fixed_bytes = std::size_t{64};
  const auto& body = sub(entry, "b");
  return fixed_bytes + (body.is_string() ? body.get_string().size() : 0);
}

partition::partition(partition_context its_context, std::string i)
    : id(std::move(i)), context(std::move(its_context)), h(context.h), disk(*h.disk()), home(h) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, context.set.name, id + ": task ended: " + x.what());
      spill("a cell's task ended");
      halt("a task of it ended");
      broken = true;
    }
  };
  born_at = h.now();
  try {
    load();
  } catch (const std::exception& e) {
    // Torn or altered bytes: never served; the pair makes this copy anew (design 6.8).
    hive::log(grade::grave, context.set.name, id + ": own copy is damaged: " + e.what());
    spill("a damaged copy of " + id);
    wipe();
    broken = true;
  }
  home.spawn(follow_and_lead());
  home.spawn(flush_log());
  home.spawn(replay());
}

auto partition::key(std::int64_t i) const -> std::string {
  char buf[24];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(i));
  return "C/" + id + "/e/" + buf;
}

auto partition::epoch_at(std::int64_t i) const -> std::int64_t {
  if (i == base) return base_epoch;
  if (i < base || i > last()) return -1;
  return log[static_cast<std::size_t>(i - base - 1)].epoch;
}

auto partition::load() -> void {
  if (auto s = disk.get("C/" + id + "/s")) {
    auto t = unseal(*s);
    if (num(t, "format") != 1) throw bad_bytes("format is not 1");
    base = num(t, "idx");
    base_epoch = num(t, "epoch");
    state = partition_state::restore(sub(t, "state"));
  }
  trimmed = base;
  auto at = base;
  disk.scan("C/" + id + "/e/", [&](const std::string& k, const std::string& v) {
    auto i = static_cast<std::int64_t>(std::stoull(k.substr(k.rfind('/') + 1), nullptr, 16));
    if (i <= base) return;
    if (i != ++at) throw bad_bytes("entry " + std::to_string(at) + " is missing");
    auto t = unseal(v);
    log.push_back({num(t, "v"), yes(t, "g"), sub(t, "e"), h.now()});
  });
  applied = base;
  synced = disk.settled() ? last() : 0;  // what was only queued counts after its sync
  if (last() > 0)
    hive::log(grade::note, context.set.name,
              id + ": own copy holds entries " + std::to_string(base + 1) + " to " + std::to_string(last()));
}

auto partition::wipe() -> void {
  auto keys = std::vector<std::string>();
  try {
    disk.scan("C/" + id + "/", [&](const std::string& k, const std::string&) { keys.push_back(k); });
  } catch (const bad_bytes&) {
  }
  for (auto& k : keys)
    disk.cut(k);
  for (auto i = trimmed + 1; i <= last(); ++i)
    disk.cut(key(i));  // also those behind a damaged record, where the scan ended
  ++wipes;
  log.clear();
  state = partition_state();
  base = base_epoch = applied = synced = trimmed = 0;
}

auto partition::append(entry e) -> std::int64_t {
  auto i = last() + 1;
  disk.put(key(i), seal(branch{{"v", e.epoch}, {"g", e.go}, {"e", e.e}}));
  if (str(e.e, "k") != "c") urgent = true;
  log.push_back(std::move(e));
  unsynced_entries.wake();
  return i;
}

auto partition::save() -> void {
  if (log.size() < rows_kept * 2) return;
  disk.put("C/" + id + "/s",
           seal(branch{{"format", 1}, {"idx", applied}, {"epoch", epoch_at(applied)}, {"state", state.capture()}}));
  for (auto i = trimmed + 1; i <= applied; ++i)
    disk.cut(key(i));
  trimmed = applied;
  while (log.size() > rows_kept && base < applied) {
    base_epoch = log.front().epoch;
    log.pop_front();
    ++base;
  }
}

// One operation of the primary. Its entries are applied as they are logged;
// what they make it say waits until the last of them is safe (paper 2.2, 2.4).
auto partition::operate(std::vector<tree> ops) -> void {
  auto row_outs = std::vector<output>();
  auto idx = std::int64_t{0};
  for (auto i = std::size_t{0}; i < ops.size(); ++i) {
    idx = append({row.epoch, i + 1 == ops.size(), ops[i], h.now()});
    auto o = state.apply(idx, ops[i]);
    applied = idx;
    for (auto& one : o)
      row_outs.push_back(std::move(one));
  }
  for (auto& o : row_outs)
    pending_outputs.push_back({idx, std::move(o), nullptr, {}});
  log_grown.wake();
  save();
}

auto partition::clock_entry() -> std::vector<tree> {
  auto ms = (h.now() - clock_at) / msec;
  if (ms < context.set.beat / msec / 2) return {};
  clock_at += ms * msec;
  return {branch{{"k", "c"}, {"d", ms}}};
}

// What the newest configuration alters for this cell. Most alter nothing: then nothing is logged.
auto partition::configuration_entry() const -> std::optional<tree> {
  const auto& law = context.ses.known.law;
  if (!law || law->number <= state.law) return {};
  auto it = law->pools.find(id.substr(0, id.find('/')));
  auto keep = it == law->pools.end() ? state.keep : it->second.keep_ms;
  if (keep == state.keep && context.set.resend / msec == state.resend) return {};
  return branch{{"k", "l"}, {"keep", keep}, {"resend", context.set.resend / msec}, {"n", law->number}};
}

auto partition::configuration_number() const -> std::int64_t {
  const auto& newest = context.ses.known.law;
  return newest && !configuration_entry() ? std::max(state.law, newest->number) : state.law;
}

// Flushes to the own disk, grouped; entries that only tell the time may wait a beat.
auto partition::flush_log() -> task<void> {
  while (true) {
    while (synced >= last())
      co_await unsynced_entries.wait(h);
    auto end = h.now() + context.set.beat;
    while (!urgent && h.now() < end)
      co_await unsynced_entries.wait(h, end);
    urgent = false;
    auto upto = last();
    auto top = epoch_at(upto);
    auto era = wipes;
    auto fault = std::string();
    try {
      co_await disk.sync();
    } catch (const verdict& v) {
      fault = v.what();
    }
    if (!fault.empty()) {
      auto was = std::exchange(broken, true);
      halt("disk: " + fault);
      spill("the disk of " + context.set.name + " fails");
      while (disk.broken())
        co_await rest(h, context.set.beat);
      if (!was) broken = false;  // it has taken everything since, in order
      continue;
    }
    if (era == wipes && upto <= last() && epoch_at(upto) == top) synced = std::max(synced, upto);
    if (role == replica_role::primary)
      release();
    else if (role == replica_role::backup)
      ack(false);
  }
}

auto partition::status() const -> tree {
  auto backups = row.backups();
  auto names = twigs(backups.begin(), backups.end());
  auto ms = branch();
  for (const auto& [m, k] : replicas) {
    auto lag = lag_of(k) / msec;
    ms[m] = branch{{"joined", k.joined}, {"got", k.acked}, {"done", k.done}, {"lag_ms", lag}, {"copies", k.copies}};
  }
  return branch{{"role", role == replica_role::primary  ? "primary"
                         : role == replica_role::backup ? "backup"
                                                        : "idle"},
                {"epoch", row.epoch},
                {"prim", row.prim},
                {"back", backups.empty() ? "" : backups.front()},
                {"backups", names},
                {"last", last()},
                {"applied", applied},
                {"solid", synced},
                {"root", state.root},
                {"broken", broken},
                {"share", share},
                {"slowed", slowed},
                {"stops", stops},
                {"open", state.open.size()},
                {"linked", subscribers.size()},
                {"topics", state.topics.size()},
                {"pending", pending_outputs.size()},
                {"spoken", released},
                {"copies", ms},
                {"charter", configuration_number()}};
}

}  // namespace hive
