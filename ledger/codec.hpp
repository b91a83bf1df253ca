// Messages of the replicated log as trees, and back. Each field is checked: what is out of range, of a wrong type or
// lacking is refused as `malformed` with the message's and the field's name, before anything changes.
#pragma once
#include <optional>
#include <string>

#include "ledger/messages.hpp"

namespace hive {

constexpr auto term_most = term_number{1} << 48;
constexpr auto index_most = log_index{1} << 56;
constexpr auto snapshot_most = std::int64_t{64} << 20;  // bytes of one snapshot
constexpr auto chunk_most = std::int64_t{1} << 20;      // bytes of one part of it

auto encode(const vote_request& m) -> tree;
auto encode(const vote_reply& m) -> tree;
auto encode(const append_request& m) -> tree;
auto encode(const append_reply& m) -> tree;
auto encode(const snapshot_chunk& m) -> tree;
auto encode(const snapshot_reply& m) -> tree;
auto encode(const join_request& m) -> tree;
auto encode(const describe_request& m) -> tree;
auto encode(const describe_reply& m) -> tree;
auto encode(const timeout_now_request& m) -> tree;

auto decode_vote_request(const tree& t) -> vote_request;
auto decode_vote_reply(const tree& t) -> vote_reply;
auto decode_append_request(const tree& t) -> append_request;
auto decode_append_reply(const tree& t) -> append_reply;
auto decode_snapshot_chunk(const tree& t) -> snapshot_chunk;
auto decode_snapshot_reply(const tree& t) -> snapshot_reply;
auto decode_join_request(const tree& t) -> join_request;
auto decode_describe_request(const tree& t) -> describe_request;
auto decode_describe_reply(const tree& t) -> describe_reply;
auto decode_timeout_now_request(const tree& t) -> timeout_now_request;

// The voters inside a command or a snapshot; none where it names no voters.
auto put_membership(branch& out, const membership& m) -> void;
auto decode_membership(const tree& t) -> std::optional<membership>;
auto to_tree(const std::vector<voter>& row) -> tree;

// What precedes the log: the state after `index`, and what is needed to go on from there.
struct snapshot {
  log_index index = 0;
  term_number term = 0;
  membership members;
  std::string ledger_id;
  tree state;
};
auto seal_snapshot(const snapshot& s) -> std::string;
auto unseal_snapshot(std::string_view bytes) -> snapshot;  // refuses what is truncated or altered
auto checksum_of(std::string_view bytes) -> std::int64_t;

}  // namespace hive
