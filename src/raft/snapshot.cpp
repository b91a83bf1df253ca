// Snapshots: they bound the size of the log, and they bring up a follower whose next entry is no longer in the leader's
// log (Raft, section 7; design 4.7). A snapshot is sent in chunks. A transfer resumes after a lost reply, and the last
// chunk installs the snapshot atomically.
#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {

auto consensus::take_snapshot() const -> snapshot {
  return {applied_index_, log_.term_at(applied_index_), log_.members_at(applied_index_), log_.log_id(),
          state_machine_.take_snapshot()};
}

// Returns an image of a recent snapshot. Followers that are brought up at the same time share one image.
auto consensus::current_snapshot_image() -> std::shared_ptr<const snapshot_image> {
  if (auto image = cached_image_.lock(); image && image->index >= log_.first())
    return image;
  auto content = take_snapshot();
  auto bytes = serialize_snapshot(content);
  auto checksum = checksum_of(bytes);
  auto image =
      std::make_shared<const snapshot_image>(snapshot_image{content.index, content.term, checksum, std::move(bytes)});
  cached_image_ = image;
  return image;
}

// Sends the next chunk of a snapshot and handles the reply. Returns as send_next() does.
auto consensus::send_snapshot_chunk(voter follower, term_number leader_term) -> task<bool> {
  auto& progress = progress_.at(follower);
  if (!progress.transfer || progress.transfer->index < log_.first()) {
    progress.transfer = current_snapshot_image();
    progress.transfer_offset = 0;
  }
  auto image = progress.transfer;
  auto sent_at = host_.now();
  auto offset = progress.transfer_offset;
  auto data = image->bytes.substr(static_cast<std::size_t>(offset), progress.window);
  auto request = encode(snapshot_chunk{leader_term, local_voter_.address, follower.disk_id, image->index, image->term,
                                       image->size(), image->checksum, offset, std::move(data)});
  auto answer = co_await call_with_heartbeats(follower, leader_term, std::move(request));
  auto reply = decode_snapshot_reply(answer);
  if (!leads_follower(follower, leader_term))
    co_return false;
  if (reply.term > log_.term) {
    become_follower(reply.term, "");
    co_return false;
  }
  auto& current_progress = progress_.at(follower);
  if (!current_progress.handle_snapshot_reply(follower, reply, sent_at))
    co_return false;
  reply_received_.wake();
  current_progress.advance_transfer(*image, reply);
  if (reply.installed)
    advance_commit();
  co_return true;
}

auto consensus::on_snapshot_chunk(snapshot_chunk chunk) -> task<snapshot_reply> {
  if (chunk.target_disk != local_voter_.disk_id || chunk.term < log_.term)
    co_return snapshot_reply{log_.term, false, local_voter_.disk_id, 0, false};
  accept_leader(chunk.term, chunk.leader, "install_snapshot");
  if (chunk.index > commit_index_) {
    // The reply to a chunk that is out of order contains the offset of the expected chunk.
    auto accepted = incoming_snapshot_.add(chunk);
    if (!accepted || !incoming_snapshot_.complete())
      co_return snapshot_reply{log_.term, accepted, local_voter_.disk_id, incoming_snapshot_.received(), false};
    install_snapshot();
  }
  // The log is synced before the reply because the leader counts the entries that the snapshot covers as durable here.
  co_await log_.sync();
  co_return snapshot_reply{log_.term, true, local_voter_.disk_id, 0, log_.term == chunk.term};
}

// Called when all chunks have arrived. A snapshot with a wrong checksum or an inconsistent content is rejected as a
// whole, and the transfer starts again. The state is restored before the log is replaced, so a malformed state changes
// nothing.
auto consensus::install_snapshot() -> void {
  auto assembled = incoming_snapshot_.release();
  auto content = snapshot();
  try {
    content = deserialize_snapshot(assembled.bytes);
    if (content.index != assembled.index || content.term != assembled.term)
      throw request_error(errc::malformed,
                          "install_snapshot: the index or term of the snapshot differs from that in its chunks");
    state_machine_.restore(content.state);
  } catch (const decode_error& error) {
    throw request_error(errc::malformed, std::string("install_snapshot: ") + error.what());
  }
  log_.install(content, std::move(assembled.bytes));
  commit_index_ = applied_index_ = content.index;
  commit_advanced_.wake();
  reachridge::log(log_level::info, settings_.name, "installed snapshot, last index " + to_string(content.index));
}

auto consensus::needed_index() const -> log_index {
  auto needed = applied_index_;
  if (!is_leader())
    return needed;
  for (const auto& [follower, progress] : progress_) {
    if (host_.now() - progress.last_contact > settings_.failure_timeout)
      continue;
    auto covered_index = progress.transfer ? progress.transfer->index : std::max(progress.match_index, log_.first());
    needed = std::min(needed, covered_index);
  }
  return needed;
}

// Replaces applied entries by a snapshot when the log has grown enough.
auto consensus::compact() -> void {
  if (!log_.snapshot_due(applied_index_))
    return;
  log_.compact(take_snapshot(), needed_index());
  if (is_leader())
    tasks_.spawn(sync_own_log());
}

}  // namespace reachridge
