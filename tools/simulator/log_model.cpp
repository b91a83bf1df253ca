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

constexpr auto lease = model_silence * 3 / 2;        // in the proportion of the product's defaults
constexpr auto served_for = model_silence * 9 / 32;  // after a majority's last confirmation
// An older leader's configuration may be served so long after a newer one was acknowledged.
constexpr auto served_bound = lease / 4 + model_silence * 3 / 8;
constexpr auto founding_limit = 3 * second;
constexpr auto recovery_limit = model_silence * 20;
constexpr auto hand_over_limit = model_silence / 2;
constexpr auto small_bounds = log_limits{8, 4, 64, 48};
constexpr auto spare_machines = std::size_t{3};
constexpr auto quick_sync = 2 * millisecond;
constexpr auto slow_sync = 60 * millisecond;
constexpr auto progress_check_every = std::uint64_t{5};
constexpr auto trace_lines_shown = std::size_t{60};

// A state machine that remembers its history in one number.
struct history_digest {
  std::int64_t index = 0;  // of the newest command
  std::uint64_t digest = 0;

  auto apply(std::int64_t at, std::int64_t command) -> void {
    index = at;
    digest = (digest ^ static_cast<std::uint64_t>(command)) * 0x9e3779b97f4a7c15ULL + static_cast<std::uint64_t>(at);
  }
};

// A machine and the process on it, which may be down.
struct replica {
  std::string name;
  machine* box = nullptr;
  reachridge::settings settings;
  bool used = false;          // has been started once
  bool removed = false;       // gone for good, with its disk
  std::uint64_t process = 0;  // counts its starts
  std::unique_ptr<message_host> host;
  std::unique_ptr<history_digest> state;
  std::unique_ptr<consensus> log;
  std::unique_ptr<task_group> tasks;
  std::int64_t leads_term = 0;  // the term of its last leadership
  bool crash_at_vote = false, crash_at_append = false;
  monotonic_time stays_down = 0;  // of an armed crash
  std::string seen_meta, seen_snapshot;
  std::uint64_t seen_writes = 0;
  std::int64_t seen_commit = 0;

  [[nodiscard]] auto up() const -> bool {
    return log != nullptr;
  }
  [[nodiscard]] auto leads() const -> bool {
    return up() && log->is_leader();
  }
};

auto entry_index(const std::string& key) -> std::int64_t {
  return static_cast<std::int64_t>(std::stoull(key.substr(4), nullptr, 16));
}

class model {
 public:
  model(std::uint64_t seed, const model_options& options)
      : options_(options),
        source_(seed),
        schedule_(source_.draw()),
        world_(seed + 1),
        network_(world_, seed + 2),
        dice_(seed + 3) {
    run_.seed = seed;
    auto seeds = std::vector<std::string>();
    for (auto i = std::size_t{0}; i < schedule_.voters + spare_machines; ++i) {
      add_machine(i + 1);
      if (i < schedule_.voters)
        seeds.push_back(replicas_.back()->settings.address);
    }
    for (auto& one : replicas_)
      one->settings.seeds = seeds;
  }
  model(const model&) = delete;
  auto operator=(const model&) -> model& = delete;
  ~model() {
    for (auto& one : replicas_)
      end_process(*one);
  }

  auto play() -> model_run {
    found();
    if (!broken())
      play_faults();
    if (!broken())
      end_faults();
    if (!broken())
      check_recovery();
    run_.membership_changes = invariants_.membership_changes();
    return std::move(run_);
  }

 private:
  [[nodiscard]] auto broken() const -> bool {
    return !run_.violations.empty();
  }

  // Runs a check; what it throws is this run's violation and ends it.
  auto check(const std::function<void()>& what) -> void {
    if (broken())
      return;
    try {
      what();
    } catch (const invariant_broken& fault) {
      run_.violations.push_back({fault.invariant, fault.detail, world_.clock / millisecond});
      note("VIOLATION " + fault.invariant + ": " + fault.detail);
      world_.stopped = true;
    }
  }
  auto fail(const char* invariant, const std::string& detail) -> void {
    for (const auto& one : replicas_)
      if (one->up())
        note(one->name + ": " + to_json(one->log->status()));
    check([&] {
      throw invariant_broken{invariant, detail};
    });
  }
  auto note(const std::string& line) -> void {
    if (options_.trace)
      run_.trace.push_back(std::to_string(world_.clock / millisecond) + " ms  " + line);
  }

