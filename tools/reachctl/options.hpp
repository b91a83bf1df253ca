// Parses the command line of reachctl (docs/operators.md).
#pragma once
#include <optional>
#include <string>
#include <vector>

namespace reachridge {

// Exit statuses of reachctl. `unreached`: no node answered, and the request may have been carried out.
enum exit_status : int { done = 0, refused = 1, usage = 2, unreached = 3, not_yet = 4 };

// Operations behind the commands. Commands that only show a page share `read_page`.
enum class operation { check, put, configuration_in_force, drain, undrain, recreate_partition, read_page };

// A validated command line.
struct options {
  operation requested = operation::read_page;
  std::string page;                    // path that read_page requests
  std::string argument;                // argument of the command; empty: none
  std::vector<std::string> addresses;  // IP:PORT of control nodes, or of the node to query
  std::string drain_kind = "drain";    // drain, evacuate or retire
  std::string zone;                    // zone to drain instead of the node in `argument`; empty: none
  int wait_s = 0;                      // seconds to wait until the request has taken effect
  bool json = false;                   // print the reply as unformatted JSON
  bool dry_run = false;                // validate the configuration without changing it
};

// Result of parsing the command line. Without options, the program exits with `status`.
struct parsed_options {
  std::optional<options> chosen;
  exit_status status = done;
};

// Parses and validates the command line. Prints the help to stdout, or an error and the usage to stderr.
auto parse_options(int argc, const char** argv) -> parsed_options;

}  // namespace reachridge
