#include "local_cluster/linearizability.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace reachridge {
namespace {

// State of one object. Configuration: number and content of the newest one. Node or zone: the kind of its drain in
// `content`, empty if it has none.
struct object_state {
  std::int64_t number = 0;
  std::string content;
  auto operator<(const object_state& other) const -> bool {
    return std::tie(number, content) < std::tie(other.number, other.content);
  }
};

auto is_read(const operator_order& order) -> bool {
  return order.kind == order_kind::read_configuration || order.kind == order_kind::read_drain;
}
auto leaves_state_unchanged(const operator_order& order) -> bool {
  return is_read(order) || order.outcome == order_outcome::refused;
}

// An order in a search. An optional order may be left out of the explanation.
struct candidate {
  operator_order order;
  bool optional = false;
};
auto make_candidates(const std::vector<operator_order>& orders) -> std::vector<candidate> {
  auto out = std::vector<candidate>();
  for (const auto& order : orders)
    out.push_back({order, order.outcome == order_outcome::unknown});
  return out;
}

auto state_after_put(const object_state& state, const operator_order& order) -> std::optional<object_state> {
  if (order.number > state.number)
    return object_state{order.number, order.content};
  if (order.number == state.number && order.content == state.content)
    return state;
  return {};
}
auto state_after_begin(const object_state& state, const operator_order& order) -> std::optional<object_state> {
  if (state.content == "retire" && order.content != "retire")
    return {};
  return object_state{0, order.content};
}

// Returns the state after an order is carried out, or no value if the order is not possible in this state.
auto state_after(const object_state& state, const operator_order& order) -> std::optional<object_state> {
  switch (order.kind) {
    case order_kind::put_configuration:
      return state_after_put(state, order);
    case order_kind::order_drain:
      return state_after_begin(state, order);
    case order_kind::withdraw_drain:
      return object_state{};
    case order_kind::read_configuration:
    case order_kind::read_drain:
      if (order.number != state.number || order.content != state.content)
        return {};
      return state;
  }
  return {};
}

// Tells whether the state of the object justifies refusing the order.
auto may_refuse(const object_state& state, const operator_order& order) -> bool {
  if (order.kind == order_kind::withdraw_drain)
    return state.content == "retire";
  return !state_after(state, order);
}

auto apply_order(const object_state& state, const operator_order& order) -> std::optional<object_state> {
  if (order.outcome != order_outcome::refused)
    return state_after(state, order);
  if (!may_refuse(state, order))
    return {};
  return state;
}

// Searches depth first for a sequence that explains the history of one object. Visited states are not searched again.
class explanation_search {
 public:
  explanation_search(const std::vector<candidate>& orders, const order_rules& rules)
      : orders_(orders), rules_(rules), done_(orders.size(), false) {}
  auto run() -> bool {
    return explain({});
  }

