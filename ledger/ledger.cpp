// The replicated log as its user sees it: proposals, fresh reads, requests of other voters, status (design 4).
#include "ledger/ledger.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

template <class Reply>
auto answer_to(task<Reply> request) -> task<tree> {
  auto reply = co_await std::move(request);
  co_return encode(reply);
}

}  // namespace

ledger::ledger(host& hh, const config& c, rules r)
    : h(hh), set(c), law(std::move(r)), log(*hh.disk(), law.bounds), election_timeout(c.lose * 3 / 8), home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("ledger task ended: ") + x.what());
      spill("a ledger task ended");
    }
  };
  auto restored = log.load(h.chance());
  me = {c.addr, log.disk_id};
  if (restored) {
    if (!restored->state.is_null()) law.restore(restored->state);
    commit_index = applied_index = restored->index;
  }
  // It may have promised a leader quiet just before it went down (design 4.4).
  if (log.term > 0) heard_leader = h.now();
  home.spawn(clock());
  home.spawn(applier());
}

auto ledger::reach(const std::string& addr) -> colleague& {
  auto& c = connections[addr];
  if (!c) {
    c = std::make_unique<colleague>(h, colleague::ways{set.name, addr, set.beat, set.lose});
    c->on_gone = [this, addr] { leader_gone(addr); };
  }
  return *c;
}

auto ledger::ask_leader(tree t, tick until) -> task<tree> {
  if (leader_addr.empty() || leader_addr == me.addr)
    throw verdict("no_leader", "no ledger leader is known here", ran::no, set.lose / msec);
  co_return co_await reach(leader_addr).ask(std::move(t), until);
}

auto ledger::propose(tree command, tick until) -> task<tree> {
  if (!leads() || transferring) throw verdict("no_leader", "this queen does not lead", ran::no, set.beat / msec);
  if (pack(command).size() > command_bytes_most) throw verdict("too_large", "the command fits into no frame");
  auto waiting = std::make_shared<proposal>();
  waiting->term = log.term;
  proposals[log.append(log.term, command)] = waiting;
  home.spawn(own_disk_synced());
  log_grown.wake();
  while (!waiting->out && !waiting->lost) {
    auto in_time = co_await waiting->done.wait(h, until);
    if (!in_time) break;
  }
  if (!waiting->out) throw verdict("unclear", "the ledger did not agree in time", ran::maybe, set.beat / msec);
  co_return std::move(*waiting->out);
}

auto ledger::fresh(tick until) -> task<void> {
  auto asked = h.now();
  auto term = log.term;
  auto fail = verdict("no_leader", "no majority confirms the newest state now", ran::no, set.lose / msec);
  if (!leads()) throw fail;
  auto first = first_own_index;
  log_grown.wake();
  while (quorum_at() < asked) {
    auto in_time = co_await reply_came.wait(h, until);
    if (!in_time || !leads() || log.term != term) throw fail;
  }
  auto upto = std::max(commit_index, first);
  while (applied_index < upto) {
    auto in_time = co_await commit_moved.wait(h, until);
    if (!in_time || !leads() || log.term != term) throw fail;
  }
}

auto ledger::apply_next() -> void {
  auto at = applied_index + 1;
  auto term = log.entry_at(at).term;
  auto command = unpack(log.entry_at(at).command);
  auto out = sub(command, "panel").is_array() ? tree(branch{{"ok", true}}) : law.apply(at, command);
  applied_index = at;
  // Settled: it speaks for the majority now.
  if (leads() && at == first_own_index && law.turned) law.turned();
  if (auto it = proposals.find(at); it != proposals.end()) {
    if (it->second->term == term)
      it->second->out = std::move(out);
    else
      it->second->lost = true;
    it->second->done.wake();
    proposals.erase(it);
  }
  commit_moved.wake();
}

auto ledger::applier() -> task<void> {
  while (true) {
    while (applied_index < commit_index)
      apply_next();
    compact();
    co_await commit_moved.wait(h);
  }
}

auto ledger::ask(std::string op, tree t) -> task<tree> {
  if (op == "l.vote") co_return co_await answer_to(on_vote(decode_vote_request(t)));
  if (op == "l.append") co_return co_await answer_to(on_append(decode_append_request(t)));
  if (op == "l.snapshot") co_return co_await answer_to(on_chunk(decode_snapshot_chunk(t)));
  if (op == "l.enter") {
    auto request = decode_join_request(t);
    co_return co_await on_join(std::move(request));
  }
  if (op == "l.who") co_return encode(on_describe(decode_describe_request(t)));
  if (op == "l.run") {
    on_timeout_now(decode_timeout_now_request(t));
    co_return branch{{"ok", true}};
  }
  throw verdict("malformed", "unknown request " + op);
}

auto ledger::stand() const -> tree {
  // The leader knows how each voter is; the others name them only.
  auto rows = to_tree(log.members().all()).as_array();
  if (leads()) {
    auto tell = [&](branch& row, const voter& who, const char* seat) {
      auto it = progress.find(who);
      auto here = who == me;
      auto known = here || it != progress.end();
      row["seat"] = seat;
      row["behind"] = log.last() - (here ? log.durable_index : known ? it->second.match_index : 0);
      row["silent_ms"] = here ? 0 : known ? (h.now() - it->second.heard) / msec : -1;
    };
    for (auto& r : rows)
      tell(r.as_object(), {str(r, "addr"), str(r, "id")}, "voter");
    for (const auto& who : learners) {
      if (log.members().contains(who)) continue;
      auto row = branch{{"addr", who.addr}, {"id", who.id}};
      tell(row, who, "enters");
      rows.push_back(row);
    }
  }
  return branch{{"role", leads()                        ? "leader"
                         : role == role_kind::candidate ? "candidate"
                         : may_vote()                   ? "follower"
                                                        : "learner"},
                {"leader", leader_addr},
                {"term", log.term},
                {"last", log.last()},
                {"agreed", commit_index},
                {"applied", applied_index},
                {"base", log.snapshot_index()},
                {"bytes", log.bytes()},
                {"voters", rows},
                {"changing", leads() && (change_pending() || !learners.empty())},
                {"disk", me.id}};
}

}  // namespace hive
