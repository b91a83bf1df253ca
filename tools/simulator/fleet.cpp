#include "simulator/fleet.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

monotonic_time* log_clock = nullptr;

}  // namespace

auto fleet_shape::spaces() const -> std::string {
  auto partition_count = std::to_string(partitions);
  return R"({"name":"alerts","keep_s":)" + std::to_string(keep) + R"(,"urgency":9,"cells":)" + partition_count +
         R"(},{"name":"lookups","keep_s":)" + std::to_string(keep_low) + R"(,"urgency":1,"cells":)" + partition_count +
         "}";
}
auto fleet_shape::all_spaces() const -> std::string {
  auto spaces_text = spaces();
  for (auto i = 0; i < extra_spaces; ++i) {
    auto name = "extra-" + std::to_string(i);
    spaces_text += R"(,{"name":")" + name + R"(","prefix":"kafi810-)" + name + R"(.","pool":"alerts","keep_s":)" +
                   std::to_string(keep) + R"(,"urgency":1,"cells":)" + std::to_string(partitions) +
                   R"(,"order":"topic",)" + R"("timeout_ms":1500,"aim_ms":150})";
  }
  return spaces_text;
}

fleet::fleet(std::uint64_t seed, fleet_shape initial_shape)
    : network(seed), shape(std::move(initial_shape)), seed_(seed) {
  log_clock = &network.clock;
  set_log_clock([] {
    return log_clock ? 1700000000000 + *log_clock / millisecond : 0;
  });
  network.packet_loss = shape.loss;
  auto& outside_machine = network.machine_at("outside", "out");
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
  outside = std::make_unique<sim_host>(network, outside_machine, false, seed_ * 7919 + 13);
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
  log_clock = nullptr;
}

auto fleet::settings_for(const std::string& kind, const std::string& name, const std::string& zone,
                         const machine& own_machine) const -> settings {
  auto values = shape.settings;
  values["name"] = name;
  values["zone"] = zone;
  values["seeds"] = seeds_[0] + "," + seeds_[1] + "," + seeds_[2];
  if (kind == "queen" || kind == "comb")
    values["addr"] = own_machine.ip + ":7000";
  if (kind == "queen")
    values["reserve"] = own_machine.ip + ":7002";
  if (kind != "scout")
    values["web"] = own_machine.ip + ":8000";
  if (kind == "scout" || kind == "forager")
    values["feed"] = own_machine.ip + ":7001";
  auto errors = std::vector<setting_error>();
  auto required = required_settings();
  required.address = false;
  auto result = read_settings("", values, required, errors);
  if (!errors.empty())
    throw request_error(errc::invalid_settings, errors[0].key + ": " + errors[0].message);
  return result;
}

auto fleet::add(const std::string& kind, const std::string& name, const std::string& machine_name,
                const std::string& zone) -> void {
  auto& own_machine = network.machine_at(machine_name, zone);
  own_machine.sync_cost = shape.sync;
  own_machine.sync_spike_share = shape.spikes;
  own_machine.sync_spike = shape.spike;
  own_machine.sync_blocks_process = shape.sync_blocks_process;
  auto node = std::make_unique<process>();
  node->kind = kind;
  node->name = name;
  node->machine = &own_machine;
  node->settings = settings_for(kind, name, zone, own_machine);
  if (kind == "forager")
    gateway_addresses.push_back(node->settings.http_address);
  if (kind == "queen")
    control_addresses.push_back(node->settings.http_address);
  processes[name] = std::move(node);
}

auto fleet::add_storage_node() -> std::string {
  auto number = 1;
  while (processes.count("comb-" + std::to_string(number)))
    ++number;
  auto number_text = std::to_string(number);
  add("comb", "comb-" + number_text, "c" + number_text, "z" + std::to_string((number - 1) % shape.zones + 1));
  return "comb-" + number_text;
}

auto fleet::add_control_node() -> std::string {
  auto number = 1;
  while (processes.count("queen-" + std::to_string(number)))
    ++number;
  auto number_text = std::to_string(number);
  add("queen", "queen-" + number_text, "q" + number_text, "z" + std::to_string((number - 1) % shape.zones + 1));
  if (operator_calls)
    operator_calls->add_control_node(control_addresses.back());
  return "queen-" + number_text;
}

auto fleet::remove(const std::string& name) -> void {
  kill(name);
  lose_disk(name);
  processes.at(name)->removed = true;
}

