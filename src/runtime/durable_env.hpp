// A LevelDB environment that makes the directory entries of new log files durable (design 3.1).
#pragma once
#include <leveldb/env.h>

#include <functional>
#include <string>

namespace reachridge {

// Syncs a folder. Files that were created, renamed or removed in the folder before the call remain so after a loss of
// power.
auto sync_folder(const std::string& folder) -> leveldb::Status;

// Syncs the folder after the creation of a log file, before the first batch is written to the log, and after each
// rename. LevelDB itself does not do this: it starts a new log during operation and writes synced batches to the log
// before it next syncs the folder. A loss of power in between could remove the file with all its batches. New table
// files need no extra sync, because LevelDB syncs the folder before it adds them to the manifest.
class durable_env : public leveldb::EnvWrapper {
 public:
  // Syncs a folder. Tests replace the function.
  using folder_sync = std::function<leveldb::Status(const std::string& folder)>;
  explicit durable_env(leveldb::Env* base, folder_sync sync = sync_folder)
      : EnvWrapper(base), sync_folder_(std::move(sync)) {}

  auto NewWritableFile(const std::string& name, leveldb::WritableFile** out) -> leveldb::Status override;
  auto RenameFile(const std::string& from, const std::string& to) -> leveldb::Status override;

 private:
  folder_sync sync_folder_;
};

}  // namespace reachridge
