#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "runtime/ev_host.hpp"
#include "runtime/file_descriptor.hpp"
#include "runtime/loopback.hpp"
#include "runtime/socket_address.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
using reachridge::second;

// Calls `send` 100 times in one turn, and once more directly before `close`.
auto send_in_one_turn(ev_host& machine, std::string address, std::uint64_t& socket_writes) -> task<void> {
  auto stream = co_await machine.connect(address, machine.now() + second);
  if (!stream)
    co_return machine.end();
  for (auto i = 0; i < 100; ++i)
    stream->send(std::to_string(i % 10));
  co_await sleep_for(machine, 20 * millisecond);
  socket_writes = machine.socket_writes;
  stream->send("x");
  stream->close();
}

// Reads all bytes of the next accepted connection until its end.
auto read_to_end(ev_host& machine, listener& listening, std::string& received) -> task<void> {
  auto stream = co_await listening.accepted.pop(machine);
  for (auto open = true; open; open = co_await stream->read_more(machine.now() + second)) {
    received += stream->input;
    stream->input.clear();
  }
  received += stream->input;
  machine.end();
}

// The results of `peer_has_closed` on the accepted stream, and the bytes that the stream received.
struct peer_observations {
  bool closed_before_send = true;
  bool closed_after_close = false;
  std::string received;
};

// Sends "order" and closes the stream. Records the observations of the accepting side.
auto send_and_close(loopback& local, peer_observations& seen) -> task<void> {
  auto& machine = local.machine;
  auto caller = co_await machine.connect(local.address, machine.now() + second);
  auto accepted = co_await local.listening->accepted.pop(machine);
  seen.closed_before_send = accepted->peer_has_closed();
  caller->send("order");
  caller->close();
  ::usleep(20000);  // blocks the loop, like a suspension of the process
  co_await accepted->read_more(machine.now() + second);
  seen.received = accepted->input;
  seen.closed_after_close = accepted->peer_has_closed();
  machine.end();
}

struct stream_pair {
  byte_stream_ptr caller, accepted;
};

auto connect_pair(loopback& local) -> task<stream_pair> {
  auto caller = co_await local.machine.connect(local.address, local.machine.now() + second);
  auto accepted = co_await local.listening->accepted.pop(local.machine);
  co_return stream_pair{caller, accepted};
}

// Closes a stream that has pending events, and connects again at once. Returns whether the new stream receives only its
// own bytes and stays open.
auto reuse_descriptor(loopback& local) -> task<bool> {
  auto& machine = local.machine;
  auto old = co_await connect_pair(local);
  old.accepted->send(std::string(100000, 'x'));  // more than one turn reads, so events stay pending
  co_await old.caller->read_more(machine.now() + second);
  old.caller.reset();
  auto next = co_await connect_pair(local);
  old.accepted->send(std::string(1000, 'x'));
  next.accepted->send("yyyy");
  while (next.caller->input.size() < 4 && !next.caller->closed)
    co_await next.caller->read_more(machine.now() + second);
  co_await sleep_until(machine, 0);
  co_return next.caller->input == "yyyy" && !next.caller->closed;
}

// A client of another program, whose system sends a small write only after the acknowledgement of the earlier ones.
auto connect_with_nagle(const std::string& address) -> file_descriptor {
  auto socket = file_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto remote = to_socket_address(address);
  CHECK_EQUAL(0, ::connect(socket.get(), reinterpret_cast<sockaddr*>(&remote), sizeof remote));
  return socket;
}

auto read_bytes(byte_stream& stream, std::size_t count) -> task<void> {
  while (stream.input.size() < count && !stream.closed)
    co_await stream.read_more(stream.now() + second);
  stream.input.clear();
}

// Sends an answered request, then two requests without an answer between them. Returns the time that the second of them
// takes.
auto time_of_two_requests(ev_host& machine, const file_descriptor& client, byte_stream& accepted)
    -> task<monotonic_time> {
  ::send(client.get(), "a", 1, 0);
  co_await read_bytes(accepted, 1);
  accepted.send("b");
  co_await sleep_for(machine, millisecond);
  auto answer = std::array<char, 8>();
  ::recv(client.get(), answer.data(), answer.size(), MSG_DONTWAIT);
  auto sent_at = machine.now();
  ::send(client.get(), "x", 1, 0);
  ::send(client.get(), "y", 1, 0);
  co_await read_bytes(accepted, 2);
  co_return machine.now() - sent_at;
}
}  // namespace