  auto add_machine(std::size_t number) -> void {
    auto one = std::make_unique<replica>();
    one->name = "r" + std::to_string(number);
    one->box = &world_.machine_at(one->name, "z" + std::to_string(number));
    one->box->sync_cost = quick_sync;
    auto& set = one->settings;
    set.name = one->name;
    set.address = one->box->ip + ":9000";
    set.heartbeat_interval = model_heartbeat;
    set.failure_timeout = model_silence;
    set.lease_duration = lease;
    set.request_timeout = model_silence;
    replicas_.push_back(std::move(one));
  }

  auto start(replica& one) -> void {
    if (one.removed || one.up())
      return;
    one.used = true;
    one.box->powered = true;
    ++one.process;
    one.host = std::make_unique<message_host>(network_, *one.box, dice_());
    one.state = std::make_unique<history_digest>();
    try {
      one.log = std::make_unique<consensus>(*one.host, one.settings, rules_for(one));
    } catch (const std::exception& error) {
      return fail("starts-again", one.name + " does not start from its disk: " + error.what());
    }
    one.tasks = std::make_unique<task_group>(*one.host);
    auto handler = rpc_handlers();
    handler.on_call = [this, &one](connection_ptr, value request) {
      return answer(one, std::move(request));
    };
    one.tasks->spawn(serve(*one.host, *one.tasks, one.host->listen(one.settings.address), handler, one.name));
    note(one.name + " starts, disk " + one.log->disk_id().substr(0, 4));
  }
  auto end_process(replica& one) -> void {
    one.tasks.reset();
    one.log.reset();
    one.state.reset();
    one.host.reset();
    one.seen_writes = 0;
    one.crash_at_vote = one.crash_at_append = false;
  }
  auto stop(replica& one, const char* why) -> void {
    if (!one.up())
      return;
    check([&] {
      check_disk(one);
    });
    note(one.name + " " + why);
    end_process(one);
  }
  auto start_later(replica& one, monotonic_time wait) -> void {
    world_.schedule(world_.clock + wait, [this, &one] {
      if (!broken())
        start(one);
    });
  }

  auto rules_for(replica& one) -> consensus::state_machine {
    auto out = consensus::state_machine();
    out.apply = [this, &one](std::int64_t index, const value& command) {
      return apply(one, index, command);
    };
    out.take_snapshot = [&one] {
      return value(object{{"index", one.state->index}, {"digest", std::to_string(one.state->digest)}});
    };
    out.restore = [this, &one](const value& snapshot) {
      restore(one, snapshot);
    };
    out.leader_changed = [this, &one] {
      leader_changed(one);
    };
    out.limits = small_bounds;
    return out;
  }
  auto apply(replica& one, std::int64_t index, const value& command) -> value {
    auto number = get_int(command, "command");
    one.state->apply(index, number);
    check([&] {
      invariants_.applied(index, number, one.state->digest);
    });
    return object{{"index", index}};
  }
  auto restore(replica& one, const value& snapshot) -> void {
    ++run_.snapshots;
    auto index = get_int(snapshot, "index");
    check([&] {
      if (index < one.state->index)
        throw invariant_broken{"committed-stays", one.name + " goes back to a snapshot of " + std::to_string(index)};
    });
    one.state->index = index;
    one.state->digest = std::stoull(get_string(snapshot, "digest"));
    if (index > 0)
      check([&] {
        invariants_.restored(index, one.state->digest);
      });
    note(one.name + " restores a snapshot, newest command at " + std::to_string(index));
  }
  auto leader_changed(replica& one) -> void {
    if (!one.leads())
      return;
    auto term = get_int(one.log->status(), "term");
    if (term != one.leads_term) {
      one.leads_term = term;
      ++run_.elections;
      note(one.name + " leads term " + std::to_string(term));
    }
    check([&] {
      invariants_.leads(one.log->disk_id(), term);
    });
    if (one.log->leadership_established())
      check([&] {
        invariants_.must_hold("leader-complete", one.state->index, world_.clock, one.name);
      });
  }

