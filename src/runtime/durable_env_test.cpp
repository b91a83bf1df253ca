#include "runtime/durable_env.hpp"

#include <leveldb/db.h>

#include <filesystem>
#include <memory>
#include <vector>

#include "runtime/scratch_folder.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

namespace {

constexpr auto value_bytes = std::size_t{64} << 10;
constexpr auto values = 160;  // together larger than a write buffer of LevelDB, so that LevelDB starts a new log

auto open(leveldb::Env& env, const std::string& folder) -> std::unique_ptr<leveldb::DB> {
  auto options = leveldb::Options();
  options.create_if_missing = true;
  options.env = &env;
  auto* raw = static_cast<leveldb::DB*>(nullptr);
  auto opened = leveldb::DB::Open(options, folder, &raw);
  return std::unique_ptr<leveldb::DB>(opened.ok() ? raw : nullptr);
}

auto put_synced(leveldb::DB& db, int index) -> leveldb::Status {
  auto options = leveldb::WriteOptions();
  options.sync = true;
  return db.Put(options, "key " + std::to_string(index), std::string(value_bytes, 'x'));
}

// Returns the names of the log files in a folder.
auto log_files_in(const std::string& folder) -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".log")
      names.push_back(entry.path().filename().string());
  return names;
}

}  // namespace

TEST_GROUP(durable_names){};

// After each write, every log file in the folder must have existed at the last sync of the folder. Otherwise a loss of
// power could remove a log file that contains synced batches.
TEST(durable_names, the_folder_is_synced_before_the_first_batch_of_a_new_log) {
  auto folder = scratch_folder();
  auto synced_logs = std::vector<std::string>();
  auto env = durable_env(leveldb::Env::Default(), [&](const std::string& path) {
    synced_logs = log_files_in(path);
    return sync_folder(path);
  });
  auto db = open(env, folder.path());
  CHECK(db != nullptr);
  auto initial_logs = log_files_in(folder.path());
  auto new_log_seen = false;
  for (auto index = 0; index < values; ++index) {
    CHECK(put_synced(*db, index).ok());
    for (const auto& log : log_files_in(folder.path())) {
      new_log_seen = new_log_seen || std::find(initial_logs.begin(), initial_logs.end(), log) == initial_logs.end();
      CHECK(std::find(synced_logs.begin(), synced_logs.end(), log) != synced_logs.end());
    }
  }
  CHECK(new_log_seen);
}

TEST(durable_names, a_failed_folder_sync_fails_the_write) {
  auto folder = scratch_folder();
  auto sync_succeeds = true;
  auto env = durable_env(leveldb::Env::Default(), [&](const std::string& path) {
    return sync_succeeds ? sync_folder(path) : leveldb::Status::IOError(path, "simulated failure");
  });
  auto db = open(env, folder.path());
  CHECK(db != nullptr);
  sync_succeeds = false;
  auto failed_writes = 0;
  for (auto index = 0; index < values; ++index)
    failed_writes += !put_synced(*db, index).ok();
  CHECK(failed_writes > 0);
}
