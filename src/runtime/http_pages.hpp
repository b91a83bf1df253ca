// The HTTP pages that every daemon serves (design 3.5, 3.7).
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "runtime/http_message.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Returns the page for /healthz, /status, /metrics (the numbers of the status in the Prometheus text format) or /ring
// (recent log lines), and nullopt for any other path. Calls `status` only for pages that need the status.
auto common_page(const std::string& path, const std::function<value()>& status) -> std::optional<http_response>;

}  // namespace reachridge
