// Counts the votes of one election round. The campaign and its outstanding vote requests share the tally.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "raft/membership.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// What a voter answered to a vote request.
enum class vote_outcome {
  granted,
  rejected,
  different_disk,  // the reply came from another disk at the voter's address, so it is not the voter's
  no_reply,
};

// Records the replies to the vote requests of one election round.
class vote_tally {
 public:
  signal changed;  // signaled after each reply or failed request

  // Counts one more request that awaits its reply.
  auto add_request() -> void {
    ++outstanding_;
  }
  auto record(const voter& from, vote_outcome outcome) -> void {
    outcomes_[from] = outcome;
  }
  // Counts one request as finished, whether it was answered or failed.
  auto finish_request() -> void {
    --outstanding_;
    changed.wake();
  }
  [[nodiscard]] auto all_replied() const -> bool {
    return outstanding_ == 0;
  }
  // Returns whether a majority of `members` has granted its vote; a joint membership requires both majorities.
  [[nodiscard]] auto has_majority(const membership& members) const -> bool {
    return members.majority([&](const voter& member) {
      return outcome_of(member) == vote_outcome::granted;
    });
  }
  // Returns what each of `members` answered, for the log.
  [[nodiscard]] auto to_text(const std::vector<voter>& members) const -> std::string {
    auto text = std::string();
    for (const auto& member : members)
      text += (text.empty() ? "" : ", ") + member.address + " " + describe(outcome_of(member));
    return text;
  }

 private:
  [[nodiscard]] auto outcome_of(const voter& member) const -> vote_outcome {
    auto found = outcomes_.find(member);
    return found == outcomes_.end() ? vote_outcome::no_reply : found->second;
  }
  static auto describe(vote_outcome outcome) -> const char* {
    switch (outcome) {
      case vote_outcome::granted:
        return "granted";
      case vote_outcome::rejected:
        return "rejected";
      case vote_outcome::different_disk:
        return "has a different disk";
      case vote_outcome::no_reply:
        break;
    }
    return "did not reply";
  }

  std::map<voter, vote_outcome> outcomes_;
  std::size_t outstanding_ = 0;  // requests that are not finished yet
};

}  // namespace reachridge
