// Records of a partition on the disk: its snapshot has the key "C/ID/s", each log entry the key "C/ID/e/INDEX" with the
// index as 16 hex digits. Every record carries a checksum.
#include "storage/partition_log.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "storage/log_entry.hpp"

namespace reachridge {
namespace {

constexpr auto snapshot_format = 1;
constexpr auto entries_kept_in_memory = std::size_t{1024};  // after a snapshot, for backups that lack a few entries
constexpr auto min_entries_for_snapshot = entries_kept_in_memory * 2;
constexpr auto max_entries_in_memory = entries_kept_in_memory * 8;
// An entry is encoded, sent, stored and applied by itself, which costs as much as copying this many bytes of state.
constexpr auto entry_overhead_bytes = std::size_t{512};

auto decode_record(const std::string& record) -> partition_snapshot {
  auto stored = decode_with_checksum(record);
  if (get_int(stored, "format") != snapshot_format)
    throw decode_error("partition snapshot: format is not 1");
  return decode_partition_snapshot(stored);
}

auto cost_of(const partition_log::entry& entry) -> std::size_t {
  return entry_overhead_bytes + estimate_entry_bytes(entry.payload);
}

}  // namespace

auto encode(const partition_snapshot& snapshot) -> value {
  return object{
      {"format", snapshot_format}, {"idx", snapshot.index}, {"epoch", snapshot.epoch}, {"state", snapshot.state}};
}

auto decode_partition_snapshot(const value& stored) -> partition_snapshot {
  return {.index = get_int(stored, "idx"), .epoch = get_int(stored, "epoch"), .state = get_value(stored, "state")};
}

partition_log::partition_log(store& disk, std::string partition_id)
    : disk_(disk), partition_id_(std::move(partition_id)) {}

auto partition_log::snapshot_key() const -> std::string {
  return "C/" + partition_id_ + "/s";
}

auto partition_log::entry_key_prefix() const -> std::string {
  return "C/" + partition_id_ + "/e/";
}

auto partition_log::entry_key(entry_index index) const -> std::string {
  char hex[24];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(index));
  return entry_key_prefix() + hex;
}

auto partition_log::load_snapshot() -> std::optional<value> {
  auto record = disk_.get(snapshot_key());
  if (!record)
    return {};
  snapshot_bytes_ = record->size();
  auto snapshot = decode_record(*record);
  base_index_ = snapshot.index;
  base_epoch_ = snapshot.epoch;
  return std::move(snapshot.state);
}

auto partition_log::read_snapshot() const -> std::optional<value> {
  auto record = disk_.get(snapshot_key());
  if (!record)
    return {};
  return decode_record(*record).state;
}

auto partition_log::load_entries(monotonic_time now) -> void {
  trimmed_index_ = base_index_;
  auto expected = base_index_;
  disk_.scan(entry_key_prefix(), [&](const std::string& key, const std::string& record) {
    auto index = static_cast<entry_index>(std::stoull(key.substr(key.rfind('/') + 1), nullptr, 16));
    if (index <= base_index_)
      return;  // the snapshot contains this entry: a crash prevented its erasure
    if (index != ++expected)
      throw decode_error("log entry " + std::to_string(expected) + " is missing");
    auto stored = decode_replicated_entry(decode_with_checksum(record));
    entries_.push_back({stored.epoch, stored.go_live_point, std::move(stored.payload), now, disk_.newest_change()});
  });
  base_change_ = disk_.newest_change();
  cost_since_snapshot_ = replication_cost(base_index_);
  synced_index_ = disk_.all_durable() ? last_index() : 0;  // entries that are only queued count after the next sync
}

auto partition_log::epoch_at(entry_index index) const -> partition_epoch {
  if (index == base_index_)
    return base_epoch_;
  if (index < base_index_ || index > last_index())
    return -1;
  return at(index).epoch;
}

auto partition_log::at(entry_index index) const -> const entry& {
  return entries_[static_cast<std::size_t>(index - base_index_ - 1)];
}

auto partition_log::replication_cost(entry_index index) const -> std::size_t {
  auto cost = std::size_t{0};
  for (auto i = index + 1; i <= last_index(); ++i)
    cost += cost_of(at(i));
  return cost;
}

auto partition_log::last_go_live_point(entry_index index) const -> entry_index {
  for (auto i = last_index(); i > index && i > base_index_; --i)
    if (at(i).go_live_point)
      return i;
  return index;
}