TEST_GROUP(real_net){};

// A connection to a port without a listener is refused at once. Only a refusal sets the flag `refused`, a timeout does
// not.
TEST(real_net, a_refused_connection_is_distinguished_from_a_timeout) {
  auto machine = ev_host("");
  auto tasks = task_group(machine);
  auto refused = false;
  auto connected = true;
  tasks.spawn([](ev_host& host, bool& was_refused, bool& was_connected) -> task<void> {
    auto stream = co_await host.connect("127.0.0.1:1", host.now() + second, &was_refused);
    was_connected = stream != nullptr;
    host.end();
  }(machine, refused, connected));
  machine.run();
  CHECK(refused);
  CHECK(!connected);
}

// All bytes that are sent in one turn are written in order with one system call. Bytes that are unsent when the stream
// is closed are still sent.
TEST(real_net, bytes_sent_in_one_turn_need_one_system_call) {
  auto local = loopback();
  CHECK(local.listening != nullptr);
  auto received = std::string();
  auto socket_writes = std::uint64_t{0};
  local.tasks.spawn(send_in_one_turn(local.machine, local.address, socket_writes));
  local.tasks.spawn(read_to_end(local.machine, *local.listening, received));
  local.machine.run();
  LONGS_EQUAL(1, socket_writes);
  LONGS_EQUAL(101, received.size());
  STRCMP_EQUAL("012345678", received.substr(0, 9).c_str());
  STRCMP_EQUAL("x", received.substr(100).c_str());
}

// After a suspension of the process, the socket holds both the last bytes and the end of a client's stream. The stream
// must deliver the bytes before it reports the end.
TEST(real_net, the_end_of_a_stream_is_reported_after_its_bytes) {
  auto local = loopback();
  auto seen = peer_observations();
  local.tasks.spawn(send_and_close(local, seen));
  local.machine.run();
  CHECK(!seen.closed_before_send);
  STRCMP_EQUAL("order", seen.received.c_str());
  CHECK(seen.closed_after_close);
}

// The system reuses the number of a closed descriptor at once. Pending events and bytes of the old stream must not
// reach the new stream.
TEST(real_net, a_reused_descriptor_receives_nothing_from_the_old_stream) {
  constexpr auto rounds = 50;
  auto local = loopback();
  auto clean = 0;
  local.tasks.spawn([](loopback& sockets, int& clean_rounds) -> task<void> {
    for (auto round = 0; round < rounds; ++round) {
      auto is_clean = co_await reuse_descriptor(sockets);
      clean_rounds += is_clean;
    }
    sockets.machine.end();
  }(local, clean));
  local.machine.run();
  LONGS_EQUAL(rounds, clean);
}

// Guards against requests that wait in the client's system for the answer to an earlier one: a client with several
// requests under way then waits for one more write of the disks (review/6 on slow disks).
TEST(real_net, a_second_small_request_does_not_wait_for_an_answer) {
  constexpr auto attempts = 40;
  constexpr auto shortest_delayed_acknowledgement = 40 * millisecond;
  auto local = loopback();
  auto client = connect_with_nagle(local.address);
  auto shortest = never;
  local.tasks.spawn([](loopback& sockets, const file_descriptor& socket, monotonic_time& fastest) -> task<void> {
    auto accepted = co_await sockets.listening->accepted.pop(sockets.machine);
    accepted->acknowledge_promptly();
    for (auto attempt = 0; attempt < attempts; ++attempt) {
      auto time = co_await time_of_two_requests(sockets.machine, socket, *accepted);
      auto is_warm = attempt >= attempts / 2;  // a new connection acknowledges at once in any case
      fastest = is_warm ? std::min(fastest, time) : fastest;
    }
    sockets.machine.end();
  }(local, client, shortest));
  local.machine.run();
  CHECK_COMPARE(shortest, <, shortest_delayed_acknowledgement / 2);
}
