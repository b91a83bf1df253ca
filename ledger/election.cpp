// Elections: who leads, when a voter runs, how a leader hands over (design 4.1, 4.4).
#include <algorithm>

#include "ledger/ledger.hpp"
#include "wax/ring.hpp"

namespace hive {

auto ledger::follow(term_number new_term, const std::string& new_leader) -> void {
  auto was = role;
  if (new_term > log.term) {
    log.term = new_term;
    log.voted_for.clear();
    log.save_metadata();
  }
  role = role_kind::follower;
  auto changed = leader_addr != new_leader || was == role_kind::leader;
  leader_addr = new_leader;
  if (was == role_kind::leader) {
    hive::log(grade::note, set.name, "leads no longer, term " + std::to_string(log.term));
    for (auto& [at, waiting] : proposals) {
      waiting->lost = true;
      waiting->done.wake();
    }
    proposals.clear();
    progress.clear();
    learners.clear();
    log_grown.wake();
    reply_came.wake();
  }
  if (changed && law.turned) law.turned();
}

auto ledger::take_lead() -> void {
  role = role_kind::leader;
  leader_addr = me.addr;
  leader_since = h.now();
  transferring = false;
  progress.clear();
  learners.clear();
  hive::log(grade::note, set.name, "leads the ledger, term " + std::to_string(log.term));
  // Voters of an earlier change may be joint still: they are stated as they are, and finished once this is agreed.
  auto command = branch();
  put_membership(command, log.members());
  command["realm"] = log.ledger_id().empty() ? me.id : log.ledger_id();
  first_own_index = log.append(log.term, command);
  home.spawn(own_disk_synced());
  for (const auto& one : log.members().all())
    start_replication(one);
  if (law.turned) law.turned();
}

// The leader's connection was closed and its address refuses: its process is dead, and the quiet
// promised to it has no one left to protect (design 4.4).
auto ledger::leader_gone(const std::string& addr) -> void {
  if (role != role_kind::follower || leader_addr != addr) return;
  hive::log(grade::note, set.name, "the leader's process is gone: " + addr);
  heard_leader = -never;
  leader_died = h.now();
  follow(log.term, "");
  leader_lost.wake();
}

auto ledger::lead_for_a_beat() -> task<void> {
  co_await rest(h, set.beat);
  if (!leads()) co_return;
  if (h.now() - majority_contact() > election_timeout) {
    hive::log(grade::warn, set.name, "a majority is out of reach");
    follow(log.term, "");
    heard_leader = h.now();
    co_return;
  }
  drop_silent_learners();
  // One gone for good must not count in every majority; none goes by silence alone where few are left.
  if (auto row = silent(set.lose * 5); settled() && !change_pending() && voters().size() > seats_least && !row.empty())
    home.spawn(unseat(row.front()));
}

auto ledger::next_election() const -> tick {
  const auto all = log.members().all();
  // The first try of a life goes by the order of the seats: after a start of all, chance would only add to the quiet.
  auto turn = std::find(all.begin(), all.end(), me) - all.begin();
  auto by_seat = turn * set.beat / 2 + static_cast<tick>(h.below(static_cast<std::uint64_t>(set.beat / 4)));
  auto wait = tried ? static_cast<tick>(h.below(static_cast<std::uint64_t>(election_timeout))) : by_seat;
  auto due = std::max(heard_leader, h.now() - election_timeout) + election_timeout + wait;
  // Nobody's quiet to keep: at once, one after the other so that the votes do not split.
  if (h.now() - leader_died < election_timeout && h.now() - heard_leader >= election_timeout) due = h.now() + by_seat;
  return due;
}

// The one clock of the log: founding, elections, and a leader that lost its majority.
auto ledger::clock() -> task<void> {
  try {
    co_await log.sync();
  } catch (const verdict&) {
  }
  while (true) {
    if (log.broken() && !leads()) {  // it cannot vote, stand or join: it listens
      co_await rest(h, set.beat);
      continue;
    }
    if (!may_vote()) {
      co_await found();
      continue;
    }
    if (leads()) {
      co_await lead_for_a_beat();
      continue;
    }
    auto sooner = co_await leader_lost.wait(h, next_election());
    if (sooner) continue;
    if (leads() || h.now() - heard_leader < election_timeout) continue;
    if (!may_vote() || leaving || role == role_kind::candidate) continue;
    if (!leader_addr.empty()) follow(log.term, "");
    tried = true;
    auto won = co_await run_for(true);
    // Perhaps its seat was given away while it was not there.
    if (!won && !joining && h.now() - heard_leader > set.lose * 2) home.spawn(join_again());
    if (!won || h.now() - heard_leader < election_timeout) continue;
    won = co_await run_for(false);
    if (won) take_lead();
  }
}

auto ledger::request_vote(voter from, tree request, std::shared_ptr<ballots> count) -> task<void> {
  try {
    auto answer = co_await reach(from.addr).ask(std::move(request), h.now() + election_timeout);
    auto reply = decode_vote_reply(answer);
    if (reply.term > log.term) follow(reply.term, "");
    // The vote of one that lost its disk does not count: its disk is not the one that was seated.
    if (reply.granted && reply.disk == from.id) count->granted.insert(from);
  } catch (const verdict&) {
  }
  --count->open;
  count->changed.wake();
}

// A dry run asks first whether it could win, so that a cut-off node does not raise terms.
auto ledger::run_for(bool dry_run) -> task<bool> {
  auto term = log.term + 1;
  if (!dry_run) {
    role = role_kind::candidate;
    log.term = term;
    log.voted_for = me.addr;
    log.save_metadata();
    try {
      co_await log.sync();
    } catch (const verdict&) {
      if (role == role_kind::candidate) role = role_kind::follower;
      co_return false;
    }
  }
  auto stands = [&] { return dry_run ? log.term < term : log.term == term && role == role_kind::candidate; };
  if (!stands()) co_return false;
  auto count = std::make_shared<ballots>();
  count->granted.insert(me);
  auto request = encode(vote_request{me.addr, term, log.last(), log.term_at(log.last()), dry_run, urged});
  for (const auto& one : log.members().all())
    if (one != me) {
      ++count->open;
      home.spawn(request_vote(one, request, count));
    }
  auto granted = [&] { return log.members().majority([&](const voter& v) { return count->granted.count(v) > 0; }); };
  auto end = h.now() + election_timeout;
  while (!granted() && count->open > 0 && h.now() < end && stands()) {
    auto in_time = co_await count->changed.wait(h, end);
    if (!in_time) break;
  }
  if (!stands()) co_return false;
  if (granted()) co_return true;
  if (!dry_run) role = role_kind::follower;
  co_return false;
}

auto ledger::on_timeout_now(timeout_now_request m) -> void {
  if (m.term == log.term && role == role_kind::follower && may_vote()) home.spawn(take_over());
}

auto ledger::take_over() -> task<void> {
  urged = true;
  auto won = co_await run_for(false);
  urged = false;
  if (won) take_lead();
}

auto ledger::on_vote(vote_request m) -> task<vote_reply> {
  auto mine = log.term_at(log.last());
  auto as_new = m.last_term > mine || (m.last_term == mine && m.last_index >= log.last());
  // Who still hears a leader keeps it.
  auto content = (leads() || h.now() - heard_leader < election_timeout) && !m.transfer;
  // Also where the own log does not seat this disk yet: the newest voters may be known to the asker alone, who counts
  // by disk.
  if (!log.founded || m.term < log.term || content) co_return vote_reply{log.term, false, me.id};
  if (m.dry_run) co_return vote_reply{log.term, as_new && m.term > log.term, me.id};
  if (m.term > log.term) follow(m.term, "");
  auto granted = as_new && (log.voted_for.empty() || log.voted_for == m.candidate);
  if (granted) {
    log.voted_for = m.candidate;
    log.save_metadata();
    heard_leader = h.now();
  }
  co_await log.sync();
  if (log.term != m.term) granted = false;
  co_return vote_reply{log.term, granted, me.id};
}

// A follower told to run now does not wait for silence; voters let it (`transfer`). From the first such word on this
// leader gives no lease and confirms nothing: another may lead already.
auto ledger::yield(tick until) -> task<void> {
  leaving = true;
  while (leads() && h.now() < until) {
    const auto row = voters();  // they may change meanwhile
    for (const auto& one : row) {
      auto it = progress.find(one);
      if (it == progress.end() || it->second.match_index < log.last()) continue;
      transferring = true;
      try {
        auto request = encode(timeout_now_request{log.term});
        co_await reach(one.addr).ask(std::move(request), h.now() + election_timeout);
      } catch (const verdict&) {
        continue;
      }
      co_await rest(h, set.beat);
      break;
    }
    co_await rest(h, set.beat / 4);
  }
}

}  // namespace hive
