#include "local_cluster/consistency_checker.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace reachridge {
namespace {

// All times and durations are in milliseconds since the start of the run.
constexpr auto recovery_ms = std::int64_t{12000};       // limit for answers after the last fault
constexpr auto in_force_ms = std::int64_t{3000};        // from a report "in force" until every probe must show it
constexpr auto read_order_ms = std::int64_t{250};       // probes of a node further apart must not go backwards
constexpr auto repeat_window_ms = std::int64_t{10000};  // a repeat of an accepted publish must be acknowledged
constexpr auto reconnect_ms = std::int64_t{3000};       // a missing connection excuses what is due within this time

// One publish with all its attempts. -1: not yet known.
struct observed_publish {
  std::string body;
  std::int64_t first_attempt = -1, position = -1, acknowledged_at = -1;
  int attempts = 0, refusals = 0;
};

// One subscription of a client to a topic, including its resumes.
struct observed_subscriber {
  bool subscribed = false;
  std::int64_t since = 0, position = -1;
  std::set<std::pair<std::string, std::int64_t>> received;  // by sender and sequence
  std::map<std::string, std::int64_t> highest_sequence;     // by sender
};

// Identifies a publish: a sender numbers its publishes on each topic.
struct publish_key {
  std::string topic, sender;
  std::int64_t sequence = 0;
  auto operator<(const publish_key& other) const -> bool {
    return std::tie(topic, sender, sequence) < std::tie(other.topic, other.sender, other.sequence);
  }
};
struct subscription_key {
  std::string subscriber, topic;
  auto operator<(const subscription_key& other) const -> bool {
    return std::tie(subscriber, topic) < std::tie(other.subscriber, other.topic);
  }
};

// A message that a subscriber received.
struct delivery {
  std::string subscriber;
  publish_key publish;
  std::int64_t at = 0;
};
// A configuration that was acknowledged, reported in force, or observed by a probe.
struct observed_version {
  std::int64_t at = 0, number = 0;
  std::string content_sum;
};
// The time from the end of one fault to the beginning of the next.
struct fault_free_span {
  std::int64_t from = 0, to = 0;
};

auto get_space(const std::string& topic) -> std::string {
  return topic.substr(0, topic.find('/'));
}

auto to_text(const publish_key& key) -> std::string {
  return key.topic + " from " + key.sender + " #" + std::to_string(key.sequence);
}

auto get_key(const value& event) -> publish_key {
  return {get_string(event, "topic"), get_string(event, "who"), get_int(event, "seq")};
}

// Processes the events in order of time and keeps the state against which each guarantee is checked.
class history_checker {
 public:
  auto process(const value& event) -> void;
  std::vector<violation> violations;

 private:
  using handler = void (history_checker::*)(const value&);
  static auto handlers() -> const std::map<std::string, handler>&;

  auto report(const char* rule, std::string detail) -> void {
    violations.push_back({rule, std::move(detail)});
  }

  // Settings of the run.
  auto on_space(const value& event) -> void {
    retention_s_[get_string(event, "name")] = get_int(event, "keep_s");
  }
  auto on_budget(const value& event) -> void {
    budgets_ms_[get_string(event, "space")] = get_int(event, "ms");
  }
  auto on_apply_bound(const value& event) -> void {
    apply_ms_ = get_int(event, "ms");
  }
  [[nodiscard]] auto retention_ms(const std::string& topic) const -> std::int64_t;
  [[nodiscard]] auto budget_ms(const std::string& topic) const -> std::int64_t;

  // Publishes and subscriptions.
  auto on_attempt(const value& event) -> void;
  auto on_answer(const value& event) -> void;
  auto on_acknowledgement(const value& event, observed_publish& publish) -> void;
  auto on_subscribe(const value& event) -> void;
  auto on_subscribed(const value& event) -> void;
  auto on_unsubscribe(const value& event) -> void;
  auto on_expired(const value& event) -> void;
  auto on_delivery(const value& event) -> void;
  auto check_content(const delivery& received_message, const std::string& body, const std::string& description) -> void;
  auto check_order(const delivery& received_message, std::int64_t position, const std::string& description) -> void;
  auto check_position(const publish_key& key, std::int64_t position, const std::string& description) -> void;
  [[nodiscard]] auto may_have_expired(const publish_key& key, const observed_publish& publish, std::int64_t after,
                                      std::int64_t at) const -> bool;
  static auto end_subscription(const observed_subscriber& subscriber) -> observed_subscriber;

