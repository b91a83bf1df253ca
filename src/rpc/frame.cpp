#include "rpc/frame.hpp"

#include <string_view>
#include <utility>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto length_bytes = std::size_t{4};  // size of the length field before each body
constexpr auto bits_per_byte = 8U;

auto encode_length(std::size_t length) -> std::string {
  auto out = std::string(length_bytes, '\0');
  for (auto i = 0U; i < length_bytes; ++i)
    out[i] = static_cast<char>(length >> (bits_per_byte * i));
  return out;
}

auto decode_length(std::string_view bytes) -> std::size_t {
  auto length = std::size_t{0};
  for (auto i = 0U; i < length_bytes; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (bits_per_byte * i);
  return length;
}

// Passes every complete frame of the input to `handle` and removes it from the input. An incomplete frame at the end
// stays in the input.
auto handle_buffered_frames(byte_stream& stream, const frame_handler& handle) -> void {
  auto offset = std::size_t{0};
  while (auto body = decode_frame(stream.input, offset))
    handle(*body);
  stream.input.erase(0, offset);
  stream.input_consumed();
}

}  // namespace

auto encode_frame(const value& body) -> std::string {
  auto encoded = encode_cbor(body);
  return encode_length(encoded.size()) + encoded;
}

auto decode_frame(std::string& input, std::size_t& offset) -> std::optional<value> {
  auto available = std::string_view(input).substr(offset);
  if (available.size() < length_bytes)
    return {};
  auto length = decode_length(available);
  if (length > max_frame_bytes)
    throw decode_error("frame body exceeds the size limit: " + std::to_string(length) + " bytes");
  if (available.size() < length_bytes + length)
    return {};
  auto body = decode_cbor(available.substr(length_bytes, length));
  if (!body.is_object())
    throw decode_error("frame body is not a map");
  offset += length_bytes + length;
  return body;
}

auto read_frames(byte_stream_ptr stream, frame_handler handle, std::string own_name) -> task<void> {
  try {
    while (true) {
      handle_buffered_frames(*stream, handle);
      auto open = co_await stream->read_more();
      if (!open)
        break;
    }
  } catch (const decode_error& error) {
    log_malformed_frame(*stream, error, own_name);
  }
  stream->close();
}

auto log_malformed_frame(const byte_stream& stream, const decode_error& error, const std::string& own_name) -> void {
  log(log_level::warning, own_name, "malformed frame from " + stream.remote_address + ": " + error.what());
}

}  // namespace reachridge
