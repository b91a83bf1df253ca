// Repair of a LevelDB log whose last record was torn by a loss of power before the record was synced (design 3.1).
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace reachridge {

// Returns the offset of the last record of a LevelDB log if this record is torn: its checksum does not match or its end
// is missing, and no intact record begins after it. Returns nothing if no record is torn, and also if a record before
// the last one is torn, because that is damage. Each batch is one record and is synced before the next batch is
// written, so a torn last record was never reported as durable.
auto torn_tail(std::string_view log) -> std::optional<std::size_t>;

// Removes the torn last record from the newest log of the folder. Returns false if there is no torn last record or the
// file cannot be changed.
auto cut_torn_tail(const std::string& folder) -> bool;

}  // namespace reachridge
