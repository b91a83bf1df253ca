// A real fleet on this machine with stand-in callers, faults and the judge (design 9.4).
#include <fcntl.h>
#include <popt.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "meadow/caller.hpp"
#include "meadow/judge.hpp"
#include "wax/evhost.hpp"
#include "wax/ring.hpp"

namespace hive {
namespace {

struct layout {
  int zones, queens, combs, foragers, links, slow_topics, fast_topics;
  double slow_rate, fast_rate;
  std::string slow, fast;
};
const auto layouts =
    std::map<std::string, layout>{{"small", {3, 3, 3, 2, 24, 12, 4, 20, 4, "lookups", "alerts"}},
                                  {"hovorna", {4, 3, 4, 8, 590, 200, 30, 117, 8, "lookups", "alerts"}},
                                  {"podnebni", {3, 3, 4, 7, 580, 600, 30, 282, 8, "readings", "floods"}}};

// A process started here; it ends with its holder.
struct child {
  std::string name, kind, zone, web;
  std::vector<std::string> argv;
  pid_t pid = 0;
  auto start(const std::string& logs) -> void {
    if (pid) return;
    auto raw = std::vector<char*>();
    for (auto& a : argv)
      raw.push_back(a.data());
    raw.push_back(nullptr);
    auto acts = posix_spawn_file_actions_t();
    posix_spawn_file_actions_init(&acts);
    auto out = logs + "/" + name + ".err";
    posix_spawn_file_actions_addopen(&acts, 2, out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    auto r = posix_spawn(&pid, raw[0], &acts, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&acts);
    if (r != 0) throw verdict("spawn", argv[0] + ": " + strerror(r));
  }
  auto end(int sig) -> void {
    if (!pid) return;
    ::kill(pid, sig);
    if (sig != SIGKILL) return;
    ::waitpid(pid, nullptr, 0);
    pid = 0;
  }
  auto tell(int sig) const -> void {
    if (pid) ::kill(pid, sig);
  }
  ~child() { end(SIGKILL); }
};

auto quantile(std::vector<tick> v, double q) -> double {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return static_cast<double>(v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))]) / msec;
}

class field {
 public:
  field(evhost& hh, layout l, std::string bin, std::string dir, int port)
      : h(hh), form(std::move(l)), folder(std::move(dir)), home(hh) {
    std::filesystem::create_directories(folder);
    auto at = [&](int n) { return "127.0.0.1:" + std::to_string(port + n); };
    auto seeds = at(0) + "," + at(10) + "," + at(20);
    auto n = 0;
    auto add = [&](const std::string& kind, int i, const std::string& zone, std::vector<std::string> more) {
      auto c = std::make_unique<child>();
      c->kind = kind;
      c->name = kind + "-" + std::to_string(i);
      c->zone = zone;
      c->argv = {bin + "/" + kind, "--name", c->name, "--zone", zone, "--seeds", seeds};
      for (auto& m : more)
        c->argv.push_back(m);
      all.push_back(std::move(c));
    };
    auto zone = [&](int i) { return "z" + std::to_string((i - 1) % form.zones + 1); };
    for (auto i = 1; i <= form.queens; ++i, n += 10) {
      add("queen", i, zone(i), {"--addr", at(n), "--web", at(n + 1), "--data", folder + "/queen-" + std::to_string(i)});
      all.back()->web = at(n + 1);
      queens.push_back(at(n + 1));
    }
    for (auto i = 1; i <= form.combs; ++i, n += 10) {
      add("comb", i, zone(i), {"--addr", at(n), "--web", at(n + 1), "--data", folder + "/comb-" + std::to_string(i)});
      all.back()->web = at(n + 1);
    }
    for (auto i = 1; i <= form.foragers; ++i, n += 10) {
      add("scout", i, zone(i), {"--feed", at(n + 2)});
      add("forager", i, zone(i), {"--feed", at(n + 2), "--web", at(n + 1)});
      all.back()->web = at(n + 1);
      webs.push_back(at(n + 1));
    }
  }

