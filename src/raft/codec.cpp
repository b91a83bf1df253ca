// Field names and validation of the replicated log's messages and stored records; see codec.hpp.
#include "raft/codec.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "runtime/checksum.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto metadata_format = 1;

struct operation_name {
  raft_operation operation;
  std::string_view name;
};
constexpr auto operation_names = std::array{operation_name{raft_operation::request_vote, "l.vote"},
                                            operation_name{raft_operation::append_entries, "l.append"},
                                            operation_name{raft_operation::install_snapshot, "l.snapshot"},
                                            operation_name{raft_operation::timeout_now, "l.run"},
                                            operation_name{raft_operation::join, "l.enter"},
                                            operation_name{raft_operation::leave, "l.leave"},
                                            operation_name{raft_operation::describe, "l.who"}};

// Reads the fields of one message. Each accessor checks the type and range of the field and throws `errc::malformed`
// with the names of the message and the field. Holds references: the message and its name must outlive the reader.
class message_reader {
 public:
  message_reader(const value& message, const char* message_name) : message_(message), message_name_(message_name) {
    if (!message_.is_object())
      reject("message", "is not a map");
  }
  [[nodiscard]] auto number(const char* key, std::int64_t min_value, std::int64_t max_value) const -> std::int64_t {
    const auto& field = get_value(message_, key);
    if (!field.is_int64())
      reject(key, "is not an integer");
    return check_range(key, field.get_int64(), min_value, max_value);
  }
  // Returns `fallback` if the field is missing.
  [[nodiscard]] auto number_or(const char* key, std::int64_t fallback, std::int64_t min_value,
                               std::int64_t max_value) const -> std::int64_t {
    return get_value(message_, key).is_null() ? fallback : number(key, min_value, max_value);
  }
  [[nodiscard]] auto term(const char* key = "term") const -> term_number {
    return number(key, 0, max_term.get());
  }
  [[nodiscard]] auto index(const char* key) const -> log_index {
    return number(key, 0, max_index.get());
  }
  [[nodiscard]] auto string(const char* key) const -> std::string {
    const auto& field = get_value(message_, key);
    if (!field.is_string())
      reject(key, "is not a string");
    return std::string(field.get_string());
  }
  [[nodiscard]] auto string_or_empty(const char* key) const -> std::string {
    return get_value(message_, key).is_null() ? std::string() : string(key);
  }
  [[nodiscard]] auto non_empty_string(const char* key) const -> std::string {
    auto text = string(key);
    if (text.empty())
      reject(key, "is empty");
    return text;
  }
  // Returns false if the field is missing.
  [[nodiscard]] auto flag(const char* key) const -> bool {
    const auto& field = get_value(message_, key);
    if (field.is_null())
      return false;
    if (!field.is_bool())
      reject(key, "is not a boolean");
    return field.get_bool();
  }
  [[nodiscard]] auto list(const char* key) const -> const array& {
    const auto& field = get_value(message_, key);
    if (!field.is_array())
      reject(key, "is not a list");
    return field.get_array();
  }
  [[noreturn]] auto reject(const char* key, const char* reason) const -> void {
    throw request_error(errc::malformed, std::string(message_name_) + ": " + key + " " + reason);
  }

 private:
  [[nodiscard]] auto check_range(const char* key, std::int64_t value, std::int64_t min_value,
                                 std::int64_t max_value) const -> std::int64_t {
    if (value < min_value || value > max_value)
      reject(key, "is out of range");
    return value;
  }
  const value& message_;
  const char* message_name_;
};

// Decodes a list of voters. The list must have at least one voter, and no address may occur twice.
auto decode_voters(const message_reader& reader, const char* key) -> std::vector<voter> {
  auto voters = std::vector<voter>();
  auto addresses = std::set<std::string>();
  for (const auto& element : reader.list(key)) {
    auto voter_reader = message_reader(element, "voter");
    voters.push_back({voter_reader.non_empty_string("addr"), voter_reader.non_empty_string("id")});
    if (!addresses.insert(voters.back().address).second)
      reader.reject(key, "has a duplicate address");
  }
  if (voters.empty())
    reader.reject(key, "is empty");
  return voters;
}

