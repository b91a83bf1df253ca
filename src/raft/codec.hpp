// The one place that knows how messages, commands and snapshots of the replicated log stand on the wire and on disk.
// Each field is checked when it is read: what is out of range, of a wrong type or missing is refused as
// `errc::malformed` with the names of the message and the field, before anything changes.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "raft/types.hpp"

namespace reachridge {

constexpr auto max_term = term_number(std::int64_t{1} << 48);
constexpr auto max_index = log_index(std::int64_t{1} << 56);
constexpr auto max_snapshot_bytes = std::int64_t{64} << 20;  // bytes of one snapshot
constexpr auto max_chunk_bytes = std::int64_t{1} << 20;      // bytes of one part of it

// The name of an operation in a request, and back. Throws `errc::malformed` on a name that is unknown.
auto name_of(raft_operation operation) -> std::string_view;
auto decode_operation(std::string_view name) -> raft_operation;

auto encode(const vote_request& request) -> value;
auto encode(const vote_reply& reply) -> value;
auto encode(const append_request& request) -> value;
auto encode(const append_reply& reply) -> value;
auto encode(const snapshot_chunk& chunk) -> value;
auto encode(const snapshot_reply& reply) -> value;
auto encode(const join_request& request) -> value;
auto encode(const describe_request& request) -> value;
auto encode(const describe_reply& reply) -> value;
auto encode(const timeout_now_request& request) -> value;
auto encode(const acknowledgement& reply) -> value;
auto encode(const raft_status& status) -> value;  // for pages; nothing reads it back

auto decode_vote_request(const value& message) -> vote_request;
auto decode_vote_reply(const value& message) -> vote_reply;
auto decode_append_request(const value& message) -> append_request;
auto decode_append_reply(const value& message) -> append_reply;
auto decode_snapshot_chunk(const value& message) -> snapshot_chunk;
auto decode_snapshot_reply(const value& message) -> snapshot_reply;
auto decode_join_request(const value& message) -> join_request;
auto decode_describe_request(const value& message) -> describe_request;
auto decode_describe_reply(const value& message) -> describe_reply;
auto decode_timeout_now_request(const value& message) -> timeout_now_request;

// Commands that name voters. `decode_configuration` gives none where a command is the state machine's own, and throws
// where the voters are malformed; `is_configuration` only tells the two apart, for an entry that was checked before.
auto encode(const membership_command& command) -> value;
auto decode_membership_command(const value& command) -> std::optional<membership_command>;
auto is_membership_command(const value& command) -> bool;
auto to_value(const std::vector<voter>& voters) -> value;

// Metadata and entries as they are stored, with a checksum each. Unsealing throws `decode_error` on what is altered or
// lacks a field, and `errc::damaged` on metadata of another format.
auto serialize_metadata(const log_metadata& metadata) -> std::string;
auto deserialize_metadata(std::string_view bytes) -> log_metadata;
auto serialize_entry(term_number term, const value& command) -> std::string;
auto deserialize_entry(std::string_view bytes) -> entry_message;

// A snapshot as it is stored and sent. Unsealing throws `decode_error` on what is truncated or altered, and
// `errc::malformed` on what is whole and is no snapshot.
auto serialize_snapshot(const snapshot& image) -> std::string;
auto deserialize_snapshot(std::string_view bytes) -> snapshot;
auto checksum_of(std::string_view bytes) -> std::int64_t;

}  // namespace reachridge
