// The record has the key "M/ID" and carries a checksum. Its field "erased" is absent while the replica has a log, and
// its field "spare" while no spare is known.
#include "storage/replica_record.hpp"

#include <algorithm>
#include <utility>

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
  if (fields.as_object().contains("erased"))
    erased_epoch_ = get_int(fields, "erased");
  spare_ = get_string_or(fields, "spare");
}

auto replica_record::store_joined_epoch(partition_epoch epoch) -> void {
  if (epoch <= joined_epoch_)
    return;
  joined_epoch_ = epoch;
  store_fields();
}

auto replica_record::store_spare(const std::string& member) -> void {
  if (member == spare_)
    return;
  spare_ = member;
  store_fields();
}

auto replica_record::mark_erased(partition_epoch epoch) -> void {
  erased_epoch_ = std::max(epoch, erased_epoch_.value_or(0));
  store_fields();
}

auto replica_record::mark_replaced() -> void {
  if (!erased_epoch_)
    return;
  erased_epoch_.reset();
  store_fields();
}

auto replica_record::store_fields() -> void {
  auto fields = object{{"format", record_format}, {"joined", joined_epoch_}};
  if (erased_epoch_)
    fields["erased"] = *erased_epoch_;
  if (!spare_.empty())
    fields["spare"] = spare_;
  disk_.put(key_, encode_with_checksum(std::move(fields)));
}

}  // namespace reachridge
