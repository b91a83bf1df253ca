#include "simulator/log_model.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <random>

#include "raft/consensus.hpp"
#include "rpc/server.hpp"
#include "runtime/request_error.hpp"
#include "simulator/log_invariants.hpp"
#include "simulator/log_schedule.hpp"
#include "simulator/message_network.hpp"

namespace reachridge {
namespace {

constexpr auto lease = model_failure_timeout * 3 / 2;  // the same ratio as the defaults of the product
constexpr auto serving_window =
    model_failure_timeout * 9 / 32;  // time that a leader may serve after its last quorum contact
// An old leader may serve its state for this long after a newer command was acknowledged.
constexpr auto stale_serving_limit = lease / 4 + model_failure_timeout * 3 / 8;
constexpr auto bootstrap_limit = 3 * second;
constexpr auto recovery_limit = model_failure_timeout * 20;
constexpr auto shutdown_limit = model_failure_timeout / 2;
constexpr auto small_limits = log_limits{8, 4, 64, 48};
constexpr auto spare_machines = std::size_t{3};
constexpr auto fast_sync_cost = 2 * millisecond;
constexpr auto slow_sync_cost = 60 * millisecond;
constexpr auto progress_check_interval = std::uint64_t{5};
constexpr auto trace_lines_shown = std::size_t{60};

// A state machine whose state is a digest of all applied commands.
struct history_digest {
  std::int64_t index = 0;  // index of the newest command
  std::uint64_t digest = 0;

  auto apply(std::int64_t at, std::int64_t command) -> void {
    index = at;
    digest = (digest ^ static_cast<std::uint64_t>(command)) * 0x9e3779b97f4a7c15ULL + static_cast<std::uint64_t>(at);
  }
};

// A machine and its process. `log` is null while the process is down.
struct replica {
  std::string name;
  machine* own_machine = nullptr;
  reachridge::settings settings;
  bool used = false;          // the process was started at least once
  bool removed = false;       // the machine is permanently removed together with its disk
  std::uint64_t process = 0;  // number of process starts
  std::unique_ptr<message_host> host;
  std::unique_ptr<history_digest> state;
  std::unique_ptr<consensus> log;
  std::unique_ptr<task_group> tasks;
  std::int64_t leads_term = 0;                          // the last term in which the replica was leader
  bool crash_at_vote = false, crash_at_append = false;  // pending crashes: after the next vote, after the next append
  monotonic_time downtime = 0;                          // how long the process stays down after a pending crash
  std::string seen_meta, seen_snapshot;                 // disk contents and state at the last check
  std::uint64_t seen_writes = 0;
  std::int64_t seen_commit = 0;

  [[nodiscard]] auto up() const -> bool {
    return log != nullptr;
  }
  [[nodiscard]] auto leads() const -> bool {
    return up() && log->is_leader();
  }
};

// Returns the index of a log entry from its key on disk, "L/e/" and 16 hexadecimal digits.
auto entry_index(const std::string& key) -> std::int64_t {
  return static_cast<std::int64_t>(std::stoull(key.substr(4), nullptr, 16));
}

// One run of the model checker: the machines, the faults and the checks.
class model {
 public:
  model(std::uint64_t seed, const model_options& options)
      : options_(options),
        source_(seed),
        schedule_(source_.draw()),
        simulation_(seed + 1),
        network_(simulation_, seed + 2),
        random_engine_(seed + 3) {
    run_.seed = seed;
    auto seeds = std::vector<std::string>();
    for (auto i = std::size_t{0}; i < schedule_.voters + spare_machines; ++i) {
      add_machine(i + 1);
      if (i < schedule_.voters)
        seeds.push_back(replicas_.back()->settings.address);
    }
    for (auto& node : replicas_)
      node->settings.seeds = seeds;
  }
  model(const model&) = delete;
  auto operator=(const model&) -> model& = delete;
  ~model() {
    for (auto& node : replicas_)
      destroy_process(*node);
  }

  auto execute() -> model_run {
    bootstrap();
    if (!has_violation())
      inject_faults();
    if (!has_violation())
      end_faults();
    if (!has_violation())
      check_recovery();
    run_.membership_changes = invariants_.membership_changes();
    return std::move(run_);
  }

 private:
  [[nodiscard]] auto has_violation() const -> bool {
    return !run_.violations.empty();
  }

