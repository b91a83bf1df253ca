// Field names and checks of the replicated log's messages; see codec.hpp.
#include "raft/codec.hpp"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <set>

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
                                            operation_name{raft_operation::describe, "l.who"}};

// Reads the fields of one message and names it in each refusal.
class field_reader {
 public:
  field_reader(const value& source, const char* message) : source_(source), name_(message) {
    if (!source_.is_object())
      refuse("message", "is no map");
  }
  [[nodiscard]] auto number(const char* key, std::int64_t least, std::int64_t most) const -> std::int64_t {
    const auto& value = get_value(source_, key);
    if (!value.is_int64())
      refuse(key, "is no number");
    return in_range(key, value.get_int64(), least, most);
  }
  [[nodiscard]] auto number_or(const char* key, std::int64_t other, std::int64_t least, std::int64_t most) const
      -> std::int64_t {
    return get_value(source_, key).is_null() ? other : number(key, least, most);
  }
  [[nodiscard]] auto term(const char* key = "term") const -> term_number {
    return number(key, 0, max_term.get());
  }
  [[nodiscard]] auto index(const char* key) const -> log_index {
    return number(key, 0, max_index.get());
  }
  [[nodiscard]] auto string(const char* key) const -> std::string {
    const auto& value = get_value(source_, key);
    if (!value.is_string())
      refuse(key, "is no string");
    return std::string(value.get_string());
  }
  [[nodiscard]] auto string_or(const char* key) const -> std::string {
    return get_value(source_, key).is_null() ? std::string() : string(key);
  }
  [[nodiscard]] auto filled(const char* key) const -> std::string {
    auto out = string(key);
    if (out.empty())
      refuse(key, "is empty");
    return out;
  }
  [[nodiscard]] auto flag(const char* key) const -> bool {
    const auto& value = get_value(source_, key);
    if (value.is_null())
      return false;
    if (!value.is_bool())
      refuse(key, "is neither true nor false");
    return value.get_bool();
  }
  [[nodiscard]] auto rows(const char* key) const -> const array& {
    const auto& value = get_value(source_, key);
    if (!value.is_array())
      refuse(key, "is no list");
    return value.get_array();
  }
  [[noreturn]] auto refuse(const char* key, const char* why) const -> void {
    throw request_error(errc::malformed, std::string(name_) + ": " + key + " " + why);
  }

 private:
  [[nodiscard]] auto in_range(const char* key, std::int64_t value, std::int64_t least, std::int64_t most) const
      -> std::int64_t {
    if (value < least || value > most)
      refuse(key, "is out of range");
    return value;
  }
  const value& source_;
  const char* name_;
};

auto decode_voters(const field_reader& reader, const char* key) -> std::vector<voter> {
  auto voters = std::vector<voter>();
  auto addresses = std::set<std::string>();
  for (const auto& row : reader.rows(key)) {
    auto voter_reader = field_reader(row, "voter");
    voters.push_back({voter_reader.filled("addr"), voter_reader.filled("id")});
    if (!addresses.insert(voters.back().address).second)
      reader.refuse(key, "names an address twice");
  }
  if (voters.empty())
    reader.refuse(key, "names nobody");
  return voters;
}

auto put_membership(object& out, const membership& members) -> void {
  out["panel"] = to_value(members.voters);
  if (members.joint())
    out["old"] = to_value(members.outgoing);
}

auto decode_membership(const value& source) -> std::optional<membership> {
  if (get_value(source, "panel").is_null())
    return {};
  auto reader = field_reader(source, "voters");
  auto members = membership{decode_voters(reader, "panel"), {}};
  if (!get_value(source, "old").is_null())
    members.outgoing = decode_voters(reader, "old");
  return members;
}

