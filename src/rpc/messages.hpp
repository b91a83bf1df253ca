// The messages of the RPC layer and their encoding (design 3.3). The modules that exchange calls and notifications
// define the bodies of those.
#pragma once
#include <cstdint>
#include <string>

#include "runtime/request_error.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// Identifies a call within one peer connection of the calling process. Call ids are not negative.
using call_id = std::int64_t;

// The first message on a connection. Identifies the calling process.
struct hello_message {
  std::string name;                 // name of the calling process
  bool answers_heartbeats = false;  // false for older releases, which do not reply on connections that they opened
};

// The first message on a stream that the accepting process is to relay to a third process (design 3.8).
struct relay_message {
  std::string address;  // IP:PORT of the process to connect to
};

// Asks the peer for a heartbeat reply.
struct heartbeat_message {
  value sent_at;  // monotonic_time of the sender; the receiver returns the value unchanged and does not check its type
};

// The reply to a heartbeat.
struct heartbeat_reply_message {
  value sent_at;  // copied from the heartbeat
};

// The kinds of frames that the accepting side of a connection receives.
enum class request_kind { hello, heartbeat, heartbeat_reply, call, notification };
// The kinds of frames that the calling side of a connection receives.
enum class reply_kind { heartbeat, heartbeat_reply, reply, notification };

// Both functions classify every body. A body without a known operation or a call id is a notification.
[[nodiscard]] auto kind_of_request(const value& body) -> request_kind;
[[nodiscard]] auto kind_of_reply(const value& body) -> reply_kind;
[[nodiscard]] auto is_relay_message(const value& body) -> bool;

[[nodiscard]] auto encode(const hello_message& message) -> value;
[[nodiscard]] auto encode(const relay_message& message) -> value;
[[nodiscard]] auto encode(const heartbeat_message& message) -> value;
[[nodiscard]] auto encode(const heartbeat_reply_message& message) -> value;

// A field that is missing or has a wrong type is decoded as an empty string, false or null.
[[nodiscard]] auto decode_hello(const value& body) -> hello_message;
[[nodiscard]] auto decode_heartbeat(const value& body) -> heartbeat_message;
// Throws decode_error if the address is missing or not a string.
[[nodiscard]] auto decode_relay(const value& body) -> relay_message;

// Return the id of a call or of a reply, or -1 if the body has none.
[[nodiscard]] auto decode_call_id(const value& call) -> call_id;
[[nodiscard]] auto decode_reply_id(const value& reply) -> call_id;

// Adds the id to the body of a call. The body must be an object.
auto set_call_id(value& body, call_id id) -> void;

[[nodiscard]] auto encode_reply(call_id id, value result) -> value;
[[nodiscard]] auto encode_error_reply(call_id id, const request_error& error) -> value;
// Returns the result of a reply. Throws the request_error in the reply if the call failed.
[[nodiscard]] auto decode_reply_result(const value& reply) -> value;

}  // namespace reachridge
