// The durable part of the replicated log: entries, term and vote, and the snapshot that precedes them (design 4.1).
// Entries stand in memory once, packed; of those that the snapshot on disk covers a bounded tail is kept for followers.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "ledger/codec.hpp"
#include "wax/host.hpp"

namespace hive {

// Bounds, in bytes unless said otherwise.
constexpr auto compaction_bytes = std::size_t{2} << 20;     // entries behind the snapshot before the next one is taken
constexpr auto tail_bytes = std::size_t{1} << 20;           // covered entries kept in memory for followers
constexpr auto retained_bytes_most = std::size_t{8} << 20;  // kept for a follower that is being brought up, at most

// Bounds by number, and of what is sent at once. Tests set small ones, so that snapshots are taken and sent often.
struct log_bounds {
  log_index compaction_entries = 1024;  // behind the snapshot before the next one is taken
  log_index tail_entries = 512;         // covered ones kept in memory for followers
  std::size_t first_window = 64 << 10;  // bytes sent to a follower at once, before its pace is known
  std::size_t least_window = 8 << 10;   // and on the slowest link
};

class log_storage {
 public:
  struct entry {
    term_number term = 0;
    std::string command;      // packed
    std::size_t total_bytes;  // of all commands up to this one
  };

  explicit log_storage(store& d, log_bounds b = {}) : disk(d), bounds(b) {}

  // Reads the disk. Gives the snapshot on it, if any; a blank disk gets `fresh_id`. Throws `damaged`.
  auto load(std::uint64_t fresh_id) -> std::optional<snapshot>;
  auto save_metadata() -> void;  // term, vote, disk id, founded
  [[nodiscard]] auto sync() -> task<void> { return disk.sync(); }
  [[nodiscard]] auto broken() const -> bool { return disk.broken(); }

  // Entries `first() + 1` to `last()` stand in memory.
  [[nodiscard]] auto first() const -> log_index { return base; }
  [[nodiscard]] auto last() const -> log_index { return base + static_cast<log_index>(entries.size()); }
  [[nodiscard]] auto snapshot_index() const -> log_index { return covered; }
  [[nodiscard]] auto term_at(log_index at) const -> term_number;  // -1: not known here
  [[nodiscard]] auto entry_at(log_index at) const -> const entry&;
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_between(base, last()); }
  auto append(term_number term, const tree& command) -> log_index;
  auto truncate_from(log_index from) -> void;

  // The newest voters in the log, agreed or not, and where they stand.
  [[nodiscard]] auto members() const -> const membership& { return configurations.rbegin()->second.members; }
  [[nodiscard]] auto members_index() const -> log_index { return configurations.rbegin()->first; }
  [[nodiscard]] auto members_at(log_index at) const -> const membership&;
  [[nodiscard]] auto ledger_id() const -> const std::string& { return configurations.rbegin()->second.ledger_id; }

  // Enough has been applied since the last snapshot that another should be taken.
  [[nodiscard]] auto wants_snapshot(log_index applied) const -> bool;
  // `s` replaces the entries up to it on disk; in memory those after `needed` stay while the bounds allow.
  auto compact(const snapshot& s, log_index needed) -> void;
  // `s`, sealed as `bytes`, replaces what is here, but for entries that follow it in the same history.
  auto install(const snapshot& s, std::string bytes) -> void;
  auto found(std::vector<voter> voters) -> void;

  std::string disk_id;
  term_number term = 0;
  std::string voted_for;
  bool founded = false;
  log_index durable_index = 0;

 private:
  struct configuration {
    membership members;
    std::string ledger_id;
  };
  auto push(term_number entry_term, std::string command) -> void;
  [[nodiscard]] auto bytes_between(log_index from, log_index upto) const -> std::size_t;
  auto note_configuration(log_index at, const tree& command) -> void;
  auto drop_front(log_index upto) -> void;
  auto erase_on_disk(log_index from, log_index upto) -> void;

  store& disk;
  log_bounds bounds;
  log_index base = 0;     // the entry before the first in memory
  log_index covered = 0;  // the snapshot on disk is of this index
  term_number base_term = 0;
  std::deque<entry> entries;
  std::size_t base_bytes = 0;  // of all commands up to the base
  std::size_t snapshot_bytes = 0;
  std::map<log_index, configuration> configurations = {{0, {}}};  // the first: at or before `base`
};

}  // namespace hive
