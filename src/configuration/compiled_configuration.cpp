#include "configuration/compiled_configuration.hpp"

#include <algorithm>
#include <functional>
#include <set>

namespace reachridge {
namespace {

// Returns whether a request passes the test in `step`. Routes and decisions are no tests and always pass.
auto passes(const rule_step& step, action requested, const std::string& caller, const std::string& topic,
            std::size_t bytes) -> bool {
  switch (step.kind) {
    case rule_step::kind::action:
      return (step.number & static_cast<std::int64_t>(requested)) != 0;
    case rule_step::kind::topic:
      return matches(step.pattern, topic);
    case rule_step::kind::caller:
      return matches(step.pattern, caller);
    case rule_step::kind::size:
      return bytes < static_cast<std::size_t>(step.number);
    default:
      return true;
  }
}

// Returns the topic that a route leads to, or the unchanged topic if the route does not match. The text matched by the
// '*' at the end of the pattern replaces the '*' at the end of the target.
auto follow_route(const rule_step& route, const std::string& topic) -> std::string {
  if (!matches(route.pattern, topic))
    return topic;
  const auto star = route.pattern.find('*');
  if (star == std::string::npos)
    return route.target;
  return route.target.substr(0, route.target.size() - 1) + topic.substr(star);
}

}  // namespace

auto compiled_configuration::decide(action requested, const std::string& caller, const std::string& topic,
                                    std::size_t bytes) const -> rule_decision {
  auto decision = rule_decision{false, topic, "no rule allows the request"};
  for (auto i = std::size_t{0}; i < rules.size();) {
    const auto& step = rules[i];
    if (step.kind == rule_step::kind::allow) {
      decision.allowed = true;
      return decision;
    }
    if (step.kind == rule_step::kind::deny) {
      decision.reason = "a rule denies the request";
      return decision;
    }
    if (step.kind == rule_step::kind::route)
      decision.topic = follow_route(step, decision.topic);
    i = passes(step, requested, caller, decision.topic, bytes) ? i + 1 : step.next_on_mismatch;
  }
  return decision;
}

auto compiled_configuration::index() -> void {
  pools.clear();
  prefixes_.clear();
  auto lengths = std::set<std::size_t, std::greater<>>();
  for (const auto& [name, current] : spaces) {
    auto& shared_pool = pools[current.pool];
    shared_pool.partitions = current.partitions;
    shared_pool.keep_ms = std::max(shared_pool.keep_ms, current.keep_ms);
    shared_pool.urgency = std::max(shared_pool.urgency, current.urgency);
    prefixes_[current.prefix] = name;
    lengths.insert(current.prefix.size());
  }
  prefix_lengths_.assign(lengths.begin(), lengths.end());
}

auto compiled_configuration::space_of(std::string_view topic) const -> const space* {
  for (auto length : prefix_lengths_) {
    if (length > topic.size())
      continue;
    const auto found = prefixes_.find(topic.substr(0, length));
    if (found != prefixes_.end())
      return &spaces.at(found->second);
  }
  return nullptr;
}

}  // namespace reachridge
