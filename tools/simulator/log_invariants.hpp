// Checks the invariants of a replicated log against the actions, messages and disks of its replicas.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "raft/membership.hpp"
#include "runtime/event_loop.hpp"

namespace reachridge {

// Thrown by a check that fails. `invariant` is the name of the invariant, `detail` the observed contradiction.
struct invariant_violation {
  std::string invariant, detail;
};

// Returns true if the disks that satisfy `has` form a quorum of these voters. The count does not use the code under
// test.
auto has_quorum(const membership& voters, const std::function<bool(const voter&)>& has) -> bool;

// Returns true if every quorum of `left` shares a disk with every quorum of `right`.
auto quorums_overlap(const membership& left, const membership& right) -> bool;

// Records every observation of one replicated log and compares each new observation with the record. Depends only on
// the stored records and the messages of the implementation. Every check throws invariant_violation.
class log_invariants {
 public:
  // A disk granted its vote in a term.
  auto vote_granted(const std::string& disk, std::int64_t term, const std::string& candidate) -> void;
  // A replica with this disk is leader of a term.
  auto leader_seen(const std::string& disk, std::int64_t term) -> void;

  // A stored entry with its checksum. `previous` is the stored form of the preceding entry, or null if unknown.
  auto entry_seen(std::int64_t index, const std::string& stored_entry, const std::string* previous) -> void;
  // Returns the term of a stored entry.
  auto term_of(std::int64_t index, const std::string& stored_entry) -> std::int64_t {
    return variant_of(index, stored_entry).term;
  }
  auto entry_committed(std::int64_t index, const std::string& stored_entry) -> void;
  // The voters committed up to `index`, as recorded in a snapshot or an entry.
  auto voters_committed(std::int64_t index, const membership& voters) -> void;

  // A replica applied a command; `digest` is the digest of its state afterwards.
  auto applied(std::int64_t index, std::int64_t command, std::uint64_t digest) -> void;
  // A replica restored a snapshot of this index.
  auto restored(std::int64_t index, std::uint64_t digest) -> void;

  // The leader acknowledged a command to its client.
  auto acknowledged(std::int64_t index, std::int64_t command, monotonic_time now) -> void;
  // The leader reported that a command was not executed; the command must never be applied.
  auto refused(std::int64_t command) -> void {
    refused_commands_.insert(command);
  }
  // Returns the highest index that was acknowledged up to a time.
  [[nodiscard]] auto acknowledged_until(monotonic_time time) const -> std::int64_t;

  // Requires that a leader that has applied up to `applied_index` holds every command acknowledged up to `at`.
  auto require_applied(const char* invariant, std::int64_t applied_index, monotonic_time at,
                       const std::string& replica_name) const -> void;
  // Requires that the quorums of the newest leader's voters overlap those of the newest committed voters.
  auto check_active_voters(const membership& voters, const std::string& replica_name) -> void;

  [[nodiscard]] auto committed_voters() const -> const membership& {
    return committed_voters_;
  }
  [[nodiscard]] auto membership_changes() const -> std::int64_t {
    return membership_changes_;
  }
  [[nodiscard]] auto newest_term() const -> std::int64_t {
    return leaders_.empty() ? 0 : leaders_.rbegin()->first;
  }
  [[nodiscard]] auto committed_index() const -> std::int64_t {
    return committed_.empty() ? 0 : committed_.rbegin()->first;
  }

 private:
  struct entry_variant {
    std::int64_t term = 0;
    std::string previous;  // stored form of the preceding entry
    membership voters;
  };
  auto variant_of(std::int64_t index, const std::string& stored_entry) -> entry_variant&;
  std::map<std::pair<std::string, std::int64_t>, std::string> votes_;     // by disk and term
  std::map<std::int64_t, std::string> leaders_;                           // by term
  std::map<std::int64_t, std::map<std::string, entry_variant>> entries_;  // by index and stored form
  std::map<std::int64_t, std::string> committed_;
  std::map<std::int64_t, std::int64_t> applied_commands_;      // applied command, by index
  std::map<std::int64_t, std::int64_t> index_of_command_;      // index, by command
  std::map<std::int64_t, std::uint64_t> state_digests_;        // digest, by index
  std::map<monotonic_time, std::int64_t> acknowledged_index_;  // newest index, by time
  std::set<std::int64_t> refused_commands_;
  membership committed_voters_;
  membership checked_active_voters_, checked_committed_voters_;  // the last pair whose quorums were found to overlap
  std::int64_t committed_voters_index_ = -1;
  std::int64_t membership_changes_ = 0;
};

}  // namespace reachridge
