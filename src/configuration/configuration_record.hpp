// One version of the configuration as it is stored and sent (design 7.1): a head that every node reads, and the rest
// deflated.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "configuration/compiled_configuration.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// A control or storage node needs the number and the pools alone; only a gateway compiles the rules, once for each
// version that it serves by. Immutable but for that cache.
class configuration_record {
 public:
  using pointer = std::shared_ptr<const configuration_record>;

  // From a configuration that was checked and compiled as a whole.
  static auto from_compiled(const compiled_configuration_ptr& compiled) -> pointer;
  // From `to_value`; throws decode_error on what is none.
  static auto from_value(const value& stored) -> pointer;
  // From what a node was sent: `rules` as in `rules()`, `head` as in `head()`. A sender of an earlier release sends no
  // head: then the rules are compiled at once.
  static auto from_received(const value& head, const std::string& rules) -> pointer;

  // Everything, for the replicated log and its snapshots.
  [[nodiscard]] auto to_value() const -> value;
  // Number and pools, for nodes.
  [[nodiscard]] auto head() const -> value;
  // What nodes need beside the head: the text without its origin, deflated.
  [[nodiscard]] auto rules() const -> const std::string& {
    return rules_deflated_;
  }
  // The whole as the operator sent it, its fields perhaps in another order.
  [[nodiscard]] auto body() const -> std::string;
  // Compiled at the first call; throws decode_error if the stored bytes are damaged.
  [[nodiscard]] auto compiled() const -> const compiled_configuration_ptr&;
  // Whether both say the same, in whatever order their fields stand.
  [[nodiscard]] auto same_content(const configuration_record& other) const -> bool;

  std::int64_t number = 0;
  std::int64_t after = -1;  // the number that it is meant to follow; -1: any
  std::map<std::string, pool> pools;

 private:
  [[nodiscard]] auto content() const -> value;
  std::string rules_deflated_;
  std::string origin_deflated_;  // empty: it was not translated from another text
  mutable compiled_configuration_ptr compiled_rules_;
};
using configuration_ptr = configuration_record::pointer;

}  // namespace reachridge