// Adds the fields of a membership to a command or a snapshot. The outgoing voters are present only while the membership
// is joint.
auto put_membership(object& target, const membership& members) -> void {
  target["panel"] = to_value(members.voters);
  if (members.joint())
    target["old"] = to_value(members.outgoing);
}

// Returns nothing if the command or snapshot does not have the fields of a membership.
auto decode_membership(const value& content) -> std::optional<membership> {
  if (get_value(content, "panel").is_null())
    return {};
  auto reader = message_reader(content, "voters");
  auto members = membership{decode_voters(reader, "panel"), {}};
  if (!get_value(content, "old").is_null())
    members.outgoing = decode_voters(reader, "old");
  return members;
}

// Decodes one entry of an append request. The term of an entry is neither lower than the term of the entry before it
// nor higher than the leader's term.
auto decode_entry(const value& message, term_number previous_term, term_number leader_term) -> entry_message {
  auto reader = message_reader(message, "append_entries entry");
  auto term = reader.term("t");
  if (term < previous_term || term > leader_term)
    reader.reject("t", "is out of range");
  const auto& command = get_value(message, "d");
  if (!command.is_object())
    reader.reject("d", "is not a command");
  decode_membership_command(command);  // rejects malformed voters before the entry is appended to the log
  return {term, command};
}

}  // namespace

auto name_of(raft_operation operation) -> std::string_view {
  return std::find_if(operation_names.begin(), operation_names.end(),
                      [&](const operation_name& known) {
                        return known.operation == operation;
                      })
      ->name;
}

auto decode_operation(std::string_view name) -> raft_operation {
  const auto* found = std::find_if(operation_names.begin(), operation_names.end(), [&](const operation_name& known) {
    return known.name == name;
  });
  if (found == operation_names.end())
    throw request_error(errc::malformed, "unknown request " + std::string(name));
  return found->operation;
}

auto to_value(const std::vector<voter>& voters) -> value {
  auto encoded = array();
  for (const auto& member : voters)
    encoded.push_back(object{{"addr", member.address}, {"id", member.disk_id}});
  return encoded;
}

auto encode(const membership_command& command) -> value {
  auto encoded = object();
  put_membership(encoded, command.members);
  if (command.log_id)
    encoded["realm"] = *command.log_id;
  return encoded;
}

auto decode_membership_command(const value& command) -> std::optional<membership_command> {
  auto members = decode_membership(command);
  if (!members)
    return {};
  auto decoded = membership_command{std::move(*members), {}};
  if (const auto& log_id = get_value(command, "realm"); log_id.is_string())
    decoded.log_id = get_string(command, "realm");
  return decoded;
}

auto is_membership_command(const value& command) -> bool {
  return get_value(command, "panel").is_array();
}

auto encode(const vote_request& request) -> value {
  return object{{"op", name_of(raft_operation::request_vote)},
                {"term", request.term.get()},
                {"from", request.candidate},
                {"last", request.last_index.get()},
                {"last_term", request.last_term.get()},
                {"dry", request.is_pre_vote},
                {"go", request.is_leadership_transfer}};
}

auto decode_vote_request(const value& message) -> vote_request {
  auto reader = message_reader(message, "request_vote");
  auto request = vote_request{reader.non_empty_string("from"), reader.term(),      reader.index("last"),
                              reader.term("last_term"),        reader.flag("dry"), reader.flag("go")};
  if (request.last_term > request.term)
    reader.reject("last_term", "is greater than term");
  return request;
}

auto encode(const vote_reply& reply) -> value {
  return object{{"term", reply.term.get()}, {"ok", reply.granted}, {"id", reply.disk_id}};
}

auto decode_vote_reply(const value& message) -> vote_reply {
  auto reader = message_reader(message, "request_vote reply");
  return {reader.term(), reader.flag("ok"), reader.string("id")};
}

auto encode(const append_request& request) -> value {
  auto entries = array();
  for (const auto& entry : request.entries)
    entries.push_back(object{{"t", entry.term.get()}, {"d", entry.command}});
  return object{{"op", name_of(raft_operation::append_entries)},
                {"term", request.term.get()},
                {"lead", request.leader},
                {"to", request.target_disk},
                {"prev", request.previous_index.get()},
                {"prev_term", request.previous_term.get()},
                {"commit", request.commit_index.get()},
                {"rows", std::move(entries)}};
}

