#include "cluster/cluster_view.hpp"

#include "runtime/request_error.hpp"

// Must be the last include: CppUTest redefines operator new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto make_node(const std::string& name, const std::string& kind, const std::string& zone) -> node_descriptor {
  auto out = node_descriptor();
  out.name = name;
  out.kind = kind;
  out.zone = zone;
  out.disk_id = "1";
  return out;
}

auto configuration_of(const std::string& body) -> configuration_ptr {
  return configuration_record::from_compiled(compile_configuration(body));
}

// Updates view `to` with a delta from view `from`. Returns the number of session table rows in the delta, counting
// removed rows, or -1 if the delta is empty.
auto pull(const cluster_view& from, cluster_view& to, bool include_empty = false) -> int {
  auto changes = from.changes_since(to.version_vector(), include_empty);
  if (changes.empty())
    return -1;
  auto count = 0;
  for (const auto& table : changes["tables"].as_object()) {
    if (table.value().is_null())
      continue;
    count += static_cast<int>(get_array(table.value(), "rows").size());
    const auto& removed = get_value(table.value(), "gone");
    if (removed.is_object())
      count += static_cast<int>(removed.get_object().size());
  }
  to.merge(changes);
  return count;
}

// Returns the version vector as an earlier release sends it: without the filter of needed nodes.
auto vector_of_earlier_release(const cluster_view& view) -> value {
  auto out = view.version_vector();
  out.as_object().erase("need");
  return out;
}

}  // namespace

TEST_GROUP(cluster_view_deltas){};

TEST(cluster_view_deltas, contain_newer_parts_and_never_revert_older) {
  auto source = cluster_view();
  auto view = cluster_view();
  source.configuration = configuration_of(R"({"number":4,"spaces":[]})");
  source.partitions["s/0"] = {3, 0, "x/1", {"x/1", "y/1"}, 9, ""};
  source.partitions_version = 9;
  source.session_tables["q1"].upsert(make_node("x", "comb", "z"), 7);
  CHECK(view.merge(source.changes_since(view.version_vector())));
  CHECK(source.changes_since(view.version_vector()).empty());
  CHECK(view.find("x") != nullptr);
  auto old = cluster_view();
  old.configuration = configuration_of(R"({"number":3,"spaces":[]})");
  old.partitions["s/0"] = {2, 0, "y/1", {"x/1", "y/1"}, 5, ""};
  old.partitions_version = 5;
  old.session_tables["q2"].version = 1;
  auto none = cluster_view();
  view.merge(old.changes_since(none.version_vector()));
  LONGS_EQUAL(4, view.configuration->number);
  LONGS_EQUAL(3, view.partitions["s/0"].epoch);
  view.merge(old.changes_since(view.version_vector()));
  CHECK(view.find("x") == nullptr);  // `old` does not know the source q1, so its table is removed
}

// Nodes receive a configuration deflated and without its origin (the text that it was translated from), which only the
// control nodes keep.
TEST(cluster_view_deltas, a_configuration_is_deflated_and_has_no_origin) {
  auto source = cluster_view();
  auto agent = cluster_view();
  auto node = cluster_view();
  auto spaces = std::string();
  for (auto i = 0; i < 1000; ++i)
    spaces += std::string(i ? "," : "") + R"({"name":"s)" + std::to_string(i) +
              R"(","pool":"p","cells":4,"urgency":3,"keep_s":35,"timeout_ms":1500})";
  source.configuration =
      configuration_of(R"({"number":4,"origin":")" + std::string(50000, 'o') + R"(","spaces":[)" + spaces + "]}");
  auto changes = source.changes_since(agent.version_vector());
  CHECK(encode_cbor(changes).size() < source.configuration->body().size() / 8);
  CHECK(agent.merge(changes));
  LONGS_EQUAL(4, agent.configuration->number);
  LONGS_EQUAL(1000, agent.configuration->compiled()->spaces.size());
  STRCMP_EQUAL("", agent.configuration->compiled()->origin.c_str());
  CHECK(node.merge(agent.changes_since(node.version_vector())));  // forwarded by the agent
  LONGS_EQUAL(1000, node.configuration->compiled()->spaces.size());
  auto old = vector_of_earlier_release(node);
  old.as_object()["charter"] = 3;
  STRCMP_EQUAL(source.configuration->body().c_str(),
               std::string(source.changes_since(old)["charter"].as_string()).c_str());
  auto damaged = changes["packed"].as_string();
  damaged[damaged.size() / 2] ^= 1;
  auto other = cluster_view();
  CHECK_THROWS(decode_error, other.merge(object{{"packed", damaged}}));
  CHECK_THROWS(decode_error, other.merge(object{{"packed", "none"}}));
}

// The size of a delta depends on the number of changed rows, not on the number of nodes.
TEST(cluster_view_deltas, contain_only_changed_rows) {
  auto source = cluster_view();
  auto view = cluster_view();
  view.filter = {"comb", "z1"};
  auto& table = source.session_tables["q1"];
  for (auto i = 0; i < 100; ++i)
    table.upsert(make_node("c" + std::to_string(i), "comb", "z1"), i + 1);
  LONGS_EQUAL(100, pull(source, view));
  LONGS_EQUAL(-1, pull(source, view));
  table.upsert(make_node("c5", "comb", "z2"), 101);
  table.remove("c6", 102);
  LONGS_EQUAL(3, pull(source, view));  // c5 counts twice: removed from its old zone and added to the new one
  STRCMP_EQUAL("z2", view.find("c5")->zone.c_str());
  CHECK(view.find("c6") == nullptr);
  LONGS_EQUAL(99, view.nodes().size());
  // A node of an earlier release receives the whole table.
  table.remove("c7", 103);
  auto whole = source.changes_since(vector_of_earlier_release(view));
  LONGS_EQUAL(98, get_array(whole["tables"].as_object()["q1"], "rows").size());
  CHECK(get_value(whole["tables"].as_object()["q1"], "since").is_null());
}

