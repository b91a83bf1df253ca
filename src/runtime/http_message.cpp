#include "runtime/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace reachridge {
namespace {

constexpr auto status_bad_request = 400;
constexpr auto status_forbidden = 403;
constexpr auto status_not_found = 404;
constexpr auto status_conflict = 409;
constexpr auto status_content_too_large = 413;
constexpr auto status_unavailable = 503;
constexpr auto status_gateway_timeout = 504;

// Errors that report a conflict between the request and the current state.
constexpr auto conflict_codes = std::to_array<errc>(
    {errc::stale_version, errc::version_taken, errc::sequence_too_low, errc::position_expired, errc::too_few_nodes});

auto is_hex_digit(char digit) -> bool {
  return std::isxdigit(static_cast<unsigned char>(digit)) != 0;
}

auto hex_digit_value(char digit) -> int {
  constexpr auto lower_case_bit = 32;
  if (std::isdigit(static_cast<unsigned char>(digit)))
    return digit - '0';
  return (digit | lower_case_bit) - 'a' + 10;
}

auto percent_decode(std::string_view text) -> std::string {
  auto out = std::string();
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    auto escaped = text[i] == '%' && i + 2 < text.size() && is_hex_digit(text[i + 1]) && is_hex_digit(text[i + 2]);
    if (escaped) {
      out += static_cast<char>(hex_digit_value(text[i + 1]) * 16 + hex_digit_value(text[i + 2]));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

// The parts of a text before and after a separator. `after` is empty if the text does not contain the separator.
struct split_text {
  std::string_view before, after;
};
auto split_at(std::string_view text, char separator) -> split_text {
  auto position = text.find(separator);
  if (position == std::string_view::npos)
    return {text, {}};
  return {text.substr(0, position), text.substr(position + 1)};
}

}  // namespace

auto decode_target(std::string_view target, http_request& request) -> void {
  auto [path, query] = split_at(target, '?');
  request.path = percent_decode(path);
  while (!query.empty()) {
    auto [parameter, rest] = split_at(query, '&');
    auto [name, content] = split_at(parameter, '=');
    request.query[percent_decode(name)] = percent_decode(content);
    query = rest;
  }
}

auto http_status_for(const request_error& error) -> int {
  if (error.outcome == execution_outcome::unknown)
    return status_gateway_timeout;
  if (error.retry_after_ms >= 0)
    return status_unavailable;
  if (error.code == errc::permission_denied)
    return status_forbidden;
  if (error.code == errc::not_found)
    return status_not_found;
  if (error.code == errc::message_too_long)
    return status_content_too_large;
  auto conflict = std::find(conflict_codes.begin(), conflict_codes.end(), error.code) != conflict_codes.end();
  return conflict ? status_conflict : status_bad_request;
}

auto error_response(int status, const request_error& error) -> http_response {
  return {.status = status, .body = error.to_value(), .plain = {}};
}

}  // namespace reachridge
