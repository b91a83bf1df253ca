// The settings of a process. They are read from a file and from flags and checked as a whole before use (design 3.6).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "runtime/event_loop.hpp"

namespace reachridge {

// The settings of a process. The names and ranges of the keys are in settings_keys.cpp.
struct settings {
  std::string name;                // unique name of the process
  std::string zone;                // zone in which the process runs
  std::string address;             // IP:PORT for peers
  std::string http_address;        // IP:PORT for clients and operators
  std::string feed_address;        // loopback IP:PORT between agent and gateway
  std::string reserve_address;     // IP:PORT of the storage node beside a control node; empty: none
  std::string data_directory;      // empty if the process stores no data
  std::vector<std::string> seeds;  // IP:PORT of control nodes

  monotonic_time heartbeat_interval = 100 * millisecond;  // time between heartbeats
  monotonic_time failure_timeout = 1 * second;            // a peer counts as lost after this time without a message
  monotonic_time lease_duration = 1500 * millisecond;     // duration of a configuration lease
  // Returns the time after its last contact with a majority during which a leader may still grant leases. It is shorter
  // than the time for which voters refuse to vote for another candidate.
  [[nodiscard]] auto leader_contact_limit() const -> monotonic_time {
    return failure_timeout * 9 / 32;
  }
  monotonic_time request_timeout = 1 * second;  // timeout of one request inside the system
  monotonic_time resend_window = 10 * second;   // minimum time for which a repeated publish is recognized
  monotonic_time lag_limit = 1 * second;        // a primary is slowed if the replay lag of a backup exceeds this

  std::int64_t max_message_bytes = 16 << 10;  // maximum size of one message
  std::int64_t buffer_bytes = 4 << 20;        // maximum size of one log buffer, or of the queue for one slow reader
  std::int64_t replicas = 2;        // of a partition that keeps messages: tolerated simultaneous disk losses plus one
  std::int64_t max_clients = 4000;  // maximum number of client connections of one gateway

  monotonic_time drain_time = 1 * second;        // a gateway that shuts down gives clients this time to finish requests
  monotonic_time shutdown_timeout = 4 * second;  // maximum time from SIGTERM to the end of the process
  monotonic_time subscriber_count_age = 5 * second;  // maximum age of a subscriber count
  monotonic_time keepalive_interval = 15 * second;   // a client that is silent for three intervals may be disconnected

  bool may_bootstrap = true;        // a process with an empty disk may bootstrap a new replicated log
  bool slow_for_lag = true;         // a primary is slowed gradually if a backup lags
  monotonic_time replay_delay = 0;  // additional replay time of each entry, for tests with a slow backup
  bool log_to_stderr = false;       // write log lines to stderr too
};

// An error in the value of a setting, or in the command line.
struct setting_error {
  std::string key, message;
};

// The keys that a program requires in addition to the name and the seeds, which every program requires.
struct required_settings {
  bool zone = true, http_address = false, feed_address = false, data_directory = false, address = true;
};

// Reads the settings from `file`, unless the path is empty, and from `flags`, a map from keys to values. Flags take
// precedence. Appends every error to `errors`; the result may be used only if there are no errors.
auto read_settings(const std::string& file, const std::map<std::string, std::string>& flags,
                   const required_settings& required, std::vector<setting_error>& errors) -> settings;

// The source of a daemon's settings.
struct settings_source {
  std::function<settings(std::vector<setting_error>&)> read;  // reads and checks the settings; appends all errors
  std::string file;                                           // a change of this file causes a reload; may be empty
  bool seeds_may_change = false;  // a reload accepts different seeds, which take effect at the next start
};

// Parses the flags of a command line, which can name a settings file. Exits the process on --help. The function `read`
// of the result reports the errors of the flags.
auto command_line(int argc, const char** argv, const std::string& about, const required_settings& required)
    -> settings_source;

// Returns an error for each difference between `active` and `next` that a running process cannot apply. Different seeds
// are not an error if `seeds_may_change` is true.
auto unchangeable_settings(const settings& active, const settings& next, bool seeds_may_change)
    -> std::vector<setting_error>;

// Returns whether the text is an IPv4 address and a port of the form IP:PORT.
auto is_address(const std::string& text) -> bool;

}  // namespace reachridge
