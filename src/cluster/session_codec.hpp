// Encodes and decodes the messages of sessions and of gossip. Their field names appear in no other file.
// Decoding throws decode_error with the name of the field if a mandatory field is missing or has a wrong type.
#pragma once
#include "cluster/session_messages.hpp"

namespace reachridge {

auto encode(session_request request) -> value;
auto encode(session_reply reply) -> value;
auto encode(gossip_request request) -> value;
auto encode(gossip_reply reply) -> value;
auto encode(const in_force_status& status) -> value;
// Encodes a request that proposes a command for the replicated log.
auto encode_proposal(value command) -> value;
// Encodes a request that ends the session of the node `name`.
auto encode_leave(const std::string& name) -> value;

auto decode_session_request(const value& encoded) -> session_request;
auto decode_session_reply(value encoded) -> session_reply;
auto decode_gossip_request(value encoded) -> gossip_request;
auto decode_gossip_reply(const value& encoded) -> gossip_reply;

// Returns whether a version vector requests the gateways of all zones.
auto requests_all_zones(const value& held_versions) -> bool;

}  // namespace reachridge