  // Configurations and drains behave as registers: a read returns a state at least as new as the newest state that was
  // acknowledged before the read began.
  auto on_in_force(const value& event) -> void {
    in_force_.push_back({event_time_, get_int(event, "number"), {}});
  }
  auto on_acknowledged_configuration(const value& event) -> void;
  auto on_probe(const value& event) -> void;
  auto on_read_back(const value& event) -> void;
  auto on_drained(const value& event) -> void {
    drained_.emplace_back(event_time_, get_string(event, "name"));
  }
  auto on_drains_read(const value& event) -> void;

  // Recovery after faults.
  auto on_fault(const value& event) -> void;
  auto on_faults_ended(const value& event) -> void;
  auto on_connecting(const value& event) -> void;
  auto on_connected(const value& event) -> void {
    finish_waiting("link of " + get_string_or(event, "who"));
  }
  auto on_call(const value& event) -> void {
    start_waiting(get_string(event, "what"));
  }
  auto on_call_answered(const value& event) -> void {
    finish_waiting(get_string(event, "what"));
  }
  auto start_waiting(const std::string& request) -> void {
    pending_requests_.emplace(request, event_time_);
  }
  auto finish_waiting(const std::string& request) -> void;
  auto check_overdue(const std::string& request, std::int64_t since) -> void;
  auto check_all_overdue() -> void;

  // Checks at the end of the run.
  auto on_end(const value& event) -> void;
  auto check_publish_at_end(const publish_key& key, const observed_publish& publish, std::int64_t quiet_ms) -> void;
  auto check_acknowledgement_budgets() -> void;
  auto check_delivery_budgets() -> void;
  [[nodiscard]] auto is_fault_free_between(std::int64_t from, std::int64_t to) const -> bool;
  [[nodiscard]] auto was_disconnected(const std::string& client, std::int64_t from, std::int64_t to) const -> bool;

