#include "forager/forager.hpp"

#include <algorithm>

#include "forager/cursor.hpp"
#include "forager/http_talk.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto flying_most = 64;  // publishes of one link that wait for their answer

auto good_name(const std::string& s) -> bool {
  if (s.empty() || s.size() > 100) return false;
  return std::all_of(s.begin(), s.end(),
                     [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'; });
}

}  // namespace

forager::forager(host& hh, const config& c) : ses(hh, c, {c.feed}), h(hh), set(c), home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::warn, set.name, std::string("task ended: ") + x.what());
    }
  };
  char buf[20];
  std::snprintf(buf, sizeof buf, "%08llx", static_cast<unsigned long long>(h.chance() >> 32));
  mark = buf;
  ses.me.kind = "forager";
  ses.known.need = {"forager", c.zone};
  ses.serving = [this] {
    row();
    return ses.known.law ? ses.known.law->number : 0;
  };
  if (!c.web.empty()) {
    auto p = pages();
    p.page = [this](request r) { return page(std::move(r)); };
    p.stream = [this](request r, std::shared_ptr<lines> io) { return stream(std::move(r), std::move(io)); };
    p.body_most = static_cast<std::size_t>(set.body) * 2 + 4096;
    home.spawn(serve_web(h, home, h.listen(c.web), p));
  }
  home.spawn(tender());
  home.spawn(beats());
}
forager::~forager() = default;

auto forager::serves() const -> bool { return !going && ses.may_serve() && ses.fresh(); }
// Out of an evacuated zone new links go elsewhere, as long as there is an elsewhere.
auto forager::ready() const -> bool {
  if (!serves()) return false;
  if (!ses.known.evacuated(set.zone)) return true;
  auto seats = ses.known.all();
  return std::none_of(seats.begin(), seats.end(), [&](const auto& kv) {
    return kv.second.kind == "forager" && kv.second.ready && !ses.known.leaves(kv.second);
  });
}

auto forager::reach(const std::string& addr) -> colleague& {
  auto& c = mates[addr];
  if (!c) {
    c = std::make_unique<colleague>(h, colleague::ways{set.name, addr, set.beat, set.lose,
                                                       [this, addr] { return ses.known.vias(set.zone, addr); }});
    c->on_note = [this, addr](const tree& t) { on_note(addr, t); };
    c->on_turn = [this, addr](bool up) {
      if (!up)
        for (auto& [sid, r] : subs)
          if (r.at == addr) r.open = false, r.at.clear();
      ses.news.wake();
    };
  }
  return *c;
}

auto forager::lead_of(const std::string& cell) const -> std::string {
  auto it = ses.known.cells.find(cell);
  if (it == ses.known.cells.end() || it->second.prim.empty()) return "";
  const auto* s = ses.known.find(name_of(it->second.prim));
  return s && s->member() == it->second.prim ? s->addr : "";
}

auto forager::rules() const -> const charter& { return *ses.known.law->compiled(); }

// The request's way through the rules of the newest charter (design 7.2).
auto forager::judge(act a, const std::string& who, const std::string& topic, std::size_t n) -> way {
  if (!ses.may_serve() || !ses.fresh())
    throw verdict("no_lease", "no charter lease stands here", ran::no, h.spread(set.lose) / msec);
  if (!good_topic(topic)) throw verdict("malformed", "'" + topic + "' is no topic");
  auto r = rules().judge(a, who, topic, n);
  if (!r.ok) throw verdict("denied", r.why);
  const auto* s = good_topic(r.topic) ? rules().space_of(r.topic) : nullptr;
  if (!s) throw verdict("no_space", "no space holds '" + r.topic + "'");
  return {r.topic, *s};
}

auto forager::fields(const tree& t, std::initializer_list<const char*> known) const -> void {
  for (const auto& kv : t.as_object())
    if (std::none_of(known.begin(), known.end(), [&](auto* k) { return kv.key() == k; }))
      throw verdict("malformed", "unknown field '" + std::string(kv.key()) + "'");
}

// Until when a request may wait for a primary that is not there: a caller that is told at once
// asks again, and one that was held long without being served was held for nothing.
auto forager::patience(const space& s) const -> tick {
  return h.now() + (s.aim_ms > 0 ? s.aim_ms * msec / 5 : set.lose * 2);
}

