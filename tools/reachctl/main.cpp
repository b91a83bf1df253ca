// reachctl: command line tool for operators (docs/operators.md).
#include <iostream>

#include "configuration/compiled_configuration.hpp"
#include "reachctl/console.hpp"
#include "reachctl/options.hpp"
#include "runtime/ev_host.hpp"

namespace reachridge {
namespace {

// Compiles a configuration file without contacting a node. Throws request_error if the file is invalid.
auto check_configuration(const std::string& file) -> exit_status {
  auto compiled = compile_configuration(read_file(file));
  std::cout << "configuration " << compiled->number << ": " << compiled->spaces.size() << " spaces, rules compiled to "
            << compiled->rules.size() << " steps\n";
  return done;
}

auto run_and_stop(console& session, int& status, ev_host& host) -> task<void> {
  status = co_await session.run();
  host.end();
}

// Runs the command in an event loop and returns the exit status.
auto run_console(const options& chosen) -> int {
  auto host = ev_host("");
  auto tasks = task_group(host);
  auto status = static_cast<int>(unreached);
  auto session = console(host, chosen);
  tasks.on_error = [&](std::exception_ptr thrown) {
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
    }
    status = usage;
    host.end();
  };
  tasks.spawn(run_and_stop(session, status, host));
  host.run();
  return status;
}

}  // namespace
}  // namespace reachridge

auto main(int argc, const char** argv) -> int {
  using namespace reachridge;
  auto [chosen, status] = parse_options(argc, argv);
  if (!chosen)
    return status;
  try {
    if (chosen->requested == operation::check)
      return check_configuration(chosen->argument);
    return run_console(*chosen);
  } catch (const request_error& error) {
    std::cerr << error.code_text() << ": " << error.message << '\n';
    return error.code == errc::usage ? usage : refused;
  }
}