  std::int64_t event_time_ = 0;                                   // time of the current event
  std::int64_t latest_time_ = 0;                                  // latest time of any event
  std::map<std::string, std::int64_t> retention_s_, budgets_ms_;  // by space
  std::int64_t apply_ms_ = -1;
  std::map<publish_key, observed_publish> publishes_;
  std::map<subscription_key, observed_subscriber> subscribers_;
  // Sender and sequence of each message, by topic and position.
  std::map<std::pair<std::string, std::int64_t>, std::pair<std::string, std::int64_t>> messages_by_position_;
  std::map<publish_key, std::int64_t> positions_;
  std::vector<delivery> deliveries_;
  std::vector<observed_version> in_force_, acknowledged_;
  std::map<std::string, std::vector<observed_version>> probes_;  // by node
  std::vector<std::pair<std::int64_t, std::string>> drained_;
  std::map<std::string, std::int64_t> pending_requests_;  // start time by description of the request
  // Times at which each client started to look for a connection.
  std::map<std::string, std::vector<std::int64_t>> connecting_since_;
  std::vector<fault_free_span> fault_free_spans_;
  bool is_fault_free_ = true;
  std::int64_t faults_ended_at_ = 0;
};

auto history_checker::handlers() -> const std::map<std::string, handler>& {
  using checker = history_checker;
  static const auto table = std::map<std::string, handler>{
      {"space", &checker::on_space},       {"budget", &checker::on_budget},
      {"apply", &checker::on_apply_bound}, {"try", &checker::on_attempt},
      {"verdict", &checker::on_answer},    {"sub", &checker::on_subscribe},
      {"subbed", &checker::on_subscribed}, {"unsub", &checker::on_unsubscribe},
      {"gone", &checker::on_expired},      {"got", &checker::on_delivery},
      {"held", &checker::on_in_force},     {"put", &checker::on_acknowledged_configuration},
      {"probe", &checker::on_probe},       {"newest", &checker::on_read_back},
      {"left", &checker::on_drained},      {"leaves", &checker::on_drains_read},
      {"hurt", &checker::on_fault},        {"mend", &checker::on_faults_ended},
      {"seek", &checker::on_connecting},   {"linked", &checker::on_connected},
      {"ask", &checker::on_call},          {"told", &checker::on_call_answered},
      {"end", &checker::on_end},
  };
  return table;
}

auto history_checker::process(const value& event) -> void {
  event_time_ = get_int_or(event, "t", 0);
  latest_time_ = std::max(latest_time_, event_time_);
  auto found = handlers().find(get_string(event, "e"));
  if (found != handlers().end())
    (this->*found->second)(event);
}

auto history_checker::retention_ms(const std::string& topic) const -> std::int64_t {
  auto found = retention_s_.find(get_space(topic));
  return found == retention_s_.end() ? 0 : found->second * 1000;
}

// Returns -1 if the space has no budget.
auto history_checker::budget_ms(const std::string& topic) const -> std::int64_t {
  auto found = budgets_ms_.find(get_space(topic));
  return found == budgets_ms_.end() ? -1 : found->second;
}

auto history_checker::on_attempt(const value& event) -> void {
  auto key = get_key(event);
  auto& publish = publishes_[key];
  if (publish.first_attempt < 0)
    publish.first_attempt = event_time_;
  publish.body = get_string(event, "body");
  ++publish.attempts;
  if (publish.acknowledged_at < 0)
    start_waiting("publish " + to_text(key));
}

auto history_checker::on_answer(const value& event) -> void {
  auto key = get_key(event);
  auto& publish = publishes_[key];
  auto outcome = get_string(event, "verdict");
  auto refused = outcome == "refused";
  auto refused_for_good = refused && get_int_or(event, "retry", -1) < 0;
  if (refused)
    ++publish.refusals;
  if (outcome == "acked" || refused_for_good)
    finish_waiting("publish " + to_text(key));
  auto was_accepted = publish.acknowledged_at >= 0 && event_time_ - publish.acknowledged_at <= repeat_window_ms;
  if (refused_for_good && was_accepted)
    report("unrepeated", to_text(key) + ": accepted, but the repeat was refused");
  if (outcome == "acked")
    on_acknowledgement(event, publish);
}

auto history_checker::on_acknowledgement(const value& event, observed_publish& publish) -> void {
  if (publish.acknowledged_at < 0)
    publish.acknowledged_at = event_time_;
  auto position = get_int_or(event, "pos", -1);
  if (position < 0)
    return;
  if (publish.position >= 0 && publish.position != position)
    report("repeat",
           get_string(event, "topic") + " " + get_string(event, "who") + " was acknowledged at two positions");
  publish.position = position;
}

auto history_checker::on_subscribe(const value& event) -> void {
  start_waiting("subscribe " + get_string(event, "topic") + " " + get_string(event, "who"));
}

auto history_checker::on_subscribed(const value& event) -> void {
  auto topic = get_string(event, "topic");
  auto subscriber_name = get_string(event, "who");
  finish_waiting("subscribe " + topic + " " + subscriber_name);
  auto& subscriber = subscribers_[{subscriber_name, topic}];
  if (subscriber.subscribed)
    return;
  subscriber.subscribed = true;
  subscriber.since = event_time_;
  subscriber.position = get_int(event, "pos");
}

auto history_checker::on_unsubscribe(const value& event) -> void {
  auto& subscriber = subscribers_[{get_string(event, "who"), get_string(event, "topic")}];
  subscriber = end_subscription(subscriber);
}

// The state of a subscriber after the end of a subscription. Received messages stay known because a message must not be
// delivered twice across two subscriptions.
auto history_checker::end_subscription(const observed_subscriber& subscriber) -> observed_subscriber {
  auto remaining = observed_subscriber();
  remaining.received = subscriber.received;
  remaining.highest_sequence = subscriber.highest_sequence;
  return remaining;
}

// "Cannot resume" is a valid answer only if a message that the subscriber misses may have expired.
auto history_checker::on_expired(const value& event) -> void {
  auto topic = get_string(event, "topic");
  auto subscriber_name = get_string(event, "who");
  auto after = get_int(event, "after");
  finish_waiting("subscribe " + topic + " " + subscriber_name);
  auto excused = std::any_of(publishes_.begin(), publishes_.end(), [&](const auto& entry) {
    return entry.first.topic == topic && may_have_expired(entry.first, entry.second, after, event_time_);
  });
  if (!excused)
    report("resume",
           subscriber_name + " " + topic + " after @" + std::to_string(after) + " t=" + std::to_string(event_time_));
  auto& subscriber = subscribers_[{subscriber_name, topic}];
  subscriber = end_subscription(subscriber);
}

auto history_checker::may_have_expired(const publish_key& key, const observed_publish& publish, std::int64_t after,
                                       std::int64_t at) const -> bool {
  if (publish.attempts == 0)
    return false;
  auto known_position = positions_.find(key);
  auto position = publish.position;
  if (position < 0 && known_position != positions_.end())
    position = known_position->second;
  // A publish with an unknown position may be the missing message if it may have been accepted.
  auto may_have_run = publish.refusals < publish.attempts;
  auto is_missing = position > after || (position < 0 && may_have_run);
  return is_missing && at - publish.first_attempt > retention_ms(key.topic);
}

auto history_checker::on_delivery(const value& event) -> void {
  auto received_message = delivery{get_string(event, "who"),
                                   {get_string(event, "topic"), get_string(event, "from"), get_int(event, "seq")},
                                   get_int(event, "t")};
  auto position = get_int(event, "pos");
  auto description = received_message.subscriber + " " + received_message.publish.topic + " @" +
                     std::to_string(position) + " from " + received_message.publish.sender + " #" +
                     std::to_string(received_message.publish.sequence) + " t=" + std::to_string(received_message.at);
  deliveries_.push_back(received_message);
  auto found = subscribers_.find({received_message.subscriber, received_message.publish.topic});
  if (found == subscribers_.end() || !found->second.subscribed)
    return report("unasked", description);
  check_content(received_message, get_string(event, "body"), description);
  check_order(received_message, position, description);
  check_position(received_message.publish, position, description);
}

auto history_checker::check_content(const delivery& received_message, const std::string& body,
                                    const std::string& description) -> void {
  auto sent = publishes_.find(received_message.publish);
  if (sent == publishes_.end())
    report("unsent", description);
  else if (sent->second.body != body)
    report("altered", description);
}

auto history_checker::check_order(const delivery& received_message, std::int64_t position,
                                  const std::string& description) -> void {
  auto& subscriber = subscribers_[{received_message.subscriber, received_message.publish.topic}];
  const auto& sender = received_message.publish.sender;
  auto sequence = received_message.publish.sequence;
  if (!subscriber.received.insert({sender, sequence}).second)
    report("twice", description);
  auto highest = subscriber.highest_sequence.find(sender);
  if (highest != subscriber.highest_sequence.end() && highest->second > sequence)
    report("late", description + " after #" + std::to_string(highest->second));
  subscriber.highest_sequence[sender] = std::max(subscriber.highest_sequence[sender], sequence);
  if (position <= subscriber.position)
    report("order", description + " after @" + std::to_string(subscriber.position));
  subscriber.position = std::max(subscriber.position, position);
}

// All subscribers must receive the same message at a position, and each message must have one position.
auto history_checker::check_position(const publish_key& key, std::int64_t position, const std::string& description)
    -> void {
  auto message = std::pair(key.sender, key.sequence);
  auto [at_position, is_first] = messages_by_position_.emplace(std::pair(key.topic, position), message);
  if (!is_first && at_position->second != message)
    report("order", description + ": another subscriber received " + at_position->second.first + " #" +
                        std::to_string(at_position->second.second) + " at this position");
  auto [known, is_new] = positions_.emplace(key, position);
  if (!is_new && known->second != position)
    report("repeat", description + ": delivered at @" + std::to_string(known->second) + " too");
}

auto history_checker::on_acknowledged_configuration(const value& event) -> void {
  acknowledged_.push_back({event_time_, get_int(event, "number"), get_string_or(event, "sum")});
}

auto history_checker::on_probe(const value& event) -> void {
  auto node = get_string(event, "node");
  auto number = get_int(event, "number");
  auto asked_at = get_int(event, "t0");
  auto served = node + " serves configuration " + std::to_string(number) + " at " + std::to_string(asked_at);
  auto& earlier = probes_[node];
  for (const auto& version : in_force_)
    if (asked_at >= version.at + in_force_ms && number < version.number)
      report("stale", served + ", " + std::to_string(version.number) + " was reported in force at " +
                          std::to_string(version.at));
  for (const auto& version : acknowledged_)
    if (apply_ms_ >= 0 && asked_at >= version.at + apply_ms_ && number < version.number)
      report("apply",
             served + ", " + std::to_string(version.number) + " was acknowledged at " + std::to_string(version.at));
  for (const auto& version : earlier)
    if (asked_at > version.at + read_order_ms && number < version.number)
      report("drift", served + " after " + std::to_string(version.number) + " at " + std::to_string(version.at));
  earlier.push_back({get_int(event, "t"), number, {}});
}

auto history_checker::on_read_back(const value& event) -> void {
  auto asked_at = get_int(event, "t0");
  auto number = get_int(event, "number");
  auto newest = observed_version();
  for (const auto& version : acknowledged_)
    if (version.at < asked_at && version.number > newest.number)
      newest = version;
  if (number < newest.number)
    return report("readback", std::to_string(newest.number) + " was acknowledged at " + std::to_string(newest.at) +
                                  ", but read " + std::to_string(number) + " at " + std::to_string(asked_at));
  for (const auto& version : acknowledged_)
    if (version.number == number && version.content_sum != get_string_or(event, "sum"))
      report("readback", "configuration " + std::to_string(number) + " reads back with different content");
}

auto history_checker::on_drains_read(const value& event) -> void {
  auto asked_at = get_int(event, "t0");
  auto names = std::set<std::string>();
  for (const auto& name : get_array(event, "names"))
    names.insert(std::string(name.as_string()));
  for (const auto& [at, name] : drained_)
    if (at < asked_at && !names.count(name))
      report("forgotten", name + " was reported drained, but is not drained at " + std::to_string(asked_at));
}

auto history_checker::finish_waiting(const std::string& request) -> void {
  auto found = pending_requests_.find(request);
  if (found == pending_requests_.end())
    return;
  check_overdue(found->first, found->second);
  pending_requests_.erase(found);
}

auto history_checker::check_overdue(const std::string& request, std::int64_t since) -> void {
  if (!is_fault_free_)
    return;
  auto due = std::max(since, faults_ended_at_) + recovery_ms;
  if (event_time_ > due)
    report("serving", request + " has been waiting since " + std::to_string(since) + ", no answer until " +
                          std::to_string(event_time_) + "; the last fault ended at " +
                          std::to_string(faults_ended_at_));
}

auto history_checker::check_all_overdue() -> void {
  for (const auto& [request, since] : pending_requests_)
    check_overdue(request, since);
}

auto history_checker::on_fault(const value&) -> void {
  if (is_fault_free_) {
    check_all_overdue();
    fault_free_spans_.push_back({faults_ended_at_, event_time_});
  }
  is_fault_free_ = false;
}

auto history_checker::on_faults_ended(const value&) -> void {
  is_fault_free_ = true;
  faults_ended_at_ = event_time_;
}

auto history_checker::on_connecting(const value& event) -> void {
  auto client = get_string_or(event, "who");
  connecting_since_[client].push_back(event_time_);
  start_waiting("link of " + client);
}

auto history_checker::on_end(const value& event) -> void {
  auto quiet_ms = get_int_or(event, "quiet", 0);
  for (const auto& [key, publish] : publishes_)
    check_publish_at_end(key, publish, quiet_ms);
  if (is_fault_free_)
    check_all_overdue();
  check_acknowledgement_budgets();
  check_delivery_budgets();
}

auto history_checker::check_publish_at_end(const publish_key& key, const observed_publish& publish,
                                           std::int64_t quiet_ms) -> void {
  auto only_refused = publish.attempts > 0 && publish.refusals == publish.attempts;
  if (only_refused && positions_.count(key))
    report("refused", to_text(key) + ": refused " + std::to_string(publish.attempts) + " times, but delivered");
  auto acknowledged_lately = publish.acknowledged_at > event_time_ - quiet_ms;
  if (publish.acknowledged_at < 0 || retention_ms(key.topic) == 0 || acknowledged_lately)
    return;
  for (const auto& [subscription, subscriber] : subscribers_) {
    auto is_expected =
        subscription.topic == key.topic && subscriber.subscribed && subscriber.since < publish.first_attempt;
    if (is_expected && !subscriber.received.count({key.sender, key.sequence}))
      report("lost", to_text(key) + ": acknowledged, but never delivered to " + subscription.subscriber);
  }
}

// Budgets apply only if no fault was active from recovery_ms before the request until the answer was due.
auto history_checker::is_fault_free_between(std::int64_t from, std::int64_t to) const -> bool {
  auto in_span = [&](const fault_free_span& span) {
    return from > span.from + recovery_ms && to < span.to;
  };
  if (std::any_of(fault_free_spans_.begin(), fault_free_spans_.end(), in_span))
    return true;
  return is_fault_free_ && from > faults_ended_at_ + recovery_ms && to < latest_time_;
}

auto history_checker::was_disconnected(const std::string& client, std::int64_t from, std::int64_t to) const -> bool {
  auto found = connecting_since_.find(client);
  if (found == connecting_since_.end())
    return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](auto at) {
    return at >= from - reconnect_ms && at <= to;
  });
}

