// Copies of a partition: what a backup takes in, and where several of them stand (design 6.6, 6.11).
#include "runtime/log.hpp"
#include "simulator/fleet.hpp"
#include "storage/partition_state.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

constexpr auto foreign_epoch = std::int64_t{1000};
const auto foreign_primary = std::string("comb-9/x");
const auto partition_id = std::string("alerts/0");

auto calm_shape() -> fleet_shape {
  auto out = fleet_shape();
  out.clients = 0;
  return out;
}

auto three_copies() -> fleet_shape {
  auto out = fleet_shape();
  out.storage_nodes = 8;
  out.control_nodes = 5;
  out.zones = 4;
  out.keep_low = out.keep;
  out.settings["copies"] = "3";
  return out;
}

auto join_frame(std::int64_t join) -> value {
  return object{{"op", "c.join"},          {"cell", partition_id}, {"epoch", foreign_epoch},
                {"from", foreign_primary}, {"join", join},         {"last", 0}};
}

// The whole state of an empty partition at this index, in one part.
auto copy_frame(std::int64_t join, std::int64_t index) -> value {
  auto bytes = encode_with_checksum(
      object{{"format", 1}, {"idx", index}, {"epoch", foreign_epoch}, {"state", partition_state().take_snapshot()}});
  auto hex = std::string();
  for (auto ch : bytes) {
    hex += "0123456789abcdef"[static_cast<unsigned char>(ch) >> 4];
    hex += "0123456789abcdef"[static_cast<unsigned char>(ch) & 15];
  }
  return object{{"op", "c.copy"},         {"cell", partition_id},
                {"epoch", foreign_epoch}, {"from", foreign_primary},
                {"join", join},           {"part", 0},
                {"bytes", hex},           {"end", true}};
}

auto log_frame(std::int64_t previous) -> value {
  auto rows = array{object{{"v", foreign_epoch}, {"g", true}, {"e", object{{"k", "c"}, {"d", 1}}}}};
  return object{{"op", "c.log"},
                {"cell", partition_id},
                {"epoch", foreign_epoch},
                {"from", foreign_primary},
                {"prev", previous},
                {"prev_epoch", previous ? foreign_epoch : 0},
                {"rows", rows}};
}

auto node_without_copy(const fleet& f) -> std::string {
  auto members = f.in_step(partition_id);
  for (const auto& n : f.names("comb"))
    if (std::find(members.begin(), members.end(), n) == members.end())
      return n;
  return {};
}

auto zones_of(const fleet& f, const std::vector<std::string>& nodes) -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& n : nodes)
    out.insert(f.processes.at(n)->machine->zone);
  return out;
}

// Has each partition of the clients' spaces, all of which keep messages, so many copies in step?
auto whole(const fleet& f, std::size_t copies) -> bool {
  const auto& any = *f.processes.at(f.names("comb").front());
  if (!any.storage)
    return false;
  const auto& cells = any.storage->session.view.partitions;
  return !cells.empty() && std::all_of(cells.begin(), cells.end(), [&](const auto& c) {
    return c.first.starts_with("probe/") || c.second.in_sync_replicas.size() == copies;
  });
}

auto acknowledged(const fleet& f) -> std::int64_t {
  auto out = std::int64_t{0};
  for (const auto& [answer, count] : f.observed.counts)
    if (answer.ends_with("acked"))
      out += count;
  return out;
}

}  // namespace

TEST_GROUP(partition_copies){};

// A link that was given up may bring its bytes late: a copy begun before the last join would undo what came since.
TEST(partition_copies, a_copy_of_an_earlier_join_is_refused) {
  auto f = fleet(81, calm_shape());
  CHECK(f.begin());
  auto node = node_without_copy(f);
  auto address = f.processes.at(node)->settings.address;
  auto code = std::make_shared<std::string>("none");
  f.operator_tasks->spawn([](fleet& fl, std::string to, std::shared_ptr<std::string> said) -> task<void> {
    auto old = peer_connection(*fl.outside, peer_connection::options{"old", to, 100 * millisecond, second});
    auto fresh = peer_connection(*fl.outside, peer_connection::options{"fresh", to, 100 * millisecond, second});
    while (!old.is_up() || !fresh.is_up())
      co_await sleep_for(*fl.outside, millisecond);
    auto limit = fl.outside->now() + second;
    co_await old.call(join_frame(1), limit);
    co_await old.call(copy_frame(1, 5), limit);
    fresh.send(log_frame(5));
    fresh.send(log_frame(6));
    co_await sleep_for(*fl.outside, 100 * millisecond);
    co_await fresh.call(join_frame(2), limit);
    try {
      co_await old.call(copy_frame(1, 5), limit);
      *said = "taken";
    } catch (const request_error& v) {
      *said = v.code_text();
    }
  }(f, address, code));
  f.network.run(f.network.clock + 900 * millisecond);
  STRCMP_EQUAL("old", code->c_str());
  const auto* copy = f.processes.at(node)->storage->held_partition(partition_id);
  CHECK(copy != nullptr);
  LONGS_EQUAL(7, get_int(copy->status(), "last"));
  LONGS_EQUAL(7, get_int(copy->status(), "solid"));
}

