#include "simulator/fleet.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

monotonic_time* shown_clock = nullptr;

}  // namespace

auto fleet_shape::spaces() const -> std::string {
  auto c = std::to_string(partitions);
  return R"({"name":"alerts","keep_s":)" + std::to_string(keep) + R"(,"urgency":9,"cells":)" + c +
         R"(},{"name":"lookups","keep_s":)" + std::to_string(keep_low) + R"(,"urgency":1,"cells":)" + c + "}";
}
auto fleet_shape::all_spaces() const -> std::string {
  auto out = spaces();
  for (auto i = 0; i < extra_spaces; ++i) {
    auto name = "extra-" + std::to_string(i);
    out += R"(,{"name":")" + name + R"(","prefix":"kafi810-)" + name + R"(.","pool":"alerts","keep_s":)" +
           std::to_string(keep) + R"(,"urgency":1,"cells":)" + std::to_string(partitions) + R"(,"order":"topic",)" +
           R"("timeout_ms":1500,"aim_ms":150})";
  }
  return out;
}

fleet::fleet(std::uint64_t s, fleet_shape sh) : network(s), shape(std::move(sh)), seed_(s) {
  shown_clock = &network.clock;
  set_log_clock([] {
    return shown_clock ? 1700000000000 + *shown_clock / millisecond : 0;
  });
  network.packet_loss = shape.loss;
  auto& out = network.machine_at("outside", "out");
  for (auto i = 1; i <= shape.control_nodes; ++i)
    seeds_.push_back(network.machine_at("q" + std::to_string(i), "z" + std::to_string((i - 1) % shape.zones + 1)).ip +
                     ":7000");
  while (seeds_.size() < 3)
    seeds_.push_back("10.9.9." + std::to_string(seeds_.size() + 1) + ":7000");
  for (auto i = 1; i <= shape.control_nodes; ++i)
    add("queen", "queen-" + std::to_string(i), "q" + std::to_string(i),
        "z" + std::to_string((i - 1) % shape.zones + 1));
  for (auto i = 1; i <= shape.storage_nodes; ++i)
    add_storage_node();
  for (auto i = 1; i <= shape.gateways; ++i)
    add_gateway();
  outside = std::make_unique<sim_host>(network, out, false, seed_ * 7919 + 13);
  outside->step_cost = 1;
  operator_tasks = std::make_unique<task_group>(*outside);
}

fleet::~fleet() {
  clients.clear();
  operator_calls.reset();
  client_balancer.reset();
  operator_tasks.reset();
  while (!processes.empty()) {
    kill(processes.begin()->first);
    processes.erase(processes.begin());
  }
  outside.reset();
  set_log_clock(nullptr);
  shown_clock = nullptr;
}

auto fleet::config_for(const std::string& kind, const std::string& name, const std::string& zone,
                       const machine& m) const -> settings {
  auto flags = shape.settings;
  flags["name"] = name;
  flags["zone"] = zone;
  flags["seeds"] = seeds_[0] + "," + seeds_[1] + "," + seeds_[2];
  if (kind == "queen" || kind == "comb")
    flags["addr"] = m.ip + ":7000";
  if (kind != "scout")
    flags["web"] = m.ip + ":8000";
  if (kind == "scout" || kind == "forager")
    flags["feed"] = m.ip + ":7001";
  auto faults = std::vector<setting_error>();
  auto n = required_settings();
  n.address = false;
  auto c = read_settings("", flags, n, faults);
  if (!faults.empty())
    throw request_error(errc::invalid_settings, faults[0].key + ": " + faults[0].message);
  return c;
}

auto fleet::add(const std::string& kind, const std::string& name, const std::string& box, const std::string& zone)
    -> void {
  auto& m = network.machine_at(box, zone);
  m.sync_cost = shape.sync;
  m.sync_spike_share = shape.spikes;
  m.sync_spike = shape.spike;
  m.sync_blocks_process = shape.sync_blocks_process;
  auto p = std::make_unique<process>();
  p->kind = kind;
  p->name = name;
  p->machine = &m;
  p->settings = config_for(kind, name, zone, m);
  if (kind == "forager")
    gateway_addresses.push_back(p->settings.http_address);
  if (kind == "queen")
    control_addresses.push_back(p->settings.http_address);
  processes[name] = std::move(p);
}

