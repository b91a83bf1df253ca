#include "simulator/log_invariants.hpp"

#include <algorithm>

#include "raft/codec.hpp"

namespace reachridge {
namespace {

auto require(bool holds, const char* invariant, const std::string& detail) -> void {
  if (!holds)
    throw invariant_violation{invariant, detail};
}

auto names_of(const std::vector<voter>& voters) -> std::string {
  auto text = std::string();
  for (const auto& member : voters)
    text += (text.empty() ? "" : " ") + member.address + "/" + member.disk_id.substr(0, 4);
  return text;
}
auto names_of(const membership& voters) -> std::string {
  return voters.joint() ? names_of(voters.voters) + " joint with " + names_of(voters.outgoing)
                        : names_of(voters.voters);
}

}  // namespace

auto has_quorum(const membership& voters, const std::function<bool(const voter&)>& has) -> bool {
  auto more_than_half = [&](const std::vector<voter>& list) {
    auto count = std::count_if(list.begin(), list.end(), has);
    return static_cast<std::size_t>(count) * 2 > list.size();
  };
  return more_than_half(voters.voters) && (!voters.joint() || more_than_half(voters.outgoing));
}

auto quorums_overlap(const membership& left, const membership& right) -> bool {
  auto disks = left.all();
  for (const auto& candidate : right.all())
    if (std::find(disks.begin(), disks.end(), candidate) == disks.end())
      disks.push_back(candidate);
  // For every division of the disks into two sides, at most one side may have a quorum.
  for (auto division = std::uint64_t{0}; division < std::uint64_t{1} << disks.size(); ++division) {
    auto on_side = [&](const voter& disk, std::uint64_t side) {
      auto position = static_cast<std::uint64_t>(std::find(disks.begin(), disks.end(), disk) - disks.begin());
      return (division >> position & 1U) == side;
    };
    auto left_has_quorum = has_quorum(left, [&](const voter& disk) {
      return on_side(disk, 0);
    });
    if (left_has_quorum && has_quorum(right, [&](const voter& disk) {
          return on_side(disk, 1);
        }))
      return false;
  }
  return true;
}

auto log_invariants::vote_granted(const std::string& disk, std::int64_t term, const std::string& candidate) -> void {
  auto [vote, inserted] = votes_.emplace(std::pair(disk, term), candidate);
  require(inserted || vote->second == candidate, "one-vote-a-term",
          "disk " + disk + " voted in term " + std::to_string(term) + " for " + vote->second + " and for " + candidate);
}

auto log_invariants::leader_seen(const std::string& disk, std::int64_t term) -> void {
  auto [leader, inserted] = leaders_.emplace(term, disk);
  require(inserted || leader->second == disk, "one-leader-a-term",
          "term " + std::to_string(term) + " is led by " + leader->second + " and by " + disk);
}

auto log_invariants::variant_of(std::int64_t index, const std::string& stored_entry) -> entry_variant& {
  auto& known = entries_[index];
  if (auto entry = known.find(stored_entry); entry != known.end())
    return entry->second;
  auto content = decode_with_checksum(stored_entry);
  auto term = get_int(content, "t");
  for (const auto& [bytes, known_variant] : known)
    require(known_variant.term != term, "log-matching",
            "two different entries at index " + std::to_string(index) + " of term " + std::to_string(term) + ": " +
                to_json(content) + " and " + to_json(decode_with_checksum(bytes)));
  auto& created = known[stored_entry];
  created.term = term;
  if (auto command = decode_membership_command(get_value(content, "d")))
    created.voters = command->members;
  return created;
}

auto log_invariants::entry_seen(std::int64_t index, const std::string& stored_entry, const std::string* previous)
    -> void {
  auto& entry = variant_of(index, stored_entry);
  if (!previous)
    return;
  if (entry.previous.empty())
    entry.previous = *previous;
  require(entry.previous == *previous, "log-matching",
          "the entry before index " + std::to_string(index) + " of term " + std::to_string(entry.term) + " differs: " +
              to_json(decode_with_checksum(entry.previous)) + " and " + to_json(decode_with_checksum(*previous)));
}

auto log_invariants::entry_committed(std::int64_t index, const std::string& stored_entry) -> void {
  auto [known, inserted] = committed_.emplace(index, stored_entry);
  require(inserted || known->second == stored_entry, "committed-stays",
          "index " + std::to_string(index) + " was committed as " + to_json(decode_with_checksum(known->second)) +
              " and as " + to_json(decode_with_checksum(stored_entry)));
  if (!inserted)
    return;
  if (const auto& voters = variant_of(index, stored_entry).voters; !voters.empty())
    voters_committed(index, voters);
}

auto log_invariants::voters_committed(std::int64_t index, const membership& voters) -> void {
  if (index <= committed_voters_index_)
    return;
  committed_voters_index_ = index;
  if (!committed_voters_.empty() && voters != committed_voters_)
    ++membership_changes_;
  committed_voters_ = voters;
}

auto log_invariants::applied(std::int64_t index, std::int64_t command, std::uint64_t digest) -> void {
  auto [applied_entry, index_is_new] = applied_commands_.emplace(index, command);
  require(index_is_new || applied_entry->second == command, "committed-stays",
          "index " + std::to_string(index) + " was applied as command " + std::to_string(applied_entry->second) +
              " and as " + std::to_string(command));
  auto [command_entry, command_is_new] = index_of_command_.emplace(command, index);
  require(command_is_new || command_entry->second == index, "applied-once",
          "command " + std::to_string(command) + " was applied at index " + std::to_string(command_entry->second) +
              " and at index " + std::to_string(index));
  require(!refused_commands_.contains(command), "refused-never-runs",
          "command " + std::to_string(command) + " was refused and later applied");
  restored(index, digest);
}

auto log_invariants::restored(std::int64_t index, std::uint64_t digest) -> void {
  auto [known, inserted] = state_digests_.emplace(index, digest);
  require(inserted || known->second == digest, "equal-state", "two different states at index " + std::to_string(index));
}

auto log_invariants::acknowledged(std::int64_t index, std::int64_t command, monotonic_time now) -> void {
  auto applied_entry = applied_commands_.find(index);
  require(applied_entry != applied_commands_.end() && applied_entry->second == command, "committed-stays",
          "command " + std::to_string(command) + " was acknowledged at index " + std::to_string(index) +
              ", which holds a different command");
  auto& newest = acknowledged_index_[now];
  newest = std::max(newest, index);
  if (auto acknowledgement = acknowledged_index_.find(now); acknowledgement != acknowledged_index_.begin())
    newest = std::max(newest, std::prev(acknowledgement)->second);
}

auto log_invariants::acknowledged_until(monotonic_time time) const -> std::int64_t {
  auto later = acknowledged_index_.upper_bound(time);
  return later == acknowledged_index_.begin() ? 0 : std::prev(later)->second;
}

auto log_invariants::require_applied(const char* invariant, std::int64_t applied_index, monotonic_time at,
                                     const std::string& replica_name) const -> void {
  auto newest = acknowledged_until(at);
  require(applied_index >= newest, invariant,
          replica_name + " has applied index " + std::to_string(applied_index) + "; index " + std::to_string(newest) +
              " had been acknowledged");
}

auto log_invariants::check_active_voters(const membership& voters, const std::string& replica_name) -> void {
  if (committed_voters_.empty() || voters.empty())
    return;
  if (voters == checked_active_voters_ && committed_voters_ == checked_committed_voters_)
    return;
  require(quorums_overlap(voters, committed_voters_), "majorities-meet",
          replica_name + " uses the voters " + names_of(voters) + "; the committed voters are " +
              names_of(committed_voters_));
  checked_active_voters_ = voters;
  checked_committed_voters_ = committed_voters_;
}

}  // namespace reachridge