auto fleet::relist(const std::string& removed, const std::string& added) -> void {
  auto old_address = processes.at(removed)->settings.address, new_address = processes.at(added)->settings.address;
  std::replace(seeds_.begin(), seeds_.end(), old_address, new_address);
  for (auto& [name, node] : processes)
    std::replace(node->settings.seeds.begin(), node->settings.seeds.end(), old_address, new_address);
}

auto fleet::add_gateway() -> std::string {
  auto number = 1;
  while (processes.count("forager-" + std::to_string(number)))
    ++number;
  auto number_text = std::to_string(number), zone = "z" + std::to_string((number - 1) % shape.zones + 1);
  add("scout", "scout-" + number_text, "f" + number_text, zone);
  add("forager", "forager-" + number_text, "f" + number_text, zone);
  if (client_balancer)
    client_balancer->watch(gateway_addresses.back());
  return number_text;
}

auto fleet::start_control(process& node) -> void {
  node.control = std::make_unique<control_node>(*node.host, node.settings);
  node.reserve = std::make_unique<reserve_storage>(*node.host, node.settings, *node.control);
}

auto fleet::start(const std::string& name) -> void {
  auto& node = *processes.at(name);
  if (node.up() || node.removed || !node.machine->powered)
    return;
  auto has_disk = node.kind == "queen" || node.kind == "comb";
  node.host = std::make_unique<sim_host>(network, *node.machine, has_disk, seed_ * 1000003 + ++process_starts_);
  auto heap_charge = heap_scope(network.metered ? node.host->heap_account : nullptr);
  if (node.kind == "queen")
    start_control(node);
  if (node.kind == "comb")
    node.storage = std::make_unique<storage_node>(*node.host, node.settings);
  if (node.kind == "scout")
    node.agent = std::make_unique<agent>(*node.host, node.settings);
  if (node.kind == "forager")
    node.gateway = std::make_unique<gateway>(*node.host, node.settings);
  node.test_tasks = std::make_unique<task_group>(*node.host);
}

auto fleet::kill(const std::string& name) -> void {
  auto& node = *processes.at(name);
  if (!node.up())
    return;
  node.test_tasks.reset();
  node.gateway.reset();
  node.agent.reset();
  node.storage.reset();
  node.reserve.reset();
  node.control.reset();
  node.host.reset();
}

auto fleet::term(const std::string& name, monotonic_time grace) -> void {
  auto& node = *processes.at(name);
  if (!node.up())
    return;
  auto start_number = process_starts_;
  node.test_tasks->spawn([](process& stopping, simulated_network& simulated, monotonic_time grace_period, fleet& owner,
                            std::uint64_t) -> task<void> {
    auto deadline = stopping.host->now() + grace_period;
    if (stopping.reserve)
      co_await stopping.reserve->leave(stopping.host->now() + grace_period / 2);
    if (stopping.control)
      co_await stopping.control->leave(deadline);
    if (stopping.storage)
      co_await stopping.storage->leave(deadline);
    if (stopping.gateway)
      co_await stopping.gateway->leave(deadline);
    if (stopping.agent)
      co_await stopping.agent->leave(deadline);
    auto node_name = stopping.name;
    auto* current_host = stopping.host.get();
    simulated.schedule(simulated.clock + millisecond, [&owner, node_name, current_host] {
      if (owner.processes.at(node_name)->host.get() == current_host)
        owner.kill(node_name);
    });
  }(node, network, grace, *this, start_number));
  auto* current_host = node.host.get();
  network.schedule(network.clock + grace + second, [this, name, current_host] {
    if (processes.at(name)->host.get() == current_host)
      kill(name);
  });
}

auto fleet::freeze(const std::string& name, bool frozen) -> void {
  if (auto& node = *processes.at(name); node.up())
    node.host->freeze(frozen);
}

auto fleet::power(const std::string& machine_or_zone, bool on) -> void {
  for (auto& [name, host_machine] : network.machines) {
    if (name == "outside" ||
        (name != machine_or_zone && host_machine->zone != machine_or_zone && machine_or_zone != "all"))
      continue;
    host_machine->powered = on;
  }
  for (auto& [name, node] : processes) {
    if (!node->machine->powered)
      kill(name);
    else if (on)
      start(name);
  }
}

auto fleet::lose_disk(const std::string& name) -> void {
  processes.at(name)->machine->durable.clear();
}

auto fleet::disk_id_of(const std::string& name, const std::string& key) const -> std::string {
  auto node = processes.find(name);
  if (node == processes.end())
    return {};
  auto row = node->second->machine->durable.find(key);
  return row == node->second->machine->durable.end() ? "" : get_string(decode_with_checksum(row->second), "id");
}