// Asks the cell's primary. While a takeover is under way it waits for the new one, as long as
// the request can still run in its time; nothing is held back for any other reason (design 7.2).
auto forager::ask_lead(std::string cell, tree q, tick patience, tick until) -> task<tree> {
  auto back = h.spread(set.lose / 4) / msec;
  auto was = std::string();
  while (true) {
    auto addr = lead_of(cell);
    auto v = verdict("away", "no primary of " + cell + " is in reach", ran::no, back);
    if (!addr.empty() && addr != was) {
      auto& c = reach(addr);
      if (c.up()) {
        try {
          co_return co_await c.ask(q, until);
        } catch (const verdict& e) {
          if (e.run != ran::no || (e.code != "not_here" && e.code != "moving" && e.code != "away")) throw;
          v = e;
          if (e.code == "not_here") was = addr;  // not the same again before the table says so
        }
      }
    }
    auto end = std::min(patience, h.now() + set.beat / 2);
    if (h.now() >= patience) throw v;
    co_await ses.news.wait(h, end);
    if (lead_of(cell) != was || h.now() >= end) was.clear();
  }
}

auto forager::send_publish(std::string who, std::string topic, std::int64_t seq, std::string body) -> task<tree> {
  if (!good_name(who)) throw verdict("malformed", "name wants 1 to 100 letters, digits, '-', '_', '.', ':'");
  if (body.size() > static_cast<std::size_t>(set.body))
    throw verdict("too_long", "a message over " + std::to_string(set.body) + " bytes");
  if (seq < 1) throw verdict("below", "seq wants a whole number from 1 up");
  auto w = judge(act::publish, who, topic, body.size());
  auto cell = cell_of(w.home, w.topic);
  auto until = h.now() + (w.home.timeout_ms > 0 ? w.home.timeout_ms * msec / 2 : set.lose * 2);
  auto q = tree(branch{
      {"op", "pub"}, {"cell", cell}, {"t", w.topic}, {"d", who}, {"s", seq}, {"b", body}, {"keep", w.home.keep_ms}});
  auto r = co_await ask_lead(cell, std::move(q), patience(w.home), until);
  auto out = branch{{"verdict", "acked"}, {"topic", topic}, {"seq", seq}};
  if (const auto& p = sub(r, "pos"); p.is_int64()) out["pos"] = p;
  if (yes(r, "repeat")) out["repeat"] = true;
  co_return out;
}

// How many callers are subscribed to a topic.
auto forager::count_topic(downstream_ptr d, tree t) -> task<void> {
  auto out = branch();
  try {
    auto w = judge(act::subscribe, d->name, str(t, "topic"), 0);
    auto cell = cell_of(w.home, w.topic);
    auto q = tree(branch{{"op", "count"}, {"cell", cell}, {"t", w.topic}});
    auto r = co_await ask_lead(cell, std::move(q), patience(w.home),
                               h.now() + (w.home.timeout_ms > 0 ? w.home.timeout_ms * msec / 2 : set.budget));
    out = branch{{"verdict", "done"}, {"count", num(r, "count")}};
  } catch (const verdict& v) {
    out = v.to_tree().as_object();
  }
  out["op"] = "verdict";
  out["for"] = "count";
  for (auto k : {"topic", "id"})
    if (const auto& f = sub(t, k); !f.is_null()) out[k] = f;
  --d->flying;
  say(d, out);
}

auto forager::say(const downstream_ptr& d, const tree& t) -> void {
  if (d->over) return;
  if (d->io->way().owed() > static_cast<std::size_t>(set.buffer) / 16) {
    d->over = true;  // a slow reader: it resumes by position when it can read again
    hive::log(grade::note, set.name, "slow reader " + d->name + " is let go");
    d->io->way().close();
    return;
  }
  d->io->put(t);
}

auto forager::publish(downstream_ptr d, tree t) -> task<void> {
  auto out = branch();
  try {
    auto body = str(t, "body");
    auto topic = str(t, "topic");
    auto r = co_await send_publish(d->name, topic, num(t, "seq"), body);
    out = r.as_object();
    ++acked;
  } catch (const verdict& v) {
    out = v.to_tree().as_object();
    ++(v.run == ran::no ? refused : unclear);
  }
  out["op"] = "verdict";
  out["for"] = "publish";
  out["topic"] = sub(t, "topic");
  out["seq"] = sub(t, "seq");
  if (const auto& id = sub(t, "id"); !id.is_null()) out["id"] = id;
  --d->flying;
  say(d, out);
}

