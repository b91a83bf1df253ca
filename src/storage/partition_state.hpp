// The state machine of one partition: its messages, subscriptions and accepted sequence numbers (design 6.1).
//
// Invariant: the state is a function of the entries applied. It reads no clock, no settings and no random numbers, so
// that primary and backups hold the same state at the same log index.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "runtime/value.hpp"
#include "storage/log_entry.hpp"

namespace reachridge {

// Sequence numbers accepted from one client on one topic, as runs of consecutive numbers.
struct sequence_set {
  std::map<sequence_number, sequence_number> runs;  // first -> last
  sequence_number highest = -1;                     // of all ever accepted, also of those no longer in `runs`
  std::int64_t last_accepted_at = 0;                // the partition's clock at the last accepted one, milliseconds

  [[nodiscard]] auto contains(sequence_number sequence) const -> bool;
  // Adds a number above `highest`. The oldest runs are forgotten over a bound.
  auto add(sequence_number sequence) -> void;
};

// A message that was accepted and has not expired.
struct message {
  message_position position = 0;
  std::string sender;
  std::string body;
  sequence_number sequence = 0;
  std::int64_t accepted_at = 0;    // the partition's clock, milliseconds
  std::int64_t wall_clock_ms = 0;  // a date for readers
  std::int64_t retention_ms = 0;   // of its space, when it was published
};

// One open subscription.
struct subscription_state {
  std::string topic;
  std::string subscriber;
  message_position last_position = 0;  // the last position sent on it
};

struct topic_state {
  std::deque<message> messages;           // by position
  message_position expired_position = 0;  // the highest position that expired
  std::int64_t last_used = 0;             // the partition's clock when it was last published or subscribed to
  std::set<std::string> subscriptions;    // ids
};

// A publish was accepted: its client gets an acknowledgement.
struct publish_accepted {
  std::string sender;
  std::string topic;
  sequence_number sequence = 0;
  message_position position = 0;
};

// A message goes out on these subscriptions.
struct message_delivery {
  std::vector<std::string> subscription_ids;
  std::string topic;
  reachridge::message message;
};

// A subscription is open; it gets what is above this position.
struct subscription_opened {
  std::string subscription_id;
  message_position position = 0;
};

// A subscription was not opened, since messages that it lacks have expired up to this position.
struct resume_expired {
  std::string subscription_id;
  message_position expired_position = 0;
};

// What an entry makes the primary send once the backups have the entry (design 6.3). Backups drop it.
using output = std::variant<publish_accepted, message_delivery, subscription_opened, resume_expired>;

// What is known of a client's sequence number.
enum class sequence_status {
  fresh,   // above all that were accepted
  repeat,  // accepted already
  below    // below the highest accepted one, and not known as accepted
};

class partition_state {
 public:
  // Applies the entry at this index of the log and returns what the primary sends for it.
  auto apply(message_position position, const log_entry& entry) -> std::vector<output>;

  [[nodiscard]] auto check_sequence(const std::string& client, const std::string& topic, sequence_number sequence) const
      -> sequence_status;

  // The whole state as a value, for the disk and for a replica that is made anew; partition_state_codec.cpp.
  [[nodiscard]] auto take_snapshot() const -> value;
  static auto restore(const value& snapshot) -> partition_state;  // throws if a field is missing or of a wrong type

  std::int64_t clock_ms = 0;       // the partition's own time, moved by `clock_advance` only
  std::int64_t retention_ms = 0;   // of its pool; 0: messages are kept for the resend window only
  std::int64_t resend_ms = 10000;  // how long a client may repeat a publish
  std::int64_t configuration_version = 0;
  message_position recreated_at_position =
      0;  // no position up to here is known: the partition was recreated there (design 6.10)
  std::map<std::string, topic_state> topics;
  std::map<std::string, subscription_state> subscriptions;                         // by id
  std::map<std::pair<std::string, std::string>, sequence_set> accepted_sequences;  // by client and topic

 private:
  auto apply_entry(message_position position, const clock_advance& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const publish_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const subscribe_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const close_subscription_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const configuration_change& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const go_live_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const unrecognized_entry& entry) -> std::vector<output>;

  // The highest position that a subscription to this topic can no longer get.
  [[nodiscard]] auto expired_up_to(const topic_state& topic) const -> message_position;
  // How long the sequence numbers of a client, and a topic without messages and subscriptions, are remembered.
  [[nodiscard]] auto client_memory_ms() const -> std::int64_t;
  [[nodiscard]] auto is_expired(const message& message) const -> bool;
  [[nodiscard]] auto is_unused(const topic_state& topic) const -> bool;

  auto expire() -> void;
  auto expire_messages(topic_state& topic) -> void;
  auto close_subscription(const std::string& id) -> void;
};

}  // namespace reachridge
