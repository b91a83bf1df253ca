// A digest of one simulated run (design 9.2). Two runs that send the same bytes at the same times and write the same
// batches to their disks have the same digest.
#pragma once
#include <cstdint>
#include <string_view>

namespace reachridge {

// A 64-bit FNV-1a hash over a sequence of numbers and byte strings. Each string is preceded by its length, so that
// ("ab", "c") and ("a", "bc") differ. The simulated network owns the digest and adds every frame and every batch; the
// value is read after the run.
class run_digest {
 public:
  auto add(std::string_view bytes) -> void {
    add(bytes.size());
    for (auto byte : bytes)
      add_byte(static_cast<std::uint8_t>(byte));
  }
  auto add(std::uint64_t number) -> void {
    for (auto shift = 0; shift < 64; shift += 8)
      add_byte(static_cast<std::uint8_t>(number >> shift));
  }
  [[nodiscard]] auto value() const -> std::uint64_t {
    return hash_;
  }

 private:
  auto add_byte(std::uint8_t byte) -> void {
    constexpr auto prime = std::uint64_t{0x100000001b3};
    hash_ = (hash_ ^ byte) * prime;
  }
  std::uint64_t hash_ = 0xcbf29ce484222325;  // FNV offset basis
};

}  // namespace reachridge
