// Strong integer types for Raft terms and log indexes. The compiler rejects an index where a term is expected.
#pragma once
#include <cstdint>
#include <string>

namespace reachridge {

// A 64-bit integer that is distinct for each Tag. Integer literals and counts convert to strong_integer implicitly, but
// two strong_integer types with different tags do not mix. Converting back to an integer requires get() or a cast.
template <class Tag>
class strong_integer {
 public:
  constexpr strong_integer() = default;
  constexpr strong_integer(std::int64_t number) : number_(number) {}  // implicit, for `index > 0` and `term + 1`

  [[nodiscard]] constexpr auto get() const -> std::int64_t {
    return number_;
  }
  constexpr explicit operator std::int64_t() const {
    return number_;
  }

  constexpr auto operator++() -> strong_integer& {
    ++number_;
    return *this;
  }
  constexpr auto operator--() -> strong_integer& {
    --number_;
    return *this;
  }
  friend constexpr auto operator+(strong_integer number, std::int64_t count) -> strong_integer {
    return number.number_ + count;
  }
  friend constexpr auto operator-(strong_integer number, std::int64_t count) -> strong_integer {
    return number.number_ - count;
  }
  // Returns the distance between two numbers as a plain integer.
  friend constexpr auto operator-(strong_integer left, strong_integer right) -> std::int64_t {
    return left.number_ - right.number_;
  }
  friend constexpr auto operator<(strong_integer left, strong_integer right) -> bool {
    return left.number_ < right.number_;
  }
  friend constexpr auto operator>(strong_integer left, strong_integer right) -> bool {
    return right < left;
  }
  friend constexpr auto operator<=(strong_integer left, strong_integer right) -> bool {
    return !(right < left);
  }
  friend constexpr auto operator>=(strong_integer left, strong_integer right) -> bool {
    return !(left < right);
  }
  friend constexpr auto operator==(strong_integer, strong_integer) -> bool = default;

 private:
  std::int64_t number_ = 0;
};

template <class Tag>
auto to_string(strong_integer<Tag> number) -> std::string {
  return std::to_string(number.get());
}

// A Raft term (Raft, section 5.1). Each election starts a higher term, and a term has at most one leader.
using term_number = strong_integer<struct term_tag>;
// The position of an entry in the log. The first entry has index 1; index 0 denotes the position before the first
// entry.
using log_index = strong_integer<struct index_tag>;

// Returned as the term of an entry that is not in the log: a snapshot has replaced the entry, or the entry is beyond
// the end of the log.
constexpr auto unknown_term = term_number(-1);

}  // namespace reachridge
