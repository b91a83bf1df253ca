#include "runtime/daemon.hpp"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// A fake daemon that records its settings, its reloads and its shutdown.
struct recording_daemon {
  recording_daemon(host& machine, const settings& initial) : host_(machine), active(initial) {
    last = this;
  }
  auto reload(const settings& next) -> void {
    active = next;
    reloaded_lag_limits.push_back(next.lag_limit);
  }
  auto leave(monotonic_time deadline) -> task<void> {
    shutdown_time = deadline - host_.now();
    co_return;
  }
  host& host_;
  settings active;
  static inline recording_daemon* last = nullptr;
  static inline std::vector<monotonic_time> reloaded_lag_limits;
  static inline monotonic_time shutdown_time = 0;
};

// A source of settings that a test controls. The content of the file does not matter, but a change of the file makes
// the daemon read the settings from `next`.
struct scripted_source {
  scripted_source() : file(std::filesystem::temp_directory_path() / ("main_test." + std::to_string(::getpid()))) {
    write_file("a");
    recording_daemon::reloaded_lag_limits.clear();
    recording_daemon::shutdown_time = 0;
    source.file = file;
    source.read = [this](std::vector<setting_error>& errors) {
      ++reads;
      errors = next_errors;
      return next;
    };
  }
  scripted_source(const scripted_source&) = delete;
  auto operator=(const scripted_source&) -> scripted_source& = delete;
  ~scripted_source() {
    std::filesystem::remove(file);
  }
  auto write_file(const std::string& text) const -> void {
    std::ofstream(file) << text;
  }
  std::string file;
  settings next;
  std::vector<setting_error> next_errors;
  int reads = 0;
  settings_source source;
};

// Sends SIGHUP to this process and waits until the daemon has read the settings again.
auto signal_and_wait_for_read(ev_host& machine, scripted_source& script) -> task<void> {
  auto reads_before = script.reads;
  ::kill(::getpid(), SIGHUP);
  while (script.reads == reads_before)
    co_await sleep_for(machine, 10 * millisecond);
}

auto reload_count() -> std::size_t {
  return recording_daemon::reloaded_lag_limits.size();
}

// Makes the daemon read the settings four times: after a change of the file, and by SIGHUP with an error, with an
// unchangeable setting, and without errors. Then ends the daemon. `counts` receives the number of reloads after each of
// the first three reads.
auto change_settings(ev_host& machine, scripted_source& script, std::vector<std::size_t>& counts) -> task<void> {
  co_await sleep_for(machine, 100 * millisecond);
  script.next.lag_limit = 7;
  script.next.seeds = {"127.0.0.1:2"};  // different seeds are not an error, but the running daemon keeps its seeds
  script.write_file("other bytes");
  while (reload_count() == 0)
    co_await sleep_for(machine, 50 * millisecond);
  counts.push_back(reload_count());
  STRCMP_EQUAL("127.0.0.1:1", recording_daemon::last->active.seeds.at(0).c_str());

  script.next.lag_limit = 8;
  script.next_errors = {{"lag_ms", "'soon' is not a whole number"}};
  co_await signal_and_wait_for_read(machine, script);
  counts.push_back(reload_count());

  script.next_errors.clear();
  script.next.zone = "z9";  // the zone cannot change while the daemon runs
  co_await signal_and_wait_for_read(machine, script);
  counts.push_back(reload_count());

  script.next.zone.clear();
  ::kill(::getpid(), SIGHUP);
  while (reload_count() < 2)
    co_await sleep_for(machine, 10 * millisecond);
  ::kill(::getpid(), SIGTERM);
}
}  // namespace

TEST_GROUP(daemon_run){};

TEST(daemon_run, invalid_initial_settings_prevent_the_start) {
  auto script = scripted_source();
  script.next_errors = {{"name", "is missing"}};
  recording_daemon::last = nullptr;
  LONGS_EQUAL(2, run_daemon<recording_daemon>(script.source));
  CHECK(!recording_daemon::last);
}

TEST(daemon_run, a_file_change_and_a_signal_cause_a_reload_and_errors_prevent_it) {
  auto script = scripted_source();
  script.next.shutdown_timeout = 2 * second;
  script.next.seeds = {"127.0.0.1:1"};
  script.source.seeds_may_change = true;
  auto counts = std::vector<std::size_t>();
  auto on_start = [&](ev_host& machine, task_group& tasks, recording_daemon& daemon) {
    POINTERS_EQUAL(recording_daemon::last, &daemon);
    tasks.spawn(change_settings(machine, script, counts));
  };
  LONGS_EQUAL(0, run_daemon<recording_daemon>(script.source, on_start));
  CHECK((counts == std::vector<std::size_t>{1, 1, 1}));
  CHECK((recording_daemon::reloaded_lag_limits == std::vector<monotonic_time>{7, 8}));
  // The deadline is before the end of the shutdown timeout, so that time remains for queued output.
  CHECK(recording_daemon::shutdown_time > second && recording_daemon::shutdown_time < 2 * second);
}