  auto answer(replica& one, value request) -> task<value> {
    auto op = get_string_or(request, "op");
    auto votes = op == "l.vote" && !get_bool(request, "dry");
    auto term = votes ? get_int(request, "term") : 0;
    auto candidate = votes ? get_string(request, "from") : std::string();
    auto reply = co_await one.log->handle_request(op, std::move(request));
    if (votes && get_bool(reply, "ok") && get_int(reply, "term") == term) {
      check([&] {
        invariants_.vote_granted(get_string(reply, "id"), term, candidate);
      });
      note(one.name + " votes in term " + std::to_string(term) + " for " + name_at(candidate));
      if (one.crash_at_vote)
        crash_now(one);
    }
    if (op == "l.append" && get_bool(reply, "ok") && one.crash_at_append)
      crash_now(one);
    co_return reply;
  }
  // From outside of the process's own tasks: its answer is on the way by then.
  auto crash_now(replica& one) -> void {
    one.crash_at_vote = one.crash_at_append = false;
    auto process = one.process;
    world_.schedule(world_.clock + 1, [this, &one, process] {
      if (one.process != process)
        return;
      stop(one, "crashes");
      start_later(one, one.stays_down);
    });
  }
  [[nodiscard]] auto name_at(const std::string& address) const -> std::string {
    const auto* one = replica_at(address);
    return one ? one->name : address;
  }

  auto run_until(monotonic_time end) -> void {
    constexpr auto check_gap = 10 * millisecond;
    while (!broken() && world_.clock < end) {
      if (world_.clock >= next_command_)
        send_commands();
      auto next = std::min({end, world_.clock + check_gap, std::max(next_command_, world_.clock + 1)});
      world_.run(next);
      check([&] {
        check_all();
      });
    }
  }
  auto send_commands() -> void {
    next_command_ = world_.clock + schedule_.command_gap;
    for (auto& one : replicas_) {
      if (!one->leads())
        continue;
      one->tasks->spawn(propose(*one, ++commands_));
      if (commands_ % 2 == 0)
        one->tasks->spawn(read_fresh(*one));
    }
  }
  auto propose(replica& one, std::int64_t command) -> task<void> {
    auto sent = world_.clock;
    try {
      auto deed = value(object{{"command", command}});
      auto result = co_await one.log->propose(std::move(deed), world_.clock + model_silence);
      auto index = get_int(result, "index");
      check([&] {
        invariants_.acknowledged(index, command, world_.clock);
      });
      ++run_.acknowledged;
      newest_acknowledged_send_ = std::max(newest_acknowledged_send_, sent);
      note(one.name + " acknowledges command " + std::to_string(command) + " at " + std::to_string(index));
    } catch (const request_error& error) {
      if (error.outcome == execution_outcome::not_executed)
        invariants_.refused(command);
    }
  }
  auto read_fresh(replica& one) -> task<void> {
    auto asked = world_.clock;
    try {
      co_await one.log->read_barrier(world_.clock + model_silence);
      check([&] {
        invariants_.must_hold("fresh-read", one.state->index, asked, one.name);
      });
    } catch (const request_error&) {
    }
  }

