// The voters of the replicated log and their majorities. During a membership change by more than one voter, the voters
// before the change count as well (Raft, section 6: joint consensus; design 4.5).
#pragma once
#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace reachridge {

// Identifies a disk. A random identifier is assigned when a blank disk is first used, so that two disks used at the
// same address can be distinguished.
using disk_identifier = std::string;

// A voter is identified by its address and its disk: a different disk at the same address is a different voter.
struct voter {
  std::string address;
  disk_identifier disk_id;
  auto operator==(const voter&) const -> bool = default;
  auto operator<(const voter& other) const -> bool {
    return std::tie(address, disk_id) < std::tie(other.address, other.disk_id);
  }
};

// The voters of the log, with the computation of majorities.
class membership {
 public:
  std::vector<voter> voters;
  // The voters before a joint membership change; empty unless such a change is in progress. While this list is not
  // empty, decisions need a majority of both lists.
  std::vector<voter> outgoing;

  [[nodiscard]] auto empty() const -> bool {
    return voters.empty();
  }
  [[nodiscard]] auto joint() const -> bool {
    return !outgoing.empty();
  }
  [[nodiscard]] auto contains(const voter& candidate) const -> bool {
    return is_listed(voters, candidate) || is_listed(outgoing, candidate);
  }
  // Returns the union of both lists, without duplicates.
  [[nodiscard]] auto all() const -> std::vector<voter> {
    auto out = voters;
    for (const auto& member : outgoing)
      if (!is_listed(voters, member))
        out.push_back(member);
    return out;
  }
  // Returns the highest value that at least a majority of the voters has reached, where `value_of` gives the value of a
  // voter. In a joint membership a majority of both lists must have reached the value. Returns `none` without voters.
  template <class Value, class ValueOf>
  [[nodiscard]] auto majority_value(ValueOf value_of, Value none) const -> Value {
    auto out = majority_value_of(voters, value_of, none);
    return joint() ? std::min(out, majority_value_of(outgoing, value_of, none)) : out;
  }
  // Returns whether `agrees` holds for a majority of the voters; in a joint membership, for a majority of both lists.
  template <class Agrees>
  [[nodiscard]] auto majority(Agrees agrees) const -> bool {
    return majority_value(
               [&](const voter& member) {
                 return agrees(member) ? 1 : 0;
               },
               0) == 1;
  }
  auto operator==(const membership&) const -> bool = default;

 private:
  static auto is_listed(const std::vector<voter>& list, const voter& candidate) -> bool {
    return std::find(list.begin(), list.end(), candidate) != list.end();
  }
  // Sorts the values in descending order. The value in the middle is the highest that a majority has reached.
  template <class Value, class ValueOf>
  static auto majority_value_of(const std::vector<voter>& list, ValueOf value_of, Value none) -> Value {
    if (list.empty())
      return none;
    auto values = std::vector<Value>();
    for (const auto& member : list)
      values.push_back(value_of(member));
    std::sort(values.rbegin(), values.rend());
    return values[list.size() / 2];
  }
};

}  // namespace reachridge
