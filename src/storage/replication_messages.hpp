// Replication messages between the primary of a partition and its backups (design 6.2, 6.5, 6.6).
//
// Only replication_codec.cpp contains the names of operations and fields on the connection. The order of the encoded
// fields is fixed. Decoding throws decode_error that names a field which is missing or has the wrong type.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/value.hpp"

namespace reachridge {

// The number of a partition's assignment: its primary and its in-sync set. Each change increases the epoch by
// compare-and-set.
using partition_epoch = std::int64_t;

// The index of an entry in a partition's log. The first entry has index 1. The last index of an empty log is 0.
using entry_index = std::int64_t;

// The number of a join request of one primary. The chunks of a state copy carry the number of the join that the copy
// belongs to.
using join_id = std::int64_t;

// The operations of replication between storage nodes.
enum class replication_operation {
  join,             // call, primary to backup: follow this primary; the reply describes the backup's log
  copy_state,       // call, primary to backup: a chunk of the whole state
  append_entries,   // notification, primary to backup
  acknowledge,      // notification, backup to primary
  announce_replay,  // notification, new primary to the other replicas: it replays its log before it goes live
};

// Convert between an operation and its name on the connection. Parsing returns no value for a name that is not a
// replication operation.
[[nodiscard]] auto to_string(replication_operation operation) -> std::string_view;
[[nodiscard]] auto parse_replication_operation(std::string_view name) -> std::optional<replication_operation>;

// A log entry in the form in which it is sent and stored. The payload is an encoded log_entry.
struct replicated_entry {
  partition_epoch epoch = 0;
  bool go_live_point = false;  // whether the entry is the last entry of its operation (design 6.4)
  value payload;
};

// Identifies an entry: in all logs of a partition, entries with the same index and epoch are equal, and so are the
// entries before them.
struct entry_identity {
  entry_index index = 0;
  partition_epoch epoch = 0;
};

// Asks a backup to follow the sending primary.
struct replica_join_request {
  std::string partition;
  partition_epoch epoch = 0;
  std::string primary;         // the member that sends the request
  join_id join = 0;            // 0: sent by a release that does not number joins
  entry_index last_index = 0;  // the last index of the primary's log
  // The backup removes the entries above this one, if it has it: the primary lacks them. Releases that do not know the
  // field remove nothing.
  std::optional<entry_identity> truncate_to = {};
};

// Describes the log of a backup to the primary that the backup now follows.
struct replica_join_reply {
  entry_index last_index = 0;
  partition_epoch last_epoch = 0;  // the epoch of the entry at last_index
  entry_index applied_index = 0;
  bool damaged = false;          // whether the replica failed its checksums and needs a copy of the state
  entry_index synced_index = 0;  // the last durable entry; last_index if the backup's release does not send it
};

// A chunk of an encoded state. The chunks are sent in order on one connection.
struct state_chunk {
  std::string partition;
  partition_epoch epoch = 0;
  std::string primary;
  join_id join = 0;
  std::size_t part = 0;  // the number of the chunk; 0 starts a new copy
  std::string bytes;
  bool last = false;  // whether this chunk completes the copy
};

// Sends log entries to a backup. An append without entries serves as a heartbeat.
struct append_message {
  std::string partition;
  partition_epoch epoch = 0;
  std::string primary;
  entry_index previous_index = 0;  // the index of the entry before the first entry of the message
  partition_epoch previous_epoch = 0;
  std::vector<replicated_entry> entries = {};
  // The primary's spare, empty if there is none. Sent when it has changed. Earlier releases ignore it.
  std::optional<std::string> spare = {};
};

// Reports a backup's progress to the primary, or rejects an append message.
struct replica_acknowledgement {
  std::string partition;
  std::string member;         // the backup's member
  partition_epoch epoch = 0;  // the epoch at which the backup follows the primary, or the epoch of the rejected message
  bool rejected = false;      // whether the backup rejected the entries; the primary must then join the backup again
  entry_index synced_index = -1;
  entry_index applied_index = -1;
};

// Announces that a new primary replays its log before it goes live.
struct replay_announcement {
  std::string partition;
  partition_epoch epoch = 0;  // the epoch of the new primary
};

// Returns the id of the partition that a message addresses.
[[nodiscard]] auto partition_of_replication(const value& message) -> std::string;

[[nodiscard]] auto encode(const replica_join_request& request) -> value;
[[nodiscard]] auto encode(const replica_join_reply& reply) -> value;
[[nodiscard]] auto encode(const state_chunk& chunk) -> value;
[[nodiscard]] auto encode_state_chunk_reply() -> value;
[[nodiscard]] auto encode(const append_message& message) -> value;
[[nodiscard]] auto encode(const replica_acknowledgement& message) -> value;
[[nodiscard]] auto encode(const replay_announcement& message) -> value;

[[nodiscard]] auto decode_replica_join_request(const value& message) -> replica_join_request;
[[nodiscard]] auto decode_replica_join_reply(const value& message) -> replica_join_reply;
[[nodiscard]] auto decode_state_chunk(const value& message) -> state_chunk;
[[nodiscard]] auto decode_append_message(const value& message) -> append_message;
[[nodiscard]] auto decode_replica_acknowledgement(const value& message) -> replica_acknowledgement;
[[nodiscard]] auto decode_replay_announcement(const value& message) -> replay_announcement;

// Encode and decode a log entry as stored on disk, without its checksum. append_message contains the same form.
[[nodiscard]] auto encode(const replicated_entry& entry) -> value;
[[nodiscard]] auto decode_replicated_entry(const value& stored) -> replicated_entry;

}  // namespace reachridge
