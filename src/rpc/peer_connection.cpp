#include "rpc/peer_connection.hpp"

#include <algorithm>
#include <utility>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

// After the peer has closed a connection, the delay before the next attempt is the heartbeat interval divided by this
// number. A process that is shutting down can still accept that attempt and close it immediately.
constexpr auto closed_retry_divisor = 16;

}  // namespace

peer_connection::peer_connection(host& machine, options chosen)
    : host_(machine), options_(std::move(chosen)), reconnect_delay_(options_.heartbeat_interval), tasks_(machine) {
  tasks_.spawn(run());
}

auto peer_connection::run() -> task<void> {
  while (true) {
    auto stream = co_await open_stream();
    if (stream) {
      co_await run_connection(stream);
      if (closed_by_peer_) {
        co_await sleep_for(host_, options_.heartbeat_interval / closed_retry_divisor);
        continue;
      }
    }
    co_await sleep_for(host_, host_.jittered(reconnect_delay_));
    reconnect_delay_ = std::min(reconnect_delay_ * 2, options_.failure_timeout);
  }
}

auto peer_connection::choose_relay() -> std::string {
  auto over_relay = attempts_ % 2 == 1;
  if (!options_.relays || !over_relay)
    return {};
  auto relays = options_.relays();
  if (relays.empty())
    return {};
  return relays[host_.random_below(relays.size())];
}

auto peer_connection::open_stream() -> task<byte_stream_ptr> {
  auto relay = choose_relay();
  auto target = relay.empty() ? options_.address : relay;
  auto refused = false;
  auto stream = co_await host_.connect(target, host_.now() + options_.failure_timeout / 2, &refused);
  relayed_ = !relay.empty();
  ++attempts_;
  if (refused && !relayed_)
    handle_refusal();
  if (refused || !stream)
    closed_by_peer_ = false;
  co_return stream;
}

auto peer_connection::handle_refusal() -> void {
  refused_at_ = host_.now();
  if (closed_by_peer_ && on_process_gone)
    on_process_gone();
}

auto peer_connection::run_connection(byte_stream_ptr stream) -> task<void> {
  start_connection(stream);
  auto started_at = last_contact_;
  auto handle = frame_handler([this](const value& body) {
    handle_frame(body);
  });
  co_await read_frames(stream, handle, options_.own_name);
  if (up_)
    prepare_reconnect(started_at);
  disconnect();
}

auto peer_connection::start_connection(byte_stream_ptr stream) -> void {
  if (relayed_)
    stream->send(encode_frame(encode(relay_message{options_.address})));
  auto current = std::make_shared<connection>(stream);
  current->send(encode(hello_message{.name = options_.own_name, .answers_heartbeats = true}));
  active = current;
  last_contact_ = host_.now();
  tasks_.spawn(send_heartbeats(current));
}

// If the connection ended by the failure timeout, a network partition is possible, and the next attempt goes through a
// relay. If the peer closed the connection, its process may have ended, and the next attempt is direct.
auto peer_connection::prepare_reconnect(monotonic_time started_at) -> void {
  auto now = host_.now();
  auto silent = is_silent(now);
  reconnect_delay_ = options_.heartbeat_interval;
  attempts_ = silent ? 1 : 0;
  closed_by_peer_ = !silent && now - started_at > options_.heartbeat_interval;
}

// Sends a heartbeat only if no frame was received for the heartbeat gap, because any frame proves that the peer is
// alive. Closes the connection after the failure timeout.
auto peer_connection::send_heartbeats(connection_ptr current) -> task<void> {
  auto last_sent = -never;
  while (current->is_open() && active == current) {
    auto now = host_.now();
    if (is_silent(now)) {
      current->close();
      break;
    }
    auto gap = heartbeat_gap();
    auto due = std::max(up_ ? last_contact_ : -never, last_sent) + gap;
    if (now >= due) {
      current->send(encode(heartbeat_message{now}));
      last_sent = now;
      due = now + gap;
    }
    auto silent_from = last_contact_ + options_.failure_timeout + 1;
    co_await sleep_until(host_, std::min(due, silent_from));
  }
}

auto peer_connection::heartbeat_gap() const -> monotonic_time {
  if (!up_)
    return options_.heartbeat_interval;
  return std::max(options_.failure_timeout * 2 / 5, options_.heartbeat_interval);
}

auto peer_connection::is_silent(monotonic_time now) const -> bool {
  return now - last_contact_ > options_.failure_timeout;
}

auto peer_connection::handle_frame(const value& body) -> void {
  last_contact_ = host_.now();
  if (!up_)
    mark_up();
  switch (kind_of_reply(body)) {
    case reply_kind::reply:
      handle_reply(body);
      break;
    case reply_kind::heartbeat:
      if (active)
        active->send(encode(heartbeat_reply_message{decode_heartbeat(body).sent_at}));
      break;
    case reply_kind::heartbeat_reply:
      break;  // last_contact_ is already updated; the reply has no other effect
    case reply_kind::notification:
      if (on_notification)
        on_notification(body);
      break;
  }
}

auto peer_connection::mark_up() -> void {
  up_ = true;
  refused_at_ = -never;
  if (on_state_change)
    on_state_change(true);
}

auto peer_connection::handle_reply(const value& reply) -> void {
  auto call = pending_calls_.find(decode_reply_id(reply));
  if (call == pending_calls_.end())
    return;  // the call has already ended by its deadline
  call->second->reply = reply;
  call->second->done.wake();
}

auto peer_connection::disconnect() -> void {
  active.reset();
  for (auto& [id, call] : pending_calls_) {
    call->disconnected = true;
    call->done.wake();
  }
  pending_calls_.clear();
  if (!up_)
    return;
  up_ = false;
  if (on_state_change)
    on_state_change(false);
}

auto peer_connection::send(const value& body) -> bool {
  if (!can_send())
    return false;
  active->send(body);
  return true;
}

auto peer_connection::call(value body, monotonic_time deadline) -> task<value> {
  if (!can_send())
    throw request_error(errc::unreachable, options_.address + " is not connected", execution_outcome::not_executed,
                        retry_after_ms());
  auto id = ++last_call_id_;
  auto pending = std::make_shared<pending_call>();
  pending_calls_[id] = pending;
  set_call_id(body, id);
  active->send(body);
  while (!pending->reply && !pending->disconnected) {
    auto in_time = co_await pending->done.wait(host_, deadline);
    if (!in_time)
      break;
  }
  pending_calls_.erase(id);
  if (!pending->reply)
    throw request_error(errc::unclear,
                        options_.address + " did not reply: the deadline passed or the connection was lost",
                        execution_outcome::unknown, retry_after_ms());
  co_return decode_reply_result(*pending->reply);
}

}  // namespace reachridge
