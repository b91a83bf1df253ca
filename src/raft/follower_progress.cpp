// Bookkeeping for replies of one follower; see follower_progress.hpp.
#include "raft/follower_progress.hpp"

#include <algorithm>

namespace reachridge {

auto follower_progress::record_contact(const voter& follower, const disk_identifier& answering_disk,
                                       monotonic_time sent_at) -> bool {
  different_disk_answered = answering_disk != follower.disk_id;
  if (different_disk_answered)
    return false;
  last_contact = std::max(last_contact, sent_at);
  return true;
}

auto follower_progress::handle_append_reply(const voter& follower, const append_reply& reply, log_index last_index,
                                            monotonic_time sent_at) -> bool {
  if (!record_contact(follower, reply.disk_id, sent_at))
    return false;
  if (reply.success) {
    auto match = std::min(reply.match_index, last_index);
    match_index = std::max(match_index, match);
    next_index = match + 1;
  } else {
    auto hint = reply.next_index_hint > 0 ? reply.next_index_hint : next_index - 1;
    next_index = std::clamp(hint, log_index(1), last_index + 1);
  }
  return true;
}

auto follower_progress::handle_snapshot_reply(const voter& follower, const snapshot_reply& reply,
                                              monotonic_time sent_at) -> bool {
  return record_contact(follower, reply.disk_id, sent_at);
}

auto follower_progress::advance_transfer(const snapshot_image& image, const snapshot_reply& reply) -> void {
  if (!reply.installed) {
    transfer_offset = reply.next_offset < image.size() ? reply.next_offset : 0;
    return;
  }
  match_index = std::max(match_index, image.index);
  next_index = image.index + 1;
  transfer.reset();
}

auto follower_progress::adapt_window(monotonic_time response_time, monotonic_time election_timeout,
                                     std::size_t min_window_bytes) -> void {
  if (response_time > election_timeout * 3 / 4)
    window = std::max(window / 2, min_window_bytes);
  else if (response_time < election_timeout / 2)
    window = std::min(window * 2, max_window_bytes);
}

}  // namespace reachridge
