// The gateway's subscriptions for its clients and the last position that each has delivered (design 7.3).
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "gateway/client_connection.hpp"
#include "runtime/event_loop.hpp"

namespace reachridge {

// One client's subscription to one topic.
//
// An opening is a subscription at one primary from the subscribe message until the primary is lost. Invariants:
// delivered positions only increase. The subscription accepts messages only while it is `open`, from the confirmation
// of the newest opening until the loss of its primary. A late message of an earlier opening has a higher position than
// messages that were missed between the openings; accepting it would suppress them.
struct subscription {
  std::string requested_topic;      // as the client named the topic
  std::string topic;                // after rewriting by the configuration
  std::string partition;            // contains the topic
  std::string storage_address;      // primary of the newest opening; empty: none
  std::int64_t last_position = -1;  // last position delivered; -1: none known yet
  std::int64_t epoch = 0;           // epoch of the partition at the newest opening
  std::int64_t opening = 0;         // number of the newest opening; replies to earlier ones are ignored
  bool open = false;                // the primary has confirmed the newest opening
  bool client_notified = false;     // the gateway has sent the confirmation to the client
  monotonic_time sent_at = 0;       // last subscribe message or last refusal by a former primary
  client_ptr client;

  // Records that a subscribe message is sent to a primary. Starts a new opening if the primary differs from the one of
  // the newest opening. Otherwise the message retries that opening.
  auto begin_opening(const std::string& primary_address, std::int64_t partition_epoch, monotonic_time now) -> void;
  // Closes the subscription after its primary, or the connection to it, was lost.
  auto detach_from_primary() -> void;
  // Returns whether the message at this position must be delivered to the client, and if so records it as delivered.
  auto accept(std::int64_t position) -> bool;
};

// Owns the subscriptions of a gateway. Their ids are unique among all gateways and all runs of a gateway.
class subscription_table {
 public:
  using entries = std::map<std::string, subscription>;

  // `id_prefix`: unique to this run of this gateway.
  explicit subscription_table(std::string id_prefix) : id_prefix_(std::move(id_prefix)) {}

  // Adds a subscription under a new id and returns its entry.
  auto add(subscription added) -> entries::value_type&;
  auto erase(const std::string& id) -> void {
    entries_.erase(id);
  }
  // Returns null if no subscription has this id.
  auto find(const std::string& id) -> subscription*;
  // Returns null if no subscription has this id, or if its newest opening is at another primary.
  auto find_at_primary(const std::string& id, const std::string& primary_address) -> subscription*;

  // Closes the subscriptions at a storage node after the connection to that node was lost.
  auto detach_from_node(const std::string& address) -> void;
  // Closes the subscriptions to a partition at a storage node that is no longer its primary.
  auto detach_partition(const std::string& partition, const std::string& primary_address) -> void;

  [[nodiscard]] auto size() const -> std::size_t {
    return entries_.size();
  }
  [[nodiscard]] auto open_count() const -> std::size_t;
  auto begin() -> entries::iterator {
    return entries_.begin();
  }
  auto end() -> entries::iterator {
    return entries_.end();
  }

 private:
  std::string id_prefix_;
  std::int64_t last_number_ = 0;
  entries entries_;
};

}  // namespace reachridge