  auto check_all() -> void {
    for (auto& one : replicas_)
      if (one->up())
        check_disk(*one);
    for (auto& one : replicas_) {
      if (!one->leads())
        continue;
      if (one->leads_term == invariants_.newest_term())
        invariants_.active_voters(one->log->members(), one->name);
      if (++checks_ % progress_check_every == 0)
        check_progress(*one);
      auto serves = one->log->leadership_established() && world_.clock < one->log->last_quorum_contact() + served_for &&
                    !one->host->frozen;
      if (serves)
        invariants_.must_hold("served-within-bound", one->state->index, world_.clock - served_bound, one->name);
    }
  }
  // What the newest leader counts as synced by a disk, that disk holds.
  auto check_progress(const replica& leader) -> void {
    if (leader.leads_term != invariants_.newest_term())
      return;
    auto status = leader.log->status();
    for (const auto& seat : get_array(status, "voters")) {
      auto match = get_int(status, "last") - get_int(seat, "behind");
      const auto* one = replica_at(get_string(seat, "addr"));
      if (!one || !disk_stands({get_string(seat, "addr"), get_string(seat, "id")}, nullptr) || holds(*one, match))
        continue;
      throw invariant_broken{"counted-is-synced", leader.name + " counts entry " + std::to_string(match) + " on " +
                                                      one->name + "/" + get_string(seat, "id").substr(0, 4) +
                                                      ", which lacks it"};
    }
  }
  [[nodiscard]] auto holds(const replica& one, std::int64_t index) const -> bool {
    constexpr auto key_size = std::size_t{32};
    char key[key_size];
    std::snprintf(key, sizeof key, "L/e/%016llx", static_cast<unsigned long long>(index));
    if (index <= 0 || one.box->durable.contains(key))
      return true;
    auto snapshot = one.box->durable.find("L/cap");
    return snapshot != one.box->durable.end() && get_int(decode_with_checksum(snapshot->second), "idx") >= index;
  }
  [[nodiscard]] auto replica_at(const std::string& address) const -> const replica* {
    for (const auto& one : replicas_)
      if (one->settings.address == address)
        return one.get();
    return nullptr;
  }
  // What a disk holds: its vote, its entries, its snapshot's voters.
  auto check_disk(replica& one) -> void {
    auto committed = committed_by_leader();
    auto writes = one.host->disk()->syncs;
    if (writes == one.seen_writes && committed.index == one.seen_commit)
      return;
    one.seen_writes = writes;
    one.seen_commit = committed.index;
    const auto& disk = one.box->durable;
    if (auto it = disk.find("L/meta"); it != disk.end() && it->second != one.seen_meta) {
      one.seen_meta = it->second;
      auto meta = decode_with_checksum(it->second);
      if (auto vote = get_string(meta, "voted"); !vote.empty())
        invariants_.vote_granted(get_string(meta, "id"), get_int(meta, "term"), vote);
    }
    if (auto it = disk.find("L/cap"); it != disk.end() && it->second != one.seen_snapshot) {
      one.seen_snapshot = it->second;
      auto snapshot = deserialize_snapshot(it->second);
      invariants_.voters_committed(snapshot.index.get(), snapshot.members);
    }
    check_entries(one, committed);
  }
  struct committed_range {
    std::int64_t index = 0, term = 0;
  };
  [[nodiscard]] auto committed_by_leader() const -> committed_range {
    for (const auto& one : replicas_)
      if (one->leads() && one->leads_term == invariants_.newest_term())
        return {one->log->commit_index(), one->leads_term};
    return {};
  }
  auto check_entries(replica& one, const committed_range& committed) -> void {
    const auto& disk = one.box->durable;
    // What follows on a disk from the newest leader's own entries is that leader's log.
    auto leaders_own = std::int64_t{0};
    for (auto it = disk.lower_bound("L/e/"); it != disk.end() && it->first.starts_with("L/e/"); ++it)
      if (invariants_.term_of(entry_index(it->first), it->second) == committed.term)
        leaders_own = entry_index(it->first);
    auto known = std::min(committed.index, leaders_own);
    const std::string* previous = nullptr;
    auto previous_index = std::int64_t{-1};
    for (auto it = disk.lower_bound("L/e/"); it != disk.end() && it->first.starts_with("L/e/"); ++it) {
      auto index = entry_index(it->first);
      invariants_.entry_seen(index, it->second, previous_index == index - 1 ? previous : nullptr);
      if (index <= known)
        invariants_.entry_committed(index, it->second);
      previous = &it->second;
      previous_index = index;
    }
  }

  auto found() -> void {
    for (auto i = std::size_t{0}; i < schedule_.voters; ++i)
      start(*replicas_[i]);
    auto end = world_.clock + founding_limit;
    while (!broken() && world_.clock < end && run_.acknowledged == 0)
      run_until(world_.clock + model_heartbeat);
    if (run_.acknowledged == 0)
      fail("commits-again", "no command is acknowledged after the founding");
    // A disk that is emptied from now on joins the log that there is; it begins no other.
    for (auto& one : replicas_)
      one->settings.may_bootstrap = false;
  }
  auto play_faults() -> void {
    network_.faults = schedule_.background;
    auto begin = world_.clock;
    for (auto i = std::size_t{0}; i < schedule_.faults.size() && !broken(); ++i) {
      const auto& fault = schedule_.faults[i];
      run_until(begin + fault.at);
      if (broken())
        break;
      if (!options_.left_out.contains(i))
        carry_out(i, fault);
    }
    run_until(begin + schedule_.fault_phase);
  }

  // One third of all faults aims at the leader.
  auto target_of(const drawn_fault& fault) -> replica* {
    auto candidates = std::vector<replica*>();
    for (auto& one : replicas_) {
      if (one->removed || !one->used)
        continue;
      if (fault.target % 3 == 0 && one->leads())
        return one.get();
      candidates.push_back(one.get());
    }
    return candidates.empty() ? nullptr : candidates[fault.target / 3 % candidates.size()];
  }
  auto other_than(const replica& one, std::uint64_t draw) -> replica* {
    auto candidates = std::vector<replica*>();
    for (auto& other : replicas_)
      if (other.get() != &one && other->used && !other->removed)
        candidates.push_back(other.get());
    return candidates.empty() ? nullptr : candidates[draw % candidates.size()];
  }
  auto spare() -> replica* {
    for (auto& one : replicas_)
      if (!one->used)
        return one.get();
    return nullptr;
  }