  // Runs a check. An invariant_violation that the check throws is recorded and ends the run.
  auto check(const std::function<void()>& verify) -> void {
    if (has_violation())
      return;
    try {
      verify();
    } catch (const invariant_violation& violation) {
      run_.violations.push_back({violation.invariant, violation.detail, simulation_.clock / millisecond});
      add_trace("VIOLATION " + violation.invariant + ": " + violation.detail);
      simulation_.stopped = true;
    }
  }
  auto fail(const char* invariant, const std::string& detail) -> void {
    for (const auto& node : replicas_)
      if (node->up())
        add_trace(node->name + ": " + to_json(node->log->status()));
    check([&] {
      throw invariant_violation{invariant, detail};
    });
  }
  auto add_trace(const std::string& line) -> void {
    if (options_.trace)
      run_.trace.push_back(std::to_string(simulation_.clock / millisecond) + " ms  " + line);
  }

  auto add_machine(std::size_t number) -> void {
    auto node = std::make_unique<replica>();
    node->name = "r" + std::to_string(number);
    node->own_machine = &simulation_.machine_at(node->name, "z" + std::to_string(number));
    node->own_machine->sync_cost = fast_sync_cost;
    auto& node_settings = node->settings;
    node_settings.name = node->name;
    node_settings.address = node->own_machine->ip + ":9000";
    node_settings.heartbeat_interval = model_heartbeat;
    node_settings.failure_timeout = model_failure_timeout;
    node_settings.lease_duration = lease;
    node_settings.request_timeout = model_failure_timeout;
    replicas_.push_back(std::move(node));
  }

  auto start(replica& node) -> void {
    if (node.removed || node.up())
      return;
    node.used = true;
    node.own_machine->powered = true;
    ++node.process;
    node.host = std::make_unique<message_host>(network_, *node.own_machine, random_engine_());
    node.state = std::make_unique<history_digest>();
    try {
      node.log = std::make_unique<consensus>(*node.host, node.settings, state_machine_for(node));
    } catch (const std::exception& error) {
      return fail("starts-again", node.name + " fails to start from its disk: " + error.what());
    }
    node.tasks = std::make_unique<task_group>(*node.host);
    auto handler = rpc_handlers();
    handler.on_call = [this, &node](connection_ptr, value request) {
      return handle_call(node, std::move(request));
    };
    node.tasks->spawn(serve(*node.host, *node.tasks, node.host->listen(node.settings.address), handler, node.name));
    add_trace(node.name + " starts with disk " + node.log->disk_id().substr(0, 4));
  }
  auto destroy_process(replica& node) -> void {
    node.tasks.reset();
    node.log.reset();
    node.state.reset();
    node.host.reset();
    node.seen_writes = 0;
    node.crash_at_vote = node.crash_at_append = false;
  }
  auto stop(replica& node, const char* why) -> void {
    if (!node.up())
      return;
    check([&] {
      check_disk(node);
    });
    add_trace(node.name + " " + why);
    destroy_process(node);
  }
  auto start_later(replica& node, monotonic_time delay) -> void {
    simulation_.schedule(simulation_.clock + delay, [this, &node] {
      if (!has_violation())
        start(node);
    });
  }

  auto state_machine_for(replica& node) -> consensus::state_machine {
    auto state_machine = consensus::state_machine();
    state_machine.apply = [this, &node](std::int64_t index, const value& command) {
      return apply(node, index, command);
    };
    state_machine.take_snapshot = [&node] {
      return value(object{{"index", node.state->index}, {"digest", std::to_string(node.state->digest)}});
    };
    state_machine.restore = [this, &node](const value& snapshot) {
      restore(node, snapshot);
    };
    state_machine.leader_changed = [this, &node] {
      leader_changed(node);
    };
    state_machine.limits = small_limits;
    return state_machine;
  }
  auto apply(replica& node, std::int64_t index, const value& command) -> value {
    auto number = get_int(command, "command");
    node.state->apply(index, number);
    check([&] {
      invariants_.applied(index, number, node.state->digest);
    });
    return object{{"index", index}};
  }
  auto restore(replica& node, const value& snapshot) -> void {
    ++run_.snapshots;
    auto index = get_int(snapshot, "index");
    check([&] {
      if (index < node.state->index)
        throw invariant_violation{"committed-stays",
                                  node.name + " restores an older snapshot, index " + std::to_string(index)};
    });
    node.state->index = index;
    node.state->digest = std::stoull(get_string(snapshot, "digest"));
    if (index > 0)
      check([&] {
        invariants_.restored(index, node.state->digest);
      });
    add_trace(node.name + " restores a snapshot, newest command at index " + std::to_string(index));
  }
  auto leader_changed(replica& node) -> void {
    if (!node.leads())
      return;
    auto term = get_int(node.log->status(), "term");
    if (term != node.leads_term) {
      node.leads_term = term;
      ++run_.elections;
      add_trace(node.name + " becomes leader of term " + std::to_string(term));
    }
    check([&] {
      invariants_.leader_seen(node.log->disk_id(), term);
    });
    if (node.log->leadership_established())
      check([&] {
        invariants_.require_applied("leader-complete", node.state->index, simulation_.clock, node.name);
      });
  }