auto forager::open_sub(const std::string& sid, sub_row& r) -> void {
  auto it = ses.known.cells.find(r.cell);
  auto addr = lead_of(r.cell);
  if (addr.empty() || it == ses.known.cells.end()) return;
  auto& c = reach(addr);
  if (!c.up()) return;
  if (r.at != addr) ++r.turn;
  r.at = addr;
  r.epoch = it->second.epoch;
  r.sent = h.now();
  c.tell(branch{
      {"op", "sub"}, {"cell", r.cell}, {"i", sid}, {"t", r.topic}, {"d", r.to->name}, {"a", r.last}, {"n", r.turn}});
}

auto forager::subscribe(const downstream_ptr& d, const tree& t) -> void {
  auto asked = str(t, "topic");
  auto after = std::int64_t{-1};
  const auto& text = sub(t, "cursor");
  if (!text.is_null() && !text.is_string()) throw verdict("malformed", "cursor wants a string");
  if (const auto& a = sub(t, "after"); !a.is_null()) {
    if (!text.is_null()) throw verdict("malformed", "after stands beside cursor");
    if (!a.is_int64() || a.get_int64() < 0) throw verdict("malformed", "after wants a position");
    after = a.get_int64();
  }
  if (d->topics.count(asked)) throw verdict("taken", "this link has subscribed to it already");
  auto w = judge(act::subscribe, d->name, asked, 0);
  if (d->topics.size() >= static_cast<std::size_t>(rules().subscriptions))
    throw verdict("busy", "too many subscriptions on one link", ran::no, set.lose / msec);
  auto cell = cell_of(w.home, w.topic);
  if (text.is_string()) {
    auto pos = read_cursor(std::string(text.get_string()), w.topic, cell);
    if (!pos) throw verdict("gone", "that cursor is no place on this topic");
    after = *pos;
  }
  auto sid = set.name + ":" + mark + ":" + std::to_string(++count);
  d->topics[asked] = sid;
  auto& r = subs[sid];
  r.asked = asked;
  r.topic = w.topic;
  r.cell = cell;
  r.last = after;
  r.to = d;
  open_sub(sid, r);
}

auto forager::finish(const std::string& sid, bool tell) -> void {
  auto it = subs.find(sid);
  if (it == subs.end()) return;
  auto& r = it->second;
  if (tell && !r.at.empty()) reach(r.at).tell(branch{{"op", "end"}, {"cell", r.cell}, {"i", sid}});
  r.to->topics.erase(r.asked);
  subs.erase(it);
}

auto forager::line(downstream_ptr d, tree t) -> void {
  auto op = std::string();
  try {
    if (!t.is_object()) throw verdict("malformed", "a line that is no JSON object");
    if (!sub(t, "op").is_string()) throw verdict("malformed", "op is missing");
    op = str(t, "op");
    if (op == "beat") {
      fields(t, {"op"});
      return;
    }
    if (op == "bad") throw verdict(str_or(t, "code", "malformed"), str_or(t, "why"));
    if (op == "enrol") {
      fields(t, {"op", "name", "id"});
      if (!sub(t, "name").is_string() || !good_name(str(t, "name")))
        throw verdict("malformed", "name wants 1 to 100 letters, digits, '-', '_', '.', ':'");
      if (!d->name.empty()) throw verdict("taken", "this link is enrolled already");
      d->name = str(t, "name");
      return say(
          d, branch{{"op", "verdict"}, {"for", "enrol"}, {"verdict", "done"}, {"name", d->name}, {"node", set.name}});
    }
    if (d->name.empty()) throw verdict("malformed", "enrol first");
    if (op == "publish") {
      fields(t, {"op", "topic", "seq", "body", "id"});
      if (!sub(t, "topic").is_string()) throw verdict("malformed", "topic is missing");
      if (!sub(t, "seq").is_int64()) throw verdict("malformed", "seq is missing or no whole number");
      if (!sub(t, "body").is_string()) throw verdict("malformed", "body is missing or no string");
      if (d->flying >= flying_most)
        throw verdict("busy", "too many publishes of this link wait", ran::no, set.beat / msec);
      ++d->flying;
      return home.spawn(publish(d, std::move(t)));
    }
    if (op == "subscribe") {
      fields(t, {"op", "topic", "after", "cursor", "id"});
      if (!sub(t, "topic").is_string()) throw verdict("malformed", "topic is missing");
      return subscribe(d, t);
    }
    if (op == "count") {
      fields(t, {"op", "topic", "id"});
      if (!sub(t, "topic").is_string()) throw verdict("malformed", "topic is missing");
      if (d->flying >= flying_most)
        throw verdict("busy", "too many requests of this link wait", ran::no, set.beat / msec);
      ++d->flying;
      return home.spawn(count_topic(d, std::move(t)));
    }
    if (op == "unsubscribe") {
      fields(t, {"op", "topic", "id"});
      if (!sub(t, "topic").is_string()) throw verdict("malformed", "topic is missing");
      auto it = d->topics.find(str(t, "topic"));
      if (it == d->topics.end()) throw verdict("not_found", "this link has not subscribed to it");
      finish(std::string(it->second), true);
      return say(d, branch{{"op", "verdict"}, {"for", "unsubscribe"}, {"verdict", "done"}, {"topic", sub(t, "topic")}});
    }
    throw verdict("malformed", "unknown op '" + op + "'");
  } catch (const verdict& v) {
    ++refused;
    auto out = v.to_tree().as_object();
    out["op"] = "verdict";
    out["for"] = op;
    for (auto k : {"topic", "seq", "id"})
      if (const auto& f = sub(t, k); !f.is_null()) out[k] = f;
    say(d, out);
  }
}

