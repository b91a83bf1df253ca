// local_cluster: starts all processes of a cluster on this machine, runs simulated clients and operators against it,
// injects faults and checks the observed history for consistency (design 9.4).
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

#include "local_cluster/consistency_checker.hpp"
#include "local_cluster/operator_client.hpp"
#include "local_cluster/test_client.hpp"
#include "runtime/ev_host.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Size and load of a cluster. Rates are publishes a second over all clients; `slow` and `fast` are the names of spaces.
struct layout {
  int zones, control_nodes, storage_nodes, gateways, links, slow_topics, fast_topics;
  double slow_rate, fast_rate;
  std::string slow, fast;
};
const auto layouts =
    std::map<std::string, layout>{{"small", {3, 3, 3, 2, 24, 12, 4, 20, 4, "lookups", "alerts"}},
                                  {"hovorna", {4, 3, 4, 8, 590, 200, 30, 117, 8, "lookups", "alerts"}},
                                  {"podnebni", {3, 3, 4, 7, 580, 600, 30, 282, 8, "readings", "floods"}}};

// Returns the program for a node kind as named in the protocol.
auto program_of(const std::string& kind) -> std::string {
  static const auto programs = std::map<std::string, std::string>{
      {"queen", "control"}, {"comb", "storage"}, {"scout", "agent"}, {"forager", "gateway"}};
  return programs.at(kind);
}

// A child process. The destructor kills the process.
struct child_process {
  std::string name, kind, zone, http_address;
  std::vector<std::string> argv;
  pid_t pid = 0;
  // Starts the process unless it runs already, with stderr appended to a file in the folder `logs`. Throws
  // request_error if the process cannot be started.
  auto start(const std::string& logs) -> void {
    if (pid)
      return;
    auto arguments = std::vector<char*>();
    for (auto& argument : argv)
      arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    auto file_actions = posix_spawn_file_actions_t();
    posix_spawn_file_actions_init(&file_actions);
    auto log_file = logs + "/" + name + ".err";
    posix_spawn_file_actions_addopen(&file_actions, 2, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    auto error = posix_spawn(&pid, arguments[0], &file_actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&file_actions);
    if (error != 0)
      throw request_error(errc::process_not_started, argv[0] + ": " + strerror(error));
  }
  // Sends a signal. After SIGKILL, also waits for the end of the process.
  auto end(int signal_number) -> void {
    if (!pid)
      return;
    ::kill(pid, signal_number);
    if (signal_number != SIGKILL)
      return;
    ::waitpid(pid, nullptr, 0);
    pid = 0;
  }
  // Sends a signal without waiting.
  auto send_signal(int signal_number) const -> void {
    if (pid)
      ::kill(pid, signal_number);
  }
  ~child_process() {
    end(SIGKILL);
  }
};

// Returns a quantile in milliseconds, or 0 if there are no values.
auto quantile(std::vector<monotonic_time> values, double fraction) -> double {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return static_cast<double>(values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))]) /
         millisecond;
}

