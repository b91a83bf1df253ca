// Requests that gateways send to the primary of a partition, and what it answers.
//
// client_requests_codec.cpp alone knows the names of operations and fields on the wire.
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

// What a gateway may ask for. Publish, read and count are calls; subscribe and finish are notifications.
enum class client_operation { publish, subscribe, finish, read, count };

struct publish_request {
  std::string topic;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::optional<std::int64_t> retention_ms;  // of the space, as the gateway's configuration says
};

struct subscribe_request {
  std::string subscription_id;
  std::string topic;
  std::string subscriber;
  message_position after = -1;  // the last position it has; negative: only messages from now on
  std::int64_t opening = 0;     // the gateway's count of openings; 0: a gateway of the first release, which has none
};

// Ends a subscription.
struct close_subscription_request {
  std::string subscription_id;
};

// Asks for messages of a topic above a position.
struct read_request {
  std::string topic;
  message_position after = -1;
};

// Asks how many clients are subscribed to a topic.
struct count_request {
  std::string topic;
};

struct publish_reply {
  std::optional<message_position> position;  // none: a repeat of what was accepted before
};

struct read_reply {
  struct row {
    message_position position = 0;
    std::string sender;
    sequence_number sequence = 0;
    std::string body;
    std::int64_t wall_clock_ms = 0;
  };
  std::vector<row> rows;
  bool expired = false;           // messages above the position asked for have expired
  message_position position = 0;  // up to here the partition was read
};

struct count_reply {
  std::size_t clients = 0;
};

using client_reply = std::variant<publish_reply, read_reply, count_reply>;

// Why a subscription is open or not.
enum class subscribe_result {
  ok,
  expired,       // messages that it lacks have expired; `position` is the highest of these
  not_led_here,  // this node does not lead the partition
  ahead_of_log   // it claims to have a position that was never given out
};

// Answers a subscribe request.
struct subscribe_reply {
  std::string subscription_id;
  std::int64_t opening = 0;  // of the request
  subscribe_result result = subscribe_result::ok;
  message_position position = 0;
};

// A message for subscriptions of one gateway.
struct delivery_notification {
  std::vector<std::string> subscription_ids;
  std::string topic;
  message_position position = 0;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::int64_t wall_clock_ms = 0;
};

// A call that waits for its reply. The partition settles it, once, with a reply or an error.
struct pending_reply {
  std::optional<client_reply> result;
  std::optional<request_error> error;
  signal done;

  auto succeed(client_reply reply) -> void {
    result = std::move(reply);
    done.wake();
  }
  auto fail(request_error why) -> void {
    error = std::move(why);
    done.wake();
  }
};
using pending_reply_ptr = std::shared_ptr<pending_reply>;

// The operation that a call or a notification names; none: not a client's operation.
auto parse_client_call(std::string_view name) -> std::optional<client_operation>;
auto parse_client_notification(std::string_view name) -> std::optional<client_operation>;

// The partition that a request is for. This and the decoders throw decode_error.
auto partition_of_request(const value& request) -> std::string;
auto decode_publish_request(const value& request) -> publish_request;
auto decode_subscribe_request(const value& request) -> subscribe_request;
auto decode_close_subscription_request(const value& request) -> close_subscription_request;
auto decode_read_request(const value& request) -> read_request;
auto decode_count_request(const value& request) -> count_request;

auto encode(const client_reply& reply) -> value;
auto encode(const subscribe_reply& reply) -> value;
auto encode(const delivery_notification& delivery) -> value;

}  // namespace reachridge
