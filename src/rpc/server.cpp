#include "rpc/server.hpp"

#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "rpc/messages.hpp"
#include "rpc/relay.hpp"
#include "runtime/log.hpp"
#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

// The number of sweeps without a frame after which the server sends a heartbeat, and after which it closes the
// connection. The silence is counted in sweeps and not in time, so that peers do not count as silent while this process
// itself was suspended.
constexpr auto heartbeat_after_silent_sweeps = 2;
constexpr auto max_silent_sweeps = 5;

// The state that the tasks of one listening address share. Every task holds a shared_ptr to it because the tasks end in
// any order.
struct server_state {
  host& machine;
  task_group& tasks;
  rpc_handlers handlers;
  std::string own_name;
  std::vector<std::weak_ptr<connection>> connections = {};  // includes connections that ended since the last sweep
};
using server_ptr = std::shared_ptr<server_state>;

// Executes a call and sends the reply.
auto answer_call(server_ptr server, connection_ptr peer, call_id id, value call) -> task<void> {
  auto reply = value();
  try {
    auto result = co_await server->handlers.on_call(peer, std::move(call));
    reply = encode_reply(id, std::move(result));
  } catch (const request_error& error) {
    reply = encode_error_reply(id, error);
  } catch (const std::exception& error) {
    reply = encode_error_reply(id, request_error(errc::malformed, error.what()));
  }
  peer->send(reply);
}

auto handle_frame(const server_ptr& server, const connection_ptr& peer, const value& body) -> void {
  peer->silent_sweeps = 0;
  switch (kind_of_request(body)) {
    case request_kind::hello: {
      auto hello = decode_hello(body);
      peer->peer_name = std::move(hello.name);
      peer->answers_heartbeats = hello.answers_heartbeats;
      break;
    }
    case request_kind::heartbeat:
      peer->send(encode(heartbeat_reply_message{decode_heartbeat(body).sent_at}));
      break;
    case request_kind::heartbeat_reply:
      break;  // silent_sweeps is already reset; the reply has no other effect
    case request_kind::call:
      server->tasks.spawn(answer_call(server, peer, decode_call_id(body), body));
      break;
    case request_kind::notification:
      if (server->handlers.on_notification)
        server->handlers.on_notification(peer, body);
      break;
  }
}

auto sweep_connection(const server_state& server, connection& peer) -> void {
  ++peer.silent_sweeps;
  if (peer.silent_sweeps >= max_silent_sweeps) {
    log(log_level::info, server.own_name, peer.peer_name + " did not reply to heartbeats, closing its connection");
    peer.close();
  } else if (peer.silent_sweeps >= heartbeat_after_silent_sweeps) {
    peer.send(encode(heartbeat_message{server.machine.now()}));
  }
}

// Sweeps the connections of peers that reply to heartbeats. The calling side sends heartbeats on its own only while it
// receives few frames, so a silent peer is not necessarily lost. The server closes a connection only after the peer has
// not replied to a heartbeat.
auto sweep_connections(server_ptr server) -> task<void> {
  while (true) {
    co_await sleep_for(server->machine, server->handlers.sweep_interval);
    std::erase_if(server->connections, [](const auto& candidate) {
      return candidate.expired();
    });
    for (const auto& candidate : server->connections) {
      auto peer = candidate.lock();
      auto can_be_checked = peer && peer->is_open() && peer->answers_heartbeats;
      if (can_be_checked)
        sweep_connection(*server, *peer);
    }
  }
}

struct first_frame {
  value body;
  std::size_t size = 0;  // encoded size of the frame in bytes, including its length field
};

// Waits for the first frame of a stream and leaves its bytes in the input. Returns nullopt if the stream ended first.
// Throws decode_error if the frame is malformed.
auto read_first_frame(byte_stream_ptr stream) -> task<std::optional<first_frame>> {
  auto size = std::size_t{0};
  while (true) {
    auto body = decode_frame(stream->input, size);
    if (body)
      co_return first_frame{std::move(*body), size};
    auto open = co_await stream->read_more();
    if (!open)
      co_return std::nullopt;
  }
}

// If the first frame is a relay message, removes it from the input and returns it. Otherwise returns nullopt. Throws
// decode_error if the relay message has no address.
auto take_relay_message(byte_stream& stream, const first_frame& first) -> std::optional<relay_message> {
  if (!is_relay_message(first.body))
    return {};
  stream.input.erase(0, first.size);
  return decode_relay(first.body);
}

// Handles the frames of a connection until it ends.
auto serve_frames(server_ptr server, byte_stream_ptr stream) -> task<void> {
  auto peer = std::make_shared<connection>(stream);
  server->connections.emplace_back(peer);
  auto handle = frame_handler([server, peer](const value& body) {
    handle_frame(server, peer, body);
  });
  co_await read_frames(stream, handle, server->own_name);
  if (server->handlers.on_close)
    server->handlers.on_close(peer);
}

// Relays a stream to another member of the cluster. Closes the stream if the address is not that of a member.
auto serve_relay(server_ptr server, byte_stream_ptr stream, std::string address) -> task<void> {
  const auto& may_relay = server->handlers.may_relay;
  if (!may_relay || !may_relay(address))
    co_return stream->close();
  co_await relay_stream(server->machine, server->tasks, stream, address, server->own_name);
}

// Serves an accepted stream. The first frame decides whether the stream is relayed or carries frames for this process.
auto serve_stream(server_ptr server, byte_stream_ptr stream) -> task<void> {
  auto relay = std::optional<relay_message>();
  try {
    auto first = co_await read_first_frame(stream);
    if (!first)
      co_return stream->close();
    relay = take_relay_message(*stream, *first);
  } catch (const decode_error& error) {
    log_malformed_frame(*stream, error, server->own_name);
    co_return stream->close();
  }
  if (relay) {
    co_await serve_relay(server, stream, relay->address);
  } else {
    co_await serve_frames(server, stream);
  }
}

}  // namespace

auto serve(host& machine, task_group& tasks, std::unique_ptr<listener> listening, rpc_handlers handlers,
           std::string own_name) -> task<void> {
  auto server = std::make_shared<server_state>(server_state{
      .machine = machine, .tasks = tasks, .handlers = std::move(handlers), .own_name = std::move(own_name)});
  if (server->handlers.sweep_interval > 0)
    tasks.spawn(sweep_connections(server));
  while (true) {
    auto stream = co_await listening->accepted.pop(machine);
    tasks.spawn(serve_stream(server, stream));
  }
}

}  // namespace reachridge
