#include "cluster/session_codec.hpp"

#include "cluster/control_operation.hpp"
#include "cluster/node_kind.hpp"

// Must be the last include: CppUTest redefines operator new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

auto sample_node() -> node_descriptor {
  auto node = node_descriptor();
  node.name = "c1";
  node.kind = node_kind::storage;
  node.zone = "z1";
  return node;
}
auto sample_lease() -> lease_grant {
  return {.duration = 900,
          .versions = {.required = 4, .newest = 6, .upcoming = {{5, 100}, {6, 200}}},
          .partitions_version = 17};
}
auto sample_gossip() -> gossip_request {
  auto request = gossip_request();
  request.source = "10.0.0.1:7000/disk";
  request.table_version = 9;
  request.accepts_deadlines = true;
  request.live_nodes_version = 3;
  return request;
}
auto check_json(const char* expected, const value& encoded) -> void {
  STRCMP_EQUAL(expected, to_json(encoded).c_str());
}
}  // namespace

TEST_GROUP(session_codec){};
// Earlier releases run beside this one during an upgrade, so the names and the order of the fields must not change.
TEST(session_codec, session_messages_keep_their_fields) {
  auto request = session_request{.node = sample_node(),
                                 .held_versions = object{{"cells", 2}},
                                 .control_nodes_checksum = 77,
                                 .accepts_deadlines = true,
                                 .served_version = 4};
  check_json(
      R"({"op":"session","me":{"name":"c1","kind":"comb","zone":"z1","addr":"","web":"","disk":"","ready":false,)"
      R"("leaving":false,"usage":0},"vec":{"cells":2},"queens":77,"deadlines":true,"charter":4})",
      encode(request));
  auto reply = session_reply();
  check_json("{}", encode(reply));
  reply.updates.view_changes["cells"] = 1;
  reply.updates.control_nodes = {"a:1", "b:1"};
  reply.placement_requests = {"move"};
  reply.lease = sample_lease();
  check_json(R"({"cells":1,"queens":["a:1","b:1"],"wish":["move"],"lease":900,"need":4,"newest":6,)"
             R"("due":[[5,100],[6,200]],"cells_need":17})",
             encode(reply));
}
TEST(session_codec, gossip_messages_keep_their_fields) {
  auto request = sample_gossip();
  check_json(R"({"op":"swap","from":"10.0.0.1:7000/disk","ver":9,"deadlines":true,"live_ver":3})", encode(request));
  request.live_nodes = served_versions{{"c1", 4}};
  request.reports_loads = true;
  request.loads = {{"c1", 12}};
  request.table_changes = object{{"ver", 9}, {"rows", array()}, {"since", 8}};
  check_json(
      R"({"op":"swap","from":"10.0.0.1:7000/disk","ver":9,"deadlines":true,"live":{"c1":{"charter":4}},"live_ver":3,)"
      R"("usage":{"c1":12},"rows":[],"since":8})",
      encode(request));
  auto reply = gossip_reply{.table_version = 9, .accepts_deltas = true, .live_nodes_version = 3, .grant = std::nullopt};
  check_json(R"({"have":9,"steps":true,"live_ver":3})", encode(reply));
  reply.grant = gossip_lease_grant{
      .placement_requests = {}, .versions = {.required = 4, .newest = 4, .upcoming = {}}, .partitions_version = 17};
  check_json(R"({"have":9,"steps":true,"live_ver":3,"wish":[],"grant":true,"need":4,"newest":4,"cells":17})",
             encode(reply));
}
TEST(session_codec, session_messages_round_trip) {
  auto request = session_request{.node = sample_node(),
                                 .held_versions = object{{"need", object{{"wide", true}}}},
                                 .control_nodes_checksum = 77,
                                 .accepts_deadlines = true,
                                 .served_version = 4};
  auto decoded_request = decode_session_request(encode(request));
  CHECK(decoded_request.node.to_value() == request.node.to_value());
  CHECK(decoded_request.held_versions == request.held_versions);
  CHECK(requests_all_zones(decoded_request.held_versions));
  LONGS_EQUAL(77, decoded_request.control_nodes_checksum);
  CHECK(decoded_request.accepts_deadlines);
  LONGS_EQUAL(4, decoded_request.served_version);

  auto reply = session_reply();
  reply.updates.view_changes["packed"] = "text";
  reply.updates.control_nodes = {"a:1"};
  reply.lease = sample_lease();
  auto decoded_reply = decode_session_reply(encode(reply));
  CHECK(decoded_reply.updates.has_configuration());
  CHECK_FALSE(decoded_reply.updates.has_partitions());
  CHECK(decoded_reply.updates.control_nodes == reply.updates.control_nodes);
  LONGS_EQUAL(900, decoded_reply.lease->duration);
  LONGS_EQUAL(4, decoded_reply.lease->versions.required);
  LONGS_EQUAL(6, decoded_reply.lease->versions.newest);
  CHECK(decoded_reply.lease->versions.upcoming == sample_lease().versions.upcoming);
  LONGS_EQUAL(17, decoded_reply.lease->partitions_version);
  CHECK_FALSE(decode_session_reply(object()).lease.has_value());
}
TEST(session_codec, gossip_messages_round_trip) {
  auto request = sample_gossip();
  CHECK_FALSE(decode_gossip_request(encode(request)).live_nodes.has_value());
  CHECK(decode_gossip_request(encode(request)).table_changes.is_null());
  request.live_nodes = served_versions();
  request.reports_loads = true;
  request.loads = {{"c1", 12}};
  request.table_changes = object{{"rows", array()}};
  auto decoded_request = decode_gossip_request(encode(request));
  CHECK(decoded_request.live_nodes == request.live_nodes);
  CHECK(decoded_request.loads == request.loads);
  CHECK(decoded_request.table_changes.is_object());
  LONGS_EQUAL(3, decoded_request.live_nodes_version);

  auto reply =
      gossip_reply{.table_version = 9, .accepts_deltas = true, .live_nodes_version = 3, .grant = gossip_lease_grant()};
  auto decoded_reply = decode_gossip_reply(encode(reply));
  LONGS_EQUAL(9, decoded_reply.table_version);
  CHECK(decoded_reply.accepts_deltas);
  CHECK(decoded_reply.grant.has_value());
  LONGS_EQUAL(-1, decode_gossip_reply(object()).table_version);
}
TEST(session_codec, a_missing_mandatory_field_is_rejected) {
  CHECK_THROWS(decode_error, decode_session_request(object{{"op", "session"}}));
  CHECK_THROWS(decode_error, decode_gossip_request(object{{"op", "swap"}}));
  CHECK_THROWS(decode_error, decode_gossip_reply(object{{"grant", true}, {"need", 4}}));
  CHECK_THROWS(decode_error, decode_gossip_reply(object{{"grant", true}, {"cells", 4}}));
}
TEST(session_codec, a_malformed_list_of_deadlines_is_rejected) {
  for (const auto& entry :
       {value(1), value(array{1}), value(array{"a", 1}), value(array{1, "a"}), value(array{1, 2, 3}), value(nullptr)}) {
    auto deadlines = array();
    deadlines.push_back(entry);
    CHECK_THROWS(decode_error, decode_session_reply(object{{"lease", 1}, {"due", deadlines}}));
    CHECK_THROWS(decode_error,
                 decode_gossip_reply(object{{"grant", true}, {"need", 1}, {"cells", 1}, {"due", deadlines}}));
  }
}
TEST(session_codec, every_operation_is_found_by_its_name) {
  for (const auto* name :
       {"session", "bye", "swap", "deed", "draw", "held", "fresh", "refound", "leave", "voters", "status"}) {
    auto operation = find_control_operation(name);
    CHECK(operation.has_value());
    CHECK(name_of(*operation) == name);
  }
  CHECK_FALSE(find_control_operation("").has_value());
  CHECK_FALSE(find_control_operation("l.vote").has_value());
}
