// Topics: syntax, pattern matching, and the mapping of topics to partitions (design 7.1).
#pragma once
#include <cstdint>
#include <string>

#include "configuration/types.hpp"

namespace reachridge {

// Returns whether the text is a valid topic: 1 to 200 printable ASCII characters without spaces.
auto is_topic(const std::string& text) -> bool;
// Returns whether the pattern matches the whole text. A '*' matches any sequence of characters, including none.
auto matches(const std::string& pattern, const std::string& text) -> bool;
// Returns the id of the partition that holds a topic, in the form "pool/number".
auto partition_of(const space& topic_space, const std::string& topic) -> std::string;
// Returns a hash of the text. Partitions and cursors depend on it, so the function must be the same on every node and
// in every release.
auto hash64(const std::string& text) -> std::uint64_t;

}  // namespace reachridge