auto forager::drop(const downstream_ptr& d) -> void {
  d->over = true;
  links.erase(d->id);
  auto sids = std::vector<std::string>();
  for (const auto& [t, sid] : d->topics)
    sids.push_back(sid);
  for (const auto& sid : sids)
    finish(sid, true);
}

// One task per downstream link, from its first request to its last.
auto forager::attend(std::shared_ptr<talk> io) -> task<void> {
  auto d = std::make_shared<downstream>();
  d->io = io;
  // One that only just starts is about to serve: who comes meanwhile waits for its lease, but not for long.
  auto end = h.now() + set.lose / 2;
  while (!ever && !going && h.now() < end && links.size() + early < static_cast<std::size_t>(set.links)) {
    ++early;
    co_await ses.news.wait(h, end);
    --early;
    ever = ever || serves();
  }
  // One that has served keeps its links while a lease is lacking: each request is told so.
  if (!ever || links.size() >= static_cast<std::size_t>(set.links)) {
    auto first = co_await io->next(h.now() + set.lose);
    auto v = verdict(ever ? "busy" : "not_ready", "this node takes no links now", ran::no, h.spread(set.lose) / msec);
    auto out = v.to_tree().as_object();
    out["op"] = "verdict";
    out["for"] = "link";
    if (first) say(d, out);
    io->end();
    co_return;
  }
  d->id = ++seated;
  links[d->id] = d;
  while (!d->over) {
    auto t = co_await io->next(never);
    if (!t) break;
    auto last = yes(*t, "last");  // what came cannot be read on
    line(d, std::move(*t));
    if (last) break;
    if (going && d->id > before && !d->told) send_away(d);  // one that came too late
  }
  drop(d);
  io->end();
}

auto forager::stream(request, std::shared_ptr<lines> io) -> task<void> {
  co_await attend(std::make_shared<http_talk>(std::move(io)));
}

auto forager::on_note(const std::string& addr, const tree& t) -> void {
  auto op = str_or(t, "op");
  if (op == "got") {
    for (const auto& i : list(t, "i")) {
      auto it = subs.find(std::string(i.as_string()));
      if (it == subs.end() || it->second.at != addr) continue;
      auto& r = it->second;
      auto pos = num(t, "pos");
      if (pos <= r.last) continue;  // repeated outputs of a failover end here
      // Between two openings some were let go: what comes of the older one would hide them.
      if (!r.open) continue;
      r.last = pos;
      ++delivered;
      auto out = branch{{"op", "deliver"},    {"topic", r.asked},    {"pos", pos},       {"from", sub(t, "d")},
                        {"seq", sub(t, "s")}, {"body", sub(t, "b")}, {"at", sub(t, "w")}};
      if (r.to->io->cursors()) out["cursor"] = write_cursor(r.topic, r.cell, pos);
      say(r.to, out);
    }
    return;
  }
  if (op == "subbed") {
    auto sid = str(t, "i");
    auto it = subs.find(sid);
    if (it == subs.end() || it->second.at != addr) return;
    auto& r = it->second;
    if (num_or(t, "n", r.turn) != r.turn) return;
    if (yes(t, "ok")) {
      r.open = true;
      if (r.last < 0) r.last = num(t, "pos");
      if (!r.told) {
        r.told = true;
        auto out =
            branch{{"op", "verdict"}, {"for", "subscribe"}, {"verdict", "done"}, {"topic", r.asked}, {"pos", r.last}};
        if (r.to->io->cursors()) out["cursor"] = write_cursor(r.topic, r.cell, r.last);
        say(r.to, out);
      }
      return;
    }
    auto code = str(t, "code");
    if (code == "not_here") {
      r.at.clear();
      r.sent = h.now();
      return;
    }
    auto why = code == "gone" ? "what it lacks has expired" : "that position was never given out";
    auto out = verdict(code, why).to_tree().as_object();
    out["op"] = r.told ? "ended" : "verdict";
    out["for"] = "subscribe";
    out["topic"] = r.asked;
    out["pos"] = sub(t, "pos");
    say(r.to, out);
    finish(sid, false);
    return;
  }
  if (op == "moved") {
    auto cell = str(t, "cell");
    for (auto& [sid, r] : subs)
      if (r.cell == cell && r.at == addr) {
        r.open = false;
        r.at.clear();
      }
    ses.news.wake();
  }
}

