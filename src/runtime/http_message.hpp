// HTTP requests and responses as the request handlers see them (design 3.7).
#pragma once
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "runtime/event_loop.hpp"
#include "runtime/request_error.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// A request whose target is already decoded into path and query.
struct http_request {
  std::string method, path;
  std::map<std::string, std::string> query;
  std::string body;
  monotonic_time deadline = never;  // the client stops waiting at this time; handlers must not start work after it
  std::function<bool()> abandoned;  // returns whether the client has closed the connection; may be empty
  // Returns whether the client still waits for the response.
  [[nodiscard]] auto awaited(monotonic_time now) const -> bool {
    return now < deadline && !(abandoned && abandoned());
  }
};

// A response with either a JSON body or a plain text.
struct http_response {
  int status = 200;
  value body;                        // sent as JSON
  std::string plain;                 // if not empty, sent unchanged instead of `body`
  std::string media = "text/plain";  // content type of `plain`
};

// Splits the target of a request into path and query parameters and percent-decodes them. Invalid escape sequences stay
// unchanged. If a parameter occurs twice, the last value is used.
auto decode_target(std::string_view target, http_request& request) -> void;

// Returns the HTTP status for an error. It depends on the outcome, on whether a retry is useful, and on the code.
[[nodiscard]] auto http_status_for(const request_error& error) -> int;

// Returns the response that reports an error.
[[nodiscard]] auto error_response(int status, const request_error& error) -> http_response;

}  // namespace reachridge
