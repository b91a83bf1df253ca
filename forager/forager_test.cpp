#include "forager/forager.hpp"

#include <algorithm>

#include "swarm/fleet.hpp"
#include "wax/ring.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;

// A small fleet that serves, and a link of our own to its first forager.
struct bench {
  bench() : f(7, plan()) { ok = f.begin(); }
  static auto plan() -> shape {
    auto s = shape();
    s.callers = 0;
    return s;
  }
  // Sends raw lines on one link; returns the codes of the verdicts that came, in order.
  auto say(std::vector<std::string> rows, tick wait = 2 * sec) -> std::vector<std::string> {
    auto out = std::make_shared<std::vector<std::string>>();
    f.desk->spawn([](fleet& fl, std::vector<std::string> rs, std::shared_ptr<std::vector<std::string>> o) -> task<void> {
      auto io = co_await open_link(*fl.outside, fl.webs[0], fl.outside->now() + sec);
      if (!io) co_return;
      for (auto& r : rs) {
        auto head = std::string(16, '\0');
        auto n = std::snprintf(head.data(), head.size(), "%zx\r\n", r.size() + 1);
        io->way().send(head.substr(0, static_cast<std::size_t>(n)) + r + "\n\r\n");
      }
      while (true) {
        auto l = co_await io->next(fl.outside->now() + 10 * sec);
        if (!l) break;
        auto t = boost::json::parse(*l);
        if (str_or(t, "op") != "verdict") continue;
        o->push_back(str_or(t, "verdict") + " " + str_or(t, "code") + (num_or(t, "retry_ms", -1) >= 0 ? " later" : ""));
      }
    }(f, rows, out));
    f.world.run(f.world.clock + wait);
    return *out;
  }
  auto get(std::string verb, std::string path, std::string body) -> int {
    auto code = std::make_shared<int>(0);
    f.desk->spawn([](fleet& fl, std::string v, std::string p, std::string b, std::shared_ptr<int> o) -> task<void> {
      auto r = co_await fetch(*fl.outside, fl.webs[0], v, p, b, fl.outside->now() + 2 * sec);
      *o = r.code;
    }(f, verb, path, body, code));
    f.world.run(f.world.clock + 2 * sec);
    return *code;
  }
  fleet f;
  bool ok = false;
};
}  // namespace
TEST_GROUP(forager_bad_input){};
TEST(forager_bad_input, each_fault_gets_its_final_verdict_and_the_link_goes_on) {
  auto b = bench();
  CHECK(b.ok);
  auto v = b.say({"{not json", "[1]", R"({"op":"publish","topic":"alerts/x","seq":1,"body":"b"})", R"({"op":"enrol","name":"a b"})", R"({"op":"enrol","name":"me"})",
                  R"({"op":"publish","topic":"alerts/x","body":"b"})", R"({"op":"publish","topic":"alerts/x","seq":0,"body":"b"})", R"({"op":"publish","topic":"alerts/x","seq":"1","body":"b"})",
                  R"({"op":"publish","topic":"alerts/x","seq":1,"body":"b","colour":1})", R"({"op":"publish","topic":"nowhere/x","seq":1,"body":"b"})",
                  R"({"op":"publish","topic":"noslash","seq":1,"body":"b"})", R"({"op":"subscribe","topic":"probe/v1"})", R"({"op":"subscribe","topic":"alerts/x","after":-4})",
                  R"({"op":"subscribe","topic":"alerts/x","after":99999})", R"({"op":"dance"})", R"({"op":"publish","topic":"alerts/x","seq":1,"body":")" + std::string(17000, 'x') + "\"}",
                  R"({"op":"unsubscribe","topic":"alerts/y"})"});
  // Publishes are answered as they end; what matters is that each has its final verdict.
  LONGS_EQUAL(17, v.size());
  auto count = [&](const std::string& s) { return std::count(v.begin(), v.end(), s); };
  LONGS_EQUAL(10, count("refused malformed"));
  LONGS_EQUAL(1, count("refused below"));
  LONGS_EQUAL(1, count("refused no_space"));
  LONGS_EQUAL(1, count("refused denied"));
  LONGS_EQUAL(1, count("refused ahead"));
  LONGS_EQUAL(1, count("refused too_long"));
  LONGS_EQUAL(1, count("refused not_found"));
  LONGS_EQUAL(1, count("done "));
}
TEST(forager_bad_input, single_calls) {
  auto b = bench();
  CHECK(b.ok);
  LONGS_EQUAL(400, b.get("POST", "/v1/publish", "{"));
  LONGS_EQUAL(400, b.get("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":1})"));
  LONGS_EQUAL(413, b.get("POST", "/v1/publish", std::string(80000, 'x')));
  LONGS_EQUAL(403, b.get("POST", "/v1/publish", R"({"name":"me","topic":"probe/v1","seq":1,"body":"b"})"));
  LONGS_EQUAL(404, b.get("GET", "/v1/nothing", ""));
  LONGS_EQUAL(200, b.get("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":5,"body":"b"})"));
  LONGS_EQUAL(200, b.get("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":5,"body":"b"})"));
  LONGS_EQUAL(409, b.get("POST", "/v1/publish", R"({"name":"me","topic":"alerts/x","seq":4,"body":"b"})"));
  LONGS_EQUAL(200, b.get("GET", "/v1/read?name=me&topic=alerts/x&after=0", ""));
}
TEST(forager_bad_input, a_flood_on_one_link_is_told_when_to_return) {
  auto b = bench();
  CHECK(b.ok);
  auto rows = std::vector<std::string>{R"({"op":"enrol","name":"me"})"};
  for (auto i = 1; i <= 500; ++i) rows.push_back(R"({"op":"publish","topic":"alerts/x","seq":)" + std::to_string(i) + R"(,"body":"b"})");
  auto v = b.say(rows);
  LONGS_EQUAL(501, v.size());
  auto busy = std::count(v.begin(), v.end(), "refused busy later");
  auto acked = std::count(v.begin(), v.end(), "acked ");
  CHECK(busy > 0);
  CHECK(acked >= 64);
}
TEST(forager_bad_input, a_line_without_end_ends_the_link) {
  auto b = bench();
  CHECK(b.ok);
  auto v = b.say({R"({"op":"enrol","name":"me"})", std::string((1 << 20) + 10, 'x')});
  CHECK(v.size() == 2 && v[1] == "refused too_long");
}
