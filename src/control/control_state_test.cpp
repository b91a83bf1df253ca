// Tests of the replicated state. The commands are given in their encoded form, as logs contain them.
#include "control/control_state.hpp"

#include "runtime/request_error.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto assignment(epoch_number epoch, const char* primary, const char* backup, const array& in_sync) -> object {
  return {{"k", "cell"}, {"id", "a/0"}, {"epoch", epoch}, {"prim", primary}, {"back", backup}, {"step", in_sync}};
}

auto recreation(epoch_number epoch, const char* primary, const char* backup, const array& in_sync) -> object {
  auto out = assignment(epoch, primary, backup, in_sync);
  out["k"] = "refound";
  return out;
}

auto configuration(int number, const char* more) -> object {
  return {{"k", "charter"}, {"body", "{\"number\":" + std::to_string(number) + ",\"spaces\":[]" + more + "}"}};
}

auto begin_drain(const std::string& name, const char* kind) -> object {
  return {{"k", "leave"}, {"name", name}, {"kind", kind}};
}

auto end_drain(const std::string& name) -> object {
  return {{"k", "stay"}, {"name", name}};
}

auto complete_drain(const std::string& name) -> object {
  return {{"k", "left"}, {"name", name}};
}

auto retire(const char* name, const object& remaining_nodes, int replicas = 2) -> object {
  auto out = begin_drain(name, "retire");
  out["rest"] = remaining_nodes;
  out["copies"] = replicas;
  return out;
}

// A control state with accessors for single fields of the results.
struct state_under_test : control_state {
  auto accepts(log_index index, const object& command) -> bool {
    return get_bool(apply_encoded(index, command), "ok");
  }
  auto repeats(log_index index, const object& command) -> bool {
    return get_bool(apply_encoded(index, command), "repeat");
  }
  auto error_code(log_index index, const object& command) -> std::string {
    return get_string_or(apply_encoded(index, command), "code");
  }
};

auto restored_from(const value& snapshot) -> state_under_test {
  auto state = state_under_test();
  state.restore(snapshot);
  return state;
}

}  // namespace

TEST_GROUP(control_state_commands){};

TEST(control_state_commands, one_of_two_assignments_wins_and_its_primary_must_be_in_sync) {
  auto state = state_under_test();
  CHECK(state.accepts(1, assignment(0, "x/1", "y/1", {"x/1", "y/1"})));
  CHECK_FALSE(state.accepts(2, assignment(1, "z/1", "y/1", {"z/1", "y/1"})));
  CHECK(state.accepts(3, assignment(1, "y/1", "x/1", {"x/1", "y/1"})));
  CHECK_FALSE(state.accepts(4, assignment(1, "x/1", "y/1", {"x/1", "y/1"})));
  LONGS_EQUAL(2, state.partitions["a/0"].epoch);
  CHECK(restored_from(state.take_snapshot()).take_snapshot() == state.take_snapshot());
}

TEST(control_state_commands, a_partition_with_retained_messages_is_recreated_only_if_loss_is_accepted) {
  auto state = state_under_test();
  state.apply_encoded(1, object{{"k", "charter"}, {"body", R"({"number":1,"spaces":[{"name":"a","keep_s":5}]})"}});
  state.apply_encoded(2, assignment(0, "x/1", "y/1", {"x/1", "y/1"}));
  auto again = recreation(1, "x/2", "y/2", {"x/2", "y/2"});
  STRCMP_EQUAL("denied", state.error_code(3, again).c_str());
  again["forsake"] = true;
  CHECK(state.accepts(4, again));
  LONGS_EQUAL(2, state.partitions["a/0"].recreated_epoch);
  CHECK(state.accepts(5, assignment(2, "x/2", "y/2", {"x/2", "y/2"})));
  LONGS_EQUAL(2, state.partitions["a/0"].recreated_epoch);
}

TEST(control_state_commands, configurations_are_compared_and_set_by_number) {
  auto state = state_under_test();
  CHECK(state.accepts(1, configuration(5, "")));
  CHECK(state.repeats(2, configuration(5, "")));
  STRCMP_EQUAL("taken", state.error_code(3, configuration(5, ",\"rules\":[]")).c_str());
  STRCMP_EQUAL("stale", state.error_code(4, configuration(4, "")).c_str());
  STRCMP_EQUAL("stale", state.error_code(5, configuration(9, ",\"after\":4")).c_str());
  CHECK(state.accepts(6, configuration(9, ",\"after\":5")));
  LONGS_EQUAL(9, state.configuration->number);
}

