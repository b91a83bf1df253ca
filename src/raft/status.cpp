// What an operator sees of the log on /status.
#include "raft/consensus.hpp"

namespace reachridge {

auto consensus::role_name() const -> const char* {
  if (is_leader())
    return "leader";
  if (role_ == replica_role::candidate)
    return "candidate";
  return may_vote() ? "follower" : "learner";
}

// The leader knows how each voter is; the others only name them.
auto consensus::status_of(const voter& one, const char* standing) const -> voter_status {
  auto match_index = log_.durable_index;
  auto silent_ms = std::int64_t{0};
  if (one != self_) {
    const auto* progress = progress_of(one);
    match_index = progress ? progress->match_index : log_index();
    silent_ms = progress ? (host_.now() - progress->last_contact) / millisecond : -1;
  }
  return {one, voter_contact{standing, log_.last() - match_index, silent_ms}};
}

auto consensus::voter_statuses() const -> std::vector<voter_status> {
  auto rows = std::vector<voter_status>();
  for (const auto& one : log_.members().all())
    rows.push_back(is_leader() ? status_of(one, "voter") : voter_status{one, {}});
  if (!is_leader())
    return rows;
  for (const auto& learner : learners_)
    if (!log_.members().contains(learner))
      rows.push_back(status_of(learner, "enters"));
  return rows;
}

auto consensus::status() const -> value {
  auto report = raft_status();
  report.role = role_name();
  report.leader = leader_address_;
  report.term = log_.term;
  report.last_index = log_.last();
  report.commit_index = commit_index_;
  report.applied_index = applied_index_;
  report.snapshot_index = log_.snapshot_index();
  report.log_bytes = log_.bytes();
  report.voters = voter_statuses();
  report.membership_changing = is_leader() && (change_pending() || !learners_.empty());
  report.disk_id = self_.disk_id;
  return encode(report);
}

}  // namespace reachridge