 private:
  [[nodiscard]] auto all_required_done() const -> bool {
    for (auto i = std::size_t{0}; i < orders_.size(); ++i)
      if (!done_[i] && !orders_[i].optional)
        return false;
    return true;
  }
  // Returns the latest time at which an order may have been called to come next in the sequence.
  [[nodiscard]] auto earliest_end() const -> std::int64_t {
    auto end = std::numeric_limits<std::int64_t>::max();
    for (auto i = std::size_t{0}; i < orders_.size(); ++i)
      if (!done_[i] && !orders_[i].optional)
        end = std::min(end, orders_[i].order.returned);
    return end;
  }
  // Tells whether an optional order can no longer be carried out: the order ended, or timed out and is fenced, before
  // the call of an order that the sequence already contains.
  [[nodiscard]] auto is_too_late(const candidate& item) const -> bool {
    if (!item.optional)
      return false;
    auto unanswered = item.order.outcome == order_outcome::unknown;
    if (unanswered && !rules_.given_up_orders_are_fenced)
      return false;
    for (auto i = std::size_t{0}; i < orders_.size(); ++i) {
      const auto& other = orders_[i].order;
      auto fences = other.outcome == order_outcome::confirmed && !leaves_state_unchanged(other);
      if (done_[i] && (fences || !unanswered) && other.called > item.order.returned)
        return true;
    }
    return false;
  }
  // Marks the orders that need no further search: in the sequence already, or timed out and too late.
  [[nodiscard]] auto settled() const -> std::vector<bool> {
    auto out = done_;
    for (auto i = std::size_t{0}; i < orders_.size(); ++i)
      if (orders_[i].order.outcome == order_outcome::unknown && is_too_late(orders_[i]))
        out[i] = true;
    return out;
  }
  auto explain(const object_state& state) -> bool {
    if (all_required_done())
      return true;
    if (!visited_.emplace(settled(), state).second)
      return false;
    auto end = earliest_end();
    for (auto i = std::size_t{0}; i < orders_.size(); ++i) {
      if (done_[i] || orders_[i].order.called > end || is_too_late(orders_[i]))
        continue;
      auto next = apply_order(state, orders_[i].order);
      if (!next)
        continue;
      done_[i] = true;
      auto explained = explain(*next);
      done_[i] = false;
      if (explained)
        return true;
    }
    return false;
  }
  const std::vector<candidate>& orders_;
  const order_rules& rules_;
  std::vector<bool> done_;
  std::set<std::pair<std::vector<bool>, object_state>> visited_;
};

auto explained(const std::vector<candidate>& orders, const order_rules& rules) -> bool {
  return explanation_search(orders, rules).run();
}
auto explained(const std::vector<operator_order>& orders, const order_rules& rules) -> bool {
  return explained(make_candidates(orders), rules);
}

// Returns the orders called until `end`. Changes answered after `end` count as unanswered; reads and refusals answered
// after `end` are left out.
auto orders_until(const std::vector<operator_order>& orders, std::int64_t end) -> std::vector<operator_order> {
  auto out = std::vector<operator_order>();
  for (auto order : orders) {
    if (order.called > end)
      continue;
    if (order.returned > end && leaves_state_unchanged(order))
      continue;
    if (order.returned > end)
      order.outcome = order_outcome::unknown;
    out.push_back(order);
  }
  return out;
}

// Returns the shortest prefix in time of the history that has no explanation.
auto shortest_prefix(const std::vector<operator_order>& orders, const order_rules& rules)
    -> std::vector<operator_order> {
  auto ends = std::set<std::int64_t>();
  for (const auto& order : orders)
    ends.insert(order.returned);
  for (auto end : ends)
    if (auto prefix = orders_until(orders, end); !explained(prefix, rules))
      return prefix;
  return orders;
}

// Tells whether the change could have produced the state that the read observed.
auto could_explain(const operator_order& change, const operator_order& read) -> bool {
  auto clears_content = change.kind == order_kind::withdraw_drain;
  return clears_content ? read.content.empty() : change.content == read.content && change.number == read.number;
}

// Removes the orders that are not needed for the contradiction. A change is removed only if the contradiction remains
// when the change is optional. Optional changes remain candidates for an explanation until the end.
auto minimize(std::vector<operator_order> orders, const order_rules& rules) -> std::vector<operator_order> {
  for (auto index = std::size_t{0}; index < orders.size();) {
    auto shortened = orders;
    shortened.erase(shortened.begin() + static_cast<std::ptrdiff_t>(index));
    if (leaves_state_unchanged(orders[index]) && !explained(shortened, rules))
      orders = shortened;
    else
      ++index;
  }
  auto relaxed = make_candidates(orders);
  for (auto& entry : relaxed) {
    if (leaves_state_unchanged(entry.order) || entry.optional)
      continue;
    entry.optional = true;
    if (explained(relaxed, rules))
      entry.optional = false;
  }
  auto part = std::vector<operator_order>();
  for (const auto& entry : relaxed) {
    auto is_explained_read = [&](const auto& other) {
      return is_read(other.order) && could_explain(entry.order, other.order);
    };
    auto unanswered = entry.order.outcome == order_outcome::unknown;
    if (!entry.optional || (unanswered && std::any_of(relaxed.begin(), relaxed.end(), is_explained_read)))
      part.push_back(entry.order);
  }
  return part;
}

}  // namespace

auto find_unexplained(const std::vector<operator_order>& history, const order_rules& rules)
    -> std::optional<unexplained_history> {
  auto by_object = std::map<std::string, std::vector<operator_order>>();
  for (const auto& order : history)
    if (!is_read(order) || order.outcome == order_outcome::confirmed)
      by_object[order.object].push_back(order);
  for (auto& [object, orders] : by_object) {
    if (explained(orders, rules))
      continue;
    return unexplained_history{object, minimize(shortest_prefix(orders, rules), rules)};
  }
  return {};
}

auto to_text(const operator_order& order) -> std::string {
  auto out = std::to_string(order.called) + "-" + std::to_string(order.returned) + " ms  " + order.client + "  ";
  switch (order.kind) {
    case order_kind::put_configuration:
      out += "puts configuration " + std::to_string(order.number) + " (" + order.content + ")";
      break;
    case order_kind::read_configuration:
      out += "reads configuration " + std::to_string(order.number) + " (" + order.content + ")";
      break;
    case order_kind::order_drain:
      out += "starts drain of " + order.object + ": " + order.content;
      break;
    case order_kind::withdraw_drain:
      out += "cancels the drain of " + order.object;
      break;
    case order_kind::read_drain:
      out += "reads the drain of " + order.object + ": " + (order.content.empty() ? "none" : order.content);
      break;
  }
  if (is_read(order))
    return out;
  if (order.outcome == order_outcome::confirmed)
    return out + ": confirmed";
  return out + (order.outcome == order_outcome::refused ? ": refused" : ": no clear answer");
}

auto to_text(const unexplained_history& part) -> std::string {
  auto out = "no sequence of these calls on " + part.object + " explains their answers:\n";
  for (const auto& order : part.orders)
    out += "  " + to_text(order) + "\n";
  return out;
}

}  // namespace reachridge