auto history_checker::check_acknowledgement_budgets() -> void {
  for (const auto& [key, publish] : publishes_) {
    auto budget = budget_ms(key.topic);
    auto began_at = publish.first_attempt;
    if (budget < 0 || began_at < 0)
      continue;
    auto due = began_at + budget;
    if (!is_fault_free_between(began_at, due) || was_disconnected(key.sender, began_at, due))
      continue;
    if (publish.acknowledged_at >= 0 && publish.acknowledged_at <= due)
      continue;
    report("budget", to_text(key) + " t=" + std::to_string(began_at) + ": acknowledged after " +
                         std::to_string(publish.acknowledged_at - began_at) + " ms");
  }
}

auto history_checker::check_delivery_budgets() -> void {
  for (const auto& received_message : deliveries_) {
    auto publish = publishes_.find(received_message.publish);
    auto budget = budget_ms(received_message.publish.topic);
    if (budget < 0 || publish == publishes_.end())
      continue;
    auto began_at = publish->second.first_attempt;
    auto due = began_at + budget;
    if (received_message.at <= due || !is_fault_free_between(began_at, due))
      continue;
    if (was_disconnected(received_message.publish.sender, began_at, due) ||
        was_disconnected(received_message.subscriber, began_at, received_message.at))
      continue;
    report("budget", to_text(received_message.publish) + ": delivered to " + received_message.subscriber + " after " +
                         std::to_string(received_message.at - began_at) + " ms");
  }
}

}  // namespace

auto check_consistency(const std::vector<value>& events) -> std::vector<violation> {
  auto checker = history_checker();
  for (const auto& event : events)
    checker.process(event);
  return std::move(checker.violations);
}

}  // namespace reachridge
