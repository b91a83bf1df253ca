// A connection between two processes of the system. Both sides use the same class (design 3.3).
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "rpc/frame.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// Sends frames on a byte stream. Objects are held by shared_ptr and remain valid after the stream is closed; send() has
// no effect then.
class connection {
 public:
  explicit connection(byte_stream_ptr transport) : stream(std::move(transport)) {}

  // Queues a frame with this body. Does nothing if the connection is closed.
  auto send(const value& body) -> void {
    if (is_open())
      stream->send(encode_frame(body));
  }
  [[nodiscard]] auto is_open() const -> bool {
    return stream && !stream->closed;
  }
  // Returns the number of queued bytes that the network has not accepted yet.
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return stream ? stream->unsent_bytes() : 0;
  }
  auto close() -> void {
    if (stream)
      stream->close();
  }

  std::string peer_name;            // the name from the peer's hello message
  bool answers_heartbeats = false;  // from the hello message: the peer replies to heartbeats
  int silent_sweeps = 0;            // accepting side only: number of sweeps since the last received frame
  byte_stream_ptr stream;
};
using connection_ptr = std::shared_ptr<connection>;

}  // namespace reachridge
