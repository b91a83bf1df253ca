// The id of a storage node's disk; see disk_identity.hpp.
#include "storage/disk_identity.hpp"

#include <cstdint>
#include <cstdio>

#include "runtime/request_error.hpp"
#include "runtime/value.hpp"

namespace reachridge {
namespace {

constexpr auto disk_key = "B/disk";
constexpr auto disk_format = std::int64_t{1};

auto read_disk_id(const std::string& record) -> std::string {
  auto fields = decode_with_checksum(record);
  if (get_int(fields, "format") != disk_format)
    throw request_error(errc::damaged, "the data folder's format is not 1");
  return get_string(fields, "id");
}

auto has_records(store& disk) -> bool {
  auto found = false;
  disk.scan("", [&](const std::string&, const std::string&) {
    found = true;
  });
  return found;
}

}  // namespace

auto load_or_create_disk_id(host& host) -> std::string {
  auto& disk = *host.disk();
  if (auto record = disk.get(disk_key))
    return read_disk_id(*record);
  if (has_records(disk))
    throw request_error(errc::damaged, "the data folder contains records but no disk id: foreign or damaged");
  char id[20];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(host.random()));
  disk.put(disk_key, encode_with_checksum(object{{"format", disk_format}, {"id", id}}));
  return id;
}

}  // namespace reachridge
