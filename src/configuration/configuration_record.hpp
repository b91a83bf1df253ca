// One version of the configuration in the form in which it is stored and sent (design 7.1): a head that every node
// reads, and the remaining text, which is deflated.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "configuration/compiled_configuration.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Control and storage nodes need only the number and the pools. Gateways also compile the rules, once for each version.
// The record is immutable apart from the cached result of that compilation.
class configuration_record {
 public:
  using pointer = std::shared_ptr<const configuration_record>;

  // Creates a record of a compiled configuration.
  static auto from_compiled(const compiled_configuration_ptr& compiled) -> pointer;
  // Decodes the result of `to_value`. Throws decode_error if the value is malformed.
  static auto from_value(const value& stored) -> pointer;
  // Creates a record from the results of `head` and `deflated_rules` that another node sent. Earlier releases send no
  // head; the rules are then compiled at once to obtain the number and the pools.
  static auto from_received(const value& head, const std::string& deflated_rules) -> pointer;

  // Encodes the complete record, for the replicated log and its snapshots.
  [[nodiscard]] auto to_value() const -> value;
  // Encodes the number and the pools, to be sent to nodes.
  [[nodiscard]] auto head() const -> value;
  // Returns the deflated text without its origin. Nodes receive it together with the head.
  [[nodiscard]] auto deflated_rules() const -> const std::string& {
    return deflated_rules_;
  }
  // Returns the complete text that the operator sent. The order of its fields may differ.
  [[nodiscard]] auto body() const -> std::string;
  // Returns the compiled configuration; the first call compiles it. Throws decode_error if the stored bytes are
  // damaged.
  [[nodiscard]] auto compiled() const -> const compiled_configuration_ptr&;
  // Returns whether both records have the same fields and values, in any order.
  [[nodiscard]] auto same_content(const configuration_record& other) const -> bool;

  std::int64_t number = 0;
  std::int64_t after = -1;  // the number of the configuration that this one must follow; -1: any
  std::map<std::string, pool> pools;

 private:
  [[nodiscard]] auto content() const -> value;
  std::string deflated_rules_;
  std::string deflated_origin_;  // empty if the configuration was not translated from another text
  mutable compiled_configuration_ptr compiled_;
};
using configuration_ptr = configuration_record::pointer;

}  // namespace reachridge
