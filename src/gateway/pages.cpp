// HTTP interface of the gateway: pages, single requests, and client connections as streams of JSON lines (design 7.4).
#include "gateway/client_codec.hpp"
#include "gateway/gateway.hpp"
#include "gateway/http_client_transport.hpp"

namespace reachridge {
namespace {

// Maximum size of a publish request without its escaped message.
constexpr auto body_overhead_bytes = std::size_t{4096};

}  // namespace

auto gateway::serve_pages() -> void {
  auto handlers = http_handlers();
  handlers.handle_request = [this](http_request request) {
    return handle_page(std::move(request));
  };
  handlers.handle_stream = [this](http_request request, std::shared_ptr<json_lines> lines) {
    return handle_stream(std::move(request), std::move(lines));
  };
  handlers.max_body_bytes = static_cast<std::size_t>(settings_.max_message_bytes) * 2 + body_overhead_bytes;
  tasks_.spawn(serve_http(host_, tasks_, host_.listen(settings_.http_address), handlers));
}

auto gateway::handle_stream(http_request, std::shared_ptr<json_lines> lines) -> task<void> {
  co_await serve_client(std::make_shared<http_client_transport>(std::move(lines)));
}

auto gateway::handle_page(http_request request) -> task<http_response> {
  if (auto page = common_page(request.path, [this] {
        return status();
      }))
    co_return *page;
  if (request.path == "/readyz")
    co_return readiness_page();
  if (request.path == "/v1/publish" && request.method == "POST") {
    auto single = client_api::decode_single_publish(request.body);
    auto result = co_await send_publish(std::move(single.client), std::move(single.message));
    co_return http_response{200, client_api::encode_publish_result(result), {}};
  }
  if (request.path == "/v1/read" && request.method == "GET")
    co_return co_await read_page(std::move(request));
  throw request_error(errc::not_found, "no HTTP resource exists at " + request.path);
}

auto gateway::readiness_page() -> http_response {
  if (ready())
    return http_response{200, {}, "ready\n"};
  throw request_error(errc::not_ready,
                      draining_ ? "leaving" : "no valid configuration lease, no synchronized view, or zone evacuated",
                      execution_outcome::not_executed, host_.jittered(settings_.failure_timeout) / millisecond);
}

// Returns the retained messages after a position. Forwards the reply of the primary unchanged.
auto gateway::read_page(http_request request) -> task<http_response> {
  auto parameters = client_api::decode_read(request.query);
  auto target = resolve_route(action::read, parameters.client, parameters.topic, 0);
  auto partition = target.partition();
  auto address = primary_address(partition);
  if (address.empty())
    throw request_error(errc::unreachable, "the primary of partition " + partition + " is unknown",
                        execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  auto message = storage_api::encode(storage_api::read_request{partition, target.topic, parameters.after});
  auto reply = co_await storage_connection(address).call(std::move(message), host_.now() + settings_.request_timeout);
  co_return http_response{200, reply, {}};
}

}  // namespace reachridge
