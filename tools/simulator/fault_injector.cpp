#include "simulator/fault_injector.hpp"

#include <algorithm>
#include <utility>

#include "runtime/log.hpp"
#include "simulator/scenario_reader.hpp"

namespace reachridge {
namespace {

constexpr auto restart_interval = 8 * second;  // between the stops of two nodes if the scenario has no duration
constexpr auto restart_downtime = 6 * second;
constexpr auto restart_grace = 4 * second;   // from SIGTERM to SIGKILL
constexpr auto drain_timeout = 30 * second;  // time that an operator waits for a drain
constexpr auto random_drain_timeout = 120 * second;
constexpr auto least_storage_nodes_to_drain = std::size_t{5};  // a random drain requires this many
// From the start of a replacement control node to its entry in the seed list.
constexpr auto seed_list_delay = 3 * second;
constexpr auto probed_configurations = std::int64_t{5};

}  // namespace

auto fault_injector::commands() -> const std::map<std::string, command>& {
  using self = fault_injector;
  static const auto all = std::map<std::string, command>{
      {"kill", {1, &self::kill}},
      {"start", {1, &self::start}},
      {"terminate", {1, &self::terminate}},
      {"rolling_restart", {1, &self::rolling_restart}},
      {"freeze", {1, &self::freeze}},
      {"change_setting", {3, &self::change_setting}},
      {"power_off", {1, &self::power_off}},
      {"slow_down", {2, &self::slow_down}},
      {"step_clock", {2, &self::step_clock}},
      {"add_storage_node", {0, &self::add_storage_node}},
      {"add_gateway", {0, &self::add_gateway}},
      {"replace", {1, &self::replace}},
      {"lose_disk", {1, &self::lose_disk}},
      {"lose_spare_disk", {1, &self::lose_spare_disk}},
      {"lose_disks", {2, &self::lose_disks_and_power}},
      {"flip_bits", {2, &self::flip_bits}},
      {"flip_spare_bits", {2, &self::flip_spare_bits}},
      {"fill_disk", {1, &self::fill_disk}},
      {"cut", {2, &self::cut}},
      {"cut_one_way", {2, &self::cut}},
      {"cut_refusing", {2, &self::cut}},
      {"isolate", {1, &self::isolate}},
      {"reset_connections", {1, &self::reset_connections}},
      {"lose_packets", {1, &self::lose_packets}},
      {"configure", {0, &self::configure}},
      {"configure_stale", {0, &self::configure}},
      {"configure_invalid", {0, &self::configure}},
      {"configure_race", {0, &self::configure}},
      {"configure_often", {2, &self::configure_often}},
      {"probe", {0, &self::probe_recent_configurations}},
      {"order", {2, &self::order_once}},
      {"drain", {2, &self::drain}},
      {"drain_any", {0, &self::drain_any_storage_node}},
      {"evacuate_zone", {1, &self::evacuate_zone}},
      {"retire_and_lose", {2, &self::retire_and_lose_disk}},
  };
  return all;
}

auto fault_arguments(const std::string& command) -> std::optional<std::size_t> {
  auto found = fault_injector::commands().find(command);
  if (found == fault_injector::commands().end())
    return {};
  return found->second.arguments;
}

auto fault_injector::inject(const scheduled_fault& fault) -> void {
  ++counts_[fault.verb];
  auto text = fault.verb;
  for (auto i = std::size_t{0}; i < fault.args.size() && i < 2; ++i)
    text += " " + fault.args[i];
  log(log_level::info, "scenario", text);
  (this->*commands().at(fault.verb).run)(fault);
}

auto fault_injector::on_fault_started() -> void {
  if (active_fault_count_++ == 0)
    fleet_.observed.note(*fleet_.outside, object{{"e", "hurt"}});
}

auto fault_injector::on_fault_ended() -> void {
  if (active_fault_count_ > 0 && --active_fault_count_ == 0)
    fleet_.observed.note(*fleet_.outside, object{{"e", "mend"}});
}

auto fault_injector::end_after(monotonic_time duration, std::function<void()> end) -> void {
  on_fault_started();
  if (duration <= 0)
    return;
  fleet_.network.schedule(fleet_.network.clock + duration, [this, end = std::move(end)] {
    end();
    on_fault_ended();
  });
}

// Processes.

auto fault_injector::kill(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    fleet_.kill(node);
    end_after(fault.duration, [this, node] {
      fleet_.start(node);
    });
  }
}

auto fault_injector::start(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    fleet_.start(node);
    on_fault_ended();
  }
}

