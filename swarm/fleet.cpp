#include "swarm/fleet.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "wax/ring.hpp"

namespace hive {
namespace {

tick* shown_clock = nullptr;

}  // namespace

auto shape::spaces() const -> std::string {
  auto c = std::to_string(cells);
  return R"({"name":"alerts","keep_s":)" + std::to_string(keep) + R"(,"urgency":9,"cells":)" + c +
         R"(},{"name":"lookups","keep_s":)" + std::to_string(keep_low) + R"(,"urgency":1,"cells":)" + c + "}";
}
auto shape::all_spaces() const -> std::string {
  auto out = spaces();
  for (auto i = 0; i < extra_spaces; ++i) {
    auto name = "extra-" + std::to_string(i);
    out += R"(,{"name":")" + name + R"(","prefix":"kafi810-)" + name + R"(.","pool":"alerts","keep_s":)" +
           std::to_string(keep) + R"(,"urgency":1,"cells":)" + std::to_string(cells) + R"(,"order":"topic",)" +
           R"("timeout_ms":1500,"aim_ms":150})";
  }
  return out;
}

fleet::fleet(std::uint64_t s, shape sh) : world(s), form(std::move(sh)), seed(s) {
  shown_clock = &world.clock;
  ring_clock([] { return shown_clock ? 1700000000000 + *shown_clock / msec : 0; });
  world.loss = form.loss;
  auto& out = world.machine_at("outside", "out");
  for (auto i = 1; i <= form.queens; ++i)
    seeds.push_back(world.machine_at("q" + std::to_string(i), "z" + std::to_string((i - 1) % form.zones + 1)).ip +
                    ":7000");
  while (seeds.size() < 3)
    seeds.push_back("10.9.9." + std::to_string(seeds.size() + 1) + ":7000");
  for (auto i = 1; i <= form.queens; ++i)
    add("queen", "queen-" + std::to_string(i), "q" + std::to_string(i), "z" + std::to_string((i - 1) % form.zones + 1));
  for (auto i = 1; i <= form.combs; ++i)
    add_comb();
  for (auto i = 1; i <= form.foragers; ++i)
    add_forager();
  outside = std::make_unique<sim_host>(world, out, false, seed * 7919 + 13);
  outside->cost = 1;
  desk = std::make_unique<nest>(*outside);
}

fleet::~fleet() {
  callers.clear();
  boss.reset();
  spread.reset();
  desk.reset();
  while (!all.empty()) {
    kill(all.begin()->first);
    all.erase(all.begin());
  }
  outside.reset();
  ring_clock(nullptr);
  shown_clock = nullptr;
}

auto fleet::config_for(const std::string& kind, const std::string& name, const std::string& zone,
                       const machine& m) const -> config {
  auto flags = form.set;
  flags["name"] = name;
  flags["zone"] = zone;
  flags["seeds"] = seeds[0] + "," + seeds[1] + "," + seeds[2];
  if (kind == "queen" || kind == "comb") flags["addr"] = m.ip + ":7000";
  if (kind != "scout") flags["web"] = m.ip + ":8000";
  if (kind == "scout" || kind == "forager") flags["feed"] = m.ip + ":7001";
  auto faults = std::vector<fault>();
  auto n = needs();
  n.addr = false;
  auto c = read_config("", flags, n, faults);
  if (!faults.empty()) throw verdict("settings", faults[0].key + ": " + faults[0].why);
  return c;
}

auto fleet::add(const std::string& kind, const std::string& name, const std::string& box, const std::string& zone)
    -> void {
  auto& m = world.machine_at(box, zone);
  m.sync_cost = form.sync;
  m.spikes = form.spikes;
  m.spike = form.spike;
  m.holds = form.holds;
  auto p = std::make_unique<process>();
  p->kind = kind;
  p->name = name;
  p->box = &m;
  p->set = config_for(kind, name, zone, m);
  if (kind == "forager") webs.push_back(p->set.web);
  if (kind == "queen") queen_webs.push_back(p->set.web);
  all[name] = std::move(p);
}

auto fleet::add_comb() -> std::string {
  auto i = 1;
  while (all.count("comb-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i);
  add("comb", "comb-" + n, "c" + n, "z" + std::to_string((i - 1) % form.zones + 1));
  return "comb-" + n;
}

auto fleet::add_queen() -> std::string {
  auto i = 1;
  while (all.count("queen-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i);
  add("queen", "queen-" + n, "q" + n, "z" + std::to_string((i - 1) % form.zones + 1));
  if (boss) boss->meet(queen_webs.back());
  return "queen-" + n;
}

auto fleet::remove(const std::string& name) -> void {
  kill(name);
  lose_disk(name);
  all.at(name)->gone = true;
}

auto fleet::relist(const std::string& gone, const std::string& came) -> void {
  auto was = all.at(gone)->set.addr, is = all.at(came)->set.addr;
  std::replace(seeds.begin(), seeds.end(), was, is);
  for (auto& [n, p] : all)
    std::replace(p->set.seeds.begin(), p->set.seeds.end(), was, is);
}

auto fleet::add_forager() -> std::string {
  auto i = 1;
  while (all.count("forager-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i), z = "z" + std::to_string((i - 1) % form.zones + 1);
  add("scout", "scout-" + n, "f" + n, z);
  add("forager", "forager-" + n, "f" + n, z);
  if (spread) spread->watch(webs.back());
  return n;
}

auto fleet::start(const std::string& name) -> void {
  auto& p = *all.at(name);
  if (p.up() || p.gone || !p.box->on) return;
  auto disk = p.kind == "queen" || p.kind == "comb";
  p.h = std::make_unique<sim_host>(world, *p.box, disk, seed * 1000003 + ++births);
  auto charged = heap_scope(world.metered ? p.h->heap : nullptr);
  if (p.kind == "queen") p.q = std::make_unique<queen>(*p.h, p.set);
  if (p.kind == "comb") p.c = std::make_unique<comb>(*p.h, p.set);
  if (p.kind == "scout") p.s = std::make_unique<scout>(*p.h, p.set);
  if (p.kind == "forager") p.f = std::make_unique<forager>(*p.h, p.set);
  p.extra = std::make_unique<nest>(*p.h);
}

auto fleet::kill(const std::string& name) -> void {
  auto& p = *all.at(name);
  if (!p.up()) return;
  p.extra.reset();
  p.f.reset();
  p.s.reset();
  p.c.reset();
  p.q.reset();
  p.h.reset();
}

auto fleet::term(const std::string& name, tick grace) -> void {
  auto& p = *all.at(name);
  if (!p.up()) return;
  auto born = births;
  p.extra->spawn([](process& one, air& w, tick g, fleet& f, std::uint64_t) -> task<void> {
    auto end = one.h->now() + g;
    if (one.q) co_await one.q->leave(end);
    if (one.c) co_await one.c->leave(end);
    if (one.f) co_await one.f->leave(end);
    if (one.s) co_await one.s->leave(end);
    auto n = one.name;
    auto* host_now = one.h.get();
    w.later(w.clock + msec, [&f, n, host_now] {
      if (f.all.at(n)->h.get() == host_now) f.kill(n);
    });
  }(p, world, grace, *this, born));
  auto* host_now = p.h.get();
  world.later(world.clock + grace + sec, [this, name, host_now] {
    if (all.at(name)->h.get() == host_now) kill(name);
  });
}

auto fleet::freeze(const std::string& name, bool on) -> void {
  if (auto& p = *all.at(name); p.up()) p.h->freeze(on);
}

auto fleet::power(const std::string& where, bool on) -> void {
  for (auto& [n, m] : world.machines) {
    if (n == "outside" || (n != where && m->zone != where && where != "all")) continue;
    m->on = on;
  }
  for (auto& [n, p] : all) {
    if (!p->box->on)
      kill(n);
    else if (on)
      start(n);
  }
}

auto fleet::lose_disk(const std::string& name) -> void { all.at(name)->box->solid.clear(); }

auto fleet::disk_of(const std::string& name, const std::string& key) const -> std::string {
  auto it = all.find(name);
  if (it == all.end()) return {};
  auto row = it->second->box->solid.find(key);
  return row == it->second->box->solid.end() ? "" : str(unseal(row->second), "id");
}

auto fleet::newest_view() const -> const view* {
  const auto* known = static_cast<const view*>(nullptr);
  for (const auto& [n, one] : all)
    if (one->c && (!known || one->c->ses.known.cells_ver > known->cells_ver)) known = &one->c->ses.known;
  return known;
}

auto fleet::copies_on_disk(const cell_row& row) const -> std::int64_t {
  return std::count_if(row.step.begin(), row.step.end(),
                       [&](auto& m) { return m == name_of(m) + "/" + disk_of(name_of(m), "B/disk"); });
}

auto fleet::copies_are_sound() const -> bool {
  for (const auto& [n, one] : all) {
    if (!one->c) continue;
    auto now = one->c->status();
    for (const auto& kv : sub(now, "cells").as_object())
      if (yes(kv.value(), "broken")) return false;
  }
  return true;
}

auto fleet::outlives(std::int64_t losses) const -> bool {
  const auto* known = newest_view();
  if (!known || !known->law || known->cells.empty() || !copies_are_sound()) return false;
  return std::all_of(known->cells.begin(), known->cells.end(), [&](const auto& cell) {
    auto pool = known->law->pools.find(cell.first.substr(0, cell.first.find('/')));
    auto keeps = pool != known->law->pools.end() && pool->second.keep_ms > 0;
    return !keeps || copies_on_disk(cell.second) > losses;
  });
}

auto fleet::in_step(const std::string& cell) const -> std::vector<std::string> {
  const auto* known = newest_view();
  if (!known) return {};
  auto row = known->cells.find(cell);
  if (row == known->cells.end()) return {};
  auto out = std::vector<std::string>{name_of(row->second.prim)};
  for (const auto& m : row->second.step)
    if (m != row->second.prim) out.push_back(name_of(m));
  return out;
}

auto fleet::spare(const std::string& name) const -> bool {
  const auto& p = *all.at(name);
  if (world.clock - flipped < 30 * sec) return false;
  if (p.kind == "queen") {
    auto lead = leader();
    if (lead.empty()) return false;
    auto now = all.at(lead)->q->status();
    // The voters that it names count once a majority has agreed on them.
    if (yes(sub(now, "ledger"), "changing")) return false;
    auto seated = 0;
    for (const auto& v : list(sub(now, "ledger"), "voters"))
      for (const auto& [n, one] : all)
        if (one->kind == "queen" && one->set.addr == str(v, "addr") && one->up())
          seated += disk_of(n, "L/meta") == str(v, "id");
    return seated == form.queens;
  }
  if (p.kind != "comb") return true;
  const auto* known = newest_view();
  if (!known || known->cells.empty() || !copies_are_sound()) return false;
  return std::all_of(known->cells.begin(), known->cells.end(),
                     [&](const auto& cell) { return copies_on_disk(cell.second) >= 2; });
}

auto fleet::flip_bits(const std::string& name, int n) -> void {
  auto& d = all.at(name)->box->solid;
  flipped = world.clock;
  for (auto i = 0; i < n; ++i) {
    auto rows = std::vector<std::string>();
    for (auto& [k, v] : d)
      if (k.compare(0, 2, "C/") == 0 && !v.empty()) rows.push_back(k);
    if (rows.empty()) return;
    auto& v = d[rows[world.dice() % rows.size()]];
    auto bit = world.dice() % (v.size() * 8);
    v[bit / 8] = static_cast<char>(v[bit / 8] ^ (1 << (bit % 8)));
  }
}

auto fleet::queens_with(const std::string& body) const -> int {
  auto stored = configuration_record::from_charter(compile(body))->rules();  // as the log has it
  auto n = 0;
  for (const auto& [name, p] : all)
    if (p->kind == "queen")
      n += std::any_of(p->box->solid.begin(), p->box->solid.end(),
                       [&](const auto& kv) { return kv.second.find(stored) != std::string::npos; });
  return n;
}
auto fleet::behind(std::int64_t n) const -> std::string {
  for (const auto& [name, p] : all)
    if (p->f && p->f->serves() && p->f->ses.known.law->number < n) return name;
  return {};
}

auto fleet::lagging(std::int64_t n) const -> std::string {
  for (const auto& [name, p] : all) {
    auto held = configuration_ptr();
    if (p->q) held = p->q->law.law;
    if (p->c) held = p->c->ses.known.law;
    if (p->s) held = p->s->ses.known.law;
    if (p->f) held = p->f->ses.known.law;
    if (p->up() && (!held || held->number < n)) return name;
  }
  return {};
}

auto fleet::primary_of(const std::string& cell) const -> std::string {
  for (const auto& [n, p] : all)
    if (p->c)
      if (const auto* c = p->c->partition_at(cell); c && c->live()) return n;
  return {};
}
auto fleet::backup_of(const std::string& cell) const -> std::string {
  for (const auto& [n, p] : all)
    if (p->c)
      if (const auto* c = p->c->partition_at(cell); c && c->live()) return name_of(str_or(c->status(), "back"));
  return {};
}
auto fleet::busiest() const -> std::string {
  auto best = std::string();
  auto most = std::int64_t{-1};
  for (const auto& [n, p] : all)
    if (p->c && !p->h->frozen) {
      auto use = std::int64_t{0};
      auto now = p->c->status();
      for (const auto& kv : sub(now, "cells").as_object())
        use += str_or(kv.value(), "role") == "primary";
      if (use > most) {
        most = use;
        best = n;
      }
    }
  return best;
}
auto fleet::leader() const -> std::string {
  for (const auto& [n, p] : all)
    if (p->q && p->q->leads()) return n;
  return {};
}
auto fleet::settle(const std::string& name, const std::string& key, const std::string& value) -> bool {
  auto& p = *all.at(name);
  auto was = form.set;
  form.set[key] = value;
  auto ok = true;
  try {
    p.set = config_for(p.kind, name, p.box->zone, *p.box);
  } catch (const verdict&) {
    ok = false;
  }
  form.set = was;
  if (!ok || !p.up()) return ok;
  if (p.q) p.q->reload(p.set);
  if (p.c) p.c->reload(p.set);
  if (p.s) p.s->reload(p.set);
  if (p.f) p.f->reload(p.set);
  return ok;
}

auto fleet::save_disks(const std::string& file) const -> void {
  auto all_disks = branch();
  for (const auto& [n, m] : world.machines) {
    auto rows = branch();
    for (const auto& [k, v] : m->solid) {
      auto hex = std::string();
      for (auto ch : v) {
        hex += "0123456789abcdef"[static_cast<unsigned char>(ch) >> 4];
        hex += "0123456789abcdef"[static_cast<unsigned char>(ch) & 15];
      }
      rows[k] = hex;
    }
    if (!rows.empty()) all_disks[n] = rows;
  }
  std::ofstream(file) << text(all_disks) << '\n';
}

auto fleet::load_disks(const std::string& file) -> void {
  auto in = std::ifstream(file);
  auto os = std::ostringstream();
  os << in.rdbuf();
  auto t = boost::json::parse(os.str());
  for (const auto& kv : t.as_object()) {
    auto& d = world.machines.at(std::string(kv.key()))->solid;
    d.clear();
    for (const auto& row : kv.value().as_object()) {
      auto hex = std::string(row.value().as_string());
      auto v = std::string();
      for (auto i = std::size_t{0}; i + 1 < hex.size(); i += 2)
        v += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
      d[std::string(row.key())] = v;
    }
  }
}

auto fleet::names(const std::string& what) const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& [n, p] : all)
    if (n == what || p->kind == what || p->box->zone == what || what == "all" || p->box->name == what) out.push_back(n);
  return out;
}

auto fleet::operate(std::function<task<void>(keeper&)> fn) -> void {
  ++operating;
  desk->spawn([](fleet& f, std::function<task<void>(keeper&)> run) -> task<void> {
    co_await run(*f.boss);
    --f.operating;
  }(*this, std::move(fn)));
}

auto fleet::next_charter() -> std::string { return probe_charter(++number, form.all_spaces()); }

auto fleet::begin() -> bool {
  for (auto& [n, p] : all)
    start(n);
  spread = std::make_unique<balancer>(*outside, webs);
  boss = std::make_unique<keeper>(*outside, queen_webs, webs, log);
  auto spaces = boost::json::parse("[" + form.spaces() + "]");
  for (const auto& s : spaces.as_array())
    log.note(*outside, branch{{"e", "space"}, {"name", sub(s, "name")}, {"keep_s", sub(s, "keep_s")}});
  // A lease given by an older configuration, at the latest by a leader that has just lost its majority.
  const auto& any = all.begin()->second->set;
  log.note(*outside, branch{{"e", "apply"}, {"ms", (any.lease + any.contact_span()) / msec}});
  for (const auto& [name, ms] : form.budgets)
    log.note(*outside, branch{{"e", "budget"}, {"space", name}, {"ms", ms}});
  auto ok = std::make_shared<bool>(false);
  auto body = next_charter();
  operate([ok, body](keeper& k) -> task<void> {
    for (auto i = 0; i < 40 && !*ok; ++i)
      *ok = co_await k.put(1, body);
    if (*ok) *ok = co_await k.await_held(1, 60 * sec);
  });
  auto end = world.clock + 60 * sec;
  while (operating && world.clock < end)
    world.run(world.clock + 100 * msec);
  if (!*ok) return false;
  // Cells must stand before callers are judged by time.
  auto topics = std::vector<std::string>();
  for (auto i = 1; i <= form.topics; ++i)
    topics.push_back((i % 2 ? "alerts/t" : "lookups/t") + std::to_string(i));
  for (auto i = 1; i <= form.callers; ++i) {
    auto p = caller::plan();
    p.name = "caller-" + std::to_string(i);
    for (auto k = 0; k < 3; ++k) {
      auto t = topics[static_cast<std::size_t>((i * 3 + k * 2) % form.topics)];
      if (std::find(p.hear.begin(), p.hear.end(), t) == p.hear.end()) p.hear.push_back(t);
    }
    p.tell = {topics[static_cast<std::size_t>(i % form.topics)],
              topics[static_cast<std::size_t>((i * 5 + 1) % form.topics)]};
    p.every = form.every;
    p.pipe = static_cast<int>(form.pipeline);
    p.drop = form.drop;
    p.echo = form.echo;
    callers.push_back(std::make_unique<caller>(*outside, *spread, log, p));
  }
  world.run(world.clock + 3 * sec);
  if (strolls) desk->spawn(boss->stroll([this] { return number; }));
  return true;
}

auto fleet::reset_links(double share) -> void {
  for (auto& c : callers)
    if (std::uniform_real_distribution<>(0, 1)(world.dice) < share) c->reset();
}

auto fleet::finish(tick quiet) -> void {
  for (auto& c : callers)
    c->hush();
  world.run(world.clock + quiet);
  auto ok = std::make_shared<bool>(false);
  auto due = world.clock + 20 * sec;
  auto from = std::vector<std::string>();
  for (auto& n : names("queen"))
    if (all.at(n)->up()) from.push_back(all.at(n)->set.web);
  operate([ok, from, due](keeper& k) -> task<void> { *ok = co_await k.read_all(from, due); });
  while (operating && world.clock < due + 10 * sec)
    world.run(world.clock + 100 * msec);
  if (!*ok) log.note(*outside, branch{{"e", "newest"}, {"number", 0}, {"t0", world.clock / msec}});
  log.note(*outside, branch{{"e", "end"}, {"quiet", quiet / msec}});
}

}  // namespace hive
