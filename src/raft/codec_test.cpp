#include "raft/codec.hpp"

#include "runtime/request_error.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// The reason for which `decode` refuses the value; empty if it takes it.
template <class Decode, class Message>
auto refusal(Decode decode, const Message& message) -> std::string {
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
auto refuses(const std::string& expected, const std::string& refused) -> void {
  STRCMP_EQUAL(expected.c_str(), refused.c_str());
}
}  // namespace

TEST_GROUP(raft_codec){};
TEST(raft_codec, messages_come_back_as_they_went) {
  auto sent = sample_append();
  auto decoded = decode_append_request(encode(sent));
  LONGS_EQUAL(2, decoded.entries.size());
  CHECK(decoded.entries[1].command == sent.entries[1].command);
  CHECK(decode_membership_command(decoded.entries[1].command)->members.joint());
  CHECK(decoded.previous_index == 12 && decoded.previous_term == 6 && decoded.commit_index == 11 &&
        decoded.target_disk == "y");
  auto part = decode_snapshot_chunk(encode(sample_chunk()));
  CHECK(part.offset == 40 && part.data == "0123456789" && part.size == 100 && part.checksum == 4711);
  auto vote = decode_vote_request(encode(vote_request{"a:1", 3, 9, 2, true, false}));
  CHECK(vote.dry_run && !vote.transfer && vote.last_index == 9);
  auto reply = decode_append_reply(encode(append_reply{3, false, "x", 0, 8}));
  CHECK(!reply.success && reply.next_index_hint == 8);
}
// The names are on the wire: replicas of other releases know them.
TEST(raft_codec, operations_keep_their_names) {
  CHECK(encode(vote_request()).at("op") == "l.vote");
  CHECK(encode(append_request()).at("op") == "l.append");
  CHECK(encode(snapshot_chunk()).at("op") == "l.snapshot");
  CHECK(encode(timeout_now_request()).at("op") == "l.run");
  CHECK(encode(join_request()).at("op") == "l.enter");
  CHECK(encode(describe_request()).at("op") == "l.who");
  for (auto operation : {raft_operation::request_vote, raft_operation::append_entries, raft_operation::install_snapshot,
                         raft_operation::timeout_now, raft_operation::join, raft_operation::describe})
    CHECK(decode_operation(name_of(operation)) == operation);
  refuses("malformed: unknown request l.other", refusal(decode_operation, value("l.other").get_string()));
}
TEST(raft_codec, a_configuration_is_told_from_opaque_commands) {
  auto members = membership{{{"a:1", "x"}}, {}};
  auto named = encode(membership_command{members, "log"});
  STRCMP_EQUAL(R"({"panel":[{"addr":"a:1","id":"x"}],"realm":"log"})", to_json(named).c_str());
  CHECK(is_membership_command(named));
  CHECK(decode_membership_command(named)->members == members);
  CHECK(decode_membership_command(named)->log_id == "log");
  CHECK_FALSE(decode_membership_command(encode(membership_command{members, {}}))->log_id.has_value());
  auto opaque = value(object{{"k", "leave"}});
  CHECK_FALSE(is_membership_command(opaque));
  CHECK_FALSE(decode_membership_command(opaque).has_value());
}
TEST(raft_codec, numbers_out_of_range_are_named) {
  auto append = encode(sample_append());
  refuses("malformed: append_entries: term is out of range", refusal(decode_append_request, with(append, "term", -1)));
  refuses("malformed: append_entries: term is out of range",
          refusal(decode_append_request, with(append, "term", INT64_MAX)));
  refuses("malformed: append_entries: prev is out of range", refusal(decode_append_request, with(append, "prev", -1)));
  refuses("malformed: append_entries: prev is out of range",
          refusal(decode_append_request, with(append, "prev", INT64_MAX)));
  refuses("malformed: append_entries: commit is no number",
          refusal(decode_append_request, with(append, "commit", "11")));
  refuses("malformed: append_entries: rows is no list", refusal(decode_append_request, with(append, "rows", 5)));
  refuses("malformed: append_entries: lead is empty", refusal(decode_append_request, with(append, "lead", "")));
  auto vote = encode(vote_request{"a:1", 3, 9, 2, true, false});
  refuses("malformed: request_vote: last is out of range", refusal(decode_vote_request, with(vote, "last", -1)));
  refuses("malformed: request_vote: last_term is above the term",
          refusal(decode_vote_request, with(vote, "last_term", 4)));
  refuses("malformed: request_vote: dry is neither true nor false", refusal(decode_vote_request, with(vote, "dry", 1)));
  refuses("malformed: timeout_now: term is no number", refusal(decode_timeout_now_request, value(object{})));
  refuses("malformed: join: id is empty", refusal(decode_join_request, value(object{{"addr", "a:1"}, {"id", ""}})));
  refuses("malformed: join: message is no map", refusal(decode_join_request, value(5)));
}
TEST(raft_codec, entries_are_checked_one_by_one) {
  auto append = sample_append();
  append.entries[0].term = 5;  // below the term before it
  refuses("malformed: append_entries' entry: t is out of range", refusal(decode_append_request, encode(append)));
  append.entries[0].term = 8;  // above the leader's
  refuses("malformed: append_entries' entry: t is out of range", refusal(decode_append_request, encode(append)));
  append.entries[0] = {6, value("x")};
  refuses("malformed: append_entries' entry: d is no command", refusal(decode_append_request, encode(append)));
  append.entries[0] = {6, value(object{{"panel", array{}}})};
  refuses("malformed: voters: panel names nobody", refusal(decode_append_request, encode(append)));
  auto twice = to_value({{"a:1", "x"}, {"a:1", "y"}});
  append.entries[0] = {6, value(object{{"panel", twice}})};
  refuses("malformed: voters: panel names an address twice", refusal(decode_append_request, encode(append)));
  append.entries[0] = {6, value(object{{"panel", array{object{{"addr", "a:1"}}}}})};
  refuses("malformed: voter: id is no string", refusal(decode_append_request, encode(append)));
}
TEST(raft_codec, parts_of_snapshots_are_checked) {
  auto part = encode(sample_chunk());
  refuses("malformed: install_snapshot: offset is out of range",
          refusal(decode_snapshot_chunk, with(part, "offset", 100)));
  refuses("malformed: install_snapshot: data is too long", refusal(decode_snapshot_chunk, with(part, "offset", 95)));
  refuses("malformed: install_snapshot: size is out of range",
          refusal(decode_snapshot_chunk, with(part, "size", max_snapshot_bytes + 1)));
  refuses("malformed: install_snapshot: data is no string", refusal(decode_snapshot_chunk, without(part, "data")));
  refuses("malformed: install_snapshot: idx_term is out of range",
          refusal(decode_snapshot_chunk, with(part, "idx_term", 8)));
  refuses("malformed: install_snapshot: to is empty", refusal(decode_snapshot_chunk, with(part, "to", "")));
}
TEST(raft_codec, a_truncated_or_altered_snapshot_is_refused) {
  auto bytes = serialize_snapshot({5, 2, {{{"a:1", "x"}}, {}}, "fleet", value(object{{"k", 1}})});
  CHECK(deserialize_snapshot(bytes).index == 5);
  CHECK_THROWS(decode_error, deserialize_snapshot(std::string_view(bytes).substr(0, bytes.size() - 1)));
  auto altered = bytes;
  altered[bytes.size() / 2] ^= 1;
  CHECK_THROWS(decode_error, deserialize_snapshot(altered));
  CHECK_THROWS(request_error,
               deserialize_snapshot(encode_with_checksum(object{{"idx", 5}, {"term", 2}, {"state", nullptr}})));
}

TEST_GROUP(raft_membership){};
// While two lists are joint, neither alone decides.
TEST(raft_membership, a_joint_list_needs_both_majorities) {
  auto a = voter{"a:1", "x"};
  auto b = voter{"b:1", "x"};
  auto c = voter{"c:1", "x"};
  auto d = voter{"d:1", "x"};
  auto members = membership{{a, b, d}, {a, b, c}};
  auto agree = [&](std::vector<voter> agreeing) {
    return members.majority([&](const voter& one) {
      return std::find(agreeing.begin(), agreeing.end(), one) != agreeing.end();
    });
  };
  CHECK(agree({a, b}));
  CHECK_FALSE(agree({a, d}));
  CHECK_FALSE(agree({a, c}));
  CHECK(agree({a, c, d}));
  CHECK_FALSE(agree({c, d}));
  LONGS_EQUAL(4, members.all().size());
  members.outgoing.clear();
  CHECK(agree({a, d}));
}
