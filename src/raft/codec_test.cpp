// Encoding, validation and rejection of messages, commands and snapshots, and majorities of a membership.
#include "raft/codec.hpp"

#include "runtime/request_error.hpp"

// CppUTest must come last because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// Returns the error code and text with which `decode` rejects the message; empty if `decode` accepts it.
template <class Decode, class Message>
auto rejection(Decode decode, const Message& message) -> std::string {
  try {
    decode(message);
  } catch (const request_error& error) {
    return error.code_text() + ": " + error.message;
  }
  return {};
}
auto with(value message, const char* key, value replacement) -> value {
  message.as_object()[key] = std::move(replacement);
  return message;
}
auto without(value message, const char* key) -> value {
  message.as_object().erase(key);
  return message;
}
auto sample_append() -> append_request {
  auto joint = membership{{{"a:1", "x"}, {"b:1", "y"}}, {{"a:1", "x"}, {"c:1", "z"}}};
  auto command = encode(membership_command{joint, {}});
  command.as_object()["k"] = "charter";
  return {7, "a:1", "y", 12, 6, 11, {{6, value(object{{"k", "cell"}})}, {7, command}}};
}
auto sample_chunk() -> snapshot_chunk {
  return {7, "a:1", "y", 12, 6, 100, 4711, 40, "0123456789"};
}
auto expect_rejection(const std::string& expected, const std::string& actual) -> void {
  STRCMP_EQUAL(expected.c_str(), actual.c_str());
}
}  // namespace

