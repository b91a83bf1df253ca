#include "runtime/leveldb_store.hpp"

#include <leveldb/write_batch.h>

#include <exception>
#include <utility>

#include "runtime/durable_env.hpp"
#include "runtime/log.hpp"
#include "runtime/request_error.hpp"
#include "runtime/torn_tail.hpp"

namespace reachridge {
namespace {

constexpr auto log_name = "store";
constexpr auto retry_after_reopen_ms = second / millisecond;

auto shared_environment() -> durable_env& {
  static auto shared = durable_env(leveldb::Env::Default());
  return shared;
}

auto open_error(const std::string& folder, const leveldb::Status& status) -> request_error {
  return {errc::disk_failed, "data folder " + folder + ": " + status.ToString()};
}

// Opens the database in a folder. If the database is corrupt because a loss of power tore the last record of the log,
// removes this record and opens the database again.
auto open_database_in(const std::string& folder) -> std::unique_ptr<leveldb::DB> {
  auto options = leveldb::Options();
  options.create_if_missing = true;
  options.paranoid_checks = true;
  options.env = &shared_environment();
  auto* raw = static_cast<leveldb::DB*>(nullptr);
  auto opened = leveldb::DB::Open(options, folder, &raw);
  if (opened.IsCorruption() && cut_torn_tail(folder))
    opened = leveldb::DB::Open(options, folder, &raw);
  if (!opened.ok())
    throw open_error(folder, opened);
  auto database = std::unique_ptr<leveldb::DB>(raw);
  // Opening creates and removes files. These changes are durable only after a sync of the folder.
  auto synced = sync_folder(folder);
  if (!synced.ok())
    throw open_error(folder, synced);
  return database;
}

auto checked_reads() -> leveldb::ReadOptions {
  auto options = leveldb::ReadOptions();
  options.verify_checksums = true;
  return options;
}

auto write_synced(leveldb::DB& database, leveldb::WriteBatch& batch) -> std::string {
  auto options = leveldb::WriteOptions();
  options.sync = true;
  auto written = database.Write(options, &batch);
  return written.ok() ? std::string() : written.ToString();
}

}  // namespace

leveldb_store::leveldb_store(struct ev_loop* watching_loop, event_loop& loop, std::string folder)
    : store(loop), folder_(std::move(folder)), database_(open_database_in(folder_)), writer_(watching_loop, loop) {}

leveldb_store::~leveldb_store() {
  stop_tasks();
}

auto leveldb_store::get_written(const std::string& key) -> std::optional<std::string> {
  auto found = std::string();
  auto status = open_database().Get(checked_reads(), key, &found);
  if (status.IsNotFound())
    return {};
  if (!status.ok())
    throw decode_error(status.ToString());
  return found;
}

auto leveldb_store::scan_written(const std::string& prefix, const visitor& visit) -> void {
  auto iterator = std::unique_ptr<leveldb::Iterator>(open_database().NewIterator(checked_reads()));
  for (iterator->Seek(prefix); iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next())
    visit(iterator->key().ToString(), iterator->value().ToString());
  if (!iterator->status().ok())
    throw decode_error(iterator->status().ToString());
}

auto leveldb_store::write(const std::vector<change>& changes) -> task<void> {
  if (!database_)
    co_await reopen();
  auto batch = std::make_shared<leveldb::WriteBatch>();
  for (const auto& change : changes) {
    if (change.erased) {
      batch->Delete(change.key);
    } else {
      batch->Put(change.key, change.value);
    }
  }
  // This lambda must not be created inside the `co_await` expression: g++ 12 then destroys its captures twice.
  auto work = worker_thread::job_function([batch, database = database_] {
    return write_synced(*database, *batch);
  });
  auto error = co_await writer_.run(std::move(work));
  if (error.empty())
    co_return;
  // After some errors LevelDB accepts no more writes, and after others it continues to write behind a torn record.
  // Therefore the database is closed.
  database_.reset();
  log(log_level::error, log_name, error);
  throw request_error(errc::disk_failed, error, execution_outcome::unknown);
}

auto leveldb_store::reopen() -> task<void> {
  auto opened = std::make_shared<std::shared_ptr<leveldb::DB>>();
  auto work = worker_thread::job_function([opened, folder = folder_] {
    try {
      *opened = open_database_in(folder);
    } catch (const std::exception& error) {
      return std::string(error.what());
    }
    return std::string();
  });
  auto error = co_await writer_.run(std::move(work));
  if (!error.empty())
    throw request_error(errc::disk_failed, error, execution_outcome::unknown);
  database_ = std::move(*opened);
  log(log_level::info, log_name, "reopened the data folder after a failed write");
}

auto leveldb_store::open_database() const -> leveldb::DB& {
  if (!database_)
    throw request_error(errc::disk_failed, "the data folder is closed after a failed write and not reopened yet",
                        execution_outcome::not_executed, retry_after_reopen_ms);
  return *database_;
}

}  // namespace reachridge
