// The gateway's interface to one client connection, which carries requests and answers as values (design 7.4).
#pragma once
#include <optional>

#include "runtime/host.hpp"

namespace reachridge {

// A listener (HTTP or platform-specific) creates a client_transport for each connection that it accepts and passes the
// transport to gateway::serve_client. docs/api.md, "The long link", specifies the values.
class client_transport {
 public:
  virtual ~client_transport() = default;
  // Returns the next request, or nothing if the connection has ended or `until` has passed. A transport reports
  // unreadable input as {"op":"bad","code":CODE,"why":TEXT}, with "last":true if it cannot read any input after that.
  virtual auto next(monotonic_time until) -> task<std::optional<value>> = 0;
  // Sends an answer or a delivery.
  virtual auto send(const value& message) -> void = 0;
  // Closes the connection after the queued messages have been sent.
  virtual auto close() -> void = 0;
  // The underlying connection, used to measure its unsent bytes and to close it immediately.
  [[nodiscard]] virtual auto stream() -> byte_stream& = 0;
  // Returns whether messages to the client contain each position also as a cursor: a text that is valid for one topic
  // only (design 7.3).
  [[nodiscard]] virtual auto wants_cursors() const -> bool {
    return false;
  }
};

}  // namespace reachridge