TEST_GROUP(raft_codec){};
TEST(raft_codec, decoding_an_encoded_message_restores_its_fields) {
  auto sent = sample_append();
  auto decoded = decode_append_request(encode(sent));
  LONGS_EQUAL(2, decoded.entries.size());
  CHECK(decoded.entries[1].command == sent.entries[1].command);
  CHECK(decode_membership_command(decoded.entries[1].command)->members.joint());
  CHECK(decoded.previous_index == 12 && decoded.previous_term == 6 && decoded.commit_index == 11 &&
        decoded.target_disk == "y");
  auto chunk = decode_snapshot_chunk(encode(sample_chunk()));
  CHECK(chunk.offset == 40 && chunk.data == "0123456789" && chunk.size == 100 && chunk.checksum == 4711);
  auto vote = decode_vote_request(encode(vote_request{"a:1", 3, 9, 2, true, false}));
  CHECK(vote.is_pre_vote && !vote.is_leadership_transfer && vote.last_index == 9);
  auto reply = decode_append_reply(encode(append_reply{3, false, "x", 0, 8}));
  CHECK(!reply.success && reply.next_index_hint == 8);
}
// Replicas of different releases exchange requests, so the operation names on the wire must not change.
TEST(raft_codec, operation_names_on_the_wire_are_fixed) {
  CHECK(encode(vote_request()).at("op") == "l.vote");
  CHECK(encode(append_request()).at("op") == "l.append");
  CHECK(encode(snapshot_chunk()).at("op") == "l.snapshot");
  CHECK(encode(timeout_now_request()).at("op") == "l.run");
  CHECK(encode(join_request()).at("op") == "l.enter");
  CHECK(encode(leave_request()).at("op") == "l.leave");
  CHECK(encode(describe_request()).at("op") == "l.who");
  for (auto operation :
       {raft_operation::request_vote, raft_operation::append_entries, raft_operation::install_snapshot,
        raft_operation::timeout_now, raft_operation::join, raft_operation::leave, raft_operation::describe})
    CHECK(decode_operation(name_of(operation)) == operation);
  expect_rejection("malformed: unknown request l.other", rejection(decode_operation, value("l.other").get_string()));
}
TEST(raft_codec, membership_commands_are_distinguished_from_state_machine_commands) {
  auto members = membership{{{"a:1", "x"}}, {}};
  auto with_log_id = encode(membership_command{members, "log"});
  STRCMP_EQUAL(R"({"panel":[{"addr":"a:1","id":"x"}],"realm":"log"})", to_json(with_log_id).c_str());
  CHECK(is_membership_command(with_log_id));
  CHECK(decode_membership_command(with_log_id)->members == members);
  CHECK(decode_membership_command(with_log_id)->log_id == "log");
  CHECK_FALSE(decode_membership_command(encode(membership_command{members, {}}))->log_id.has_value());
  auto opaque = value(object{{"k", "leave"}});
  CHECK_FALSE(is_membership_command(opaque));
  CHECK_FALSE(decode_membership_command(opaque).has_value());
}
TEST(raft_codec, malformed_fields_are_rejected_by_name) {
  auto append = encode(sample_append());
  expect_rejection("malformed: append_entries: term is out of range",
                   rejection(decode_append_request, with(append, "term", -1)));
  expect_rejection("malformed: append_entries: term is out of range",
                   rejection(decode_append_request, with(append, "term", INT64_MAX)));
  expect_rejection("malformed: append_entries: prev is out of range",
                   rejection(decode_append_request, with(append, "prev", -1)));
  expect_rejection("malformed: append_entries: prev is out of range",
                   rejection(decode_append_request, with(append, "prev", INT64_MAX)));
  expect_rejection("malformed: append_entries: commit is not an integer",
                   rejection(decode_append_request, with(append, "commit", "11")));
  expect_rejection("malformed: append_entries: rows is not a list",
                   rejection(decode_append_request, with(append, "rows", 5)));
  expect_rejection("malformed: append_entries: lead is empty",
                   rejection(decode_append_request, with(append, "lead", "")));
  auto vote = encode(vote_request{"a:1", 3, 9, 2, true, false});
  expect_rejection("malformed: request_vote: last is out of range",
                   rejection(decode_vote_request, with(vote, "last", -1)));
  expect_rejection("malformed: request_vote: last_term is greater than term",
                   rejection(decode_vote_request, with(vote, "last_term", 4)));
  expect_rejection("malformed: request_vote: dry is not a boolean",
                   rejection(decode_vote_request, with(vote, "dry", 1)));
  expect_rejection("malformed: timeout_now: term is not an integer",
                   rejection(decode_timeout_now_request, value(object{})));
  expect_rejection("malformed: join: id is empty",
                   rejection(decode_join_request, value(object{{"addr", "a:1"}, {"id", ""}})));
  expect_rejection("malformed: join: message is not a map", rejection(decode_join_request, value(5)));
  expect_rejection("malformed: leave: addr is empty",
                   rejection(decode_leave_request, value(object{{"addr", ""}, {"id", "x"}})));
  expect_rejection("malformed: leave: id is not a string",
                   rejection(decode_leave_request, value(object{{"addr", "a:1"}})));
}
TEST(raft_codec, each_entry_of_an_append_request_is_validated) {
  auto append = sample_append();
  append.entries[0].term = 5;  // lower than the previous entry's term, which is 6
  expect_rejection("malformed: append_entries entry: t is out of range",
                   rejection(decode_append_request, encode(append)));
  append.entries[0].term = 8;  // higher than the leader's term, which is 7
  expect_rejection("malformed: append_entries entry: t is out of range",
                   rejection(decode_append_request, encode(append)));
  append.entries[0] = {6, value("x")};
  expect_rejection("malformed: append_entries entry: d is not a command",
                   rejection(decode_append_request, encode(append)));
  append.entries[0] = {6, value(object{{"panel", array{}}})};
  expect_rejection("malformed: voters: panel is empty", rejection(decode_append_request, encode(append)));
  auto duplicate_address = to_value({{"a:1", "x"}, {"a:1", "y"}});
  append.entries[0] = {6, value(object{{"panel", duplicate_address}})};
  expect_rejection("malformed: voters: panel has a duplicate address",
                   rejection(decode_append_request, encode(append)));
  append.entries[0] = {6, value(object{{"panel", array{object{{"addr", "a:1"}}}}})};
  expect_rejection("malformed: voter: id is not a string", rejection(decode_append_request, encode(append)));
}
TEST(raft_codec, snapshot_chunks_are_validated) {
  auto chunk = encode(sample_chunk());
  expect_rejection("malformed: install_snapshot: offset is out of range",
                   rejection(decode_snapshot_chunk, with(chunk, "offset", 100)));
  expect_rejection("malformed: install_snapshot: data exceeds the chunk limit or the snapshot size",
                   rejection(decode_snapshot_chunk, with(chunk, "offset", 95)));
  expect_rejection("malformed: install_snapshot: size is out of range",
                   rejection(decode_snapshot_chunk, with(chunk, "size", max_snapshot_bytes + 1)));
  expect_rejection("malformed: install_snapshot: data is not a string",
                   rejection(decode_snapshot_chunk, without(chunk, "data")));
  expect_rejection("malformed: install_snapshot: idx_term is out of range",
                   rejection(decode_snapshot_chunk, with(chunk, "idx_term", 8)));
  expect_rejection("malformed: install_snapshot: to is empty", rejection(decode_snapshot_chunk, with(chunk, "to", "")));
}
TEST(raft_codec, a_truncated_or_corrupt_snapshot_is_rejected) {
  auto bytes = serialize_snapshot({5, 2, {{{"a:1", "x"}}, {}}, "fleet", value(object{{"k", 1}})});
  CHECK(deserialize_snapshot(bytes).index == 5);
  CHECK_THROWS(decode_error, deserialize_snapshot(std::string_view(bytes).substr(0, bytes.size() - 1)));
  auto corrupt = bytes;
  corrupt[bytes.size() / 2] ^= 1;
  CHECK_THROWS(decode_error, deserialize_snapshot(corrupt));
  CHECK_THROWS(request_error,
               deserialize_snapshot(encode_with_checksum(object{{"idx", 5}, {"term", 2}, {"state", nullptr}})));
}

TEST_GROUP(raft_membership){};
// A joint membership needs a majority of the old voters and a majority of the new voters (Raft, section 6).
TEST(raft_membership, a_joint_membership_needs_both_majorities) {
  auto a = voter{"a:1", "x"};
  auto b = voter{"b:1", "x"};
  auto c = voter{"c:1", "x"};
  auto d = voter{"d:1", "x"};
  auto members = membership{{a, b, d}, {a, b, c}};
  auto is_majority = [&](std::vector<voter> agreeing) {
    return members.majority([&](const voter& member) {
      return std::find(agreeing.begin(), agreeing.end(), member) != agreeing.end();
    });
  };
  CHECK(is_majority({a, b}));
  CHECK_FALSE(is_majority({a, d}));
  CHECK_FALSE(is_majority({a, c}));
  CHECK(is_majority({a, c, d}));
  CHECK_FALSE(is_majority({c, d}));
  LONGS_EQUAL(4, members.all().size());
  members.outgoing.clear();
  CHECK(is_majority({a, d}));
}
