#include "ledger/ledger.hpp"

#include "ledger/test_fleet.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace hive;
using namespace hive::ledger_tests;

TEST_GROUP(ledger_founding){};
TEST(ledger_founding, two_seeds_are_enough_where_there_are_no_more) {
  auto f = fleet(5, queens(2));
  for (auto n : {"queen-1", "queen-2"}) {
    f.all.at(n)->set.seeds = {addr(f, "queen-1"), addr(f, "queen-2")};
    f.start(n);
  }
  f.world.run(f.world.clock + 3 * sec);
  CHECK(!f.leader().empty());
}
TEST(ledger_founding, all_seeds_must_be_there) {
  auto f = fleet(5, queens(2));
  f.all.at("queen-1")->set.seeds = {addr(f, "queen-1"), addr(f, "queen-2")};
  f.start("queen-1");
  f.world.run(f.world.clock + 5 * sec);
  STRCMP_EQUAL("", f.leader().c_str());
}
// One whose disk was lost and who knows nobody else would begin a second history.
TEST(ledger_founding, a_blank_disk_waits_where_no_ledger_may_begin) {
  auto f = fleet(5, queens(1));
  auto& set = f.all.at("queen-1")->set;
  set.seeds = {set.addr};
  set.found = false;
  f.start("queen-1");
  f.world.run(f.world.clock + 5 * sec);
  STRCMP_EQUAL("", f.leader().c_str());
  f.kill("queen-1");
  set.found = true;
  f.start("queen-1");
  f.world.run(f.world.clock + 3 * sec);
  STRCMP_EQUAL("queen-1", f.leader().c_str());
}
// Started again between its first start and the founding: the others found with it, and its vote counts.
TEST(ledger_founding, one_who_may_not_found_is_a_voter_all_the_same) {
  auto f = fleet(6, queens(3));
  f.all.at("queen-3")->set.found = false;
  for (auto n : {"queen-1", "queen-2", "queen-3"})
    f.start(n);
  f.world.run(f.world.clock + 3 * sec);
  CHECK(!f.leader().empty());
  f.kill(f.leader() == "queen-1" ? "queen-1" : "queen-2");
  f.world.run(f.world.clock + 5 * sec);
  CHECK(!f.leader().empty());
}

