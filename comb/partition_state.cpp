#include "comb/partition_state.hpp"

#include <algorithm>

namespace hive {
namespace {

constexpr auto slack = std::int64_t{1000};      // the logged clock trails by at most this
constexpr auto callers_for = std::int64_t{60};  // a caller is known for so many resend spans

}  // namespace

auto tally::has(std::int64_t seq) const -> bool {
  auto it = runs.upper_bound(seq);
  if (it == runs.begin()) return false;
  return std::prev(it)->second >= seq;
}
auto tally::add(std::int64_t seq) -> void {
  high = std::max(high, seq);
  if (!runs.empty() && runs.rbegin()->second == seq - 1)
    runs.rbegin()->second = seq;
  else
    runs[seq] = seq;
  while (runs.size() > 256)
    runs.erase(runs.begin());  // what is forgotten is refused, never run again
}

auto partition_state::weigh(const std::string& who, const std::string& topic, std::int64_t seq) const -> standing {
  auto it = callers.find({who, topic});
  if (it == callers.end() || seq > it->second.high) return standing::fresh;
  return it->second.has(seq) ? standing::repeat : standing::below;
}

auto partition_state::close(const std::string& id) -> void {
  auto it = open.find(id);
  if (it == open.end()) return;
  auto& t = topics[it->second.topic];
  t.open.erase(id);
  t.at = clock;
  open.erase(it);
}

auto partition_state::expire() -> void {
  auto age = std::max(keep, resend) + slack;
  for (auto& [name, t] : topics) {
    while (!t.kept.empty() && t.kept.front().at + std::max(t.kept.front().keep, resend) + slack < clock) {
      t.floor = t.kept.front().pos;
      t.kept.pop_front();
    }
  }
  // A topic that nobody used for as long as a caller is known leaves the state, and its
  // floor with it: who resumes there later lacks nothing that is still kept (design 6.1).
  for (auto it = topics.begin(); it != topics.end();) {
    auto& t = it->second;
    it = t.kept.empty() && t.open.empty() && t.at + std::max(resend * callers_for, age) < clock ? topics.erase(it)
                                                                                                : std::next(it);
  }
  for (auto it = callers.begin(); it != callers.end();)
    it = it->second.at + resend * callers_for < clock ? callers.erase(it) : std::next(it);
}

auto partition_state::apply(std::int64_t pos, const tree& e) -> std::vector<output> {
  auto out = std::vector<output>();
  auto k = str(e, "k");
  if (k == "c") {  // a clock read, or the timer that made one
    auto was = clock / slack;
    clock += num(e, "d");
    if (clock / slack != was) expire();
  } else if (k == "p") {  // publish: the output entry of its ack and of its fan-out
    auto who = str(e, "d"), topic = str(e, "t");
    auto seq = num(e, "s");
    if (weigh(who, topic, seq) != standing::fresh) return out;
    auto& c = callers[{who, topic}];
    c.add(seq);
    c.at = clock;
    auto& t = topics[topic];
    t.at = clock;
    t.kept.push_back({pos, who, str(e, "b"), seq, clock, num(e, "w"), num_or(e, "keep", keep)});
    out.push_back({output::kind::accepted, {who}, topic, t.kept.back(), pos});
    auto ids = std::vector<std::string>();
    for (const auto& id : t.open) {
      open[id].last = pos;
      ids.push_back(id);
    }
    if (!ids.empty()) out.push_back({output::kind::deliver, ids, topic, t.kept.back(), pos});
  } else if (k == "s") {  // subscribe, or resume after a position
    auto id = str(e, "i"), topic = str(e, "t");
    auto after = num(e, "a");
    close(id);
    auto& t = topics[topic];
    t.at = clock;
    // Where nothing is kept, nothing from before a new founding is owed.
    if (auto floor = keep > 0 ? std::max(t.floor, root) : t.floor; after >= 0 && after < floor) {
      out.push_back({output::kind::gone, {id}, topic, {}, floor});
      return out;
    }
    auto from = after < 0 ? pos : std::max(after, root);
    out.push_back({output::kind::opened, {id}, topic, {}, from});
    auto& l = open[id];
    l = {topic, str(e, "d"), from};
    t.open.insert(id);
    for (const auto& m : t.kept) {
      if (m.pos <= from) continue;
      out.push_back({output::kind::deliver, {id}, topic, m, m.pos});
      l.last = m.pos;
    }
  } else if (k == "e") {
    close(str(e, "i"));
  } else if (k == "l") {  // a charter's step
    keep = num(e, "keep");
    resend = num(e, "resend");
    law = num(e, "n");
    expire();
  }
  return out;
}

auto partition_state::capture() const -> tree {
  auto ts = twigs();
  for (const auto& [name, t] : topics) {
    auto rows = twigs();
    for (const auto& m : t.kept)
      rows.push_back(twigs{m.pos, m.from, m.body, m.seq, m.at, m.wall, m.keep});
    ts.push_back(twigs{name, t.floor, rows, t.at});
  }
  auto os = twigs();
  for (const auto& [id, l] : open)
    os.push_back(twigs{id, l.topic, l.who, l.last});
  auto cs = twigs();
  for (const auto& [key, c] : callers) {
    auto rs = twigs();
    for (const auto& [a, b] : c.runs)
      rs.push_back(twigs{a, b});
    cs.push_back(twigs{key.first, key.second, c.high, c.at, rs});
  }
  return branch{{"clock", clock}, {"keep", keep}, {"resend", resend}, {"law", law},
                {"root", root},   {"topics", ts}, {"open", os},       {"callers", cs}};
}

auto partition_state::restore(const tree& t) -> partition_state {
  auto h = partition_state();
  h.clock = num(t, "clock");
  h.keep = num(t, "keep");
  h.resend = num(t, "resend");
  h.law = num(t, "law");
  h.root = num_or(t, "root", 0);
  for (const auto& r : list(t, "topics")) {
    const auto& a = r.as_array();
    auto& row = h.topics[std::string(a.at(0).as_string())];
    row.floor = a.at(1).as_int64();
    row.at = a.size() > 3 ? a.at(3).as_int64() : h.clock;  // the first landing's captures lack it
    for (const auto& m : a.at(2).as_array()) {
      const auto& f = m.as_array();
      row.kept.push_back({f.at(0).as_int64(), std::string(f.at(1).as_string()), std::string(f.at(2).as_string()),
                          f.at(3).as_int64(), f.at(4).as_int64(), f.at(5).as_int64(),
                          f.size() > 6 ? f.at(6).as_int64() : h.keep});  // the first landings' captures lack it
    }
  }
  for (const auto& r : list(t, "open")) {
    const auto& a = r.as_array();
    auto id = std::string(a.at(0).as_string());
    h.open[id] = {std::string(a.at(1).as_string()), std::string(a.at(2).as_string()), a.at(3).as_int64()};
    h.topics[h.open[id].topic].open.insert(id);
  }
  for (const auto& r : list(t, "callers")) {
    const auto& a = r.as_array();
    auto& c = h.callers[{std::string(a.at(0).as_string()), std::string(a.at(1).as_string())}];
    c.high = a.at(2).as_int64();
    c.at = a.at(3).as_int64();
    for (const auto& run : a.at(4).as_array())
      c.runs[run.at(0).as_int64()] = run.at(1).as_int64();
  }
  return h;
}

}  // namespace hive
