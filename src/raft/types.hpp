// Messages between the replicas of the replicated log, its snapshots, and the commands that the log itself understands.
// All are plain data; codec.hpp alone knows how they stand on the wire and on disk.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "raft/membership.hpp"
#include "raft/term_and_index.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// What one replica may ask another.
enum class raft_operation { request_vote, append_entries, install_snapshot, timeout_now, join, describe };

// An entry of the log. Its command is opaque here, except for a membership_command.
struct entry_message {
  term_number term;
  value command;
};

// Asks for a vote (Raft, section 5.2).
struct vote_request {
  std::string candidate;  // its address
  term_number term;
  log_index last_index;  // of the candidate's log
  term_number last_term;
  bool dry_run = false;   // asks whether it could win (pre-vote, Raft thesis 9.6); nobody's term or vote changes
  bool transfer = false;  // its leader asked it to run: the promise of quiet to that leader does not bind
};
struct vote_reply {
  term_number term;
  bool granted = false;
  disk_identifier disk_id;  // whose vote it is
};

// Carries entries to a follower; without entries it is a heartbeat (Raft, section 5.3).
struct append_request {
  term_number term;
  std::string leader;           // its address
  disk_identifier target_disk;  // the disk that is meant; empty: any
  log_index previous_index;     // the entries follow this one
  term_number previous_term = unknown_term;
  log_index commit_index;
  std::vector<entry_message> entries;
};
struct append_reply {
  term_number term;
  bool success = false;
  disk_identifier disk_id;
  log_index match_index;      // on success: durable there up to this index
  log_index next_index_hint;  // on failure: try from this index; 0: none
};

// A part of a snapshot (Raft, section 7). Index, term, size and checksum together name the snapshot it is a part of.
struct snapshot_chunk {
  term_number term;
  std::string leader;
  disk_identifier target_disk;
  log_index index;         // of the last entry that the snapshot covers
  term_number index_term;  // the term of that entry
  std::int64_t size = 0;   // bytes of the whole snapshot
  std::int64_t checksum = 0;
  std::int64_t offset = 0;  // of this part's first byte
  std::string data;
};
struct snapshot_reply {
  term_number term;
  bool success = false;
  disk_identifier disk_id;
  std::int64_t next_offset = 0;  // of the part that is wanted next
  bool installed = false;        // all of it is in force and durable
};

// Asks a follower to start an election at once (Raft thesis 3.10).
struct timeout_now_request {
  term_number term;
};

// Asks the leader to make a disk a voter.
struct join_request {
  voter joining;
  std::string log_id;  // of the log that its disk holds; empty: a blank disk
};

// Asks a replica what it knows of the log.
struct describe_request {
  voter requester;  // may be empty
};
struct describe_reply {
  disk_identifier disk_id;
  bool initialized = false;
  bool empty = true;  // nothing was ever voted or appended there
  std::string leader;
  bool requester_is_voter = false;
};

// The answer to a request that has nothing to say but that it was carried out.
struct acknowledgement {};

// The one command that the log itself understands: from this entry on these are the voters. A new leader states the
// voters once more in the first entry of its term, with the identity of the log.
struct membership_command {
  membership members;
  std::optional<std::string> log_id;
};

// What precedes the log: the state after `index`, and what is needed to go on from there.
struct snapshot {
  log_index index;
  term_number term;  // of the entry at `index`
  membership members;
  std::string log_id;
  value state;  // opaque: the state machine's
};

// How a leader sees one voter or learner.
struct voter_contact {
  const char* standing = "";   // "voter" or "enters"
  std::int64_t behind = 0;     // entries of the leader's log that are not known to be durable there
  std::int64_t silent_ms = 0;  // since the newest request that it answered was sent; -1: not known
};
struct voter_status {
  voter who;
  std::optional<voter_contact> contact;  // none where this replica does not lead
};
struct raft_status {
  std::string role;
  std::string leader;
  term_number term;
  log_index last_index;
  log_index commit_index;
  log_index applied_index;
  log_index snapshot_index;
  std::size_t log_bytes = 0;
  std::vector<voter_status> voters;
  bool membership_changing = false;  // the leader changes the voters or brings one up
  disk_identifier disk_id;
};

// What a replica must not forget, beside its entries (Raft, figure 2: persistent state).
struct log_metadata {
  disk_identifier disk_id;
  term_number term;
  std::string voted_for;     // the address that has this disk's vote in `term`; empty: none yet
  bool initialized = false;  // the disk belongs to a log
};

}  // namespace reachridge
