// The durable part of the replicated log: entries, term and vote, and the snapshot that precedes them (design 4.1).
// Entries are in memory once, packed; of those that the snapshot on disk covers a bounded tail is kept for followers.
//
// Writes become durable in their order, and only sync() waits for them: whoever acts on what is durable (a vote, an
// acknowledgement, the commit index) calls sync() first.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "raft/codec.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// Bounds, in bytes unless said otherwise.
constexpr auto compaction_threshold_bytes = std::size_t{2}
                                            << 20;         // entries behind the snapshot before the next one is taken
constexpr auto max_tail_bytes = std::size_t{1} << 20;      // covered entries kept in memory for followers
constexpr auto max_retained_bytes = std::size_t{8} << 20;  // kept for a follower that is being brought up, at most

// Bounds by number, and of what is sent at once. Tests set small ones, so that snapshots are taken and sent often.
struct log_limits {
  std::int64_t compaction_threshold_entries = 1024;  // behind the snapshot before the next one is taken
  std::int64_t max_tail_entries = 512;               // covered ones kept in memory for followers
  std::size_t initial_window_bytes = 64 << 10;  // bytes sent to a follower at once, before its link's speed is known
  std::size_t min_window_bytes = 8 << 10;       // and on the slowest link
};

// The log of one replica on its disk. Owned by `consensus`, its only caller; one thread.
class log_storage {
 public:
  struct entry {
    term_number term;
    std::string command;          // as CBOR
    std::size_t total_bytes = 0;  // of all commands up to this one
  };

  explicit log_storage(store& disk, log_limits limits = {}) : disk_(disk), limits_(limits) {}

  // Reads the disk. Gives the snapshot on it, if any; a blank disk gets `fresh_id` as its identifier. Throws
  // `errc::damaged` where a record or an entry is missing, `decode_error` where one is altered.
  auto load(std::uint64_t fresh_id) -> std::optional<snapshot>;
  // Writes the metadata below; durable after the next sync().
  auto save_metadata() -> void;
  [[nodiscard]] auto sync() -> task<void> {
    return disk_.sync();
  }
  [[nodiscard]] auto failed() const -> bool {
    return disk_.failed();
  }

  // Entries `first() + 1` to `last()` are in memory.
  [[nodiscard]] auto first() const -> log_index {
    return base_index_;
  }
  [[nodiscard]] auto last() const -> log_index {
    return base_index_ + static_cast<std::int64_t>(entries_.size());
  }
  [[nodiscard]] auto snapshot_index() const -> log_index {
    return snapshot_index_;
  }
  [[nodiscard]] auto term_at(log_index at) const -> term_number;  // or unknown_term
  [[nodiscard]] auto entry_at(log_index at) const -> const entry&;
  [[nodiscard]] auto bytes() const -> std::size_t {
    return bytes_between(base_index_, last());
  }
  // Gives the index of the new entry.
  auto append(term_number entry_term, const value& command) -> log_index;
  // Removes the entry at `from` and all after it.
  auto truncate_from(log_index from) -> void;

  // The newest voters in the log, committed or not, and the index of their entry. A replica uses them from the moment
  // that entry is in its log (Raft, section 6).
  [[nodiscard]] auto members() const -> const membership& {
    return configurations_.rbegin()->second.members;
  }
  [[nodiscard]] auto members_index() const -> log_index {
    return configurations_.rbegin()->first;
  }
  [[nodiscard]] auto members_at(log_index at) const -> const membership&;
  [[nodiscard]] auto log_id() const -> const std::string& {
    return configurations_.rbegin()->second.log_id;
  }

  // Enough has been applied since the last snapshot that another should be taken.
  [[nodiscard]] auto snapshot_due(log_index applied) const -> bool;
  // `image` replaces the entries up to it on disk; in memory those after `needed` stay while the bounds allow.
  auto compact(const snapshot& image, log_index needed) -> void;
  // `image`, sealed as `bytes`, replaces what is here, but for entries that follow it in the same history.
  auto install(const snapshot& image, std::string bytes) -> void;
  // Begins a log of these voters on a blank disk.
  auto bootstrap(std::vector<voter> voters) -> void;

  // Kept on disk by save_metadata(); see log_metadata.
  disk_identifier disk_id;
  term_number term;
  std::string voted_for;
  bool initialized = false;
  // Entries up to here are known to be synced. It is not kept: what is read from the disk was synced.
  log_index durable_index;

 private:
  struct configuration {
    membership members;
    std::string log_id;
  };
  auto load_snapshot() -> std::optional<snapshot>;
  auto load_entries() -> void;
  auto push(term_number entry_term, std::string command) -> void;
  [[nodiscard]] auto bytes_between(log_index from, log_index upto) const -> std::size_t;
  auto record_configuration(log_index at, const value& command) -> void;
  auto drop_front(log_index upto) -> void;
  auto erase_on_disk(log_index from, log_index upto) -> void;

  store& disk_;
  log_limits limits_;
  log_index base_index_;  // the entry before the first in memory
  term_number base_term_;
  log_index snapshot_index_;  // the snapshot on disk is of this index
  std::deque<entry> entries_;
  std::size_t base_bytes_ = 0;  // of all commands up to the base
  std::size_t snapshot_bytes_ = 0;
  std::map<log_index, configuration> configurations_ = {{0, {}}};  // the first one at or before the base
};

}  // namespace reachridge
