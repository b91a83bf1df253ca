// A checked and compiled configuration, and the evaluation of its rules (design 7.1).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/topic.hpp"
#include "configuration/types.hpp"

namespace reachridge {

// Created by `compile_configuration` and immutable afterwards.
class compiled_configuration {
 public:
  std::int64_t number = 0;
  std::int64_t after = -1;  // the number of the configuration that this one must follow; -1: any
  std::map<std::string, space> spaces;
  std::map<std::string, pool> pools;
  std::vector<rule_step> rules;
  std::int64_t subscriptions = 1000;  // maximum number of topics that one connection may subscribe to
  std::string origin;                 // the text that this configuration was translated from; may be empty
  std::string body;                   // the text as the operator sent it

  // Evaluates the rules for a request of `caller` with `bytes` bytes. The first matching allow or deny rule decides. A
  // request that no rule matches is denied.
  [[nodiscard]] auto decide(action requested, const std::string& caller, const std::string& topic,
                            std::size_t bytes) const -> rule_decision;
  // Returns the space with the longest prefix of the topic, or null if no space has a matching prefix.
  [[nodiscard]] auto space_of(std::string_view topic) const -> const space*;
  // Derives `pools` and the prefix index from `spaces`. Called once by the compiler.
  auto index() -> void;

 private:
  std::vector<std::size_t> prefix_lengths_;                   // distinct lengths of all prefixes, in descending order
  std::map<std::string, std::string, std::less<>> prefixes_;  // space names keyed by prefix
};
using compiled_configuration_ptr = std::shared_ptr<const compiled_configuration>;

// Checks and compiles the JSON text of a configuration. Throws request_error (errc::invalid_configuration) that lists
// all errors found.
auto compile_configuration(const std::string& body) -> compiled_configuration_ptr;

}  // namespace reachridge
