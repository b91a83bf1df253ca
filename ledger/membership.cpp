// Membership: founding, joining, replacing and removing voters (design 4.5).
#include <algorithm>

#include "ledger/ledger.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

// How many voters are in one of the lists only.
auto difference(const std::vector<voter>& a, const std::vector<voter>& b) -> std::size_t {
  auto missing = [](const std::vector<voter>& from, const std::vector<voter>& in) {
    return std::count_if(from.begin(), from.end(),
                         [&](const voter& v) { return std::find(in.begin(), in.end(), v) == in.end(); });
  };
  return static_cast<std::size_t>(missing(a, b) + missing(b, a));
}

}  // namespace

auto ledger::seated(const std::string& addr) const -> bool {
  return std::any_of(voters().begin(), voters().end(), [&](const voter& v) { return v.addr == addr; });
}

auto ledger::peers() const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  auto add = [&](const std::string& a) {
    if (a != me.addr && std::find(out.begin(), out.end(), a) == out.end()) out.push_back(a);
  };
  for (const auto& one : log.members().all())
    add(one.addr);
  for (const auto& seed : set.seeds)
    add(seed);
  return out;
}

auto ledger::silent(tick span) const -> std::vector<voter> {
  auto heard_at = [&](const voter& one) {
    auto it = progress.find(one);
    return one == me || it == progress.end() ? h.now() : it->second.heard;
  };
  auto out = std::vector<voter>();
  for (const auto& one : voters())
    if (h.now() - heard_at(one) > span) out.push_back(one);
  std::sort(out.begin(), out.end(), [&](const voter& a, const voter& b) { return heard_at(a) < heard_at(b); });
  return out;
}

// The next change begins only once the newest voters in the log are agreed, whoever put them there and whether or not
// its caller still waits: two changes that are both open could have majorities that do not meet.
auto ledger::change_pending() const -> bool { return log.members_index() > commit_index || log.members().joint(); }

// One voter more or less shares a majority with the list before it. A replacement is both, and goes through a joint
// list: nobody leaves before the newcomer is in, and no list is ever longer by one that may be lost again.
auto ledger::change_voters(std::vector<voter> next, tick until) -> task<void> {
  if (!settled() || transferring) throw verdict("busy", "the leader is not settled", ran::no, set.beat / msec);
  if (change_pending()) throw verdict("busy", "another voter is being changed", ran::no, set.beat / msec);
  auto term = log.term;
  auto change = membership{std::move(next), {}};
  if (difference(change.voters, voters()) > 1) change.outgoing = voters();
  auto command = branch();
  put_membership(command, change);
  co_await propose(std::move(command), until);
  while (leads() && log.term == term && change_pending()) {
    auto in_time = co_await commit_moved.wait(h, until);
    if (!in_time) break;
  }
  if (!leads() || log.term != term || change_pending())
    throw verdict("unclear", "the change of voters was not finished in time", ran::maybe, set.beat / msec);
}

// Both majorities have taken the joint list, in this term: the new one alone goes on.
auto ledger::finish_joint_change() -> void {
  if (!log.members().joint() || log.members_index() > commit_index || commit_index < first_own_index) return;
  auto command = branch();
  put_membership(command, {log.members().voters, {}});
  log.append(log.term, command);
  home.spawn(own_disk_synced());
}

auto ledger::unseat(voter who) -> task<void> {
  hive::log(grade::warn, set.name, "voter " + who.addr + " has been silent for long; its seat is removed");
  auto next = voters();
  next.erase(std::remove(next.begin(), next.end(), who), next.end());
  try {
    co_await change_voters(std::move(next), h.now() + set.lose);
  } catch (const verdict& e) {
    hive::log(grade::note, set.name, "voter " + who.addr + ": " + e.what());
  }
}

// A newcomer's progress is its own: nothing that another disk at its address once held counts for it.
auto ledger::start_learner(const voter& who) -> void {
  if (learners.count(who) || log.members().contains(who)) return;
  std::erase_if(learners, [&](const voter& one) { return one.addr == who.addr; });
  std::erase_if(progress,
                [&](const auto& row) { return row.first.addr == who.addr && !log.members().contains(row.first); });
  learners.insert(who);
  start_replication(who);
}

auto ledger::drop_silent_learners() -> void {
  std::erase_if(learners, [&](const voter& who) {
    auto it = progress.find(who);
    return it == progress.end() || h.now() - std::max(it->second.heard, it->second.added) > set.lose * 4;
  });
}

// Has it all that was agreed when a round began, in a round no longer than an election timeout? New entries may come
// faster than a slow link carries them; then it would only hold up the majority that it joins.
auto ledger::caught_up(voter who, tick until) -> task<bool> {
  auto term = log.term;
  auto began = h.now();
  auto target = commit_index;
  while (leads_follower(who, term) && h.now() < until) {
    if (progress.at(who).match_index >= target) {
      if (h.now() - began <= election_timeout) co_return true;
      began = h.now();
      target = commit_index;
    }
    co_await reply_came.wait(h, std::min(until, h.now() + set.beat));
  }
  co_return false;
}

