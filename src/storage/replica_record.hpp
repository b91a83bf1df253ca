// What a replica has to remember apart from its log, so that no replacement of the log makes it forget (design 6.6).
#pragma once
#include <limits>
#include <optional>
#include <string>

#include "runtime/host.hpp"
#include "storage/replication_messages.hpp"

namespace reachridge {

// Stands for the epoch of an erased log if that epoch is not known: higher than every epoch.
constexpr auto unknown_epoch = std::numeric_limits<partition_epoch>::max();

// The record of one replica on the storage node's disk. It is owned by one partition. A change is queued on the disk
// immediately and durable after the next sync. The record outlives the log: it stays when the replica is erased.
class replica_record {
 public:
  replica_record(store& disk, const std::string& partition_id);

  // Loads the record from the disk. Throws decode_error if the record is torn or altered.
  auto load() -> void;

  // The highest epoch at which this replica answered a join request; 0 if it never did. Only a primary of this epoch or
  // of a lower one can have proposed to add the replica to the in-sync set.
  [[nodiscard]] auto joined_epoch() const -> partition_epoch {
    return joined_epoch_;
  }
  // Stores the epoch of a join request if it is higher than the stored one.
  auto store_joined_epoch(partition_epoch epoch) -> void;

  // The epoch up to which the erased log of this replica may have counted, if the log was erased and nothing has
  // replaced it since. Such a replica holds nothing of what the member acknowledged, so it must not claim.
  [[nodiscard]] auto erased_epoch() const -> std::optional<partition_epoch> {
    return erased_epoch_;
  }
  // Must be called before the first record of the log is erased: a crash in the middle of the erasure then leaves a
  // replica that knows that its log is not complete.
  auto mark_erased(partition_epoch epoch) -> void;
  // Must be called after the state that replaces the log was written.
  auto mark_replaced() -> void;

  // The member that the partition's primary kept as its spare when this replica last heard of it; empty: unknown. Only
  // a hint, so that the next primary needs no copy of the state.
  [[nodiscard]] auto spare() const -> const std::string& {
    return spare_;
  }
  auto store_spare(const std::string& member) -> void;

 private:
  auto store_fields() -> void;

  store& disk_;
  std::string key_;
  partition_epoch joined_epoch_ = 0;
  std::optional<partition_epoch> erased_epoch_;
  std::string spare_;
};

}  // namespace reachridge
