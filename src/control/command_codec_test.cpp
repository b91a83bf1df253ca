// Tests the encoded commands and results. Existing logs and control nodes of other releases depend on each field and on
// the order of the fields.
#include "control/commands.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto assigned() -> partition_assignment {
  auto out = partition_assignment();
  out.epoch = 3;
  out.primary = "x/1";
  out.in_sync_replicas = {"x/1", "y/1"};
  out.reason = "placed";
  return out;
}

auto json(const control_command& command) -> std::string {
  return to_json(encode(command));
}

auto result_json(const command_result& result) -> std::string {
  return to_json(encode(result));
}

}  // namespace

TEST_GROUP(command_codec){};

TEST(command_codec, assignments) {
  STRCMP_EQUAL(R"({"k":"cell","id":"a/0","epoch":3,"prim":"x/1","step":["x/1","y/1"],"why":"placed"})",
               json(assignment_command{"a/0", assigned()}).c_str());
  STRCMP_EQUAL(
      R"({"k":"refound","id":"a/0","epoch":3,"prim":"x/1","step":["x/1","y/1"],"why":"placed","forsake":true})",
      json(recreation_command{"a/0", assigned(), true}).c_str());
}

TEST(command_codec, drains) {
  STRCMP_EQUAL(R"({"k":"leave","name":"x","after":7,"kind":"evacuate"})",
               json(begin_drain_command{"x", 7, drain_kind::evacuate, {}, 2}).c_str());
  auto remaining_nodes = node_zones{{"z", "z2"}, {"y", ""}};
  STRCMP_EQUAL(R"({"k":"leave","name":"x","after":7,"kind":"retire","rest":{"z":"z2","y":""},"copies":3})",
               json(begin_drain_command{"x", 7, drain_kind::retire, remaining_nodes, 3}).c_str());
  STRCMP_EQUAL(R"({"k":"stay","name":"x","after":7})", json(end_drain_command{"x", 7}).c_str());
  STRCMP_EQUAL(R"({"k":"decline","name":"x","after":7})", json(decline_drain_command{"x", 7, {}, 2}).c_str());
  STRCMP_EQUAL(R"({"k":"decline","name":"x","after":7,"copies":3,"rest":{"z":"z2","y":""}})",
               json(decline_drain_command{"x", 7, remaining_nodes, 3}).c_str());
  STRCMP_EQUAL(R"({"k":"left","name":"x"})", json(complete_drain_command{"x"}).c_str());
}

TEST(command_codec, a_command_is_read_as_it_was_written) {
  auto remaining_nodes = node_zones{{"z", "z2"}, {"y", ""}};
  auto commands = std::vector<control_command>{assignment_command{"a/0", assigned()},
                                               recreation_command{"a/0", assigned(), true},
                                               begin_drain_command{"x", 7, drain_kind::retire, remaining_nodes, 3},
                                               begin_drain_command{"x", {}, drain_kind::drain, {}, 2},
                                               end_drain_command{"x", 7},
                                               decline_drain_command{"x", 7, {}, 2},
                                               complete_drain_command{"x"}};
  for (const auto& command : commands) {
    auto again = decode_command(encode(command));
    LONGS_EQUAL(command.index(), again.index());
    STRCMP_EQUAL(json(command).c_str(), json(again).c_str());
  }
}

TEST(command_codec, a_malformed_command_is_refused) {
  CHECK_THROWS(request_error, decode_command(object{{"k", "nonexistent"}}));
  CHECK_THROWS(decode_error, decode_command(object{}));
  CHECK_THROWS(decode_error, decode_command(object{{"k", "cell"}, {"id", "a/0"}, {"prim", "x/1"}}));
  CHECK_THROWS(decode_error, decode_command(object{{"k", "leave"}, {"name", "x"}}));
  CHECK_THROWS(decode_error, decode_command(object{{"k", "leave"}, {"name", "x"}, {"kind", "nonexistent"}}));
}

TEST(command_codec, results) {
  STRCMP_EQUAL(R"({"ok":true})", result_json(command_accepted{}).c_str());
  STRCMP_EQUAL(R"({"ok":true,"number":5})", result_json(command_accepted{.configuration_number = 5}).c_str());
  STRCMP_EQUAL(R"({"ok":true,"number":5,"repeat":true})",
               result_json(command_accepted{.configuration_number = 5, .is_repeat = true}).c_str());
  STRCMP_EQUAL(R"({"ok":true,"repeat":true,"done":false})",
               result_json(command_accepted{.is_repeat = true, .drain_completed = false}).c_str());
  auto row = to_json(assigned().to_value());
  STRCMP_EQUAL((R"({"ok":true,"row":)" + row + "}").c_str(),
               result_json(command_accepted{.assignment = assigned()}).c_str());
  STRCMP_EQUAL((R"({"ok":false,"why":"late","row":)" + row + "}").c_str(),
               result_json(command_superseded{"late", assigned()}).c_str());
  STRCMP_EQUAL(R"({"ok":false,"why":"late"})", result_json(command_superseded{"late"}).c_str());
}
