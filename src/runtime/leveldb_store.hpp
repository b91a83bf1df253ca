// A store in a LevelDB folder. A separate thread does the writing (design 3.1).
#pragma once
#include <leveldb/db.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/store.hpp"
#include "runtime/worker_thread.hpp"

namespace reachridge {

// Owns the open database of one data folder. A failed write closes the database, and the next write reopens it.
class leveldb_store : public store {
 public:
  // Opens the database in the folder and creates it if necessary. Throws request_error (errc::disk_failed) if that
  // fails or the files are damaged.
  leveldb_store(struct ev_loop* watching_loop, event_loop& loop, std::string folder);
  ~leveldb_store() override;

 protected:
  auto get_written(const std::string& key) -> std::optional<std::string> override;
  auto scan_written(const std::string& prefix, const visitor& visit) -> void override;
  auto write(const std::vector<change>& changes) -> task<void> override;

 private:
  // Opens the database on the writer thread. Throws request_error (errc::disk_failed) if that fails.
  auto reopen() -> task<void>;
  // Returns the database. Throws request_error (errc::disk_failed) while the database is closed.
  [[nodiscard]] auto open_database() const -> leveldb::DB&;

  std::string folder_;
  std::shared_ptr<leveldb::DB> database_;  // null if closed after a failed write
  worker_thread writer_;                   // destroyed before `database_`, after the current job has finished
};

}  // namespace reachridge
