// The thread for blocking disk writes. It is the only exception to the rule of one thread per process (design 3.1).
#pragma once
#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "runtime/file_descriptor.hpp"
#include "runtime/io_watcher.hpp"
#include "runtime/task.hpp"

namespace reachridge {

// Runs one job at a time on a separate thread while the event loop continues. One pipe passes the address of the job to
// the thread, a second pipe reports the end of the job. The two threads share only the job.
class worker_thread {
 public:
  // A job returns an error message, or an empty string on success. It must not throw.
  using job_function = std::function<std::string()>;

  // Starts the thread. Throws request_error (errc::disk_failed) if the system cannot create the pipes.
  worker_thread(struct ev_loop* watching_loop, event_loop& loop);
  worker_thread(const worker_thread&) = delete;
  auto operator=(const worker_thread&) -> worker_thread& = delete;
  // Waits for the end of the current job.
  ~worker_thread();

  // Runs a job and returns its result. Must not be called while another job is running. If the caller is destroyed
  // during the job, the job continues.
  auto run(job_function work) -> task<std::string>;

 private:
  struct job {
    job_function work;
    std::string error;
    bool finished = false;
  };
  using pipe_ends = std::pair<file_descriptor, file_descriptor>;  // read end, write end
  static auto open_pipe() -> pipe_ends;
  // The main function of the thread: reads jobs from one descriptor and reports to the other, until it reads a null
  // job.
  static auto work_loop(int jobs, int reports) -> void;
  // Passes a job to the thread. Null ends the thread.
  auto submit(job* next) -> void;
  auto on_job_done() -> void;

  event_loop& loop_;
  signal job_done_;
  std::shared_ptr<job> running_;  // kept alive until the job has finished, even without a waiting caller
  pipe_ends jobs_pipe_, done_pipe_;
  io_watcher done_watcher_;
  std::thread thread_;
};

}  // namespace reachridge
