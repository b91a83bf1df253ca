// The durable state of the replicated log: term, vote, entries, and the snapshot that precedes the entries (design
// 4.1). Entries are also held in memory, encoded as CBOR. A bounded number of entries that the snapshot on disk already
// covers stays in memory, so that slow followers do not need a snapshot.
//
// Writes become durable in the order in which they are made. Only sync() waits for them, so a caller must call sync()
// before it grants a vote, acknowledges entries or advances the commit index.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "raft/codec.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// Size of the applied entries after the last snapshot at which the next snapshot is taken. If the last snapshot is
// larger than this, its size takes the place of this limit.
constexpr auto compaction_threshold_bytes = std::size_t{2} << 20;
// Limits for the entries that the snapshot covers and that stay in memory: in general, and while a follower that is
// catching up still needs them.
constexpr auto max_tail_bytes = std::size_t{1} << 20;
constexpr auto max_retained_bytes = std::size_t{8} << 20;

// Limits in numbers of entries, and sizes of requests. Tests set small values so that snapshots are taken and sent
// often.
struct log_limits {
  std::int64_t compaction_threshold_entries = 1024;  // applied entries after the last snapshot that trigger the next
  std::int64_t max_tail_entries = 512;               // entries covered by the snapshot that stay in memory
  std::size_t initial_window_bytes = 64 << 10;       // follower_progress::window before the link's speed is known
  std::size_t min_window_bytes = 8 << 10;            // lower limit of follower_progress::window, on slow links
};

// The log of one replica on its disk. `consensus` owns this object and is its only caller. Not thread-safe.
class log_storage {
 public:
  struct entry {
    term_number term;
    std::string command;          // encoded as CBOR
    std::size_t total_bytes = 0;  // size of all commands up to and including this one
  };

  explicit log_storage(store& disk, log_limits limits = {}) : disk_(disk), limits_(limits) {}

  // Reads the log from the disk and returns the snapshot, if there is one. A blank disk gets `fresh_id` as its
  // identifier. Throws `errc::damaged` if a record or an entry is missing, and `decode_error` if one is corrupt.
  auto load(std::uint64_t fresh_id) -> std::optional<snapshot>;
  // Writes `disk_id`, `term`, `voted_for` and `initialized`. They are durable after the next sync().
  auto save_metadata() -> void;
  [[nodiscard]] auto sync() -> task<void> {
    return disk_.sync();
  }
  [[nodiscard]] auto failed() const -> bool {
    return disk_.failed();
  }

  // The index before the first entry in memory. Entries `first() + 1` to `last()` are in memory.
  [[nodiscard]] auto first() const -> log_index {
    return base_index_;
  }
  [[nodiscard]] auto last() const -> log_index {
    return base_index_ + static_cast<std::int64_t>(entries_.size());
  }
  // The last entry that the snapshot on disk covers.
  [[nodiscard]] auto snapshot_index() const -> log_index {
    return snapshot_index_;
  }
  // The term of the entry, also for the index `first()`. Returns `unknown_term` for an index before `first()` or after
  // `last()`.
  [[nodiscard]] auto term_at(log_index index) const -> term_number;
  // Only for entries in memory; throws std::out_of_range otherwise.
  [[nodiscard]] auto entry_at(log_index index) const -> const entry&;
  // Size of the commands in memory.
  [[nodiscard]] auto bytes() const -> std::size_t {
    return bytes_between(base_index_, last());
  }
  // Appends an entry and returns its index. The entry is durable after the next sync().
  auto append(term_number entry_term, const value& command) -> log_index;
  // Removes the entry at `from` and all entries after it.
  auto truncate_from(log_index from) -> void;

  // The newest membership in the log, committed or not, and the index of its entry. A replica uses a membership as soon
  // as the entry is in its log (Raft, section 6).
  [[nodiscard]] auto members() const -> const membership& {
    return memberships_.rbegin()->second.members;
  }
  [[nodiscard]] auto members_index() const -> log_index {
    return memberships_.rbegin()->first;
  }
  // The membership in effect after the entry at `index`. Returns the oldest known membership for an older index.
  [[nodiscard]] auto members_at(log_index index) const -> const membership&;
  // The identifier of this log; empty until the log has one.
  [[nodiscard]] auto log_id() const -> const std::string& {
    return memberships_.rbegin()->second.log_id;
  }

  // Whether the entries applied since the last snapshot reach a compaction threshold. `applied` is the last applied
  // entry.
  [[nodiscard]] auto snapshot_due(log_index applied) const -> bool;
  // Writes the replica's own snapshot and erases the entries that it covers from the disk. In memory, covered entries
  // after `needed`, which followers still need, stay while the covered entries fit into max_retained_bytes. The others
  // stay while the covered entries fit into max_tail_bytes and max_tail_entries.
  auto compact(const snapshot& image, log_index needed) -> void;
  // Replaces the log by a snapshot from the leader; `bytes` is its serialized form. Entries after the snapshot stay if
  // the log has the snapshot's last entry.
  auto install(const snapshot& image, std::string bytes) -> void;
  // Starts a new log with these voters on a blank disk.
  auto bootstrap(std::vector<voter> voters) -> void;

  // Persistent state; save_metadata() writes these four members. See log_metadata.
  disk_identifier disk_id;
  term_number term;
  std::string voted_for;
  bool initialized = false;
  // Entries up to this index are known to be durable. The index is not stored, because all entries that load() reads
  // are durable.
  log_index durable_index;

 private:
  // The state that the membership commands up to an entry have set.
  struct membership_record {
    membership members;
    std::string log_id;
  };
  auto load_snapshot() -> std::optional<snapshot>;
  auto load_entries() -> void;
  auto push_entry(term_number entry_term, std::string command) -> void;
  // Size of the commands after `from`, up to and including `through`. Entries that are not in memory count as 0.
  [[nodiscard]] auto bytes_between(log_index from, log_index through) const -> std::size_t;
  auto record_membership(log_index index, const value& command) -> void;
  // Removes the entries up to and including `through` from memory.
  auto drop_front(log_index through) -> void;
  // Erases the entries from `from` up to and including `through` from the disk.
  auto erase_on_disk(log_index from, log_index through) -> void;

  store& disk_;
  log_limits limits_;
  log_index base_index_;            // index before the first entry in memory
  term_number base_term_;           // term of the entry at base_index_
  log_index snapshot_index_;        // last entry that the snapshot on disk covers
  std::deque<entry> entries_;       // entries in memory, without gaps, from base_index_ + 1
  std::size_t base_bytes_ = 0;      // size of all commands up to and including base_index_
  std::size_t snapshot_bytes_ = 0;  // size of the serialized snapshot on disk
  // By the index of the membership entry. The first element is at or before base_index_.
  std::map<log_index, membership_record> memberships_ = {{0, {}}};
};

}  // namespace reachridge
