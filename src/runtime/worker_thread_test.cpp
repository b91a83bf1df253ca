#include "runtime/worker_thread.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "runtime/ev_host.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// Runs a job that blocks until it reads one byte. Sets `reported` to the result.
auto run_reading_job(ev_host& machine, worker_thread& worker, int descriptor, std::string& reported) -> task<void> {
  auto work = worker_thread::job_function([descriptor] {
    auto byte = char{0};
    return ::read(descriptor, &byte, 1) == 1 ? std::string("received ") + byte : std::string("read failed");
  });
  reported = co_await worker.run(std::move(work));
  machine.end();
}

// Writes one byte after three turns of the loop.
auto write_after_turns(ev_host& machine, int descriptor) -> task<void> {
  for (auto turn = 0; turn < 3; ++turn)
    co_await sleep_until(machine, 0);  // so that the loop turns after the job was submitted
  auto written = ::write(descriptor, "x", 1);
  (void)written;
}
}  // namespace

TEST_GROUP(worker_threads){};

// The job waits for a byte that only a task on the loop writes. If the job blocked the loop, the test would not end.
TEST(worker_threads, the_loop_continues_while_a_job_runs) {
  auto machine = ev_host("");
  auto worker = worker_thread(machine.loop, machine);
  auto tasks = task_group(machine);
  auto ends = std::array<int, 2>();
  LONGS_EQUAL(0, ::pipe2(ends.data(), O_CLOEXEC));
  auto input = file_descriptor(ends[0]);
  auto output = file_descriptor(ends[1]);
  auto reported = std::string("no result");
  tasks.spawn(run_reading_job(machine, worker, input.get(), reported));
  tasks.spawn(write_after_turns(machine, output.get()));
  machine.run();
  STRCMP_EQUAL("received x", reported.c_str());
}
