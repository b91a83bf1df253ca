// Tests of the sessions between nodes and a control node.
#include "control/session_registry.hpp"

#include "cluster/node_kind.hpp"

// This include must be the last one, because CppUTest redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

auto heartbeat(const std::string& name, std::int64_t load = 0) -> session_request {
  auto request = session_request();
  request.node.name = name;
  request.node.kind = node_kind::storage;
  request.node.zone = "z1";
  request.node.load = load;
  return request;
}
}  // namespace

TEST_GROUP(session_registry) {
  cluster_view view;
  reachridge::session_registry sessions{view};
  auto setup()->void override {
    sessions.start("a:1/disk", 1);
  }
};
TEST(session_registry, new_and_changed_nodes_get_a_new_table_version) {
  CHECK(sessions.record_heartbeat(heartbeat("c1"), second));
  auto first = sessions.table().version;
  CHECK(view.find("c1"));
  CHECK_FALSE(sessions.record_heartbeat(heartbeat("c1"), 2 * second));
  LONGS_EQUAL(first, sessions.table().version);
  auto stopping = heartbeat("c1");
  stopping.node.stopping = true;
  CHECK(sessions.record_heartbeat(stopping, 3 * second));
  CHECK(sessions.table().version > first);
  CHECK(view.find("c1")->stopping);
}
TEST(session_registry, a_change_of_only_the_load_creates_no_table_version) {
  CHECK(sessions.record_heartbeat(heartbeat("c1"), second));
  CHECK_FALSE(sessions.record_heartbeat(heartbeat("c1", 5), 2 * second));
  LONGS_EQUAL(5, view.find("c1")->load);
  LONGS_EQUAL(5, sessions.find("c1")->node.load);
}
TEST(session_registry, a_silent_session_ends_and_leaves_the_table) {
  sessions.record_heartbeat(heartbeat("c1"), second);
  sessions.record_heartbeat(heartbeat("c2"), 2 * second);
  CHECK(sessions.remove_timed_out(2 * second, second).empty());  // c1 has been silent for exactly the timeout
  CHECK(sessions.live_nodes(2 * second + 1, second) == (served_versions{{"c2", 0}}));
  CHECK(sessions.remove_timed_out(2 * second + 1, second) == std::vector<std::string>{"c1"});
  CHECK_FALSE(sessions.find("c1"));
  CHECK_FALSE(view.find("c1"));
  CHECK(sessions.remove("c2"));
  CHECK_FALSE(sessions.remove("c2"));
  LONGS_EQUAL(0, sessions.size());
}
TEST(session_registry, a_pause_of_this_process_ends_no_session) {
  sessions.record_heartbeat(heartbeat("c1"), second);
  sessions.record_heartbeat(heartbeat("c2"), 5 * second);
  sessions.extend_for_pause(6 * second, 4 * second);
  CHECK(sessions.remove_timed_out(6 * second, second).empty());
  LONGS_EQUAL(6 * second, sessions.find("c2")->last_contact);  // not moved beyond the current time
}
TEST(session_registry, versions_of_a_later_start_are_greater) {
  sessions.record_heartbeat(heartbeat("c1"), second);
  auto earlier_table = sessions.table().version;
  auto earlier_list = sessions.next_live_nodes_version();
  CHECK(sessions.next_live_nodes_version() > earlier_list);
  auto later_view = cluster_view();
  auto later = reachridge::session_registry(later_view);
  later.start("a:1/disk", 2);
  CHECK(later.table().version > earlier_table);
  CHECK(later.next_live_nodes_version() > earlier_list);
}
