#include "runtime/daemon.hpp"

#include <sys/stat.h>

#include <exception>
#include <iostream>
#include <vector>

#include "runtime/log.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {

auto file_fingerprint(const std::string& file) -> std::string {
  struct stat status {};
  if (file.empty() || ::stat(file.c_str(), &status) != 0)
    return {};
  return std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec) + "." +
         std::to_string(status.st_size) + "." + std::to_string(status.st_ino);
}

namespace daemon_detail {
namespace {

constexpr auto max_log_lines = std::size_t{4000};
constexpr auto data_directory_mode = mode_t{0755};
constexpr auto file_check_interval = 1 * second;

}  // namespace

auto read_initial_settings(const settings_source& source, settings& active) -> bool {
  auto errors = std::vector<setting_error>();
  active = source.read(errors);
  for (const auto& error : errors)
    std::cerr << error.key << ": " << error.message << '\n';
  return errors.empty();
}

auto prepare_process(const settings& active) -> void {
  if (!active.data_directory.empty())
    ::mkdir(active.data_directory.c_str(), data_directory_mode);
  configure_logging(max_log_lines, active.data_directory, active.log_to_stderr);
}

auto log_task_errors(task_group& tasks, const std::string& name) -> void {
  tasks.on_error = [name](std::exception_ptr thrown) {
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      log(log_level::error, name, std::string("background task failed: ") + error.what());
    }
  };
}

auto reload_settings(const settings_source& source, settings& active, const std::function<void(const settings&)>& apply)
    -> void {
  auto errors = std::vector<setting_error>();
  auto next = source.read(errors);
  if (errors.empty())
    errors = unchangeable_settings(active, next, source.seeds_may_change);
  for (const auto& error : errors)
    log(log_level::warning, active.name, "settings not taken: " + error.key + ": " + error.message);
  if (!errors.empty())
    return;
  next.seeds = active.seeds;
  active = next;
  apply(next);
  log(log_level::info, active.name, "settings taken");
}

auto watch_file(host& machine, std::string file, std::string fingerprint, std::function<void()> on_change)
    -> task<void> {
  while (true) {
    co_await sleep_for(machine, file_check_interval);
    auto current = file_fingerprint(file);
    auto has_changed = current != fingerprint && !current.empty();
    if (has_changed)
      on_change();
    fingerprint = current;
  }
}

auto run_main(const std::function<void()>& body) -> int {
  try {
    body();
    return exit_success;
  } catch (const request_error& error) {
    std::cerr << error.code_text() << ": " << error.message << '\n';
  } catch (const std::exception& error) {
    std::cerr << "failed: " << error.what() << '\n';
  }
  return exit_failure;
}

}  // namespace daemon_detail
}  // namespace reachridge
