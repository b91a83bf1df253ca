#include "comb/comb.hpp"

#include <algorithm>

#include "wax/ring.hpp"

namespace hive {
namespace {

constexpr auto lane_most = std::size_t{2000};  // commands waiting in one lane

}  // namespace

// A disk has a name of its own, so that a new disk is never taken for the lost one.
auto disk_id(host& h) -> std::string {
  if (auto v = h.disk()->get("B/disk")) {
    auto t = unseal(*v);
    if (num(t, "format") != 1) throw verdict("damaged", "the data folder's format is not 1");
    return str(t, "id");
  }
  auto any = false;
  h.disk()->scan("", [&](const std::string&, const std::string&) { any = true; });
  if (any) throw verdict("damaged", "the data folder holds records but lacks its name: foreign or damaged");
  char buf[20];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(h.chance()));
  h.disk()->put("B/disk", seal(branch{{"format", 1}, {"id", buf}}));
  return buf;
}

comb::comb(host& hh, const config& c) : ses(hh, c, c.seeds), h(hh), set(c), home(hh) {
  home.on_fault = [this](std::exception_ptr e) {
    try {
      std::rethrow_exception(e);
    } catch (const std::exception& x) {
      hive::log(grade::grave, set.name, std::string("task ended: ") + x.what());
      spill("a task ended");
    }
  };
  ses.me.kind = "comb";
  ses.known.need = {"comb", c.zone};
  ses.me.disk = disk_id(h);
  ses.me.ready = true;
  ses.serving = [this] { return serving(); };
  auto a = answers();
  a.ask = [this](wire_ptr w, tree t) { return ask(std::move(w), std::move(t)); };
  a.note = [this](const wire_ptr& w, const tree& t) { note(w, t); };
  a.gone = [this](const wire_ptr& w) { queue({command::kind::lost, {}, {}, w, nullptr}); };
  a.may_relay = [this](const std::string& to) {
    auto all = ses.known.all();
    return std::any_of(all.begin(), all.end(), [&](auto& s) { return s.second.kind == "comb" && s.second.addr == to; });
  };
  a.sweep = set.lose;
  home.spawn(serve(h, home, h.listen(c.addr), a, c.name));
  if (!c.web.empty()) {
    auto p = pages();
    p.page = [this](request r) { return page(std::move(r)); };
    home.spawn(serve_web(h, home, h.listen(c.web), p));
  }
  home.spawn(work());
  home.spawn(found());
}
comb::~comb() = default;

auto comb::reload(const config& c) -> void {
  set = c;
  ses.me.zone = c.zone;
}

auto comb::reach(const std::string& addr) -> colleague& {
  auto& c = peers[addr];
  if (!c) {
    c = std::make_unique<colleague>(h, colleague::ways{set.name, addr, set.beat, set.lose,
                                                       [this, addr] { return ses.known.vias(set.zone, addr); }});
    c->on_note = [this](const tree& t) {
      if (str_or(t, "op") != "c.ack") return;
      if (auto it = partitions.find(str(t, "cell")); it != partitions.end()) it->second->on_ack(str(t, "me"), t);
    };
    auto look = [this] {
      for (auto& [id, one] : partitions)
        one->link_turned();
    };
    c->on_turn = [look](bool) { look(); };
    c->on_gone = look;
  }
  return *c;
}

auto comb::add(const std::string& id) -> partition& {
  auto& c = partitions[id];
  if (!c)
    c = std::make_unique<partition>(
        partition_context{h, set, ses, [this](const std::string& a) -> colleague& { return reach(a); },
                          [this] { return going; }},
        id);
  return *c;
}

