// Messages between a gateway and the primaries of partitions (design 7.2, 7.3), and the functions that encode and
// decode them.
//
// Within the gateway only storage_codec.cpp knows the field names of these messages. The decode functions throw
// decode_error, whose text names the field that is missing or has the wrong type.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runtime/request_error.hpp"
#include "runtime/value.hpp"

namespace reachridge::storage_api {

// Requests. The primary answers each one with a reply.

struct publish_request {
  std::string partition;
  std::string topic;
  std::string client;
  std::int64_t sequence = 0;
  std::string body;
  std::int64_t keep_ms = 0;  // retention of the message; 0: not retained
};

struct publish_reply {
  std::optional<std::int64_t> position;
  bool repeated = false;  // the message had already been accepted earlier
};

struct count_request {
  std::string partition;
  std::string topic;
};

struct read_request {
  std::string partition;
  std::string topic;
  std::int64_t after = -1;  // last position received; -1: start with the oldest retained message
};

// One-way messages to a primary.

struct subscribe_message {
  std::string partition;
  std::string subscription;  // subscription id
  std::string topic;
  std::string client;
  std::int64_t after = -1;   // last position received; -1: start with the next message
  std::int64_t opening = 0;  // number of this opening; primaries ignore lower numbers than the highest received
};

struct unsubscribe_message {
  std::string partition;
  std::string subscription;
};

// One-way messages from a primary.

enum class notification { delivery, subscribe_reply, partition_moved, unknown };

// One message and the subscriptions that receive it. The gateway forwards the fields of type `value` without reading
// them.
struct delivery {
  std::vector<std::string> subscriptions;
  std::int64_t position = 0;
  value sender;
  value sequence;
  value body;
  value published_at;
};

struct subscribe_reply {
  std::string subscription;
  std::optional<std::int64_t> opening;  // absent: the primary runs a release that does not number openings
  bool accepted = false;
  std::optional<std::int64_t> position;  // always present if accepted
  errc code = errc::position_unknown;    // reason of the refusal, if not accepted
};

// Tells the gateway that the sender is no longer the primary of the partition.
struct partition_moved {
  std::string partition;
};

auto encode(const publish_request& request) -> value;
auto encode(const count_request& request) -> value;
auto encode(const read_request& request) -> value;
auto encode(const subscribe_message& message) -> value;
auto encode(const unsubscribe_message& message) -> value;

auto decode_publish_reply(const value& reply) -> publish_reply;
auto decode_count_reply(const value& reply) -> std::int64_t;
// Returns notification::unknown for a message that this release does not define.
auto notification_kind(const value& message) -> notification;
auto decode_delivery(const value& message) -> delivery;
auto decode_subscribe_reply(const value& message) -> subscribe_reply;
auto decode_partition_moved(const value& message) -> partition_moved;

}  // namespace reachridge::storage_api
