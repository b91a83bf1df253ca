// Requests that gateways send to the primary of a partition, and the replies and notifications of the primary.
//
// Only client_requests_codec.cpp contains the names of operations and fields on the wire.
#pragma once
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runtime/event_loop.hpp"
#include "runtime/request_error.hpp"
#include "runtime/value.hpp"
#include "storage/log_entry.hpp"

namespace reachridge {

// The operations that a gateway may request. Publish, read and count are calls, which have a reply. Subscribe and
// close_subscription are notifications.
enum class client_operation { publish, subscribe, close_subscription, read, count };

// Publishes a message on a topic.
struct publish_request {
  std::string topic;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::optional<std::int64_t> retention_ms;  // the space's retention in the gateway's configuration
};

// Opens a subscription, or resumes a subscription after the last position that the subscriber received.
struct subscribe_request {
  std::string subscription_id;
  std::string topic;
  std::string subscriber;
  message_position after = -1;  // the last position that the subscriber received; negative: only new messages
  std::int64_t opening = 0;     // the gateway's count of openings; 0: sent by the first release, which does not count
};

// Closes a subscription.
struct close_subscription_request {
  std::string subscription_id;
};

// Reads the messages of a topic above a position.
struct read_request {
  std::string topic;
  message_position after = -1;
};

// Counts the clients that are subscribed to a topic.
struct count_request {
  std::string topic;
};

// Replies to a publish that is durable on all in-sync replicas.
struct publish_reply {
  std::optional<message_position> position;  // no value: a duplicate of a message that was accepted earlier
};

// Replies to a read request.
struct read_reply {
  struct stored_message {
    message_position position = 0;
    std::string sender;
    sequence_number sequence = 0;
    std::string body;
    std::int64_t wall_clock_ms = 0;
  };
  std::vector<stored_message> messages;
  bool expired = false;           // whether messages above the requested position have expired
  message_position position = 0;  // the position up to which the partition was read
};

// Replies to a count request.
struct count_reply {
  std::size_t clients = 0;
};

using client_reply = std::variant<publish_reply, read_reply, count_reply>;

// The result of a subscribe request.
enum class subscribe_result {
  ok,
  expired,       // messages that the subscriber has not received have expired; `position` is the highest of them
  not_led_here,  // this node is not the primary of the partition
  ahead_of_log   // the request names a position above the partition's last applied entry
};

// Replies to a subscribe request. The reply is a notification to the gateway.
struct subscribe_reply {
  std::string subscription_id;
  std::int64_t opening = 0;  // copied from the request
  subscribe_result result = subscribe_result::ok;
  message_position position = 0;
};

// Delivers a message to one or more subscriptions of one gateway.
struct delivery_notification {
  std::vector<std::string> subscription_ids;
  std::string topic;
  message_position position = 0;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::int64_t wall_clock_ms = 0;
};

// A call that waits for its reply. The partition completes the call exactly once, with a reply or with an error.
struct pending_reply {
  std::optional<client_reply> result;
  std::optional<request_error> error;
  signal done;

  auto succeed(client_reply reply) -> void {
    result = std::move(reply);
    done.wake();
  }
  auto fail(request_error failure) -> void {
    error = std::move(failure);
    done.wake();
  }
};
using pending_reply_ptr = std::shared_ptr<pending_reply>;

// Return the client operation with this name on the wire, or no value if the name is not a client operation.
auto parse_client_call(std::string_view name) -> std::optional<client_operation>;
auto parse_client_notification(std::string_view name) -> std::optional<client_operation>;

// Returns the id of the partition that a request addresses. This function and the decoders throw decode_error if a
// field is missing or has the wrong type.
auto partition_of_request(const value& request) -> std::string;
auto decode_publish_request(const value& request) -> publish_request;
auto decode_subscribe_request(const value& request) -> subscribe_request;
auto decode_close_subscription_request(const value& request) -> close_subscription_request;
auto decode_read_request(const value& request) -> read_request;
auto decode_count_request(const value& request) -> count_request;

// Encode a reply or a notification for the gateway.
auto encode(const client_reply& reply) -> value;
auto encode(const subscribe_reply& reply) -> value;
auto encode(const delivery_notification& delivery) -> value;

}  // namespace reachridge
