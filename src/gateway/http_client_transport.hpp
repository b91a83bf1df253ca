// Implements client_transport for client connections over HTTP (design 7.4; docs/api.md, "The long link").
#pragma once
#include <memory>

#include "gateway/client_transport.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// Reads one JSON request per line and writes each answer as one JSON line.
class http_client_transport : public client_transport {
 public:
  explicit http_client_transport(std::shared_ptr<json_lines> lines) : lines_(std::move(lines)) {}
  auto next(monotonic_time until) -> task<std::optional<value>> override;
  auto send(const value& message) -> void override {
    lines_->write(message);
  }
  auto close() -> void override {
    lines_->end();
  }
  auto stream() -> byte_stream& override {
    return lines_->transport();
  }

 private:
  std::shared_ptr<json_lines> lines_;
};

}  // namespace reachridge
