// The leader's bookkeeping for a follower, and the assembly of snapshot chunks on the follower.
#include "raft/follower_progress.hpp"

#include "raft/snapshot_assembly.hpp"

// CppUTest must come last because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

const auto follower = voter{"b:1", "y"};

// A chunk of a snapshot of ten bytes. Chunks of one snapshot have the same term, index, size and checksum.
auto sample_chunk(std::int64_t checksum, std::int64_t offset, std::string data) -> snapshot_chunk {
  return {3, "a:1", "y", 40, 2, 10, checksum, offset, std::move(data)};
}
}  // namespace

TEST_GROUP(raft_progress){};
TEST(raft_progress, an_acknowledgement_never_lowers_the_match_index) {
  auto progress = follower_progress();
  CHECK(progress.handle_append_reply(follower, {1, true, "y", 8, 0}, 10, second));
  CHECK(progress.handle_append_reply(follower, {1, true, "y", 5, 0}, 10, second / 2));
  CHECK(progress.match_index == 8);
  CHECK(progress.next_index == 6);
  CHECK(progress.last_contact == second);
  // The match index is limited to the end of the leader's log.
  CHECK(progress.handle_append_reply(follower, {1, true, "y", 20, 0}, 10, second));
  CHECK(progress.match_index == 10);
}
TEST(raft_progress, a_rejection_moves_the_next_index_to_the_hint) {
  auto progress = follower_progress();
  progress.next_index = 9;
  CHECK(progress.handle_append_reply(follower, {1, false, "y", 0, 4}, 10, second));
  CHECK(progress.next_index == 4);
  CHECK(progress.handle_append_reply(follower, {1, false, "y", 0, 0}, 10, second));
  CHECK(progress.next_index == 3);
  CHECK(progress.handle_append_reply(follower, {1, false, "y", 0, 99}, 10, second));
  CHECK(progress.next_index == 11);
}
TEST(raft_progress, replies_from_another_disk_are_ignored) {
  auto progress = follower_progress();
  CHECK_FALSE(progress.handle_append_reply(follower, {1, true, "z", 8, 0}, 10, second));
  CHECK_FALSE(progress.handle_snapshot_reply(follower, {1, true, "z", 0, true}, second));
  CHECK(progress.different_disk_answered);
  CHECK(progress.match_index == 0);
  CHECK(progress.last_contact == -never);
}
TEST(raft_progress, the_window_adapts_to_the_response_time) {
  auto progress = follower_progress();
  progress.window = 1000;
  progress.adapt_window(second, second, 600);
  LONGS_EQUAL(600, progress.window);
  progress.adapt_window(second * 6 / 10, second, 600);  // neither slow nor fast: the window stays the same
  LONGS_EQUAL(600, progress.window);
  progress.adapt_window(second / 4, second, 600);
  LONGS_EQUAL(1200, progress.window);
  progress.window = max_window_bytes;
  progress.adapt_window(0, second, 600);
  LONGS_EQUAL(max_window_bytes, progress.window);
}
TEST(raft_progress, snapshot_chunks_are_assembled_in_order) {
  auto assembly = snapshot_assembly();
  CHECK_FALSE(assembly.add(sample_chunk(7, 4, "4567")));  // the first chunk has not arrived
  LONGS_EQUAL(0, assembly.received());
  CHECK(assembly.add(sample_chunk(7, 0, "0123")));
  CHECK_FALSE(assembly.add(sample_chunk(7, 0, "0123")));  // duplicate
  CHECK(assembly.add(sample_chunk(7, 4, "4567")));
  LONGS_EQUAL(8, assembly.received());
  CHECK_FALSE(assembly.complete());
  CHECK(assembly.add(sample_chunk(7, 8, "89")));
  CHECK(assembly.complete());
  auto assembled = assembly.release();
  CHECK(assembled.index == 40 && assembled.term == 2 && assembled.bytes == "0123456789");
  CHECK_FALSE(assembly.add(sample_chunk(7, 8, "89")));  // `release` has cleared the assembly
}
TEST(raft_progress, a_chunk_of_another_snapshot_restarts_the_assembly) {
  auto assembly = snapshot_assembly();
  CHECK(assembly.add(sample_chunk(7, 0, "0123")));
  CHECK_FALSE(assembly.add(sample_chunk(8, 4, "4567")));
  LONGS_EQUAL(0, assembly.received());
  CHECK(assembly.add(sample_chunk(8, 0, "abcd")));
  LONGS_EQUAL(4, assembly.received());
}