// The processes of one cluster with its clients, its operator and the faults of the run.
class local_cluster {
 public:
  local_cluster(ev_host& event_host, layout shape, std::string bin, std::string folder, int port)
      : host_(event_host), layout_(std::move(shape)), folder_(std::move(folder)), tasks_(event_host) {
    std::filesystem::create_directories(folder_);
    auto address = [&](int port_offset) {
      return "127.0.0.1:" + std::to_string(port + port_offset);
    };
    auto seeds = address(0) + "," + address(10) + "," + address(20);
    auto port_offset = 0;
    auto add_process = [&](const std::string& kind, int number, const std::string& zone,
                           std::vector<std::string> extra_arguments) {
      auto process = std::make_unique<child_process>();
      process->kind = kind;
      process->name = kind + "-" + std::to_string(number);
      process->zone = zone;
      process->argv = {bin + "/" + program_of(kind), "--name", process->name, "--zone", zone, "--seeds", seeds};
      for (auto& argument : extra_arguments)
        process->argv.push_back(argument);
      processes_.push_back(std::move(process));
    };
    auto zone_of = [&](int number) {
      return "z" + std::to_string((number - 1) % layout_.zones + 1);
    };
    for (auto number = 1; number <= layout_.control_nodes; ++number, port_offset += 10) {
      add_process("queen", number, zone_of(number),
                  {"--addr", address(port_offset), "--web", address(port_offset + 1), "--data",
                   folder_ + "/queen-" + std::to_string(number)});
      processes_.back()->http_address = address(port_offset + 1);
      control_nodes_.push_back(address(port_offset + 1));
    }
    for (auto number = 1; number <= layout_.storage_nodes; ++number, port_offset += 10) {
      add_process("comb", number, zone_of(number),
                  {"--addr", address(port_offset), "--web", address(port_offset + 1), "--data",
                   folder_ + "/comb-" + std::to_string(number)});
      processes_.back()->http_address = address(port_offset + 1);
    }
    for (auto number = 1; number <= layout_.gateways; ++number, port_offset += 10) {
      add_process("scout", number, zone_of(number), {"--feed", address(port_offset + 2)});
      add_process("forager", number, zone_of(number),
                  {"--feed", address(port_offset + 2), "--web", address(port_offset + 1)});
      processes_.back()->http_address = address(port_offset + 1);
      gateway_addresses_.push_back(address(port_offset + 1));
    }
  }

