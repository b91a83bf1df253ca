// The state machine of one partition: its messages, subscriptions and accepted sequence numbers (design 6.1).
//
// Invariant: the state depends only on the applied entries. The state machine reads no clock, no settings and no random
// numbers, so the primary and the backups hold the same state at the same log index.
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

// The sequence numbers accepted from one client on one topic, stored as runs of consecutive numbers.
struct sequence_set {
  std::map<sequence_number, sequence_number> runs;  // the first number of a run -> its last number
  sequence_number highest = -1;       // the highest number ever accepted, including numbers removed from `runs`
  std::int64_t last_accepted_at = 0;  // the partition's clock when the last number was accepted, in milliseconds

  [[nodiscard]] auto contains(sequence_number sequence) const -> bool;
  // Adds a number above `highest`. Removes the oldest runs if the number of runs exceeds a limit.
  auto add(sequence_number sequence) -> void;
};

// An accepted message that has not expired.
struct message {
  message_position position = 0;
  std::string sender;
  std::string body;
  sequence_number sequence = 0;
  std::int64_t accepted_at = 0;    // the partition's clock when the message was accepted, in milliseconds
  std::int64_t wall_clock_ms = 0;  // the wall-clock time at the primary; for information only
  std::int64_t retention_ms = 0;   // the retention that applied when the message was published
};

// An open subscription.
struct subscription_state {
  std::string topic;
  std::string subscriber;
  message_position last_position = 0;  // the position of the last message sent to the subscription
};

// The messages and the subscriptions of one topic.
struct topic_state {
  std::deque<message> messages;           // in order of position
  message_position expired_position = 0;  // the highest position of the expired messages
  std::int64_t last_used = 0;  // the partition's clock at the last publish, subscribe or close of a subscription
  std::set<std::string> subscriptions;  // subscription ids
};

// A publish was accepted. The primary acknowledges the publish to its client.
struct publish_accepted {
  std::string sender;
  std::string topic;
  sequence_number sequence = 0;
  message_position position = 0;
};

// The primary delivers a message to these subscriptions.
struct message_delivery {
  std::vector<std::string> subscription_ids;
  std::string topic;
  reachridge::message message;
};

// A subscription was opened and receives the messages above this position.
struct subscription_opened {
  std::string subscription_id;
  message_position position = 0;
};

// A subscription was not opened, because messages that the subscriber has not received have expired. expired_position
// is the highest position that is no longer available.
struct resume_expired {
  std::string subscription_id;
  message_position expired_position = 0;
};

// A result of applying an entry. The primary sends the output after the entry is durable on all in-sync replicas
// (design 6.3). Backups discard the output.
using output = std::variant<publish_accepted, message_delivery, subscription_opened, resume_expired>;

// The relation of a sequence number to the sequence numbers that were accepted from the same client on the same topic.
enum class sequence_status {
  above_highest,  // above every accepted number
  duplicate,      // already accepted
  below_highest   // below the highest accepted number, and not recorded as accepted
};

// The replicated state of one partition. Apart from recovery, only apply() changes the state.
class partition_state {
 public:
  // Applies the entry at this index of the log and returns the outputs that the primary sends. Entries must be applied
  // in log order.
  auto apply(message_position position, const log_entry& entry) -> std::vector<output>;

  // Classifies the sequence number of a publish.
  [[nodiscard]] auto check_sequence(const std::string& client, const std::string& topic, sequence_number sequence) const
      -> sequence_status;

  // Encode and decode the whole state, for the snapshot on disk and for the copy that a new replica receives. restore
  // throws an exception if a field is missing or has the wrong type. Defined in partition_state_codec.cpp.
  [[nodiscard]] auto take_snapshot() const -> value;
  static auto restore(const value& snapshot) -> partition_state;

  std::int64_t clock_ms = 0;       // the partition's clock; only `clock_advance` entries advance it
  std::int64_t retention_ms = 0;   // the pool's retention; 0: messages are kept only for the resend window
  std::int64_t resend_ms = 10000;  // the resend window: the time in which a client may resend a publish
  std::int64_t configuration_version = 0;
  // The position at which the partition was recreated, or 0. The state has no information about positions up to this
  // one (design 6.10).
  message_position recreated_at_position = 0;
  std::map<std::string, topic_state> topics;
  std::map<std::string, subscription_state> subscriptions;                         // by subscription id
  std::map<std::pair<std::string, std::string>, sequence_set> accepted_sequences;  // by client and topic

 private:
  auto apply_entry(message_position position, const clock_advance& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const publish_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const subscribe_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const close_subscription_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const configuration_change& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const go_live_entry& entry) -> std::vector<output>;
  auto apply_entry(message_position position, const unrecognized_entry& entry) -> std::vector<output>;

  [[nodiscard]] auto holds_message(const std::string& client, const std::string& topic, sequence_number sequence) const
      -> bool;
  // The highest position whose message a subscription to this topic can no longer receive.
  [[nodiscard]] auto expired_up_to(const topic_state& topic) const -> message_position;
  // The time for which the state keeps the sequence numbers of a client and a topic without messages and subscriptions.
  [[nodiscard]] auto client_retention_ms() const -> std::int64_t;
  [[nodiscard]] auto has_expired(const message& message) const -> bool;
  [[nodiscard]] auto is_unused(const topic_state& topic) const -> bool;

  auto remove_expired() -> void;
  auto remove_expired_messages(topic_state& topic) -> void;
  auto close_subscription(const std::string& id) -> void;
};

}  // namespace reachridge
