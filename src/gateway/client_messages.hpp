// Client requests and the answers to them (design 7; docs/api.md, "The long link").
//
// `client_transport` carries these messages as values. client_codec.hpp converts between the structs and the values.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "runtime/request_error.hpp"
#include "runtime/value.hpp"

namespace reachridge::client_api {

// The operation that a client requests on its connection.
enum class operation {
  enrol,      // names the client; must precede the operations below up to `count`
  publish,    // publishes one message to a topic
  subscribe,  // subscribes to the messages of a topic
  unsubscribe,
  count,       // returns the number of clients that are subscribed to a topic
  heartbeat,   // shows that the client is alive; has no answer
  unreadable,  // created by the transport in place of bytes that are not a valid request
  unknown      // any other operation name
};

struct enrol_request {
  std::string name;
};

struct publish_request {
  std::string topic;
  std::int64_t sequence = 0;
  std::string body;
};

struct subscribe_request {
  std::string topic;
  std::optional<std::int64_t> after;  // last position received; never given together with a cursor
  std::optional<std::string> cursor;
};

struct unsubscribe_request {
  std::string topic;
};

struct count_request {
  std::string topic;
};

// A publish in one HTTP request. The request itself names the client.
struct single_publish_request {
  std::string client;
  publish_request message;
};

// A read of retained messages in one HTTP request.
struct read_request {
  std::string client;
  std::string topic;
  std::int64_t after = -1;  // last position received; -1: start with the oldest retained message
};

// Request fields that the answer repeats unchanged, whatever their type. null: the request has no such field.
struct echoed_fields {
  value topic;
  value sequence;
  value id;
};

// Result of an accepted publish. `position` is absent if the storage node returned none.
struct publish_result {
  std::string topic;
  std::int64_t sequence = 0;
  std::optional<std::int64_t> position;
  bool repeated = false;  // the message had already been accepted earlier
};

// Result of an accepted subscribe request. Deliveries start after `position`.
struct subscribe_result {
  std::string topic;
  std::int64_t position = 0;
  std::optional<std::string> cursor;  // present only if the transport wants cursors
};

// One message for a subscriber. The fields of type `value` are forwarded as the storage node sent them.
struct delivery {
  std::string topic;
  std::int64_t position = 0;
  value sender;
  value sequence;
  value body;
  value published_at;
  std::optional<std::string> cursor;  // present only if the transport wants cursors
};

// Tells a client that a newer configuration ended its subscription after the message at `position`.
struct subscription_ended {
  std::string topic;
  errc code = errc::permission_denied;
  std::int64_t position = 0;
};

// A storage node refused a subscription. `was_open`: the gateway had already confirmed the subscription to the client.
struct subscription_refused {
  request_error error;
  std::string topic;
  std::optional<std::int64_t> position;
  bool was_open = false;
};

// Asks a client to connect to another gateway because this gateway is draining.
struct redirect {
  std::int64_t retry_after_ms = 0;
  std::optional<std::string> address;  // HTTP address of another gateway; absent: none is known
};

}  // namespace reachridge::client_api
