#include "wax/main.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <unistd.h>

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace hive;

// Stands in for a daemon: remembers what it was told.
struct larva {
  larva(host& hh, const config& c) : h(hh), set(c) { last = this; }
  auto reload(const config& c) -> void {
    set = c;
    lags.push_back(c.lag);
  }
  auto leave(tick limit) -> task<void> {
    left = limit - h.now();
    co_return;
  }
  host& h;
  config set;
  static inline larva* last = nullptr;
  static inline std::vector<tick> lags;
  static inline tick left = 0;
};

// Settings that a test hands out, and the file whose change makes a daemon ask for them.
struct desk {
  desk() : file(std::filesystem::temp_directory_path() / ("main_test." + std::to_string(::getpid()))) {
    touch("a");
    larva::lags.clear();
    larva::left = 0;
    from.file = file;
    from.read = [this](std::vector<fault>& f) {
      ++reads;
      f = faults;
      return set;
    };
  }
  ~desk() { std::filesystem::remove(file); }
  auto touch(const std::string& text) const -> void { std::ofstream(file) << text; }
  std::string file;
  config set;
  std::vector<fault> faults;
  int reads = 0;
  origin from;
};
}  // namespace

TEST_GROUP(daemon_run){};
TEST(daemon_run, faults_at_the_start_end_it_before_anything_stands) {
  auto d = desk();
  d.faults = {{"name", "is missing"}};
  larva::last = nullptr;
  LONGS_EQUAL(2, run_daemon<larva>(d.from));
  CHECK(!larva::last);
}
TEST(daemon_run, a_changed_file_and_a_signal_have_it_read_again_and_faults_change_nothing) {
  auto d = desk();
  d.set.grace = 2 * sec;
  d.set.seeds = {"127.0.0.1:1"};
  d.from.seeds_drift = true;
  auto row = std::vector<std::size_t>();
  auto out = run_daemon<larva>(d.from, [&](evhost& h, nest& home, larva& l) {
    POINTERS_EQUAL(larva::last, &l);
    home.spawn([](evhost& hh, desk& dd, std::vector<std::size_t>& seen) -> task<void> {
      co_await rest(hh, 100 * msec);
      dd.set.lag = 7;
      dd.set.seeds = {"127.0.0.1:2"};  // drifts: no fault, not taken up
      dd.touch("other bytes");
      while (larva::lags.empty())
        co_await rest(hh, 50 * msec);
      seen.push_back(larva::lags.size());
      STRCMP_EQUAL("127.0.0.1:1", larva::last->set.seeds.at(0).c_str());
      dd.set.lag = 8;
      dd.faults = {{"lag_ms", "soon is no whole number"}};
      auto had = dd.reads;
      ::kill(::getpid(), SIGHUP);
      while (dd.reads == had)
        co_await rest(hh, 10 * msec);
      seen.push_back(larva::lags.size());
      dd.faults.clear();
      dd.set.zone = "z9";  // cannot change while running
      had = dd.reads;
      ::kill(::getpid(), SIGHUP);
      while (dd.reads == had)
        co_await rest(hh, 10 * msec);
      seen.push_back(larva::lags.size());
      dd.set.zone.clear();
      ::kill(::getpid(), SIGHUP);
      while (larva::lags.size() < 2)
        co_await rest(hh, 10 * msec);
      ::kill(::getpid(), SIGTERM);
    }(h, d, row));
  });
  LONGS_EQUAL(0, out);
  CHECK((row == std::vector<std::size_t>{1, 1, 1}));
  CHECK((larva::lags == std::vector<tick>{7, 8}));
  CHECK(larva::left > sec && larva::left < 2 * sec);  // inside the grace, with time to end
}
