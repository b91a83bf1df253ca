#include "simulator/durability_audit.hpp"

#include <charconv>
#include <cstdint>
#include <limits>

namespace reachridge {
namespace {

constexpr auto index_base = 16;  // the keys of entries contain the index in hexadecimal

// Returns the index up to which the disk holds the partition without a gap: the snapshot and the entries after it.
auto contiguous_index(const std::map<std::string, std::string>& disk, const std::string& partition) -> std::int64_t {
  auto index = std::int64_t{0};
  if (auto snapshot = disk.find("C/" + partition + "/s"); snapshot != disk.end()) {
    try {
      index = get_int(decode_with_checksum(snapshot->second), "idx");
    } catch (const decode_error&) {
      return std::numeric_limits<std::int64_t>::max();  // damaged by an injected fault; the node detects the damage on
                                                        // its next read
    }
  }
  auto prefix = "C/" + partition + "/e/";
  for (auto row = disk.lower_bound(prefix); row != disk.end() && row->first.starts_with(prefix); ++row) {
    auto entry = std::int64_t{0};
    const auto* digits = row->first.data() + prefix.size();
    std::from_chars(digits, row->first.data() + row->first.size(), entry, index_base);
    if (entry <= index)
      continue;
    if (entry != index + 1)
      break;
    index = entry;
  }
  return index;
}

}  // namespace

auto find_undurable_replica(const fleet& target) -> std::string {
  for (const auto& [name, process] : target.processes) {
    if (!process->storage)
      continue;
    auto status = process->storage->status();
    for (const auto& row : get_value(status, "cells").as_object()) {
      const auto& replica = row.value();
      if (get_bool(replica, "broken"))
        continue;  // a damaged replica offers nothing; its primary copies the partition again
      auto partition = std::string(row.key());
      auto durable_index = get_int(replica, "solid");
      auto index_on_disk = contiguous_index(process->machine->durable, partition);
      // A partition that is created again reports its base index before the base is written. It has acknowledged
      // nothing yet.
      if (index_on_disk >= durable_index || durable_index <= get_int(replica, "root"))
        continue;
      return name + " counts " + partition + " as durable up to index " + std::to_string(durable_index) +
             ", but its disk holds the partition up to index " + std::to_string(index_on_disk);
    }
  }
  return {};
}

}  // namespace reachridge
