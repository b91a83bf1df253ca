// The daemon that runs on a core machine: a control node and its reserve storage node.
#pragma once
#include "control/control_node.hpp"
#include "reserve/reserve_storage.hpp"

namespace reachridge {

// Used with run_daemon.
class core_daemon {
 public:
  core_daemon(host& host, const settings& settings)
      : host_(host), control(host, settings), reserve(host, settings, control) {}

  auto reload(const settings& settings) -> void {
    control.reload(settings);
    reserve.reload(settings);
  }
  // Hands over the reserve's partitions first, because that needs the replicated log. The control node has the second
  // half of the time.
  auto leave(monotonic_time limit) -> task<void> {
    auto now = host_.now();
    co_await reserve.leave(now + (limit - now) / 2);
    co_await control.leave(limit);
  }

 private:
  host& host_;

 public:
  control_node control;
  reserve_storage reserve;
};

}  // namespace reachridge