  auto handle_call(replica& node, value request) -> task<value> {
    auto op = get_string_or(request, "op");
    auto is_vote = op == "l.vote" && !get_bool(request, "dry");
    auto term = is_vote ? get_int(request, "term") : 0;
    auto candidate = is_vote ? get_string(request, "from") : std::string();
    auto reply = co_await node.log->handle_request(op, std::move(request));
    if (is_vote && get_bool(reply, "ok") && get_int(reply, "term") == term) {
      check([&] {
        invariants_.vote_granted(get_string(reply, "id"), term, candidate);
      });
      add_trace(node.name + " votes in term " + std::to_string(term) + " for " + name_of_address(candidate));
      if (node.crash_at_vote)
        crash_now(node);
    }
    if (op == "l.append" && get_bool(reply, "ok") && node.crash_at_append)
      crash_now(node);
    co_return reply;
  }
  // Crashes the process from the event loop, after its pending reply has been sent.
  auto crash_now(replica& node) -> void {
    node.crash_at_vote = node.crash_at_append = false;
    auto process = node.process;
    simulation_.schedule(simulation_.clock + 1, [this, &node, process] {
      if (node.process != process)
        return;
      stop(node, "crashes");
      start_later(node, node.downtime);
    });
  }
  [[nodiscard]] auto name_of_address(const std::string& address) const -> std::string {
    const auto* node = replica_at(address);
    return node ? node->name : address;
  }

  auto run_until(monotonic_time end) -> void {
    constexpr auto check_gap = 10 * millisecond;
    while (!has_violation() && simulation_.clock < end) {
      if (simulation_.clock >= next_command_)
        send_commands();
      auto next = std::min({end, simulation_.clock + check_gap, std::max(next_command_, simulation_.clock + 1)});
      simulation_.run(next);
      check([&] {
        check_all();
      });
    }
  }
  auto send_commands() -> void {
    next_command_ = simulation_.clock + schedule_.command_gap;
    for (auto& node : replicas_) {
      if (!node->leads())
        continue;
      node->tasks->spawn(propose(*node, ++commands_));
      if (commands_ % 2 == 0)
        node->tasks->spawn(read_fresh(*node));
    }
  }
  auto propose(replica& node, std::int64_t command) -> task<void> {
    auto sent_at = simulation_.clock;
    try {
      auto command_value = value(object{{"command", command}});
      auto result = co_await node.log->propose(std::move(command_value), simulation_.clock + model_failure_timeout);
      auto index = get_int(result, "index");
      check([&] {
        invariants_.acknowledged(index, command, simulation_.clock);
      });
      ++run_.acknowledged;
      newest_acknowledged_send_ = std::max(newest_acknowledged_send_, sent_at);
      add_trace(node.name + " acknowledges command " + std::to_string(command) + " at index " + std::to_string(index));
    } catch (const request_error& error) {
      if (error.outcome == execution_outcome::not_executed)
        invariants_.refused(command);
    }
  }
  auto read_fresh(replica& node) -> task<void> {
    auto requested_at = simulation_.clock;
    try {
      co_await node.log->read_barrier(simulation_.clock + model_failure_timeout);
      check([&] {
        invariants_.require_applied("fresh-read", node.state->index, requested_at, node.name);
      });
    } catch (const request_error&) {
    }
  }

