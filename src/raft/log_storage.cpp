// Storage of entries, metadata and snapshots; see log_storage.hpp. Writes become durable in the order in which they are
// made. A snapshot is therefore written before the entries that it covers are erased, so that a power failure at any
// time leaves the snapshot, the entries or both on disk.
#include "raft/log_storage.hpp"

#include <algorithm>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto metadata_key = "L/meta";
constexpr auto snapshot_key = "L/cap";
constexpr auto entry_prefix = "L/e/";

auto hexadecimal(std::uint64_t value) -> std::string {
  char buffer[20];
  std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(value));
  return buffer;
}
auto entry_key(log_index index) -> std::string {
  return entry_prefix + hexadecimal(static_cast<std::uint64_t>(index.get()));
}
auto index_from_key(const std::string& key) -> log_index {
  constexpr auto hexadecimal_base = 16;
  auto digits = key.substr(std::string_view(entry_prefix).size());
  return static_cast<std::int64_t>(std::stoull(digits, nullptr, hexadecimal_base));
}

}  // namespace

auto log_storage::load(std::uint64_t fresh_id) -> std::optional<snapshot> {
  auto metadata = disk_.get(metadata_key);
  if (!metadata) {
    auto has_other_records = false;
    disk_.scan("L/", [&](const std::string&, const std::string&) {
      has_other_records = true;
    });
    if (has_other_records)
      throw request_error(errc::damaged, "the replicated log's metadata record is missing");
    disk_id = hexadecimal(fresh_id);
    save_metadata();
    return {};
  }
  auto stored = deserialize_metadata(*metadata);
  disk_id = stored.disk_id;
  term = stored.term;
  voted_for = stored.voted_for;
  initialized = stored.initialized;
  auto image = load_snapshot();
  load_entries();
  durable_index = last();
  return image;
}

auto log_storage::load_snapshot() -> std::optional<snapshot> {
  auto bytes = disk_.get(snapshot_key);
  if (!bytes)
    return {};
  auto image = deserialize_snapshot(*bytes);
  snapshot_bytes_ = bytes->size();
  base_index_ = snapshot_index_ = image.index;
  base_term_ = image.term;
  memberships_ = {{base_index_, {image.members, image.log_id}}};
  return image;
}

auto log_storage::load_entries() -> void {
  auto stale = std::vector<std::string>();
  disk_.scan(entry_prefix, [&](const std::string& key, const std::string& bytes) {
    auto index = index_from_key(key);
    if (index <= base_index_)
      return stale.push_back(key);
    if (index != last() + 1)
      throw request_error(errc::damaged, "the replicated log on disk lacks entry " + to_string(last() + 1));
    auto entry = deserialize_entry(bytes);
    push_entry(entry.term, encode_cbor(entry.command));
    record_membership(index, entry.command);
  });
  // A power failure after a snapshot was written, and before the entries that it covers were erased, leaves these
  // entries on disk.
  for (auto& key : stale)
    disk_.erase(std::move(key));
}

auto log_storage::save_metadata() -> void {
  disk_.put(metadata_key, serialize_metadata({disk_id, term, voted_for, initialized}));
}

auto log_storage::term_at(log_index index) const -> term_number {
  if (index == base_index_)
    return base_term_;
  if (index < base_index_ || index > last())
    return unknown_term;
  return entry_at(index).term;
}

auto log_storage::entry_at(log_index index) const -> const entry& {
  return entries_.at(static_cast<std::size_t>(index - base_index_ - 1));
}

auto log_storage::members_at(log_index index) const -> const membership& {
  auto next = memberships_.upper_bound(index);
  if (next == memberships_.begin())
    return next->second.members;
  return std::prev(next)->second.members;
}

auto log_storage::record_membership(log_index index, const value& command) -> void {
  auto decoded = decode_membership_command(command);
  if (!decoded)
    return;
  // The first leader's first entry sets the identifier of the log, which does not change afterwards.
  auto id = log_id().empty() ? decoded->log_id.value_or("") : log_id();
  memberships_[index] = {std::move(decoded->members), std::move(id)};
}

auto log_storage::push_entry(term_number entry_term, std::string command) -> void {
  auto previous_total = entries_.empty() ? base_bytes_ : entries_.back().total_bytes;
  auto size = command.size();
  entries_.push_back({entry_term, std::move(command), previous_total + size});
}