auto fleet::newest_view() const -> const cluster_view* {
  const auto* newest = static_cast<const cluster_view*>(nullptr);
  for (const auto& [name, node] : processes)
    if (node->storage && (!newest || node->storage->session.view.partitions_version > newest->partitions_version))
      newest = &node->storage->session.view;
  return newest;
}

auto fleet::replicas_on_disk(const partition_assignment& assignment) const -> std::int64_t {
  return std::count_if(assignment.in_sync_replicas.begin(), assignment.in_sync_replicas.end(), [&](auto& member) {
    auto node = node_of_member(member);
    auto is_reserve = node.starts_with("queen");
    return member == make_member_id(node, disk_id_of(node, is_reserve ? "L/meta" : "B/disk"));
  });
}

auto fleet::replicas_are_undamaged() const -> bool {
  for (const auto& [name, node] : processes) {
    if (!node->storage)
      continue;
    auto status = node->storage->status();
    for (const auto& replica : get_value(status, "cells").as_object())
      if (get_bool(replica.value(), "broken"))
        return false;
  }
  return true;
}

auto fleet::survives_disk_losses(std::int64_t losses) const -> bool {
  const auto* view = newest_view();
  if (!view || !view->configuration || view->partitions.empty() || !replicas_are_undamaged())
    return false;
  return std::all_of(view->partitions.begin(), view->partitions.end(), [&](const auto& partition) {
    auto pool = view->configuration->pools.find(partition.first.substr(0, partition.first.find('/')));
    auto has_retention = pool != view->configuration->pools.end() && pool->second.keep_ms > 0;
    return !has_retention || replicas_on_disk(partition.second) > losses;
  });
}

auto fleet::in_sync_nodes(const std::string& partition) const -> std::vector<std::string> {
  const auto* view = newest_view();
  if (!view)
    return {};
  auto assignment = view->partitions.find(partition);
  if (assignment == view->partitions.end())
    return {};
  auto nodes = std::vector<std::string>{node_of_member(assignment->second.primary)};
  for (const auto& member : assignment->second.in_sync_replicas)
    if (member != assignment->second.primary)
      nodes.push_back(node_of_member(member));
  return nodes;
}

auto fleet::survives_disk_loss(const std::string& name) const -> bool {
  const auto& node = *processes.at(name);
  if (network.clock - last_bit_flip_ < 30 * second)
    return false;
  if (node.kind == "queen") {
    auto leader_name = leader();
    if (leader_name.empty())
      return false;
    auto status = processes.at(leader_name)->control->status();
    // The leader's list of voters is reliable only after it has been committed.
    if (get_bool(get_value(status, "ledger"), "changing"))
      return false;
    auto voters_with_disk = 0;
    for (const auto& voter : get_array(get_value(status, "ledger"), "voters"))
      for (const auto& [other_name, other] : processes)
        if (other->kind == "queen" && other->settings.address == get_string(voter, "addr") && other->up())
          voters_with_disk += disk_id_of(other_name, "L/meta") == get_string(voter, "id");
    return voters_with_disk == shape.control_nodes;
  }
  if (node.kind != "comb")
    return true;
  const auto* view = newest_view();
  if (!view || view->partitions.empty() || !replicas_are_undamaged())
    return false;
  return std::all_of(view->partitions.begin(), view->partitions.end(), [&](const auto& partition) {
    return replicas_on_disk(partition.second) >= 2;
  });
}

auto fleet::flip_bits(const std::string& name, int bit_count) -> void {
  auto& disk = processes.at(name)->machine->durable;
  last_bit_flip_ = network.clock;
  for (auto i = 0; i < bit_count; ++i) {
    auto rows = std::vector<std::string>();
    for (auto& [key, content] : disk)
      if (key.compare(0, 2, "C/") == 0 && !content.empty())
        rows.push_back(key);
    if (rows.empty())
      return;
    auto& content = disk[rows[network.random_engine() % rows.size()]];
    auto bit = network.random_engine() % (content.size() * 8);
    content[bit / 8] = static_cast<char>(content[bit / 8] ^ (1 << (bit % 8)));
  }
}

auto fleet::control_nodes_with(const std::string& body) const -> int {
  // The replicated log stores the rules compressed.
  auto stored_rules = configuration_record::from_compiled(compile_configuration(body))->deflated_rules();
  auto count = 0;
  for (const auto& [name, node] : processes)
    if (node->kind == "queen")
      count += std::any_of(node->machine->durable.begin(), node->machine->durable.end(), [&](const auto& row) {
        return row.second.find(stored_rules) != std::string::npos;
      });
  return count;
}
auto fleet::gateway_with_older_configuration(std::int64_t number) const -> std::string {
  for (const auto& [name, node] : processes)
    if (node->gateway && node->gateway->is_serving() && node->gateway->session.view.configuration->number < number)
      return name;
  return {};
}

