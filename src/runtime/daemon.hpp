// The common parts of the main functions of all daemons: settings, signals, reload and shutdown (design 3.6).
#pragma once
#include <functional>
#include <string>

#include "runtime/ev_host.hpp"
#include "runtime/log.hpp"
#include "runtime/settings.hpp"

namespace reachridge {

// The exit codes of a daemon.
constexpr auto exit_success = 0;
constexpr auto exit_failure = 1;
constexpr auto exit_invalid_settings = 2;

// Returns a text that changes whenever the file is written or replaced, or an empty string if the file does not exist.
auto file_fingerprint(const std::string& file) -> std::string;

namespace daemon_detail {

// Reads the settings at the start of a process. Returns false after it has written errors to stderr.
auto read_initial_settings(const settings_source& source, settings& active) -> bool;

// Creates the data directory and configures logging.
auto prepare_process(const settings& active) -> void;

// Configures a task group to log the exceptions that end its tasks. `name` is the name of the process.
auto log_task_errors(task_group& tasks, const std::string& name) -> void;

// Reads the settings again. If they have no errors, assigns them to `active`, except for the seeds, and calls `apply`.
// Otherwise logs the errors and changes nothing.
auto reload_settings(const settings_source& source, settings& active, const std::function<void(const settings&)>& apply)
    -> void;

// Calls `on_change` whenever the fingerprint of a file differs from the last one. `fingerprint` is the initial one. The
// removal of the file is not a change.
auto watch_file(host& machine, std::string file, std::string fingerprint, std::function<void()> on_change)
    -> task<void>;

// Runs the body of a main function and returns the exit code. Writes the text of an exception to stderr.
auto run_main(const std::function<void()>& body) -> int;

// Shuts a daemon down and ends the event loop. `timeout` is the shutdown timeout.
template <class Daemon>
auto shut_down(ev_host& machine, Daemon& daemon, monotonic_time timeout) -> task<void> {
  constexpr auto flush_time_divisor = 50;  // 1/50 of the timeout is reserved for sending queued output
  auto flush_time = timeout / flush_time_divisor;
  co_await daemon.leave(machine.now() + timeout - flush_time);
  co_await sleep_for(machine, flush_time);
  machine.end();
}

// Installs the handler of SIGTERM. The first signal starts the shutdown, the second one ends the event loop
// immediately.
template <class Daemon>
auto install_term_handler(ev_host& machine, task_group& tasks, Daemon& daemon, const settings& active) -> void {
  auto shutting_down = false;
  machine.on_term = [&, shutting_down]() mutable {
    if (shutting_down)
      return machine.end();
    shutting_down = true;
    tasks.spawn(shut_down(machine, daemon, active.shutdown_timeout));
  };
}

}  // namespace daemon_detail

// Runs a daemon until a signal ends it, and returns the exit code of the process. `Daemon` is constructed from a host
// and the settings, and has the member functions `reload(const settings&)` and `leave(monotonic_time deadline) ->
// task<void>`. `on_start` may be empty. Otherwise it is called after the construction of the daemon; the tasks that it
// spawns are destroyed before the daemon.
template <class Daemon>
auto run_daemon(const settings_source& source, std::function<void(ev_host&, task_group&, Daemon&)> on_start = {})
    -> int {
  // Taken before the file is read, so that a write during the start counts as a change.
  auto fingerprint = file_fingerprint(source.file);
  auto active = settings();
  if (!daemon_detail::read_initial_settings(source, active))
    return exit_invalid_settings;
  daemon_detail::prepare_process(active);
  return daemon_detail::run_main([&] {
    auto machine = ev_host(active.data_directory);
    auto daemon = Daemon(machine, active);
    auto tasks = task_group(machine);
    daemon_detail::log_task_errors(tasks, active.name);
    if (on_start)
      on_start(machine, tasks, daemon);
    auto apply = [&daemon](const settings& next) {
      daemon.reload(next);
    };
    auto reload = [&source, &active, apply] {
      daemon_detail::reload_settings(source, active, apply);
    };
    machine.on_hup = reload;
    daemon_detail::install_term_handler(machine, tasks, daemon, active);
    if (!source.file.empty())
      tasks.spawn(daemon_detail::watch_file(machine, source.file, fingerprint, reload));
    log(log_level::info, active.name, "started");
    machine.run();
  });
}

}  // namespace reachridge
