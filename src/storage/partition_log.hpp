// The log of one partition: the records on the storage node's disk and the newest entries in memory (design 6.1, 6.2).
#pragma once
#include <deque>
#include <optional>
#include <string>

#include "runtime/store.hpp"
#include "runtime/value.hpp"
#include "storage/replication_messages.hpp"

namespace reachridge {

// The state of a partition after the entry at `index`. Snapshots are stored on disk and sent to new backups.
struct partition_snapshot {
  entry_index index = 0;
  partition_epoch epoch = 0;  // of the entry at `index`
  value state;                // the result of partition_state::take_snapshot
};

[[nodiscard]] auto encode(const partition_snapshot& snapshot) -> value;
[[nodiscard]] auto decode_partition_snapshot(const value& stored) -> partition_snapshot;  // throws decode_error

// The log is owned by one partition and used only by the tasks of that partition. A write is queued on the disk
// immediately. Entries count as synced only after the disk has made them durable and update_synced_index was called.
//
// Invariants: base_index() <= last_index(); all entries above base_index() up to last_index() are in memory;
// synced_index() <= last_index() after the log is loaded.
class partition_log {
 public:
  struct entry {
    partition_epoch epoch;
    bool go_live_point;  // whether this entry is the last of its operation (design 6.4)
    value payload;
    monotonic_time appended_at;       // on this node's clock
    store::change_number change = 0;  // the change of the disk that stores this entry; set by the log
  };

  partition_log(store& disk, std::string partition_id);

  // Load the log from the disk: load_snapshot must be called before load_entries. Both throw decode_error on torn or
  // altered records; the caller then wipes the log (design 6.8).
  // Returns the state at base_index(), or no value if the disk has no snapshot.
  [[nodiscard]] auto load_snapshot() -> std::optional<value>;
  auto load_entries(monotonic_time now) -> void;

  // The index before the oldest entry in memory; 0 if the partition has no snapshot.
  [[nodiscard]] auto base_index() const -> entry_index {
    return base_index_;
  }
  [[nodiscard]] auto last_index() const -> entry_index {
    return base_index_ + static_cast<entry_index>(entries_.size());
  }
  // The entries up to this index are durable on this node.
  [[nodiscard]] auto synced_index() const -> entry_index {
    return synced_index_;
  }
  // The epoch of the entry at `index`, or -1 if it is not known.
  [[nodiscard]] auto epoch_at(entry_index index) const -> partition_epoch;
  // Requires base_index() < index <= last_index().
  [[nodiscard]] auto at(entry_index index) const -> const entry&;
  // An estimate of what it costs to send the entries above `index` to a replica and to apply them there, in bytes of
  // state that cost as much to copy. Requires base_index() <= index.
  [[nodiscard]] auto replication_cost(entry_index index) const -> std::size_t;
  // The index of the last entry above `index` that ends an operation, or `index` if there is no such entry.
  [[nodiscard]] auto last_go_live_point(entry_index index) const -> entry_index;

  // Appends an entry and returns its index.
  auto append(entry new_entry) -> entry_index;
  // The last entry up to `index` whose epoch is at most `epoch`; the entry at base_index() if there is none above it.
  [[nodiscard]] auto last_entry_of_epoch(entry_index index, partition_epoch epoch) const -> entry_identity;
  // Whether the log has this entry and the newest snapshot does not contain entries above it.
  [[nodiscard]] auto can_truncate_to(const entry_identity& entry) const -> bool;
  // Erases the entries above `index`. Requires can_truncate_to for the entry at `index`.
  auto truncate_to(entry_index index) -> void;
  // How often truncate_to has erased entries.
  [[nodiscard]] auto truncations() const -> std::int64_t {
    return truncations_;
  }
  // The last entry that the newest snapshot contains; 0 if there is no snapshot.
  [[nodiscard]] auto snapshot_index() const -> entry_index {
    return trimmed_index_;
  }
  // Returns the state at snapshot_index(), or no value if there is no snapshot. Throws decode_error if it is damaged.
  [[nodiscard]] auto read_snapshot() const -> std::optional<value>;
  // Erases the entries of an operation whose last entry was not received (design 6.4).
  auto drop_unfinished_operation() -> void;

  // The size of the newest snapshot, or 0 if there is none.
  [[nodiscard]] auto snapshot_bytes() const -> std::size_t {
    return snapshot_bytes_;
  }
  // Whether enough was appended since the last snapshot to justify the cost of a new one: at least a minimum number of
  // entries, and entries that cost as much as the state (replication_cost) or that fill the memory meant for them.
  [[nodiscard]] auto snapshot_is_due() const -> bool;
  // Stores the state after `applied_index` and erases the entries up to this index from the disk. The newest of these
  // entries stay in memory for backups that lack only a few entries.
  auto store_snapshot(entry_index applied_index, value state) -> void;
  // Erases everything, on disk and in memory.
  auto wipe() -> void;
  // Restarts a wiped log from a snapshot: the next entry follows the snapshot's entry.
  auto restart_from(const partition_snapshot& snapshot) -> void;

  // Whether an entry that needs an immediate sync was appended since the last call of clear_sync_urgency. Entries that
  // only advance the clock do not need an immediate sync.
  [[nodiscard]] auto sync_is_urgent() const -> bool {
    return sync_is_urgent_;
  }
  auto clear_sync_urgency() -> void {
    sync_is_urgent_ = false;
  }
  // The change of the disk that stores the last entry. All entries are synced once it is durable.
  [[nodiscard]] auto newest_change() const -> store::change_number;
  // Marks the entries that the disk has made durable as synced, whoever requested the sync.
  auto update_synced_index() -> void;
  auto mark_synced(entry_index index) -> void;

 private:
  [[nodiscard]] auto snapshot_key() const -> std::string;
  [[nodiscard]] auto entry_key_prefix() const -> std::string;
  [[nodiscard]] auto entry_key(entry_index index) const -> std::string;
  auto write_snapshot(const partition_snapshot& snapshot) -> void;
  auto drop_last_entry() -> void;

  store& disk_;
  std::string partition_id_;
  std::deque<entry> entries_;
  entry_index base_index_ = 0;
  partition_epoch base_epoch_ = 0;
  std::size_t snapshot_bytes_ = 0;
  std::size_t cost_since_snapshot_ = 0;
  entry_index trimmed_index_ = 0;  // the newest snapshot contains the entries up to this index
  entry_index synced_index_ = 0;
  store::change_number base_change_ = 0;  // stores the entry at base_index_, or a snapshot that contains it
  std::int64_t truncations_ = 0;
  bool sync_is_urgent_ = false;
};

}  // namespace reachridge
