// Encoding of the replicated log's messages, commands, snapshots and stored records. No other file knows their layout
// on the wire and on disk.
// Decoding checks each field. A field that is missing, out of range or of the wrong type throws `errc::malformed` with
// the names of the message and the field, before any state changes.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "raft/types.hpp"

namespace reachridge {

constexpr auto max_term = term_number(std::int64_t{1} << 48);
constexpr auto max_index = log_index(std::int64_t{1} << 56);
constexpr auto max_snapshot_bytes = std::int64_t{64} << 20;  // size of a serialized snapshot
constexpr auto max_chunk_bytes = std::int64_t{1} << 20;      // data of one snapshot chunk

// Converts between an operation and its name in the "op" field of a request. `decode_operation` throws
// `errc::malformed` if the name is unknown.
auto name_of(raft_operation operation) -> std::string_view;
auto decode_operation(std::string_view name) -> raft_operation;

auto encode(const vote_request& request) -> value;
auto encode(const vote_reply& reply) -> value;
auto encode(const append_request& request) -> value;
auto encode(const append_reply& reply) -> value;
auto encode(const snapshot_chunk& chunk) -> value;
auto encode(const snapshot_reply& reply) -> value;
auto encode(const join_request& request) -> value;
auto encode(const leave_request& request) -> value;
auto encode(const describe_request& request) -> value;
auto encode(const describe_reply& reply) -> value;
auto encode(const timeout_now_request& request) -> value;
auto encode(const acknowledgement& reply) -> value;
auto encode(const raft_status& status) -> value;  // for status pages; has no decoder

auto decode_vote_request(const value& message) -> vote_request;
auto decode_vote_reply(const value& message) -> vote_reply;
auto decode_append_request(const value& message) -> append_request;
auto decode_append_reply(const value& message) -> append_reply;
auto decode_snapshot_chunk(const value& message) -> snapshot_chunk;
auto decode_snapshot_reply(const value& message) -> snapshot_reply;
auto decode_join_request(const value& message) -> join_request;
auto decode_leave_request(const value& message) -> leave_request;
auto decode_describe_request(const value& message) -> describe_request;
auto decode_describe_reply(const value& message) -> describe_reply;
auto decode_timeout_now_request(const value& message) -> timeout_now_request;

// Commands that change the voters. `decode_membership_command` returns nothing for a command of the state machine and
// throws `errc::malformed` if the list of voters is malformed. `is_membership_command` does not validate the list; use
// it only for entries that have been decoded before.
auto encode(const membership_command& command) -> value;
auto decode_membership_command(const value& command) -> std::optional<membership_command>;
auto is_membership_command(const value& command) -> bool;
auto to_value(const std::vector<voter>& voters) -> value;

// The stored form of the metadata and of an entry; each record has its own checksum. Deserializing throws
// `decode_error` if the record is corrupt or lacks a field, and `errc::damaged` if the metadata has another format
// version.
auto serialize_metadata(const log_metadata& metadata) -> std::string;
auto deserialize_metadata(std::string_view bytes) -> log_metadata;
auto serialize_entry(term_number term, const value& command) -> std::string;
auto deserialize_entry(std::string_view bytes) -> entry_message;

// The form in which a snapshot is stored and sent. Deserializing throws `decode_error` if the bytes are truncated or
// corrupt, and `errc::malformed` if they are intact but do not contain a snapshot.
auto serialize_snapshot(const snapshot& image) -> std::string;
auto deserialize_snapshot(std::string_view bytes) -> snapshot;
// Returns the CRC-32 of the bytes.
auto checksum_of(std::string_view bytes) -> std::int64_t;

}  // namespace reachridge
