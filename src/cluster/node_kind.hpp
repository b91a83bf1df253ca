// The kinds of nodes. The values appear in messages between nodes, in stored data and on the operators' pages.
#pragma once

namespace reachridge::node_kind {

inline constexpr const char* control = "queen";
inline constexpr const char* storage = "comb";
inline constexpr const char* gateway = "forager";
inline constexpr const char* agent = "scout";

}  // namespace reachridge::node_kind