// Opens the cells that the ledger gives to this comb; those on its disk already while the ledger has no leader yet.
auto comb::found() -> task<void> {
  auto held = std::set<std::string>();
  h.disk()->scan("C/", [&](const std::string& k, const std::string&) {
    if (auto end = k.rfind(k.ends_with("/s") ? "/s" : "/e/"); end != std::string::npos && end > 2)
      held.insert(k.substr(2, end - 2));
  });
  for (const auto& id : held) {
    add(id);
    co_await nap(h, 0);
  }
  while (true) {
    auto end = h.now() + set.beat;
    co_await ses.news.wait(h, end);
    if (!ses.fresh() || h.disk()->broken()) continue;  // a copy that cannot be read now is not a damaged one
    auto me = ses.me.member();
    for (const auto& [id, r] : ses.known.cells)
      if (r.holds(me) && !partitions.count(id)) add(id);
    for (auto& [id, c] : partitions)
      if (auto it = ses.known.cells.find(id); it != ses.known.cells.end()) c->apply_row(it->second);
    auto use = std::int64_t{0};
    for (auto it = partitions.begin(); it != partitions.end();) {
      if (it->second->obsolete()) {  // its pair stands elsewhere: the old copy goes
        hive::log(grade::note, set.name, it->first + ": old copy removed");
        it->second->wipe();
        it = partitions.erase(it);
      } else {
        use += it->second->load_units();
        ++it;
      }
    }
    ses.me.usage = use;
  }
}

// A closed channel and then a dial that is refused tell of a dead process at once; a machine
// without power and a cut say nothing, and are found by their silence (design 6.5).
auto comb::inquire(std::string name) -> task<void> {
  const auto* s = ses.known.find(name);
  if (!s || s->addr.empty()) co_return;
  auto addr = s->addr;
  auto end = h.now() + set.beat * 2;
  while (h.now() < end) {
    auto refused = false;
    auto way = co_await h.dial(addr, end, &refused);
    if (refused) {
      for (auto& [id, one] : partitions)
        one->primary_gone(name);
      co_return;
    }
    if (!way) co_return;
    // A process on its way out may still have taken the dial: then this link is closed too.
    auto live = co_await way->more(h.now() + set.beat / 4);
    way->close();
    if (live || !way->shut) co_return;
    co_await rest(h, set.beat / 16);
  }
}

auto comb::serving() const -> std::int64_t {
  auto out = ses.known.law ? ses.known.law->number : 0;
  for (const auto& [id, c] : partitions)
    if (c->live()) out = std::min(out, c->configuration_number());
  return out;
}

auto comb::lane(const std::string& id) const -> std::size_t {
  if (!ses.known.law) return 9;
  auto it = ses.known.law->pools.find(id.substr(0, id.find('/')));
  return it == ses.known.law->pools.end() ? 9 : 9 - static_cast<std::size_t>(it->second.urgency);
}

auto comb::queue(command c) -> void {
  auto at = c.what == command::kind::lost ? 0 : lane(c.partition);
  lanes[at].push_back(std::move(c));
  more.wake();
}

// The owner of all cells' tables: works the commands, the urgent lanes first.
auto comb::work() -> task<void> {
  while (true) {
    auto some = false;
    for (auto& l : lanes) {
      if (l.empty()) continue;
      auto c = std::move(l.front());
      l.pop_front();
      some = true;
      ++worked;
      if (c.what == command::kind::lost) {
        auto led = false;
        for (auto& [id, one] : partitions) {
          one->lost(c.w);
          led |= one->channel_closed(c.w);
        }
        if (led) home.spawn(inquire(c.w->who));
        break;
      }
      auto it = partitions.find(c.partition);
      try {
        if (it == partitions.end()) {
          if (c.s) {
            c.s->bad = verdict("not_here", c.partition + " is not held here", ran::no, set.beat / msec);
            c.s->done.wake();
          } else if (c.what == command::kind::subscribe) {
            c.w->tell(branch{{"op", "subbed"},
                             {"i", sub(c.t, "i")},
                             {"n", num_or(c.t, "n", 0)},
                             {"ok", false},
                             {"code", "not_here"},
                             {"pos", 0}});
          }
        } else if (c.what == command::kind::publish)
          it->second->publish(c.t, c.s);
        else if (c.what == command::kind::subscribe)
          it->second->subscribe(c.t, c.w);
        else if (c.what == command::kind::finish)
          it->second->finish(str(c.t, "i"));
        else if (c.what == command::kind::count)
          it->second->count(c.t, c.s);
        else
          it->second->read(c.t, c.s);
      } catch (const bad_bytes& e) {
        if (c.s) {
          c.s->bad = verdict("malformed", e.what());
          c.s->done.wake();
        }
        hive::log(grade::warn, set.name, std::string("malformed command: ") + e.what());
      }
      break;
    }
    if (!some)
      co_await more.wait(h);
    else
      co_await nap(h, 0);
  }
}

