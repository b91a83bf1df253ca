#include "runtime/http_client.hpp"

#include <utility>

#include "runtime/http_stream.hpp"

namespace reachridge {
namespace {

namespace http = boost::beast::http;
using http_detail::error_code;
using http_detail::parse_until;
using response_parser = http::response_parser<http::string_body>;

constexpr auto status_ok = 200U;

auto encode_request(const std::string& address, const std::string& method, const std::string& path,
                    const std::string& body) -> std::string {
  auto request = http::request<http::string_body>();
  request.method_string(method);
  request.target(path);
  request.version(http_detail::http_1_1);
  request.set(http::field::host, address);
  request.keep_alive(false);
  request.body() = body;
  request.prepare_payload();
  return http_detail::to_bytes(request);
}

auto decode_response(const response_parser& parser) -> http_reply {
  auto reply = http_reply();
  reply.status = static_cast<int>(parser.get().result_int());
  reply.plain = parser.get().body();
  auto json_error = boost::json::error_code();
  reply.body = boost::json::parse(reply.plain, json_error);
  return reply;
}

}  // namespace

auto fetch(host& machine, std::string address, std::string method, std::string path, std::string body,
           monotonic_time deadline) -> task<http_reply> {
  auto stream = co_await machine.connect(address, deadline);
  if (!stream)
    co_return http_reply();
  stream->send(encode_request(address, method, path, body));
  auto parser = response_parser();
  parser.body_limit(boost::none);
  parser.eager(true);
  auto parse_error = error_code();
  auto is_complete = [&parser] {
    return parser.is_done();
  };
  auto parsed = co_await parse_until(*stream, parser, is_complete, deadline, parse_error);
  stream->close();
  if (!parsed)
    co_return http_reply();
  co_return decode_response(parser);
}

auto open_json_stream(host& machine, std::string address, monotonic_time deadline)
    -> task<std::shared_ptr<json_lines>> {
  auto stream = co_await machine.connect(address, deadline);
  if (!stream)
    co_return nullptr;
  stream->send(std::string("POST ") + http_detail::stream_path + " HTTP/1.1\r\nHost: " + address +
               "\r\nTransfer-Encoding: chunked\r\n\r\n");
  auto parser = std::make_unique<response_parser>();
  parser->body_limit(boost::none);
  auto parse_error = error_code();
  auto has_header = [&parser] {
    return parser->is_header_done();
  };
  auto parsed = co_await parse_until(*stream, *parser, has_header, deadline, parse_error);
  auto accepted = parsed && parser->get().result_int() == status_ok;
  if (!accepted)
    co_return nullptr;
  co_return std::make_shared<http_detail::http_json_lines<false>>(stream, std::move(parser));
}

}  // namespace reachridge
