// Entries, metadata and snapshots on disk; see storage.hpp. Writes become durable in their order, so a snapshot is
// always written before the entries that it replaces are erased: no loss of power finds neither.
#include "ledger/storage.hpp"

#include <algorithm>

#include "wax/verdict.hpp"

namespace hive {
namespace {

constexpr auto metadata_key = "L/meta";
constexpr auto snapshot_key = "L/cap";
constexpr auto entry_prefix = "L/e/";

auto hexadecimal(std::uint64_t value) -> std::string {
  char buffer[20];
  std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(value));
  return buffer;
}
auto entry_key(log_index at) -> std::string { return entry_prefix + hexadecimal(static_cast<std::uint64_t>(at)); }

}  // namespace

auto log_storage::load(std::uint64_t fresh_id) -> std::optional<snapshot> {
  auto metadata = disk.get(metadata_key);
  if (!metadata) {
    auto had = false;
    disk.scan("L/", [&](const std::string&, const std::string&) { had = true; });
    if (had) throw verdict("damaged", "the ledger's folder lacks its first record");
    disk_id = hexadecimal(fresh_id);
    save_metadata();
    return {};
  }
  auto m = unseal(*metadata);
  if (num(m, "format") != 1) throw verdict("damaged", "the ledger's format is not 1");
  disk_id = str(m, "id");
  term = num(m, "term");
  voted_for = str(m, "voted");
  founded = yes(m, "founded");
  auto out = std::optional<snapshot>();
  if (auto bytes = disk.get(snapshot_key)) {
    out = unseal_snapshot(*bytes);
    snapshot_bytes = bytes->size();
    base = covered = out->index;
    base_term = out->term;
    configurations = {{base, {out->members, out->ledger_id}}};
  }
  auto stale = std::vector<std::string>();
  disk.scan(entry_prefix, [&](const std::string& key, const std::string& bytes) {
    auto at = static_cast<log_index>(std::stoull(key.substr(std::string(entry_prefix).size()), nullptr, 16));
    if (at <= base) return stale.push_back(key);
    if (at != last() + 1) throw verdict("damaged", "the ledger lacks entry " + std::to_string(last() + 1));
    auto record = unseal(bytes);
    const auto& command = sub(record, "d");
    push(num(record, "t"), pack(command));
    note_configuration(at, command);
  });
  // Power was lost between a snapshot and the erasing of what it covers.
  for (auto& key : stale)
    disk.cut(std::move(key));
  durable_index = last();
  return out;
}

auto log_storage::save_metadata() -> void {
  disk.put(metadata_key,
           seal(branch{{"format", 1}, {"id", disk_id}, {"term", term}, {"voted", voted_for}, {"founded", founded}}));
}

auto log_storage::term_at(log_index at) const -> term_number {
  if (at == base) return base_term;
  if (at < base || at > last()) return -1;
  return entry_at(at).term;
}
auto log_storage::entry_at(log_index at) const -> const entry& {
  return entries.at(static_cast<std::size_t>(at - base - 1));
}
auto log_storage::members_at(log_index at) const -> const membership& {
  auto after = configurations.upper_bound(at);
  if (after == configurations.begin()) return after->second.members;
  return std::prev(after)->second.members;
}

auto log_storage::note_configuration(log_index at, const tree& command) -> void {
  auto members = decode_membership(command);
  if (!members) return;
  auto id = ledger_id().empty() ? str_or(command, "realm") : ledger_id();
  configurations[at] = {std::move(*members), std::move(id)};
}

auto log_storage::push(term_number entry_term, std::string command) -> void {
  auto before = entries.empty() ? base_bytes : entries.back().total_bytes;
  auto size = command.size();
  entries.push_back({entry_term, std::move(command), before + size});
}
auto log_storage::bytes_between(log_index from, log_index upto) const -> std::size_t {
  auto total_at = [this](log_index at) { return at <= base ? base_bytes : entry_at(at).total_bytes; };
  return total_at(upto) - total_at(from);
}

auto log_storage::append(term_number entry_term, const tree& command) -> log_index {
  auto at = last() + 1;
  disk.put(entry_key(at), seal(branch{{"t", entry_term}, {"d", command}}));
  push(entry_term, pack(command));
  note_configuration(at, command);
  return at;
}

auto log_storage::truncate_from(log_index from) -> void {
  while (last() >= from) {
    disk.cut(entry_key(last()));
    configurations.erase(last());
    entries.pop_back();
  }
  durable_index = std::min(durable_index, last());
}

auto log_storage::wants_snapshot(log_index applied) const -> bool {
  if (applied <= covered) return false;
  auto behind = bytes_between(covered, applied);
  return behind >= std::max(compaction_bytes, snapshot_bytes) || applied - covered >= bounds.compaction_entries;
}

// From the last to the first: what a loss of power leaves has no hole.
auto log_storage::erase_on_disk(log_index from, log_index upto) -> void {
  for (auto at = upto; at >= from; --at)
    disk.cut(entry_key(at));
}

auto log_storage::compact(const snapshot& s, log_index needed) -> void {
  auto bytes = seal_snapshot(s);
  snapshot_bytes = bytes.size();
  disk.put(snapshot_key, std::move(bytes));
  erase_on_disk(covered + 1, s.index);
  covered = s.index;
  auto keep = [&] {
    auto covered_bytes = bytes_between(base, covered);
    if (covered_bytes > retained_bytes_most) return false;
    return base >= needed || (covered_bytes <= tail_bytes && covered - base <= bounds.tail_entries);
  };
  while (base < covered && !keep())
    drop_front(base + 1);
}

auto log_storage::drop_front(log_index upto) -> void {
  while (base < upto) {
    base_term = entries.front().term;
    base_bytes = entries.front().total_bytes;
    entries.pop_front();
    ++base;
  }
  // The newest voters at or before the base stay.
  auto after = configurations.upper_bound(base);
  configurations.erase(configurations.begin(), std::prev(after));
}

auto log_storage::install(const snapshot& s, std::string bytes) -> void {
  auto follows = term_at(s.index) == s.term;
  snapshot_bytes = bytes.size();
  disk.put(snapshot_key, std::move(bytes));
  if (follows) {
    erase_on_disk(covered + 1, s.index);
    drop_front(s.index);
  } else {
    erase_on_disk(covered + 1, last());
    entries.clear();
    base_bytes = 0;
    base = s.index;
    base_term = s.term;
    configurations = {{base, {s.members, s.ledger_id}}};
    durable_index = base;
  }
  durable_index = std::max(durable_index, s.index);
  covered = s.index;
  founded = true;
  save_metadata();
}

auto log_storage::found(std::vector<voter> voters) -> void {
  auto first = snapshot{0, 0, {std::move(voters), {}}, {}, nullptr};
  configurations = {{0, {first.members, {}}}};
  founded = true;
  disk.put(snapshot_key, seal_snapshot(first));
  save_metadata();
}

}  // namespace hive
