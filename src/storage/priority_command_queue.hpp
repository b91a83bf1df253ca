// The queue of the commands that a storage node's command task will run (design 6.7).
#pragma once
#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <variant>

#include "rpc/peer_connection.hpp"
#include "storage/client_requests.hpp"

namespace reachridge {

// A request of a gateway. The request is decoded when the command runs, so a malformed request is also refused in queue
// order.
struct client_command {
  client_operation operation;
  std::string partition;
  value request;
  connection_ptr gateway;
  pending_reply_ptr reply;  // null: the request is a notification
};

// A connection to this node was closed. The command has the most urgent level, so it may run before requests that
// arrived on the same connection.
struct connection_lost {
  connection_ptr connection;
};

using command = std::variant<client_command, connection_lost>;

// One first-in-first-out queue for each priority level. Commands of a lower level number run first.
class priority_command_queue {
 public:
  static constexpr auto level_count = std::size_t{10};
  static constexpr auto most_urgent = std::size_t{0};
  static constexpr auto least_urgent = level_count - 1;

  // Adds a command and wakes the task that waits for `queued`.
  auto push(std::size_t level, command added) -> void;
  // Removes and returns the next command. Returns no value if the queue is empty.
  auto pop() -> std::optional<command>;

  // The number of waiting commands, in total and at one level.
  [[nodiscard]] auto size() const -> std::size_t;
  [[nodiscard]] auto size_at(std::size_t level) const -> std::size_t {
    return levels_[level].size();
  }

  signal queued;

 private:
  std::array<std::deque<command>, level_count> levels_;
};

}  // namespace reachridge