auto decode_append_request(const value& message) -> append_request {
  auto reader = message_reader(message, "append_entries");
  auto request = append_request{reader.term(),
                                reader.non_empty_string("lead"),
                                reader.string_or_empty("to"),
                                reader.index("prev"),
                                reader.number("prev_term", unknown_term.get(), max_term.get()),
                                reader.index("commit"),
                                {}};
  auto previous_term = std::max(request.previous_term, term_number(0));
  for (const auto& entry : reader.list("rows")) {
    request.entries.push_back(decode_entry(entry, previous_term, request.term));
    previous_term = request.entries.back().term;
  }
  return request;
}

auto encode(const append_reply& reply) -> value {
  auto encoded = object{{"term", reply.term.get()}, {"ok", reply.success}, {"id", reply.disk_id}};
  if (reply.success)
    encoded["match"] = reply.match_index.get();
  if (reply.next_index_hint > 0)
    encoded["hint"] = reply.next_index_hint.get();
  return encoded;
}

auto decode_append_reply(const value& message) -> append_reply {
  auto reader = message_reader(message, "append_entries reply");
  auto reply = append_reply{reader.term(), reader.flag("ok"), reader.string("id"), 0, 0};
  if (reply.success)
    reply.match_index = reader.index("match");
  if (!reply.success)
    reply.next_index_hint = reader.number_or("hint", 0, 0, max_index.get());
  return reply;
}

auto encode(const snapshot_chunk& chunk) -> value {
  return object{{"op", name_of(raft_operation::install_snapshot)},
                {"term", chunk.term.get()},
                {"lead", chunk.leader},
                {"to", chunk.target_disk},
                {"idx", chunk.index.get()},
                {"size", chunk.size},
                {"idx_term", chunk.index_term.get()},
                {"sum", chunk.checksum},
                {"offset", chunk.offset},
                {"data", chunk.data}};
}

auto decode_snapshot_chunk(const value& message) -> snapshot_chunk {
  auto reader = message_reader(message, "install_snapshot");
  auto chunk = snapshot_chunk();
  chunk.term = reader.term();
  chunk.leader = reader.non_empty_string("lead");
  chunk.target_disk = reader.non_empty_string("to");
  chunk.index = reader.number("idx", 1, max_index.get());
  chunk.index_term = reader.number("idx_term", 0, chunk.term.get());
  chunk.size = reader.number("size", 1, max_snapshot_bytes);
  chunk.checksum = reader.number("sum", 0, std::int64_t{UINT32_MAX});
  chunk.offset = reader.number("offset", 0, chunk.size - 1);
  chunk.data = reader.non_empty_string("data");
  auto length = static_cast<std::int64_t>(chunk.data.size());
  if (length > max_chunk_bytes || chunk.offset + length > chunk.size)
    reader.reject("data", "exceeds the chunk limit or the snapshot size");
  return chunk;
}

auto encode(const snapshot_reply& reply) -> value {
  return object{{"term", reply.term.get()},
                {"ok", reply.success},
                {"id", reply.disk_id},
                {"next", reply.next_offset},
                {"installed", reply.installed}};
}

auto decode_snapshot_reply(const value& message) -> snapshot_reply {
  auto reader = message_reader(message, "install_snapshot reply");
  return {reader.term(), reader.flag("ok"), reader.string("id"), reader.number("next", 0, max_snapshot_bytes),
          reader.flag("installed")};
}

auto encode(const join_request& request) -> value {
  return object{{"op", name_of(raft_operation::join)},
                {"addr", request.joining.address},
                {"id", request.joining.disk_id},
                {"realm", request.log_id}};
}

auto decode_join_request(const value& message) -> join_request {
  auto reader = message_reader(message, "join");
  return {{reader.non_empty_string("addr"), reader.non_empty_string("id")}, reader.string_or_empty("realm")};
}

auto encode(const leave_request& request) -> value {
  return object{
      {"op", name_of(raft_operation::leave)}, {"addr", request.leaving.address}, {"id", request.leaving.disk_id}};
}

