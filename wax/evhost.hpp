// The host on libev, TCP and LevelDB (design 3.1).
#pragma once
#include <ev.h>

#include <boost/intrusive/list.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "wax/host.hpp"

namespace hive {

// A link with bytes that wait for the end of the loop's turn: what is sent within one turn
// goes out with one system call (design 3.1).
class corked : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~corked() = default;
  virtual auto pour() -> void = 0;
};

class evhost : public host {
 public:
  explicit evhost(const std::string& data);  // empty: no disk
  ~evhost() override;
  [[nodiscard]] auto now() const -> tick override;
  [[nodiscard]] auto wall() const -> std::int64_t override;
  auto chance() -> std::uint64_t override { return dice(); }
  auto listen(const std::string& addr) -> std::unique_ptr<door> override;
  auto dial(std::string addr, tick until, bool* refused = nullptr) -> task<link_ptr> override;
  auto disk() -> store* override;

  // Runs until `end` was called. The signal functions run on the loop.
  auto run() -> void;
  auto end() -> void { over = true; }
  // It is poured once, at the end of this turn.
  auto cork(corked& c) -> void {
    if (!c.is_linked()) full.push_back(c);
  }
  std::uint64_t pours = 0;  // writes to sockets so far
  std::function<void()> on_term, on_hup;
  struct ev_loop* base;

 private:
  auto pour() -> void;
  struct guts;
  std::unique_ptr<guts> own;
  std::unique_ptr<store> db;
  std::mt19937_64 dice{std::random_device{}()};
  bool over = false;
  boost::intrusive::list<corked, boost::intrusive::constant_time_size<false>> full;
};

}  // namespace hive
