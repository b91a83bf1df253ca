// The interface of a bidirectional stream of JSON lines on one long-lived HTTP connection (design 3.7).
#pragma once
#include <memory>
#include <optional>
#include <string>

#include "runtime/host.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Reads and writes JSON lines in chunked HTTP bodies. The client and the server of the connection each have one object.
class json_lines {
 public:
  virtual ~json_lines() = default;
  // Waits for the next non-empty line and returns the line without its line ending. Returns nothing if the stream ended
  // or `until` passed. Throws request_error (errc::message_too_long) if a line exceeds the size limit.
  virtual auto next(monotonic_time until) -> task<std::optional<std::string>> = 0;
  // Queues a message as one line.
  virtual auto write(const value& message) -> void = 0;
  // Sends the end of the body and closes the connection.
  virtual auto end() -> void = 0;
  // Returns the connection that carries the lines.
  [[nodiscard]] virtual auto transport() -> byte_stream& = 0;
};

}  // namespace reachridge
