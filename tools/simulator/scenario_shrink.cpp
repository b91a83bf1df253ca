#include "simulator/scenario_shrink.hpp"

#include <algorithm>
#include <vector>

#include "simulator/random_faults.hpp"
#include "simulator/scenario_reader.hpp"

namespace reachridge {
namespace {

constexpr auto time_grid = 10 * millisecond;  // scenario files state times in hundredths of a second
constexpr auto minimum_cut = 2 * second;
constexpr auto minimum_length = 5 * second;

// Returns the first rule that a run violates, or an empty text if the run passes.
auto first_violated_rule(const scenario& definition, std::uint64_t seed) -> std::string {
  auto result = run_scenario(definition, seed);
  if (result.violations.empty())
    return {};
  const auto& first = result.violations[0];
  return first.substr(0, first.find(':'));
}

// Shrinks one scenario in place. Each candidate is kept only if its run violates the same first rule.
class shrinker {
 public:
  shrinker(scenario& definition, std::uint64_t seed)
      : scenario_(definition), seed_(seed), rule_(first_violated_rule(definition, seed)) {}
  [[nodiscard]] auto rule() const -> const std::string& {
    return rule_;
  }

  // Shortens the run as long as the rule stays violated. Faults after the new end are removed.
  auto shorten_run() -> void {
    for (auto cut = scenario_.length / 2; cut >= minimum_cut; cut /= 2) {
      auto candidate = scenario_;
      candidate.length = (candidate.length - cut) / time_grid * time_grid;
      std::erase_if(candidate.faults, [&](const auto& fault) {
        return fault.earliest >= candidate.length;
      });
      if (candidate.length > minimum_length)
        keep_if_still_violated(candidate);
    }
  }
  // Removes `count` consecutive faults wherever the rule stays violated without them.
  auto remove_faults(std::size_t count) -> void {
    for (auto first = std::size_t{0}; first < scenario_.faults.size();) {
      auto candidate = scenario_;
      auto last = std::min(candidate.faults.size(), first + count);
      candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(first),
                             candidate.faults.begin() + static_cast<std::ptrdiff_t>(last));
      if (!keep_if_still_violated(candidate))
        first += count;
    }
  }

 private:
  auto keep_if_still_violated(const scenario& candidate) -> bool {
    if (first_violated_rule(candidate, seed_) != rule_)
      return false;
    scenario_ = candidate;
    return true;
  }
  scenario& scenario_;
  std::uint64_t seed_;
  std::string rule_;
};

}  // namespace

auto shrink(scenario definition, std::uint64_t seed, const std::function<void(const std::string&)>& report)
    -> scenario {
  definition.faults = all_faults(definition, seed);
  definition.random_fault_interval = 0;
  definition.expected_counts.clear();
  auto reduction = shrinker(definition, seed);
  if (reduction.rule().empty())
    throw request_error(errc::nothing_to_shrink,
                        "seed " + std::to_string(seed) + " breaks nothing: a run that passes cannot be shrunk");
  sort_by_time(definition.faults);
  reduction.shorten_run();
  auto count = std::max<std::size_t>(1, definition.faults.size() / 2);
  while (true) {
    reduction.remove_faults(count);
    report(reduction.rule() + ": " + std::to_string(definition.faults.size()) + " faults in " +
           format_seconds(definition.length) + " s");
    if (count <= 1)
      return definition;
    count /= 2;
  }
}

}  // namespace reachridge