// It takes the place of the disk that stood at its address before; else that of a voter that is lost, wherever that
// one stood: nobody waits for it; else a place more.
auto ledger::voters_with(const voter& who) const -> std::vector<voter> {
  auto next = voters();
  auto same_addr = [&](const voter& one) { return one.addr == who.addr; };
  if (seated(who.addr))
    next.erase(std::remove_if(next.begin(), next.end(), same_addr), next.end());
  else if (auto row = silent(set.lose * 2); !row.empty())
    next.erase(std::remove(next.begin(), next.end(), row.front()), next.end());
  next.push_back(who);
  return next;
}

// One whose disk was lost, or that is new: first it learns, then it takes a seat. While it learns it has no part in any
// majority, and nobody loses a seat for it.
auto ledger::on_join(join_request m) -> task<tree> {
  if (!leads()) {
    if (leader_addr.empty()) throw verdict("no_leader", "no leader yet", ran::no, set.beat / msec);
    auto request = encode(m);
    co_return co_await ask_leader(std::move(request), h.now() + set.lose * 3);
  }
  if (m.who.addr == me.addr && m.who != me) throw verdict("malformed", "join: addr is the leader's own");
  const auto& id = log.ledger_id();
  if (!m.ledger_id.empty() && !id.empty() && m.ledger_id != id) {
    hive::log(grade::warn, set.name, m.who.addr + " has a disk of another fleet's ledger; it is not let in");
    throw verdict("foreign", "the disk holds another fleet's ledger: empty the folder, or name its own fleet's seeds",
                  ran::no);
  }
  // Before an entry of its own term is agreed, voters of an earlier change may not be known here.
  if (!settled()) throw verdict("busy", "the leader is not settled yet", ran::no, set.beat / msec);
  if (change_pending()) throw verdict("busy", "another voter is being changed", ran::no, set.beat / msec);
  if (std::find(voters().begin(), voters().end(), m.who) == voters().end()) {
    start_learner(m.who);
    auto ready = co_await caught_up(m.who, h.now() + set.lose);
    if (!ready) throw verdict("catching_up", "the newcomer does not have all entries yet", ran::no, set.beat / msec);
    co_await change_voters(voters_with(m.who), h.now() + set.lose);
    learners.erase(m.who);
    hive::log(grade::note, set.name, "voter " + m.who.addr + " seated");
  }
  co_return branch{{"ok", true}};
}

auto ledger::on_describe(const describe_request& m) const -> describe_reply {
  return {me.id, log.founded, log.term == 0 && log.last() == 0, leader_addr, log.members().contains(m.asker)};
}

// Asks for a seat until it has one or the way to the leader is lost; what it has learned so far counts.
auto ledger::join(std::string via) -> task<void> {
  while (true) {
    try {
      auto request = encode(join_request{me, log.ledger_id()});
      co_await reach(via).ask(std::move(request), h.now() + set.lose * 4);
      co_return;
    } catch (const verdict& v) {
      hive::log(grade::note, set.name, std::string("not yet a voter: ") + v.what());
      if ((v.code != "catching_up" && v.code != "busy") || log.broken()) co_return;
    }
    co_await rest(h, h.spread(set.beat));
    if (log.members().contains(me)) co_return;
  }
}

// One that thinks itself a voter but hears no leader: the others may have gone on without it.
auto ledger::join_again() -> task<void> {
  joining = true;
  auto via = std::string();
  for (const auto& addr : peers()) {
    try {
      auto request = encode(describe_request{me});
      auto answer = co_await reach(addr).ask(std::move(request), h.now() + set.budget);
      auto reply = decode_describe_reply(answer);
      if (reply.leader.empty() || reply.seated) continue;
      via = addr;
      break;
    } catch (const verdict&) {
    }
  }
  if (!via.empty()) co_await join(via);
  joining = false;
}

// A blank disk: founds the log if it may and all seeds are blank, else joins.
auto ledger::found() -> task<void> {
  auto seen = std::vector<voter>();
  auto blank = true;
  auto via = std::string();
  auto seed = std::find(set.seeds.begin(), set.seeds.end(), me.addr) != set.seeds.end();
  if (seed) seen.push_back(me);
  for (const auto& addr : peers()) {
    try {
      auto request = encode(describe_request{});
      auto answer = co_await reach(addr).ask(std::move(request), h.now() + set.budget);
      auto reply = decode_describe_reply(answer);
      seen.push_back({addr, reply.disk});
      if (!reply.founded || reply.empty) continue;
      blank = false;
      if (reply.leader == addr || via.empty()) via = addr;
    } catch (const verdict&) {
    }
  }
  if (!log.founded && set.found && blank && seed && seen.size() == set.seeds.size()) {
    log.found(seen);
    try {
      co_await log.sync();
      hive::log(grade::note, set.name, "the ledger is founded");
    } catch (const verdict&) {
    }
  } else if (!blank) {
    co_await join(via);
  }
  if (!may_vote()) co_await rest(h, h.spread(set.beat));
}

}  // namespace hive
