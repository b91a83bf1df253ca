// The HTTP server. A connection carries one request at a time, or one stream of JSON lines (design 3.7).
#pragma once
#include <cstddef>
#include <functional>
#include <memory>

#include "runtime/host.hpp"
#include "runtime/http_message.hpp"
#include "runtime/json_lines.hpp"

namespace reachridge {

// The callbacks and the limit of a server.
struct http_handlers {
  // Executes a request and returns the response. The server converts a request_error to the status that
  // http_status_for() returns, and any other exception to the status 500.
  std::function<task<http_response>(http_request)> handle_request;
  // Handles a stream of JSON lines, which a client opens with POST /v1/link. The server closes the connection after the
  // task has ended. If empty, the server accepts no streams.
  std::function<task<void>(http_request, std::shared_ptr<json_lines>)> handle_stream;
  std::size_t max_body_bytes = 1 << 20;
};

// Accepts connections and serves each of them in a task of `tasks`, until that group is destroyed.
auto serve_http(host& machine, task_group& tasks, std::unique_ptr<listener> listening, http_handlers handlers)
    -> task<void>;

}  // namespace reachridge
