// What all daemons' main() share: settings, signals, reload, the end (design 3.6).
#pragma once
#include <sys/stat.h>

#include <functional>
#include <iostream>

#include "wax/config.hpp"
#include "wax/evhost.hpp"
#include "wax/ring.hpp"
#include "wax/verdict.hpp"

namespace hive {

// A mark of a file's state: another one means that it was written or replaced. Empty: not there.
inline auto file_mark(const std::string& file) -> std::string {
  auto st = (struct stat){};
  if (file.empty() || ::stat(file.c_str(), &st) != 0) return {};
  return std::to_string(st.st_mtim.tv_sec) + "." + std::to_string(st.st_mtim.tv_nsec) + "." +
         std::to_string(st.st_size) + "." + std::to_string(st.st_ino);
}

// `doors`, if given, is called once the daemon stands; what it spawns ends before the daemon.
template <class D>
auto run_daemon(const origin& from, std::function<void(evhost&, nest&, D&)> doors = {}) -> int {
  auto first = file_mark(from.file);  // before it is read: what is written meanwhile counts as a change
  auto wrong = std::vector<fault>();
  auto set = from.read(wrong);
  for (const auto& f : wrong)
    std::cerr << f.key << ": " << f.why << '\n';
  if (!wrong.empty()) return 2;
  if (!set.data.empty()) ::mkdir(set.data.c_str(), 0755);
  ring_setup(4000, set.data, set.echo);
  try {
    auto h = evhost(set.data);
    auto d = D(h, set);
    auto home = nest(h);
    home.on_fault = [&](std::exception_ptr e) {
      try {
        std::rethrow_exception(e);
      } catch (const std::exception& x) {
        log(grade::grave, set.name, std::string("task ended: ") + x.what());
      }
    };
    if (doors) doors(h, home, d);
    auto reload = [&] {
      auto faults = std::vector<fault>();
      auto next = from.read(faults);
      if (faults.empty()) faults = fixed_faults(set, next, from.seeds_drift);
      for (const auto& f : faults)
        log(grade::warn, set.name, "settings not taken: " + f.key + ": " + f.why);
      if (!faults.empty()) return;
      next.seeds = set.seeds;
      set = next;
      d.reload(next);
      log(grade::note, set.name, "settings taken");
    };
    h.on_hup = reload;
    auto going = false;
    h.on_term = [&] {
      if (going) return h.end();
      going = true;
      home.spawn([](evhost& hh, D& dd, tick grace) -> task<void> {
        auto last = grace / 50;  // in which what is queued goes out
        co_await dd.leave(hh.now() + grace - last);
        co_await rest(hh, last);
        hh.end();
      }(h, d, set.grace));
    };
    if (!from.file.empty())
      home.spawn([](host& hh, std::string file, std::string was, std::function<void()> re) -> task<void> {
        while (true) {
          co_await rest(hh, sec);
          auto now = file_mark(file);
          if (now != was && !now.empty()) re();
          was = now;
        }
      }(h, from.file, first, reload));
    log(grade::note, set.name, "started");
    h.run();
    return 0;
  } catch (const verdict& v) {
    std::cerr << v.code << ": " << v.why << '\n';
  } catch (const std::exception& e) {
    std::cerr << "failed: " << e.what() << '\n';
  }
  return 1;
}

}  // namespace hive
