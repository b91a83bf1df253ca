// Frames between the processes of the system: a length of 4 bytes, least significant byte first, and a CBOR map as the
// body (design 3.3).
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "runtime/host.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The maximum size of a frame's body, in bytes. A frame with a larger body is malformed.
constexpr auto max_frame_bytes = std::size_t{8} << 20;

// Returns the bytes of a frame with this body. The body must be an object.
[[nodiscard]] auto encode_frame(const value& body) -> std::string;

// Decodes the frame that begins at `offset` of `input` and advances `offset` to the end of the frame. Returns nullopt
// and leaves `offset` unchanged if the frame is incomplete. Throws decode_error if the frame is malformed.
[[nodiscard]] auto decode_frame(std::string& input, std::size_t& offset) -> std::optional<value>;

// A callback that receives the body of each frame.
using frame_handler = std::function<void(const value& body)>;

// Passes the frames of a stream to `handle` in the order in which they arrive, until the stream ends. A malformed frame
// is logged under `own_name` and ends the reading as well. Closes the stream before it returns.
auto read_frames(byte_stream_ptr stream, frame_handler handle, std::string own_name) -> task<void>;

// Logs a warning that the peer of a stream sent a frame that cannot be decoded.
auto log_malformed_frame(const byte_stream& stream, const decode_error& error, const std::string& own_name) -> void;

}  // namespace reachridge