  // One that runs and is not among the committed voters.
  auto unseated() -> replica* {
    for (auto& one : replicas_)
      if (one->up() && !seated(*one))
        return one.get();
    return nullptr;
  }
  [[nodiscard]] auto seated(const replica& one) const -> bool {
    return invariants_.committed_voters().contains({one.settings.address, one.log->disk_id()});
  }

  auto carry_out(std::size_t number, const drawn_fault& fault) -> void {
    auto* one = target_of(fault);
    if (!one)
      return;
    auto text = std::string(name_of(fault.kind)) + " (" + one->name + (one->leads() ? ", leads" : "") + "), " +
                std::to_string(fault.lasts / millisecond) + " ms";
    run_.faults.push_back({number, std::to_string(world_.clock / millisecond) + " ms  " + text});
    note("fault " + std::to_string(number) + ": " + text);
    switch (fault.kind) {
      case fault_kind::crash:
        stop(*one, "crashes");
        return start_later(*one, fault.lasts);
      case fault_kind::crash_after_vote:
        one->crash_at_vote = true;
        one->stays_down = fault.lasts;
        return;
      case fault_kind::crash_after_append:
        one->crash_at_append = true;
        one->stays_down = fault.lasts;
        return;
      case fault_kind::power_loss:
        one->box->powered = false;
        stop(*one, "loses power");
        return start_later(*one, fault.lasts);
      case fault_kind::cut_two_ways:
      case fault_kind::cut_one_way:
      case fault_kind::cut_refusing:
        if (auto* other = other_than(*one, fault.other))
          cut(*one, *other, fault);
        return;
      case fault_kind::isolate:
      case fault_kind::isolate_inbound:
        for (auto& other : replicas_)
          if (other.get() != one)
            cut(*one, *other, fault);
        return;
      case fault_kind::freeze:
        return freeze(*one, fault.lasts);
      case fault_kind::wipe_disk:
        return wipe(*one, fault.lasts);
      case fault_kind::wipe_learner:
        if (auto* learner = unseated())
          wipe(*learner, fault.lasts);
        return;
      case fault_kind::replace:
        return replace(*one);
      case fault_kind::replace_twice:
        if (auto* first = spare()) {
          replace(*one);
          world_.schedule(world_.clock + fault.lasts, [this, first] {
            if (!broken() && !faults_ended_)
              replace(*first);
          });
        }
        return;
      case fault_kind::add:
        if (auto* more = spare())
          start(*more);
        return;
      case fault_kind::disk_full:
        one->box->disk_full = true;
        return world_.schedule(world_.clock + fault.lasts, [one] {
          one->box->disk_full = false;
        });
      case fault_kind::disk_slow:
        one->box->sync_cost = slow_sync;
        return world_.schedule(world_.clock + fault.lasts, [one] {
          one->box->sync_cost = quick_sync;
        });
      case fault_kind::leave:
        return leave(*one, fault.lasts);
      case fault_kind::bad_network:
        network_.faults = source_.draw_network();
        return world_.schedule(world_.clock + fault.lasts, [this] {
          if (!faults_ended_)
            network_.faults = schedule_.background;
        });
    }
  }
  auto cut(const replica& one, const replica& other, const drawn_fault& fault) -> void {
    auto kind = fault.kind == fault_kind::cut_refusing ? cut_kind::refusing : cut_kind::silent;
    auto inbound = fault.kind != fault_kind::cut_one_way;
    auto outbound = fault.kind != fault_kind::isolate_inbound;
    auto paths = std::vector<std::pair<std::string, std::string>>();
    if (outbound)
      paths.emplace_back(one.name, other.name);
    if (inbound)
      paths.emplace_back(other.name, one.name);
    for (const auto& [from, to] : paths) {
      network_.cut(from, to, kind);
      world_.schedule(world_.clock + fault.lasts, [this, from = from, to = to] {
        network_.heal(from, to);
      });
    }
  }
  auto freeze(replica& one, monotonic_time lasts) -> void {
    if (!one.up())
      return;
    one.host->freeze(true);
    world_.schedule(world_.clock + lasts, [this, &one, process = one.process] {
      thaw(one, process);
    });
  }
  auto thaw(replica& one, std::uint64_t process) -> void {
    if (one.up() && one.process == process && one.host->frozen)
      one.host->freeze(false);
  }
  // As on SIGTERM: hands the leadership over first, then ends.
  auto leave(replica& one, monotonic_time lasts) -> void {
    if (!one.up())
      return;
    one.tasks->spawn(one.log->transfer_leadership(world_.clock + hand_over_limit));
    world_.schedule(world_.clock + hand_over_limit, [this, &one, lasts, process = one.process] {
      if (broken() || one.process != process)
        return;
      stop(one, "ends in order");
      start_later(one, lasts);
    });
  }
  auto wipe(replica& one, monotonic_time lasts) -> void {
    if (!schedule_.careless && !majority_stands_without(&one))
      return;
    stop(one, "loses its disk");
    one.box->durable.clear();
    one.seen_meta.clear();
    one.seen_snapshot.clear();
    start_later(one, lasts);
  }
  auto replace(replica& one) -> void {
    if (!schedule_.careless && !majority_stands_without(&one))
      return;
    stop(one, "is gone for good");
    one.box->powered = false;
    one.removed = true;
    if (auto* next = spare())
      start(*next);
  }

