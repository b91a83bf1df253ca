#include "configuration/configuration_errors.hpp"

namespace reachridge {

auto configuration_errors::to_error() const -> request_error {
  auto details = array();
  auto message = std::string();
  for (const auto& error : errors_) {
    details.push_back(object{{"place", error.place}, {"why", error.message}});
    if (!message.empty())
      message += "; ";
    message += error.place + ": " + error.message;
  }
  return {errc::invalid_configuration, message, execution_outcome::not_executed, -1, details};
}

}  // namespace reachridge