// Keeps every subscription open at the cell's present primary, from where it stands. Wakes for
// news; by the clock only while one is not open.
auto forager::tender() -> task<void> {
  auto pending = false;
  while (true) {
    auto end = pending ? h.now() + set.beat / 2 : h.now() + set.lose;
    co_await ses.news.wait(h, end);
    pending = false;
    ever = ever || serves();
    if (ses.known.law && ses.known.law->number != judged) {
      judged = ses.known.law->number;
      auto out = std::vector<std::pair<std::string, const char*>>();
      for (auto& [sid, r] : subs) {
        auto v = rules().judge(act::subscribe, r.to->name, r.asked, 0);
        const auto* s = v.ok && v.topic == r.topic ? rules().space_of(v.topic) : nullptr;
        if (!s)
          out.emplace_back(sid, "denied");
        else if (cell_of(*s, r.topic) != r.cell)
          out.emplace_back(sid, "gone");  // another space took the topic over
      }
      for (auto& [sid, code] : out) {
        auto& r = subs[sid];
        say(r.to, branch{{"op", "ended"},
                         {"for", "subscribe"},
                         {"verdict", "refused"},
                         {"code", code},
                         {"why", "a newer charter ends it"},
                         {"topic", r.asked},
                         {"pos", r.last}});
        finish(sid, true);
      }
    }
    for (const auto& [q, tab] : ses.known.tables)
      for (const auto& [n, s] : tab.rows)
        if (s.kind == "comb" && !s.addr.empty()) reach(s.addr);  // links stand before they are needed
    auto now = h.now();
    for (auto& [sid, r] : subs) {
      auto it = ses.known.cells.find(r.cell);
      if (it == ses.known.cells.end()) {
        pending = true;
        continue;
      }
      auto moved = it->second.epoch != r.epoch && lead_of(r.cell) != r.at;
      if (r.open && !moved && !r.at.empty()) continue;
      pending = true;
      if (!moved && now - r.sent < (r.at.empty() ? set.beat / 2 : set.budget)) continue;
      if (r.open) r.at.clear();  // what was let go since is owed anew: a new opening, no retry
      r.open = false;
      open_sub(sid, r);
    }
  }
}

auto forager::beats() -> task<void> {
  while (true) {
    co_await rest(h, set.beat * 5);
    auto all = links;
    for (auto& [id, d] : all)
      say(d, branch{{"op", "beat"}});
  }
}

// What is told of this node. Where it may have to send links to other localities it asks for their foragers as
// well: its zone is evacuated, or nobody else is there.
auto forager::row() -> void {
  ses.me.ready = ready();
  ses.me.leaving = going;
  ses.me.usage = static_cast<std::int64_t>(links.size());
  auto seats = ses.known.all();
  auto near = std::any_of(seats.begin(), seats.end(), [&](const auto& kv) {
    return kv.second.kind == "forager" && kv.second.zone == set.zone && kv.second.web != ses.me.web;
  });
  if (near || !ses.fresh()) alone_since = h.now();
  if (ses.known.evacuated(set.zone) || h.now() - alone_since > set.lose / 2) ses.known.need.wide = true;
}

