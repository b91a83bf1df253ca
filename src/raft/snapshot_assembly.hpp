// Assembles the chunks of a snapshot that a follower receives from its leader. This class performs no I/O;
// on_snapshot_chunk in snapshot.cpp is its only user.
#pragma once
#include <optional>
#include <string>
#include <utility>

#include "raft/types.hpp"

namespace reachridge {

class snapshot_assembly {
 public:
  struct assembled_snapshot {
    log_index index;   // last entry that the snapshot covers, according to the chunks
    term_number term;  // term of that entry, according to the chunks
    std::string bytes;
  };

  // Appends a chunk if it begins where the previous chunk ended. A chunk of another snapshot discards the chunks
  // received before. Returns false if the chunk is out of order, a duplicate, or not the first chunk of a new snapshot.
  auto add(const snapshot_chunk& chunk) -> bool {
    if (!belongs_to_current(chunk))
      start(chunk);
    if (chunk.offset != received())
      return false;
    snapshot_.bytes += chunk.data;
    return true;
  }
  // Number of bytes received; this is also the offset of the next chunk to request.
  [[nodiscard]] auto received() const -> std::int64_t {
    return static_cast<std::int64_t>(snapshot_.bytes.size());
  }
  [[nodiscard]] auto complete() const -> bool {
    return received() >= total_size_;
  }
  // Returns the assembled snapshot and clears the assembly.
  auto release() -> assembled_snapshot {
    assembling_ = false;
    return std::exchange(snapshot_, {});
  }

 private:
  // Whether the chunk belongs to the snapshot that is being assembled.
  [[nodiscard]] auto belongs_to_current(const snapshot_chunk& chunk) const -> bool {
    return assembling_ && snapshot_.index == chunk.index && snapshot_.term == chunk.index_term &&
           total_size_ == chunk.size && checksum_ == chunk.checksum;
  }
  auto start(const snapshot_chunk& chunk) -> void {
    assembling_ = true;
    snapshot_ = {chunk.index, chunk.index_term, {}};
    total_size_ = chunk.size;
    checksum_ = chunk.checksum;
  }

  bool assembling_ = false;  // a snapshot is being assembled
  assembled_snapshot snapshot_;
  std::int64_t total_size_ = 0;  // bytes of the complete snapshot
  std::int64_t checksum_ = 0;
};

}  // namespace reachridge
