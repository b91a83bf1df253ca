// Snapshots: they bound the log, and bring up a follower whose next entry is no longer in it (design 4.6). They travel
// in parts, which resume where an answer was lost; the last one installs the whole, or nothing.
#include <algorithm>

#include "ledger/ledger.hpp"
#include "wax/ring.hpp"

namespace hive {

auto ledger::take_snapshot() const -> snapshot {
  return {applied_index, log.term_at(applied_index), log.members_at(applied_index), log.ledger_id(), law.capture()};
}

// One image serves all followers that are being brought up at the same time.
auto ledger::current_image() -> std::shared_ptr<const snapshot_image> {
  if (auto image = last_image.lock(); image && image->index >= log.first()) return image;
  auto s = take_snapshot();
  auto bytes = seal_snapshot(s);
  auto sum = checksum_of(bytes);
  auto image = std::make_shared<const snapshot_image>(snapshot_image{s.index, s.term, sum, std::move(bytes)});
  last_image = image;
  return image;
}

auto ledger::send_chunk(voter peer, term_number leader_term) -> task<bool> {
  auto& p = progress.at(peer);
  if (!p.transfer || p.transfer->index < log.first()) {
    p.transfer = current_image();
    p.offset = 0;
  }
  auto image = p.transfer;
  auto sent = h.now();
  auto part = image->bytes.substr(static_cast<std::size_t>(p.offset), p.window);
  auto request = encode(snapshot_chunk{leader_term, me.addr, peer.id, image->index, image->term,
                                       static_cast<std::int64_t>(image->bytes.size()), image->checksum, p.offset,
                                       std::move(part)});
  auto answer = co_await exchange(peer, leader_term, std::move(request));
  auto reply = decode_snapshot_reply(answer);
  if (!leads_follower(peer, leader_term)) co_return false;
  if (reply.term > log.term) {
    follow(reply.term, "");
    co_return false;
  }
  auto& now = progress.at(peer);
  now.foreign = reply.disk != peer.id;
  if (now.foreign) co_return false;
  now.heard = std::max(now.heard, sent);
  reply_came.wake();
  if (reply.installed) {
    now.match_index = std::max(now.match_index, image->index);
    now.next_index = image->index + 1;
    now.transfer.reset();
    advance_commit();
  } else {
    now.offset = reply.next_offset < static_cast<std::int64_t>(image->bytes.size()) ? reply.next_offset : 0;
  }
  co_return true;
}

auto ledger::on_chunk(snapshot_chunk m) -> task<snapshot_reply> {
  if (m.disk != me.id || m.term < log.term) co_return snapshot_reply{log.term, false, me.id, 0, false};
  if (m.term == log.term && leads()) throw verdict("conflict", "install_snapshot: another leads this term here");
  if (m.term > log.term || role != role_kind::follower || leader_addr != m.leader) follow(m.term, m.leader);
  heard_leader = h.now();
  if (m.index > commit_index) {
    auto same = incoming && incoming->index == m.index && incoming->term == m.index_term && incoming->size == m.size &&
                incoming->checksum == m.checksum;
    if (!same) incoming = partial_snapshot{m.index, m.index_term, m.size, m.checksum, {}};
    auto have = static_cast<std::int64_t>(incoming->bytes.size());
    // Out of order, doubled, or of a snapshot whose beginning is not here: what is wanted is said, nothing is taken.
    if (m.offset != have) co_return snapshot_reply{log.term, false, me.id, have, false};
    incoming->bytes += m.data;
    have += static_cast<std::int64_t>(m.data.size());
    if (have < m.size) co_return snapshot_reply{log.term, true, me.id, have, false};
    install();
  }
  co_await log.sync();
  co_return snapshot_reply{log.term, true, me.id, 0, log.term == m.term};
}

// All parts are here. What does not fit together is refused whole, by the checksum that the snapshot carries or by
// what it holds, and the transfer begins again.
auto ledger::install() -> void {
  auto parts = std::move(*incoming);
  incoming.reset();
  auto s = snapshot();
  try {
    s = unseal_snapshot(parts.bytes);
    if (s.index != parts.index || s.term != parts.term)
      throw verdict("malformed", "install_snapshot: the snapshot is not the one that was named");
    law.restore(s.state);
  } catch (const bad_bytes& e) {
    throw verdict("malformed", std::string("install_snapshot: ") + e.what());
  }
  log.install(s, std::move(parts.bytes));
  commit_index = applied_index = s.index;
  commit_moved.wake();
  hive::log(grade::note, set.name, "snapshot installed, up to entry " + std::to_string(s.index));
}

auto ledger::needed_index() const -> log_index {
  auto out = applied_index;
  if (!leads()) return out;
  for (const auto& [who, p] : progress) {
    if (h.now() - p.heard > set.lose) continue;
    out = std::min(out, p.transfer ? p.transfer->index : std::max(p.match_index, log.first()));
  }
  return out;
}

// Bounded growth: a snapshot replaces the entries before it.
auto ledger::compact() -> void {
  if (!log.wants_snapshot(applied_index)) return;
  log.compact(take_snapshot(), needed_index());
  if (leads()) home.spawn(own_disk_synced());
}

}  // namespace hive
