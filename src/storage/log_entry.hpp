// Entries of a partition's replicated log (design 6.1).
//
// The primary makes them and appends them to its log; primary and backups apply them to their `partition_state` in the
// order of the log. On disk and between storage nodes an entry is a `value`; log_entry_codec.cpp alone knows its
// fields.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "runtime/value.hpp"

namespace reachridge {

// A message's place in its partition: the index of its entry in the partition's log. Clients see it.
using message_position = std::int64_t;

// A client's own number of a publish; it rises with each new message of the client on a topic.
using sequence_number = std::int64_t;

// The partition's clock moves on. Nothing else moves it, so that all replicas agree on what has expired.
struct clock_advance {
  std::int64_t elapsed_ms = 0;
};

// A client publishes a message.
struct publish_entry {
  std::string topic;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::int64_t wall_clock_ms = 0;            // when the primary took it, as a date for readers
  std::optional<std::int64_t> retention_ms;  // none: the retention of the partition's pool holds
};

// A client subscribes to a topic, or resumes a subscription.
struct subscribe_entry {
  std::string subscription_id;
  std::string topic;
  std::string subscriber;
  message_position after = -1;  // the last position it has; negative: only messages from now on
};

// A subscription ends.
struct close_subscription_entry {
  std::string subscription_id;
};

// A new configuration changes what holds for this partition.
struct configuration_change {
  std::int64_t retention_ms = 0;
  std::int64_t resend_ms = 0;
  std::int64_t version = 0;
};

// A primary begins to lead. It changes no state; it marks the log for whoever reads it.
struct go_live_entry {
  std::int64_t epoch = 0;
  std::string member;
};

// An entry of a kind that this release does not know. It is kept as it came and changes no state.
struct unrecognized_entry {
  value payload;
};

using log_entry = std::variant<clock_advance, publish_entry, subscribe_entry, close_subscription_entry,
                               configuration_change, go_live_entry, unrecognized_entry>;

auto encode(const log_entry& entry) -> value;
auto decode_log_entry(const value& payload) -> log_entry;  // throws decode_error

// Does an encoded entry only move the clock? Such an entry need not be synced at once. Throws decode_error.
auto is_clock_advance(const value& payload) -> bool;

// About how many bytes an encoded entry takes of a buffer or a frame.
auto estimate_entry_bytes(const value& payload) -> std::size_t;

}  // namespace reachridge
