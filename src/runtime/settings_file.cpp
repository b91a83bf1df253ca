#include "runtime/settings_file.hpp"

#include <boost/property_tree/info_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace reachridge {

auto read_settings_file(const std::string& file, std::vector<setting_error>& errors)
    -> std::optional<std::map<std::string, std::string>> {
  auto parsed = boost::property_tree::ptree();
  try {
    boost::property_tree::read_info(file, parsed);
  } catch (const boost::property_tree::info_parser_error& error) {
    errors.push_back({"settings", error.message() + " at " + file + ":" + std::to_string(error.line())});
    return {};
  }
  auto values = std::map<std::string, std::string>();
  for (const auto& [key, node] : parsed) {
    if (!node.empty()) {
      errors.push_back({key, "has a nested block instead of a value"});
    } else if (!values.emplace(key, node.data()).second) {
      errors.push_back({key, "is set more than once"});
    }
  }
  return values;
}

}  // namespace reachridge
