// The leader's replication state for one follower: which entries are durable there, what to send next, and how many
// bytes to send in one request. This class performs no I/O; replication.cpp and snapshot.cpp send the requests.
#pragma once
#include <memory>
#include <string>

#include "raft/types.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/host.hpp"

namespace reachridge {

constexpr auto max_window_bytes = max_frame_bytes / 32;  // upper limit of follower_progress::window

// A serialized snapshot that is being sent to followers. Followers that catch up at the same time share one image. The
// checksum identifies the snapshot that a chunk belongs to.
struct snapshot_image {
  log_index index;   // last entry that the snapshot covers
  term_number term;  // term of that entry
  std::int64_t checksum = 0;
  std::string bytes;

  [[nodiscard]] auto size() const -> std::int64_t {
    return static_cast<std::int64_t>(bytes.size());
  }
};

// A follower is identified by its address and its disk. Replies from another disk at the same address are ignored,
// because that disk may lack entries that the follower acknowledged.
struct follower_progress {
  log_index match_index;                  // the follower's log is known to be durable up to this index
  log_index next_index = 1;               // next entry to send
  log_index announced_commit_index = -1;  // commit index in the last accepted request; -1: none or rejected
  monotonic_time last_contact = -never;   // send time of the newest request that the follower has answered
  monotonic_time added_at = 0;            // when the leader began to replicate to this follower
  std::size_t window = 0;                 // bytes of entries or snapshot data per request; adapted to the link's speed
  bool in_flight = false;                 // a request with entries or a snapshot chunk awaits its reply
  bool heartbeats_running = false;        // a task sends heartbeats while such requests are in flight
  bool different_disk_answered = false;   // the last reply came from another disk at the follower's address
  std::shared_ptr<const snapshot_image> transfer;  // snapshot that is being sent; null: none
  std::int64_t transfer_offset = 0;                // offset of the next chunk of `transfer`

  // Processes the reply to an append request (entries or heartbeat) that was sent at `sent_at`. `last_index` is the
  // last index of the leader's log. Returns false if another disk answered.
  auto handle_append_reply(const voter& follower, const append_reply& reply, log_index last_index,
                           monotonic_time sent_at) -> bool;
  // Processes the reply to a snapshot chunk that was sent at `sent_at`. Returns false if another disk answered.
  auto handle_snapshot_reply(const voter& follower, const snapshot_reply& reply, monotonic_time sent_at) -> bool;
  // Selects what to send after a reply to a chunk of `image`: the chunk that the follower asks for, or, once the
  // follower has installed the snapshot, the entries after it.
  auto advance_transfer(const snapshot_image& image, const snapshot_reply& reply) -> void;
  // Adapts the window to the response time of a request: a slow reply halves the window, so that large requests do not
  // delay heartbeats on a slow link; a fast reply doubles the window.
  auto adapt_window(monotonic_time response_time, monotonic_time election_timeout, std::size_t min_window_bytes)
      -> void;

 private:
  // Records which disk answered and the time of contact. Returns false if the answer is not from the follower's disk.
  auto record_contact(const voter& follower, const disk_identifier& answering_disk, monotonic_time sent_at) -> bool;
};

}  // namespace reachridge
