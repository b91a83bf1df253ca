#include "gateway/http_client_transport.hpp"

namespace reachridge {

auto http_client_transport::next(monotonic_time until) -> task<std::optional<value>> {
  auto line = std::optional<std::string>();
  try {
    line = co_await lines_->next(until);
  } catch (const request_error& error) {  // the line exceeds its size limit: input after it is lost
    co_return value(object{{"op", "bad"}, {"code", error.code_text()}, {"why", error.message}, {"last", true}});
  }
  if (!line)
    co_return std::nullopt;
  auto parse_error = boost::json::error_code();
  auto request = boost::json::parse(*line, parse_error);
  if (parse_error || !request.is_object())
    co_return value(object{{"op", "bad"}, {"code", "malformed"}, {"why", "the line is not a JSON object"}});
  co_return std::move(request);
}

}  // namespace reachridge