TEST(control_state_commands, a_drain_completes_only_when_the_node_holds_no_partition) {
  auto state = state_under_test();
  state.apply_encoded(1, assignment(0, "x/1", "y/1", {"x/1", "y/1"}));
  state.apply_encoded(2, begin_drain("y", "retire"));
  CHECK_FALSE(state.accepts(3, complete_drain("y")));
  state.apply_encoded(4, assignment(1, "x/1", "z/1", {"x/1", "z/1"}));
  CHECK(state.accepts(5, complete_drain("y")));
  CHECK(state.drains["y"].completed);
}

TEST(control_state_commands, an_evacuation_of_a_zone_lasts_until_it_is_ended) {
  auto state = state_under_test();
  auto key = zone_key("z1");
  STRCMP_EQUAL("z1", zone_of_key(key).c_str());
  STRCMP_EQUAL("", zone_of_key("x").c_str());
  CHECK(state.accepts(1, begin_drain(key, "evacuate")));
  CHECK(state.repeats(2, begin_drain(key, "evacuate")));
  STRCMP_EQUAL("not_found", state.error_code(3, complete_drain(key)).c_str());
  STRCMP_EQUAL("malformed", state.error_code(4, begin_drain(key, "retire")).c_str());
  LONGS_EQUAL(1, restored_from(state.take_snapshot()).drains.count(key));
  CHECK(state.accepts(5, end_drain(key)));
  CHECK(state.repeats(6, end_drain(key)));
  LONGS_EQUAL(0, state.drains.count(key));
  LONGS_EQUAL(5, state.partitions_version.get());
}

// Two retirements that are decided concurrently each pass the leader's check. The second one must be refused when it is
// applied.
TEST(control_state_commands, concurrent_retirements_leave_enough_nodes) {
  auto state = state_under_test();
  STRCMP_EQUAL("too_few", state.error_code(1, retire("x", {{"y", "z2"}, {"w", "z3"}}, 3)).c_str());
  STRCMP_EQUAL("too_few", state.error_code(2, retire("x", {{"y", "z2"}, {"w", "z2"}})).c_str());
  CHECK(state.drains.empty());
  CHECK(state.accepts(3, retire("x", {{"y", "z2"}, {"w", ""}})));  // w is unreachable and may be in any zone
  STRCMP_EQUAL("too_few", state.error_code(4, retire("y", {{"x", "z1"}, {"w", "z3"}})).c_str());
  CHECK(state.repeats(5, retire("x", {})));
}

TEST(control_state_commands, a_retired_node_never_receives_a_replica) {
  auto state = state_under_test();
  state.apply_encoded(1, assignment(0, "x/1", "y/1", {"x/1", "y/1"}));
  state.apply_encoded(2, begin_drain("w", "retire"));
  CHECK(state.accepts(3, complete_drain("w")));
  CHECK_FALSE(state.accepts(4, assignment(1, "x/1", "w/1", {"x/1", "w/1"})));  // from a move that began earlier
  CHECK(state.partitions_of("w").empty());
  CHECK(state.accepts(5, assignment(1, "x/1", "v/1", {"x/1", "v/1"})));
}

TEST(control_state_commands, an_order_is_applied_only_if_no_other_order_came_first) {
  auto state = state_under_test();
  auto order = [&](const char* command, log_index expected_last_order) {
    return object{{"k", command}, {"name", zone_key("z1")}, {"kind", "evacuate"}, {"after", expected_last_order.get()}};
  };
  CHECK(state.accepts(1, order("leave", 0)));
  STRCMP_EQUAL("overtaken", state.error_code(2, order("stay", 0)).c_str());
  CHECK(state.accepts(3, order("stay", 1)));
  STRCMP_EQUAL("overtaken", state.error_code(4, order("leave", 0)).c_str());
  STRCMP_EQUAL("overtaken", state.error_code(5, order("leave", 1)).c_str());
  CHECK(state.repeats(6, order("stay", 3)));  // the order changes nothing but is recorded in the fence
  STRCMP_EQUAL("overtaken", state.error_code(7, order("leave", 3)).c_str());
  CHECK(state.accepts(8, order("decline", 6)));
  STRCMP_EQUAL("overtaken", state.error_code(9, order("leave", 6)).c_str());
  CHECK(state.drains.empty());
  auto again = restored_from(state.take_snapshot());
  CHECK(again.take_snapshot() == state.take_snapshot());
  STRCMP_EQUAL("overtaken", again.error_code(10, order("leave", 6)).c_str());
  CHECK(again.accepts(11, order("leave", 8)));
  // A snapshot from a release without a fence has no recorded orders.
  auto old = state.take_snapshot();
  old.as_object().erase("orders");
  again.restore(old);
  CHECK(again.accepts(12, order("leave", 0)));
}
