// Terms and log indexes: numbers of types of their own, so that the compiler refuses one in the place of the other.
#pragma once
#include <cstdint>
#include <string>

namespace reachridge {

// An integer that mixes with literals and plain counts, but not with a strong integer of another tag. It becomes a
// plain integer again only where that is written out, with get().
template <class Tag>
class strong_integer {
 public:
  constexpr strong_integer() = default;
  constexpr strong_integer(std::int64_t number) : number_(number) {}  // implicit: `index > 0`, `term + 1`

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
  // The distance between two numbers is a plain count.
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

// A term of leadership (Raft, section 5.1): it grows with each election and has one leader at most.
using term_number = strong_integer<struct term_tag>;
// The position of an entry in the log. The first entry is 1; 0 stands before it.
using log_index = strong_integer<struct index_tag>;

// The term of an entry that is not known: it is behind a snapshot, or beyond the end of the log.
constexpr auto unknown_term = term_number(-1);

}  // namespace reachridge
