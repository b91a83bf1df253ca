#include "rpc/peer_connection.hpp"

#include <memory>
#include <string>

#include "rpc/messages.hpp"
#include "simulator/fleet.hpp"

// This header must be the last one because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;

// Connects to an address, sends bytes, and reads until the peer closes the connection, but for at most three seconds.
auto send_bytes(fleet& fleet, std::string address, std::string bytes, std::shared_ptr<bool> closed) -> task<void> {
  auto& machine = *fleet.outside;
  auto stream = co_await machine.connect(address, machine.now() + second);
  if (!stream)
    co_return;
  stream->send(bytes);
  auto deadline = machine.now() + 3 * second;
  while (!stream->closed && machine.now() < deadline) {
    stream->input.clear();
    co_await stream->read_more(deadline);
  }
  *closed = stream->closed;
}

// Sends bytes to the peer address of a process. Returns whether the process closed the connection.
auto is_closed_after(fleet& fleet, const std::string& process, const std::string& bytes) -> bool {
  auto closed = std::make_shared<bool>(false);
  fleet.operator_tasks->spawn(send_bytes(fleet, fleet.processes.at(process)->settings.address, bytes, closed));
  fleet.network.run(fleet.network.clock + 4 * second);
  return *closed;
}

auto shape_without_clients() -> fleet_shape {
  auto shape = fleet_shape();
  shape.clients = 0;
  return shape;
}

auto relay_frame(const std::string& address) -> std::string {
  return encode_frame(encode(relay_message{address}));
}
}  // namespace

TEST_GROUP(peer_connection_frames){};

TEST(peer_connection_frames, a_malformed_frame_closes_only_its_own_connection) {
  auto nodes = fleet(21, shape_without_clients());
  CHECK(nodes.begin());
  auto hello = encode_frame(object{{"op", "hello"}, {"me", "test"}});
  CHECK_FALSE(is_closed_after(nodes, "queen-1", hello));
  CHECK(is_closed_after(nodes, "queen-1", hello + std::string("\xff\xff\xff\x7f", 4)));
  CHECK(is_closed_after(nodes, "comb-1", hello + std::string("\x03\0\0\0\x83\x01\x02", 7)));
  CHECK(is_closed_after(nodes, "comb-1", encode_frame(array{1, 2})));
  CHECK(is_closed_after(nodes, "comb-2", hello + encode_frame(object{{"op", "c.log"}, {"cell", 7}})));
  CHECK_FALSE(nodes.leader().empty());
  CHECK_FALSE(nodes.primary_of("alerts/0").empty());
}

TEST(peer_connection_frames, connections_are_relayed_only_to_members) {
  auto nodes = fleet(22, shape_without_clients());
  CHECK(nodes.begin());
  CHECK(is_closed_after(nodes, "comb-1", relay_frame("10.0.0.1:7000")));
  CHECK_FALSE(is_closed_after(nodes, "comb-1", relay_frame(nodes.processes.at("comb-2")->settings.address)));
}