// Sends SIGTERM, then SIGKILL after a random time from one to five seconds.
auto fault_injector::terminate(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto grace = second + static_cast<monotonic_time>(fleet_.network.random_engine() % (4 * second));
    fleet_.term(node, grace);
    end_after(fault.duration, [this, node] {
      fleet_.start(node);
    });
  }
}

// Restarts the nodes one after another at the platform's pace: SIGTERM, SIGKILL after the grace period, start, next
// node.
auto fault_injector::rolling_restart(const scheduled_fault& fault) -> void {
  auto nodes = selected_nodes(fault.args[0]);
  if (nodes.empty())
    return;
  auto& network = fleet_.network;
  auto interval = fault.duration ? fault.duration : restart_interval;
  auto at = network.clock;
  for (const auto& node : nodes) {
    network.schedule(at, [this, node] {
      fleet_.term(node, restart_grace);
    });
    network.schedule(at + restart_downtime, [this, node] {
      fleet_.start(node);
    });
    at += interval;
  }
  auto last_stop = static_cast<monotonic_time>(nodes.size() - 1) * interval;
  end_after(last_stop + restart_downtime, [] {});
}

auto fault_injector::freeze(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    fleet_.freeze(node, true);
    end_after(fault.duration, [this, node] {
      fleet_.freeze(node, false);
    });
  }
}

auto fault_injector::change_setting(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto taken = fleet_.change_setting(node, fault.args[1], fault.args[2]);
    ++counts_[taken ? "settings_taken" : "settings_refused"];
  }
}

// Machines.

auto fault_injector::power_off(const scheduled_fault& fault) -> void {
  auto place = selected_place(fault.args[0]);
  if (fault.args[0] == "all")
    place = "all";
  fleet_.power(place, false);
  end_after(fault.duration, [this, place] {
    fleet_.power(place, true);
    if (place == "all")
      ++counts_["back"];
  });
}

auto fault_injector::slow_down(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto* slow_machine = fleet_.processes.at(node)->machine;
    slow_machine->slowdown = parse_number(fault.args[1]);
    end_after(fault.duration, [slow_machine] {
      slow_machine->slowdown = 1;
    });
  }
}

// Steps the wall clock of a machine by the given seconds and steps it back when the fault ends.
auto fault_injector::step_clock(const scheduled_fault& fault) -> void {
  auto step_ms = static_cast<std::int64_t>(parse_number(fault.args[1]) * 1000);
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto* stepped_machine = fleet_.processes.at(node)->machine;
    stepped_machine->clock_offset_ms += step_ms;
    end_after(fault.duration, [stepped_machine, step_ms] {
      stepped_machine->clock_offset_ms -= step_ms;
    });
  }
}

auto fault_injector::add_storage_node(const scheduled_fault&) -> void {
  fleet_.start(fleet_.add_storage_node());
}

auto fault_injector::add_gateway(const scheduled_fault&) -> void {
  auto number = fleet_.add_gateway();
  fleet_.start("scout-" + number);
  fleet_.start("forager-" + number);
}

// Removes a machine permanently and starts an empty machine at another address.
auto fault_injector::replace(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto is_control_node = fleet_.processes.at(node)->kind == "queen";
    fleet_.remove(node);
    end_after(fault.duration ? fault.duration : 2 * second, [this, node, is_control_node] {
      auto successor = is_control_node ? fleet_.add_control_node() : fleet_.add_storage_node();
      fleet_.start(successor);
      if (!is_control_node)
        return;
      fleet_.network.schedule(fleet_.network.clock + seed_list_delay, [this, node, successor] {
        fleet_.relist(node, successor);
      });
    });
  }
}

// Disks.

auto fault_injector::lose_node_disk(const std::string& node, monotonic_time duration) -> void {
  ++counts_["disks_lost"];
  fleet_.kill(node);
  fleet_.lose_disk(node);
  end_after(duration, [this, node] {
    fleet_.start(node);
  });
}

auto fault_injector::lose_disk(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0]))
    lose_node_disk(node, fault.duration);
}

// Loses the disk only if enough in-sync replicas exist elsewhere, because committed data would be lost otherwise.
auto fault_injector::lose_spare_disk(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0]))
    if (fleet_.survives_disk_loss(node))
      lose_node_disk(node, fault.duration);
}

// Takes power from all machines at once and loses the disks of several in-sync replicas of a partition, starting with
// the primary's. Does nothing if retained messages would not survive these losses.
auto fault_injector::lose_disks_and_power(const scheduled_fault& fault) -> void {
  auto losses = static_cast<std::int64_t>(parse_number(fault.args[1]));
  if (!fleet_.survives_disk_losses(losses))
    return;
  auto members = fleet_.in_sync_nodes(fault.args[0]);
  fleet_.power("all", false);
  for (auto i = std::size_t{0}; i < members.size() && i < static_cast<std::size_t>(losses); ++i) {
    fleet_.lose_disk(members[i]);
    ++counts_["disks_lost"];
  }
  ++counts_["wiped"];
  end_after(fault.duration, [this] {
    fleet_.power("all", true);
  });
}