auto fleet::add_storage_node() -> std::string {
  auto i = 1;
  while (processes.count("comb-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i);
  add("comb", "comb-" + n, "c" + n, "z" + std::to_string((i - 1) % shape.zones + 1));
  return "comb-" + n;
}

auto fleet::add_control_node() -> std::string {
  auto i = 1;
  while (processes.count("queen-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i);
  add("queen", "queen-" + n, "q" + n, "z" + std::to_string((i - 1) % shape.zones + 1));
  if (operator_calls)
    operator_calls->add_control_node(control_addresses.back());
  return "queen-" + n;
}

auto fleet::remove(const std::string& name) -> void {
  kill(name);
  lose_disk(name);
  processes.at(name)->removed = true;
}

auto fleet::relist(const std::string& gone, const std::string& came) -> void {
  auto was = processes.at(gone)->settings.address, is = processes.at(came)->settings.address;
  std::replace(seeds_.begin(), seeds_.end(), was, is);
  for (auto& [n, p] : processes)
    std::replace(p->settings.seeds.begin(), p->settings.seeds.end(), was, is);
}

auto fleet::add_gateway() -> std::string {
  auto i = 1;
  while (processes.count("forager-" + std::to_string(i)))
    ++i;
  auto n = std::to_string(i), z = "z" + std::to_string((i - 1) % shape.zones + 1);
  add("scout", "scout-" + n, "f" + n, z);
  add("forager", "forager-" + n, "f" + n, z);
  if (client_balancer)
    client_balancer->watch(gateway_addresses.back());
  return n;
}

auto fleet::start(const std::string& name) -> void {
  auto& p = *processes.at(name);
  if (p.up() || p.removed || !p.machine->powered)
    return;
  auto disk = p.kind == "queen" || p.kind == "comb";
  p.host = std::make_unique<sim_host>(network, *p.machine, disk, seed_ * 1000003 + ++births_);
  auto charged = heap_scope(network.metered ? p.host->heap_account : nullptr);
  if (p.kind == "queen")
    p.control = std::make_unique<control_node>(*p.host, p.settings);
  if (p.kind == "comb")
    p.storage = std::make_unique<storage_node>(*p.host, p.settings);
  if (p.kind == "scout")
    p.agent = std::make_unique<agent>(*p.host, p.settings);
  if (p.kind == "forager")
    p.gateway = std::make_unique<gateway>(*p.host, p.settings);
  p.test_tasks = std::make_unique<task_group>(*p.host);
}

auto fleet::kill(const std::string& name) -> void {
  auto& p = *processes.at(name);
  if (!p.up())
    return;
  p.test_tasks.reset();
  p.gateway.reset();
  p.agent.reset();
  p.storage.reset();
  p.control.reset();
  p.host.reset();
}

auto fleet::term(const std::string& name, monotonic_time grace) -> void {
  auto& p = *processes.at(name);
  if (!p.up())
    return;
  auto born = births_;
  p.test_tasks->spawn([](process& one, simulated_network& w, monotonic_time g, fleet& f, std::uint64_t) -> task<void> {
    auto end = one.host->now() + g;
    if (one.control)
      co_await one.control->leave(end);
    if (one.storage)
      co_await one.storage->leave(end);
    if (one.gateway)
      co_await one.gateway->leave(end);
    if (one.agent)
      co_await one.agent->leave(end);
    auto n = one.name;
    auto* host_now = one.host.get();
    w.schedule(w.clock + millisecond, [&f, n, host_now] {
      if (f.processes.at(n)->host.get() == host_now)
        f.kill(n);
    });
  }(p, network, grace, *this, born));
  auto* host_now = p.host.get();
  network.schedule(network.clock + grace + second, [this, name, host_now] {
    if (processes.at(name)->host.get() == host_now)
      kill(name);
  });
}

auto fleet::freeze(const std::string& name, bool on) -> void {
  if (auto& p = *processes.at(name); p.up())
    p.host->freeze(on);
}

auto fleet::power(const std::string& where, bool on) -> void {
  for (auto& [n, m] : network.machines) {
    if (n == "outside" || (n != where && m->zone != where && where != "all"))
      continue;
    m->powered = on;
  }
  for (auto& [n, p] : processes) {
    if (!p->machine->powered)
      kill(n);
    else if (on)
      start(n);
  }
}

auto fleet::lose_disk(const std::string& name) -> void {
  processes.at(name)->machine->durable.clear();
}

auto fleet::disk_of(const std::string& name, const std::string& key) const -> std::string {
  auto it = processes.find(name);
  if (it == processes.end())
    return {};
  auto row = it->second->machine->durable.find(key);
  return row == it->second->machine->durable.end() ? "" : get_string(decode_with_checksum(row->second), "id");
}

auto fleet::newest_view() const -> const cluster_view* {
  const auto* known = static_cast<const cluster_view*>(nullptr);
  for (const auto& [n, one] : processes)
    if (one->storage && (!known || one->storage->session.view.partitions_version > known->partitions_version))
      known = &one->storage->session.view;
  return known;
}

auto fleet::copies_on_disk(const partition_assignment& row) const -> std::int64_t {
  return std::count_if(row.in_sync_replicas.begin(), row.in_sync_replicas.end(), [&](auto& m) {
    return m == node_of_member(m) + "/" + disk_of(node_of_member(m), "B/disk");
  });
}

auto fleet::copies_are_sound() const -> bool {
  for (const auto& [n, one] : processes) {
    if (!one->storage)
      continue;
    auto now = one->storage->status();
    for (const auto& kv : get_value(now, "cells").as_object())
      if (get_bool(kv.value(), "broken"))
        return false;
  }
  return true;
}

auto fleet::survives_losses(std::int64_t losses) const -> bool {
  const auto* known = newest_view();
  if (!known || !known->configuration || known->partitions.empty() || !copies_are_sound())
    return false;
  return std::all_of(known->partitions.begin(), known->partitions.end(), [&](const auto& cell) {
    auto pool = known->configuration->pools.find(cell.first.substr(0, cell.first.find('/')));
    auto keeps = pool != known->configuration->pools.end() && pool->second.keep_ms > 0;
    return !keeps || copies_on_disk(cell.second) > losses;
  });
}

auto fleet::in_step(const std::string& cell) const -> std::vector<std::string> {
  const auto* known = newest_view();
  if (!known)
    return {};
  auto row = known->partitions.find(cell);
  if (row == known->partitions.end())
    return {};
  auto out = std::vector<std::string>{node_of_member(row->second.primary)};
  for (const auto& m : row->second.in_sync_replicas)
    if (m != row->second.primary)
      out.push_back(node_of_member(m));
  return out;
}

auto fleet::survives_disk_loss(const std::string& name) const -> bool {
  const auto& p = *processes.at(name);
  if (network.clock - flipped_ < 30 * second)
    return false;
  if (p.kind == "queen") {
    auto lead = leader();
    if (lead.empty())
      return false;
    auto now = processes.at(lead)->control->status();
    // The voters that it names count once a majority has agreed on them.
    if (get_bool(get_value(now, "ledger"), "changing"))
      return false;
    auto seated = 0;
    for (const auto& v : get_array(get_value(now, "ledger"), "voters"))
      for (const auto& [n, one] : processes)
        if (one->kind == "queen" && one->settings.address == get_string(v, "addr") && one->up())
          seated += disk_of(n, "L/meta") == get_string(v, "id");
    return seated == shape.control_nodes;
  }
  if (p.kind != "comb")
    return true;
  const auto* known = newest_view();
  if (!known || known->partitions.empty() || !copies_are_sound())
    return false;
  return std::all_of(known->partitions.begin(), known->partitions.end(), [&](const auto& cell) {
    return copies_on_disk(cell.second) >= 2;
  });
}

auto fleet::flip_bits(const std::string& name, int n) -> void {
  auto& d = processes.at(name)->machine->durable;
  flipped_ = network.clock;
  for (auto i = 0; i < n; ++i) {
    auto rows = std::vector<std::string>();
    for (auto& [k, v] : d)
      if (k.compare(0, 2, "C/") == 0 && !v.empty())
        rows.push_back(k);
    if (rows.empty())
      return;
    auto& v = d[rows[network.random_engine() % rows.size()]];
    auto bit = network.random_engine() % (v.size() * 8);
    v[bit / 8] = static_cast<char>(v[bit / 8] ^ (1 << (bit % 8)));
  }
}

auto fleet::control_nodes_with(const std::string& body) const -> int {
  auto stored =
      configuration_record::from_compiled(compile_configuration(body))->deflated_rules();  // as the log has it
  auto n = 0;
  for (const auto& [name, p] : processes)
    if (p->kind == "queen")
      n += std::any_of(p->machine->durable.begin(), p->machine->durable.end(), [&](const auto& kv) {
        return kv.second.find(stored) != std::string::npos;
      });
  return n;
}
auto fleet::behind(std::int64_t n) const -> std::string {
  for (const auto& [name, p] : processes)
    if (p->gateway && p->gateway->is_serving() && p->gateway->session.view.configuration->number < n)
      return name;
  return {};
}

auto fleet::lagging(std::int64_t n) const -> std::string {
  for (const auto& [name, p] : processes) {
    auto held = configuration_ptr();
    if (p->control)
      held = p->control->state.configuration;
    if (p->storage)
      held = p->storage->session.view.configuration;
    if (p->agent)
      held = p->agent->session.view.configuration;
    if (p->gateway)
      held = p->gateway->session.view.configuration;
    if (p->up() && (!held || held->number < n))
      return name;
  }
  return {};
}

auto fleet::primary_of(const std::string& cell) const -> std::string {
  for (const auto& [n, p] : processes)
    if (p->storage)
      if (const auto* c = p->storage->held_partition(cell); c && c->is_primary())
        return n;
  return {};
}
auto fleet::backup_of(const std::string& cell) const -> std::string {
  for (const auto& [n, p] : processes)
    if (p->storage)
      if (const auto* c = p->storage->held_partition(cell); c && c->is_primary())
        return node_of_member(get_string_or(c->status(), "back"));
  return {};
}
auto fleet::busiest() const -> std::string {
  auto best = std::string();
  auto most = std::int64_t{-1};
  for (const auto& [n, p] : processes)
    if (p->storage && !p->host->frozen) {
      auto use = std::int64_t{0};
      auto now = p->storage->status();
      for (const auto& kv : get_value(now, "cells").as_object())
        use += get_string_or(kv.value(), "role") == "primary";
      if (use > most) {
        most = use;
        best = n;
      }
    }
  return best;
}
auto fleet::leader() const -> std::string {
  for (const auto& [n, p] : processes)
    if (p->control && p->control->leads())
      return n;
  return {};
}
auto fleet::change_setting(const std::string& name, const std::string& key, const std::string& value) -> bool {
  auto& p = *processes.at(name);
  auto was = shape.settings;
  shape.settings[key] = value;
  auto ok = true;
  try {
    p.settings = config_for(p.kind, name, p.machine->zone, *p.machine);
  } catch (const request_error&) {
    ok = false;
  }
  shape.settings = was;
  if (!ok || !p.up())
    return ok;
  if (p.control)
    p.control->reload(p.settings);
  if (p.storage)
    p.storage->reload(p.settings);
  if (p.agent)
    p.agent->reload(p.settings);
  if (p.gateway)
    p.gateway->reload(p.settings);
  return ok;
}

auto fleet::save_disks(const std::string& file) const -> void {
  auto all_disks = object();
  for (const auto& [n, m] : network.machines) {
    auto rows = object();
    for (const auto& [k, v] : m->durable) {
      auto hex = std::string();
      for (auto ch : v) {
        hex += "0123456789abcdef"[static_cast<unsigned char>(ch) >> 4];
        hex += "0123456789abcdef"[static_cast<unsigned char>(ch) & 15];
      }
      rows[k] = hex;
    }
    if (!rows.empty())
      all_disks[n] = rows;
  }
  std::ofstream(file) << to_json(all_disks) << '\n';
}

auto fleet::load_disks(const std::string& file) -> void {
  auto in = std::ifstream(file);
  auto os = std::ostringstream();
  os << in.rdbuf();
  auto t = boost::json::parse(os.str());
  for (const auto& kv : t.as_object()) {
    auto& d = network.machines.at(std::string(kv.key()))->durable;
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
  for (const auto& [n, p] : processes)
    if (n == what || p->kind == what || p->machine->zone == what || what == "all" || p->machine->name == what)
      out.push_back(n);
  return out;
}

auto fleet::operate(std::function<task<void>(operator_client&)> fn) -> void {
  ++operating;
  operator_tasks->spawn([](fleet& f, std::function<task<void>(operator_client&)> run) -> task<void> {
    co_await run(*f.operator_calls);
    --f.operating;
  }(*this, std::move(fn)));
}

auto fleet::next_configuration() -> std::string {
  return probe_configuration(++configuration_number, shape.all_spaces());
}

auto fleet::begin() -> bool {
  for (auto& [n, p] : processes)
    start(n);
  client_balancer = std::make_unique<balancer>(*outside, gateway_addresses);
  operator_calls = std::make_unique<operator_client>(*outside, control_addresses, gateway_addresses, observed);
  auto spaces = boost::json::parse("[" + shape.spaces() + "]");
  for (const auto& s : spaces.as_array())
    observed.note(*outside, object{{"e", "space"}, {"name", get_value(s, "name")}, {"keep_s", get_value(s, "keep_s")}});
  // A lease given by an older configuration, at the latest by a leader that has just lost its majority.
  const auto& any = processes.begin()->second->settings;
  observed.note(*outside,
                object{{"e", "apply"}, {"ms", (any.lease_duration + any.leader_contact_limit()) / millisecond}});
  for (const auto& [name, ms] : shape.budgets)
    observed.note(*outside, object{{"e", "budget"}, {"space", name}, {"ms", ms}});
  auto ok = std::make_shared<bool>(false);
  auto body = next_configuration();
  operate([ok, body](operator_client& k) -> task<void> {
    for (auto i = 0; i < 40 && !*ok; ++i)
      *ok = co_await k.put(1, body);
    if (*ok)
      *ok = co_await k.await_held(1, 60 * second);
  });
  auto end = network.clock + 60 * second;
  while (operating && network.clock < end)
    network.run(network.clock + 100 * millisecond);
  if (!*ok)
    return false;
  // Partitions must stand before clients are judged by time.
  auto topics = std::vector<std::string>();
  for (auto i = 1; i <= shape.topics; ++i)
    topics.push_back((i % 2 ? "alerts/t" : "lookups/t") + std::to_string(i));
  for (auto i = 1; i <= shape.clients; ++i) {
    auto p = client::plan();
    p.name = "caller-" + std::to_string(i);
    for (auto k = 0; k < 3; ++k) {
      auto t = topics[static_cast<std::size_t>((i * 3 + k * 2) % shape.topics)];
      if (std::find(p.subscribed_topics.begin(), p.subscribed_topics.end(), t) == p.subscribed_topics.end())
        p.subscribed_topics.push_back(t);
    }
    p.published_topics = {topics[static_cast<std::size_t>(i % shape.topics)],
                          topics[static_cast<std::size_t>((i * 5 + 1) % shape.topics)]};
    p.every = shape.every;
    p.pipe = static_cast<int>(shape.pipeline);
    p.drop = shape.drop;
    p.echo = shape.echo;
    clients.push_back(std::make_unique<client>(*outside, *client_balancer, observed, p));
  }
  network.run(network.clock + 3 * second);
  if (operator_polls)
    operator_tasks->spawn(operator_calls->poll_continuously([this] {
      return configuration_number;
    }));
  return true;
}

auto fleet::reset_links(double share) -> void {
  for (auto& c : clients)
    if (std::uniform_real_distribution<>(0, 1)(network.random_engine) < share)
      c->reset();
}

auto fleet::finish(monotonic_time quiet) -> void {
  for (auto& c : clients)
    c->stop_publishing();
  network.run(network.clock + quiet);
  auto ok = std::make_shared<bool>(false);
  auto due = network.clock + 20 * second;
  auto from = std::vector<std::string>();
  for (auto& n : names("queen"))
    if (processes.at(n)->up())
      from.push_back(processes.at(n)->settings.http_address);
  operate([ok, from, due](operator_client& k) -> task<void> {
    *ok = co_await k.read_all(from, due);
  });
  while (operating && network.clock < due + 10 * second)
    network.run(network.clock + 100 * millisecond);
  if (!*ok)
    observed.note(*outside, object{{"e", "newest"}, {"number", 0}, {"t0", network.clock / millisecond}});
  observed.note(*outside, object{{"e", "end"}, {"quiet", quiet / millisecond}});
}

}  // namespace reachridge
