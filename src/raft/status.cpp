// The status of the replicated log for the /status page.
#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {

auto consensus::role_name() const -> const char* {
  if (is_leader())
    return "leader";
  if (role_ == replica_role::candidate)
    return "candidate";
  return may_vote() ? "follower" : "learner";
}

// Only the leader knows the replication state of each voter; other replicas report the voters alone.
auto consensus::status_of(const voter& member, const char* membership_state) const -> voter_status {
  auto match_index = log_.durable_index;
  auto silent_ms = std::int64_t{0};
  if (member != local_voter_) {
    const auto* progress = progress_of(member);
    match_index = progress ? progress->match_index : log_index();
    silent_ms = progress ? (host_.now() - progress->last_contact) / millisecond : -1;
  }
  return {member, voter_contact{membership_state, log_.last() - match_index, silent_ms}};
}

auto consensus::voter_statuses() const -> std::vector<voter_status> {
  auto statuses = std::vector<voter_status>();
  for (const auto& member : log_.members().all())
    statuses.push_back(is_leader() ? status_of(member, "voter") : voter_status{member, {}});
  if (!is_leader())
    return statuses;
  for (const auto& learner : learners_)
    if (!log_.members().contains(learner))
      statuses.push_back(status_of(learner, "enters"));
  return statuses;
}

// Logs what this replica has found on its disk at its start.
auto consensus::log_loaded_state() const -> void {
  auto text = "disk " + local_voter_.disk_id + ": ";
  if (log_.members().empty()) {
    text += "no replicated log yet, not a voter";
  } else {
    text += "replicated log up to entry " + to_string(log_.last()) + " of term " + to_string(log_.term_at(log_.last()));
    text += ", term " + to_string(log_.term) + ", " + (may_vote() ? "one" : "not one") + " of " +
            std::to_string(voters().size()) + " voters";
  }
  reachridge::log(log_level::info, settings_.name, text);
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
  report.disk_id = local_voter_.disk_id;
  return encode(report);
}

}  // namespace reachridge
