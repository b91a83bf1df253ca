// What a leader knows of one follower: which entries are durable there, what to send next, and how much at once.
// Plain state; the sending is in replication.cpp and snapshot.cpp.
#pragma once
#include <memory>
#include <string>

#include "raft/types.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/host.hpp"

namespace reachridge {

constexpr auto max_window_bytes = max_frame_bytes / 32;  // bytes sent to a follower at once, on the fastest link

// A snapshot as it is sent: sealed, and named by its checksum. Followers that are brought up together share one.
struct snapshot_image {
  log_index index;
  term_number term;
  std::int64_t checksum = 0;
  std::string bytes;

  [[nodiscard]] auto size() const -> std::int64_t {
    return static_cast<std::int64_t>(bytes.size());
  }
};

// A follower is one disk at one address: what another disk at the address answers counts for nothing.
struct follower_progress {
  log_index match_index;     // durable there up to this index
  log_index next_index = 1;  // the next entry to send
  log_index announced_commit_index = -1;
  monotonic_time last_contact = -never;  // when the newest request that it answered was sent
  monotonic_time added_at = 0;
  std::size_t window = 0;                // bytes sent at once; follows the link's speed
  bool in_flight = false;                // entries or a part of a snapshot wait for their answer
  bool heartbeats_running = false;       // a task sends heartbeats beside them
  bool different_disk_answered = false;  // another disk answers at its address
  std::shared_ptr<const snapshot_image> transfer;
  std::int64_t transfer_offset = 0;  // of the transfer's next part

  // Takes the answer to entries or to a heartbeat sent at `sent_at`; `last_index` is the last of the leader's log.
  // False: another disk answered.
  auto handle_append_reply(const voter& follower, const append_reply& reply, log_index last_index,
                           monotonic_time sent_at) -> bool;
  // Takes the answer to a part of `image` sent at `sent_at`. False: another disk answered.
  auto handle_snapshot_reply(const voter& follower, const snapshot_reply& reply, monotonic_time sent_at) -> bool;
  // Goes on behind the part that was answered, or behind the whole snapshot once it is installed.
  auto advance_transfer(const snapshot_image& image, const snapshot_reply& reply) -> void;
  // An answer took `took`: what is sent at once shrinks on a slow link, so that heartbeats are not held up behind it,
  // and grows on a fast one.
  auto adapt_window(monotonic_time took, monotonic_time election_timeout, std::size_t min_window_bytes) -> void;

 private:
  auto note_answer(const voter& follower, const disk_identifier& answering_disk, monotonic_time sent_at) -> bool;
};

}  // namespace reachridge