// A change outside a node's filter causes no delta. The new table version is sent with the next delta or on request.
TEST(cluster_view_deltas, are_empty_for_changes_outside_the_filter) {
  auto source = cluster_view();
  auto gateway = cluster_view();
  auto storage = cluster_view();
  gateway.filter = {"forager", "z1"};
  storage.filter = {"comb", "z1"};
  auto& table = source.session_tables["q1"];
  table.upsert(make_node("f1", "forager", "z1"), 1);
  table.upsert(make_node("f2", "forager", "z2"), 2);
  table.upsert(make_node("c1", "comb", "z2"), 3);
  LONGS_EQUAL(2, pull(source, gateway));
  LONGS_EQUAL(1, pull(source, storage));
  table.upsert(make_node("f3", "forager", "z2"), 4);
  LONGS_EQUAL(-1, pull(source, gateway));
  LONGS_EQUAL(-1, pull(source, storage));
  table.remove("f1", 5);
  LONGS_EQUAL(-1, pull(source, storage));
  LONGS_EQUAL(0, pull(source, storage, true));
  LONGS_EQUAL(5, storage.session_tables["q1"].version);
  LONGS_EQUAL(1, pull(source, gateway));
  CHECK(gateway.find("f1") == nullptr);
}

// The number of tombstones is bounded. A node whose version is older than the oldest tombstone receives the whole
// table.
TEST(cluster_view_deltas, replace_the_whole_table_for_a_version_that_is_too_old) {
  auto source = cluster_view();
  auto view = cluster_view();
  auto late = cluster_view();
  view.filter = late.filter = {"comb", "z1"};
  auto& table = source.session_tables["q1"];
  table.upsert(make_node("old", "comb", "z1"), 1);
  LONGS_EQUAL(1, pull(source, late));
  table.remove("old", 2);
  for (auto i = 0; i < 1000; ++i) {
    table.upsert(make_node("n" + std::to_string(i), "comb", "z1"), 3 + i * 2);
    table.remove("n" + std::to_string(i), 4 + i * 2);
    pull(source, view);
  }
  table.upsert(make_node("last", "comb", "z1"), 5000);
  LONGS_EQUAL(1, pull(source, view));
  LONGS_EQUAL(1, pull(source, late));
  CHECK(late.find("old") == nullptr);
  CHECK(table.tombstones.size() < 300);
}

// A gateway that must redirect clients to other zones widens its filter to the gateways of all zones. Its agent, which
// held only those of its own zone, must fetch the others first.
TEST(cluster_view_deltas, pass_through_the_agent_after_the_filter_is_widened) {
  auto source = cluster_view();
  auto agent = cluster_view();
  auto gateway = cluster_view();
  agent.filter = gateway.filter = {"forager", "z1"};
  source.session_tables["q1"].upsert(make_node("f1", "forager", "z1"), 1);
  source.session_tables["q1"].upsert(make_node("f2", "forager", "z2"), 2);
  LONGS_EQUAL(1, pull(source, agent));
  LONGS_EQUAL(1, pull(agent, gateway));
  gateway.filter.all_zones = true;
  LONGS_EQUAL(-1, pull(agent, gateway));  // the agent does not hold the other zones yet
  agent.filter.all_zones = true;
  LONGS_EQUAL(2, pull(source, agent));
  LONGS_EQUAL(2, pull(agent, gateway));
  CHECK(gateway.find("f2") != nullptr);
  source.session_tables["q1"].remove("f2", 3);
  LONGS_EQUAL(1, pull(source, agent));
  LONGS_EQUAL(1, pull(agent, gateway));
  CHECK(gateway.find("f2") == nullptr);
}

// Nodes of other releases read this encoding, so the fields and their order must not change.
TEST(cluster_view_deltas, keep_their_encoding) {
  auto source = cluster_view();
  source.partitions["s/0"] = {3, 0, "x/1", {"x/1", "y/1"}, 9, "placed"};
  source.partitions_version = 9;
  source.drains["y"] = {drain_kind::retire, false, 8};
  auto& table = source.session_tables["q1"];
  table.upsert(make_node("c1", "comb", "z1"), 1);
  table.upsert(make_node("c2", "comb", "z1"), 2);
  table.upsert(make_node("c3", "comb", "z1"), 3);
  table.remove("c2", 4);
  auto held = object{{"charter", 0},
                     {"cells", 0},
                     {"tables", object{{"q1", 2}, {"q0", 5}}},
                     {"need", object{{"kind", "comb"}, {"zone", "z1"}, {"wide", false}}}};
  STRCMP_EQUAL(R"({"cells":{"ver":9,"rows":{"s/0":{"epoch":3,"root":0,"prim":"x/1","back":"y/1","step":["x/1","y/1"],)"
               R"("idx":9,"why":"placed"}},"leavings":{"y":{"kind":"retire","done":false,"idx":8}}},)"
               R"("tables":{"q1":{"ver":4,"rows":[{"name":"c3","kind":"comb","zone":"z1","addr":"","web":"",)"
               R"("disk":"1","ready":false,"leaving":false,"usage":0,"v":3}],"since":2,)"
               R"("gone":{"c2":{"v":4,"kind":"comb","zone":"z1"}}},"q0":null}})",
               to_json(source.changes_since(held)).c_str());
  auto view = cluster_view();
  view.merge(source.changes_since(view.version_vector()));
  STRCMP_EQUAL(R"({"charter":0,"cells":9,"tables":{"q1":4},"need":{"kind":"","zone":"","wide":false}})",
               to_json(view.version_vector()).c_str());
}
