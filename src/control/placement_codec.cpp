// Encodes and decodes placement messages. Only this file knows the names of the encoded fields.
#include "control/placement_policy.hpp"
#include "control/replica_move.hpp"

namespace reachridge {

auto replica_move::to_value() const -> value {
  return object{{"cell", partition},           {"prim", primary},     {"back", new_backup},
                {"replaced", replaced_backup}, {"lead", new_primary}, {"hand", hands_over()}};
}

auto replica_move::from_value(const value& encoded) -> replica_move {
  auto out = replica_move();
  out.partition = get_string(encoded, "cell");
  out.primary = get_string(encoded, "prim");
  out.new_backup = get_string(encoded, "back");
  out.replaced_backup = get_string_or(encoded, "replaced");
  out.new_primary = get_string_or(encoded, "lead");
  return out;
}

auto backup_request::from_value(const value& encoded) -> backup_request {
  auto out = backup_request();
  out.primary_zone = get_string(encoded, "zone");
  for (const auto& member : get_array(encoded, "not"))
    out.excluded_members.emplace_back(member.as_string());
  for (const auto& member : get_array(encoded, "with"))
    out.kept_members.emplace_back(member.as_string());
  out.partition = get_string_or(encoded, "cell");
  return out;
}

auto encode_chosen_backup(const node_descriptor& node) -> value {
  return object{{"member", node.member()}, {"addr", node.address}};
}

}  // namespace reachridge
