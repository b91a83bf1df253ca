// The record has the key "M/ID" and carries a checksum.
#include "storage/replica_record.hpp"

namespace reachridge {
namespace {

constexpr auto record_format = std::int64_t{1};

}  // namespace

replica_record::replica_record(store& disk, const std::string& partition_id) : disk_(disk), key_("M/" + partition_id) {}

auto replica_record::load() -> void {
  auto stored = disk_.get(key_);
  if (!stored)
    return;
  auto fields = decode_with_checksum(*stored);
  if (get_int(fields, "format") != record_format)
    throw decode_error("replica record: format is not 1");
  joined_epoch_ = get_int(fields, "joined");
}

auto replica_record::store_joined_epoch(partition_epoch epoch) -> void {
  if (epoch <= joined_epoch_)
    return;
  joined_epoch_ = epoch;
  store_fields();
}

auto replica_record::store_fields() -> void {
  disk_.put(key_, encode_with_checksum(object{{"format", record_format}, {"joined", joined_epoch_}}));
}

}  // namespace reachridge
