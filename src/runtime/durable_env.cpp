#include "runtime/durable_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "runtime/file_descriptor.hpp"

namespace reachridge {
namespace {

constexpr auto log_extension = ".log";

auto parent_folder(const std::string& file) -> std::string {
  return std::filesystem::path(file).parent_path().string();
}

}  // namespace

auto sync_folder(const std::string& folder) -> leveldb::Status {
  auto opened = file_descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (opened.get() < 0 || ::fsync(opened.get()) != 0)
    return leveldb::Status::IOError(folder, std::strerror(errno));
  return leveldb::Status::OK();
}

auto durable_env::NewWritableFile(const std::string& name, leveldb::WritableFile** out) -> leveldb::Status {
  auto created = target()->NewWritableFile(name, out);
  if (!created.ok() || !name.ends_with(log_extension))
    return created;
  auto synced = sync_folder_(parent_folder(name));
  if (!synced.ok()) {
    delete *out;  // the caller does not take ownership of the file if the call fails
    *out = nullptr;
  }
  return synced;
}

auto durable_env::RenameFile(const std::string& from, const std::string& to) -> leveldb::Status {
  auto renamed = target()->RenameFile(from, to);
  return renamed.ok() ? sync_folder_(parent_folder(to)) : renamed;
}

}  // namespace reachridge