auto fleet::process_with_older_configuration(std::int64_t number) const -> std::string {
  for (const auto& [name, node] : processes) {
    auto configuration = configuration_ptr();
    if (node->control)
      configuration = node->control->state.configuration;
    if (node->storage)
      configuration = node->storage->session.view.configuration;
    if (node->agent)
      configuration = node->agent->session.view.configuration;
    if (node->gateway)
      configuration = node->gateway->session.view.configuration;
    if (node->up() && (!configuration || configuration->number < number))
      return name;
  }
  return {};
}

auto fleet::primary_of(const std::string& partition) const -> std::string {
  for (const auto& [name, node] : processes)
    if (node->storage)
      if (const auto* replica = node->storage->held_partition(partition); replica && replica->is_primary())
        return name;
  return {};
}
auto fleet::backup_of(const std::string& partition) const -> std::string {
  for (const auto& [name, node] : processes)
    if (node->storage)
      if (const auto* replica = node->storage->held_partition(partition); replica && replica->is_primary())
        return node_of_member(get_string_or(replica->status(), "back"));
  return {};
}
auto fleet::busiest() const -> std::string {
  auto busiest_name = std::string();
  auto max_primaries = std::int64_t{-1};
  for (const auto& [name, node] : processes)
    if (node->storage && !node->host->frozen) {
      auto primaries = std::int64_t{0};
      auto status = node->storage->status();
      for (const auto& replica : get_value(status, "cells").as_object())
        primaries += get_string_or(replica.value(), "role") == "primary";
      if (primaries > max_primaries) {
        max_primaries = primaries;
        busiest_name = name;
      }
    }
  return busiest_name;
}
auto fleet::leader() const -> std::string {
  for (const auto& [name, node] : processes)
    if (node->control && node->control->leads())
      return name;
  return {};
}
auto fleet::change_setting(const std::string& name, const std::string& key, const std::string& value) -> bool {
  auto& node = *processes.at(name);
  auto previous_settings = shape.settings;
  shape.settings[key] = value;
  auto is_valid = true;
  try {
    node.settings = settings_for(node.kind, name, node.machine->zone, *node.machine);
  } catch (const request_error&) {
    is_valid = false;
  }
  shape.settings = previous_settings;
  if (!is_valid || !node.up())
    return is_valid;
  if (node.control)
    node.control->reload(node.settings);
  if (node.storage)
    node.storage->reload(node.settings);
  if (node.agent)
    node.agent->reload(node.settings);
  if (node.gateway)
    node.gateway->reload(node.settings);
  return is_valid;
}

auto fleet::save_disks(const std::string& file) const -> void {
  auto all_disks = object();
  for (const auto& [machine_name, saved_machine] : network.machines) {
    auto rows = object();
    for (const auto& [key, content] : saved_machine->durable) {
      auto hex = std::string();
      for (auto byte : content) {
        hex += "0123456789abcdef"[static_cast<unsigned char>(byte) >> 4];
        hex += "0123456789abcdef"[static_cast<unsigned char>(byte) & 15];
      }
      rows[key] = hex;
    }
    if (!rows.empty())
      all_disks[machine_name] = rows;
  }
  std::ofstream(file) << to_json(all_disks) << '\n';
}

auto fleet::load_disks(const std::string& file) -> void {
  auto in = std::ifstream(file);
  auto text = std::ostringstream();
  text << in.rdbuf();
  auto all_disks = boost::json::parse(text.str());
  for (const auto& disk_rows : all_disks.as_object()) {
    auto& disk = network.machines.at(std::string(disk_rows.key()))->durable;
    disk.clear();
    for (const auto& row : disk_rows.value().as_object()) {
      auto hex = std::string(row.value().as_string());
      auto content = std::string();
      for (auto i = std::size_t{0}; i + 1 < hex.size(); i += 2)
        content += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
      disk[std::string(row.key())] = content;
    }
  }
}

auto fleet::names(const std::string& selector) const -> std::vector<std::string> {
  auto out = std::vector<std::string>();
  for (const auto& [name, node] : processes)
    if (name == selector || node->kind == selector || node->machine->zone == selector || selector == "all" ||
        node->machine->name == selector)
      out.push_back(name);
  return out;
}

