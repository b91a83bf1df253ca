// The host on libev, TCP and LevelDB (design 3.1).
#pragma once
#include <ev.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "wax/host.hpp"

namespace hive {

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
  std::function<void()> on_term, on_hup;
  struct ev_loop* base;

 private:
  struct guts;
  std::unique_ptr<guts> own;
  std::unique_ptr<store> db;
  std::mt19937_64 dice{std::random_device{}()};
  bool over = false;
};

}  // namespace hive