  auto spaces() const -> std::string {
    return R"({"name":")" + form.fast + R"(","keep_s":35,"urgency":9,"cells":4},{"name":")" + form.slow +
           R"(","keep_s":35,"urgency":1,"cells":8})";
  }

  // The whole run; true if no promise was broken.
  auto run(int seconds, bool faults, bool stay, bool whole_day) -> task<bool> {
    for (auto& c : all)
      c->start(folder);
    spread = std::make_unique<balancer>(h, webs);
    boss = std::make_unique<keeper>(h, queens, webs, log);
    for (auto& s : {form.fast, form.slow})
      log.note(h, branch{{"e", "space"}, {"name", s}, {"keep_s", 35}});
    auto body = probe_charter(1, spaces());
    auto t0 = h.now();
    auto ok = false;
    while (!ok && h.now() < t0 + 40 * sec)
      ok = co_await boss->put(1, body);
    if (ok) ok = co_await boss->await_held(1, h.now() + 40 * sec);
    if (!ok) {
      std::cout << "the fleet did not come up; logs are in " << folder << '\n';
      co_return false;
    }
    std::cout << "fleet of " << all.size() << " processes serves after " << (h.now() - t0) / msec << " ms\n"
              << std::flush;
    if (stay) {
      std::cout << "operators: http://" << queens[0] << "  callers: http://" << webs[0] << "  (stop with ^C)\n"
                << std::flush;
      while (true)
        co_await rest(h, sec);
    }
    plant();
    co_await rest(h, 5 * sec);
    auto begin = h.now();
    auto part = seconds * sec / 4;
    home.spawn(watch_lag());
    if (!faults) {
      co_await nap(h, begin + seconds * sec);
    } else {
      co_await nap(h, begin + part / 2);
      auto busy = co_await busiest();
      auto one = std::vector<std::string>(1, busy);
      co_await blow("kill the busiest primary, " + busy, one, 8 * sec);
      co_await nap(h, begin + part * 3 / 2);
      auto zone = std::vector<std::string>();
      for (auto& c : all)
        if (c->zone == "z2") zone.push_back(c->name);
      co_await blow("kill all of zone z2", zone, 8 * sec);
      co_await nap(h, begin + part * 5 / 2);
      auto lead = co_await leader();
      one.assign(1, lead);
      co_await blow("kill the ledger's leader, " + lead, one, 8 * sec);
      co_await nap(h, begin + part * 3);
      auto next = probe_charter(2, spaces());
      auto c0 = h.now();
      auto took = co_await boss->put(2, next);
      if (took) took = co_await boss->await_held(2, h.now() + 20 * sec);
      std::cout << "charter 2 took hold after " << (h.now() - c0) / msec << " ms\n" << std::flush;
      co_await rest(h, 3 * sec);
      co_await boss->probe_all(1, 2);
      co_await nap(h, begin + part * 4);
      if (whole_day) co_await day();
    }
    for (auto& c : callers)
      c->hush();
    co_await rest(h, 14 * sec);
    auto whole = co_await boss->read_all(queens, h.now() + 20 * sec);
    if (!whole) log.note(h, branch{{"e", "newest"}, {"number", 0}, {"t0", h.now() / msec}});
    log.note(h, branch{{"e", "end"}, {"quiet", 6000}});
    co_return report(static_cast<double>(h.now() - begin) / sec);
  }

 private:
  auto plant() -> void {
    auto alert_callers = std::max(1, static_cast<int>(form.links * form.fast_rate / (form.fast_rate + form.slow_rate)));
    for (auto i = 0; i < form.links; ++i) {
      auto p = caller::plan();
      p.name = "caller-" + std::to_string(i);
      p.hear = {form.fast + "/t" + std::to_string(i % form.fast_topics)};
      for (auto k = 0; k < 2; ++k)
        p.hear.push_back(form.slow + "/t" + std::to_string((i * 2 + k * 7) % form.slow_topics));
      std::sort(p.hear.begin(), p.hear.end());
      p.hear.erase(std::unique(p.hear.begin(), p.hear.end()), p.hear.end());
      auto fast = i < alert_callers;
      auto rate = fast ? form.fast_rate / alert_callers : form.slow_rate / (form.links - alert_callers);
      p.every = static_cast<tick>(sec / rate);
      for (auto k = 0; k < 4; ++k)
        p.tell.push_back((fast ? form.fast : form.slow) + "/t" +
                         std::to_string((i * 4 + k) % (fast ? form.fast_topics : form.slow_topics)));
      p.drop = 60 * sec;
      callers.push_back(std::make_unique<caller>(h, *spread, log, p));
    }
  }

  auto find(const std::string& name) -> child& {
    for (auto& c : all)
      if (c->name == name) return *c;
    throw verdict("not_found", name);
  }

  auto busiest() -> task<std::string> {
    auto best = std::string("comb-1");
    auto most = -1;
    for (auto& c : all) {
      if (c->kind != "comb") continue;
      auto r = co_await fetch(h, c->web, "GET", "/status", "", h.now() + sec);
      auto n = 0;
      if (sub(r.body, "cells").is_object())
        for (const auto& kv : sub(r.body, "cells").as_object())
          n += str_or(kv.value(), "role") == "primary";
      if (n > most) {
        most = n;
        best = c->name;
      }
    }
    co_return best;
  }
  auto leader() -> task<std::string> {
    for (auto& c : all) {
      if (c->kind != "queen") continue;
      auto r = co_await fetch(h, c->web, "GET", "/status", "", h.now() + sec);
      if (str_or(sub(r.body, "ledger"), "role") == "leader") co_return c->name;
    }
    co_return "queen-1";
  }

  // The rest of what one machine can do of the brief's list, ended by one last fault.
  auto day() -> task<void> {
    auto one = [](const std::string& n) { return std::vector<std::string>(1, n); };
    auto lead = co_await leader();
    auto frozen = one(lead);
    auto what = "freeze the ledger's leader, " + lead;
    co_await freeze(what, frozen, 3 * sec);
    auto busy = co_await busiest();
    frozen = one(busy);
    what = "freeze the busiest primary, " + busy;
    co_await freeze(what, frozen, 5 * sec);
    auto both = one("forager-1");
    both.push_back("scout-1");
    co_await freeze("freeze a forager and its scout", both, 2500 * msec);
    auto order = rolled();
    for (auto& n : order)
      co_await roll(n);
    events.push_back({"reset nearly all callers", h.now()});
    for (auto& c : callers)
      if (h.below(20)) c->reset();
    co_await rest(h, 6 * sec);
    events.back().back = h.now();
    // Two operators at once, a stale charter, an invalid one.
    auto mine = probe_charter(3, spaces());
    auto theirs = probe_charter(3, spaces() + R"(,{"name":"other","keep_s":0,"cells":1})");
    auto won = 0, ended = 0;
    home.spawn(race(mine, won, ended));
    home.spawn(race(theirs, won, ended));
    while (ended < 2)  // counted by the two tasks NOLINT(bugprone-infinite-loop)
      co_await rest(h, 50 * msec);
    auto old = probe_charter(2, spaces());
    auto r = co_await boss->ask("PUT", "/v1/charter", old, h.now() + 10 * sec);
    auto junk = std::string(R"({"number":99,"spaces":[{"name":"x","keep_s":-5}],"rules":["allow what"]})");
    auto r2 = co_await boss->ask("PUT", "/v1/charter", junk, h.now() + 10 * sec);
    std::cout << "operators: " << won << " of 2 racing charters won; a stale one got " << r.code << ", an invalid one "
              << r2.code << '\n'
              << std::flush;
    if (won != 1 || r.code == 200 || r2.code == 200)
      log.note(h, branch{{"e", "newest"}, {"number", -1}, {"t0", h.now() / msec}});
    auto took = co_await boss->await_held(3, h.now() + 20 * sec);
    if (took) {
      co_await rest(h, 3 * sec);
      co_await boss->probe_all(2, 3);
    }
    // A machine whose disk is new, when all else is in step again.
    auto other = co_await busiest();
    find(other).end(SIGKILL);
    std::filesystem::remove_all(folder + "/" + other);
    events.push_back({"the disk of the busiest primary, " + other + ", is lost", h.now()});
    co_await rest(h, 4 * sec);
    find(other).start(folder);
    events.back().back = h.now();
    co_await rest(h, 10 * sec);
    auto gone = co_await boss->leave("comb-4", "evacuate", h.now() + 30 * sec);
    std::cout << "evacuation of comb-4: " << (gone ? "done" : "not done in 30 s") << '\n' << std::flush;
    // The last one: everything is killed at once, and comes back.
    auto every = std::vector<std::string>();
    for (auto& c : all)
      every.push_back(c->name);
    co_await blow("kill the whole fleet", every, 3 * sec);
    log.note(h, branch{{"e", "mend"}});
    co_await rest(h, 14 * sec);
  }
  auto rolled() const -> std::vector<std::string> {
    auto out = std::vector<std::string>();
    for (const auto* kind : {"queen", "comb", "forager"})
      for (const auto& c : all)
        if (c->kind == kind) out.push_back(c->name);
    return out;
  }
  auto race(std::string body, int& won, int& ended) -> task<void> {
    auto ok = co_await boss->put(3, body);
    won += ok;
    ++ended;
  }
  auto freeze(std::string what, std::vector<std::string> names, tick span) -> task<void> {
    events.push_back({what, h.now()});
    log.note(h, branch{{"e", "hurt"}});
    for (auto& n : names)
      find(n).tell(SIGSTOP);
    co_await rest(h, span);
    for (auto& n : names)
      find(n).tell(SIGCONT);
    log.note(h, branch{{"e", "mend"}});
    events.back().back = h.now();
    co_await rest(h, 5 * sec);
  }
  // The platform's way: SIGTERM, a few seconds later SIGKILL, then the start of the next.
  auto roll(std::string name) -> task<void> {
    events.push_back({"roll " + name, h.now()});
    log.note(h, branch{{"e", "hurt"}});
    find(name).tell(SIGTERM);
    co_await rest(h, sec + static_cast<tick>(h.below(3)) * sec);
    find(name).end(SIGKILL);
    find(name).start(folder);
    log.note(h, branch{{"e", "mend"}});
    events.back().back = h.now();
    co_await rest(h, 3 * sec);
  }

  // Kills, brings back, and tells how long what was sent in between had to wait.
  auto blow(std::string what, std::vector<std::string> names, tick gone) -> task<void> {
    auto t = h.now();
    log.note(h, branch{{"e", "hurt"}});
    for (auto& n : names)
      find(n).end(SIGKILL);
    events.push_back({what, t});
    co_await rest(h, gone);
    for (auto& n : names)
      find(n).start(folder);
    log.note(h, branch{{"e", "mend"}});
    events.back().back = h.now();
  }

  auto watch_lag() -> task<void> {
    while (true) {
      for (auto& c : all) {
        if (c->kind != "comb" || !c->pid) continue;
        auto r = co_await fetch(h, c->web, "GET", "/status", "", h.now() + sec);
        if (!sub(r.body, "cells").is_object()) continue;
        syncs[c->name] = num_or(r.body, "syncs", 0);
        bytes[c->name] = num_or(r.body, "bytes", 0);
        for (const auto& kv : sub(r.body, "cells").as_object()) {
          if (str_or(kv.value(), "role") != "primary") continue;
          auto back = str_or(kv.value(), "back");
          const auto& m = sub(sub(kv.value(), "copies"), back);
          if (m.is_object() && yes(m, "joined")) lags.push_back(num_or(m, "lag_ms", 0) * msec);
        }
      }
      co_await rest(h, sec);
    }
  }

  auto report(double secs) -> bool {
    auto breaches = judge(log.rows);
    auto show = [&](const std::string& what, const std::vector<tick>& v) {
      std::cout << "  " << what << ": n=" << v.size() << " p50=" << quantile(v, .5) << " p95=" << quantile(v, .95)
                << " p99=" << quantile(v, .99) << " max=" << quantile(v, 1) << " ms\n";
    };
    std::cout << "latency over " << secs << " s, first try to outcome\n";
    for (auto& [s, v] : log.acks)
      show("ack " + s, v);
    for (auto& [s, v] : log.deliveries)
      show("delivery " + s, v);
    show("replication lag", lags);
    // For each fault: the longest that a publish first tried around it had to wait for its ack.
    auto first = std::map<std::tuple<std::string, std::string, std::int64_t>, std::int64_t>();
    auto waits = std::vector<std::pair<std::int64_t, std::int64_t>>();
    for (auto& e : log.rows) {
      auto k = str(e, "e");
      if (k == "try") first.emplace(std::tuple(str(e, "who"), str(e, "topic"), num(e, "seq")), num(e, "t"));
      if (k == "verdict" && str(e, "verdict") == "acked") {
        auto it = first.find({str(e, "who"), str(e, "topic"), num(e, "seq")});
        if (it != first.end()) waits.emplace_back(it->second, num(e, "t") - it->second);
      }
    }
    for (auto& ev : events) {
      auto worst = std::int64_t{0}, late = std::int64_t{0};
      for (auto& [t, w] : waits)
        if (t > ev.at / msec - 2000 && t < ev.back / msec) {
          worst = std::max(worst, w);
          late += w > 1000;
        }
      std::cout << "fault: " << ev.what << ": longest wait for an ack " << worst << " ms, " << late
                << " waited over 1 s\n";
    }
    for (auto& [k, v] : log.counts)
      std::cout << "  answers: " << k << " " << v << '\n';
    auto s = std::int64_t{0}, b = std::int64_t{0}, acked = std::int64_t{0};
    for (auto& [n, v] : syncs)
      s += v;
    for (auto& [n, v] : bytes)
      b += v;
    for (auto& [n, v] : log.acks)
      acked += static_cast<std::int64_t>(v.size());
    if (acked)
      std::cout << "  disks: " << static_cast<double>(s) / static_cast<double>(acked) << " syncs and " << b / acked
                << " bytes per acked message, all combs together (combs killed count from their restart)\n";
    for (auto i = std::size_t{0}; i < breaches.size() && i < 20; ++i)
      std::cout << "BROKEN " << breaches[i].rule << ": " << breaches[i].what << '\n';
    std::cout << breaches.size() << " broken promises\n";
    if (!breaches.empty()) {
      auto out = std::ofstream(folder + "/history.jsonl");
      for (auto& e : log.rows)
        out << text(e) << '\n';
    }
    return breaches.empty();
  }

  struct event {
    std::string what;
    tick at = 0, back = 0;
  };
  evhost& h;
  layout form;
  std::string folder;
  history log;
  std::vector<std::unique_ptr<child>> all;
  std::vector<std::string> queens, webs;
  std::unique_ptr<balancer> spread;
  std::unique_ptr<keeper> boss;
  std::vector<std::unique_ptr<caller>> callers;
  std::vector<event> events;
  std::vector<tick> lags;
  std::map<std::string, std::int64_t> syncs, bytes;
  nest home;
};

}  // namespace
}  // namespace hive