// One entry of an append request. The terms of entries never fall, and none is above the leader's.
auto decode_entry(const value& row, term_number least, term_number most) -> entry_message {
  auto reader = field_reader(row, "append_entries' entry");
  auto term = reader.term("t");
  if (term < least || term > most)
    reader.refuse("t", "is out of range");
  const auto& command = get_value(row, "d");
  if (!command.is_object())
    reader.refuse("d", "is no command");
  decode_membership_command(command);  // voters that are malformed are refused here, before the entry is in the log
  return {term, command};
}

}  // namespace

auto name_of(raft_operation operation) -> std::string_view {
  return std::find_if(operation_names.begin(), operation_names.end(),
                      [&](const operation_name& row) {
                        return row.operation == operation;
                      })
      ->name;
}

auto decode_operation(std::string_view name) -> raft_operation {
  const auto* row = std::find_if(operation_names.begin(), operation_names.end(), [&](const operation_name& known) {
    return known.name == name;
  });
  if (row == operation_names.end())
    throw request_error(errc::malformed, "unknown request " + std::string(name));
  return row->operation;
}

auto to_value(const std::vector<voter>& voters) -> value {
  auto rows = array();
  for (const auto& one : voters)
    rows.push_back(object{{"addr", one.address}, {"id", one.disk_id}});
  return rows;
}

auto encode(const membership_command& command) -> value {
  auto out = object();
  put_membership(out, command.members);
  if (command.log_id)
    out["realm"] = *command.log_id;
  return out;
}

auto decode_membership_command(const value& command) -> std::optional<membership_command> {
  auto members = decode_membership(command);
  if (!members)
    return {};
  auto out = membership_command{std::move(*members), {}};
  if (const auto& log_id = get_value(command, "realm"); log_id.is_string())
    out.log_id = get_string(command, "realm");
  return out;
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
                {"dry", request.dry_run},
                {"go", request.transfer}};
}

auto decode_vote_request(const value& message) -> vote_request {
  auto reader = field_reader(message, "request_vote");
  auto request = vote_request{reader.filled("from"),    reader.term(),      reader.index("last"),
                              reader.term("last_term"), reader.flag("dry"), reader.flag("go")};
  if (request.last_term > request.term)
    reader.refuse("last_term", "is above the term");
  return request;
}

auto encode(const vote_reply& reply) -> value {
  return object{{"term", reply.term.get()}, {"ok", reply.granted}, {"id", reply.disk_id}};
}

auto decode_vote_reply(const value& message) -> vote_reply {
  auto reader = field_reader(message, "request_vote's answer");
  return {reader.term(), reader.flag("ok"), reader.string("id")};
}

auto encode(const append_request& request) -> value {
  auto rows = array();
  for (const auto& entry : request.entries)
    rows.push_back(object{{"t", entry.term.get()}, {"d", entry.command}});
  return object{{"op", name_of(raft_operation::append_entries)},
                {"term", request.term.get()},
                {"lead", request.leader},
                {"to", request.target_disk},
                {"prev", request.previous_index.get()},
                {"prev_term", request.previous_term.get()},
                {"commit", request.commit_index.get()},
                {"rows", std::move(rows)}};
}

auto decode_append_request(const value& message) -> append_request {
  auto reader = field_reader(message, "append_entries");
  auto request = append_request{reader.term(),
                                reader.filled("lead"),
                                reader.string_or("to"),
                                reader.index("prev"),
                                reader.number("prev_term", unknown_term.get(), max_term.get()),
                                reader.index("commit"),
                                {}};
  auto least_term = std::max(request.previous_term, term_number(0));
  for (const auto& row : reader.rows("rows")) {
    request.entries.push_back(decode_entry(row, least_term, request.term));
    least_term = request.entries.back().term;
  }
  return request;
}

auto encode(const append_reply& reply) -> value {
  auto out = object{{"term", reply.term.get()}, {"ok", reply.success}, {"id", reply.disk_id}};
  if (reply.success)
    out["match"] = reply.match_index.get();
  if (reply.next_index_hint > 0)
    out["hint"] = reply.next_index_hint.get();
  return out;
}

