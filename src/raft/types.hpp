// Data types of the replicated log: messages between replicas, snapshots, metadata, status, and the membership command.
// codec.hpp defines their encoding on the wire and on disk.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "raft/membership.hpp"
#include "raft/term_and_index.hpp"
#include "runtime/value.hpp"

namespace reachridge {

// The requests that one replica sends to another.
enum class raft_operation { request_vote, append_entries, install_snapshot, timeout_now, join, leave, describe };

// A log entry in an append_request. The log interprets only membership commands; all other commands belong to the state
// machine.
struct entry_message {
  term_number term;
  value command;
};

// Requests a vote (Raft, section 5.2) or a pre-vote.
struct vote_request {
  std::string candidate;  // address of the candidate
  term_number term;
  log_index last_index;   // index of the last entry in the candidate's log
  term_number last_term;  // term of that entry
  // A pre-vote (Raft thesis 9.6) asks whether the candidate could win. It changes no term and records no vote.
  bool is_pre_vote = false;
  // The leader asked the candidate to start this election (Raft thesis 3.10). Voters then grant the vote even if they
  // heard from that leader recently.
  bool is_leadership_transfer = false;
};
struct vote_reply {
  term_number term;
  bool granted = false;
  disk_identifier disk_id;  // disk of the replying voter
};

// Sends entries to a follower (Raft, section 5.3). A request without entries is a heartbeat.
struct append_request {
  term_number term;
  std::string leader;                        // address of the leader
  disk_identifier target_disk;               // disk that the request is addressed to; empty: any disk
  log_index previous_index;                  // index of the entry immediately before `entries`
  term_number previous_term = unknown_term;  // term of that entry
  log_index commit_index;
  std::vector<entry_message> entries;
};
struct append_reply {
  term_number term;
  bool success = false;
  disk_identifier disk_id;
  log_index match_index;      // on success: the follower's log is durable up to this index
  log_index next_index_hint;  // on failure: index from which the leader retries; 0: no hint
};

// A chunk of a snapshot (Raft, section 7). The fields index, index_term, size and checksum identify the snapshot.
struct snapshot_chunk {
  term_number term;
  std::string leader;
  disk_identifier target_disk;
  log_index index;            // index of the last entry that the snapshot covers
  term_number index_term;     // term of that entry
  std::int64_t size = 0;      // size of the whole snapshot in bytes
  std::int64_t checksum = 0;  // checksum of the whole snapshot
  std::int64_t offset = 0;    // offset of the first byte of `data` in the snapshot
  std::string data;
};
struct snapshot_reply {
  term_number term;
  bool success = false;
  disk_identifier disk_id;
  std::int64_t next_offset = 0;  // offset of the next chunk that the follower expects
  bool installed = false;        // the whole snapshot is installed and durable
};

// Asks a follower to start an election immediately, without waiting for its election timeout (Raft thesis 3.10).
struct timeout_now_request {
  term_number term;
};

// Asks the leader to add a voter.
struct join_request {
  voter joining;
  std::string log_id;  // identity of the log on the joining disk; empty: the disk is blank
};

// Asks the leader to remove a voter whose process shuts down.
struct leave_request {
  voter leaving;
};

// Asks a replica for its view of the replicated log.
struct describe_request {
  voter requester;  // voter whose membership is queried; may be empty
};
struct describe_reply {
  disk_identifier disk_id;
  bool initialized = false;  // the disk belongs to a log
  bool empty = true;         // the replica is in term 0 and its log has no entries
  std::string leader;        // address of the leader that the replica follows; empty: none
  bool requester_is_voter = false;
};

// The reply to a request that succeeds without returning data.
struct acknowledgement {};

// The only command that the log itself interprets. It sets the voters that apply from its entry on. A new leader
// repeats the current voters in the first entry of its term and adds the identity of the log.
struct membership_command {
  membership members;
  std::optional<std::string> log_id;
};

// A snapshot replaces the log up to `index`: the state after applying that entry, and the membership and log identity
// at that point.
struct snapshot {
  log_index index;
  term_number term;  // term of the entry at `index`
  membership members;
  std::string log_id;
  value state;  // state of the state machine, not interpreted by the log
};

// The replication state of one voter or learner as the leader knows it.
struct voter_contact {
  const char* membership_state = "";  // "voter" or "enters" (a learner)
  std::int64_t entries_behind = 0;    // entries of the leader's log that are not known to be durable on this member
  std::int64_t silent_ms = 0;         // time since the leader sent the latest request that was answered; -1: unknown
};
// One voter or learner in a raft_status.
struct voter_status {
  voter identity;
  std::optional<voter_contact> contact;  // set only on the leader
};
// The status of the replicated log on one replica, as reported on /status.
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
  bool membership_changing = false;  // this leader has an unfinished membership change or a learner
  disk_identifier disk_id;
};

// The persistent state of a replica besides its entries (Raft, figure 2).
struct log_metadata {
  disk_identifier disk_id;
  term_number term;
  std::string voted_for;     // address of the candidate that received the vote in `term`; empty: no vote yet
  bool initialized = false;  // the disk belongs to a log
};

}  // namespace reachridge
