#include "storage/priority_command_queue.hpp"

// After all others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace {

using namespace reachridge;

auto read_command(const char* partition) -> client_command {
  return {client_operation::read, partition, {}, nullptr, nullptr};
}
auto partition_of(const std::optional<command>& popped) -> std::string {
  return std::get<client_command>(*popped).partition;
}

}  // namespace

TEST_GROUP(priority_command_queues){};

TEST(priority_command_queues, urgent_commands_run_first_and_in_order_of_arrival) {
  auto queue = priority_command_queue();
  queue.push(priority_command_queue::least_urgent, read_command("late"));
  queue.push(3, read_command("first"));
  queue.push(3, read_command("second"));
  queue.push(priority_command_queue::most_urgent, connection_lost{});
  LONGS_EQUAL(4, queue.size());
  LONGS_EQUAL(2, queue.size_at(3));
  CHECK(std::holds_alternative<connection_lost>(*queue.pop()));
  STRCMP_EQUAL("first", partition_of(queue.pop()).c_str());
  STRCMP_EQUAL("second", partition_of(queue.pop()).c_str());
  STRCMP_EQUAL("late", partition_of(queue.pop()).c_str());
  CHECK_FALSE(queue.pop().has_value());
  LONGS_EQUAL(0, queue.size());
}
