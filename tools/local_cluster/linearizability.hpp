// Checks the requests and answers of operators for linearizability. For each object, a search after Wing and Gong looks
// for a sequence of all calls that respects their times and explains every answer of a single copy of the control
// state. The check shares no code with the service.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace reachridge {

// Kinds of orders. `number` and `content` refer to the fields of operator_order.
enum class order_kind {
  put_configuration,   // puts `number` and `content`
  read_configuration,  // returned `number` and `content`
  order_drain,         // starts a drain of kind `content` (drain, evacuate or retire) of the node or zone `object`
  withdraw_drain,
  read_drain,  // returned the kind of drain in `content`; empty: no drain
};

// Outcomes of an order as the operator observed them.
enum class order_outcome {
  confirmed,
  refused,  // because of the state of the object; the order is never carried out
  unknown,  // no clear answer until the timeout: carried out at any time after the call, or never
};

constexpr auto configuration_object = "configuration";

// One order of one operator, sent once and carried out at most once. A repeat counts as another order because the
// protocol does not distinguish a repeat from a new order. Times are in milliseconds.
struct operator_order {
  std::string client;
  order_kind kind = order_kind::read_configuration;
  std::string object = configuration_object;
  std::int64_t number = 0;
  std::string content;
  std::int64_t called = 0, returned = 0;  // time of sending, and of the answer or timeout
  order_outcome outcome = order_outcome::confirmed;
};

// Options of the check.
struct order_rules {
  // An order without an answer is not carried out after a confirmed order on the same object that was sent later.
  bool given_up_orders_are_fenced = true;
};

// A minimized part of an object's history that no sequence of the calls explains.
struct unexplained_history {
  std::string object;
  std::vector<operator_order> orders;
};

// Returns no value if the history of each object is linearizable.
auto find_unexplained(const std::vector<operator_order>& history, const order_rules& rules = {})
    -> std::optional<unexplained_history>;

// Describes an order on one line.
auto to_text(const operator_order& order) -> std::string;
// Describes the part with one line for each order.
auto to_text(const unexplained_history& part) -> std::string;

}  // namespace reachridge
