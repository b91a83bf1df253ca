// Copies of a partition: what a backup takes in, and where several of them stand (design 6.6, 6.11).
#include "comb/partition_state.hpp"
#include "swarm/fleet.hpp"
#include "wax/ring.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace hive;

namespace {

constexpr auto foreign_epoch = std::int64_t{1000};
const auto foreign_primary = std::string("comb-9/x");
const auto partition_id = std::string("alerts/0");

auto calm_shape() -> shape {
  auto out = shape();
  out.callers = 0;
  return out;
}

auto three_copies() -> shape {
  auto out = shape();
  out.combs = 8;
  out.queens = 5;
  out.zones = 4;
  out.keep_low = out.keep;
  out.set["copies"] = "3";
  return out;
}

auto join_frame(std::int64_t join) -> tree {
  return branch{{"op", "c.join"},          {"cell", partition_id}, {"epoch", foreign_epoch},
                {"from", foreign_primary}, {"join", join},         {"last", 0}};
}

// The whole state of an empty partition at this index, in one part.
auto copy_frame(std::int64_t join, std::int64_t index) -> tree {
  auto bytes =
      seal(branch{{"format", 1}, {"idx", index}, {"epoch", foreign_epoch}, {"state", partition_state().capture()}});
  auto hex = std::string();
  for (auto ch : bytes) {
    hex += "0123456789abcdef"[static_cast<unsigned char>(ch) >> 4];
    hex += "0123456789abcdef"[static_cast<unsigned char>(ch) & 15];
  }
  return branch{{"op", "c.copy"},         {"cell", partition_id},
                {"epoch", foreign_epoch}, {"from", foreign_primary},
                {"join", join},           {"part", 0},
                {"bytes", hex},           {"end", true}};
}

auto log_frame(std::int64_t previous) -> tree {
  auto rows = twigs{branch{{"v", foreign_epoch}, {"g", true}, {"e", branch{{"k", "c"}, {"d", 1}}}}};
  return branch{{"op", "c.log"},
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
    if (std::find(members.begin(), members.end(), n) == members.end()) return n;
  return {};
}

auto zones_of(const fleet& f, const std::vector<std::string>& nodes) -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto& n : nodes)
    out.insert(f.all.at(n)->box->zone);
  return out;
}

// Has each partition of the callers' spaces, all of which keep messages, so many copies in step?
auto whole(const fleet& f, std::size_t copies) -> bool {
  const auto& any = *f.all.at(f.names("comb").front());
  if (!any.c) return false;
  const auto& cells = any.c->ses.known.cells;
  return !cells.empty() && std::all_of(cells.begin(), cells.end(), [&](const auto& c) {
    return c.first.starts_with("probe/") || c.second.step.size() == copies;
  });
}

auto acknowledged(const fleet& f) -> std::int64_t {
  auto out = std::int64_t{0};
  for (const auto& [answer, count] : f.log.counts)
    if (answer.ends_with("acked")) out += count;
  return out;
}

}  // namespace

TEST_GROUP(partition_copies){};

// A link that was given up may bring its bytes late: a copy begun before the last join would undo what came since.
TEST(partition_copies, a_copy_of_an_earlier_join_is_refused) {
  auto f = fleet(81, calm_shape());
  CHECK(f.begin());
  auto node = node_without_copy(f);
  auto address = f.all.at(node)->set.addr;
  auto code = std::make_shared<std::string>("none");
  f.desk->spawn([](fleet& fl, std::string to, std::shared_ptr<std::string> said) -> task<void> {
    auto old = colleague(*fl.outside, colleague::ways{"old", to, 100 * msec, sec});
    auto fresh = colleague(*fl.outside, colleague::ways{"fresh", to, 100 * msec, sec});
    while (!old.up() || !fresh.up())
      co_await rest(*fl.outside, msec);
    auto limit = fl.outside->now() + sec;
    co_await old.ask(join_frame(1), limit);
    co_await old.ask(copy_frame(1, 5), limit);
    fresh.tell(log_frame(5));
    fresh.tell(log_frame(6));
    co_await rest(*fl.outside, 100 * msec);
    co_await fresh.ask(join_frame(2), limit);
    try {
      co_await old.ask(copy_frame(1, 5), limit);
      *said = "taken";
    } catch (const verdict& v) {
      *said = v.code;
    }
  }(f, address, code));
  f.world.run(f.world.clock + 900 * msec);
  STRCMP_EQUAL("old", code->c_str());
  const auto* copy = f.all.at(node)->c->partition_at(partition_id);
  CHECK(copy != nullptr);
  LONGS_EQUAL(7, num(copy->status(), "last"));
  LONGS_EQUAL(7, num(copy->status(), "solid"));
}

