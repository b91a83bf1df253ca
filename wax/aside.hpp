// Handles of the real host: descriptors, libev watchers, and the disk's own thread (design 3.1).
#pragma once
#include <ev.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "wax/task.hpp"
#include "wax/verdict.hpp"

namespace hive {

class fd {
 public:
  explicit fd(int n) : n(n) {}
  fd(fd&& o) noexcept : n(std::exchange(o.n, -1)) {}
  auto operator=(fd&&) -> fd& = delete;
  ~fd() {
    if (n >= 0) ::close(n);
  }
  [[nodiscard]] auto get() const -> int { return n; }

 private:
  int n;
};

// A libev watcher that stops when its holder ends.
class watch {
 public:
  watch(struct ev_loop* l, int f, int events, std::function<void(int)> fn) : base(l), fn(std::move(fn)) {
    ev_io_init(&io, &watch::hit, f, events);
    io.data = this;
    if (events) ev_io_start(base, &io);
  }
  watch(const watch&) = delete;
  auto operator=(const watch&) -> watch& = delete;
  ~watch() { ev_io_stop(base, &io); }
  auto want(int events) -> void {
    if ((io.events & (EV_READ | EV_WRITE)) == events && ev_is_active(&io)) return;
    ev_io_stop(base, &io);
    ev_io_set(&io, io.fd, events);
    if (events) ev_io_start(base, &io);
  }

 private:
  static auto hit(struct ev_loop*, ev_io* w, int events) -> void { static_cast<watch*>(w->data)->fn(events); }
  struct ev_loop* base;
  ev_io io{};
  std::function<void(int)> fn;
};

// The disk's own thread: it takes one piece of work at a time through a pipe and says
// through another that it is done, while the loop goes on. The one exception to "one
// thread" (design 3.1); the two sides share nothing but the piece that is handed over.
class aside {
 public:
  aside(struct ev_loop* base, loop& l)
      : hub(l),
        there(conduit()),
        back(conduit()),
        eye(base, back.first.get(), EV_READ, [this](int) { hear(); }),
        hand([in = there.first.get(), out = back.second.get()] { toil(in, out); }) {}
  aside(const aside&) = delete;
  auto operator=(const aside&) -> aside& = delete;
  ~aside() {
    hand_over(nullptr);
    hand.join();
  }
  // The piece must not throw; what it returns is its fault, empty if it had none.
  auto run(std::function<std::string()> work) -> task<std::string> {
    auto p = std::make_shared<piece>();
    p->work = std::move(work);
    under_way = p;
    hand_over(p.get());
    while (!p->over)
      co_await done.wait(hub);
    co_return p->fault;
  }

 private:
  struct piece {
    std::function<std::string()> work;
    std::string fault;
    bool over = false;
  };
  using pair = std::pair<fd, fd>;
  static auto conduit() -> pair {
    auto f = std::array<int, 2>();
    if (::pipe2(f.data(), O_CLOEXEC) != 0) throw verdict("disk", std::strerror(errno));
    return {fd(f[0]), fd(f[1])};
  }
  // What goes through a conduit is the address of a piece, whole or not at all.
  static constexpr auto address_bytes = sizeof(void*);
  auto hand_over(piece* p) -> void {
    while (::write(there.second.get(), &p, address_bytes) < 0 && errno == EINTR) {
    }
  }
  static auto toil(int in, int out) -> void {
    auto mask = sigset_t();
    sigfillset(&mask);
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);  // signals are the loop's
    while (true) {
      auto* p = static_cast<piece*>(nullptr);
      auto n = ::read(in, &p, address_bytes);
      if (n < 0 && errno == EINTR) continue;
      if (n != address_bytes || !p) return;
      p->fault = p->work();
      auto one = char{1};
      while (::write(out, &one, 1) < 0 && errno == EINTR) {
      }
    }
  }
  auto hear() -> void {
    auto one = char{0};
    if (::read(back.first.get(), &one, 1) != 1 || !under_way) return;
    under_way->over = true;
    under_way.reset();
    done.wake();
  }
  loop& hub;
  signal done;
  std::shared_ptr<piece> under_way;  // kept until done, whoever still waits for it
  pair there, back;
  watch eye;
  std::thread hand;
};

}  // namespace hive
