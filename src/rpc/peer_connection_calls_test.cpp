#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "rpc/messages.hpp"
#include "rpc/peer_connection.hpp"
#include "runtime/loopback.hpp"

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
using reachridge::second;

constexpr auto heartbeat_interval = 20 * millisecond;
constexpr auto failure_timeout = 120 * millisecond;

// The accepting side of a peer connection. Records the calls with the connection on which they arrived, and replies
// when the test tells it to.
class scripted_peer {
 public:
  struct received_call {
    std::size_t connection;
    call_id id;
  };
  scripted_peer(ev_host& machine, task_group& tasks)
      : host_(machine), tasks_(tasks), listening_(listen_on_free_port(machine, address)) {
    tasks_.spawn(accept_all());
  }
  // Sends a reply to a call. The connection may differ from the one on which the call arrived.
  auto answer(std::size_t connection, call_id id, const char* text) -> void {
    streams.at(connection)->send(encode_frame(encode_reply(id, object{{"said", text}})));
  }
  std::string address;
  std::vector<byte_stream_ptr> streams;  // the streams of all accepted connections, in the order of acceptance
  std::vector<received_call> calls;
  bool ignores_heartbeats = false;

 private:
  auto accept_all() -> task<void> {
    while (true) {
      auto stream = co_await listening_->accepted.pop(host_);
      streams.push_back(stream);
      tasks_.spawn(read_frames_of(stream, streams.size() - 1));
    }
  }
  auto read_frames_of(byte_stream_ptr stream, std::size_t connection) -> task<void> {
    while (true) {
      auto offset = std::size_t{0};
      while (auto body = decode_frame(stream->input, offset)) {
        auto kind = kind_of_request(*body);
        if (kind == request_kind::heartbeat && !ignores_heartbeats)
          stream->send(encode_frame(object{{"op", "beaten"}}));
        if (kind == request_kind::call)
          calls.push_back({connection, decode_call_id(*body)});
      }
      stream->input.erase(0, offset);
      auto open = co_await stream->read_more();
      if (!open)
        co_return;
    }
  }
  ev_host& host_;
  task_group& tasks_;
  std::unique_ptr<listener> listening_;
};

// A peer connection and its accepting side on the same event loop.
struct connected_pair {
  ev_host machine{""};
  task_group tasks{machine};
  scripted_peer peer{machine, tasks};
  peer_connection caller{machine,
                         {.own_name = "test",
                          .address = peer.address,
                          .heartbeat_interval = heartbeat_interval,
                          .failure_timeout = failure_timeout}};
};

// Makes a call. When the call has ended, `result` is the text of the reply or the code of the error.
auto call_and_record(peer_connection& caller, const char* operation, monotonic_time deadline, std::string& result)
    -> task<void> {
  try {
    auto body = value(object{{"op", operation}});
    auto reply = co_await caller.call(std::move(body), deadline);
    result = get_string(reply, "said");
  } catch (const request_error& error) {
    result = error.code_text();
  }
}

// Checks a condition every millisecond until it is true.
template <class Condition>
auto wait_until(ev_host& machine, Condition condition) -> task<void> {
  while (!condition())
    co_await sleep_for(machine, millisecond);
}

// The connection is lost during the first call, and the second call uses a new connection. During the second call,
// replies arrive that must be ignored: replies on the lost connection, and a reply to the first call on the new one.
auto call_across_connection_loss(connected_pair& pair, bool reset, std::string& first, std::string& next)
    -> task<void> {
  auto& machine = pair.machine;
  auto& peer = pair.peer;
  auto is_up = [&pair] {
    return pair.caller.is_up();
  };
  auto has_calls = [&peer](std::size_t count) {
    return [&peer, count] {
      return peer.calls.size() >= count;
    };
  };
  auto first_call_sent = has_calls(1);
  auto next_call_sent = has_calls(2);
  auto first_ended = [&first] {
    return !first.empty();
  };
  auto next_ended = [&next] {
    return !next.empty();
  };
  auto is_reconnected = [&peer] {
    return peer.streams.size() >= 2;
  };

  co_await wait_until(machine, is_up);
  pair.tasks.spawn(call_and_record(pair.caller, "one", machine.now() + 2 * second, first));
  co_await wait_until(machine, first_call_sent);
  if (reset)
    peer.streams[0]->close();
  peer.ignores_heartbeats = true;
  co_await wait_until(machine, first_ended);
  peer.ignores_heartbeats = false;
  co_await wait_until(machine, is_reconnected);
  co_await wait_until(machine, is_up);
  pair.tasks.spawn(call_and_record(pair.caller, "two", machine.now() + second, next));
  co_await wait_until(machine, next_call_sent);
  peer.answer(0, peer.calls[0].id, "to the first");
  peer.answer(0, peer.calls[1].id, "on the lost connection");
  peer.answer(1, peer.calls[0].id, "to the first");
  co_await sleep_for(machine, 5 * millisecond);
  peer.answer(1, peer.calls[1].id, "to the second");
  co_await wait_until(machine, next_ended);
  machine.end();
}

// Makes three calls. The second call reaches its deadline, and the replies arrive in a different order than the calls.
auto answer_out_of_order(connected_pair& pair, std::array<std::string, 3>& results) -> task<void> {
  auto& machine = pair.machine;
  auto& peer = pair.peer;
  auto is_up = [&pair] {
    return pair.caller.is_up();
  };
  auto second_timed_out = [&] {
    return peer.calls.size() >= 3 && !results[1].empty();
  };
  auto others_ended = [&] {
    return !results[0].empty() && !results[2].empty();
  };
  co_await wait_until(machine, is_up);
  pair.tasks.spawn(call_and_record(pair.caller, "a", machine.now() + second, results[0]));
  pair.tasks.spawn(call_and_record(pair.caller, "b", machine.now() + 10 * millisecond, results[1]));
  pair.tasks.spawn(call_and_record(pair.caller, "c", machine.now() + second, results[2]));
  co_await wait_until(machine, second_timed_out);
  peer.answer(0, peer.calls[1].id, "to b");
  peer.answer(0, peer.calls[2].id, "to c");
  peer.answer(0, peer.calls[0].id, "to a");
  co_await wait_until(machine, others_ended);
  machine.end();
}
}  // namespace

TEST_GROUP(peer_connection_calls){};

// A call whose connection was reset or timed out fails with an unknown outcome and is not retried automatically. A late
// reply to that call must not become the reply to another call.
TEST(peer_connection_calls, a_reply_on_a_lost_connection_does_not_complete_a_later_call) {
  for (auto reset : {true, false}) {
    auto pair = connected_pair();
    auto first = std::string();
    auto next = std::string();
    pair.tasks.spawn(call_across_connection_loss(pair, reset, first, next));
    pair.machine.run();
    STRCMP_EQUAL("unclear", first.c_str());
    STRCMP_EQUAL("to the second", next.c_str());
    LONGS_EQUAL(2, pair.peer.calls.size());
  }
}

// Replies may arrive in any order. Each reply completes its own call, even if another call has reached its deadline.
TEST(peer_connection_calls, replies_out_of_order_complete_their_own_calls) {
  auto pair = connected_pair();
  auto results = std::array<std::string, 3>();
  pair.tasks.spawn(answer_out_of_order(pair, results));
  pair.machine.run();
  STRCMP_EQUAL("to a", results[0].c_str());
  STRCMP_EQUAL("unclear", results[1].c_str());
  STRCMP_EQUAL("to c", results[2].c_str());
}