TEST(partition_copies, three_stand_in_three_zones_from_the_start) {
  auto f = fleet(82, three_copies());
  CHECK(f.begin());
  CHECK(whole(f, 3));
  for (const auto& [id, row] : f.all.at("comb-1")->c->ses.known.cells)
    if (!id.starts_with("probe/")) LONGS_EQUAL(3, zones_of(f, f.in_step(id)).size());
}

// A silent backup holds outputs for no longer than its silence needs to be known, and another takes its place.
TEST(partition_copies, a_silent_one_of_three_is_passed_over_and_replaced) {
  for (auto seed = 83; seed <= 86; ++seed) {
    auto f = fleet(static_cast<std::uint64_t>(seed), three_copies());
    CHECK(f.begin());
    auto set = f.all.at("comb-1")->set;
    auto primary = f.primary_of(partition_id), silent = f.in_step(partition_id).back();
    f.freeze(silent, true);
    auto from = f.world.clock;
    auto shrunk = tick{0}, restored = tick{0};
    while (f.world.clock < from + 10 * sec && restored == 0) {
      f.world.run(f.world.clock + 10 * msec);
      auto status = f.all.at(primary)->c->partition_at(partition_id)->status();
      auto backups = list(status, "backups").size();
      if (backups == 1 && shrunk == 0) shrunk = f.world.clock;
      if (shrunk > 0 && backups == 2) restored = f.world.clock;
    }
    CHECK(shrunk > 0);
    CHECK(shrunk - from <= set.lose + 3 * set.beat);
    CHECK(restored > 0);
    CHECK(restored - from <= set.lose * 3);
    STRCMP_EQUAL(primary.c_str(), f.primary_of(partition_id).c_str());
  }
}

// What a primary has released is on the disk of each backup in step, also of one whose disk is slow: any of them may be
// the only one that is left.
TEST(partition_copies, each_backup_has_synced_what_was_released) {
  for (auto seed = 91; seed <= 94; ++seed) {
    auto form = three_copies();
    form.every = 50 * msec;
    form.callers = 16;
    auto f = fleet(static_cast<std::uint64_t>(seed), form);
    CHECK(f.begin());
    auto members = f.in_step(partition_id);
    LONGS_EQUAL(3, members.size());
    const auto* primary = f.all.at(members.front())->c->partition_at(partition_id);
    for (auto slow = std::size_t{1}; slow < members.size(); ++slow) {
      for (auto i = std::size_t{1}; i < members.size(); ++i)
        f.all.at(members[i])->box->sync_cost = (i == slow ? 60 : 3) * msec;
      auto released_before = num(primary->status(), "spoken");
      for (auto end = f.world.clock + 2 * sec; f.world.clock < end;) {
        f.world.run(f.world.clock + msec);
        auto released = num(primary->status(), "spoken");
        for (auto i = std::size_t{1}; i < members.size(); ++i) {
          const auto* backup = f.all.at(members[i])->c->partition_at(partition_id);
          CHECK(num(backup->status(), "solid") >= released);
        }
      }
      CHECK(num(primary->status(), "spoken") > released_before + 10);
    }
  }
}

// With fewer nodes than copies wanted, partitions run with what there is, and refuse nothing for want of more.
TEST(partition_copies, two_nodes_serve_though_three_are_wanted) {
  auto form = three_copies();
  form.combs = 2;
  form.zones = 2;
  auto f = fleet(87, form);
  CHECK(f.begin());
  CHECK(whole(f, 2));
  f.world.run(f.world.clock + 5 * sec);
  CHECK(whole(f, 2));
  CHECK(acknowledged(f) > 0);
}