  [[nodiscard]] auto disk_stands(const voter& seat, const replica* without) const -> bool {
    for (const auto& one : replicas_) {
      if (one->settings.address != seat.address || one->removed || one.get() == without)
        continue;
      auto it = one->box->durable.find("L/meta");
      return it != one->box->durable.end() && get_string(decode_with_checksum(it->second), "id") == seat.disk_id;
    }
    return false;
  }
  [[nodiscard]] auto majority_stands(const membership& voters, const replica* without) const -> bool {
    return decides(voters, [&](const voter& seat) {
      return disk_stands(seat, without);
    });
  }
  // Of the committed voters and of those that any process goes by.
  [[nodiscard]] auto majority_stands_without(const replica* without) const -> bool {
    if (!majority_stands(invariants_.committed_voters(), without))
      return false;
    return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& one) {
      return !one->up() || one->log->members().empty() || majority_stands(one->log->members(), without);
    });
  }

  auto end_faults() -> void {
    note("all faults end");
    faults_ended_ = true;
    network_.heal_all();
    network_.faults = {};
    for (auto& one : replicas_) {
      one->crash_at_vote = one->crash_at_append = false;
      one->box->disk_full = false;
      one->box->sync_cost = quick_sync;
      if (one->up() && one->host->frozen)
        one->host->freeze(false);
      if (one->used && !one->removed && !one->up())
        start(*one);
    }
  }
  auto check_recovery() -> void {
    if (!majority_stands_without(nullptr))
      return;
    run_.judged_liveness = true;
    auto begin = world_.clock;
    auto end = begin + recovery_limit;
    while (!broken() && world_.clock < end && newest_acknowledged_send_ < begin)
      run_until(world_.clock + model_heartbeat);
    if (newest_acknowledged_send_ < begin)
      return fail("commits-again", "nothing is acknowledged after the faults");
    auto target = invariants_.acknowledged_until(world_.clock);
    while (!broken() && world_.clock < end && !caught_up(target).empty())
      run_until(world_.clock + model_heartbeat);
    if (auto late = caught_up(target); !late.empty())
      fail("catches-up", late + " did not learn what is committed");
  }
  // The voters that run and lack entries up to `index`.
  [[nodiscard]] auto caught_up(std::int64_t index) const -> std::string {
    auto late = std::string();
    for (const auto& one : replicas_) {
      if (one->up() && one->state->index < index && seated(*one))
        late += one->name + " ";
    }
    return late;
  }

  const model_options& options_;
  schedule_source source_;
  drawn_schedule schedule_;
  simulated_network world_;
  message_network network_;
  std::mt19937_64 dice_;
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
  return model(seed, options).play();
}

auto shrink_log_model(std::uint64_t seed) -> model_run {
  auto options = model_options();
  auto best = run_log_model(seed, options);
  if (best.violations.empty())
    return best;
  auto invariant = best.violations[0].invariant;
  for (const auto& fault : std::vector<model_fault>(best.faults)) {
    auto fewer = options;
    fewer.left_out.insert(fault.number);
    auto next = run_log_model(seed, fewer);
    if (!next.violations.empty() && next.violations[0].invariant == invariant)
      options = fewer;
  }
  options.trace = true;
  return run_log_model(seed, options);
}

auto to_text(const model_run& run) -> std::string {
  auto out = "seed " + std::to_string(run.seed) + "\n";
  for (const auto& one : run.violations)
    out += "  broken at " + std::to_string(one.at_ms) + " ms: " + one.invariant + ": " + one.detail + "\n";
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