  auto check_all() -> void {
    for (auto& node : replicas_)
      if (node->up())
        check_disk(*node);
    for (auto& node : replicas_) {
      if (!node->leads())
        continue;
      if (node->leads_term == invariants_.newest_term())
        invariants_.check_active_voters(node->log->members(), node->name);
      if (++checks_ % progress_check_interval == 0)
        check_progress(*node);
      auto may_serve = node->log->leadership_established() &&
                       simulation_.clock < node->log->last_quorum_contact() + serving_window && !node->host->frozen;
      if (may_serve)
        invariants_.require_applied("served-within-bound", node->state->index, simulation_.clock - stale_serving_limit,
                                    node->name);
    }
  }
  // Requires that each disk holds every entry that the newest leader counts as durable on that disk.
  auto check_progress(const replica& leader) -> void {
    if (leader.leads_term != invariants_.newest_term())
      return;
    auto status = leader.log->status();
    for (const auto& member : get_array(status, "voters")) {
      auto match = get_int(status, "last") - get_int(member, "behind");
      const auto* node = replica_at(get_string(member, "addr"));
      if (!node || !disk_is_intact({get_string(member, "addr"), get_string(member, "id")}, nullptr) ||
          has_entry(*node, match))
        continue;
      throw invariant_violation{
          "counted-is-synced", leader.name + " counts entry " + std::to_string(match) + " as durable on " + node->name +
                                   "/" + get_string(member, "id").substr(0, 4) + ", which does not hold the entry"};
    }
  }
  [[nodiscard]] auto has_entry(const replica& node, std::int64_t index) const -> bool {
    constexpr auto key_size = std::size_t{32};
    char key[key_size];
    std::snprintf(key, sizeof key, "L/e/%016llx", static_cast<unsigned long long>(index));
    if (index <= 0 || node.own_machine->durable.contains(key))
      return true;
    auto snapshot = node.own_machine->durable.find("L/cap");
    return snapshot != node.own_machine->durable.end() &&
           get_int(decode_with_checksum(snapshot->second), "idx") >= index;
  }
  [[nodiscard]] auto replica_at(const std::string& address) const -> const replica* {
    for (const auto& node : replicas_)
      if (node->settings.address == address)
        return node.get();
    return nullptr;
  }
  // Checks the contents of a disk: its vote, its entries and the voters of its snapshot.
  auto check_disk(replica& node) -> void {
    auto committed = committed_by_leader();
    auto sync_count = node.host->disk()->syncs;
    if (sync_count == node.seen_writes && committed.index == node.seen_commit)
      return;
    node.seen_writes = sync_count;
    node.seen_commit = committed.index;
    const auto& disk = node.own_machine->durable;
    if (auto it = disk.find("L/meta"); it != disk.end() && it->second != node.seen_meta) {
      node.seen_meta = it->second;
      auto meta = decode_with_checksum(it->second);
      if (auto vote = get_string(meta, "voted"); !vote.empty())
        invariants_.vote_granted(get_string(meta, "id"), get_int(meta, "term"), vote);
    }
    if (auto it = disk.find("L/cap"); it != disk.end() && it->second != node.seen_snapshot) {
      node.seen_snapshot = it->second;
      auto snapshot = deserialize_snapshot(it->second);
      invariants_.voters_committed(snapshot.index.get(), snapshot.members);
    }
    check_entries(node, committed);
  }
  struct committed_range {
    std::int64_t index = 0, term = 0;
  };
  // Returns what the newest leader has committed. It may have stepped down in the same step in which it committed, and
  // its commit index is from its own term as long as no newer leader was seen.
  [[nodiscard]] auto committed_by_leader() const -> committed_range {
    for (const auto& node : replicas_)
      if (node->up() && node->leads_term == invariants_.newest_term())
        return {node->log->commit_index(), node->leads_term};
    return {};
  }
  auto check_entries(replica& node, const committed_range& committed) -> void {
    const auto& disk = node.own_machine->durable;
    // A disk whose log contains an entry of the newest leader's term matches that leader's log up to this entry.
    auto last_of_leader_term = std::int64_t{0};
    for (auto it = disk.lower_bound("L/e/"); it != disk.end() && it->first.starts_with("L/e/"); ++it)
      if (invariants_.term_of(entry_index(it->first), it->second) == committed.term)
        last_of_leader_term = entry_index(it->first);
    auto known_committed = std::min(committed.index, last_of_leader_term);
    const std::string* previous = nullptr;
    auto previous_index = std::int64_t{-1};
    for (auto it = disk.lower_bound("L/e/"); it != disk.end() && it->first.starts_with("L/e/"); ++it) {
      auto index = entry_index(it->first);
      invariants_.entry_seen(index, it->second, previous_index == index - 1 ? previous : nullptr);
      if (index <= known_committed)
        invariants_.entry_committed(index, it->second);
      previous = &it->second;
      previous_index = index;
    }
  }

