#include "runtime/settings_keys.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <set>

namespace reachridge {
namespace {

constexpr auto max_name_length = std::size_t{64};
constexpr auto max_seeds = std::size_t{3};
constexpr auto max_port = 65535;

// Parses a whole number from `low` to `high`. Returns an error message, or an empty string after it has stored the
// number in `number`.
auto parse_whole_number(const std::string& text, std::int64_t low, std::int64_t high, std::int64_t& number)
    -> std::string {
  auto parsed = std::int64_t{0};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
  auto is_whole_number = error == std::errc() && end == text.data() + text.size();
  if (!is_whole_number)
    return "'" + text + "' is not a whole number";
  if (parsed < low || parsed > high)
    return text + " is outside the range " + std::to_string(low) + " to " + std::to_string(high);
  number = parsed;
  return {};
}

// Returns the check of a number from `low` to `high`. The field is set to the number multiplied by `unit`.
auto number_setting(std::int64_t settings::*field, std::int64_t low, std::int64_t high, std::int64_t unit = 1) {
  return [=](settings& target, const std::string& text) {
    auto number = std::int64_t{0};
    auto error = parse_whole_number(text, low, high, number);
    if (error.empty())
      target.*field = number * unit;
    return error;
  };
}

auto is_name_character(char character) -> bool {
  return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' ||
         character == '.';
}

auto name_setting(std::string settings::*field) {
  return [=](settings& target, const std::string& text) -> std::string {
    if (text.empty() || text.size() > max_name_length)
      return "must have 1 to 64 characters";
    if (!std::all_of(text.begin(), text.end(), is_name_character))
      return "'" + text + "' contains a character other than letters, digits, '-', '_' and '.'";
    target.*field = text;
    return {};
  };
}

auto address_setting(std::string settings::*field) {
  return [=](settings& target, const std::string& text) -> std::string {
    if (!is_address(text))
      return "'" + text + "' is not an address of the form IP:PORT";
    target.*field = text;
    return {};
  };
}

auto flag_setting(bool settings::*field) {
  return [=](settings& target, const std::string& text) -> std::string {
    if (text != "yes" && text != "no")
      return "'" + text + "' is neither yes nor no";
    target.*field = text == "yes";
    return {};
  };
}

auto assign_data_directory(settings& target, const std::string& text) -> std::string {
  if (text.empty())
    return "is empty";
  target.data_directory = text;
  return {};
}

auto assign_seeds(settings& target, const std::string& text) -> std::string {
  auto addresses = std::vector<std::string>();
  boost::split(addresses, text, boost::is_any_of(","));
  if (text.empty())
    addresses.clear();
  if (addresses.empty() || addresses.size() > max_seeds)
    return "must have one to three addresses, has " + std::to_string(addresses.size());
  for (const auto& address : addresses)
    if (!is_address(address))
      return "'" + address + "' is not an address of the form IP:PORT";
  if (std::set<std::string>(addresses.begin(), addresses.end()).size() != addresses.size())
    return "contains an address more than once";
  target.seeds = addresses;
  return {};
}

}  // namespace

auto setting_keys() -> const std::vector<setting_key>& {
  static const auto keys = std::vector<setting_key>{
      {"name", "unique name of this process", name_setting(&settings::name)},
      {"zone", "zone in which this process runs", name_setting(&settings::zone)},
      {"addr", "IP:PORT for peers", address_setting(&settings::address)},
      {"web", "IP:PORT for clients and operators (HTTP)", address_setting(&settings::http_address)},
      {"feed", "loopback IP:PORT between agent and gateway", address_setting(&settings::feed_address)},
      {"reserve", "IP:PORT of a control node's own storage node, which serves only while storage nodes are missing",
       address_setting(&settings::reserve_address)},
      {"data", "data directory", assign_data_directory},
      {"seeds", "one to three IP:PORT of control nodes, separated by commas", assign_seeds},
      {"beat_ms", "time between heartbeats", number_setting(&settings::heartbeat_interval, 10, 5000, millisecond)},
      {"lose_ms", "time without a message after which a peer counts as lost",
       number_setting(&settings::failure_timeout, 100, 60000, millisecond)},
      {"lease_ms", "duration of a configuration lease",
       number_setting(&settings::lease_duration, 100, 60000, millisecond)},
      {"budget_ms", "timeout of one request inside the system",
       number_setting(&settings::request_timeout, 50, 60000, millisecond)},
      {"resend_s", "minimum time for which a repeated publish is recognized",
       number_setting(&settings::resend_window, 1, 3600, second)},
      {"lag_ms", "replay lag above which a primary is slowed",
       number_setting(&settings::lag_limit, 10, 60000, millisecond)},
      {"body_bytes", "maximum size of one message", number_setting(&settings::max_message_bytes, 64, 1 << 20)},
      {"buffer_bytes", "maximum size of one log buffer, or of the queue for one slow reader",
       number_setting(&settings::buffer_bytes, 4096, 1 << 28)},
      {"copies", "replicas of a partition that keeps messages: one more than the disks that may be lost at once",
       number_setting(&settings::replicas, 2, 7)},
      {"links_most", "maximum number of client connections", number_setting(&settings::max_clients, 1, 100000)},
      {"drain_ms", "time that a gateway gives its clients to finish requests when it shuts down",
       number_setting(&settings::drain_time, 0, 60000, millisecond)},
      {"grace_ms", "maximum time from SIGTERM to the end of the process",
       number_setting(&settings::shutdown_timeout, 100, 600000, millisecond)},
      {"presence_ms", "maximum age of a subscriber count",
       number_setting(&settings::subscriber_count_age, 100, 600000, millisecond)},
      {"keepalive_ms", "a client that is silent for three times this time may be disconnected",
       number_setting(&settings::keepalive_interval, 100, 600000, millisecond)},
      {"found", "a process with an empty disk may bootstrap a new replicated log: yes or no",
       flag_setting(&settings::may_bootstrap)},
      {"slowing", "slow a primary gradually if a backup lags: yes or no", flag_setting(&settings::slow_for_lag)},
      {"drag_us", "additional replay time of each entry, for tests with a slow backup",
       number_setting(&settings::replay_delay, 0, 1000000)},
      {"echo", "write log lines to stderr too: yes or no", flag_setting(&settings::log_to_stderr)},
  };
  return keys;
}

auto is_address(const std::string& text) -> bool {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  auto ip = text.substr(0, colon);
  auto binary = in_addr();
  auto port = std::int64_t{0};
  return inet_pton(AF_INET, ip.c_str(), &binary) == 1 &&
         parse_whole_number(text.substr(colon + 1), 1, max_port, port).empty();
}

}  // namespace reachridge
