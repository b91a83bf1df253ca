// Entries of a partition's replicated log (design 6.1).
//
// The primary creates entries and appends them to its log. The primary and the backups apply the entries to their
// `partition_state` in log order. On disk and between storage nodes, an entry is encoded as a `value`. Only
// log_entry_codec.cpp contains the names of the fields.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "runtime/value.hpp"

namespace reachridge {

// The position of a message in its partition: the index of the message's entry in the partition's log. Positions are
// visible to clients.
using message_position = std::int64_t;

// The number that a client assigns to a publish. The number increases with each new message of the client on a topic.
using sequence_number = std::int64_t;

// Advances the partition's clock. No other entry advances the clock, so all replicas agree on which messages have
// expired.
struct clock_advance {
  std::int64_t elapsed_ms = 0;
};

// Publishes a message of a client.
struct publish_entry {
  std::string topic;
  std::string sender;
  sequence_number sequence = 0;
  std::string body;
  std::int64_t wall_clock_ms = 0;            // the wall-clock time at the primary; for information only
  std::optional<std::int64_t> retention_ms;  // no value: the retention of the partition's pool applies
};

// Subscribes a client to a topic, or resumes a subscription.
struct subscribe_entry {
  std::string subscription_id;
  std::string topic;
  std::string subscriber;
  message_position after = -1;  // the last position that the subscriber received; negative: only new messages
};

// Closes a subscription.
struct close_subscription_entry {
  std::string subscription_id;
};

// Sets the parameters that a new version of the configuration specifies for this partition.
struct configuration_change {
  std::int64_t retention_ms = 0;
  std::int64_t resend_ms = 0;
  std::int64_t version = 0;
};

// Records that a primary went live. The entry changes no state and only informs readers of the log.
struct go_live_entry {
  std::int64_t epoch = 0;
  std::string member;
};

// An entry of a kind that this release does not support. The payload is preserved unchanged, and the entry changes no
// state.
struct unrecognized_entry {
  value payload;
};

using log_entry = std::variant<clock_advance, publish_entry, subscribe_entry, close_subscription_entry,
                               configuration_change, go_live_entry, unrecognized_entry>;

// Encode and decode a log entry. Decoding throws decode_error that names a field which is missing or has the wrong
// type.
auto encode(const log_entry& entry) -> value;
auto decode_log_entry(const value& payload) -> log_entry;

// Returns whether an encoded entry only advances the clock. A clock entry does not need an immediate sync to disk.
// Throws decode_error.
auto is_clock_advance(const value& payload) -> bool;

// Returns the approximate size of an encoded entry in a buffer or a frame, in bytes.
auto estimate_entry_bytes(const value& payload) -> std::size_t;

}  // namespace reachridge
