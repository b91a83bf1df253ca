// The log: a ring in memory, written out when something goes wrong (design 3.5).
#pragma once
#include <string>

namespace hive {

enum class grade { fine, note, warn, grave };

auto log(grade g, const std::string& who, const std::string& what) -> void;
// Writes the ring to the folder set (or to stderr), with the reason on top.
auto spill(const std::string& why) -> void;
auto ring_setup(std::size_t lines, const std::string& folder, bool echo) -> void;
auto ring_text() -> std::string;
// The simulated fleet dates its lines by its own clock.
auto ring_clock(std::int64_t (*now_ms)()) -> void;

}  // namespace hive
