#include "simulator/run_digest.hpp"

#include "simulator/scenario_reader.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace reachridge;

TEST_GROUP(run_digest_tests){};

namespace {
auto digest_of(const std::string& scenario, std::uint64_t seed) -> std::uint64_t {
  return run_scenario(read_scenario(std::string(REACHRIDGE_SOURCE) + "/scenarios/" + scenario + ".txt"), seed).digest;
}
}  // namespace

TEST(run_digest_tests, starts_with_the_fnv_offset_and_depends_on_the_number) {
  auto digest = run_digest();
  CHECK(digest.value() == 0xcbf29ce484222325);  // FNV-1a of no input
  auto first_digest = run_digest();
  first_digest.add(std::uint64_t{1});
  auto second_digest = run_digest();
  second_digest.add(std::uint64_t{2});
  CHECK(first_digest.value() != second_digest.value());
}

TEST(run_digest_tests, string_boundaries_change_the_digest) {
  auto first_digest = run_digest();
  first_digest.add("ab");
  first_digest.add("c");
  auto second_digest = run_digest();
  second_digest.add("a");
  second_digest.add("bc");
  CHECK(first_digest.value() != second_digest.value());
}

TEST(run_digest_tests, equal_seeds_give_equal_digests_and_different_seeds_different_ones) {
  auto first = digest_of("kill-primary", 3);
  CHECK(first == digest_of("kill-primary", 3));
  CHECK(first != digest_of("kill-primary", 4));
}