TEST_GROUP(ledger_voters){};
// A machine gone for good holds nobody up, and counts in no majority any more.
TEST(ledger_voters, one_at_a_new_address_takes_the_place_of_a_lost_one) {
  for (auto first : {true, false}) {  // the leader, or another
    auto f = fleet(7, queens(3));
    start_all(f);
    auto lead = f.leader();
    auto lost = first ? lead : lead == "queen-2" ? "queen-3" : "queen-2";
    f.remove(lost);
    go(f, 2 * sec);
    f.start(f.add_queen());
    go(f, 2500 * msec);  // before the lost one would go by silence alone
    auto now = sorted(voters(f));
    CHECK(now.find("queen-4") != std::string::npos);
    CHECK(now.find(lost) == std::string::npos);
    LONGS_EQUAL(24, now.size());
    f.remove(f.leader());
    go(f, 5 * sec);
    CHECK(!f.leader().empty());
  }
}
// The new one first, then the old one goes: nobody says that it will not come back.
TEST(ledger_voters, a_silent_one_goes_where_enough_stay) {
  auto f = fleet(8, queens(3));
  start_all(f);
  f.start(f.add_queen());
  go(f, 5 * sec);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 ", sorted(voters(f)).c_str());
  f.remove("queen-1");
  go(f, 12 * sec);
  STRCMP_EQUAL("queen-2 queen-3 queen-4 ", sorted(voters(f)).c_str());
  f.remove("queen-2");  // silence alone goes no further
  go(f, 12 * sec);
  STRCMP_EQUAL("queen-2 queen-3 queen-4 ", sorted(voters(f)).c_str());
  CHECK(!f.leader().empty());
}
// Three are named to all; the others enter by themselves, and two of five may be lost.
TEST(ledger_voters, more_than_three_machines_all_vote) {
  auto f = fleet(9, queens(5));
  for (const auto& n : f.names("queen"))
    f.all.at(n)->set.seeds.resize(3);
  start_all(f);
  go(f, 6 * sec);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 queen-5 ", sorted(voters(f)).c_str());
  f.kill("queen-1");
  f.kill("queen-2");
  go(f, 5 * sec);
  CHECK(!f.leader().empty());
}
// Cut off while its seat was given away: it leads nobody meanwhile, and enters again.
TEST(ledger_voters, one_whose_seat_was_given_away_enters_again) {
  auto f = fleet(10, queens(3));
  start_all(f);
  auto who = f.leader() == "queen-1" ? std::string("queen-2") : std::string("queen-1");
  auto box = f.all.at(who)->box->name;
  f.world.cut(box, "*");
  f.world.cut("*", box);
  go(f, 3 * sec);
  f.start(f.add_queen());
  go(f, 6 * sec);
  CHECK(sorted(voters(f)).find(who) == std::string::npos);
  f.world.heal(box, "*");
  f.world.heal("*", box);
  go(f, 8 * sec);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 ", sorted(voters(f)).c_str());
}
// All who were named at the start are gone: nodes and queens go by the voters that stand now.
TEST(ledger_voters, nodes_learn_of_the_queens_that_stand) {
  auto s = queens(3);
  s.combs = s.foragers = 1;
  auto f = fleet(11, s);
  for (const auto& [n, p] : f.all)
    f.start(n);
  go(f, 4 * sec);
  for (auto lost : {"queen-1", "queen-2", "queen-3"}) {
    f.remove(lost);
    go(f, 2 * sec);
    f.start(f.add_queen());
    go(f, 8 * sec);
    if (std::string(lost) == "queen-1") f.relist("queen-1", "queen-4");
    if (std::string(lost) == "queen-2") f.relist("queen-2", "queen-5");
  }
  STRCMP_EQUAL("queen-4 queen-5 queen-6 ", sorted(voters(f)).c_str());
  CHECK(f.all.at("comb-1")->c->ses.leased());
  CHECK(f.all.at("scout-1")->s->ses.leased());
  auto known = f.all.at("queen-4")->q->status();
  CHECK(sub(sub(known, "beliefs"), "members").as_object().contains("comb-1"));
}
TEST(ledger_voters, an_operator_sees_who_votes_and_a_change_under_way) {
  auto f = fleet(12, queens(3));
  start_all(f);
  auto slow = f.add_queen();
  auto lead = f.leader();
  f.start(slow);
  auto seen = std::string();
  for (auto i = 0; i < 400 && seen.empty(); ++i) {
    go(f, 10 * msec);
    auto now = f.all.at(lead)->q->book.stand();
    for (const auto& v : list(now, "voters"))
      if (str(v, "seat") == "enters" && yes(now, "changing")) seen = str(v, "addr");
  }
  STRCMP_EQUAL(addr(f, slow).c_str(), seen.c_str());
  go(f, 5 * sec);
  auto now = f.all.at(lead)->q->book.stand();
  CHECK_FALSE(yes(now, "changing"));
  LONGS_EQUAL(4, list(now, "voters").size());
  for (const auto& v : list(now, "voters")) {
    STRCMP_EQUAL("voter", str(v, "seat").c_str());
    LONGS_EQUAL(0, num(v, "behind"));
    CHECK(num(v, "silent_ms") < 500);
  }
}