  auto bootstrap() -> void {
    for (auto i = std::size_t{0}; i < schedule_.voters; ++i)
      start(*replicas_[i]);
    auto end = simulation_.clock + bootstrap_limit;
    while (!has_violation() && simulation_.clock < end && run_.acknowledged == 0)
      run_until(simulation_.clock + model_heartbeat);
    if (run_.acknowledged == 0)
      fail("commits-again", "no command is acknowledged after the bootstrap");
    // A replica whose disk is wiped later must join the existing log and must not bootstrap a new one.
    for (auto& node : replicas_)
      node->settings.may_bootstrap = false;
  }
  auto inject_faults() -> void {
    network_.faults = schedule_.background;
    auto begin = simulation_.clock;
    for (auto i = std::size_t{0}; i < schedule_.faults.size() && !has_violation(); ++i) {
      const auto& fault = schedule_.faults[i];
      run_until(begin + fault.at);
      if (has_violation())
        break;
      if (!options_.skipped_faults.contains(i))
        inject(i, fault);
    }
    run_until(begin + schedule_.fault_phase);
  }

  // Selects the replica that a fault hits. One third of all faults hit a leader.
  auto target_of(const drawn_fault& fault) -> replica* {
    auto candidates = std::vector<replica*>();
    for (auto& node : replicas_) {
      if (node->removed || !node->used)
        continue;
      if (fault.target % 3 == 0 && node->leads())
        return node.get();
      candidates.push_back(node.get());
    }
    return candidates.empty() ? nullptr : candidates[fault.target / 3 % candidates.size()];
  }
  auto other_than(const replica& node, std::uint64_t draw) -> replica* {
    auto candidates = std::vector<replica*>();
    for (auto& other : replicas_)
      if (other.get() != &node && other->used && !other->removed)
        candidates.push_back(other.get());
    return candidates.empty() ? nullptr : candidates[draw % candidates.size()];
  }
  auto unused_replica() -> replica* {
    for (auto& node : replicas_)
      if (!node->used)
        return node.get();
    return nullptr;
  }

  // Returns a running replica that is not a committed voter, or null if there is none.
  auto running_learner() -> replica* {
    for (auto& node : replicas_)
      if (node->up() && !is_committed_voter(*node))
        return node.get();
    return nullptr;
  }
  [[nodiscard]] auto is_committed_voter(const replica& node) const -> bool {
    return invariants_.committed_voters().contains({node.settings.address, node.log->disk_id()});
  }

