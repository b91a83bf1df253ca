#include "gateway/subscription_table.hpp"

// Must be the last include because the header redefines new.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

auto make_subscription(const std::string& partition) -> subscription {
  auto out = subscription();
  out.partition = partition;
  return out;
}
}  // namespace

TEST_GROUP(subscriptions){};

TEST(subscriptions, accepts_only_increasing_positions_while_open) {
  auto entry = make_subscription("p/1");
  entry.last_position = 4;
  entry.begin_opening("storage-1", 1, 0);
  CHECK_FALSE(entry.accept(5));  // the primary has not confirmed the newest opening yet
  entry.open = true;
  CHECK(entry.accept(5));
  CHECK_FALSE(entry.accept(5));
  CHECK_FALSE(entry.accept(3));
  CHECK(entry.accept(8));
  LONGS_EQUAL(8, entry.last_position);
  entry.detach_from_primary();
  CHECK_FALSE(entry.accept(9));
}

TEST(subscriptions, a_retry_at_the_same_primary_starts_no_new_opening) {
  auto entry = make_subscription("p/1");
  entry.begin_opening("storage-1", 1, 0);
  entry.begin_opening("storage-1", 1, 5);
  LONGS_EQUAL(1, entry.opening);
  entry.begin_opening("storage-2", 2, 9);
  LONGS_EQUAL(2, entry.opening);
  entry.detach_from_primary();
  entry.begin_opening("storage-2", 2, 12);
  LONGS_EQUAL(3, entry.opening);
}

TEST(subscriptions, loss_of_a_node_or_partition_closes_its_subscriptions) {
  auto table = subscription_table("gateway:run:");
  auto ids = std::vector<std::string>();
  for (const auto* partition : {"p/1", "p/2", "p/1"}) {
    auto& [id, added] = table.add(make_subscription(partition));
    added.begin_opening(ids.size() < 2 ? "storage-1" : "storage-2", 1, 0);
    added.open = true;
    ids.push_back(id);
  }
  STRCMP_EQUAL("gateway:run:1", ids[0].c_str());
  LONGS_EQUAL(3, table.open_count());
  CHECK(table.find_at_primary(ids[0], "storage-1") && !table.find_at_primary(ids[0], "storage-2"));
  table.detach_partition("p/1", "storage-1");
  CHECK(!table.find(ids[0])->open && table.find(ids[1])->open && table.find(ids[2])->open);
  table.detach_from_node("storage-1");
  LONGS_EQUAL(1, table.open_count());
  table.erase(ids[2]);
  LONGS_EQUAL(2, table.size());
  CHECK(!table.find(ids[2]));
}
