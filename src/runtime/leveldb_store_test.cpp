#include "runtime/leveldb_store.hpp"

#include <sys/resource.h>

#include <csignal>
#include <memory>
#include <string>

#include "runtime/ev_host.hpp"
#include "runtime/request_error.hpp"
#include "runtime/scratch_folder.hpp"
#include "runtime/store_model.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// Runs a task on a host with the store in `folder`, until the task ends the loop.
template <class Function>
auto run_with_store(const std::string& folder, Function make_task) -> void {
  auto machine = ev_host(folder);
  auto tasks = task_group(machine);
  tasks.spawn(make_task(machine));
  machine.run();
}

auto put_and_sync(store& disk, std::string key) -> task<void> {
  disk.put(key, "1");
  co_await disk.sync();
}

// Limits the size of the files that this process may write, in order to simulate a full disk. Ignores the signal for
// exceeded limits until the destructor restores the old handler.
class file_size_limit {
 public:
  file_size_limit() : old_handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    ::getrlimit(RLIMIT_FSIZE, &original_limit_);
  }
  file_size_limit(const file_size_limit&) = delete;
  auto operator=(const file_size_limit&) -> file_size_limit& = delete;
  ~file_size_limit() {
    restore();
    std::signal(SIGXFSZ, old_handler_);
  }
  auto set(rlim_t bytes) -> void {
    auto limited = original_limit_;
    limited.rlim_cur = bytes;
    ::setrlimit(RLIMIT_FSIZE, &limited);
  }
  auto restore() -> void {
    ::setrlimit(RLIMIT_FSIZE, &original_limit_);
  }

 private:
  rlimit original_limit_{};
  void (*old_handler_)(int);
};

// Returns the result of a sync: "synced", or the error code and whether the store reports a failure.
auto sync_result(store& disk) -> task<std::string> {
  try {
    co_await disk.sync();
    co_return "synced ";
  } catch (const request_error& error) {
    co_return error.code_text() + (disk.failed() ? " store_failed " : " ");
  }
}

// Writes to a full disk, then removes the size limit, waits until the store recovers and writes again. Appends the
// results of the syncs to `results`.
auto write_on_full_disk(ev_host& machine, file_size_limit& limit, std::string& results) -> task<void> {
  auto& disk = *machine.disk();
  disk.put("a", "1");
  co_await disk.sync();
  limit.set(4096);
  for (auto number = 0; number < 2; ++number) {
    disk.put("b" + std::to_string(number), std::string(8000, 'b'));
    auto result = co_await sync_result(disk);
    results += result;
  }
  co_await sleep_for(machine, 600 * millisecond);
  limit.restore();
  while (disk.failed())
    co_await sleep_for(machine, 50 * millisecond);
  disk.put("c", "3");
  co_await disk.sync();
  results += "recovered";
  machine.end();
}

// Returns all keys with the sizes of their values.
auto value_sizes_in(const std::string& folder) -> std::string {
  auto machine = ev_host(folder);
  auto found = std::string();
  machine.disk()->scan("", [&](const std::string& key, const std::string& content) {
    found += key + ":" + std::to_string(content.size()) + " ";
  });
  return found;
}
}  // namespace

TEST_GROUP(real_disk){};

// Guards against a fault in which the shared write ran in the task that called `sync` first. When this task was
// destroyed, no sync completed any more.
TEST(real_disk, a_sync_completes_after_its_first_caller_is_destroyed) {
  auto folder = scratch_folder();
  auto machine = ev_host(folder.path());
  auto tasks = task_group(machine);
  auto first_caller_tasks = std::make_unique<task_group>(machine);
  first_caller_tasks->spawn(put_and_sync(*machine.disk(), "a"));
  tasks.spawn([](ev_host& host, std::unique_ptr<task_group>& first_caller) -> task<void> {
    for (auto turn = 0; turn < 3; ++turn)
      co_await sleep_until(host, 0);
    first_caller.reset();
    co_await put_and_sync(*host.disk(), "b");
    host.end();
  }(machine, first_caller_tasks));
  machine.run();
}

TEST(real_disk, synced_changes_survive_reopening) {
  auto folder = scratch_folder();
  run_with_store(folder.path(), [](ev_host& machine) -> task<void> {
    auto& disk = *machine.disk();
    disk.put("a", "1");
    disk.put("b", "2");
    co_await disk.sync();
    disk.erase("a");
    co_await disk.sync();
    disk.put("c", "not synced");
    machine.end();
  });
  auto machine = ev_host(folder.path());
  CHECK(!machine.disk()->get("a"));
  STRCMP_EQUAL("2", machine.disk()->get("b").value_or("").c_str());
  CHECK(!machine.disk()->get("c"));
}

TEST(real_disk, reads_see_changes_that_are_not_synced) {
  for (auto seed = std::uint64_t{1}; seed <= 4; ++seed) {
    auto folder = scratch_folder();
    auto difference = std::string();
    run_with_store(folder.path(), [seed, &difference](ev_host& machine) {
      return [](ev_host& host, std::uint64_t number, std::string& found) -> task<void> {
        co_await compare_store_with_map(host, number, 150, found);
        host.end();
      }(machine, seed, difference);
    });
    STRCMP_EQUAL("", difference.c_str());
  }
}

// While the disk is full, syncs fail. After the disk has room again, the store must recover without a restart of the
// process and without losing a change.
TEST(real_disk, writes_resume_when_a_full_disk_has_room_again) {
  auto folder = scratch_folder();
  auto results = std::string();
  {
    auto limit = file_size_limit();
    run_with_store(folder.path(), [&](ev_host& machine) {
      return write_on_full_disk(machine, limit, results);
    });
  }
  STRCMP_EQUAL("disk store_failed disk store_failed recovered", results.c_str());
  STRCMP_EQUAL("a:1 b0:8000 b1:8000 c:1 ", value_sizes_in(folder.path()).c_str());
}
