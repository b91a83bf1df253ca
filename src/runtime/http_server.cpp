#include "runtime/http_server.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "runtime/http_stream.hpp"

namespace reachridge {
namespace {

namespace http = boost::beast::http;
using http_detail::error_code;
using http_detail::parse_until;
using request_parser = http::request_parser<http::string_body>;

constexpr auto max_header_bytes = 16U << 10;
constexpr auto idle_timeout = 60 * second;  // for the header of a request, and again for its body
constexpr auto drain_timeout = second / 2;  // for reading and discarding input after the last response
constexpr auto status_bad_request = 400;
constexpr auto status_content_too_large = 413;
constexpr auto status_internal_error = 500;

auto send_response(byte_stream& stream, const http_response& response, bool keep_alive) -> void {
  auto message = http::response<http::string_body>(static_cast<http::status>(response.status), http_detail::http_1_1);
  message.set(http::field::content_type, response.plain.empty() ? "application/json" : response.media);
  if (auto retry_ms = get_int_or(response.body, "retry_ms", -1); retry_ms >= 0)
    message.set(http::field::retry_after, std::to_string((retry_ms + 999) / 1000));
  message.body() = response.plain.empty() ? to_json(response.body) + "\n" : response.plain;
  message.keep_alive(keep_alive);
  message.prepare_payload();
  stream.send(http_detail::to_bytes(message));
}

// Sends an error response that ends the connection, because the received bytes are not a valid request.
auto send_final_error(byte_stream& stream, int status, errc code, const std::string& message) -> void {
  send_response(stream, error_response(status, request_error(code, message)), false);
}

auto new_request_parser() -> std::unique_ptr<request_parser> {
  auto parser = std::make_unique<request_parser>();
  parser->body_limit(boost::none);  // read_body() checks the limit, so that the server can send an error response
  parser->header_limit(max_header_bytes);
  return parser;
}

// Reads the header of a request. Returns false if the connection ends; an error response was sent if the received bytes
// are not valid HTTP.
auto read_header(host& machine, byte_stream_ptr stream, request_parser& parser) -> task<bool> {
  auto parse_error = error_code();
  auto has_header = [&parser] {
    return parser.is_header_done();
  };
  auto parsed = co_await parse_until(*stream, parser, has_header, machine.now() + idle_timeout, parse_error);
  if (parsed)
    co_return true;
  auto ended = parse_error == http::error::end_of_stream || parse_error == http::error::partial_message;
  if (parse_error && !ended)
    send_final_error(*stream, status_bad_request, errc::bad_http, parse_error.message());
  co_return false;
}

// Reads the body of a request. Returns false if the connection ends; an error response was then sent.
auto read_body(host& machine, byte_stream_ptr stream, request_parser& parser, std::size_t max_bytes) -> task<bool> {
  auto parse_error = error_code();
  auto is_complete = [&parser, max_bytes] {
    return parser.is_done() || parser.get().body().size() > max_bytes;
  };
  auto parsed = co_await parse_until(*stream, parser, is_complete, machine.now() + idle_timeout, parse_error);
  if (!parsed) {
    auto reason =
        parse_error ? parse_error.message() : "request body is incomplete: the connection ended or the timeout passed";
    send_final_error(*stream, status_bad_request, errc::bad_http, reason);
    co_return false;
  }
  if (!parser.is_done()) {
    auto reason = "request body exceeds " + std::to_string(max_bytes) + " bytes";
    send_final_error(*stream, status_content_too_large, errc::message_too_long, reason);
    co_return false;
  }
  co_return true;
}

auto to_request(const request_parser& parser) -> http_request {
  auto request = http_request();
  request.method = std::string(parser.get().method_string());
  auto target = parser.get().target();
  decode_target({target.data(), target.size()}, request);
  return request;
}

auto run_handler(const http_handlers& handlers, http_request request) -> task<http_response> {
  try {
    auto response = co_await handlers.handle_request(std::move(request));
    co_return response;
  } catch (const request_error& error) {
    co_return error_response(http_status_for(error), error);
  } catch (const std::exception& error) {
    auto internal = request_error(errc::internal, error.what(), execution_outcome::unknown);
    co_return error_response(status_internal_error, internal);
  }
}

// Sends the response header of a stream of JSON lines and runs its handler.
auto serve_stream(byte_stream_ptr stream, const http_handlers& handlers, const http_request& request,
                  std::unique_ptr<request_parser> parser) -> task<void> {
  auto header = http::response<http::empty_body>(http::status::ok, http_detail::http_1_1);
  header.set(http::field::content_type, "application/x-ndjson");
  header.chunked(true);
  stream->send(http_detail::to_bytes(header.base()));
  auto lines = std::make_shared<http_detail::http_json_lines<true>>(stream, std::move(parser));
  co_await handlers.handle_stream(request, lines);
}

// Serves one request. Returns whether another request may follow on the connection.
auto serve_request(host& machine, byte_stream_ptr stream, const http_handlers& handlers) -> task<bool> {
  auto parser = new_request_parser();
  auto has_header = co_await read_header(machine, stream, *parser);
  if (!has_header)
    co_return false;
  auto request = to_request(*parser);
  auto is_stream = handlers.handle_stream && request.path == http_detail::stream_path && request.method == "POST";
  if (is_stream) {
    co_await serve_stream(stream, handlers, request, std::move(parser));
    co_return false;
  }
  auto has_body = co_await read_body(machine, stream, *parser, handlers.max_body_bytes);
  if (!has_body)
    co_return false;
  request.body = std::move(parser->get().body());
  request.abandoned = [stream] {
    return stream->peer_has_closed();
  };
  auto keep_alive = parser->get().keep_alive();
  auto response = co_await run_handler(handlers, std::move(request));
  send_response(*stream, response, keep_alive);
  co_return keep_alive;
}

// Discards further input for a short time and then closes the stream. Closing a connection with unread input would send
// a reset, and the client could lose the last response.
auto drain_and_close(host& machine, byte_stream_ptr stream) -> task<void> {
  auto deadline = machine.now() + drain_timeout;
  while (!stream->closed && machine.now() < deadline) {
    stream->input.clear();
    stream->input_consumed();
    co_await stream->read_more(deadline);
  }
  stream->close();
}

auto serve_connection(host& machine, byte_stream_ptr stream, http_handlers handlers) -> task<void> {
  while (true) {
    auto keep_alive = co_await serve_request(machine, stream, handlers);
    if (!keep_alive)
      break;
  }
  co_await drain_and_close(machine, stream);
}

}  // namespace

auto serve_http(host& machine, task_group& tasks, std::unique_ptr<listener> listening, http_handlers handlers)
    -> task<void> {
  while (true) {
    auto stream = co_await listening->accepted.pop(machine);
    tasks.spawn(serve_connection(machine, stream, handlers));
  }
}

}  // namespace reachridge