  // Returns the definitions of both spaces as JSON, separated by a comma.
  auto spaces() const -> std::string {
    return R"({"name":")" + layout_.fast + R"(","keep_s":35,"urgency":9,"cells":4},{"name":")" + layout_.slow +
           R"(","keep_s":35,"urgency":1,"cells":8})";
  }

  // Runs the cluster for the given time. Returns whether the history violates no guarantee. With `keep_running`, the
  // function only starts the cluster and never returns.
  auto run(int seconds, bool inject_faults, bool keep_running, bool further_faults) -> task<bool> {
    for (auto& process : processes_)
      process->start(folder_);
    balancer_ = std::make_unique<balancer>(host_, gateway_addresses_);
    operator_client_ = std::make_unique<operator_client>(host_, control_nodes_, gateway_addresses_, history_);
    for (auto& space : {layout_.fast, layout_.slow})
      history_.note(host_, object{{"e", "space"}, {"name", space}, {"keep_s", 35}});
    auto first_configuration = probe_configuration(1, spaces());
    auto started_at = host_.now();
    auto is_running = false;
    while (!is_running && host_.now() < started_at + 40 * second)
      is_running = co_await operator_client_->put(1, first_configuration);
    if (is_running)
      is_running = co_await operator_client_->await_in_force(1, host_.now() + 40 * second);
    if (!is_running) {
      std::cout << "the cluster did not start within the time limit; logs are in " << folder_ << '\n';
      co_return false;
    }
    std::cout << "cluster of " << processes_.size() << " processes serves after "
              << (host_.now() - started_at) / millisecond << " ms\n"
              << std::flush;
    if (keep_running) {
      std::cout << "operators: http://" << control_nodes_[0] << "  clients: http://" << gateway_addresses_[0]
                << "  (stop with ^C)\n"
                << std::flush;
      while (true)
        co_await sleep_for(host_, second);
    }
    start_clients();
    co_await sleep_for(host_, 5 * second);
    auto load_started_at = host_.now();
    auto quarter = seconds * second / 4;
    tasks_.spawn(watch_lag());
    if (!inject_faults) {
      co_await sleep_until(host_, load_started_at + seconds * second);
    } else {
      co_await sleep_until(host_, load_started_at + quarter / 2);
      auto busiest_node = co_await find_busiest();
      auto names = std::vector<std::string>(1, busiest_node);
      co_await kill_and_restart("kill the busiest primary, " + busiest_node, names, 8 * second);
      co_await sleep_until(host_, load_started_at + quarter * 3 / 2);
      auto zone_names = std::vector<std::string>();
      for (auto& process : processes_)
        if (process->zone == "z2")
          zone_names.push_back(process->name);
      co_await kill_and_restart("kill all of zone z2", zone_names, 8 * second);
      co_await sleep_until(host_, load_started_at + quarter * 5 / 2);
      auto leader_node = co_await find_leader();
      names.assign(1, leader_node);
      co_await kill_and_restart("kill the log leader, " + leader_node, names, 8 * second);
      co_await sleep_until(host_, load_started_at + quarter * 3);
      auto configuration = probe_configuration(2, spaces());
      auto sent_at = host_.now();
      auto is_in_force = co_await operator_client_->put(2, configuration);
      if (is_in_force)
        is_in_force = co_await operator_client_->await_in_force(2, host_.now() + 20 * second);
      std::cout << "configuration 2 took hold after " << (host_.now() - sent_at) / millisecond << " ms\n" << std::flush;
      co_await sleep_for(host_, 3 * second);
      co_await operator_client_->probe_all(1, 2);
      co_await sleep_until(host_, load_started_at + quarter * 4);
      if (further_faults)
        co_await inject_further_faults();
    }
    for (auto& client : clients_)
      client->stop_publishing();
    co_await sleep_for(host_, 14 * second);
    auto is_read = co_await operator_client_->read_all(control_nodes_, host_.now() + 20 * second);
    if (!is_read)
      history_.note(host_, object{{"e", "newest"}, {"number", 0}, {"t0", host_.now() / millisecond}});
    history_.note(host_, object{{"e", "end"}, {"quiet", 6000}});
    co_return report(static_cast<double>(host_.now() - load_started_at) / second);
  }

 private:
  // Starts the clients. Their number for each space is in proportion to the rate of the space.
  auto start_clients() -> void {
    auto alert_callers =
        std::max(1, static_cast<int>(layout_.links * layout_.fast_rate / (layout_.fast_rate + layout_.slow_rate)));
    for (auto number = 0; number < layout_.links; ++number) {
      auto plan = client::plan();
      plan.name = "caller-" + std::to_string(number);
      plan.subscribed_topics = {layout_.fast + "/t" + std::to_string(number % layout_.fast_topics)};
      for (auto index = 0; index < 2; ++index)
        plan.subscribed_topics.push_back(layout_.slow + "/t" +
                                         std::to_string((number * 2 + index * 7) % layout_.slow_topics));
      std::sort(plan.subscribed_topics.begin(), plan.subscribed_topics.end());
      plan.subscribed_topics.erase(std::unique(plan.subscribed_topics.begin(), plan.subscribed_topics.end()),
                                   plan.subscribed_topics.end());
      auto is_fast = number < alert_callers;
      auto rate = is_fast ? layout_.fast_rate / alert_callers : layout_.slow_rate / (layout_.links - alert_callers);
      plan.every = static_cast<monotonic_time>(second / rate);
      for (auto index = 0; index < 4; ++index)
        plan.published_topics.push_back(
            (is_fast ? layout_.fast : layout_.slow) + "/t" +
            std::to_string((number * 4 + index) % (is_fast ? layout_.fast_topics : layout_.slow_topics)));
      plan.drop = 60 * second;
      clients_.push_back(std::make_unique<client>(host_, *balancer_, history_, plan));
    }
  }

  auto find(const std::string& name) -> child_process& {
    for (auto& process : processes_)
      if (process->name == name)
        return *process;
    throw request_error(errc::not_found, name);
  }

  // Returns the storage node with the most primaries.
  auto find_busiest() -> task<std::string> {
    auto busiest_node = std::string("comb-1");
    auto highest_count = -1;
    for (auto& process : processes_) {
      if (process->kind != "comb")
        continue;
      auto reply = co_await fetch(host_, process->http_address, "GET", "/status", "", host_.now() + second);
      auto primary_count = 0;
      if (get_value(reply.body, "cells").is_object())
        for (const auto& field : get_value(reply.body, "cells").as_object())
          primary_count += get_string_or(field.value(), "role") == "primary";
      if (primary_count > highest_count) {
        highest_count = primary_count;
        busiest_node = process->name;
      }
    }
    co_return busiest_node;
  }
  // Returns the control node that leads the replicated log.
  auto find_leader() -> task<std::string> {
    for (auto& process : processes_) {
      if (process->kind != "queen")
        continue;
      auto reply = co_await fetch(host_, process->http_address, "GET", "/status", "", host_.now() + second);
      if (get_string_or(get_value(reply.body, "ledger"), "role") == "leader")
        co_return process->name;
    }
    co_return "queen-1";
  }

  // Injects the faults beyond the three kills that are possible on one machine, and ends with a kill of all processes.
  auto inject_further_faults() -> task<void> {
    auto single = [](const std::string& name) {
      return std::vector<std::string>(1, name);
    };
    auto leader_node = co_await find_leader();
    auto frozen = single(leader_node);
    auto description = "freeze the log leader, " + leader_node;
    co_await freeze(description, frozen, 3 * second);
    auto busiest_node = co_await find_busiest();
    frozen = single(busiest_node);
    description = "freeze the busiest primary, " + busiest_node;
    co_await freeze(description, frozen, 5 * second);
    auto gateway_and_agent = single("forager-1");
    gateway_and_agent.push_back("scout-1");
    co_await freeze("freeze a gateway and its agent", gateway_and_agent, 2500 * millisecond);
    auto restart_order = names_in_restart_order();
    for (auto& name : restart_order)
      co_await restart(name);
    faults_.push_back({"reset nearly all client connections", host_.now()});
    for (auto& client : clients_)
      if (host_.random_below(20))
        client->reset();
    co_await sleep_for(host_, 6 * second);
    faults_.back().ended_at = host_.now();
    // Two concurrent operators, then a stale and an invalid configuration.
    auto first_configuration = probe_configuration(3, spaces());
    auto second_configuration = probe_configuration(3, spaces() + R"(,{"name":"other","keep_s":0,"cells":1})");
    auto accepted_count = 0, completed_count = 0;
    tasks_.spawn(race(first_configuration, accepted_count, completed_count));
    tasks_.spawn(race(second_configuration, accepted_count, completed_count));
    while (completed_count < 2)  // the two tasks increment the counter NOLINT(bugprone-infinite-loop)
      co_await sleep_for(host_, 50 * millisecond);
    auto stale_configuration = probe_configuration(2, spaces());
    auto stale_reply =
        co_await operator_client_->ask("PUT", "/v1/charter", stale_configuration, host_.now() + 10 * second);
    auto invalid_configuration =
        std::string(R"({"number":99,"spaces":[{"name":"x","keep_s":-5}],"rules":["allow what"]})");
    auto invalid_reply =
        co_await operator_client_->ask("PUT", "/v1/charter", invalid_configuration, host_.now() + 10 * second);
    std::cout << "operators: " << accepted_count
              << " of 2 concurrent configurations were accepted; a stale one received status " << stale_reply.status
              << ", an invalid one status " << invalid_reply.status << '\n'
              << std::flush;
    if (accepted_count != 1 || stale_reply.status == 200 || invalid_reply.status == 200)
      history_.note(host_, object{{"e", "newest"}, {"number", -1}, {"t0", host_.now() / millisecond}});
    auto is_in_force = co_await operator_client_->await_in_force(3, host_.now() + 20 * second);
    if (is_in_force) {
      co_await sleep_for(host_, 3 * second);
      co_await operator_client_->probe_all(2, 3);
    }
    // A storage node restarts with an empty disk after all other nodes have caught up.
    auto wiped_node = co_await find_busiest();
    find(wiped_node).end(SIGKILL);
    std::filesystem::remove_all(folder_ + "/" + wiped_node);
    faults_.push_back({"the disk of the busiest primary, " + wiped_node + ", is lost", host_.now()});
    co_await sleep_for(host_, 4 * second);
    find(wiped_node).start(folder_);
    faults_.back().ended_at = host_.now();
    co_await sleep_for(host_, 10 * second);
    auto is_evacuated = co_await operator_client_->leave("comb-4", "evacuate", host_.now() + 30 * second);
    std::cout << "evacuation of comb-4: " << (is_evacuated ? "done" : "not done in 30 s") << '\n' << std::flush;
    // The last fault kills all processes at once and restarts them.
    auto all_names = std::vector<std::string>();
    for (auto& process : processes_)
      all_names.push_back(process->name);
    co_await kill_and_restart("kill all processes", all_names, 3 * second);
    history_.note(host_, object{{"e", "mend"}});
    co_await sleep_for(host_, 14 * second);
  }
  // Returns the processes to restart, in order: control nodes, storage nodes, gateways.
  auto names_in_restart_order() const -> std::vector<std::string> {
    auto names = std::vector<std::string>();
    for (const auto* kind : {"queen", "comb", "forager"})
      for (const auto& process : processes_)
        if (process->kind == kind)
          names.push_back(process->name);
    return names;
  }
  // Sends configuration 3 as one of two concurrent operators and counts successes and completions.
  auto race(std::string body, int& accepted_count, int& completed_count) -> task<void> {
    auto is_accepted = co_await operator_client_->put(3, body);
    accepted_count += is_accepted;
    ++completed_count;
  }
  // Stops the processes with SIGSTOP for a time and continues them.
  auto freeze(std::string description, std::vector<std::string> names, monotonic_time duration) -> task<void> {
    faults_.push_back({description, host_.now()});
    history_.note(host_, object{{"e", "hurt"}});
    for (auto& name : names)
      find(name).send_signal(SIGSTOP);
    co_await sleep_for(host_, duration);
    for (auto& name : names)
      find(name).send_signal(SIGCONT);
    history_.note(host_, object{{"e", "mend"}});
    faults_.back().ended_at = host_.now();
    co_await sleep_for(host_, 5 * second);
  }
  // Restarts a process like the deployment platform: SIGTERM, SIGKILL a few seconds later, then a new start.
  auto restart(std::string name) -> task<void> {
    faults_.push_back({"restart " + name, host_.now()});
    history_.note(host_, object{{"e", "hurt"}});
    find(name).send_signal(SIGTERM);
    co_await sleep_for(host_, second + static_cast<monotonic_time>(host_.random_below(3)) * second);
    find(name).end(SIGKILL);
    find(name).start(folder_);
    history_.note(host_, object{{"e", "mend"}});
    faults_.back().ended_at = host_.now();
    co_await sleep_for(host_, 3 * second);
  }

  // Kills the named processes and restarts them after the given time.
  auto kill_and_restart(std::string description, std::vector<std::string> names, monotonic_time downtime)
      -> task<void> {
    auto killed_at = host_.now();
    history_.note(host_, object{{"e", "hurt"}});
    for (auto& name : names)
      find(name).end(SIGKILL);
    faults_.push_back({description, killed_at});
    co_await sleep_for(host_, downtime);
    for (auto& name : names)
      find(name).start(folder_);
    history_.note(host_, object{{"e", "mend"}});
    faults_.back().ended_at = host_.now();
  }

  // Reads the replication lag and the disk counters of the storage nodes once a second. Never returns.
  auto watch_lag() -> task<void> {
    while (true) {
      for (auto& process : processes_) {
        if (process->kind != "comb" || !process->pid)
          continue;
        auto reply = co_await fetch(host_, process->http_address, "GET", "/status", "", host_.now() + second);
        if (!get_value(reply.body, "cells").is_object())
          continue;
        syncs_[process->name] = get_int_or(reply.body, "syncs", 0);
        bytes_[process->name] = get_int_or(reply.body, "bytes", 0);
        for (const auto& field : get_value(reply.body, "cells").as_object()) {
          if (get_string_or(field.value(), "role") != "primary")
            continue;
          auto backup = get_string_or(field.value(), "back");
          const auto& copy = get_value(get_value(field.value(), "copies"), backup);
          if (copy.is_object() && get_bool(copy, "joined"))
            replication_lags_.push_back(get_int_or(copy, "lag_ms", 0) * millisecond);
        }
      }
      co_await sleep_for(host_, second);
    }
  }

  // Prints the measurements and the violations. Writes the history to a file if a guarantee is violated.
  auto report(double duration_s) -> bool {
    auto violations = check_consistency(history_.rows);
    auto show = [&](const std::string& description, const std::vector<monotonic_time>& values) {
      std::cout << "  " << description << ": n=" << values.size() << " p50=" << quantile(values, .5)
                << " p95=" << quantile(values, .95) << " p99=" << quantile(values, .99)
                << " max=" << quantile(values, 1) << " ms\n";
    };
    std::cout << "latency over " << duration_s << " s, from first attempt to outcome\n";
    for (auto& [space, latencies] : history_.acks)
      show("ack " + space, latencies);
    for (auto& [space, latencies] : history_.deliveries)
      show("delivery " + space, latencies);
    show("replication lag", replication_lags_);
    // For each fault, finds the longest wait for an acknowledgement of a publish first sent around the fault.
    auto first_attempts = std::map<std::tuple<std::string, std::string, std::int64_t>, std::int64_t>();
    auto waits = std::vector<std::pair<std::int64_t, std::int64_t>>();
    for (auto& event : history_.rows) {
      auto event_name = get_string(event, "e");
      if (event_name == "try")
        first_attempts.emplace(std::tuple(get_string(event, "who"), get_string(event, "topic"), get_int(event, "seq")),
                               get_int(event, "t"));
      if (event_name == "verdict" && get_string(event, "verdict") == "acked") {
        auto first_attempt =
            first_attempts.find({get_string(event, "who"), get_string(event, "topic"), get_int(event, "seq")});
        if (first_attempt != first_attempts.end())
          waits.emplace_back(first_attempt->second, get_int(event, "t") - first_attempt->second);
      }
    }
    for (auto& fault : faults_) {
      auto longest_wait = std::int64_t{0}, late_count = std::int64_t{0};
      for (auto& [sent_at, wait_ms] : waits)
        if (sent_at > fault.at / millisecond - 2000 && sent_at < fault.ended_at / millisecond) {
          longest_wait = std::max(longest_wait, wait_ms);
          late_count += wait_ms > 1000;
        }
      std::cout << "fault: " << fault.description << ": longest wait for an acknowledgement " << longest_wait << " ms, "
                << late_count << " waited over 1 s\n";
    }
    for (auto& [kind, count] : history_.counts)
      std::cout << "  answers: " << kind << " " << count << '\n';
    auto sync_count = std::int64_t{0}, byte_count = std::int64_t{0}, acknowledged_count = std::int64_t{0};
    for (auto& [node, count] : syncs_)
      sync_count += count;
    for (auto& [node, count] : bytes_)
      byte_count += count;
    for (auto& [space, latencies] : history_.acks)
      acknowledged_count += static_cast<std::int64_t>(latencies.size());
    if (acknowledged_count)
      std::cout
          << "  disks: " << static_cast<double>(sync_count) / static_cast<double>(acknowledged_count) << " syncs and "
          << byte_count / acknowledged_count
          << " bytes per acknowledged message over all storage nodes (restarted nodes count from their restart)\n";
    for (auto i = std::size_t{0}; i < violations.size() && i < 20; ++i)
      std::cout << "BROKEN " << violations[i].rule << ": " << violations[i].detail << '\n';
    std::cout << violations.size() << " broken promises\n";
    if (!violations.empty()) {
      auto output = std::ofstream(folder_ + "/history.jsonl");
      for (auto& event : history_.rows)
        output << to_json(event) << '\n';
    }
    return violations.empty();
  }

  // A fault with the times of its start and its end.
  struct fault {
    std::string description;
    monotonic_time at = 0, ended_at = 0;
  };
  ev_host& host_;
  layout layout_;
  std::string folder_;
  history history_;
  std::vector<std::unique_ptr<child_process>> processes_;
  std::vector<std::string> control_nodes_, gateway_addresses_;
  std::unique_ptr<balancer> balancer_;
  std::unique_ptr<operator_client> operator_client_;
  std::vector<std::unique_ptr<client>> clients_;
  std::vector<fault> faults_;
  std::vector<monotonic_time> replication_lags_;
  std::map<std::string, std::int64_t> syncs_, bytes_;
  task_group tasks_;
};

}  // namespace
}  // namespace reachridge