auto comb::ask(wire_ptr w, tree t) -> task<tree> {
  auto op = str(t, "op");
  if (op == "pub" || op == "read" || op == "count") {
    auto id = str(t, "cell");
    auto kind = op == "pub" ? command::kind::publish : op == "read" ? command::kind::read : command::kind::count;
    if (lanes[lane(id)].size() >= lane_most) throw verdict("busy", "too many requests wait", ran::no, set.lag / msec);
    auto s = std::make_shared<partition::pending_reply>();
    queue({kind, id, std::move(t), w, s});
    auto end = h.now() + set.lose * 2;
    while (!s->out && !s->bad) {
      auto in_time = co_await s->done.wait(h, end);
      if (!in_time) throw verdict("unclear", "not safe on a second copy in time", ran::maybe, set.lose / msec / 2);
    }
    if (s->bad) throw *s->bad;
    co_return std::move(*s->out);
  }
  if ((op == "c.join" || op == "c.copy") && h.disk()->broken())
    throw verdict("disk", "the disk takes nothing now", ran::no, set.lose / msec);
  if (op == "c.join") {
    if (!ses.fresh()) throw verdict("away", "not yet fresh from the ledger", ran::no, set.beat / msec);
    co_return co_await add(str(t, "cell")).on_join(t);
  }
  if (op == "c.copy") co_return co_await add(str(t, "cell")).on_copy(t);
  if (op == "status") co_return status();
  throw verdict("malformed", "unknown request " + op);
}

auto comb::note(const wire_ptr& w, const tree& t) -> void {
  auto op = str_or(t, "op");
  try {
    if (op == "c.log") {
      if (auto it = partitions.find(str(t, "cell")); it != partitions.end()) it->second->on_log(w, t);
    } else if (op == "c.wait") {
      if (auto it = partitions.find(str(t, "cell")); it != partitions.end()) it->second->on_wait(num(t, "epoch"));
    } else if (op == "sub") {
      queue({command::kind::subscribe, str(t, "cell"), t, w, nullptr});
    } else if (op == "end") {
      queue({command::kind::finish, str(t, "cell"), t, w, nullptr});
    }
  } catch (const bad_bytes& e) {
    hive::log(grade::warn, set.name, "malformed note from " + w->who + ": " + e.what());
    w->drop();
  }
}

auto comb::leave(tick limit) -> task<void> {
  going = true;
  ses.me.leaving = true;
  ses.me.ready = false;
  hive::log(grade::note, set.name, "leaving: cells are handed over");
  while (h.now() < limit) {
    auto left = 0;
    for (const auto& [id, c] : partitions)
      left += c->live();
    if (!left) break;
    co_await rest(h, set.beat / 4);
  }
  co_await ses.leave(std::min(limit, h.now() + set.beat));
}

auto comb::page(request r) -> task<response> {
  if (auto p = common_page(r.path, [this] { return status(); })) co_return *p;
  if (r.path == "/readyz") {
    if (!going && ses.fresh() && ses.leased() && !h.disk()->broken()) co_return response{200, {}, "ready\n"};
    throw verdict("not_ready", going ? "leaving" : "no lease stands", ran::no, set.lose / msec);
  }
  throw verdict("not_found", "no page " + r.path);
}

auto comb::partition_at(const std::string& id) const -> const partition* {
  auto it = partitions.find(id);
  return it == partitions.end() ? nullptr : it->second.get();
}

auto comb::status() const -> tree {
  auto cs = branch();
  for (const auto& [id, c] : partitions)
    cs[id] = c->status();
  auto wait = std::size_t{0};
  for (const auto& l : lanes)
    wait += l.size();
  auto* d = h.disk();
  return branch{{"kind", "comb"},         {"name", set.name},  {"zone", set.zone},  {"member", ses.me.member()},
                {"leased", ses.leased()}, {"cells", cs},       {"queued", wait},    {"beliefs", ses.known.beliefs()},
                {"worked", worked},       {"syncs", d->syncs}, {"bytes", d->bytes}, {"disk_fails", d->broken()}};
}

}  // namespace hive
