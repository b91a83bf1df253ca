// Simulated fleets of control nodes alone, for the tests of the replicated log.
#pragma once
#include <set>
#include <sstream>
#include <string>

#include "swarm/fleet.hpp"

namespace hive::ledger_tests {

// Queens alone, with the seeds given, none of them started yet.
inline auto queens(std::int64_t n) -> shape {
  auto s = shape();
  s.queens = n;
  s.combs = s.foragers = s.callers = 0;
  return s;
}
inline auto voters(const fleet& f) -> std::string {
  auto out = std::string();
  auto lead = f.leader();
  if (lead.empty()) return "none leads";
  for (const auto& v : f.all.at(lead)->q->book.voters())
    for (const auto& n : f.names("queen"))
      if (f.all.at(n)->set.addr == v.addr) out += n + " ";
  return out;
}
inline auto sorted(std::string row) -> std::string {
  auto in = std::istringstream(row);
  auto all = std::set<std::string>();
  for (auto one = std::string(); in >> one;)
    all.insert(one);
  row.clear();
  for (const auto& n : all)
    row += n + " ";
  return row;
}
inline auto go(fleet& f, tick span) -> void { f.world.run(f.world.clock + span); }
inline auto start_all(fleet& f) -> void {
  for (const auto& n : f.names("queen"))
    f.start(n);
  go(f, 4 * sec);
}
inline auto addr(const fleet& f, const std::string& name) -> std::string { return f.all.at(name)->set.addr; }
inline auto book_of(fleet& f, const std::string& name) -> ledger& { return f.all.at(name)->q->book; }
// A queen that does not lead.
inline auto other_than(const fleet& f, const std::string& name) -> std::string {
  for (const auto& n : f.names("queen"))
    if (n != name && f.all.at(n)->up()) return n;
  return {};
}

// What a call to the log of one queen came to: its answer as text, or the code of its error.
using outcome = std::shared_ptr<std::string>;
inline auto call_book(fleet& f, const std::string& name, std::function<task<tree>(ledger&, host&)> call) -> outcome {
  auto out = std::make_shared<std::string>("no answer");
  auto& p = *f.all.at(name);
  p.extra->spawn([](ledger& book, host& h, std::function<task<tree>(ledger&, host&)> fn, outcome o) -> task<void> {
    try {
      auto answer = co_await fn(book, h);
      *o = text(answer);
    } catch (const verdict& v) {
      *o = v.code;
    } catch (const std::exception&) {
      *o = "malformed";
    }
  }(p.q->book, *p.h, std::move(call), out));
  return out;
}
// A command that makes the state larger by its name: an evacuation of a node of that name.
inline auto leave(const std::string& name) -> tree { return branch{{"k", "leave"}, {"name", name}, {"kind", "drain"}}; }
inline auto stay(const std::string& name) -> tree { return branch{{"k", "stay"}, {"name", name}}; }
inline auto propose(fleet& f, tree command) -> outcome {
  auto lead = f.leader();
  if (lead.empty()) return std::make_shared<std::string>("no_leader");
  return call_book(f, lead, [command](ledger& book, host& h) -> task<tree> {
    auto c = command;
    co_return co_await book.propose(std::move(c), h.now() + sec);
  });
}
inline auto ask(fleet& f, const std::string& name, const tree& request) -> outcome {
  return call_book(f, name, [request](ledger& book, host&) -> task<tree> {
    auto op = str(request, "op");
    auto sent = request;
    co_return co_await book.ask(std::move(op), std::move(sent));
  });
}
// Runs until `done` says so, and gives how long that took; `most` and more: it did not.
inline auto until(fleet& f, tick most, const std::function<bool()>& done) -> tick {
  auto began = f.world.clock;
  while (!done() && f.world.clock - began < most)
    go(f, 10 * msec);
  return f.world.clock - began;
}

}  // namespace hive::ledger_tests
