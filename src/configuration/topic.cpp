#include "configuration/topic.hpp"

#include <algorithm>

namespace reachridge {
namespace {

constexpr auto max_topic_bytes = std::size_t{200};
constexpr auto partition_hash_shift = 16;

// Constants of the FNV-1a hash, and of a final multiplication that spreads the low bits over the whole word.
constexpr auto fnv_offset_basis = std::uint64_t{1469598103934665603ULL};
constexpr auto fnv_prime = std::uint64_t{1099511628211ULL};
constexpr auto spreading_factor = std::uint64_t{0x9E3779B97F4A7C15ULL};

}  // namespace

auto is_topic(const std::string& text) -> bool {
  if (text.empty() || text.size() > max_topic_bytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character > ' ' && character < 0x7f;
  });
}

// Greedy matching without recursion: each '*' first matches the empty string. On a mismatch, the last '*' is extended
// by one character and the comparison resumes after it.
auto matches(const std::string& pattern, const std::string& text) -> bool {
  auto pattern_index = std::size_t{0};
  auto text_index = std::size_t{0};
  auto last_star = std::string::npos;
  auto star_match_end = std::size_t{0};  // index in `text` after the characters matched by the last star
  while (text_index < text.size()) {
    if (pattern_index < pattern.size() && pattern[pattern_index] == '*') {
      last_star = pattern_index++;
      star_match_end = text_index;
    } else if (pattern_index < pattern.size() && pattern[pattern_index] == text[text_index]) {
      ++pattern_index;
      ++text_index;
    } else if (last_star != std::string::npos) {
      pattern_index = last_star + 1;
      text_index = ++star_match_end;
    } else {
      return false;
    }
  }
  return pattern.find_first_not_of('*', pattern_index) == std::string::npos;
}

auto partition_of(const space& topic_space, const std::string& topic) -> std::string {
  const auto number = (hash64(topic) >> partition_hash_shift) % static_cast<std::uint64_t>(topic_space.partitions);
  return topic_space.pool + "/" + std::to_string(number);
}

auto hash64(const std::string& text) -> std::uint64_t {
  auto hash = fnv_offset_basis;
  for (auto character : text)
    hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
  hash ^= hash >> 32;
  return hash * spreading_factor;
}

}  // namespace reachridge
