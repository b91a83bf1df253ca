#include "configuration/configuration_errors.hpp"

namespace reachridge {

auto configuration_errors::to_error() const -> request_error {
  auto details = array();
  auto message = std::string();
  for (const auto& fault : faults_) {
    details.push_back(object{{"place", fault.place}, {"why", fault.message}});
    if (!message.empty())
      message += "; ";
    message += fault.place + ": " + fault.message;
  }
  return {errc::invalid_configuration, message, execution_outcome::not_executed, -1, details};
}

}  // namespace reachridge
