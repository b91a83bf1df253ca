// The log: a ring of lines in memory that is written to a file when an incident occurs (design 3.5).
//
// Each process has one ring. The ring has no lock, so only the thread of the event loop may log, never the disk thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>

namespace reachridge {

enum class log_level { debug, info, warning, error };

// Adds a line to the ring. `source` names the process or module that logs.
auto log(log_level level, const std::string& source, const std::string& message) -> void;
// Writes the ring to a file in the log folder, with the reason on the first line. Only the last few files are kept.
auto dump_log(const std::string& reason) -> void;
// Sets the size of the ring in lines and the log folder. If `folder` is empty, `dump_log` writes no files. With
// `to_stderr`, each line is also written to stderr.
auto configure_logging(std::size_t max_lines, const std::string& folder, bool to_stderr) -> void;
// Returns the lines in the ring, the oldest first.
auto recent_log() -> std::string;
// Sets the clock for the timestamps of the lines, in milliseconds since 1970. Null selects the system clock. The
// simulator sets a simulated clock.
auto set_log_clock(std::int64_t (*now_ms)()) -> void;

}  // namespace reachridge
