// statediff: compares the /status reports of two nodes, measures how long each difference lasts and reports the
// differences that violate an invariant (docs/operators.md). Prints one line for each difference, or JSON.
#include <popt.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

#include "runtime/ev_host.hpp"
#include "runtime/http.hpp"
#include "runtime/settings.hpp"
#include "statediff/state_difference.hpp"

namespace reachridge {
namespace {

// Exit statuses in order of severity, except `usage` and `unreached`: they mean that no comparison took place.
enum exit_status : int { same = 0, differs = 1, usage = 2, unreached = 3, violates = 4 };

constexpr auto request_timeout = 3 * second;
constexpr auto poll_interval = 250 * millisecond;

// Command line options.
struct options {
  std::string left_address;
  std::string right_address;
  int watch_s = 4;
  int json = 0;  // popt sets this to 1 if the option is given
};

// Holds the differences of the latest comparison and the time at which each was first seen.
class difference_history {
 public:
  // Replaces the differences. A difference with a known description keeps the time of its first observation.
  auto update(std::vector<difference> latest, monotonic_time now) -> void {
    auto remaining = std::map<std::string, monotonic_time>();
    for (const auto& item : latest) {
      auto earlier = first_seen_.find(item.description);
      remaining[item.description] = earlier == first_seen_.end() ? now : earlier->second;
    }
    first_seen_ = std::move(remaining);
    latest_ = std::move(latest);
  }
  [[nodiscard]] auto empty() const -> bool {
    return latest_.empty();
  }
  // Writes the differences to stdout and returns the status of the most severe one.
  [[nodiscard]] auto report(monotonic_time now, bool json) const -> exit_status {
    auto status = same;
    auto json_rows = array();
    for (const auto& item : latest_) {
      auto age_ms = (now - first_seen_.at(item.description)) / millisecond;
      auto violation = item.violation || (item.allowed_ms >= 0 && age_ms > item.allowed_ms);
      status = std::max(status, violation ? violates : differs);
      if (json)
        json_rows.push_back(object{{"what", item.description},
                                   {"left", item.left},
                                   {"right", item.right},
                                   {"age_ms", age_ms},
                                   {"breaks_rule", violation}});
      else
        std::cout << item.description << ": " << item.left << " | " << item.right << "  for " << age_ms << " ms"
                  << (violation ? "  VIOLATES AN INVARIANT" : "") << '\n';
    }
    if (json)
      std::cout << to_json(json_rows) << '\n';
    else if (latest_.empty())
      std::cout << "the nodes agree\n";
    return status;
  }

 private:
  std::vector<difference> latest_;
  std::map<std::string, monotonic_time> first_seen_;  // by description
};

// Returns the address of the first node that did not answer, or no value if both answered.
auto unreached_address(const options& chosen, const http_reply& left, const http_reply& right)
    -> std::optional<std::string> {
  if (left.status != 200)
    return chosen.left_address;
  if (right.status != 200)
    return chosen.right_address;
  return {};
}

// Compares the nodes repeatedly until they agree or the watch time is over, reports the differences and stops the event
// loop.
auto watch_differences(ev_host& host, options chosen, int& status) -> task<void> {
  auto history = difference_history();
  auto started_at = host.now();
  while (true) {
    auto left = co_await fetch(host, chosen.left_address, "GET", "/status", "", host.now() + request_timeout);
    auto right = co_await fetch(host, chosen.right_address, "GET", "/status", "", host.now() + request_timeout);
    if (auto address = unreached_address(chosen, left, right)) {
      std::cerr << *address << " does not answer\n";
      status = unreached;
      host.end();
      co_return;
    }
    history.update(compare(left.body, right.body), host.now());
    auto time_is_over = host.now() - started_at >= chosen.watch_s * second;
    if (history.empty() || time_is_over)
      break;
    co_await sleep_for(host, poll_interval);
  }
  status = history.report(host.now(), chosen.json != 0);
  host.end();
}

// Parses the command line. Returns no value and writes an error to stderr if the command line is invalid.
auto parse_options(int argc, const char** argv) -> std::optional<options> {
  auto chosen = options();
  poptOption table[] = {
      {"for", 'f', POPT_ARG_INT, &chosen.watch_s, 0, "seconds to watch lasting differences (default 4)", "S"},
      {"json", 'j', POPT_ARG_NONE, &chosen.json, 0, "print JSON", nullptr},
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  auto context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>(
      poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(),
                         "IP:PORT IP:PORT\n  exit: 0 the nodes agree, 1 they differ, 2 wrong usage, 3 a node did not "
                         "answer, 4 an invariant is violated");
  if (auto result = poptGetNextOpt(context.get()); result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << '\n';
    return {};
  }
  const auto* left = poptGetArg(context.get());
  const auto* right = poptGetArg(context.get());
  auto two_arguments = left && right && !poptGetArg(context.get());
  if (!two_arguments || !is_address(left) || !is_address(right)) {
    std::cerr << "statediff: expects the HTTP addresses (IP:PORT) of two nodes\n";
    return {};
  }
  chosen.left_address = left;
  chosen.right_address = right;
  return chosen;
}

}  // namespace
}  // namespace reachridge

auto main(int argc, const char** argv) -> int {
  using namespace reachridge;
  auto chosen = parse_options(argc, argv);
  if (!chosen)
    return usage;
  auto host = ev_host("");
  auto tasks = task_group(host);
  auto status = static_cast<int>(unreached);
  tasks.spawn(watch_differences(host, *chosen, status));
  host.run();
  return status;
}