auto decode_leave_request(const value& message) -> leave_request {
  auto reader = message_reader(message, "leave");
  return {{reader.non_empty_string("addr"), reader.non_empty_string("id")}};
}

auto encode(const describe_request& request) -> value {
  return object{{"op", name_of(raft_operation::describe)},
                {"addr", request.requester.address},
                {"id", request.requester.disk_id}};
}

auto decode_describe_request(const value& message) -> describe_request {
  auto reader = message_reader(message, "describe");
  return {{reader.string_or_empty("addr"), reader.string_or_empty("id")}};
}

auto encode(const describe_reply& reply) -> value {
  return object{{"id", reply.disk_id},
                {"founded", reply.initialized},
                {"empty", reply.empty},
                {"lead", reply.leader},
                {"mate", reply.requester_is_voter}};
}

auto decode_describe_reply(const value& message) -> describe_reply {
  auto reader = message_reader(message, "describe reply");
  return {reader.non_empty_string("id"), reader.flag("founded"), reader.flag("empty"), reader.string_or_empty("lead"),
          reader.flag("mate")};
}

auto encode(const timeout_now_request& request) -> value {
  return object{{"op", name_of(raft_operation::timeout_now)}, {"term", request.term.get()}};
}

auto decode_timeout_now_request(const value& message) -> timeout_now_request {
  return {message_reader(message, "timeout_now").term()};
}

auto encode(const acknowledgement&) -> value {
  return object{{"ok", true}};
}

auto encode(const raft_status& status) -> value {
  auto voters = array();
  for (const auto& member : status.voters) {
    auto encoded = object{{"addr", member.identity.address}, {"id", member.identity.disk_id}};
    if (member.contact) {
      encoded["seat"] = member.contact->membership_state;
      encoded["behind"] = member.contact->entries_behind;
      encoded["silent_ms"] = member.contact->silent_ms;
    }
    voters.push_back(std::move(encoded));
  }
  return object{{"role", status.role},
                {"leader", status.leader},
                {"term", status.term.get()},
                {"last", status.last_index.get()},
                {"agreed", status.commit_index.get()},
                {"applied", status.applied_index.get()},
                {"base", status.snapshot_index.get()},
                {"bytes", status.log_bytes},
                {"voters", std::move(voters)},
                {"changing", status.membership_changing},
                {"disk", status.disk_id}};
}

auto serialize_metadata(const log_metadata& metadata) -> std::string {
  return encode_with_checksum(object{{"format", metadata_format},
                                     {"id", metadata.disk_id},
                                     {"term", metadata.term.get()},
                                     {"voted", metadata.voted_for},
                                     {"founded", metadata.initialized}});
}

auto deserialize_metadata(std::string_view bytes) -> log_metadata {
  auto content = decode_with_checksum(bytes);
  if (get_int(content, "format") != metadata_format)
    throw request_error(errc::damaged, "the replicated log's metadata format is not 1");
  return {get_string(content, "id"), get_int(content, "term"), get_string(content, "voted"),
          get_bool(content, "founded")};
}

auto serialize_entry(term_number term, const value& command) -> std::string {
  return encode_with_checksum(object{{"t", term.get()}, {"d", command}});
}

auto deserialize_entry(std::string_view bytes) -> entry_message {
  auto record = decode_with_checksum(bytes);
  return {get_int(record, "t"), get_value(record, "d")};
}

auto serialize_snapshot(const snapshot& image) -> std::string {
  auto content =
      object{{"idx", image.index.get()}, {"term", image.term.get()}, {"realm", image.log_id}, {"state", image.state}};
  put_membership(content, image.members);
  return encode_with_checksum(content);
}

auto deserialize_snapshot(std::string_view bytes) -> snapshot {
  auto content = decode_with_checksum(bytes);
  auto reader = message_reader(content, "snapshot");
  auto members = decode_membership(content);
  if (!members)
    reader.reject("panel", "is missing");
  return {reader.index("idx"), reader.term(), *members, reader.string_or_empty("realm"), get_value(content, "state")};
}

auto checksum_of(std::string_view bytes) -> std::int64_t {
  return crc_32(bytes);
}

}  // namespace reachridge
