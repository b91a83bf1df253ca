// Entries, metadata and snapshots on disk; see log_storage.hpp. Writes become durable in their order, so a snapshot is
// always written before the entries that it replaces are erased: no loss of power finds neither.
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
auto entry_key(log_index at) -> std::string {
  return entry_prefix + hexadecimal(static_cast<std::uint64_t>(at.get()));
}
auto index_in(const std::string& entry_key) -> log_index {
  constexpr auto hexadecimal_base = 16;
  auto digits = entry_key.substr(std::string_view(entry_prefix).size());
  return static_cast<std::int64_t>(std::stoull(digits, nullptr, hexadecimal_base));
}

}  // namespace

auto log_storage::load(std::uint64_t fresh_id) -> std::optional<snapshot> {
  auto metadata = disk_.get(metadata_key);
  if (!metadata) {
    auto had = false;
    disk_.scan("L/", [&](const std::string&, const std::string&) {
      had = true;
    });
    if (had)
      throw request_error(errc::damaged, "the ledger's folder lacks its first record");
    disk_id = hexadecimal(fresh_id);
    save_metadata();
    return {};
  }
  auto read = deserialize_metadata(*metadata);
  disk_id = read.disk_id;
  term = read.term;
  voted_for = read.voted_for;
  initialized = read.initialized;
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
  configurations_ = {{base_index_, {image.members, image.log_id}}};
  return image;
}

auto log_storage::load_entries() -> void {
  auto stale = std::vector<std::string>();
  disk_.scan(entry_prefix, [&](const std::string& key, const std::string& bytes) {
    auto at = index_in(key);
    if (at <= base_index_)
      return stale.push_back(key);
    if (at != last() + 1)
      throw request_error(errc::damaged, "the ledger lacks entry " + to_string(last() + 1));
    auto entry = deserialize_entry(bytes);
    push(entry.term, encode_cbor(entry.command));
    record_configuration(at, entry.command);
  });
  // Power was lost between a snapshot and the erasing of what it covers: it is erased now.
  for (auto& key : stale)
    disk_.erase(std::move(key));
}

auto log_storage::save_metadata() -> void {
  disk_.put(metadata_key, serialize_metadata({disk_id, term, voted_for, initialized}));
}

auto log_storage::term_at(log_index at) const -> term_number {
  if (at == base_index_)
    return base_term_;
  if (at < base_index_ || at > last())
    return unknown_term;
  return entry_at(at).term;
}

auto log_storage::entry_at(log_index at) const -> const entry& {
  return entries_.at(static_cast<std::size_t>(at - base_index_ - 1));
}

auto log_storage::members_at(log_index at) const -> const membership& {
  auto after = configurations_.upper_bound(at);
  if (after == configurations_.begin())
    return after->second.members;
  return std::prev(after)->second.members;
}

auto log_storage::record_configuration(log_index at, const value& command) -> void {
  auto read = decode_membership_command(command);
  if (!read)
    return;
  // A log is named once, by the first entry of its first leader.
  auto id = log_id().empty() ? read->log_id.value_or("") : log_id();
  configurations_[at] = {std::move(read->members), std::move(id)};
}

auto log_storage::push(term_number entry_term, std::string command) -> void {
  auto before = entries_.empty() ? base_bytes_ : entries_.back().total_bytes;
  auto size = command.size();
  entries_.push_back({entry_term, std::move(command), before + size});
}

auto log_storage::bytes_between(log_index from, log_index upto) const -> std::size_t {
  auto total_at = [this](log_index at) {
    return at <= base_index_ ? base_bytes_ : entry_at(at).total_bytes;
  };
  return total_at(upto) - total_at(from);
}

auto log_storage::append(term_number entry_term, const value& command) -> log_index {
  auto at = last() + 1;
  disk_.put(entry_key(at), serialize_entry(entry_term, command));
  push(entry_term, encode_cbor(command));
  record_configuration(at, command);
  return at;
}

auto log_storage::truncate_from(log_index from) -> void {
  while (last() >= from) {
    disk_.erase(entry_key(last()));
    configurations_.erase(last());
    entries_.pop_back();
  }
  durable_index = std::min(durable_index, last());
}

auto log_storage::snapshot_due(log_index applied) const -> bool {
  if (applied <= snapshot_index_)
    return false;
  auto behind = bytes_between(snapshot_index_, applied);
  return behind >= std::max(compaction_threshold_bytes, snapshot_bytes_) ||
         applied - snapshot_index_ >= limits_.compaction_threshold_entries;
}

// From the last to the first: what a loss of power leaves has no hole.
auto log_storage::erase_on_disk(log_index from, log_index upto) -> void {
  for (auto at = upto; at >= from; --at)
    disk_.erase(entry_key(at));
}

// The snapshot is written before the entries that it replaces are erased. In memory entries go one by one from the
// front, until what is left is within the bounds.
auto log_storage::compact(const snapshot& image, log_index needed) -> void {
  auto bytes = serialize_snapshot(image);
  snapshot_bytes_ = bytes.size();
  disk_.put(snapshot_key, std::move(bytes));
  erase_on_disk(snapshot_index_ + 1, image.index);
  snapshot_index_ = image.index;
  auto keep = [&] {
    auto covered_bytes = bytes_between(base_index_, snapshot_index_);
    if (covered_bytes > max_retained_bytes)
      return false;
    return base_index_ >= needed ||
           (covered_bytes <= max_tail_bytes && snapshot_index_ - base_index_ <= limits_.max_tail_entries);
  };
  while (base_index_ < snapshot_index_ && !keep())
    drop_front(base_index_ + 1);
}

auto log_storage::drop_front(log_index upto) -> void {
  while (base_index_ < upto) {
    base_term_ = entries_.front().term;
    base_bytes_ = entries_.front().total_bytes;
    entries_.pop_front();
    ++base_index_;
  }
  // The newest voters at or before the base stay.
  auto after = configurations_.upper_bound(base_index_);
  configurations_.erase(configurations_.begin(), std::prev(after));
}

// Entries behind the snapshot stay if they are of its history (Raft, figure 13, rule 6): the leader may already count
// on them. Otherwise all that is here goes.
auto log_storage::install(const snapshot& image, std::string bytes) -> void {
  auto follows = term_at(image.index) == image.term;
  snapshot_bytes_ = bytes.size();
  disk_.put(snapshot_key, std::move(bytes));
  if (follows) {
    erase_on_disk(snapshot_index_ + 1, image.index);
    drop_front(image.index);
  } else {
    erase_on_disk(snapshot_index_ + 1, last());
    entries_.clear();
    base_bytes_ = 0;
    base_index_ = image.index;
    base_term_ = image.term;
    configurations_ = {{base_index_, {image.members, image.log_id}}};
    durable_index = base_index_;
  }
  durable_index = std::max(durable_index, image.index);
  snapshot_index_ = image.index;
  initialized = true;
  save_metadata();
}

auto log_storage::bootstrap(std::vector<voter> voters) -> void {
  auto first = snapshot{0, 0, {std::move(voters), {}}, {}, nullptr};
  configurations_ = {{0, {first.members, {}}}};
  initialized = true;
  disk_.put(snapshot_key, serialize_snapshot(first));
  save_metadata();
}

}  // namespace reachridge