auto main(int argc, const char** argv) -> int {
  auto* shape = static_cast<char*>(nullptr);
  auto* dir = static_cast<char*>(nullptr);
  auto* bin = static_cast<char*>(nullptr);
  auto seconds = 60, port = 17000, calm = 0, stay = 0, day = 0;
  poptOption opts[] = {
      {"shape", 0, POPT_ARG_STRING, &shape, 0, "small, hovorna or podnebni", "SHAPE"},
      {"dir", 0, POPT_ARG_STRING, &dir, 0, "folder for data and logs; a new one by default", "DIR"},
      {"bin", 0, POPT_ARG_STRING, &bin, 0, "folder of the daemons; by default this program's own", "DIR"},
      {"seconds", 0, POPT_ARG_INT, &seconds, 0, "how long callers go on", "N"},
      {"port", 0, POPT_ARG_INT, &port, 0, "first port", "N"},
      {"calm", 0, POPT_ARG_NONE, &calm, 0, "no faults", nullptr},
      {"day", 0, POPT_ARG_NONE, &day, 0,
       "after the three kills: freezes, rolls, resets, racing operators, a lost disk, an evacuation, and all killed at "
       "the end",
       nullptr},
      {"stay", 0, POPT_ARG_NONE, &stay, 0, "only start the fleet and keep it, to try by hand", nullptr},
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  using context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
  auto ctx = context(poptGetContext(nullptr, argc, argv, opts, 0), &poptFreeContext);
  if (auto r = poptGetNextOpt(ctx.get()); r < -1) {
    std::cerr << poptBadOption(ctx.get(), 0) << ": " << poptStrerror(r) << '\n';
    return 2;
  }
  auto kind = std::string(shape ? shape : "small");
  if (!hive::layouts.count(kind)) {
    std::cerr << "shape: '" << kind << "' is none of small, hovorna, podnebni\n";
    return 2;
  }
  auto folder = std::string(dir ? dir : "");
  if (folder.empty()) {
    char tmp[] = "/tmp/meadow-XXXXXX";
    if (!mkdtemp(tmp)) return 1;
    folder = tmp;
  }
  auto self = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  auto ok = false;
  try {
    auto h = hive::evhost("");
    auto f = hive::field(h, hive::layouts.at(kind), bin ? bin : self, folder, port);
    auto home = hive::nest(h);
    home.on_fault = [&](std::exception_ptr e) {
      try {
        std::rethrow_exception(e);
      } catch (const std::exception& x) {
        std::cerr << "failed: " << x.what() << '\n';
      }
      h.end();
    };
    home.spawn([](hive::evhost& hh, hive::field& ff, bool& out, int s, bool c, bool st, bool d) -> hive::task<void> {
      out = co_await ff.run(s, !c, st, d);
      hh.end();
    }(h, f, ok, seconds, calm != 0, stay != 0, day != 0));
    h.run();
  } catch (const std::exception& e) {
    std::cerr << "failed: " << e.what() << '\n';
  }
  free(shape);
  free(dir);
  free(bin);
  return ok ? 0 : 1;
}
