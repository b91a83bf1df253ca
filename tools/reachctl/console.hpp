// Sends an operator's request to the control nodes and prints the reply.
#pragma once
#include <string>

#include "reachctl/options.hpp"
#include "runtime/ev_host.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// Returns the content of a file. Throws request_error with errc::usage if the file cannot be read.
auto read_file(const std::string& file) -> std::string;

// Carries out one command against a deployment. The host must outlive the console.
class console {
 public:
  console(ev_host& host, options chosen) : host_(host), options_(std::move(chosen)) {}

  // Carries out the requested operation and returns the exit status.
  auto run() -> task<int>;

 private:
  auto put_configuration() -> task<int>;
  auto drain() -> task<int>;
  // Returns the node or zone of a drain request, as the field that the control node expects.
  [[nodiscard]] auto drain_target() const -> object;

  // Sends the request to the addresses in turn until a node answers with a status other than 503. Without that answer,
  // returns the last 503 reply, or status 0 if no node answered.
  auto ask(std::string method, std::string path, std::string body) -> task<http_reply>;
  // Sends the request, prints the reply and returns the exit status.
  auto show(std::string method, std::string path, std::string body) -> task<int>;
  // Polls a page until the field `key` of its entry `name` is true, or until the wait time is over, and prints the last
  // reply. An empty `name` selects the page itself.
  auto wait_until_true(std::string path, std::string name, std::string key) -> task<int>;
  // Prints the reply and maps its HTTP status to an exit status. Status 0 means that no node answered.
  [[nodiscard]] auto print(const http_reply& reply) const -> exit_status;

  ev_host& host_;
  options options_;
};

}  // namespace reachridge
