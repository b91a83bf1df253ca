// The seam to the machine: clock, net, disk and chance (design 3.1).
// Two hosts exist: one on libev and LevelDB, one in the simulated fleet.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wax/loop.hpp"
#include "wax/task.hpp"
#include "wax/tree.hpp"

namespace hive {

// A byte stream to another process.
class link {
 public:
  explicit link(loop& l) : hub(l) {}
  link(const link&) = delete;
  auto operator=(const link&) -> link& = delete;
  virtual ~link() = default;
  virtual auto send(std::string_view bytes) -> void = 0;       // queued, sent at once where it fits
  virtual auto close() -> void = 0;                            // what is queued still goes out
  [[nodiscard]] virtual auto owed() const -> std::size_t = 0;  // queued, not yet taken by the net
  virtual auto eaten() -> void {}                              // the reader made room
  // Has the other side closed, as far as this machine can tell now? It may be true before `shut` is.
  [[nodiscard]] virtual auto ended() const -> bool { return shut; }

  // Waits for more bytes than are in `in`; false once the stream has ended.
  auto more(tick until = never) -> task<bool> {
    auto had = in.size();
    while (in.size() == had && !shut) {
      auto in_time = co_await stir.wait(hub, until);
      if (!in_time) co_return !shut;
    }
    co_return in.size() > had;
  }
  // Waits until less than `most` bytes are owed; false if time ran out or the stream ended.
  auto room(std::size_t most, tick until) -> task<bool> {
    while (!shut && owed() > most) {
      auto in_time = co_await gone.wait(hub, until);
      if (!in_time) co_return false;
    }
    co_return !shut;
  }
  [[nodiscard]] auto hub_now() const -> tick { return hub.now(); }
  std::string in;
  bool shut = false;
  std::string from;  // the other side's address

 protected:
  loop& hub;
  signal stir, gone;
};
using link_ptr = std::shared_ptr<link>;

class door {  // a listening address
 public:
  virtual ~door() = default;
  queue<link_ptr> knocks;
};

// Keys and values that last once synced. Writes become durable in order.
class store {
 public:
  using visitor = std::function<void(const std::string& key, const std::string& value)>;
  explicit store(loop& l) : hub(l), home(l) {}
  store(const store&) = delete;
  auto operator=(const store&) -> store& = delete;
  virtual ~store() = default;
  // Reads see every put and cut made before them, whether the disk has it yet or not. What was read is durable only if
  // nothing waits (`settled`) or after a sync.
  auto get(const std::string& key) -> std::optional<std::string>;
  // All keys with the prefix, in order.
  auto scan(const std::string& prefix, const visitor& visit) -> void;
  // Nothing that was put or cut waits for the disk.
  [[nodiscard]] auto settled() const -> bool { return sure == asked; }
  auto put(std::string key, std::string val) -> void {
    size += key.size() + val.size();
    next.push_back({std::move(key), std::move(val), false});
    ++asked;
  }
  auto cut(std::string key) -> void {
    next.push_back({std::move(key), {}, true});
    ++asked;
  }
  // Returns when all that was put or cut before the call is durable. Throws verdict("disk") once a write has failed;
  // what it held stays first in line and is written again until the disk takes it, then syncs succeed again.
  auto sync() -> task<void>;
  [[nodiscard]] auto broken() const -> bool { return bad; }
  std::uint64_t syncs = 0, bytes = 0;

 protected:
  struct deed {
    std::string key, val;
    bool cut;
  };
  virtual auto write(const std::vector<deed>& row) -> task<void> = 0;  // the row stays as it is until the task ends
  // What the disk itself holds.
  virtual auto get_written(const std::string& key) -> std::optional<std::string> = 0;
  virtual auto scan_written(const std::string& prefix, const visitor& visit) -> void = 0;
  auto stop() -> void { home.clear(); }  // for the end of a real store, before what `write` works with
  loop& hub;

 private:
  using pending_changes = std::map<std::string, const deed*, std::less<>>;
  // The last change that waits for the disk, for each key with the prefix.
  [[nodiscard]] auto pending(const std::string& prefix) const -> pending_changes;
  std::vector<deed> next, held;  // held: with the disk now, or not taken by it
  std::uint64_t asked = 0, sure = 0;
  std::size_t size = 0;
  bool busy = false, bad = false;
  signal done;
  auto flush() -> task<void>;
  nest home;
};

class host : public loop {
 public:
  [[nodiscard]] virtual auto wall() const -> std::int64_t = 0;  // milliseconds since 1970
  virtual auto chance() -> std::uint64_t = 0;
  virtual auto listen(const std::string& addr) -> std::unique_ptr<door> = 0;
  // Null if it failed. `refused` is then set if the machine answered that nobody listens there: the
  // process is gone. A machine without power and a cut say nothing.
  virtual auto dial(std::string addr, tick until, bool* refused = nullptr) -> task<link_ptr> = 0;
  virtual auto disk() -> store* = 0;  // null: this machine has none
  auto below(std::uint64_t n) -> std::uint64_t { return n ? chance() % n : 0; }
  // A span scattered around its middle, so that many do not act at once.
  auto spread(tick span) -> tick { return span / 2 + static_cast<tick>(below(static_cast<std::uint64_t>(span) + 1)); }
};

}  // namespace hive
