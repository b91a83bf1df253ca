// Replication: entries and heartbeats from the leader to its followers, and what is committed (design 4.2).
#include <algorithm>
#include <utility>

#include "ledger/ledger.hpp"
#include "wax/ring.hpp"

namespace hive {

// Waits for the own disk; then the own copy counts too.
auto ledger::own_disk_synced() -> task<void> {
  auto upto = log.last();
  auto term = log.term;
  try {
    co_await log.sync();
  } catch (const verdict&) {
    hive::log(grade::grave, set.name, "the ledger's disk fails; giving up the lead");
    if (leads()) follow(log.term, "");
    co_return;
  }
  if (log.term == term) log.durable_index = std::max(log.durable_index, std::min(upto, log.last()));
  if (leads()) advance_commit();
}

auto ledger::advance_commit() -> void {
  auto durable_at = [&](const voter& one) {
    auto it = progress.find(one);
    return one == me ? log.durable_index : it == progress.end() ? 0 : it->second.match_index;
  };
  auto agreed = log.members().majority_value(durable_at, log_index{0});
  if (agreed <= commit_index || log.term_at(agreed) != log.term) return;
  commit_index = agreed;
  finish_joint_change();
  commit_moved.wake();
  log_grown.wake();
}

auto ledger::majority_contact() const -> tick {
  auto heard_at = [&](const voter& one) {
    auto it = progress.find(one);
    return one == me ? h.now() : it == progress.end() ? -never : it->second.heard;
  };
  return log.members().majority_value(heard_at, -never);
}
auto ledger::quorum_at() const -> tick { return transferring ? -never : majority_contact(); }

auto ledger::leads_follower(const voter& peer, term_number leader_term) const -> bool {
  if (!leads() || log.term != leader_term) return false;
  return progress.count(peer) > 0 && (learners.count(peer) > 0 || log.members().contains(peer));
}

auto ledger::start_replication(const voter& peer) -> void {
  if (peer == me || progress.count(peer)) return;
  auto& p = progress[peer];
  p.window = law.bounds.first_window;
  p.next_index = log.last();
  p.added = h.now();
  // A voter has just voted, or is given the time to answer; one that only learns is in no majority.
  if (log.members().contains(peer)) p.heard = h.now();
  home.spawn(replicate(peer, log.term));
}

// One task for each follower while leading: entries, heartbeats, snapshots.
auto ledger::replicate(voter peer, term_number leader_term) -> task<void> {
  while (leads_follower(peer, leader_term)) {
    auto& before = progress.at(peer);
    before.next_index = std::max(before.next_index, log_index{1});
    auto by_snapshot = before.next_index <= log.first() && !before.foreign;
    auto fine = false;
    try {
      if (by_snapshot)
        fine = co_await send_chunk(peer, leader_term);
      else
        fine = co_await send_entries(peer, leader_term);
    } catch (const verdict&) {
      if (leads_follower(peer, leader_term)) pace(progress.at(peer), set.lose);
    }
    if (!leads_follower(peer, leader_term)) break;
    const auto& p = progress.at(peer);
    if (!fine)
      co_await rest(h, set.beat);
    else if (p.next_index > log.last() && p.told_commit >= commit_index)
      co_await log_grown.wait(h, h.now() + set.beat);
  }
  if (leads() && log.term == leader_term) progress.erase(peer);
}

// What is sent at once shrinks on a slow link, so that heartbeats are not held up behind it, and grows on a fast one.
auto ledger::pace(follower_progress& p, tick took) const -> void {
  if (took > election_timeout * 3 / 4)
    p.window = std::max(p.window / 2, law.bounds.least_window);
  else if (took < election_timeout / 2)
    p.window = std::min(p.window * 2, window_most);
}

// Sends what may take long, with heartbeats beside it.
auto ledger::exchange(voter peer, term_number leader_term, tree request) -> task<tree> {
  auto sent = h.now();
  auto& p = progress.at(peer);
  p.in_flight = true;
  if (!std::exchange(p.beating, true)) home.spawn(heartbeats_beside(peer, leader_term));
  auto done = [&] {
    if (auto it = progress.find(peer); it != progress.end()) it->second.in_flight = false;
  };
  try {
    auto answer = co_await reach(peer.addr).ask(std::move(request), sent + set.lose);
    done();
    if (leads_follower(peer, leader_term)) pace(progress.at(peer), h.now() - sent);
    co_return answer;
  } catch (...) {
    done();
    throw;
  }
}

auto ledger::heartbeats_beside(voter peer, term_number leader_term) -> task<void> {
  while (true) {
    co_await rest(h, set.beat);
    if (!leads_follower(peer, leader_term)) co_return;
    auto& p = progress.at(peer);
    p.beating = p.in_flight;
    if (!p.beating) co_return;
    auto sent = h.now();
    auto at = p.match_index;
    auto request =
        encode(append_request{leader_term, me.addr, peer.id, at, log.term_at(at), std::min(commit_index, at), {}});
    try {
      auto answer = co_await reach(peer.addr).ask(std::move(request), sent + election_timeout);
      auto reply = decode_append_reply(answer);
      if (!leads_follower(peer, leader_term)) co_return;
      if (reply.term > log.term) co_return follow(reply.term, "");
      if (reply.disk == peer.id) progress.at(peer).heard = std::max(progress.at(peer).heard, sent);
      reply_came.wake();
    } catch (const verdict&) {
    }
  }
}

// Entries from the next index on, as many as the window takes and one at least; none: a heartbeat.
auto ledger::send_entries(voter peer, term_number leader_term) -> task<bool> {
  const auto& p = progress.at(peer);
  auto sent = h.now();
  auto m =
      append_request{leader_term, me.addr, peer.id, p.next_index - 1, log.term_at(p.next_index - 1), commit_index, {}};
  auto bytes = std::size_t{0};
  for (auto at = p.next_index; at <= log.last() && at > log.first() && !p.foreign; ++at) {
    const auto& e = log.entry_at(at);
    bytes += e.command.size();
    if (bytes > p.window && !m.entries.empty()) break;
    m.entries.push_back({e.term, unpack(e.command)});
  }
  auto told = m.commit_index;
  auto answer = tree();
  auto request = encode(m);
  if (m.entries.empty())
    answer = co_await reach(peer.addr).ask(std::move(request), sent + election_timeout);
  else
    answer = co_await exchange(peer, leader_term, std::move(request));
  auto reply = decode_append_reply(answer);
  if (!leads_follower(peer, leader_term)) co_return false;
  if (reply.term > log.term) {
    follow(reply.term, "");
    co_return false;
  }
  if (!take_append_reply(peer, reply, sent)) co_return false;
  progress.at(peer).told_commit = reply.ok ? told : -1;
  advance_commit();
  reply_came.wake();
  co_return true;
}

// False: another disk answers there than the one that is meant. What it says counts for nothing.
auto ledger::take_append_reply(const voter& peer, const append_reply& reply, tick sent) -> bool {
  auto& p = progress.at(peer);
  p.foreign = reply.disk != peer.id;
  if (p.foreign) return false;
  p.heard = std::max(p.heard, sent);
  if (reply.ok) {
    auto match = std::min(reply.match, log.last());
    p.match_index = std::max(p.match_index, match);
    p.next_index = match + 1;
  } else {
    auto hint = reply.hint > 0 ? reply.hint : p.next_index - 1;
    p.next_index = std::clamp(hint, log_index{1}, log.last() + 1);
  }
  return true;
}

auto ledger::refuse_append(const append_request& m) const -> append_reply {
  auto hint = std::min(m.prev_index - 1, log.last());
  auto odd = log.term_at(hint);
  while (m.prev_index <= log.last() && hint > std::max(log.first(), commit_index) && log.term_at(hint) == odd)
    --hint;
  return {log.term, false, me.id, 0, std::max(hint, commit_index) + 1};
}

auto ledger::on_append(append_request m) -> task<append_reply> {
  // Meant for the disk that stood here before: what is on this one may be of another ledger.
  if (!m.disk.empty() && m.disk != me.id) co_return append_reply{log.term, false, me.id, 0, 0};
  if (m.term < log.term) co_return append_reply{log.term, false, me.id, 0, 0};
  if (m.term == log.term && leads()) throw verdict("conflict", "append_entries: another leads this term here");
  if (m.term > log.term || role != role_kind::follower || leader_addr != m.leader) follow(m.term, m.leader);
  heard_leader = h.now();
  if (m.prev_index > log.last() || (m.prev_index >= log.first() && log.term_at(m.prev_index) != m.prev_term))
    co_return refuse_append(m);
  auto at = m.prev_index;
  for (const auto& e : m.entries) {
    ++at;
    if (at <= log.first() || log.term_at(at) == e.term) continue;
    if (at <= commit_index) throw verdict("conflict", "append_entries: an entry differs from a committed one");
    if (at <= log.last()) log.truncate_from(at);
    log.append(e.term, e.command);
  }
  if (!log.founded && !log.members().empty()) {
    log.founded = true;
    log.save_metadata();
  }
  if (auto seen = std::min(m.commit_index, at); seen > commit_index) {
    commit_index = seen;
    commit_moved.wake();
  }
  // A heartbeat promises nothing that is not durable yet, and need not wait for the disk.
  if (!m.entries.empty() || at > log.durable_index || log.broken()) co_await log.sync();
  if (log.term != m.term || at > log.last()) co_return append_reply{log.term, false, me.id, 0, 0};
  log.durable_index = std::max(log.durable_index, at);
  co_return append_reply{log.term, true, me.id, at, 0};
}

}  // namespace hive
