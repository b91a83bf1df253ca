// HTTP/1.1 with JSON towards callers and operators, on Beast's parsers (design 3.7).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wax/host.hpp"
#include "wax/verdict.hpp"

namespace hive {

struct request {
  std::string verb, path;
  std::map<std::string, std::string> query;
  std::string body;
  tick until = never;               // its caller waits no longer than this: nothing is begun afterwards
  std::function<bool()> abandoned;  // has its caller closed the connection? May be empty.
  [[nodiscard]] auto awaited(tick now) const -> bool { return now < until && !(abandoned && abandoned()); }
};
struct response {
  int code = 200;
  tree body;
  std::string plain;                 // sent as it is in place of the body, if not empty
  std::string media = "text/plain";  // what `plain` is
};

// Chunked JSON lines both ways on one long link.
class lines {
 public:
  virtual ~lines() = default;
  virtual auto next(tick until) -> task<std::optional<std::string>> = 0;  // none: ended
  virtual auto put(const tree& t) -> void = 0;
  virtual auto end() -> void = 0;
  [[nodiscard]] virtual auto way() -> link& = 0;
};

struct pages {
  std::function<task<response>(request)> page;
  // Set where long links are taken; the path is /v1/link.
  std::function<task<void>(request, std::shared_ptr<lines>)> stream;
  std::size_t body_most = 1 << 20;
};
auto serve_web(host& h, nest& home, std::unique_ptr<door> d, pages p) -> task<void>;

// A caller's side, for our tools and stand-ins. A null response: no answer came.
struct reply {
  int code = 0;
  tree body;
  std::string plain;
};
auto fetch(host& h, std::string addr, std::string verb, std::string path, std::string body, tick until) -> task<reply>;
auto open_link(host& h, std::string addr, tick until) -> task<std::shared_ptr<lines>>;

// The pages that every daemon has: /healthz, /status, /metrics, /ring. None: another page.
auto common_page(const std::string& path, const std::function<tree()>& status) -> std::optional<response>;

auto code_for(const verdict& v) -> int;

}  // namespace hive