  auto inject(std::size_t number, const drawn_fault& fault) -> void {
    auto* node = target_of(fault);
    if (!node)
      return;
    auto text = std::string(name_of(fault.kind)) + " (" + node->name + (node->leads() ? ", leader" : "") + "), " +
                std::to_string(fault.duration / millisecond) + " ms";
    run_.faults.push_back({number, std::to_string(simulation_.clock / millisecond) + " ms  " + text});
    add_trace("fault " + std::to_string(number) + ": " + text);
    switch (fault.kind) {
      case fault_kind::crash:
        stop(*node, "crashes");
        return start_later(*node, fault.duration);
      case fault_kind::crash_after_vote:
        node->crash_at_vote = true;
        node->downtime = fault.duration;
        return;
      case fault_kind::crash_after_append:
        node->crash_at_append = true;
        node->downtime = fault.duration;
        return;
      case fault_kind::power_loss:
        node->own_machine->powered = false;
        stop(*node, "loses power");
        return start_later(*node, fault.duration);
      case fault_kind::cut_two_ways:
      case fault_kind::cut_one_way:
      case fault_kind::cut_refusing:
        if (auto* other = other_than(*node, fault.other))
          cut(*node, *other, fault);
        return;
      case fault_kind::isolate:
      case fault_kind::isolate_inbound:
        for (auto& other : replicas_)
          if (other.get() != node)
            cut(*node, *other, fault);
        return;
      case fault_kind::freeze:
        return freeze(*node, fault.duration);
      case fault_kind::wipe_disk:
        return wipe_disk(*node, fault.duration);
      case fault_kind::wipe_learner:
        if (auto* learner = running_learner())
          wipe_disk(*learner, fault.duration);
        return;
      case fault_kind::replace:
        return replace(*node);
      case fault_kind::replace_twice:
        if (auto* replacement = unused_replica()) {
          replace(*node);
          simulation_.schedule(simulation_.clock + fault.duration, [this, replacement] {
            if (!has_violation() && !faults_ended_)
              replace(*replacement);
          });
        }
        return;
      case fault_kind::add:
        if (auto* added = unused_replica())
          start(*added);
        return;
      case fault_kind::disk_full:
        node->own_machine->disk_full = true;
        return simulation_.schedule(simulation_.clock + fault.duration, [node] {
          node->own_machine->disk_full = false;
        });
      case fault_kind::disk_slow:
        node->own_machine->sync_cost = slow_sync_cost;
        return simulation_.schedule(simulation_.clock + fault.duration, [node] {
          node->own_machine->sync_cost = fast_sync_cost;
        });
      case fault_kind::shut_down:
        return shut_down(*node, fault.duration);
      case fault_kind::bad_network:
        network_.faults = source_.draw_network();
        return simulation_.schedule(simulation_.clock + fault.duration, [this] {
          if (!faults_ended_)
            network_.faults = schedule_.background;
        });
    }
  }
  auto cut(const replica& node, const replica& other, const drawn_fault& fault) -> void {
    auto kind = fault.kind == fault_kind::cut_refusing ? cut_kind::refusing : cut_kind::silent;
    auto inbound = fault.kind != fault_kind::cut_one_way;
    auto outbound = fault.kind != fault_kind::isolate_inbound;
    auto paths = std::vector<std::pair<std::string, std::string>>();
    if (outbound)
      paths.emplace_back(node.name, other.name);
    if (inbound)
      paths.emplace_back(other.name, node.name);
    for (const auto& [from, to] : paths) {
      network_.cut(from, to, kind);
      simulation_.schedule(simulation_.clock + fault.duration, [this, from = from, to = to] {
        network_.heal(from, to);
      });
    }
  }
  auto freeze(replica& node, monotonic_time duration) -> void {
    if (!node.up())
      return;
    node.host->freeze(true);
    simulation_.schedule(simulation_.clock + duration, [this, &node, process = node.process] {
      unfreeze(node, process);
    });
  }
  auto unfreeze(replica& node, std::uint64_t process) -> void {
    if (node.up() && node.process == process && node.host->frozen)
      node.host->freeze(false);
  }
  // Stops a process in the same way as SIGTERM: transfers the leadership and leaves the voters, then ends the process.
  auto shut_down(replica& node, monotonic_time duration) -> void {
    if (!node.up())
      return;
    node.tasks->spawn(node.log->leave(simulation_.clock + shutdown_limit));
    simulation_.schedule(simulation_.clock + shutdown_limit, [this, &node, duration, process = node.process] {
      if (has_violation() || node.process != process)
        return;
      stop(node, "shuts down in order");
      start_later(node, duration);
    });
  }
  auto wipe_disk(replica& node, monotonic_time duration) -> void {
    if (!schedule_.allow_disk_majority_loss && !majority_is_intact_without(&node))
      return;
    stop(node, "loses its disk");
    node.own_machine->durable.clear();
    node.seen_meta.clear();
    node.seen_snapshot.clear();
    start_later(node, duration);
  }
  auto replace(replica& node) -> void {
    if (!schedule_.allow_disk_majority_loss && !majority_is_intact_without(&node))
      return;
    stop(node, "is permanently removed");
    node.own_machine->powered = false;
    node.removed = true;
    if (auto* next = unused_replica())
      start(*next);
  }

