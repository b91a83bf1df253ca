// The parts of a compiled configuration (design 7.1).
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>

namespace reachridge {

// A space contains all topics whose longest matching prefix is the prefix of this space.
struct space {
  std::string name;
  std::string prefix;
  std::string pool;
  std::int64_t keep_ms = 0;  // retention of messages; 0: messages are not kept
  std::int64_t urgency = 0;  // 0 to 9; storage nodes process requests of higher urgency first
  std::int64_t partitions = 4;
  std::int64_t timeout_ms = 0;  // timeout of an unanswered publish; 0: the space sets no timeout
  std::int64_t target_ms = 0;   // target delivery time of a message; 0: not specified
  bool by_topic = true;         // true: messages are ordered per topic; false: per sender
};

// A set of partitions that one or more spaces share. Spaces can be added and removed while their pool remains.
struct pool {
  std::int64_t partitions = 0;
  std::int64_t keep_ms = 0;  // the maximum over the spaces of the pool
  std::int64_t urgency = 0;  // the maximum over the spaces of the pool
};

// The actions that a client may request. The values are bits of the mask in a rule.
enum class action : unsigned { publish = 1, subscribe = 2, read = 4 };

// One step of the compiled rules: a test, or the decision or route that applies when all tests of the rule have passed.
struct rule_step {
  enum class kind { topic, caller, action, size, allow, deny, route } kind;
  std::string pattern;               // for tests of the topic or the caller, and for routes
  std::string target;                // for routes
  std::int64_t number = 0;           // a mask of actions, or an exclusive limit in bytes
  std::size_t next_on_mismatch = 0;  // index of the next step if the test fails
};

// The result of evaluating the rules for one request.
struct rule_decision {
  bool allowed = false;
  std::string topic;   // the topic after routing
  std::string reason;  // why the request is denied
};

}  // namespace reachridge
