#include "wax/colleague.hpp"

#include "swarm/fleet.hpp"
#include "wax/ring.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;
// Sends bytes to a process's colleagues' door; true if the link was ended for it.
auto ended_for(fleet& f, const std::string& to, const std::string& bytes) -> bool {
  auto out = std::make_shared<bool>(false);
  f.desk->spawn([](fleet& fl, std::string addr, std::string b, std::shared_ptr<bool> o) -> task<void> {
    auto l = co_await fl.outside->dial(addr, fl.outside->now() + sec);
    if (!l) co_return;
    l->send(b);
    auto end = fl.outside->now() + 3 * sec;
    while (!l->shut && fl.outside->now() < end) {
      l->in.clear();
      co_await l->more(end);
    }
    *o = l->shut;
  }(f, f.all.at(to)->set.addr, bytes, out));
  f.world.run(f.world.clock + 4 * sec);
  return *out;
}
}  // namespace
TEST_GROUP(colleague_frames){};
TEST(colleague_frames, a_malformed_one_ends_its_link_and_no_other) {
  auto s = shape();
  s.callers = 0;
  auto f = fleet(21, s);
  CHECK(f.begin());
  auto hello = frame(branch{{"op", "hello"}, {"me", "test"}});
  CHECK_FALSE(ended_for(f, "queen-1", hello));
  CHECK(ended_for(f, "queen-1", hello + std::string("\xff\xff\xff\x7f", 4)));
  CHECK(ended_for(f, "comb-1", hello + std::string("\x03\0\0\0\x83\x01\x02", 7)));
  CHECK(ended_for(f, "comb-1", frame(twigs{1, 2})));
  CHECK(ended_for(f, "comb-2", hello + frame(branch{{"op", "c.log"}, {"cell", 7}})));
  CHECK_FALSE(f.leader().empty());
  CHECK_FALSE(f.primary_of("alerts/0").empty());
}
TEST(colleague_frames, only_members_are_relayed_to) {
  auto s = shape();
  s.callers = 0;
  auto f = fleet(22, s);
  CHECK(f.begin());
  CHECK(ended_for(f, "comb-1", frame(branch{{"op", "relay"}, {"to", "10.0.0.1:7000"}})));
  CHECK_FALSE(ended_for(f, "comb-1", frame(branch{{"op", "relay"}, {"to", f.all.at("comb-2")->set.addr}})));
}