auto decode_append_reply(const value& message) -> append_reply {
  auto reader = field_reader(message, "append_entries' answer");
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
  auto reader = field_reader(message, "install_snapshot");
  auto chunk = snapshot_chunk();
  chunk.term = reader.term();
  chunk.leader = reader.filled("lead");
  chunk.target_disk = reader.filled("to");
  chunk.index = reader.number("idx", 1, max_index.get());
  chunk.index_term = reader.number("idx_term", 0, chunk.term.get());
  chunk.size = reader.number("size", 1, max_snapshot_bytes);
  chunk.checksum = reader.number("sum", 0, std::int64_t{UINT32_MAX});
  chunk.offset = reader.number("offset", 0, chunk.size - 1);
  chunk.data = reader.filled("data");
  auto length = static_cast<std::int64_t>(chunk.data.size());
  if (length > max_chunk_bytes || chunk.offset + length > chunk.size)
    reader.refuse("data", "is too long");
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
  auto reader = field_reader(message, "install_snapshot's answer");
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
  auto reader = field_reader(message, "join");
  return {{reader.filled("addr"), reader.filled("id")}, reader.string_or("realm")};
}

auto encode(const describe_request& request) -> value {
  return object{{"op", name_of(raft_operation::describe)},
                {"addr", request.requester.address},
                {"id", request.requester.disk_id}};
}

auto decode_describe_request(const value& message) -> describe_request {
  auto reader = field_reader(message, "describe");
  return {{reader.string_or("addr"), reader.string_or("id")}};
}

auto encode(const describe_reply& reply) -> value {
  return object{{"id", reply.disk_id},
                {"founded", reply.initialized},
                {"empty", reply.empty},
                {"lead", reply.leader},
                {"mate", reply.requester_is_voter}};
}

auto decode_describe_reply(const value& message) -> describe_reply {
  auto reader = field_reader(message, "describe's answer");
  return {reader.filled("id"), reader.flag("founded"), reader.flag("empty"), reader.string_or("lead"),
          reader.flag("mate")};
}

auto encode(const timeout_now_request& request) -> value {
  return object{{"op", name_of(raft_operation::timeout_now)}, {"term", request.term.get()}};
}

auto decode_timeout_now_request(const value& message) -> timeout_now_request {
  return {field_reader(message, "timeout_now").term()};
}

auto encode(const acknowledgement&) -> value {
  return object{{"ok", true}};
}

auto encode(const raft_status& status) -> value {
  auto rows = array();
  for (const auto& one : status.voters) {
    auto row = object{{"addr", one.who.address}, {"id", one.who.disk_id}};
    if (one.contact) {
      row["seat"] = one.contact->standing;
      row["behind"] = one.contact->behind;
      row["silent_ms"] = one.contact->silent_ms;
    }
    rows.push_back(std::move(row));
  }
  return object{{"role", status.role},
                {"leader", status.leader},
                {"term", status.term.get()},
                {"last", status.last_index.get()},
                {"agreed", status.commit_index.get()},
                {"applied", status.applied_index.get()},
                {"base", status.snapshot_index.get()},
                {"bytes", status.log_bytes},
                {"voters", std::move(rows)},
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
    throw request_error(errc::damaged, "the ledger's format is not 1");
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
  auto out =
      object{{"idx", image.index.get()}, {"term", image.term.get()}, {"realm", image.log_id}, {"state", image.state}};
  put_membership(out, image.members);
  return encode_with_checksum(out);
}

auto deserialize_snapshot(std::string_view bytes) -> snapshot {
  auto content = decode_with_checksum(bytes);
  auto reader = field_reader(content, "snapshot");
  auto members = decode_membership(content);
  if (!members)
    reader.refuse("panel", "is lacking");
  return {reader.index("idx"), reader.term(), *members, reader.string_or("realm"), get_value(content, "state")};
}

auto checksum_of(std::string_view bytes) -> std::int64_t {
  auto crc = boost::crc_32_type();
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace reachridge
