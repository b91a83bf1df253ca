#include "meadow/caller.hpp"

#include <algorithm>

#include "queen/realm.hpp"

namespace hive {

balancer::balancer(host& hh, std::vector<std::string> webs) : h(hh), home(hh) {
  for (auto& w : webs)
    home.spawn(poll(w));
}
auto balancer::poll(std::string web) -> task<void> {
  while (true) {
    auto r = co_await fetch(h, web, "GET", "/readyz", "", h.now() + sec);
    if (r.code == 200)
      ready.insert(web);
    else
      ready.erase(web);
    co_await rest(h, 400 * msec);
  }
}
auto balancer::draw() -> std::string {
  if (ready.empty()) return {};
  return *std::next(ready.begin(), static_cast<std::ptrdiff_t>(h.below(ready.size())));
}

caller::caller(host& hh, balancer& p, history& l, plan w) : h(hh), fleet(p), log(l), what(std::move(w)), home(hh) {
  for (auto& t : what.hear)
    pos[t] = -1;
  home.spawn(live());
  if (!what.tell.empty()) home.spawn(talk());
  if (what.drop < never) home.spawn(droppings());
}

auto caller::reset() -> void {
  if (io) io->way().close();
}
auto caller::droppings() -> task<void> {
  while (true) {
    co_await rest(h, h.spread(what.drop));
    if (h.below(4) == 0)
      jump();
    else
      reset();
  }
}

namespace {
// A link nobody reads any more, until the caller's machine gives it up.
auto ghost(host& h, std::shared_ptr<lines> l) -> task<void> {
  co_await rest(h, h.spread(8 * sec));
  l->way().close();
}
}  // namespace

// The long link: connect, subscribe from where it stands, read; again and again.
auto caller::live() -> task<void> {
  while (true) {
    back_in = h.spread(500 * msec);
    if (!seeking) log.note(h, branch{{"e", "seek"}, {"who", what.name}});
    seeking = true;
    auto web = fleet.draw();
    auto l = std::shared_ptr<lines>();
    if (!web.empty()) l = co_await open_link(h, web, h.now() + 2 * sec);
    if (l) {
      io = l;
      l->put(branch{{"op", "enrol"}, {"name", what.name}});
      for (auto& [t, p] : pos) {
        auto q = branch{{"op", "subscribe"}, {"topic", t}};
        if (p >= 0) q["after"] = p;
        log.note(h, branch{{"e", "sub"}, {"who", what.name}, {"topic", t}, {"after", p}});
        l->put(q);
      }
      linked = true;
      hop = false;
      for (auto& [t, f] : open) {
        f.asked = false;
        f.due = h.now();
      }
      while (!hop) {
        auto row = co_await l->next(h.now() + 3500 * msec);
        if (!row) break;  // ended, or silent for longer than any beat
        take(boost::json::parse(*row));
      }
      linked = false;
      if (hop && !l->way().shut)
        home.spawn(ghost(h, l));
      else
        l->way().close();
      io.reset();
    }
    co_await rest(h, back_in);
  }
}

auto caller::shoot(flight& f) -> void {
  log.note(h, branch{{"e", "try"}, {"who", what.name}, {"topic", f.topic}, {"seq", f.seq}, {"body", f.body}});
  ++f.tries;
  f.asked = true;
  f.due = h.now() + 6 * sec;
  io->put(branch{{"op", "publish"}, {"topic", f.topic}, {"seq", f.seq}, {"body", f.body}});
}

// Publishes on its topics in turn; one at a time per topic, resent until the answer is clear.
auto caller::talk() -> task<void> {
  co_await rest(h, h.spread(what.every));
  auto next = h.now();
  auto turn = std::size_t{0};
  while (true) {
    auto now = h.now();
    if (linked && io) {
      for (auto& [t, f] : open)
        if (f.due <= now) shoot(f);
      for (auto it = echoes.begin(); it != echoes.end();) {
        if (it->due <= now) {
          shoot(*it);
          ++log.counts["echo sent"];
          it = echoes.erase(it);
        } else {
          ++it;
        }
      }
      if (now >= next && now < what.until) {
        next = now + h.spread(what.every);
        auto topic = what.tell[turn++ % what.tell.size()];
        auto flying = std::count_if(open.begin(), open.end(), [&](auto& o) { return o.first.first == topic; });
        if (flying < what.pipe) {
          auto n = ++seq[topic];
          auto body = what.name + "|" + topic + "|" + std::to_string(n) + "|" + std::to_string(h.chance() % 1000000);
          auto& f = open[{topic, n}];
          f = {topic, body, n, now, now, 0, false};
          log.sent[{topic + " " + what.name, n}] = now;
          shoot(f);
        }
      }
    }
    co_await rest(h, std::min<tick>(100 * msec, std::max<tick>(5 * msec, what.every / 4)));
  }
}

auto caller::take(const tree& t) -> void {
  auto op = str_or(t, "op");
  if (op == "deliver") {
    auto topic = str(t, "topic");
    auto p = num(t, "pos");
    log.note(h, branch{{"e", "got"},
                       {"who", what.name},
                       {"topic", topic},
                       {"pos", p},
                       {"from", sub(t, "from")},
                       {"seq", sub(t, "seq")},
                       {"body", sub(t, "body")}});
    pos[topic] = p;
    if (auto it = log.sent.find({topic + " " + str(t, "from"), num(t, "seq")}); it != log.sent.end())
      log.deliveries[topic.substr(0, topic.find('/'))].push_back(h.now() - it->second);
    return;
  }
  if (op == "return") {
    back_in = num_or(t, "retry_ms", 100) * msec;
    if (io) io->way().close();
    return;
  }
  auto kind = str_or(t, "for"), v = str_or(t, "verdict"), code = str_or(t, "code");
  if (op == "ended" || (op == "verdict" && kind == "subscribe")) {
    auto topic = str(t, "topic");
    if (v == "done") {
      if (seeking) log.note(h, branch{{"e", "linked"}, {"who", what.name}});
      seeking = false;
      log.note(h, branch{{"e", "subbed"}, {"who", what.name}, {"topic", topic}, {"pos", sub(t, "pos")}});
      if (pos[topic] < 0) pos[topic] = num(t, "pos");
      return;
    }
    ++log.counts["subscribe " + code];
    if (code == "gone") {
      log.note(h, branch{{"e", "gone"}, {"who", what.name}, {"topic", topic}, {"after", pos[topic]}});
      pos[topic] = -1;
      if (io) io->put(branch{{"op", "subscribe"}, {"topic", topic}});
      return;
    }
    reset();  // come back elsewhere
    return;
  }
  if (op != "verdict") return;
  if (kind == "link") {
    back_in = num_or(t, "retry_ms", 500) * msec;
    return;
  }
  if (kind != "publish") return;
  auto topic = str(t, "topic");
  auto it = open.find({topic, num(t, "seq")});
  log.note(h, branch{{"e", "verdict"},
                     {"who", what.name},
                     {"topic", topic},
                     {"seq", sub(t, "seq")},
                     {"verdict", v},
                     {"code", code},
                     {"retry", num_or(t, "retry_ms", -1)},
                     {"pos", num_or(t, "pos", -1)}});
  ++log.counts["publish " + v + (code.empty() ? "" : " " + code)];
  if (it == open.end()) return;
  auto& f = it->second;
  auto back = num_or(t, "retry_ms", -1);
  if (v == "acked") {
    log.acks[topic.substr(0, topic.find('/'))].push_back(h.now() - f.first);
    if (what.echo > 0 && h.below(4) == 0) {
      echoes.push_back(f);
      echoes.back().due = h.now() + static_cast<tick>(h.below(static_cast<std::uint64_t>(what.echo)));
    }
    open.erase(it);
  } else if (back < 0 && v == "refused") {
    open.erase(it);  // final
  } else {
    f.due = h.now() + std::max<tick>(back, 50) * msec;
  }
}

keeper::keeper(host& hh, std::vector<std::string> q, std::vector<std::string> f, history& l)
    : h(hh), queens(std::move(q)), foragers(std::move(f)), log(l) {}

auto keeper::ask(std::string verb, std::string path, std::string body, tick until) -> task<reply> {
  auto out = reply();
  while (h.now() < until) {
    auto at = queens[h.below(queens.size())];
    out = co_await fetch(h, at, verb, path, body, std::min(until, h.now() + 3 * sec));
    if (out.code > 0 && out.code < 500) co_return out;
    co_await rest(h, 200 * msec);
  }
  co_return out;
}

namespace {
auto sum_of(const tree& t) -> std::string { return std::to_string(std::hash<std::string>()(text(t))); }
}  // namespace

// Asked again until the answer is clear, as operators do; a refusal is an answer.
auto keeper::put(std::int64_t number, std::string body) -> task<bool> {
  auto call = "charter " + std::to_string(number) + " try " + std::to_string(++count);
  log.note(h, branch{{"e", "ask"}, {"what", call}});
  auto r = co_await ask("PUT", "/v1/charter", body, never / 2);
  log.note(h, branch{{"e", "told"}, {"what", call}});
  if (r.code == 200) log.note(h, branch{{"e", "put"}, {"number", number}, {"sum", sum_of(boost::json::parse(body))}});
  co_return r.code == 200;
}

auto keeper::await_held(std::int64_t number, tick until) -> task<bool> {
  while (h.now() < until) {
    auto r = co_await ask("GET", "/v1/charter/held?number=" + std::to_string(number), "", until);
    if (r.code == 200 && yes(r.body, "held")) {
      log.note(h, branch{{"e", "held"}, {"number", number}});
      co_return true;
    }
    co_await rest(h, 100 * msec);
  }
  co_return false;
}

// Asks a forager whether a charter serves: only one number's probe topic is allowed.
auto keeper::probe(std::string node, std::int64_t n) -> task<void> {
  auto t0 = h.now() / msec;
  auto body =
      text(branch{{"name", "prober"}, {"topic", "probe/v" + std::to_string(n)}, {"seq", ++count}, {"body", "probe"}});
  auto r = co_await fetch(h, node, "POST", "/v1/publish", body, h.now() + 2 * sec);
  if (r.code == 200) log.note(h, branch{{"e", "probe"}, {"node", node}, {"number", n}, {"t0", t0}});
}
auto keeper::probe_all(std::int64_t low, std::int64_t high) -> task<void> {
  for (auto& f : foragers)
    for (auto n = low; n <= high; ++n)
      co_await probe(f, n);
}

// All day: each forager in turn is asked for the newest charter and the two before it,
// and some queen for what it would read back.
auto keeper::stroll(std::function<std::int64_t()> newest) -> task<void> {
  for (auto i = std::size_t{0};; ++i) {
    auto n = newest();
    for (auto k = n; k > 0 && k > n - 3; --k)
      co_await probe(foragers[i % foragers.size()], k);
    if (i % 4 == 0) co_await pull(queens[h.below(queens.size())], h.now() + 2 * sec);
    co_await rest(h, 100 * msec);
  }
}

auto keeper::send_once(std::string queen, std::string verb, std::string path, std::string body) -> task<std::string> {
  constexpr auto answered_within = 2 * sec;
  auto r = co_await fetch(h, queen, verb, path, body, h.now() + answered_within);
  if (r.code == 200) co_return "taken";
  // Operators are told of a last copy at once, as of a refusal.
  if (r.code >= 500 && str_or(r.body, "code") != "last_copy") co_return "retry";
  co_return r.code > 0 ? "refused" : "late";
}
auto keeper::put_once(std::string queen, std::int64_t number, std::string body) -> task<std::string> {
  auto kind = co_await send_once(std::move(queen), "PUT", "/v1/charter", body);
  if (kind == "taken") log.note(h, branch{{"e", "put"}, {"number", number}, {"sum", sum_of(boost::json::parse(body))}});
  co_return kind;
}
auto keeper::leave_once(std::string queen, std::string name, std::string kind) -> task<std::string> {
  auto body = text(branch{{"name", name}, {"kind", kind}});
  co_return co_await send_once(std::move(queen), "POST", "/v1/leave", body);
}
// What it reads is judged as any other read: never older than what was acknowledged before.
auto keeper::read_once(std::string queen) -> task<std::string> {
  auto t0 = h.now();
  auto read = co_await pull(queen, h.now() + 2 * sec);
  if (read) co_return "taken";
  co_return h.now() - t0 < 2 * sec ? "retry" : "late";
}

auto keeper::leave(std::string name, std::string kind, tick until, std::function<void()> accepted) -> task<bool> {
  auto body = text(branch{{"name", name}, {"kind", kind}});
  auto task_name = "leaving of " + name + " try " + std::to_string(++count);
  log.note(h, branch{{"e", "ask"}, {"what", task_name}});
  auto r = co_await ask("POST", "/v1/leave", body, until);
  log.note(h, branch{{"e", "told"}, {"what", task_name}});
  if (r.code != 200) co_return false;
  if (accepted) accepted();
  while (h.now() < until) {
    r = co_await ask("GET", "/v1/leave", "", until);
    if (r.code == 200 && yes(sub(r.body, name), "done")) {
      log.note(h, branch{{"e", "left"}, {"name", name}});
      co_return true;
    }
    co_await rest(h, 200 * msec);
  }
  co_return false;
}

auto keeper::evacuate(std::string zone, tick until) -> task<bool> {
  auto body = text(branch{{"zone", zone}, {"kind", "evacuate"}});
  auto key = zone_key(zone);
  auto r = reply();
  while (r.code != 200 && h.now() < until) {
    r = co_await ask("POST", "/v1/leave", body, until);
    if (r.code != 200) co_await rest(h, 200 * msec);
  }
  if (r.code != 200) co_return false;
  log.note(h, branch{{"e", "left"}, {"name", key}});  // acknowledged: it holds from now on
  while (h.now() < until) {
    r = co_await ask("GET", "/v1/leave", "", until);
    if (r.code == 200 && yes(sub(r.body, key), "done")) co_return true;
    co_await rest(h, 200 * msec);
  }
  co_return false;
}

auto keeper::pull(std::string queen, tick until) -> task<bool> {
  auto t0 = h.now() / msec;
  auto r = co_await fetch(h, queen, "GET", "/v1/charter", "", until);
  if (r.code != 200) co_return false;
  log.note(h, branch{{"e", "newest"}, {"number", sub(r.body, "number")}, {"sum", sum_of(r.body)}, {"t0", t0}});
  t0 = h.now() / msec;
  r = co_await fetch(h, queen, "GET", "/v1/leave", "", until);
  if (r.code != 200) co_return false;
  auto names = twigs();
  for (const auto& kv : r.body.as_object())
    if (yes(kv.value(), "done") || !zone_of_key(std::string(kv.key())).empty()) names.emplace_back(kv.key());
  log.note(h, branch{{"e", "leaves"}, {"names", names}, {"t0", t0}});
  co_return true;
}
auto keeper::read_back(tick until) -> task<bool> {
  while (h.now() < until) {
    auto ok = co_await pull(queens[h.below(queens.size())], std::min(until, h.now() + 3 * sec));
    if (ok) co_return true;
    co_await rest(h, 200 * msec);
  }
  co_return false;
}
auto keeper::read_all(std::vector<std::string> from, tick until) -> task<bool> {
  for (auto& q : from) {
    auto ok = false;
    while (!ok && h.now() < until) {
      ok = co_await pull(q, std::min(until, h.now() + 3 * sec));
      if (!ok) co_await rest(h, 200 * msec);
    }
    if (!ok) co_return false;
  }
  co_return true;
}

auto probe_charter(std::int64_t number, const std::string& spaces) -> std::string {
  auto n = std::to_string(number);
  return R"({"number":)" + n + R"(,"spaces":[)" + spaces +
         R"(,{"name":"probe","keep_s":0,"cells":1}],"rules":["allow publish on probe/v)" + n +
         R"( for prober","deny all on probe/*","allow all on *"]})";
}

}  // namespace hive
