// Replication state that a replica keeps about other replicas: a primary about each replica that it replicates to, and
// a backup about its primary (design 6.2).
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "rpc/peer_connection.hpp"
#include "storage/replication_messages.hpp"

namespace reachridge {

// The progress of one replica that a primary replicates to. The replica is a backup or is joining the in-sync set.
struct replica_progress {
  entry_index next_index = 0;  // the next entry to send
  entry_index acknowledged_index = -1;
  entry_index applied_index = -1;
  entry_index last_index_at_join = -1;  // the end of the primary's log at the join; earlier entries do not count as lag
  monotonic_time last_contact = 0;
  monotonic_time replicating_since = 0;
  bool joined = false;
  partition_epoch requested_epoch = -1;             // of the last join request that may have reached the replica
  partition_epoch joined_epoch = -1;                // of the last join request that the replica answered
  bool rejected = false;                            // the replica rejected entries and has to join again
  bool process_gone = false;                        // the replica's process is known to have terminated
  std::optional<std::string> announced_spare = {};  // the spare that the replica was told of on this stream
  std::int64_t copies = 0;                          // the number of complete state copies sent to the replica
  std::int64_t replication_number = 0;              // of the current replication task; a task with a lower number ends
};

// The progress of a replica that joins the in-sync set (design 6.6).
struct join_progress {
  std::string member;  // the joining member; empty: no member
  monotonic_time since = 0;
  // Outputs wait for the acknowledgements of these members in addition to those of the backups. A joining member is
  // listed from the time it has nearly caught up until the result of the proposal to add it is known.
  std::set<std::string> required_acks;
  partition_epoch unresolved_epoch = -1;   // a proposal based on this epoch got no answer and may still be committed
  partition_epoch abandoned_epoch = -1;    // the highest epoch at which a member of an abandoned join may have joined
  monotonic_time abandoned_at = 0;         // when a join was first abandoned at that epoch
  std::set<std::string> excluded_members;  // members that are not chosen as a new backup
  monotonic_time next_choice_at = 0;       // when to choose again after a failed choice, if a healthy backup remains
};

// The replica that a primary keeps ready to replace a lost one.
struct spare_replica {
  std::string member;  // empty: no spare
  monotonic_time since = 0;
  monotonic_time next_choice_at = 0;
  std::string former;  // the spare of the former primary, if it has not been tried yet
};

// The primary whose log a backup follows.
struct followed_primary {
  std::string member;
  partition_epoch epoch = 0;  // messages of a lower epoch are rejected
  connection_ptr connection;  // the connection that delivered the last entries; null: it was closed
  join_id last_answered_join = 0;
  std::string partial_state;  // the chunks received so far of a state copy
  bool process_gone = false;  // the primary's process is known to have terminated
};

}  // namespace reachridge
