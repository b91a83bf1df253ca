// Operators' orders to start or end the drain of a node or a zone, in the form in which the HTTP pages of the control
// node accept them (docs/api.md, design 4.6).
#pragma once
#include <cstdint>
#include <string>

#include "control/commands.hpp"
#include "runtime/http.hpp"

namespace reachridge {

// An operator's order on one node or zone.
struct drain_order {
  bool begins_drain = true;  // false: the order ends an earlier drain
  std::string name;          // of the node, or zone_key of the zone
  drain_kind kind = drain_kind::drain;
  std::int64_t replicas = default_replicas;  // for a retirement: number of storage nodes that must remain

  // Returns the order as a control node sends it to the leader.
  [[nodiscard]] auto to_value() const -> value;
  // Throws decode_error or request_error if the encoded order is malformed.
  static auto from_value(const value& encoded) -> drain_order;
};

// Parses the body of a request to /v1/leave or /v1/stay. Throws request_error(errc::malformed) that names the fault.
auto parse_drain_order(const http_request& request) -> drain_order;

// Whether `name` is a valid name of a node or a zone: 1 to 100 printable ASCII characters except space, '/' and ':'.
auto is_node_name(const std::string& name) -> bool;

}  // namespace reachridge
