// Counts the votes of one election round. The campaign and its outstanding vote requests share the tally.
#pragma once
#include <cstddef>
#include <set>

#include "raft/membership.hpp"
#include "runtime/host.hpp"

namespace reachridge {

// Records the replies to the vote requests of one election round.
class vote_tally {
 public:
  signal changed;  // signaled after each reply or failed request

  // Counts one more request that awaits its reply.
  auto add_request() -> void {
    ++outstanding_;
  }
  auto add_vote(const voter& from) -> void {
    granted_.insert(from);
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
      return granted_.contains(member);
    });
  }

 private:
  std::set<voter> granted_;
  std::size_t outstanding_ = 0;  // requests that are not finished yet
};

}  // namespace reachridge
