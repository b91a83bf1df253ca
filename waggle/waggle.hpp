// Charters and the small language of routes and policies (design 7).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wax/loop.hpp"
#include "wax/tree.hpp"

namespace hive {

struct space {
  std::string name;
  std::int64_t keep_s = 0;   // 0: messages are not kept
  std::int64_t urgency = 0;  // 9 overtakes 0
  std::int64_t cells = 4;
};

enum class act : unsigned { publish = 1, subscribe = 2, read = 4 };

// One step of the compiled rules; the forager interprets them.
struct step {
  enum class kind { topic, caller, doing, size, allow, deny, route } what;
  std::string arg, more;   // a pattern; for a route also its target
  std::int64_t num = 0;    // a mask of acts, or bytes
  std::size_t skip = 0;    // where to go on if the test fails
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
  std::vector<step> rules;
  std::string body;  // as the operator sent it

  [[nodiscard]] auto judge(act a, const std::string& caller, const std::string& topic,
                           std::size_t bytes) const -> ruling;
  [[nodiscard]] auto space_of(const std::string& topic) const -> const space*;
};
using charter_ptr = std::shared_ptr<const charter>;

struct fault_at {
  std::string place, why;
};
// Checks and compiles the whole; throws verdict("bad_charter") naming every fault found.
auto compile(const std::string& body) -> charter_ptr;

auto good_topic(const std::string& t) -> bool;
// Which cell of its space holds a topic: "space/k".
auto cell_of(const space& s, const std::string& topic) -> std::string;
auto like(const std::string& pattern, const std::string& word) -> bool;
auto hash64(const std::string& s) -> std::uint64_t;

}  // namespace hive
