// Settings: read from a file and flags, checked whole before use (design 3.6).
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wax/loop.hpp"

namespace hive {

struct config {
  std::string name, zone, addr, web, feed, data;
  std::vector<std::string> seeds;
  tick beat = 100 * msec;    // between signs of life
  tick lose = 1 * sec;       // silence after which a colleague counts as lost
  tick lease = 1500 * msec;  // how long a charter lease lasts
  // For how long after its last contact with a majority a leader may still give leases; shorter than the quiet that
  // voters keep for it.
  [[nodiscard]] auto contact_span() const -> tick { return lose * 9 / 32; }
  tick budget = 1 * sec;          // for one request inside the system
  tick resend = 10 * sec;         // repeats of a publish are known at least so long
  tick lag = 1 * sec;             // replay lag above which the primary is slowed
  std::int64_t body = 16 << 10;   // bytes of one message
  std::int64_t buffer = 4 << 20;  // bytes of one log buffer or slow reader
  std::int64_t copies = 2;    // of a partition that keeps messages: the losses of disks to be borne at once, and one
  std::int64_t links = 4000;  // links one forager holds
  tick drain = 1 * sec;       // what a leaving forager leaves its links to end what is under way
  tick grace = 4 * sec;       // from SIGTERM to the process's end, at most
  tick presence = 5 * sec;    // a count of subscribers is at most so old
  tick keepalive = 15 * sec;  // a downstream silent for three times as long may be let go
  bool found = true;          // a blank disk may begin a new ledger
  bool slowing = true;        // gradual slowing of a primary
  tick drag = 0;              // replay time of one entry, for tests of a slow backup
  bool echo = false;          // log lines also to stderr
};

struct fault {
  std::string key, why;
};

// Which keys a program needs besides those that all share.
struct needs {
  bool zone = true, web = false, feed = false, data = false, addr = true;
};

// Reads `file` (may be empty) and then the flags; every fault is named.
auto read_config(const std::string& file, const std::map<std::string, std::string>& flags, const needs& n,
                 std::vector<fault>& faults) -> config;

// Where a daemon's settings come from (design 3.6).
struct origin {
  std::function<config(std::vector<fault>&)> read;  // reads and checks; every fault is named
  std::string file;                                 // read again when it changes; empty: none
  bool seeds_drift = false;  // another list of seeds is no fault while running; it counts from the next start
};
// The flags and the file they name. Exits on --help; faults of the flags come from `read`.
auto command_line(int argc, const char** argv, const std::string& about, const needs& n) -> origin;

// What of `next` a process that runs by `set` cannot take up (design 3.6).
auto fixed_faults(const config& set, const config& next, bool seeds_drift) -> std::vector<fault>;

auto good_addr(const std::string& a) -> bool;

}  // namespace hive
