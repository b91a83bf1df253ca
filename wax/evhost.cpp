#include "wax/evhost.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <thread>

#include "wax/aside.hpp"
#include "wax/durable_env.hpp"
#include "wax/ring.hpp"
#include "wax/torn_tail.hpp"
#include "wax/verdict.hpp"

namespace hive {
namespace {

auto to_sock(const std::string& a) -> sockaddr_in {
  auto at = a.rfind(':');
  auto out = sockaddr_in();
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(a.substr(at + 1))));
  inet_pton(AF_INET, a.substr(0, at).c_str(), &out.sin_addr);
  return out;
}
auto from_sock(const sockaddr_in& s) -> std::string {
  char buf[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &s.sin_addr, buf, sizeof buf);
  return std::string(buf) + ":" + std::to_string(ntohs(s.sin_port));
}
auto fresh_sock() -> int { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

constexpr auto turn_most = std::size_t{64} << 10;  // so much does not wait for the end of the turn
constexpr auto in_most = std::size_t{16} << 20;    // twice the largest frame

class ev_link : public link, public corked {
 public:
  ev_link(evhost& h, fd s)
      : link(h), own(h), sock(std::move(s)), eye(h.base, sock.get(), EV_READ, [this](int e) { stirred(e); }) {
    auto one = 1;
    setsockopt(sock.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~ev_link() override {
    if (!out.empty()) flush();
  }
  auto send(std::string_view bytes) -> void override {
    if (shut || ending) return;
    auto waits = !out.empty() && !is_linked();  // the socket is full: it says when it takes more
    out.append(bytes);
    if (waits) return;
    if (out.size() >= turn_most)
      flush();
    else
      own.cork(*this);
  }
  auto pour() -> void override { flush(); }
  auto close() -> void override {
    if (shut) return;
    ending = true;
    flush();
    ::shutdown(sock.get(), out.empty() ? SHUT_RDWR : SHUT_RD);
    end();
  }
  [[nodiscard]] auto owed() const -> std::size_t override { return out.size(); }
  auto eaten() -> void override { turn(); }
  // After a freeze the end of a stream stands unread behind its bytes.
  [[nodiscard]] auto ended() const -> bool override {
    if (shut) return true;
    auto one = char{};
    auto n = ::recv(sock.get(), &one, 1, MSG_PEEK);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }

 private:
  auto stirred(int e) -> void {
    if (e & EV_WRITE) flush();
    if (e & EV_READ) fill();
  }
  auto fill() -> void {
    char buf[65536];
    for (auto i = 0; i < 4 && !shut && in.size() < in_most; ++i) {
      auto n = ::recv(sock.get(), buf, sizeof buf, 0);
      if (n > 0) {
        in.append(buf, static_cast<std::size_t>(n));
        stir.wake();
        if (n < static_cast<ssize_t>(sizeof buf)) break;
      } else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        return end();
      } else {
        break;
      }
    }
    turn();
  }
  auto flush() -> void {
    if (is_linked()) unlink();
    while (!out.empty()) {
      ++own.pours;
      auto n = ::send(sock.get(), out.data(), out.size(), MSG_NOSIGNAL);
      if (n > 0) {
        out.erase(0, static_cast<std::size_t>(n));
      } else if (errno == EAGAIN || errno == EINTR) {
        break;
      } else {
        out.clear();
        end();
        return;
      }
    }
    gone.wake();
    turn();
  }
  auto turn() -> void {
    if (shut) return eye.want(0);
    eye.want((in.size() < in_most ? EV_READ : 0) | (out.empty() || is_linked() ? 0 : EV_WRITE));
  }
  auto end() -> void {
    shut = true;
    eye.want(0);
    stir.wake();
    gone.wake();
  }
  evhost& own;
  fd sock;
  watch eye;
  std::string out;
  bool ending = false;
};

class ev_door : public door {
 public:
  ev_door(evhost& h, fd s) : host_(h), sock(std::move(s)), eye(h.base, sock.get(), EV_READ, [this](int) { knock(); }) {}

 private:
  auto knock() -> void {
    for (auto i = 0; i < 64; ++i) {
      auto peer = sockaddr_in();
      auto len = socklen_t{sizeof peer};
      auto f = ::accept4(sock.get(), reinterpret_cast<sockaddr*>(&peer), &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (f < 0) break;
      auto l = std::make_shared<ev_link>(host_, fd(f));
      l->from = from_sock(peer);
      knocks.push(l);
    }
  }
  evhost& host_;
  fd sock;
  watch eye;
};

auto names_last() -> durable_env& {
  static auto env = durable_env(leveldb::Env::Default());
  return env;
}

// Opens the files in a folder; what a loss of power tore of the last write goes.
auto open_files(const std::string& folder) -> std::unique_ptr<leveldb::DB> {
  auto opt = leveldb::Options();
  opt.create_if_missing = true;
  opt.paranoid_checks = true;
  opt.env = &names_last();
  auto* raw = static_cast<leveldb::DB*>(nullptr);
  auto s = leveldb::DB::Open(opt, folder, &raw);
  if (s.IsCorruption() && cut_torn_tail(folder)) s = leveldb::DB::Open(opt, folder, &raw);
  if (!s.ok()) throw verdict("disk", "data folder " + folder + ": " + s.ToString());
  auto out = std::unique_ptr<leveldb::DB>(raw);
  // Names that opening has made or removed last only after a sync of their folder.
  if (auto synced = sync_folder(folder); !synced.ok())
    throw verdict("disk", "data folder " + folder + ": " + synced.ToString());
  return out;
}

class level_store : public store {
 public:
  level_store(struct ev_loop* base, loop& l, std::string f)
      : store(l), folder(std::move(f)), db(open_files(folder)), side(base, l) {}
  ~level_store() override { stop(); }

 protected:
  auto get_written(const std::string& key) -> std::optional<std::string> override {
    auto opt = leveldb::ReadOptions();
    opt.verify_checksums = true;
    auto out = std::string();
    auto s = there().Get(opt, key, &out);
    if (s.IsNotFound()) return {};
    if (!s.ok()) throw bad_bytes(s.ToString());
    return out;
  }
  auto scan_written(const std::string& prefix, const visitor& visit) -> void override {
    auto opt = leveldb::ReadOptions();
    opt.verify_checksums = true;
    auto it = std::unique_ptr<leveldb::Iterator>(there().NewIterator(opt));
    for (it->Seek(prefix); it->Valid() && it->key().starts_with(prefix); it->Next())
      visit(it->key().ToString(), it->value().ToString());
    if (!it->status().ok()) throw bad_bytes(it->status().ToString());
  }

  auto write(const std::vector<deed>& row) -> task<void> override {
    if (!db) co_await reopen();
    auto b = std::make_shared<leveldb::WriteBatch>();
    for (const auto& d : row) {
      if (d.cut)
        b->Delete(d.key);
      else
        b->Put(d.key, d.val);
    }
    // Not written inside the co_await: g++ 12 ends a lambda's captures twice there.
    auto work = std::function<std::string()>([b, d = db] {
      auto opt = leveldb::WriteOptions();
      opt.sync = true;
      auto s = d->Write(opt, b.get());
      return s.ok() ? std::string() : s.ToString();
    });
    auto fault = co_await side.run(std::move(work));
    if (fault.empty()) co_return;
    // The library takes nothing more after some faults, and after others writes on behind a torn record.
    db.reset();
    log(grade::grave, "store", fault);
    throw verdict("disk", fault, ran::maybe);
  }

 private:
  auto reopen() -> task<void> {
    auto got = std::make_shared<std::shared_ptr<leveldb::DB>>();
    auto work = std::function<std::string()>([got, f = folder] {
      try {
        *got = open_files(f);
      } catch (const std::exception& e) {
        return std::string(e.what());
      }
      return std::string();
    });
    auto fault = co_await side.run(std::move(work));
    if (!fault.empty()) throw verdict("disk", fault, ran::maybe);
    db = std::move(*got);
    log(grade::note, "store", "the data folder is open again");
  }
  [[nodiscard]] auto there() const -> leveldb::DB& {
    if (!db) throw verdict("disk", "the data folder is being opened again", ran::no, sec / msec);
    return *db;
  }
  std::string folder;
  std::shared_ptr<leveldb::DB> db;  // none: closed after a fault
  aside side;                       // ends, with what it has under way, before the files close
};

}  // namespace

struct evhost::guts {
  ev_timer clock{};
  ev_signal term{}, hup{}, intr{};
};

evhost::evhost(const std::string& data) : base(ev_default_loop(0)), own(std::make_unique<guts>()) {
  ::signal(SIGPIPE, SIG_IGN);
  if (!data.empty()) db = std::make_unique<level_store>(base, *this, data);  // may throw: nothing is watched yet
  ev_timer_init(
      &own->clock, [](struct ev_loop*, ev_timer*, int) {}, 0, 0);
  auto on = [this](ev_signal& s, int n, bool hup) {
    if (hup)
      ev_signal_init(
          &s,
          [](struct ev_loop*, ev_signal* w, int) {
            if (auto& f = static_cast<evhost*>(w->data)->on_hup) f();
          },
          n);
    else
      ev_signal_init(
          &s,
          [](struct ev_loop*, ev_signal* w, int) {
            auto* h = static_cast<evhost*>(w->data);
            if (h->on_term)
              h->on_term();
            else
              h->end();
          },
          n);
    s.data = this;
    ev_signal_start(base, &s);
  };
  on(own->term, SIGTERM, false);
  on(own->intr, SIGINT, false);
  on(own->hup, SIGHUP, true);
}
evhost::~evhost() {
  ev_timer_stop(base, &own->clock);
  ev_signal_stop(base, &own->term);
  ev_signal_stop(base, &own->intr);
  ev_signal_stop(base, &own->hup);
}
auto evhost::now() const -> tick {
  auto t = timespec();
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * sec + t.tv_nsec / 1000;
}
auto evhost::wall() const -> std::int64_t {
  auto t = timespec();
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
auto evhost::disk() -> store* { return db.get(); }

auto evhost::listen(const std::string& addr) -> std::unique_ptr<door> {
  auto s = fd(fresh_sock());
  auto one = 1;
  setsockopt(s.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto a = to_sock(addr);
  if (::bind(s.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(s.get(), 1024) != 0)
    throw verdict("listen", addr + ": " + std::strerror(errno));
  return std::make_unique<ev_door>(*this, std::move(s));
}

auto evhost::dial(std::string addr, tick until, bool* refused) -> task<link_ptr> {
  auto s = fd(fresh_sock());
  auto a = to_sock(addr);
  auto failed = [refused](int why) {
    if (refused) *refused = why == ECONNREFUSED;
    return link_ptr();
  };
  if (::connect(s.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS)
    co_return failed(errno);
  auto up = signal();
  auto got = false;
  {
    auto eye = watch(base, s.get(), EV_WRITE, [&](int) {
      got = true;
      up.wake();
    });
    while (!got) {
      auto in_time = co_await up.wait(*this, until);
      if (!in_time) co_return nullptr;
    }
  }
  auto err = 0;
  auto len = socklen_t{sizeof err};
  getsockopt(s.get(), SOL_SOCKET, SO_ERROR, &err, &len);
  if (err) co_return failed(err);
  auto l = std::make_shared<ev_link>(*this, std::move(s));
  l->from = addr;
  co_return l;
}

auto evhost::pour() -> void {
  while (!full.empty()) {
    auto& one = full.front();
    full.pop_front();
    one.pour();
  }
}

auto evhost::run() -> void {
  while (!over) {
    auto work = 0;
    while (work < 512 && !over && step())
      ++work;
    if (over) break;
    pour();
    auto at = next();
    auto wait = at >= never ? 3600.0 : std::max<double>(0, static_cast<double>(at - now()) / sec);
    ev_timer_stop(base, &own->clock);
    ev_timer_set(&own->clock, wait, 0);
    ev_timer_start(base, &own->clock);
    ev_run(base, wait > 0 ? EVRUN_ONCE : EVRUN_NOWAIT);
  }
}

}  // namespace hive
