// A cursor is a text that stands for a position on a topic; a client stores it and sends it back to resume
// (design 7.3).
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace reachridge {

// Returns at most 32 printable characters: the position and a checksum over topic, partition and position. The checksum
// keeps a cursor from being accepted for another topic or in another pool.
auto encode_cursor(const std::string& topic, const std::string& partition, std::int64_t position) -> std::string;
// Returns nothing if the text is not a cursor or belongs to another topic or partition.
auto decode_cursor(const std::string& text, const std::string& topic, const std::string& partition)
    -> std::optional<std::int64_t>;

}  // namespace reachridge
