// Encoding and decoding of replication messages; see replication_messages.hpp.
#include <algorithm>
#include <array>
#include <utility>

#include "storage/replication_messages.hpp"

namespace reachridge {
namespace {

constexpr auto operation_names = std::array{
    std::pair{replication_operation::join, std::string_view("c.join")},
    std::pair{replication_operation::copy_state, std::string_view("c.copy")},
    std::pair{replication_operation::append_entries, std::string_view("c.log")},
    std::pair{replication_operation::acknowledge, std::string_view("c.ack")},
    std::pair{replication_operation::announce_replay, std::string_view("c.wait")},
};

auto encode_hex(std::string_view bytes) -> std::string {
  constexpr auto digits = std::string_view("0123456789abcdef");
  auto hex = std::string();
  hex.reserve(bytes.size() * 2);
  for (auto byte : bytes) {
    hex += digits[static_cast<unsigned char>(byte) >> 4];
    hex += digits[static_cast<unsigned char>(byte) & 15];
  }
  return hex;
}

// Does not validate the digits, because the checksum of the state detects invalid input.
auto decode_hex(std::string_view hex) -> std::string {
  auto digit_value = [](char digit) {
    return digit <= '9' ? digit - '0' : digit - 'a' + 10;
  };
  auto bytes = std::string();
  bytes.reserve(hex.size() / 2);
  for (auto i = std::size_t{0}; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(digit_value(hex[i]) * 16 + digit_value(hex[i + 1]));
  return bytes;
}

}  // namespace

auto to_string(replication_operation operation) -> std::string_view {
  return std::find_if(operation_names.begin(), operation_names.end(),
                      [&](const auto& candidate) {
                        return candidate.first == operation;
                      })
      ->second;
}

auto parse_replication_operation(std::string_view name) -> std::optional<replication_operation> {
  const auto* found = std::find_if(operation_names.begin(), operation_names.end(), [&](const auto& candidate) {
    return candidate.second == name;
  });
  if (found == operation_names.end())
    return {};
  return found->first;
}

auto partition_of_replication(const value& message) -> std::string {
  return get_string(message, "cell");
}

auto encode(const replica_join_request& request) -> value {
  auto message = object{{"op", to_string(replication_operation::join)},
                        {"cell", request.partition},
                        {"epoch", request.epoch},
                        {"from", request.primary},
                        {"join", request.join},
                        {"last", request.last_index}};
  if (request.truncate_to)
    message["truncate"] = object{{"index", request.truncate_to->index}, {"epoch", request.truncate_to->epoch}};
  return message;
}

// The last index only informs readers of a trace. A backup does not use the index, so the field is optional and
// accepted in any form that older primaries send.
auto decode_replica_join_request(const value& message) -> replica_join_request {
  auto request = replica_join_request();
  request.partition = partition_of_replication(message);
  request.epoch = get_int(message, "epoch");
  request.primary = get_string(message, "from");
  request.join = get_int_or(message, "join", 0);
  request.last_index = get_int_or(message, "last", 0);
  if (const auto& entry = get_value(message, "truncate"); entry.is_object())
    request.truncate_to = entry_identity{get_int(entry, "index"), get_int(entry, "epoch")};
  return request;
}

auto encode(const replica_join_reply& reply) -> value {
  return object{{"last", reply.last_index},
                {"epoch", reply.last_epoch},
                {"applied", reply.applied_index},
                {"broken", reply.damaged},
                {"synced", reply.synced_index}};
}

auto decode_replica_join_reply(const value& message) -> replica_join_reply {
  auto reply = replica_join_reply();
  reply.last_index = get_int(message, "last");
  reply.synced_index = get_int_or(message, "synced", reply.last_index);
  reply.applied_index = get_int(message, "applied");
  reply.damaged = get_bool(message, "broken");
  reply.last_epoch = get_int(message, "epoch");
  return reply;
}

auto encode(const state_chunk& chunk) -> value {
  return object{{"op", to_string(replication_operation::copy_state)},
                {"cell", chunk.partition},
                {"epoch", chunk.epoch},
                {"from", chunk.primary},
                {"join", chunk.join},
                {"part", static_cast<std::int64_t>(chunk.part)},
                {"bytes", encode_hex(chunk.bytes)},
                {"end", chunk.last}};
}

auto decode_state_chunk(const value& message) -> state_chunk {
  auto chunk = state_chunk();
  chunk.partition = partition_of_replication(message);
  chunk.epoch = get_int(message, "epoch");
  chunk.primary = get_string(message, "from");
  chunk.join = get_int_or(message, "join", 0);
  chunk.part = static_cast<std::size_t>(get_int(message, "part"));
  chunk.bytes = decode_hex(get_string(message, "bytes"));
  chunk.last = get_bool(message, "end");
  return chunk;
}

auto encode_state_chunk_reply() -> value {
  return object{{"ok", true}};
}

auto encode(const replicated_entry& entry) -> value {
  return object{{"v", entry.epoch}, {"g", entry.go_live_point}, {"e", entry.payload}};
}

auto decode_replicated_entry(const value& stored) -> replicated_entry {
  auto entry = replicated_entry();
  entry.epoch = get_int(stored, "v");
  entry.go_live_point = get_bool(stored, "g");
  entry.payload = get_value(stored, "e");
  return entry;
}

auto encode(const append_message& message) -> value {
  auto encoded_entries = array();
  encoded_entries.reserve(message.entries.size());
  for (const auto& entry : message.entries)
    encoded_entries.push_back(encode(entry));
  auto encoded = object{{"op", to_string(replication_operation::append_entries)},
                        {"cell", message.partition},
                        {"epoch", message.epoch},
                        {"from", message.primary},
                        {"prev", message.previous_index},
                        {"prev_epoch", message.previous_epoch},
                        {"rows", std::move(encoded_entries)}};
  if (message.spare)
    encoded["spare"] = *message.spare;
  return encoded;
}

auto decode_append_message(const value& message) -> append_message {
  auto decoded = append_message();
  decoded.partition = partition_of_replication(message);
  decoded.epoch = get_int(message, "epoch");
  decoded.primary = get_string(message, "from");
  decoded.previous_index = get_int(message, "prev");
  decoded.previous_epoch = get_int(message, "prev_epoch");
  const auto& encoded_entries = get_array(message, "rows");
  decoded.entries.reserve(encoded_entries.size());
  for (const auto& entry : encoded_entries)
    decoded.entries.push_back(decode_replicated_entry(entry));
  if (message.as_object().contains("spare"))
    decoded.spare = get_string(message, "spare");
  return decoded;
}

auto encode(const replica_acknowledgement& message) -> value {
  return object{{"op", to_string(replication_operation::acknowledge)},
                {"cell", message.partition},
                {"me", message.member},
                {"epoch", message.epoch},
                {"nack", message.rejected},
                {"got", message.synced_index},
                {"done", message.applied_index}};
}

auto decode_replica_acknowledgement(const value& message) -> replica_acknowledgement {
  auto decoded = replica_acknowledgement();
  decoded.partition = partition_of_replication(message);
  decoded.member = get_string(message, "me");
  decoded.epoch = get_int(message, "epoch");
  decoded.rejected = get_bool(message, "nack");
  decoded.synced_index = get_int(message, "got");
  decoded.applied_index = get_int(message, "done");
  return decoded;
}

auto encode(const replay_announcement& message) -> value {
  return object{
      {"op", to_string(replication_operation::announce_replay)}, {"cell", message.partition}, {"epoch", message.epoch}};
}

auto decode_replay_announcement(const value& message) -> replay_announcement {
  return {.partition = partition_of_replication(message), .epoch = get_int(message, "epoch")};
}

}  // namespace reachridge