auto log_storage::bytes_between(log_index from, log_index through) const -> std::size_t {
  auto total_at = [this](log_index index) {
    return index <= base_index_ ? base_bytes_ : entry_at(index).total_bytes;
  };
  return total_at(through) - total_at(from);
}

auto log_storage::append(term_number entry_term, const value& command) -> log_index {
  auto index = last() + 1;
  disk_.put(entry_key(index), serialize_entry(entry_term, command));
  push_entry(entry_term, encode_cbor(command));
  record_membership(index, command);
  return index;
}

auto log_storage::truncate_from(log_index from) -> void {
  while (last() >= from) {
    disk_.erase(entry_key(last()));
    memberships_.erase(last());
    entries_.pop_back();
  }
  durable_index = std::min(durable_index, last());
}

auto log_storage::snapshot_due(log_index applied) const -> bool {
  if (applied <= snapshot_index_)
    return false;
  auto applied_bytes = bytes_between(snapshot_index_, applied);
  return applied_bytes >= std::max(compaction_threshold_bytes, snapshot_bytes_) ||
         applied - snapshot_index_ >= limits_.compaction_threshold_entries;
}

// Erases from the last entry to the first, so that a power failure leaves no gap in the stored entries.
auto log_storage::erase_on_disk(log_index from, log_index through) -> void {
  for (auto index = through; index >= from; --index)
    disk_.erase(entry_key(index));
}

// The snapshot is written before the entries that it covers are erased. In memory, entries are removed one by one from
// the front until the limits hold.
auto log_storage::compact(const snapshot& image, log_index needed) -> void {
  auto bytes = serialize_snapshot(image);
  snapshot_bytes_ = bytes.size();
  disk_.put(snapshot_key, std::move(bytes));
  erase_on_disk(snapshot_index_ + 1, image.index);
  snapshot_index_ = image.index;
  auto may_keep_first_entry = [&] {
    auto covered_bytes = bytes_between(base_index_, snapshot_index_);
    if (covered_bytes > max_retained_bytes)
      return false;
    return base_index_ >= needed ||
           (covered_bytes <= max_tail_bytes && snapshot_index_ - base_index_ <= limits_.max_tail_entries);
  };
  while (base_index_ < snapshot_index_ && !may_keep_first_entry())
    drop_front(base_index_ + 1);
}

auto log_storage::drop_front(log_index through) -> void {
  while (base_index_ < through) {
    base_term_ = entries_.front().term;
    base_bytes_ = entries_.front().total_bytes;
    entries_.pop_front();
    ++base_index_;
  }
  // Keep the newest membership at or before base_index_: it is in effect there.
  auto next = memberships_.upper_bound(base_index_);
  memberships_.erase(memberships_.begin(), std::prev(next));
}

// If the log has an entry with the index and term of the snapshot's last entry, the entries after the snapshot stay
// (Raft, figure 13, rule 6), because the leader may already count on this replica's acknowledgement of them. Otherwise
// the whole log is discarded.
auto log_storage::install(const snapshot& image, std::string bytes) -> void {
  auto has_last_entry = term_at(image.index) == image.term;
  snapshot_bytes_ = bytes.size();
  disk_.put(snapshot_key, std::move(bytes));
  if (has_last_entry) {
    erase_on_disk(snapshot_index_ + 1, image.index);
    drop_front(image.index);
  } else {
    erase_on_disk(snapshot_index_ + 1, last());
    entries_.clear();
    base_bytes_ = 0;
    base_index_ = image.index;
    base_term_ = image.term;
    memberships_ = {{base_index_, {image.members, image.log_id}}};
    durable_index = base_index_;
  }
  durable_index = std::max(durable_index, image.index);
  snapshot_index_ = image.index;
  initialized = true;
  save_metadata();
}

auto log_storage::bootstrap(std::vector<voter> voters) -> void {
  auto initial = snapshot{0, 0, {std::move(voters), {}}, {}, nullptr};
  memberships_ = {{0, {initial.members, {}}}};
  initialized = true;
  disk_.put(snapshot_key, serialize_snapshot(initial));
  save_metadata();
}

}  // namespace reachridge
