#include "runtime/ev_host.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "runtime/file_descriptor.hpp"
#include "runtime/io_watcher.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

constexpr auto long_steps = 20;
constexpr auto step_time = 5 * millisecond;

// Uses the processor in `long_steps` steps and lets other tasks run after each.
auto work_in_long_steps(ev_host& machine, int& steps_done) -> task<void> {
  while (steps_done < long_steps) {
    const auto step_end = machine.now() + step_time;
    while (machine.now() < step_end) {
    }
    ++steps_done;
    co_await sleep_until(machine, 0);
  }
  machine.end();
}
}  // namespace

TEST_GROUP(ev_host_turns){};

// A storage node that loads its partitions must not be silent until it has loaded all of them.
TEST(ev_host_turns, events_are_handled_between_long_steps) {
  auto machine = ev_host("");
  auto tasks = task_group(machine);
  auto ends = std::array<int, 2>();
  LONGS_EQUAL(0, ::pipe2(ends.data(), O_CLOEXEC));
  auto input = file_descriptor(ends[0]);
  auto output = file_descriptor(ends[1]);
  LONGS_EQUAL(1, ::write(output.get(), "x", 1));
  auto steps_done = 0;
  auto steps_before_event = long_steps;
  auto watcher = io_watcher(machine.loop, input.get(), EV_READ, [&](int) {
    steps_before_event = std::min(steps_before_event, steps_done);
  });
  tasks.spawn(work_in_long_steps(machine, steps_done));
  machine.run();
  LONGS_EQUAL(long_steps, steps_done);
  CHECK(steps_before_event <= long_steps / 2);
}