  [[nodiscard]] auto disk_is_intact(const voter& member, const replica* without) const -> bool {
    for (const auto& node : replicas_) {
      if (node->settings.address != member.address || node->removed || node.get() == without)
        continue;
      auto record = node->own_machine->durable.find("L/meta");
      return record != node->own_machine->durable.end() &&
             get_string(decode_with_checksum(record->second), "id") == member.disk_id;
    }
    return false;
  }
  [[nodiscard]] auto majority_is_intact(const membership& voters, const replica* without) const -> bool {
    return has_quorum(voters, [&](const voter& member) {
      return disk_is_intact(member, without);
    });
  }
  // Checks the committed voters and the voters that each running process uses.
  [[nodiscard]] auto majority_is_intact_without(const replica* without) const -> bool {
    if (!majority_is_intact(invariants_.committed_voters(), without))
      return false;
    return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& node) {
      return !node->up() || node->log->members().empty() || majority_is_intact(node->log->members(), without);
    });
  }

  auto end_faults() -> void {
    add_trace("all faults end");
    faults_ended_ = true;
    network_.heal_all();
    network_.faults = {};
    for (auto& node : replicas_) {
      node->crash_at_vote = node->crash_at_append = false;
      node->own_machine->disk_full = false;
      node->own_machine->sync_cost = fast_sync_cost;
      if (node->up() && node->host->frozen)
        node->host->freeze(false);
      if (node->used && !node->removed && !node->up())
        start(*node);
    }
  }
  auto check_recovery() -> void {
    if (!majority_is_intact_without(nullptr))
      return;
    run_.liveness_checked = true;
    auto begin = simulation_.clock;
    auto end = begin + recovery_limit;
    while (!has_violation() && simulation_.clock < end && newest_acknowledged_send_ < begin)
      run_until(simulation_.clock + model_heartbeat);
    if (newest_acknowledged_send_ < begin)
      return fail("commits-again", "no command is acknowledged after the faults");
    auto target = invariants_.acknowledged_until(simulation_.clock);
    while (!has_violation() && simulation_.clock < end && !lagging_voters(target).empty())
      run_until(simulation_.clock + model_heartbeat);
    if (auto lagging = lagging_voters(target); !lagging.empty())
      fail("catches-up", lagging + " did not apply all committed entries");
  }
  // Returns the names of the running voters that have not applied all entries up to `index`.
  [[nodiscard]] auto lagging_voters(std::int64_t index) const -> std::string {
    auto lagging = std::string();
    for (const auto& node : replicas_) {
      if (node->up() && node->state->index < index && is_committed_voter(*node))
        lagging += node->name + " ";
    }
    return lagging;
  }

  const model_options& options_;
  schedule_source source_;
  drawn_schedule schedule_;
  simulated_network simulation_;
  message_network network_;
  std::mt19937_64 random_engine_;
  std::vector<std::unique_ptr<replica>> replicas_;
  log_invariants invariants_;
  model_run run_;
  bool faults_ended_ = false;
  std::uint64_t checks_ = 0;
  std::int64_t commands_ = 0;
  monotonic_time next_command_ = 0, newest_acknowledged_send_ = -1;
};

}  // namespace

auto run_log_model(std::uint64_t seed, const model_options& options) -> model_run {
  return model(seed, options).execute();
}

auto shrink_log_model(std::uint64_t seed) -> model_run {
  auto options = model_options();
  auto best = run_log_model(seed, options);
  if (best.violations.empty())
    return best;
  auto invariant = best.violations[0].invariant;
  for (const auto& fault : std::vector<model_fault>(best.faults)) {
    auto fewer = options;
    fewer.skipped_faults.insert(fault.number);
    auto next = run_log_model(seed, fewer);
    if (!next.violations.empty() && next.violations[0].invariant == invariant)
      options = fewer;
  }
  options.trace = true;
  return run_log_model(seed, options);
}

auto to_text(const model_run& run) -> std::string {
  auto out = "seed " + std::to_string(run.seed) + "\n";
  for (const auto& violation : run.violations)
    out += "  violation at " + std::to_string(violation.at_ms) + " ms: " + violation.invariant + ": " +
           violation.detail + "\n";
  out += "  schedule:\n";
  for (const auto& fault : run.faults)
    out += "    " + fault.text + "\n";
  if (run.trace.empty())
    return out;
  out += "  trace:\n";
  auto first = run.trace.size() > trace_lines_shown ? run.trace.size() - trace_lines_shown : 0;
  for (auto i = first; i < run.trace.size(); ++i)
    out += "    " + run.trace[i] + "\n";
  return out;
}

}  // namespace reachridge