auto fleet::operate(std::function<task<void>(operator_client&)> run) -> void {
  ++operating;
  operator_tasks->spawn([](fleet& owner, std::function<task<void>(operator_client&)> run_task) -> task<void> {
    co_await run_task(*owner.operator_calls);
    --owner.operating;
  }(*this, std::move(run)));
}

auto fleet::next_configuration() -> std::string {
  return probe_configuration(++configuration_number, shape.all_spaces());
}

auto fleet::begin() -> bool {
  for (auto& [name, node] : processes)
    start(name);
  client_balancer = std::make_unique<balancer>(*outside, gateway_addresses);
  operator_calls = std::make_unique<operator_client>(*outside, control_addresses, gateway_addresses, observed);
  auto spaces = boost::json::parse("[" + shape.spaces() + "]");
  for (const auto& space : spaces.as_array())
    observed.note(*outside,
                  object{{"e", "space"}, {"name", get_value(space, "name")}, {"keep_s", get_value(space, "keep_s")}});
  // An older configuration applies at most until the end of a lease that a leader grants just before it notices the
  // loss of its majority.
  const auto& any_settings = processes.begin()->second->settings;
  observed.note(*outside,
                object{{"e", "apply"},
                       {"ms", (any_settings.lease_duration + any_settings.leader_contact_limit()) / millisecond}});
  for (const auto& [name, limit_ms] : shape.budgets)
    observed.note(*outside, object{{"e", "budget"}, {"space", name}, {"ms", limit_ms}});
  auto is_in_force = std::make_shared<bool>(false);
  auto body = next_configuration();
  operate([is_in_force, body](operator_client& operations) -> task<void> {
    for (auto i = 0; i < 40 && !*is_in_force; ++i)
      *is_in_force = co_await operations.put(1, body);
    if (*is_in_force)
      *is_in_force = co_await operations.await_in_force(1, 60 * second);
  });
  auto deadline = network.clock + 60 * second;
  while (operating && network.clock < deadline)
    network.run(network.clock + 100 * millisecond);
  if (!*is_in_force)
    return false;
  // Partitions must serve before the latency checks of clients apply.
  auto topics = std::vector<std::string>();
  for (auto i = 1; i <= shape.topics; ++i)
    topics.push_back((i % 2 ? "alerts/t" : "lookups/t") + std::to_string(i));
  for (auto i = 1; i <= shape.clients; ++i) {
    auto plan = client::plan();
    plan.name = "caller-" + std::to_string(i);
    for (auto subscription = 0; subscription < 3; ++subscription) {
      auto topic = topics[static_cast<std::size_t>((i * 3 + subscription * 2) % shape.topics)];
      if (std::find(plan.subscribed_topics.begin(), plan.subscribed_topics.end(), topic) ==
          plan.subscribed_topics.end())
        plan.subscribed_topics.push_back(topic);
    }
    plan.published_topics = {topics[static_cast<std::size_t>(i % shape.topics)],
                             topics[static_cast<std::size_t>((i * 5 + 1) % shape.topics)]};
    plan.every = shape.every;
    plan.pipe = static_cast<int>(shape.pipeline);
    plan.drop = shape.drop;
    plan.echo = shape.echo;
    clients.push_back(std::make_unique<client>(*outside, *client_balancer, observed, plan));
  }
  network.run(network.clock + 3 * second);
  if (operator_polls)
    operator_tasks->spawn(operator_calls->poll_continuously([this] {
      return configuration_number;
    }));
  return true;
}

auto fleet::reset_client_connections(double share) -> void {
  for (auto& connected_client : clients)
    if (std::uniform_real_distribution<>(0, 1)(network.random_engine) < share)
      connected_client->reset();
}

auto fleet::finish(monotonic_time quiet) -> void {
  for (auto& running_client : clients)
    running_client->stop_publishing();
  network.run(network.clock + quiet);
  auto is_read_back = std::make_shared<bool>(false);
  auto deadline = network.clock + 20 * second;
  auto from = std::vector<std::string>();
  for (auto& name : names("queen"))
    if (processes.at(name)->up())
      from.push_back(processes.at(name)->settings.http_address);
  operate([is_read_back, from, deadline](operator_client& operations) -> task<void> {
    *is_read_back = co_await operations.read_all(from, deadline);
  });
  while (operating && network.clock < deadline + 10 * second)
    network.run(network.clock + 100 * millisecond);
  if (!*is_read_back)
    observed.note(*outside, object{{"e", "newest"}, {"number", 0}, {"t0", network.clock / millisecond}});
  observed.note(*outside, object{{"e", "end"}, {"quiet", quiet / millisecond}});
}

}  // namespace reachridge
