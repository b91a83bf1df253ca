#include "gateway/subscription_table.hpp"

#include <algorithm>
#include <utility>

namespace reachridge {

auto subscription::begin_opening(const std::string& primary_address, std::int64_t partition_epoch, monotonic_time now)
    -> void {
  if (storage_address != primary_address)
    ++opening;
  storage_address = primary_address;
  epoch = partition_epoch;
  sent_at = now;
}

auto subscription::detach_from_primary() -> void {
  open = false;
  storage_address.clear();
}

auto subscription::accept(std::int64_t position) -> bool {
  // After a takeover the new primary repeats messages. Drop those that were already delivered.
  if (position <= last_position)
    return false;
  // Messages may have been missed since the previous opening. Accepting a late message of the previous opening would
  // raise last_position and suppress them.
  if (!open)
    return false;
  last_position = position;
  return true;
}

auto subscription_table::add(subscription added) -> entries::value_type& {
  auto id = id_prefix_ + std::to_string(++last_number_);
  return *entries_.insert_or_assign(std::move(id), std::move(added)).first;
}

auto subscription_table::find(const std::string& id) -> subscription* {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

auto subscription_table::find_at_primary(const std::string& id, const std::string& primary_address) -> subscription* {
  auto* found = find(id);
  return found && found->storage_address == primary_address ? found : nullptr;
}

auto subscription_table::detach_from_node(const std::string& address) -> void {
  for (auto& [id, entry] : entries_)
    if (entry.storage_address == address)
      entry.detach_from_primary();
}

auto subscription_table::detach_partition(const std::string& partition, const std::string& primary_address) -> void {
  for (auto& [id, entry] : entries_)
    if (entry.partition == partition && entry.storage_address == primary_address)
      entry.detach_from_primary();
}

auto subscription_table::open_count() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.open;
  }));
}

}  // namespace reachridge