// A disk that takes no more: it neither votes nor leads on what is not there, keeps running, and follows again with
// room.
TEST_GROUP(ledger_disks){};
TEST(ledger_disks, a_full_one_steps_back_and_comes_again) {
  auto f = fleet(13, queens(3));
  start_all(f);
  auto lead = f.leader();
  auto put = [&](const std::string& who, const char* name) {
    auto out = std::make_shared<std::string>("no answer");
    f.all.at(who)->extra->spawn([](queen& q, host& h, std::string n, std::shared_ptr<std::string> o) -> task<void> {
      try {
        auto d = tree(branch{{"k", "leave"}, {"name", n}, {"kind", "drain"}});
        auto r = co_await q.book.propose(std::move(d), h.now() + sec);
        *o = text(r);
      } catch (const verdict& v) {
        *o = v.code;
      }
    }(*f.all.at(who)->q, *f.all.at(who)->h, name, out));
    go(f, 2 * sec);
    return *out;
  };
  f.all.at(lead)->box->full = true;
  STRCMP_EQUAL("unclear", put(lead, "comb-1").c_str());
  go(f, 3 * sec);
  auto next = f.leader();
  CHECK(!next.empty() && next != lead);
  STRCMP_EQUAL("{\"ok\":true}", put(next, "comb-2").c_str());
  f.all.at(lead)->box->full = false;
  go(f, 3 * sec);
  // It has all again: with the two of them gone in turn, it counts.
  f.kill(next);
  go(f, 5 * sec);
  auto third = f.leader();
  CHECK(!third.empty());
  STRCMP_EQUAL("{\"ok\":true}", put(third, "comb-3").c_str());
  LONGS_EQUAL(1, f.all.at(lead)->q->law.leavings.count("comb-2"));
  LONGS_EQUAL(1, f.all.at(lead)->q->law.leavings.count("comb-3"));
}

// A disk of another fleet: it is named and kept out, and nothing on it is touched.
TEST_GROUP(ledger_strangers){};
TEST(ledger_strangers, a_disk_of_another_fleet_is_not_let_in) {
  auto foreign = std::map<std::string, std::string>();
  {
    auto other = fleet(31, queens(3));
    start_all(other);
    foreign = other.world.machines.at("q2")->solid;
  }
  auto f = fleet(32, queens(3));
  start_all(f);
  auto was = sorted(voters(f));
  auto n = f.add_queen();
  f.all.at(n)->box->solid = foreign;
  f.start(n);
  go(f, 10 * sec);
  STRCMP_EQUAL(was.c_str(), sorted(voters(f)).c_str());
  STRCMP_EQUAL(unseal(foreign.at("L/meta")).at("id").as_string().c_str(), f.all.at(n)->q->book.disk_id().c_str());
  CHECK(!f.all.at(n)->q->book.leads());
  // Nor does it take anything in the place of a voter that was lost.
  auto lost = f.leader() == "queen-1" ? std::string("queen-2") : std::string("queen-1");
  auto had = f.all.at(lost)->box->solid;
  f.kill(lost);
  f.all.at(lost)->box->solid = foreign;
  f.start(lost);
  go(f, 8 * sec);
  STRCMP_EQUAL(was.c_str(), sorted(voters(f)).c_str());
  auto entries = [](const std::map<std::string, std::string>& rows) {
    return std::map<std::string, std::string>(rows.lower_bound("L/e/"), rows.lower_bound("L/e0"));
  };
  CHECK(!entries(foreign).empty());
  CHECK(entries(f.all.at(lost)->box->solid) == entries(foreign));
  f.kill(lost);
  f.all.at(lost)->box->solid = had;
  f.start(lost);
  go(f, 4 * sec);
  STRCMP_EQUAL(was.c_str(), sorted(voters(f)).c_str());
}

// One that cannot write does not ask to enter: it would only keep others, who can, from entering meanwhile.
TEST(ledger_disks, a_full_newcomer_keeps_nobody_waiting) {
  auto f = fleet(14, queens(3));
  start_all(f);
  auto full = f.add_queen(), good = f.add_queen();
  f.all.at(full)->box->full = true;
  f.start(full);
  go(f, 500 * msec);
  f.start(good);
  go(f, 1500 * msec);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-5 ", sorted(voters(f)).c_str());
  f.all.at(full)->box->full = false;
  go(f, 3 * sec);
  STRCMP_EQUAL("queen-1 queen-2 queen-3 queen-4 queen-5 ", sorted(voters(f)).c_str());
}
