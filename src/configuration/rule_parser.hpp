// Parser of access rules (design 7.1). The grammar is:
//
//   rule    := ("allow" | "deny") actions "on" pattern ["for" pattern] ["under" number]
//            | "route" pattern "to" pattern
//   actions := action {"," action}
//   action  := "publish" | "subscribe" | "read" | "all"
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

#include "configuration/types.hpp"

namespace reachridge {

// Thrown for a rule that does not conform to the grammar. The message starts with the column of the error.
struct rule_syntax_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Compiles one rule and appends its steps to `program`. If rule_syntax_error is thrown, `program` may contain a part of
// the rule and must not be used.
auto append_rule(const std::string& rule, std::vector<rule_step>& program) -> void;

}  // namespace reachridge