// Tells a link where to go: a ready forager of this locality, another's if there is none.
auto forager::send_away(const downstream_ptr& d) -> void {
  auto near = std::vector<std::string>(), far = near;
  for (const auto& [n, s] : ses.known.all()) {
    if (s.kind != "forager" || !s.ready || s.leaving || s.web.empty() || s.web == ses.me.web) continue;
    (s.zone == set.zone ? near : far).push_back(s.web);
  }
  const auto& row = near.empty() ? far : near;
  auto out = branch{{"op", "return"}, {"retry_ms", h.spread(set.beat * 2) / msec}};
  if (!row.empty()) out["to"] = row[away_to++ % row.size()];
  d->told = true;
  say(d, out);
}

// Unready first; then the links are sent away a few at a time, those with nothing in flight
// first, so that no answer is lost and no herd falls on the others.
auto forager::leave(tick limit) -> task<void> {
  going = true;
  ses.me.ready = false;
  ses.me.leaving = true;
  auto begun = h.now();
  auto end = std::min(limit, begun + set.drain);
  auto span = (end - begun) / 2;
  hive::log(grade::note, set.name, "leaving: " + std::to_string(links.size()) + " links are sent away");
  before = seated;
  away_to = h.below(64);
  while (h.now() < end && !links.empty()) {
    auto all = links;
    auto left = std::count_if(all.begin(), all.end(), [](auto& l) { return !l.second->told; });
    auto rest_of = std::max<tick>(begun + span - h.now(), 0);
    auto steps = rest_of / (set.beat / 4) + 1;
    auto some = (left + steps - 1) / steps;
    for (auto& [id, d] : all) {
      if (some <= 0) break;
      if (d->told || (d->flying > 0 && rest_of > 0)) continue;
      --some;
      send_away(d);
    }
    co_await rest(h, set.beat / 4);
  }
  auto all = links;
  for (auto& [id, d] : all) {
    d->over = true;
    d->io->end();
  }
  co_await ses.leave(h.now() + set.beat);
}

auto forager::page(request r) -> task<response> {
  if (auto p = common_page(r.path, [this] { return status(); })) co_return *p;
  if (r.path == "/readyz") {
    if (ready()) co_return response{200, {}, "ready\n"};
    throw verdict("not_ready", going ? "leaving" : "no charter lease stands", ran::no, h.spread(set.lose) / msec);
  }
  if (r.path == "/v1/publish" && r.verb == "POST") {
    auto ec = boost::json::error_code();
    auto t = boost::json::parse(r.body, ec);
    if (ec || !t.is_object()) throw verdict("malformed", "the body is no JSON object");
    fields(t, {"name", "topic", "seq", "body"});
    for (auto k : {"name", "topic", "body"})
      if (!sub(t, k).is_string()) throw verdict("malformed", std::string(k) + " is missing or no string");
    if (!sub(t, "seq").is_int64()) throw verdict("malformed", "seq is missing or no whole number");
    auto out = co_await send_publish(str(t, "name"), str(t, "topic"), num(t, "seq"), str(t, "body"));
    co_return response{200, out, {}};
  }
  if (r.path == "/v1/read" && r.verb == "GET") {
    auto after = std::int64_t{-1};
    try {
      if (r.query.count("after")) after = std::stoll(r.query["after"]);
    } catch (const std::exception&) {
      throw verdict("malformed", "after wants a position");
    }
    auto w = judge(act::read, r.query["name"], r.query["topic"], 0);
    auto cell = cell_of(w.home, w.topic);
    auto addr = lead_of(cell);
    if (addr.empty()) throw verdict("away", "no primary of " + cell + " is in reach", ran::no, set.lose / msec);
    auto q = tree(branch{{"op", "read"}, {"cell", cell}, {"t", w.topic}, {"a", after}});
    auto out = co_await reach(addr).ask(std::move(q), h.now() + set.budget);
    co_return response{200, out, {}};
  }
  throw verdict("not_found", "no page " + r.path);
}

auto forager::status() const -> tree {
  auto open = std::size_t{0};
  for (const auto& [sid, r] : subs)
    open += r.open;
  return branch{{"kind", "forager"},
                {"name", set.name},
                {"zone", set.zone},
                {"ready", ready()},
                {"leased", ses.leased()},
                {"links", links.size()},
                {"subscriptions", subs.size()},
                {"open", open},
                {"acked", acked},
                {"refused", refused},
                {"unclear", unclear},
                {"delivered", delivered},
                {"beliefs", ses.known.beliefs()}};
}

}  // namespace hive