auto fault_injector::flip_disk_bits(const std::string& node, const scheduled_fault& fault) -> void {
  fleet_.kill(node);
  fleet_.flip_bits(node, static_cast<int>(parse_number(fault.args[1])));
  end_after(fault.duration ? fault.duration : second, [this, node] {
    fleet_.start(node);
  });
}

auto fault_injector::flip_bits(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0]))
    flip_disk_bits(node, fault);
}

auto fault_injector::flip_spare_bits(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0]))
    if (fleet_.survives_disk_loss(node))
      flip_disk_bits(node, fault);
}

auto fault_injector::fill_disk(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto* full_machine = fleet_.processes.at(node)->machine;
    full_machine->disk_full = true;
    end_after(fault.duration, [full_machine] {
      full_machine->disk_full = false;
    });
  }
}

// The network.

auto fault_injector::cut(const scheduled_fault& fault) -> void {
  using cut_kind = simulated_network::cut_kind;
  auto kind = fault.verb == "cut_refusing" ? cut_kind::refusing : cut_kind::silent;
  auto both_ways = fault.verb != "cut_one_way";
  auto target_is_first = fault.args[0] != "control_nodes";
  auto target_place = selected_place(target_is_first ? fault.args[0] : fault.args[1]);
  for (const auto& node : fleet_.names("queen"))
    if (fleet_.processes.at(node)->machine->name == target_place)
      isolated_ = node;
  auto target_side = std::vector<std::string>{target_place};
  auto other_side = selected_places(target_is_first ? fault.args[1] : fault.args[0], target_place);
  auto paths = std::vector<std::pair<std::string, std::string>>();
  for (const auto& from : target_is_first ? target_side : other_side)
    for (const auto& to : target_is_first ? other_side : target_side) {
      paths.emplace_back(from, to);
      if (both_ways)
        paths.emplace_back(to, from);
    }
  for (const auto& [from, to] : paths)
    fleet_.network.cut(from, to, kind);
  end_after(fault.duration, [this, paths, kind] {
    for (const auto& [from, to] : paths)
      fleet_.network.heal(from, to, kind);
  });
}

auto fault_injector::isolate(const scheduled_fault& fault) -> void {
  auto place = selected_place(fault.args[0]);
  for (const auto& node : fleet_.names("queen")) {
    const auto& machine = *fleet_.processes.at(node)->machine;
    if (machine.name == place || machine.zone == place)
      isolated_ = node;
  }
  fleet_.network.cut(place, "*");
  fleet_.network.cut("*", place);
  end_after(fault.duration, [this, place] {
    fleet_.network.heal(place, "*");
    fleet_.network.heal("*", place);
  });
}

auto fault_injector::reset_connections(const scheduled_fault& fault) -> void {
  fleet_.reset_client_connections(parse_number(fault.args[0]));
  on_fault_started();
  on_fault_ended();
}

auto fault_injector::lose_packets(const scheduled_fault& fault) -> void {
  fleet_.network.packet_loss = parse_number(fault.args[0]);
  end_after(fault.duration, [this] {
    fleet_.network.packet_loss = fleet_.shape.loss;
  });
}

// Orders of operators.

auto fault_injector::configure(const scheduled_fault& fault) -> void {
  orders_.configure(fault.verb);
}

auto fault_injector::configure_often(const scheduled_fault& fault) -> void {
  orders_.configure_often(static_cast<std::int64_t>(parse_number(fault.args[0])), parse_seconds(fault.args[1]));
}

auto fault_injector::probe_recent_configurations(const scheduled_fault&) -> void {
  auto newest = fleet_.configuration_number;
  auto oldest = std::max<std::int64_t>(1, newest - probed_configurations);
  fleet_.operate([oldest, newest](operator_client& client) -> task<void> {
    co_await client.probe_all(oldest, newest);
  });
}

auto fault_injector::order_once(const scheduled_fault& fault) -> void {
  for (const auto& node : selected_nodes(fault.args[0]))
    orders_.send_once(node, fault.args[1]);
}

auto fault_injector::drain(const scheduled_fault& fault) -> void {
  auto deadline = fleet_.network.clock + (fault.duration ? fault.duration : drain_timeout);
  for (const auto& node : selected_nodes(fault.args[0]))
    orders_.drain(node, fault.args[1], deadline);
}

