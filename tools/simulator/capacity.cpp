#include "simulator/capacity.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

#include "runtime/request_error.hpp"
#include "simulator/fleet.hpp"

namespace reachridge {
namespace {

constexpr auto space_cells = std::int64_t{16};
constexpr auto publishers_most = std::int64_t{64};

// The size aimed at (docs/CAPACITY.md).
constexpr auto full_nodes = 5200.0, full_cells = 290000.0, full_links = 300e6, full_deliveries = 160e6;
constexpr auto full_listeners = 160000.0, full_changes = 32000.0;
constexpr auto day = 86400.0;
constexpr auto core_bound = 0.018, memory_bound = 128.0 * (1 << 20), bytes_bound = 18000.0;

const auto counts = std::vector<std::string>{"frames_out",  "frames_in",  "bytes_out", "bytes_in",
                                             "near_frames", "near_bytes", "resumes",   "cpu_us"};
const auto states = std::vector<std::string>{"timers", "heap_bytes", "pull_bytes", "disk_bytes"};
const auto kinds = std::vector<std::string>{"queen", "comb", "forager", "scout"};

auto as_figures(const counters& c) -> figures {
  auto f = [](auto n) {
    return static_cast<double>(n);
  };
  return {{"frames_out", f(c.frames_out)}, {"frames_in", f(c.frames_in)},     {"bytes_out", f(c.bytes_out)},
          {"bytes_in", f(c.bytes_in)},     {"near_frames", f(c.near_frames)}, {"near_bytes", f(c.near_bytes)},
          {"resumes", f(c.resumes)},       {"cpu_us", f(c.cpu_ns) / 1000}};
}

auto spaces_of(std::int64_t cells) -> std::string {
  auto out = std::string();
  for (auto k = std::int64_t{0}; k * space_cells < cells; ++k)
    out += (k ? "," : "") + (R"({"name":"s)" + std::to_string(k)) + R"(","keep_s":35,"urgency":5,"cells":)" +
           std::to_string(std::min(space_cells, cells - k * space_cells)) + "}";
  return out;
}
auto configuration_text(std::int64_t number, std::int64_t cells) -> std::string {
  return R"({"number":)" + std::to_string(number) + R"(,"spaces":[)" + spaces_of(cells) +
         R"(],"rules":["allow all on *"]})";
}
auto topic_of(std::int64_t i, std::int64_t cells) -> std::string {
  auto spaces = (cells + space_cells - 1) / space_cells;
  return "s" + std::to_string(i % spaces) + "/t" + std::to_string(i % load_topics);
}

// A fleet at rest, and what its processes have done since.
class emulated_fleet {
 public:
  emulated_fleet(const load& l, std::uint64_t seed) : at(l), f(seed, form(l)) {
    f.network.metered = true;
  }

  auto settle() -> void {
    for (auto& n : f.names("queen"))
      f.start(n);
    f.network.run(f.network.clock + 2 * second);
    for (auto& [n, p] : f.processes)
      f.start(n);
    f.operator_calls =
        std::make_unique<operator_client>(*f.outside, f.control_addresses, f.gateway_addresses, f.observed);
    charter();
    auto from = f.network.clock;
    wait("cells are founded and all nodes know all they need", [&] {
      return whole();
    });
    founding = f.network.clock - from;
    callers();
    // Moves end, sessions and links are at their pace.
    auto ver = std::int64_t{-1};
    auto since = f.network.clock;
    wait("cells stay where they are", [&] {
      auto now = lead().state.partitions_version.get();
      if (now != ver)
        since = f.network.clock;
      ver = now;
      return f.network.clock - since >= 2 * second;
    });
  }

  // Runs for a span; a second's figures of one process of each role.
  auto watch(monotonic_time span) -> std::map<std::string, figures> {
    auto was = snapshot();
    f.network.run(f.network.clock + span);
    auto out = std::map<std::string, figures>();
    auto seconds = static_cast<double>(span) / second;
    for (auto& [n, p] : f.processes) {
      if (!p->up() || !was.count(n))
        continue;
      auto now = as_figures(p->host->activity);
      auto& sum = out[p->kind];
      for (auto& [k, v] : now)
        sum[k] += (v - was[n][k]) / seconds;
      if (p->control && p->control->leads()) {
        for (auto& [k, v] : now)
          out["leader"][k] = (v - was[n][k]) / seconds;
        stand(*p, out["leader"]);
      }
      stand(*p, sum);
    }
    for (auto& [kind, sum] : out)
      if (kind != "leader")
        for (auto& [k, v] : sum)
          v /= static_cast<double>(up(kind));
    for (const auto& k : counts)
      out["node"][k] = out["scout"][k] + out["forager"][k];
    for (const auto& k : states)
      out["node"][k] = out["scout"][k] + out["forager"][k];
    return out;
  }

  [[nodiscard]] auto up(const std::string& kind) const -> std::int64_t {
    return std::count_if(f.processes.begin(), f.processes.end(), [&](auto& p) {
      return p.second->kind == kind && p.second->up();
    });
  }
  // A second's bytes into an agent's machine, which are its session's and nothing else.
  auto session_bytes(monotonic_time span) -> double {
    return watch(span)["scout"]["bytes_in"] * static_cast<double>(span) / second;
  }
  // Another configuration, until it has taken hold: milliseconds.
  auto charter() -> double {
    auto ok = std::make_shared<bool>(false);
    auto body = configuration_text(++f.configuration_number, at.partitions);
    auto n = f.configuration_number;
    auto from = f.network.clock;
    f.operate([ok, body, n](operator_client& k) -> task<void> {
      for (auto i = 0; i < 40 && !*ok; ++i)
        *ok = co_await k.put(n, body);
      if (*ok)
        *ok = co_await k.await_in_force(n, 60 * second);
    });
    auto end = from + 120 * second;
    while (f.operating && f.network.clock < end)
      f.network.run(f.network.clock + 10 * millisecond);
    if (!*ok)
      throw request_error(errc::unsettled, "charter " + std::to_string(n) + " did not take hold");
    return static_cast<double>(f.network.clock - from) / millisecond;
  }
  auto lose_member() -> void {
    auto n = std::to_string(at.gateways());
    f.kill("forager-" + n);
    f.kill("scout-" + n);
  }
  [[nodiscard]] auto now() const -> monotonic_time {
    return f.network.clock;
  }
  [[nodiscard]] auto acked() const -> std::int64_t {
    auto it = f.observed.counts.find("publish acked");
    return it == f.observed.counts.end() ? 0 : it->second;
  }
  [[nodiscard]] auto delivered() const -> std::int64_t {
    auto n = std::int64_t{0};
    for (const auto& [s, row] : f.observed.deliveries)
      n += static_cast<std::int64_t>(row.size());
    return n;
  }
  auto lead() -> control_node& {
    auto n = f.leader();
    while (n.empty()) {
      f.network.run(f.network.clock + 100 * millisecond);
      n = f.leader();
    }
    return *f.processes.at(n)->control;
  }
  // The longest delivery but for one in a hundred, so far: milliseconds.
  [[nodiscard]] auto late() const -> double {
    auto all = std::vector<monotonic_time>();
    for (const auto& [s, row] : f.observed.deliveries)
      all.insert(all.end(), row.begin(), row.end());
    if (all.empty())
      return 0;
    std::sort(all.begin(), all.end());
    return static_cast<double>(all[(all.size() - 1) * 99 / 100]) / millisecond;
  }
  load at;
  fleet f;
  monotonic_time founding =
      0;  // from the first configuration's hold until all partitions stand and all nodes know all they need

 private:
  static auto form(const load& l) -> fleet_shape {
    auto s = fleet_shape();
    s.clients = 0;
    s.storage_nodes = l.storage_nodes();
    s.gateways = l.gateways();
    return s;
  }
  template <class F>
  auto wait(const char* what, F done) -> void {
    auto end = f.network.clock + 300 * second;
    while (!done()) {
      if (f.network.clock > end)
        throw request_error(errc::unsettled, std::string("in 300 s it did not come to this: ") + what);
      f.network.run(f.network.clock + 100 * millisecond);
    }
  }
  auto whole() -> bool {
    const auto& law = lead().state;
    auto initialized = std::count_if(law.partitions.begin(), law.partitions.end(), [](auto& c) {
      return c.second.epoch > 0;
    });
    if (initialized < at.partitions)
      return false;
    auto known = [&](const cluster_view& v) {
      auto n = std::size_t{0};
      for (const auto& [q, t] : v.session_tables)
        n += t.rows.size();
      auto needed = std::count_if(f.processes.begin(), f.processes.end(), [&](auto& e) {
        return (e.second->storage || e.second->agent) &&
               v.filter.covers(e.second->kind == "comb" ? "comb" : "forager", e.second->settings.zone);
      });
      return static_cast<std::int64_t>(n) >= needed && v.partitions_version == law.partitions_version;
    };
    return std::all_of(f.processes.begin(), f.processes.end(), [&](auto& e) {
      auto& p = *e.second;
      return !p.up() || p.control || (p.storage && known(p.storage->session.view)) ||
             (p.agent && known(p.agent->session.view)) ||
             (p.gateway && p.gateway->ready() && known(p.gateway->session.view));
    });
  }
  auto callers() -> void {
    if (at.rate == 0 && at.listeners == 0)
      return;
    f.client_balancer = std::make_unique<balancer>(*f.outside, f.gateway_addresses);
    f.network.run(f.network.clock + 2 * second);
    for (auto i = std::int64_t{0}; i < at.listeners; ++i) {
      auto p = client::plan();
      p.name = "hears-" + std::to_string(i);
      p.subscribed_topics = {topic_of(i % load_topics, at.partitions)};
      f.clients.push_back(std::make_unique<client>(*f.outside, *f.client_balancer, f.observed, p));
    }
    auto n = std::min(at.rate, publishers_most);
    for (auto i = std::int64_t{0}; i < n; ++i) {
      auto p = client::plan();
      p.name = "tells-" + std::to_string(i);
      p.published_topics = {topic_of(i % load_topics, at.partitions)};
      p.every = n * second / at.rate;
      p.pipe = 8;
      f.clients.push_back(std::make_unique<client>(*f.outside, *f.client_balancer, f.observed, p));
    }
    wait("all callers are linked", [&] {
      return std::all_of(f.clients.begin(), f.clients.end(), [](auto& c) {
        return c->linked;
      });
    });
  }
  auto snapshot() -> std::map<std::string, figures> {
    auto out = std::map<std::string, figures>();
    for (auto& [n, p] : f.processes)
      if (p->up())
        out[n] = as_figures(p->host->activity);
    return out;
  }
  // What stands in a process, added to a sum.
  static auto stand(const fleet::process& p, figures& sum) -> void {
    sum["timers"] += static_cast<double>(p.host->timers());
    sum["heap_bytes"] += static_cast<double>(*p.host->heap_account);
    if (p.control || p.storage)
      for (const auto& [k, v] : p.machine->durable)
        sum["disk_bytes"] += static_cast<double>(k.size() + v.size());
    const auto* v = p.storage   ? &p.storage->session.view
                    : p.agent   ? &p.agent->session.view
                    : p.gateway ? &p.gateway->session.view
                                : nullptr;
    auto none = cluster_view();
    if (v)
      sum["pull_bytes"] += static_cast<double>(encode_cbor(value(v->changes_since(none.version_vector()))).size());
    if (p.control)
      sum["pull_bytes"] += static_cast<double>(encode_cbor(p.control->state.take_snapshot()).size());
  }
};

auto short_number(double v) -> std::string {
  auto os = std::ostringstream();
  auto a = std::abs(v);
  if (a != 0 && a < 0.0005)
    os << std::scientific << std::setprecision(1) << v;
  else
    os << std::fixed << std::setprecision(a >= 100 ? 0 : a >= 10 ? 1 : a >= 1 ? 2 : 4) << v;
  return os.str();
}

auto points_of(const std::vector<reading>& row, const std::function<double(const reading&)>& x,
               const std::function<double(const reading&)>& y) {
  auto out = std::vector<std::pair<double, double>>();
  for (const auto& r : row)
    out.emplace_back(x(r), y(r));
  return out;
}
auto figure_of(const reading& r, const std::string& role, const std::string& key) -> double {
  auto it = r.roles.find(role);
  if (it == r.roles.end())
    return 0;
  auto f = it->second.find(key);
  return f == it->second.end() ? 0 : f->second;
}
auto total(const reading& r, const std::string& role, const std::string& key) -> double {
  auto it = r.processes.find(role);
  return it == r.processes.end() ? 0 : figure_of(r, role, key) * static_cast<double>(it->second);
}
auto copies(const load& l) -> double {
  return 2.0 * static_cast<double>(l.partitions) / static_cast<double>(l.storage_nodes());
}

// What one role's figure is made of: a start, what each node of the fleet adds, each
// partition of the whole system (what everyone knows of it), and each copy of a partition held.
struct makeup {
  curve nodes;
  double cell = 0, copy = 0;
  [[nodiscard]] auto at(double n, double c, double held) const -> double {
    return nodes.at(n) + cell * c + copy * held;
  }
};
// The slope of a figure over the partitions; none where it is lost in the noise of the sampling.
auto cell_slope(const survey& s, const std::function<double(const reading&)>& y) -> double {
  if (s.partitions.size() < 2)
    return 0;
  auto row = points_of(
      s.partitions,
      [](auto& r) {
        return static_cast<double>(r.at.partitions);
      },
      y);
  auto line = fit(row, 1);
  auto [low, high] = std::minmax_element(row.begin(), row.end());
  auto rise = std::abs(line.terms[1]) * (high->first - low->first);
  auto most = std::max_element(row.begin(), row.end(), [](auto& a, auto& b) {
                return a.second < b.second;
              })->second;
  return line.terms[1] > 0 && rise > most / 5 && line.miss < 0.15 ? line.terms[1] : 0;
}
auto makeup_of(const survey& s, const std::string& role, const std::string& key) -> makeup {
  auto out = makeup();
  auto slope_of = [&](const std::string& who) {
    return cell_slope(s, [&](auto& r) {
      return figure_of(r, who, key);
    });
  };
  out.cell = slope_of(role);
  if (role == "comb" && s.partitions.size() > 1) {
    // A storage node knows the table as an agent does; the rest is what it holds.
    auto all = out.cell;
    out.cell = std::min(all, slope_of("scout"));
    out.copy = (all - out.cell) * static_cast<double>(s.partitions[0].at.storage_nodes()) / 2;
  }
  auto rest = [&](const reading& r) {
    return figure_of(r, role, key) - out.cell * static_cast<double>(r.at.partitions) -
           out.copy * (role == "comb" ? copies(r.at) : 0);
  };
  out.nodes = fit_growth(points_of(
      s.nodes,
      [](auto& r) {
        return static_cast<double>(r.at.nodes);
      },
      rest));
  return out;
}

auto row_text(const std::string& name, const std::vector<std::string>& cols) -> std::string {
  auto os = std::ostringstream();
  os << std::left << std::setw(22) << name << std::right;
  for (const auto& c : cols)
    os << ' ' << std::setw(12) << c;
  os << '\n';
  return os.str();
}
auto table(const std::vector<reading>& row, const std::string& title,
           const std::function<std::string(const reading&)>& head, bool totals) -> std::string {
  auto out = "\n" + title + "\n";
  auto cols = std::vector<std::string>();
  for (const auto& r : row)
    cols.push_back(head(r));
  out += row_text("", cols);
  for (const auto& role : {"queen", "leader", "comb", "forager", "scout"})
    for (const auto* keys : {&counts, &states}) {
      if (totals && keys == &states)
        continue;
      for (const auto& k : *keys) {
        cols.clear();
        auto any = false;
        for (const auto& r : row) {
          auto v = totals ? total(r, role, k) : figure_of(r, role, k);
          any = any || v != 0;
          cols.push_back(short_number(v));
        }
        if (any)
          out += row_text(std::string(role) + " " + k, cols);
      }
    }
  auto keys = std::set<std::string>();
  for (const auto& r : row)
    for (const auto& [k, v] : r.fleet)
      keys.insert(k);
  for (const auto& k : keys) {
    cols.clear();
    for (const auto& r : row)
      cols.push_back(short_number(r.fleet.count(k) ? r.fleet.at(k) : 0));
    out += row_text("fleet " + k, cols);
  }
  return out;
}

}  // namespace

auto load::storage_nodes() const -> std::int64_t {
  return std::max<std::int64_t>(2, (nodes - 3) / 4);
}
auto load::gateways() const -> std::int64_t {
  return nodes - 3 - storage_nodes();
}

auto machine_memory() -> std::int64_t {
  return static_cast<std::int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
}

auto memory_of(const load& l) -> std::int64_t {
  auto links = l.storage_nodes() * l.gateways() + l.nodes * 4;
  auto views = 2 * l.gateways() + l.storage_nodes() + 3;
  return links * (24 << 10) + views * (l.nodes * 2048 + l.partitions * 2048 + (256 << 10)) +
         l.partitions * (512 << 10) + l.listeners * (64 << 10) + l.rate * (1 << 20);
}

auto check(const load& l, std::int64_t machine) -> void {
  auto in = [](const char* what, std::int64_t v, std::int64_t low, std::int64_t high) {
    if (v < low || v > high)
      throw request_error(errc::out_of_range, std::string(what) + ": " + std::to_string(v) + " is outside " +
                                                  std::to_string(low) + " to " + std::to_string(high));
  };
  in("fleet", l.nodes, 7, 1600);
  in("cells", l.partitions, 1, 64 * space_cells);
  in("rate", l.rate, 0, 1000);
  in("listeners", l.listeners, 0, 4000);
  if (auto want = memory_of(l); want > machine / 2)
    throw request_error(errc::out_of_range, "memory: a fleet of " + std::to_string(l.nodes) + " nodes and " +
                                                std::to_string(l.partitions) + " cells may take " +
                                                std::to_string(want >> 20) + " MiB, over half of this machine's " +
                                                std::to_string(machine >> 20) + " MiB");
}

auto measure(const load& l, std::uint64_t seed, monotonic_time span) -> reading {
  auto h = emulated_fleet(l, seed);
  h.settle();
  auto out = reading();
  out.at = l;
  for (const auto& k : kinds)
    out.processes[k] = h.up(k);
  out.processes["node"] = out.processes["scout"];
  auto acked = h.acked(), got = h.delivered();
  auto last = [&] {
    return get_int(get_value(h.lead().status(), "ledger"), "last");
  };
  auto entries = last();
  out.roles = h.watch(span);
  auto seconds = static_cast<double>(span) / second;
  out.fleet["entries"] = static_cast<double>(last() - entries) / seconds;
  out.fleet["messages"] = static_cast<double>(h.acked() - acked) / seconds;
  out.fleet["deliveries"] = static_cast<double>(h.delivered() - got) / seconds;
  out.fleet["founding_ms"] = static_cast<double>(h.founding) / millisecond;
  if (l.rate > 0 || l.listeners > 0) {
    out.fleet["p99_ms"] = h.late();
    return out;
  }
  // What a change of the configuration costs each node, and one of the membership.
  auto idle = figure_of(out, "scout", "bytes_in");
  auto changed = [&](monotonic_time least, const std::function<void()>& deed) {
    auto was = std::map<std::string, std::uint64_t>();
    for (auto& n : h.f.names("scout"))
      if (h.f.processes.at(n)->up())
        was[n] = h.f.processes.at(n)->host->activity.bytes_in;
    auto from = h.now();
    deed();
    h.f.network.run(std::max(from + least, h.now()));
    auto sum = 0.0;
    auto n = 0;
    for (auto& [name, b] : was)
      if (auto& p = *h.f.processes.at(name); p.up()) {
        sum += static_cast<double>(p.host->activity.bytes_in - b);
        ++n;
      }
    return sum / n - idle * static_cast<double>(h.now() - from) / second;
  };
  auto held = 0.0;
  out.fleet["charter_body"] =
      static_cast<double>(configuration_text(h.f.configuration_number + 1, l.partitions).size());
  out.fleet["charter_bytes"] = changed(second, [&] {
    held = h.charter();
  });
  out.fleet["charter_held_ms"] = held;
  out.fleet["loss_bytes"] = changed(2 * second, [&] {
    h.lose_member();
  });
  return out;
}

auto curve::at(double x) const -> double {
  auto y = 0.0;
  for (auto i = terms.size(); i-- > 0;)
    y = y * x + terms[i];
  return y;
}

auto fit(const std::vector<std::pair<double, double>>& points, std::size_t degree) -> curve {
  auto n = std::min(degree + 1, points.size());
  auto wide = 1.0;
  for (const auto& [x, y] : points)
    wide = std::max(wide, std::abs(x));
  // Normal equations, with x brought to at most 1.
  auto a = std::vector<std::vector<double>>(n, std::vector<double>(n + 1, 0));
  for (const auto& [x, y] : points)
    for (auto i = std::size_t{0}; i < n; ++i) {
      for (auto j = std::size_t{0}; j < n; ++j)
        a[i][j] += std::pow(x / wide, static_cast<double>(i + j));
      a[i][n] += y * std::pow(x / wide, static_cast<double>(i));
    }
  for (auto i = std::size_t{0}; i < n; ++i) {
    auto best = i;
    for (auto k = i + 1; k < n; ++k)
      if (std::abs(a[k][i]) > std::abs(a[best][i]))
        best = k;
    std::swap(a[i], a[best]);
    if (std::abs(a[i][i]) < 1e-12)
      throw request_error(errc::fit_failed, "the points do not say so many terms");
    for (auto k = std::size_t{0}; k < n; ++k) {
      if (k == i)
        continue;
      auto m = a[k][i] / a[i][i];
      for (auto j = i; j <= n; ++j)
        a[k][j] -= m * a[i][j];
    }
  }
  auto out = curve();
  for (auto i = std::size_t{0}; i < n; ++i)
    out.terms.push_back(a[i][n] / a[i][i] / std::pow(wide, static_cast<double>(i)));
  auto most = 0.0, off = 0.0;
  for (const auto& [x, y] : points) {
    most = std::max(most, std::abs(y));
    off = std::max(off, std::abs(y - out.at(x)));
  }
  out.miss = most > 0 ? off / most : 0;
  return out;
}

auto fit_growth(const std::vector<std::pair<double, double>>& points) -> curve {
  auto line = fit(points, 1);
  if (line.miss <= 0.1 || points.size() < 4)
    return line;
  auto bent = fit(points, 2);
  return bent.terms[2] > 0 && bent.miss < line.miss ? bent : line;
}

auto run_sweeps(const sweeps& s) -> survey {
  auto plan = std::vector<std::pair<load, std::vector<reading> survey::*>>();
  auto base = load();
  base.nodes = s.nodes.at(0);
  if (!s.partitions.empty())
    base.partitions = s.partitions[0];
  for (auto n : s.nodes)
    plan.push_back({{n, base.partitions, 0, 0}, &survey::nodes});
  for (auto c : s.partitions)
    if (s.partitions.size() > 1)
      plan.push_back({{base.nodes, c, 0, 0}, &survey::partitions});
  for (auto r : s.rates)
    plan.push_back({{base.nodes, base.partitions, r, load_topics}, &survey::rates});
  for (auto n : s.listeners)
    plan.push_back({{base.nodes, base.partitions, s.rates.empty() ? 40 : s.rates[0], n}, &survey::listeners});
  auto machine = machine_memory();
  for (const auto& [l, to] : plan)
    check(l, machine);  // all before the first is started
  auto out = survey();
  for (const auto& [l, to] : plan)
    (out.*to).push_back(measure(l, s.seed, s.span));
  return out;
}

auto growth(const survey& s) -> figures {
  auto out = figures();
  if (s.nodes.size() < 2)
    return out;
  for (const auto& k : {"frames", "bytes"}) {
    auto each = [&](const reading& r) {
      auto sum = 0.0;
      for (const auto& kind : kinds)
        sum += total(r, kind, std::string(k) + "_out") + total(r, kind, std::string(k) + "_in");
      return sum / static_cast<double>(r.at.nodes);
    };
    out[k] = each(s.nodes.back()) / each(s.nodes.front());
    out[std::string(k) + "_first"] = each(s.nodes.front());
    out[std::string(k) + "_last"] = each(s.nodes.back());
  }
  return out;
}

auto to_text(const survey& s) -> std::string {
  auto out = std::string(
      "One process, a second (simulated time; counts are exact, cpu_us and heap_bytes are this machine's and "
      "build's).\n");
  auto x_of = [](std::int64_t load::*field) {
    return [field](const reading& r) {
      return std::to_string(r.at.*field);
    };
  };
  out += table(s.nodes, "nodes (idle, " + std::to_string(s.nodes.empty() ? 0 : s.nodes[0].at.partitions) + " cells)",
               x_of(&load::nodes), false);
  for (auto i = std::size_t{1}; i < s.nodes.size(); ++i) {
    auto two = survey();
    two.nodes = {s.nodes.front(), s.nodes[i]};
    auto g = growth(two);
    out += (i == 1 ? "\n" : "") + ("growth from " + std::to_string(s.nodes.front().at.nodes)) + " to " +
           std::to_string(s.nodes[i].at.nodes) + " nodes, for each node and second: frames x" +
           short_number(g["frames"]) + " (" + short_number(g["frames_first"]) + " to " +
           short_number(g["frames_last"]) + "), bytes x" + short_number(g["bytes"]) + " (" +
           short_number(g["bytes_first"]) + " to " + short_number(g["bytes_last"]) + ")\n";
  }
  auto first = s.nodes.empty() ? std::string("?") : std::to_string(s.nodes[0].at.nodes);
  if (!s.partitions.empty())
    out += table(s.partitions, "cells (idle, " + first + " nodes)", x_of(&load::partitions), false);
  if (!s.rates.empty())
    out += table(s.rates, "messages a second asked for (" + first + " nodes; all processes of a role together)",
                 x_of(&load::rate), true);
  if (!s.listeners.empty())
    out += table(s.listeners, "listeners (" + first + " nodes; all processes of a role together)",
                 x_of(&load::listeners), true);
  if (s.nodes.size() < 2)
    return out;

  out +=
      "\nslopes: start, for each node, for each node squared (where a line misses by over a tenth), for each cell, for "
      "each copy held; at full size\n";
  out += row_text("", {"start", "node", "node^2", "cell", "copy", "miss", "full size"});
  auto held = 2 * full_cells / static_cast<double>(load{5200, 1, 0, 0}.storage_nodes());
  auto at_full = std::map<std::string, figures>();
  for (const auto& role : {"queen", "leader", "comb", "forager", "scout", "node"})
    for (const auto* keys : {&counts, &states})
      for (const auto& k : *keys) {
        auto m = makeup_of(s, role, k);
        auto full = m.at(full_nodes, full_cells, std::string(role) == "comb" ? held : 0);
        at_full[role][k] = full;
        if (m.nodes.terms[0] == 0 && m.nodes.terms[1] == 0 && m.cell == 0)
          continue;
        out += row_text(std::string(role) + " " + k,
                        {short_number(m.nodes.terms[0]), short_number(m.nodes.terms[1]),
                         m.nodes.terms.size() > 2 ? short_number(m.nodes.terms[2]) : "-", short_number(m.cell),
                         short_number(m.copy), short_number(m.nodes.miss), short_number(full)});
      }
  for (const auto& k : {"loss_bytes", "charter_bytes"}) {
    auto by = [&](const reading& r) {
      return r.fleet.at(k);
    };
    auto n = fit_growth(points_of(
        s.nodes,
        [](auto& r) {
          return static_cast<double>(r.at.nodes);
        },
        by));
    auto c = cell_slope(s, by);
    auto base = s.nodes[0].at.partitions;
    auto full = n.at(full_nodes) + c * (full_cells - static_cast<double>(base));
    at_full["fleet"][k] = full;
    out += row_text(std::string("fleet ") + k, {short_number(n.terms[0]), short_number(n.terms[1]),
                                                n.terms.size() > 2 ? short_number(n.terms[2]) : "-", short_number(c),
                                                "-", short_number(n.miss), short_number(full)});
  }

  out += "\nfull size: " + short_number(full_nodes) + " nodes, " + short_number(full_cells) + " cells, " +
         short_number(held) + " copies a comb\n";
  out += row_text(
      "", {"core % from", "to", "of 1.8 %", "heap MB", "of 128 MB", "KB/s", "of 18 KB/s", "frames/s", "timers"});
  for (const auto& role : {"queen", "leader", "comb", "node"}) {
    auto& f = at_full[role];
    // Resumes at full size, each at what one cost in the smallest fleet and in the largest.
    auto each = [&](const reading& r) {
      return figure_of(r, role, "cpu_us") / figure_of(r, role, "resumes");
    };
    auto low = f["resumes"] * each(s.nodes.front()) / 1e6, high = f["resumes"] * each(s.nodes.back()) / 1e6;
    if (low > high)
      std::swap(low, high);
    auto bytes = f["bytes_in"] + f["bytes_out"];
    out +=
        row_text(role, {short_number(low * 100), short_number(high * 100), "x" + short_number(low / core_bound),
                        short_number(f["heap_bytes"] / (1 << 20)), "x" + short_number(f["heap_bytes"] / memory_bound),
                        short_number(bytes / 1000), "x" + short_number(bytes / bytes_bound),
                        short_number(f["frames_in"] + f["frames_out"]), short_number(f["timers"])});
  }
  auto losses = (13.0 + 770 * 2) / day, changes = full_changes / day;
  out += "members that go or come: " + short_number(losses) + " a second x " +
         short_number(at_full["fleet"]["loss_bytes"]) +
         " bytes = " + short_number(losses * at_full["fleet"]["loss_bytes"] / 1000) + " KB/s into each node\n";
  out += "configuration changes: " + short_number(changes) + " a second x " +
         short_number(at_full["fleet"]["charter_bytes"]) +
         " bytes = " + short_number(changes * at_full["fleet"]["charter_bytes"] / 1000) + " KB/s into each node\n";

  auto foragers = static_cast<double>(load{5200, 1, 0, 0}.gateways()),
       combs = static_cast<double>(load{5200, 1, 0, 0}.storage_nodes());
  out += "links: " + short_number(full_links / foragers) +
         " a forager; deliveries: " + short_number(full_deliveries / foragers) + " a second and forager, " +
         short_number(full_deliveries / combs) + " a second and comb\n";
  auto cost = [&](const std::vector<reading>& row, const char* x, const char* name) {
    if (row.size() < 2)
      return;
    out += "\nfor each " + std::string(name) + ", all processes of a role together\n" +
           row_text("", {"slope", "miss", "at full size"});
    for (const auto& role : kinds)
      for (const auto& k : counts) {
        auto c = fit(points_of(
                         row,
                         [&](auto& r) {
                           return r.fleet.at(x);
                         },
                         [&](auto& r) {
                           return total(r, role, k);
                         }),
                     1);
        if (std::abs(c.terms[1]) < 1e-3 || role == "queen" || role == "scout")
          continue;
        auto full = c.terms[1] * full_deliveries / (role == "comb" ? combs : foragers);
        out += row_text(role + " " + k, {short_number(c.terms[1]), short_number(c.miss),
                                         std::string(x) == "deliveries" ? short_number(full) : "-"});
      }
  };
  cost(s.rates, "messages", "message published and delivered to one listener");
  cost(s.listeners, "deliveries", "delivery");
  if (s.listeners.size() > 1) {
    auto heap = fit(points_of(
                        s.listeners,
                        [](auto& r) {
                          return static_cast<double>(r.at.listeners);
                        },
                        [](auto& r) {
                          return total(r, "forager", "heap_bytes");
                        }),
                    1);
    auto comb = fit(points_of(
                        s.listeners,
                        [](auto& r) {
                          return static_cast<double>(r.at.listeners);
                        },
                        [](auto& r) {
                          return total(r, "comb", "heap_bytes");
                        }),
                    1);
    out += "\nheap bytes for each listener: forager " + short_number(heap.terms[1]) + " (a forager at full size " +
           short_number(heap.terms[1] * full_links / foragers / (1 << 20)) + " MB), combs " +
           short_number(comb.terms[1]) + " (the largest topic " +
           short_number(comb.terms[1] * full_listeners / (1 << 20)) + " MB on its pair)\n";
  }
  return out;
}

auto to_value(const survey& s) -> value {
  auto rows = [](const std::vector<reading>& all) {
    auto out = array();
    for (const auto& r : all) {
      auto roles = object();
      for (const auto& [role, f] : r.roles) {
        auto one = object();
        for (const auto& [k, v] : f)
          one[k] = v;
        if (auto it = r.processes.find(role); it != r.processes.end())
          one["processes"] = it->second;
        roles[role] = one;
      }
      auto f = object();
      for (const auto& [k, v] : r.fleet)
        f[k] = v;
      out.push_back(object{{"nodes", r.at.nodes},
                           {"cells", r.at.partitions},
                           {"rate", r.at.rate},
                           {"listeners", r.at.listeners},
                           {"roles", roles},
                           {"fleet", f}});
    }
    return out;
  };
  auto g = object();
  for (const auto& [k, v] : growth(s))
    g[k] = v;
  auto slopes = object();
  if (s.nodes.size() > 1)
    for (const auto& role : {"queen", "leader", "comb", "forager", "scout", "node"}) {
      auto one = object();
      for (const auto* keys : {&counts, &states})
        for (const auto& k : *keys) {
          auto m = makeup_of(s, role, k);
          auto terms = array();
          for (auto t : m.nodes.terms)
            terms.push_back(t);
          one[k] = object{{"nodes", terms}, {"cell", m.cell}, {"copy", m.copy}, {"miss", m.nodes.miss}};
        }
      slopes[role] = one;
    }
  return object{{"nodes", rows(s.nodes)},
                {"cells", rows(s.partitions)},
                {"rates", rows(s.rates)},
                {"listeners", rows(s.listeners)},
                {"growth", g},
                {"slopes", slopes}};
}

}  // namespace reachridge
