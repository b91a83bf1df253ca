// What all daemons' main() share: settings, signals, reload, the end (design 3.6).
#pragma once
#include <sys/stat.h>

#include <iostream>

#include "wax/config.hpp"
#include "wax/evhost.hpp"
#include "wax/ring.hpp"
#include "wax/verdict.hpp"

namespace hive {

template <class D>
auto run_daemon(int argc, const char** argv, const std::string& about, const needs& n, tick grace) -> int {
  auto s = open_main(argc, argv, about, n);
  if (!s.set.data.empty()) ::mkdir(s.set.data.c_str(), 0755);
  ring_setup(4000, s.set.data, s.set.echo);
  try {
    auto h = evhost(s.set.data);
    auto d = D(h, s.set);
    auto home = nest(h);
    auto stamp = [&]() -> std::string {
      auto st = (struct stat){};
      if (s.file.empty() || ::stat(s.file.c_str(), &st) != 0) return {};
      return std::to_string(st.st_mtim.tv_sec) + "." + std::to_string(st.st_mtim.tv_nsec) + "." + std::to_string(st.st_size);
    };
    auto reload = [&] {
      auto faults = std::vector<fault>();
      auto next = read_config(s.file, s.flags, n, faults);
      auto fixed = [&](const char* k, const auto& a, const auto& b) {
        if (a != b) faults.push_back({k, "cannot change while running"});
      };
      fixed("name", next.name, s.set.name);
      fixed("addr", next.addr, s.set.addr);
      fixed("web", next.web, s.set.web);
      fixed("feed", next.feed, s.set.feed);
      fixed("data", next.data, s.set.data);
      fixed("zone", next.zone, s.set.zone);
      fixed("seeds", next.seeds, s.set.seeds);
      for (const auto& f : faults) log(grade::warn, s.set.name, "settings not taken: " + f.key + ": " + f.why);
      if (!faults.empty()) return;
      s.set = next;
      d.reload(next);
      log(grade::note, s.set.name, "settings taken");
    };
    h.on_hup = reload;
    auto going = false;
    h.on_term = [&] {
      if (going) return h.end();
      going = true;
      home.spawn([](host& hh, D& dd, evhost& e, tick g) -> task<void> {
        co_await dd.leave(hh.now() + g);
        co_await rest(hh, 50 * msec);
        e.end();
      }(h, d, h, grace));
    };
    home.spawn([](host& hh, decltype(stamp) st, decltype(reload) re) -> task<void> {
      auto was = st();
      while (true) {
        co_await rest(hh, sec);
        auto now = st();
        if (now != was && !now.empty()) re();
        was = now;
      }
    }(h, stamp, reload));
    log(grade::note, s.set.name, "started");
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
