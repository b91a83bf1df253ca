// The HTTP client that the tools and tests use (design 3.7).
#pragma once
#include <memory>
#include <string>

#include "runtime/host.hpp"
#include "runtime/json_lines.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The response to a request.
struct http_reply {
  int status = 0;     // HTTP status; 0 if no response was received
  value body;         // the parsed body; null if the body is not JSON
  std::string plain;  // the unparsed body
};

// Sends a request on a new connection and reads the response until the deadline. `address` is IP:PORT.
auto fetch(host& machine, std::string address, std::string method, std::string path, std::string body,
           monotonic_time deadline) -> task<http_reply>;

// Opens a stream of JSON lines on a new connection. Returns null if the server cannot be reached or does not accept the
// stream before the deadline.
auto open_json_stream(host& machine, std::string address, monotonic_time deadline) -> task<std::shared_ptr<json_lines>>;

}  // namespace reachridge
