#include "wax/evhost.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <array>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <thread>

#include "wax/aside.hpp"
#include "wax/ring.hpp"
#include "wax/verdict.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;
}
TEST_GROUP(real_disk){};
// The piece of work waits for what only the loop can do: were the loop held, this would not end.
TEST(real_disk, the_loop_goes_on_while_the_disk_works) {
  auto h = evhost("");
  auto side = aside(h.base, h);
  auto home = nest(h);
  auto way = std::array<int, 2>();
  LONGS_EQUAL(0, ::pipe2(way.data(), O_CLOEXEC));
  auto in = fd(way[0]), out = fd(way[1]);
  auto said = std::string("nothing");
  home.spawn([](evhost& hh, aside& s, int f, std::string& what) -> task<void> {
    auto work = std::function<std::string()>([f] {
      auto one = char{0};
      return ::read(f, &one, 1) == 1 ? std::string("heard ") + one : std::string("torn");
    });
    what = co_await s.run(std::move(work));
    hh.end();
  }(h, side, in.get(), said));
  home.spawn([](evhost& hh, int f) -> task<void> {
    for (auto i = 0; i < 3; ++i)
      co_await nap(hh, 0);  // turns of the loop, after the work was handed over
    auto n = ::write(f, "x", 1);
    (void)n;
  }(h, out.get()));
  h.run();
  STRCMP_EQUAL("heard x", said.c_str());
}
// The group's write once ran in the task that asked first; with its end, no sync ever came back.
TEST(real_disk, a_sync_outlives_who_asked_for_it) {
  char dir[] = "/tmp/hive-test-XXXXXX";
  CHECK(::mkdtemp(dir) != nullptr);
  {
    auto h = evhost(dir);
    auto home = nest(h);
    auto brief = std::make_unique<nest>(h);
    brief->spawn([](evhost& hh) -> task<void> {
      hh.disk()->put("a", "1");
      co_await hh.disk()->sync();
    }(h));
    home.spawn([](evhost& hh, std::unique_ptr<nest>& other) -> task<void> {
      for (auto i = 0; i < 3; ++i)
        co_await nap(hh, 0);
      other.reset();
      hh.disk()->put("b", "2");
      co_await hh.disk()->sync();
      hh.end();
    }(h, brief));
    h.run();
  }
  std::filesystem::remove_all(dir);
}
TEST(real_disk, what_was_synced_is_there_after_reopening) {
  char dir[] = "/tmp/hive-test-XXXXXX";
  CHECK(::mkdtemp(dir) != nullptr);
  {
    auto h = evhost(dir);
    auto home = nest(h);
    home.spawn([](evhost& hh) -> task<void> {
      hh.disk()->put("a", "1");
      hh.disk()->put("b", "2");
      co_await hh.disk()->sync();
      hh.disk()->cut("a");
      co_await hh.disk()->sync();
      hh.disk()->put("c", "not synced");
      hh.end();
    }(h));
    h.run();
  }
  {
    auto h = evhost(dir);
    CHECK(!h.disk()->get("a"));
    STRCMP_EQUAL("2", h.disk()->get("b").value_or("").c_str());
    CHECK(!h.disk()->get("c"));
  }
  std::filesystem::remove_all(dir);
}
// A disk that takes no more and later does again: syncs fail meanwhile, nothing put is lost, and no end of the process
// is needed.
TEST(real_disk, a_full_disk_is_written_on_once_there_is_room) {
  char dir[] = "/tmp/hive-test-XXXXXX";
  CHECK(::mkdtemp(dir) != nullptr);
  auto said = std::string();
  {
    auto was = rlimit();
    ::getrlimit(RLIMIT_FSIZE, &was);
    auto old = std::signal(SIGXFSZ, SIG_IGN);
    auto h = evhost(dir);
    auto home = nest(h);
    home.spawn([](evhost& hh, rlimit limit, std::string& out) -> task<void> {
      auto& d = *hh.disk();
      d.put("a", "1");
      co_await d.sync();
      auto small = limit;
      small.rlim_cur = 4096;
      ::setrlimit(RLIMIT_FSIZE, &small);
      for (auto i = 0; i < 2; ++i) {
        d.put("b" + std::to_string(i), std::string(8000, 'b'));
        try {
          co_await d.sync();
          out += "taken ";
        } catch (const verdict& v) {
          out += v.code + (d.broken() ? " broken " : " ");
        }
      }
      co_await rest(hh, 600 * msec);
      ::setrlimit(RLIMIT_FSIZE, &limit);
      while (d.broken())
        co_await rest(hh, 50 * msec);
      d.put("c", "3");
      co_await d.sync();
      out += "and again";
      hh.end();
    }(h, was, said));
    h.run();
    std::signal(SIGXFSZ, old);
  }
  STRCMP_EQUAL("disk broken disk broken and again", said.c_str());
  {
    auto h = evhost(dir);
    auto keys = std::string();
    h.disk()->scan(
        "", [&](const std::string& k, const std::string& v) { keys += k + ":" + std::to_string(v.size()) + " "; });
    STRCMP_EQUAL("a:1 b0:8000 b1:8000 c:1 ", keys.c_str());
  }
  std::filesystem::remove_all(dir);
}
TEST_GROUP(real_net){};
// Where nobody listens the machine says so at once; a dial that runs out of time tells nothing.
TEST(real_net, a_refused_dial_is_told_from_a_silent_one) {
  auto h = evhost("");
  auto home = nest(h);
  auto refused = false, linked = true;
  home.spawn([](evhost& hh, bool& none, bool& got) -> task<void> {
    auto way = co_await hh.dial("127.0.0.1:1", hh.now() + sec, &none);
    got = way != nullptr;
    hh.end();
  }(h, refused, linked));
  h.run();
  CHECK(refused);
  CHECK(!linked);
}
// Frames of one turn leave together, in order; what is owed at the end of a link still goes out.
TEST(real_net, what_is_sent_in_one_turn_goes_out_at_once) {
  auto h = evhost("");
  auto home = nest(h);
  auto got = std::string();
  auto calls = std::uint64_t{0};
  auto addr = std::string();
  auto d = std::unique_ptr<door>();
  for (auto port = 24100; !d && port < 24200; ++port) {
    addr = "127.0.0.1:" + std::to_string(port);
    try {
      d = h.listen(addr);
    } catch (const verdict&) {
    }
  }
  CHECK(d != nullptr);
  home.spawn([](evhost& hh, std::string to, std::uint64_t& n) -> task<void> {
    auto way = co_await hh.dial(to, hh.now() + sec);
    if (!way) co_return hh.end();
    for (auto i = 0; i < 100; ++i)
      way->send(std::to_string(i % 10));
    co_await rest(hh, 20 * msec);
    n = hh.pours;
    way->send("x");
    way->close();
  }(h, addr, calls));
  home.spawn([](evhost& hh, door& at, std::string& all) -> task<void> {
    auto way = co_await at.knocks.pop(hh);
    for (auto live = true; live; live = co_await way->more(hh.now() + sec)) {
      all += way->in;
      way->in.clear();
    }
    all += way->in;
    hh.end();
  }(h, *d, got));
  h.run();
  LONGS_EQUAL(1, calls);
  LONGS_EQUAL(101, got.size());
  STRCMP_EQUAL("012345678", got.substr(0, 9).c_str());
  STRCMP_EQUAL("x", got.substr(100).c_str());
}