auto partition_log::append(entry new_entry) -> entry_index {
  auto index = last_index() + 1;
  auto stored = replicated_entry{new_entry.epoch, new_entry.go_live_point, new_entry.payload};
  disk_.put(entry_key(index), encode_with_checksum(encode(stored)));
  new_entry.change = disk_.newest_change();
  if (!is_clock_advance(new_entry.payload))
    sync_is_urgent_ = true;
  cost_since_snapshot_ += cost_of(new_entry);
  entries_.push_back(std::move(new_entry));
  return index;
}

auto partition_log::last_entry_of_epoch(entry_index index, partition_epoch epoch) const -> entry_identity {
  auto found = std::max(base_index_, std::min(index, last_index()));
  while (found > base_index_ && at(found).epoch > epoch)
    --found;
  return {found, epoch_at(found)};
}

auto partition_log::can_truncate_to(const entry_identity& entry) const -> bool {
  auto is_after_snapshot = entry.index >= std::max(base_index_, trimmed_index_);
  return is_after_snapshot && entry.index <= last_index() && epoch_at(entry.index) == entry.epoch;
}

auto partition_log::truncate_to(entry_index index) -> void {
  ++truncations_;
  while (last_index() > index)
    drop_last_entry();
  synced_index_ = std::min(synced_index_, last_index());
}

auto partition_log::drop_unfinished_operation() -> void {
  while (last_index() > base_index_ && !entries_.back().go_live_point)
    drop_last_entry();
  synced_index_ = std::min(synced_index_, last_index());
}

auto partition_log::drop_last_entry() -> void {
  disk_.erase(entry_key(last_index()));
  cost_since_snapshot_ -= std::min(cost_since_snapshot_, cost_of(entries_.back()));
  entries_.pop_back();
}

auto partition_log::snapshot_is_due() const -> bool {
  if (entries_.size() < min_entries_for_snapshot)
    return false;
  return entries_.size() >= max_entries_in_memory || cost_since_snapshot_ >= snapshot_bytes_;
}

auto partition_log::store_snapshot(entry_index applied_index, value state) -> void {
  auto snapshot =
      partition_snapshot{.index = applied_index, .epoch = epoch_at(applied_index), .state = std::move(state)};
  write_snapshot(snapshot);
  // The disk performs these erasures after the snapshot's write. If a crash prevents them, load_entries skips the
  // entries.
  for (auto i = trimmed_index_ + 1; i <= applied_index; ++i)
    disk_.erase(entry_key(i));
  trimmed_index_ = applied_index;
  cost_since_snapshot_ = replication_cost(applied_index);
  while (entries_.size() > entries_kept_in_memory && base_index_ < applied_index) {
    base_epoch_ = entries_.front().epoch;
    base_change_ = entries_.front().change;
    entries_.pop_front();
    ++base_index_;
  }
}

auto partition_log::wipe() -> void {
  auto keys = std::vector<std::string>();
  try {
    disk_.scan("C/" + partition_id_ + "/", [&](const std::string& key, const std::string&) {
      keys.push_back(key);
    });
  } catch (const decode_error&) {
    // A damaged record ends the scan. The loop below erases the entries that the scan did not reach by index.
  }
  for (const auto& key : keys)
    disk_.erase(key);
  for (auto i = trimmed_index_ + 1; i <= last_index(); ++i)
    disk_.erase(entry_key(i));
  entries_.clear();
  base_index_ = trimmed_index_ = synced_index_ = 0;
  base_epoch_ = 0;
  snapshot_bytes_ = cost_since_snapshot_ = 0;
}

auto partition_log::restart_from(const partition_snapshot& snapshot) -> void {
  base_index_ = trimmed_index_ = snapshot.index;
  base_epoch_ = snapshot.epoch;
  write_snapshot(snapshot);
  base_change_ = disk_.newest_change();
}

auto partition_log::write_snapshot(const partition_snapshot& snapshot) -> void {
  auto record = encode_with_checksum(encode(snapshot));
  snapshot_bytes_ = record.size();
  disk_.put(snapshot_key(), std::move(record));
}

auto partition_log::newest_change() const -> store::change_number {
  return entries_.empty() ? base_change_ : entries_.back().change;
}

auto partition_log::update_synced_index() -> void {
  if (synced_index_ < base_index_) {
    if (!disk_.is_durable(base_change_))
      return;
    synced_index_ = base_index_;
  }
  while (synced_index_ < last_index() && disk_.is_durable(at(synced_index_ + 1).change))
    ++synced_index_;
}

auto partition_log::mark_synced(entry_index index) -> void {
  synced_index_ = std::max(synced_index_, index);
}

}  // namespace reachridge
