// Snapshots: they bound the log, and bring up a follower whose next entry is no longer in it (Raft, section 7; design
// 4.7). They travel in parts, which resume where an answer was lost; the last one installs the whole, or nothing.
#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {

auto consensus::take_snapshot() const -> snapshot {
  return {applied_index_, log_.term_at(applied_index_), log_.members_at(applied_index_), log_.log_id(),
          state_machine_.take_snapshot()};
}

// One image serves all followers that are being brought up at the same time.
auto consensus::current_snapshot_image() -> std::shared_ptr<const snapshot_image> {
  if (auto image = last_image_.lock(); image && image->index >= log_.first())
    return image;
  auto content = take_snapshot();
  auto bytes = serialize_snapshot(content);
  auto checksum = checksum_of(bytes);
  auto image =
      std::make_shared<const snapshot_image>(snapshot_image{content.index, content.term, checksum, std::move(bytes)});
  last_image_ = image;
  return image;
}

auto consensus::send_snapshot_chunk(voter follower, term_number leader_term) -> task<bool> {
  auto& progress = progress_.at(follower);
  if (!progress.transfer || progress.transfer->index < log_.first()) {
    progress.transfer = current_snapshot_image();
    progress.transfer_offset = 0;
  }
  auto image = progress.transfer;
  auto sent_at = host_.now();
  auto offset = progress.transfer_offset;
  auto part = image->bytes.substr(static_cast<std::size_t>(offset), progress.window);
  auto request = encode(snapshot_chunk{leader_term, self_.address, follower.disk_id, image->index, image->term,
                                       image->size(), image->checksum, offset, std::move(part)});
  auto answer = co_await exchange(follower, leader_term, std::move(request));
  auto reply = decode_snapshot_reply(answer);
  if (!leads_follower(follower, leader_term))
    co_return false;
  if (reply.term > log_.term) {
    become_follower(reply.term, "");
    co_return false;
  }
  auto& answered = progress_.at(follower);
  if (!answered.handle_snapshot_reply(follower, reply, sent_at))
    co_return false;
  reply_received_.wake();
  answered.advance_transfer(*image, reply);
  if (reply.installed)
    advance_commit();
  co_return true;
}

auto consensus::on_snapshot_chunk(snapshot_chunk chunk) -> task<snapshot_reply> {
  if (chunk.target_disk != self_.disk_id || chunk.term < log_.term)
    co_return snapshot_reply{log_.term, false, self_.disk_id, 0, false};
  accept_leader(chunk.term, chunk.leader, "install_snapshot");
  if (chunk.index > commit_index_) {
    // Where a part is not taken the reply says which one is wanted.
    auto taken = incoming_snapshot_.add(chunk);
    if (!taken || !incoming_snapshot_.complete())
      co_return snapshot_reply{log_.term, taken, self_.disk_id, incoming_snapshot_.received(), false};
    install_snapshot();
  }
  // Synced before it is acknowledged: the leader counts what the snapshot covers as held here.
  co_await log_.sync();
  co_return snapshot_reply{log_.term, true, self_.disk_id, 0, log_.term == chunk.term};
}

// All parts are here. What does not fit together is refused whole, by the checksum that the snapshot carries or by
// what it holds, and the transfer begins again. The state is restored before the log is replaced: if it is malformed,
// nothing has changed.
auto consensus::install_snapshot() -> void {
  auto parts = incoming_snapshot_.release();
  auto content = snapshot();
  try {
    content = deserialize_snapshot(parts.bytes);
    if (content.index != parts.index || content.term != parts.term)
      throw request_error(errc::malformed, "install_snapshot: the snapshot is not the one that was named");
    state_machine_.restore(content.state);
  } catch (const decode_error& error) {
    throw request_error(errc::malformed, std::string("install_snapshot: ") + error.what());
  }
  log_.install(content, std::move(parts.bytes));
  commit_index_ = applied_index_ = content.index;
  commit_advanced_.wake();
  reachridge::log(log_level::info, settings_.name, "snapshot installed, up to entry " + to_string(content.index));
}

auto consensus::needed_index() const -> log_index {
  auto needed = applied_index_;
  if (!is_leader())
    return needed;
  for (const auto& [follower, progress] : progress_) {
    if (host_.now() - progress.last_contact > settings_.failure_timeout)
      continue;
    auto reached = progress.transfer ? progress.transfer->index : std::max(progress.match_index, log_.first());
    needed = std::min(needed, reached);
  }
  return needed;
}

// Bounded growth: a snapshot replaces the entries before it.
auto consensus::compact() -> void {
  if (!log_.snapshot_due(applied_index_))
    return;
  log_.compact(take_snapshot(), needed_index());
  if (is_leader())
    tasks_.spawn(sync_own_log());
}

}  // namespace reachridge
