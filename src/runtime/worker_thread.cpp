#include "runtime/worker_thread.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

// Each message in the job pipe is the address of a job. Pipe writes of this size are atomic.
constexpr auto address_bytes = sizeof(void*);

// Blocks all signals in the calling thread, because the thread of the event loop handles them.
auto block_signals() -> void {
  auto every_signal = sigset_t();
  sigfillset(&every_signal);
  pthread_sigmask(SIG_BLOCK, &every_signal, nullptr);
}

auto write_whole(int descriptor, const void* bytes, std::size_t size) -> void {
  while (::write(descriptor, bytes, size) < 0 && errno == EINTR) {
  }
}

}  // namespace

worker_thread::worker_thread(struct ev_loop* watching_loop, event_loop& loop)
    : loop_(loop),
      jobs_pipe_(open_pipe()),
      done_pipe_(open_pipe()),
      done_watcher_(watching_loop, done_pipe_.first.get(), EV_READ,
                    [this](int) {
                      on_job_done();
                    }),
      thread_([jobs = jobs_pipe_.first.get(), reports = done_pipe_.second.get()] {
        work_loop(jobs, reports);
      }) {}

worker_thread::~worker_thread() {
  submit(nullptr);
  thread_.join();
}

auto worker_thread::run(job_function work) -> task<std::string> {
  auto submitted = std::make_shared<job>();
  submitted->work = std::move(work);
  running_ = submitted;
  submit(submitted.get());
  while (!submitted->finished)
    co_await job_done_.wait(loop_);
  co_return submitted->error;
}

auto worker_thread::open_pipe() -> pipe_ends {
  auto ends = std::array<int, 2>();
  if (::pipe2(ends.data(), O_CLOEXEC) != 0)
    throw request_error(errc::disk_failed, std::strerror(errno));
  return {file_descriptor(ends[0]), file_descriptor(ends[1])};
}

auto worker_thread::submit(job* next) -> void {
  write_whole(jobs_pipe_.second.get(), &next, address_bytes);
}

auto worker_thread::work_loop(int jobs, int reports) -> void {
  block_signals();
  while (true) {
    auto* next = static_cast<job*>(nullptr);
    auto received = ::read(jobs, &next, address_bytes);
    if (received < 0 && errno == EINTR)
      continue;
    if (received != address_bytes || !next)
      return;
    next->error = next->work();
    auto report = char{1};
    write_whole(reports, &report, sizeof report);
  }
}

auto worker_thread::on_job_done() -> void {
  auto report = char{0};
  auto received = ::read(done_pipe_.first.get(), &report, sizeof report) == sizeof report;
  if (!received || !running_)
    return;
  running_->finished = true;
  running_.reset();
  job_done_.wake();
}

}  // namespace reachridge