TEST(partition_copies, three_stand_in_three_zones_from_the_start) {
  auto f = fleet(82, three_copies());
  CHECK(f.begin());
  CHECK(whole(f, 3));
  for (const auto& [id, row] : f.processes.at("comb-1")->storage->session.view.partitions)
    if (!id.starts_with("probe/"))
      LONGS_EQUAL(3, zones_of(f, f.in_step(id)).size());
}

// A silent backup holds outputs for no longer than its silence needs to be known, and another takes its place.
TEST(partition_copies, a_silent_one_of_three_is_passed_over_and_replaced) {
  for (auto seed = 83; seed <= 86; ++seed) {
    auto f = fleet(static_cast<std::uint64_t>(seed), three_copies());
    CHECK(f.begin());
    auto set = f.processes.at("comb-1")->settings;
    auto primary = f.primary_of(partition_id), silent = f.in_step(partition_id).back();
    f.freeze(silent, true);
    auto from = f.network.clock;
    auto shrunk = monotonic_time{0}, restored = monotonic_time{0};
    while (f.network.clock < from + 10 * second && restored == 0) {
      f.network.run(f.network.clock + 10 * millisecond);
      auto status = f.processes.at(primary)->storage->held_partition(partition_id)->status();
      auto backups = get_array(status, "backups").size();
      if (backups == 1 && shrunk == 0)
        shrunk = f.network.clock;
      if (shrunk > 0 && backups == 2)
        restored = f.network.clock;
    }
    CHECK(shrunk > 0);
    CHECK(shrunk - from <= set.failure_timeout + 3 * set.heartbeat_interval);
    CHECK(restored > 0);
    CHECK(restored - from <= set.failure_timeout * 3);
    STRCMP_EQUAL(primary.c_str(), f.primary_of(partition_id).c_str());
  }
}

// What a primary has released is on the disk of each backup in step, also of one whose disk is slow: any of them may be
// the only one that is left.
TEST(partition_copies, each_backup_has_synced_what_was_released) {
  for (auto seed = 91; seed <= 94; ++seed) {
    auto form = three_copies();
    form.every = 50 * millisecond;
    form.clients = 16;
    auto f = fleet(static_cast<std::uint64_t>(seed), form);
    CHECK(f.begin());
    auto members = f.in_step(partition_id);
    LONGS_EQUAL(3, members.size());
    const auto* primary = f.processes.at(members.front())->storage->held_partition(partition_id);
    for (auto slow = std::size_t{1}; slow < members.size(); ++slow) {
      for (auto i = std::size_t{1}; i < members.size(); ++i)
        f.processes.at(members[i])->machine->sync_cost = (i == slow ? 60 : 3) * millisecond;
      auto released_before = get_int(primary->status(), "spoken");
      for (auto end = f.network.clock + 2 * second; f.network.clock < end;) {
        f.network.run(f.network.clock + millisecond);
        auto released = get_int(primary->status(), "spoken");
        for (auto i = std::size_t{1}; i < members.size(); ++i) {
          const auto* backup = f.processes.at(members[i])->storage->held_partition(partition_id);
          CHECK(get_int(backup->status(), "solid") >= released);
        }
      }
      CHECK(get_int(primary->status(), "spoken") > released_before + 10);
    }
  }
}

// With fewer nodes than copies wanted, partitions run with what there is, and refuse nothing for want of more.
TEST(partition_copies, two_nodes_serve_though_three_are_wanted) {
  auto form = three_copies();
  form.storage_nodes = 2;
  form.zones = 2;
  auto f = fleet(87, form);
  CHECK(f.begin());
  CHECK(whole(f, 2));
  f.network.run(f.network.clock + 5 * second);
  CHECK(whole(f, 2));
  CHECK(acknowledged(f) > 0);
}
