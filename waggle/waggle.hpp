// Charters and the small language of routes and policies (design 7).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wax/loop.hpp"
#include "wax/tree.hpp"

namespace hive {

// A space of topics: all whose longest matching prefix is its own.
struct space {
  std::string name, prefix, pool;
  std::int64_t keep_ms = 0;  // 0: messages are not kept
  std::int64_t urgency = 0;  // 9 overtakes 0
  std::int64_t cells = 4;
  std::int64_t timeout_ms = 0;  // a publish unanswered for so long is given up; 0: no bound of its own
  std::int64_t aim_ms = 0;      // within this a message is worth most; 0: not said
  bool by_topic = true;         // one order for all subscribers; else an order for each sender
};

// The cells that one or more spaces share. A space may come and go while its pool stays.
struct pool {
  std::int64_t cells = 0, keep_ms = 0, urgency = 0;  // the most that any of its spaces asks
};

enum class act : unsigned { publish = 1, subscribe = 2, read = 4 };

// One step of the compiled rules; the forager interprets them.
struct step {
  enum class kind { topic, caller, doing, size, allow, deny, route } what;
  std::string arg, more;  // a pattern; for a route also its target
  std::int64_t num = 0;   // a mask of acts, or bytes
  std::size_t skip = 0;   // where to go on if the test fails
};

struct ruling {
  bool ok = false;
  std::string topic;  // after routing
  std::string why;
};

class charter {
 public:
  std::int64_t number = 0, after = -1;
  std::map<std::string, space> spaces;
  std::map<std::string, pool> pools;
  std::vector<step> rules;
  std::int64_t subscriptions = 1000;  // the most topics that one link may hold
  std::string origin;                 // the text this was translated from, if any
  std::string body;                   // as the operator sent it

  [[nodiscard]] auto judge(act a, const std::string& caller, const std::string& topic, std::size_t bytes) const
      -> ruling;
  [[nodiscard]] auto space_of(std::string_view topic) const -> const space*;
  auto index() -> void;  // after `spaces` was filled: pools and prefixes

 private:
  std::vector<std::size_t> lengths;                          // of prefixes, the longest first
  std::map<std::string, std::string, std::less<>> prefixes;  // -> name
};
using charter_ptr = std::shared_ptr<const charter>;

struct fault_at {
  std::string place, why;
};
// Checks and compiles the whole; throws verdict("bad_charter") naming every fault found.
auto compile(const std::string& body) -> charter_ptr;

auto good_topic(const std::string& t) -> bool;  // 1 to 200 printable bytes without a space
// Which cell of its pool holds a topic: "pool/k".
auto cell_of(const space& s, const std::string& topic) -> std::string;
auto like(const std::string& pattern, const std::string& word) -> bool;
auto hash64(const std::string& s) -> std::uint64_t;

}  // namespace hive
