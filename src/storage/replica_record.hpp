// What a replica has to remember apart from its log, so that no replacement of the log makes it forget (design 6.6).
#pragma once
#include <string>

#include "runtime/host.hpp"
#include "storage/replication_messages.hpp"

namespace reachridge {

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

 private:
  auto store_fields() -> void;

  store& disk_;
  std::string key_;
  partition_epoch joined_epoch_ = 0;
};

}  // namespace reachridge
