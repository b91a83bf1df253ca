#include "runtime/settings.hpp"

#include <algorithm>
#include <utility>

#include "runtime/settings_file.hpp"
#include "runtime/settings_keys.hpp"

namespace reachridge {
namespace {

using setting_values = std::map<std::string, std::string>;

// The minimum number of heartbeat intervals in the failure timeout. A peer is not lost before it has missed this number
// of heartbeats.
constexpr auto min_heartbeats_per_timeout = 4;

// Checks the values, assigns them to `target`, and reports unknown keys.
auto assign_values(setting_values values, settings& target, std::vector<setting_error>& errors) -> void {
  for (const auto& key : setting_keys()) {
    auto given = values.find(key.name);
    if (given == values.end())
      continue;
    auto error = key.assign(target, given->second);
    if (!error.empty())
      errors.push_back({key.name, error});
    values.erase(given);
  }
  for (const auto& [key, unused] : values)
    errors.push_back({key, "is not a known setting"});
}

// Reports the required keys that are missing. A key whose value is invalid already has an error and is not reported
// again.
auto check_required(const settings& read, const required_settings& required, std::vector<setting_error>& errors)
    -> void {
  auto require = [&errors](bool is_required, bool is_missing, const char* key) {
    auto is_reported = std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
      return error.key == key;
    });
    if (is_required && is_missing && !is_reported)
      errors.push_back({key, "is missing"});
  };
  require(true, read.name.empty(), "name");
  require(required.zone, read.zone.empty(), "zone");
  require(required.address, read.address.empty(), "addr");
  require(required.http_address, read.http_address.empty(), "web");
  require(required.feed_address, read.feed_address.empty(), "feed");
  require(required.data_directory, read.data_directory.empty(), "data");
  require(true, read.seeds.empty(), "seeds");
}

// Reports settings whose values contradict each other.
auto check_consistency(const settings& read, std::vector<setting_error>& errors) -> void {
  if (read.heartbeat_interval * min_heartbeats_per_timeout > read.failure_timeout)
    errors.push_back({"beat_ms", "must be at most a quarter of lose_ms"});
  if (read.drain_time > read.shutdown_timeout)
    errors.push_back({"drain_ms", "must be at most grace_ms"});
}

}  // namespace

auto read_settings(const std::string& file, const std::map<std::string, std::string>& flags,
                   const required_settings& required, std::vector<setting_error>& errors) -> settings {
  auto read = settings();
  auto values = setting_values();
  if (!file.empty()) {
    auto from_file = read_settings_file(file, errors);
    if (!from_file)
      return read;
    values = std::move(*from_file);
  }
  for (const auto& [key, given] : flags)
    values[key] = given;
  assign_values(std::move(values), read, errors);
  check_required(read, required, errors);
  check_consistency(read, errors);
  return read;
}

auto unchangeable_settings(const settings& active, const settings& next, bool seeds_may_change)
    -> std::vector<setting_error> {
  auto errors = std::vector<setting_error>();
  auto require_equal = [&errors](const char* key, const auto& running, const auto& wanted) {
    if (wanted != running)
      errors.push_back({key, "cannot change while running"});
  };
  require_equal("name", active.name, next.name);
  require_equal("addr", active.address, next.address);
  require_equal("web", active.http_address, next.http_address);
  require_equal("feed", active.feed_address, next.feed_address);
  require_equal("reserve", active.reserve_address, next.reserve_address);
  require_equal("data", active.data_directory, next.data_directory);
  require_equal("zone", active.zone, next.zone);
  if (!seeds_may_change)
    require_equal("seeds", active.seeds, next.seeds);
  return errors;
}

}  // namespace reachridge