// Evacuates one random storage node permanently, provided that enough other storage nodes remain.
auto fault_injector::drain_any_storage_node(const scheduled_fault& fault) -> void {
  auto candidates = std::vector<std::string>();
  for (const auto& node : fleet_.names("comb"))
    if (!drained_.count(node))
      candidates.push_back(node);
  if (candidates.size() < least_storage_nodes_to_drain)
    return;
  auto order = fault;
  order.verb = "drain";
  order.args = {draw_node(candidates), "evacuate"};
  order.duration = random_drain_timeout;
  order.sweep_step = 0;
  drained_.insert(order.args[0]);
  inject(order);
}

auto fault_injector::evacuate_zone(const scheduled_fault& fault) -> void {
  auto deadline = fleet_.network.clock + (fault.duration ? fault.duration : drain_timeout);
  orders_.evacuate_zone(fault.args[0], deadline);
}

auto fault_injector::lose_another_disk(const std::string& retired_node) -> void {
  auto others = std::vector<std::string>();
  for (const auto& node : fleet_.names("comb"))
    if (node != retired_node && fleet_.processes.at(node)->up())
      others.push_back(node);
  auto other = draw_node(others);
  if (other.empty() || !fleet_.survives_disk_loss(other))
    return;
  lose_node_disk(other, second);
}

// Retires a storage node and loses the disk of another storage node, either right after the order is accepted or right
// after it has completed. The machine of the retired node is removed together with its disk after completion.
auto fault_injector::retire_and_lose_disk(const scheduled_fault& fault) -> void {
  const auto& moment = fault.args[1];
  if (moment != "accepted" && moment != "completed")
    throw request_error(errc::invalid_scenario,
                        "'" + moment + "' is not a moment of a retirement: expected 'accepted' or 'completed'");
  for (const auto& node : selected_nodes(fault.args[0])) {
    auto lose_another = [this, node] {
      lose_another_disk(node);
    };
    auto nothing = std::function<void()>();
    if (moment == "accepted")
      orders_.retire(node, lose_another, nothing);
    else
      orders_.retire(node, nothing, lose_another);
  }
}

// Selection of nodes and places by arguments.

auto fault_injector::draw_node(const std::vector<std::string>& nodes) -> std::string {
  return nodes.empty() ? "" : nodes[fleet_.network.random_engine() % nodes.size()];
}

auto fault_injector::draw_other_control_node(const std::string& excluded) -> std::string {
  auto others = std::vector<std::string>();
  for (const auto& node : fleet_.names("queen"))
    if (fleet_.processes.at(node)->up() && node != excluded)
      others.push_back(node);
  return draw_node(others);
}

auto fault_injector::draw_running_node(const std::string& kind) -> std::string {
  auto running = std::vector<std::string>();
  for (const auto& node : fleet_.names(kind))
    if (fleet_.processes.at(node)->up())
      running.push_back(node);
  return draw_node(running);
}

auto fault_injector::selected_nodes(const std::string& argument) -> std::vector<std::string> {
  auto as_list = [](const std::string& node) {
    return node.empty() ? std::vector<std::string>() : std::vector<std::string>{node};
  };
  if (argument == "leader")
    return as_list(fleet_.leader());
  if (argument == "isolated")
    return as_list(isolated_);
  if (argument == "follower")
    return as_list(draw_other_control_node(fleet_.leader()));
  if (argument == "majority")
    return as_list(draw_other_control_node(isolated_));
  if (argument == "busiest")
    return as_list(fleet_.busiest());
  auto colon = argument.find(':');
  auto role = argument.substr(0, colon);
  auto selector = colon == std::string::npos ? std::string() : argument.substr(colon + 1);
  if (role == "primary")
    return as_list(fleet_.primary_of(selector));
  if (role == "backup")
    return as_list(fleet_.backup_of(selector));
  if (role == "any")
    return as_list(draw_running_node(selector));
  return fleet_.names(argument);
}

auto fault_injector::selected_place(const std::string& argument) -> std::string {
  auto is_zone = argument.size() == 2 && argument[0] == 'z';
  if (is_zone || argument == "*" || fleet_.network.machines.count(argument))
    return argument;
  auto nodes = selected_nodes(argument);
  return nodes.empty() ? "nowhere" : fleet_.processes.at(nodes[0])->machine->name;
}

auto fault_injector::selected_places(const std::string& argument, const std::string& excluded)
    -> std::vector<std::string> {
  if (argument != "control_nodes")
    return {selected_place(argument)};
  auto out = std::vector<std::string>();
  for (const auto& node : fleet_.names("queen")) {
    const auto& name = fleet_.processes.at(node)->machine->name;
    if (name != excluded)
      out.push_back(name);
  }
  return out;
}

}  // namespace reachridge
