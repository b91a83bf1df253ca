// Stand-ins for those outside: the platform, callers, operators (design 9.2).
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wax/http.hpp"

namespace hive {

// What the stand-ins saw, for the judge; and figures for the measurements.
struct history {
  std::vector<tree> rows;
  std::map<std::string, std::vector<tick>> acks, deliveries;  // by space
  std::map<std::string, std::int64_t> counts;
  std::map<std::pair<std::string, std::int64_t>, tick> sent;  // "topic who" and seq -> first try
  auto note(host& h, branch e) -> void {
    e["t"] = h.now() / msec;
    rows.emplace_back(std::move(e));
  }
};

// Spreads new connections over the foragers that say they are ready.
class balancer {
 public:
  balancer(host& h, std::vector<std::string> webs);
  auto watch(const std::string& web) -> void { home.spawn(poll(web)); }  // a machine added
  auto draw() -> std::string;                                            // empty: none is ready
  std::set<std::string> ready;

 private:
  auto poll(std::string web) -> task<void>;
  host& h;
  nest home;
};

class caller {
 public:
  struct plan {
    std::string name;
    std::vector<std::string> hear, tell;
    tick every = sec;    // between publishes
    tick drop = never;   // about how long a link is kept before it is dropped by itself
    int pipe = 1;        // publishes of one topic open at a time
    tick echo = 0;       // accepted publishes are sent again after up to so long
    tick until = never;  // publishes stop then
  };
  caller(host& h, balancer& p, history& log, plan what);
  auto reset() -> void;                    // its connection is reset
  auto jump() -> void { hop = true; }      // comes back elsewhere while its old link stays half open
  auto hush() -> void { what.until = 0; }  // new publishes stop; open ones are seen through
  auto lull() -> void { what.drop = never; }
  bool linked = false;

 private:
  struct flight {
    std::string topic, body;
    std::int64_t seq;
    tick first, due;
    int tries = 0;
    bool asked = false;
  };
  auto live() -> task<void>;
  auto talk() -> task<void>;
  auto droppings() -> task<void>;
  auto take(const tree& t) -> void;
  auto shoot(flight& f) -> void;
  host& h;
  balancer& fleet;
  history& log;
  plan what;
  std::shared_ptr<lines> io;
  std::map<std::string, std::int64_t> pos;                      // by topic: where it stands
  std::map<std::pair<std::string, std::int64_t>, flight> open;  // by topic and seq
  std::vector<flight> echoes;                                   // accepted, to be sent again
  std::map<std::string, std::int64_t> seq;
  tick back_in = 0;
  bool hop = false, seeking = false;
  nest home;
};

// Sends charters, asks whether they took hold, reads back; retires combs.
class keeper {
 public:
  keeper(host& h, std::vector<std::string> queens, std::vector<std::string> foragers, history& log);
  auto meet(std::string queen) -> void { queens.push_back(std::move(queen)); }  // one that was added
  auto put(std::int64_t number, std::string body) -> task<bool>;                // true once told accepted
  auto await_held(std::int64_t number, tick until) -> task<bool>;
  auto probe_all(std::int64_t low, std::int64_t high) -> task<void>;
  // `accepted` is called as soon as the order is acknowledged.
  auto leave(std::string name, std::string kind, tick until, std::function<void()> accepted = {}) -> task<bool>;
  // One order or read, sent once to one control node. Returns the kind of its answer: `taken`, `retry` (not now: it may
  // be sent again), `refused` (for good) or `late` (none within two seconds).
  auto put_once(std::string queen, std::int64_t number, std::string body) -> task<std::string>;
  auto leave_once(std::string queen, std::string name, std::string kind) -> task<std::string>;
  auto read_once(std::string queen) -> task<std::string>;
  auto evacuate(std::string zone, tick until) -> task<bool>;               // true once nothing is left there
  auto read_back(tick until) -> task<bool>;                                // from a queen drawn at random
  auto read_all(std::vector<std::string> from, tick until) -> task<bool>;  // from each of these
  auto stroll(std::function<std::int64_t()> newest) -> task<void>;  // probes and reads at a steady pace, for ever
  auto ask(std::string verb, std::string path, std::string body, tick until) -> task<reply>;

 private:
  auto pull(std::string queen, tick until) -> task<bool>;
  auto send_once(std::string queen, std::string verb, std::string path, std::string body) -> task<std::string>;
  auto probe(std::string node, std::int64_t n) -> task<void>;
  host& h;
  std::vector<std::string> queens, foragers;
  history& log;
  std::int64_t count = 0;
};

// A charter whose number shows in what it allows: publishing to probe/v<number>.
auto probe_charter(std::int64_t number, const std::string& spaces) -> std::string;

}  // namespace hive
