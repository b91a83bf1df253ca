// Connects the HTTP parsers of Boost.Beast to byte_stream, without the I/O of Asio (design 3.7). Only the HTTP server
// and the HTTP client include this header.
#pragma once
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "runtime/host.hpp"
#include "runtime/json_lines.hpp"
#include "runtime/request_error.hpp"

namespace reachridge::http_detail {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::beast::error_code;

constexpr auto http_1_1 = 11U;  // the encoding of version 1.1 in Beast
constexpr auto max_line_bytes = std::size_t{1} << 20;
// The path on which a server accepts streams of JSON lines.
constexpr auto stream_path = "/v1/link";

// Passes the input of a stream to a parser and removes the parsed bytes. Returns true if the parser consumed bytes and
// may be able to parse the rest of the input. Returns false if the parser needs more input, or on an error, which is
// stored in `parse_error`.
template <class Parser>
auto parse_input(byte_stream& stream, Parser& parser, error_code& parse_error) -> bool {
  auto parsed_bytes = parser.put(asio::const_buffer(stream.input.data(), stream.input.size()), parse_error);
  stream.input.erase(0, parsed_bytes);
  stream.input_consumed();
  auto needs_more = parse_error == http::error::need_more;
  if (needs_more)
    parse_error = {};
  return parsed_bytes > 0 && !needs_more && !parse_error;
}

// Tells a parser that the stream ended, if it ended in the middle of a message.
template <class Parser>
auto end_input(const byte_stream& stream, Parser& parser, error_code& parse_error) -> void {
  auto is_truncated = stream.closed && !parser.is_done() && parser.got_some();
  if (is_truncated)
    parser.put_eof(parse_error);
}

// Parses the input of a stream until `is_complete` returns true. Returns false if the stream ended, the deadline passed
// or the input is not valid HTTP. In the last case `parse_error` is set.
template <class Parser, class Condition>
auto parse_until(byte_stream& stream, Parser& parser, Condition is_complete, monotonic_time deadline,
                 error_code& parse_error) -> task<bool> {
  while (true) {
    while (!is_complete() && !stream.input.empty() && parse_input(stream, parser, parse_error)) {
    }
    if (parse_error)
      co_return false;
    if (is_complete())
      co_return true;
    auto open = co_await stream.read_more(deadline);
    if (!open) {
      end_input(stream, parser, parse_error);
      co_return is_complete();
    }
    if (stream.now() >= deadline)
      co_return false;
  }
}

// Returns the encoded bytes of a message or of a message header.
template <class Message>
auto to_bytes(const Message& message) -> std::string {
  auto out = std::ostringstream();
  out << message;
  return out.str();
}

// Implements json_lines on one connection. `Server` is true on the accepting side, which parses a request; the client
// side parses a response.
template <bool Server>
class http_json_lines : public json_lines {
 public:
  using parser = http::parser<Server, http::string_body>;
  // `body_parser` has already parsed the header of the peer's message, and possibly a part of the body.
  http_json_lines(byte_stream_ptr stream, std::unique_ptr<parser> body_parser)
      : stream_(std::move(stream)), parser_(std::move(body_parser)) {}

  auto next(monotonic_time until) -> task<std::optional<std::string>> override {
    while (true) {
      take_parsed_body();
      if (auto line = take_line()) {
        if (line->empty() || *line == "\r")
          continue;
        co_return line;
      }
      if (buffer_.size() > max_line_bytes)
        throw request_error(errc::message_too_long, "line exceeds " + std::to_string(max_line_bytes) + " bytes");
      if (parser_->is_done())
        co_return std::nullopt;
      auto parse_error = error_code();
      auto has_more = [this] {
        return !parser_->get().body().empty() || parser_->is_done();
      };
      auto parsed = co_await parse_until(*stream_, *parser_, has_more, until, parse_error);
      if (!parsed)
        co_return std::nullopt;
    }
  }

  auto write(const value& message) -> void override {
    auto line = to_json(message) + "\n";
    stream_->send(boost::beast::buffers_to_string(http::make_chunk(asio::const_buffer(line.data(), line.size()))));
  }

  auto end() -> void override {
    stream_->send(boost::beast::buffers_to_string(http::make_chunk_last()));
    stream_->close();
  }

  auto transport() -> byte_stream& override {
    return *stream_;
  }

 private:
  // Moves the parsed part of the body to the buffer.
  auto take_parsed_body() -> void {
    auto& body = parser_->get().body();
    buffer_ += body;
    body.clear();
  }
  // Removes the first line from the buffer and returns it without its end. Returns nullopt if the buffer holds no
  // complete line or the line exceeds the size limit.
  auto take_line() -> std::optional<std::string> {
    auto length = buffer_.find('\n');
    if (length == std::string::npos || length > max_line_bytes)
      return {};
    auto line = buffer_.substr(0, length);
    buffer_.erase(0, length + 1);
    return line;
  }

  byte_stream_ptr stream_;
  std::unique_ptr<parser> parser_;
  std::string buffer_;  // received bytes of the body that next() has not returned yet
};

}  // namespace reachridge::http_detail