auto main(int argc, const char** argv) -> int {
  auto* shape = static_cast<char*>(nullptr);
  auto* dir = static_cast<char*>(nullptr);
  auto* bin = static_cast<char*>(nullptr);
  auto seconds = 60, port = 17000, calm = 0, stay = 0, day = 0;
  poptOption option_table[] = {
      {"shape", 0, POPT_ARG_STRING, &shape, 0, "small, hovorna or podnebni", "SHAPE"},
      {"dir", 0, POPT_ARG_STRING, &dir, 0, "folder for data and logs; default: a new temporary folder", "DIR"},
      {"bin", 0, POPT_ARG_STRING, &bin, 0, "folder of the daemons; default: the folder of this program", "DIR"},
      {"seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the client load in seconds", "N"},
      {"port", 0, POPT_ARG_INT, &port, 0, "first port", "N"},
      {"calm", 0, POPT_ARG_NONE, &calm, 0, "inject no faults", nullptr},
      {"day", 0, POPT_ARG_NONE, &day, 0,
       "after the three kills: freezes, restarts, connection resets, concurrent operators, a lost disk, an evacuation, "
       "and a kill of all processes",
       nullptr},
      {"stay", 0, POPT_ARG_NONE, &stay, 0, "only start the cluster and keep it running for manual tests", nullptr},
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  using context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
  auto popt = context(poptGetContext(nullptr, argc, argv, option_table, 0), &poptFreeContext);
  if (auto result = poptGetNextOpt(popt.get()); result < -1) {
    std::cerr << poptBadOption(popt.get(), 0) << ": " << poptStrerror(result) << '\n';
    return 2;
  }
  auto shape_name = std::string(shape ? shape : "small");
  if (!reachridge::layouts.count(shape_name)) {
    std::cerr << "shape: '" << shape_name << "' is not one of small, hovorna, podnebni\n";
    return 2;
  }
  auto folder = std::string(dir ? dir : "");
  if (folder.empty()) {
    char temporary_folder[] = "/tmp/local-cluster-XXXXXX";
    if (!mkdtemp(temporary_folder))
      return 1;
    folder = temporary_folder;
  }
  auto program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  auto is_successful = false;
  try {
    auto host = reachridge::ev_host("");
    auto cluster =
        reachridge::local_cluster(host, reachridge::layouts.at(shape_name), bin ? bin : program_folder, folder, port);
    auto tasks = reachridge::task_group(host);
    tasks.on_error = [&](std::exception_ptr error) {
      try {
        std::rethrow_exception(error);
      } catch (const std::exception& exception) {
        std::cerr << "failed: " << exception.what() << '\n';
      }
      host.end();
    };
    tasks.spawn([](reachridge::ev_host& event_host, reachridge::local_cluster& running_cluster, bool& result,
                   int duration_s, bool calm_run, bool keep_running, bool further_faults) -> reachridge::task<void> {
      result = co_await running_cluster.run(duration_s, !calm_run, keep_running, further_faults);
      event_host.end();
    }(host, cluster, is_successful, seconds, calm != 0, stay != 0, day != 0));
    host.run();
  } catch (const std::exception& error) {
    std::cerr << "failed: " << error.what() << '\n';
  }
  free(shape);
  free(dir);
  free(bin);
  return is_successful ? 0 : 1;
}
