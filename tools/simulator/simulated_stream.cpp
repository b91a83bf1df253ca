#include "simulator/simulated_stream.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace reachridge {
namespace {

constexpr auto retransmit_interval = 200 * millisecond;
constexpr auto stream_timeout = 15 * second;                // a packet undelivered for this long breaks the stream
constexpr auto socket_buffer_bytes = std::size_t{1} << 20;  // unread bytes that the receiving kernel accepts
constexpr auto packet_bytes = std::size_t{64} << 10;
constexpr auto jitter = 100;  // microseconds

}  // namespace

auto sim_stream::open(sim_host& from, sim_host& to, const std::string& address) -> ends {
  auto stream_ends =
      ends{std::make_shared<sim_stream>(from, to.own_machine), std::make_shared<sim_stream>(to, from.own_machine)};
  stream_ends.connecting->peer_ = stream_ends.accepting;
  stream_ends.accepting->peer_ = stream_ends.connecting;
  stream_ends.connecting->remote_address = address;
  stream_ends.accepting->remote_address = from.own_machine.ip;
  return stream_ends;
}

auto sim_stream::send(std::string_view bytes) -> void {
  if (closed || closing_)
    return;
  output_.append(bytes);
  auto& network = host_.network;
  network.digest.add(static_cast<std::uint64_t>(network.clock));
  network.digest.add(host_.own_machine.name);
  network.digest.add(remote_machine_.name);
  network.digest.add(bytes);
  ++network.sends;
  network.bytes += bytes.size();
  ++sends_;
  send_next_packet();
}

auto sim_stream::close() -> void {
  if (closed)
    return;
  closing_ = true;
  if (output_.empty() && !packet_in_flight_)
    announce_close();
  break_stream();
}

auto sim_stream::break_stream() -> void {
  closed = true;
  readable_.wake();
  writable_.wake();
}

auto sim_stream::announce_close() -> void {
  if (close_announced_)
    return;
  close_announced_ = true;
  if (!host_.own_machine.powered)
    return;
  auto& network = host_.network;
  deliver_close({&network, &host_.own_machine, &remote_machine_, peer_, network.clock},
                network.clock + network.latency);
}

auto sim_stream::deliver_close(const close_notice& notice, monotonic_time at) -> void {
  notice.network->schedule(at, [notice] {
    on_close_arrival(notice);
  });
}

auto sim_stream::on_close_arrival(const close_notice& notice) -> void {
  auto receiver = notice.to.lock();
  if (!receiver || receiver->closed)
    return;
  auto now = notice.network->clock;
  if (!notice.network->reachable(*notice.from_machine, *notice.to_machine)) {
    if (now - notice.sent_at < stream_timeout)
      deliver_close(notice, now + retransmit_interval);
    return;
  }
  if (receiver->packet_arriving_)
    return deliver_close(notice, now + millisecond);  // data sent before the close must arrive first
  receiver->break_stream();
}

auto sim_stream::take_packet_bytes() -> std::shared_ptr<std::string> {
  auto size = std::min(output_.size(), packet_bytes);
  auto bytes = std::make_shared<std::string>(output_.substr(0, size));
  output_.erase(0, size);
  bytes_in_flight_ += size;
  auto whole_sends = output_.empty() ? std::exchange(sends_, 0) : std::uint64_t{0};
  auto& activity = host_.activity;
  auto inside_machine = &host_.own_machine == &remote_machine_;
  (inside_machine ? activity.near_frames : activity.frames_out) += whole_sends;
  (inside_machine ? activity.near_bytes : activity.bytes_out) += size;
  sends_in_flight_ += whole_sends;
  return bytes;
}

auto sim_stream::send_next_packet() -> void {
  if (packet_in_flight_ || output_.empty())
    return;
  packet_in_flight_ = true;
  auto bytes = take_packet_bytes();
  auto& network = host_.network;
  auto delay = network.latency + static_cast<monotonic_time>(network.random_engine() % jitter);
  while (network.loses_packet())
    delay += retransmit_interval;
  if (auto receiver = peer_.lock())
    receiver->packet_arriving_ = true;
  deliver({&network, &host_.own_machine, &remote_machine_, weak_from_this(), peer_, std::move(bytes), network.clock},
          network.clock + delay);
}

auto sim_stream::deliver(const packet& sent, monotonic_time at) -> void {
  sent.network->schedule(at, [sent] {
    on_arrival(sent);
  });
}

auto sim_stream::on_arrival(const packet& sent) -> void {
  auto& network = *sent.network;
  ++network.packets;
  auto receiver = sent.to.lock();
  auto sender = sent.from.lock();
  if (!sent.from_machine->powered)
    return;
  auto reachable = network.reachable(*sent.from_machine, *sent.to_machine);
  auto receiver_gone = reachable && sent.to_machine->powered && (!receiver || receiver->closed);
  if (receiver_gone || network.refuses(*sent.from_machine, *sent.to_machine)) {
    if (sender)
      sender->on_refused();
    return;
  }
  auto has_room = receiver && !receiver->closed && receiver->input.size() < socket_buffer_bytes;
  if (!reachable || !has_room) {
    auto timed_out = network.clock - sent.sent_at > stream_timeout && !reachable;
    if (!timed_out)
      return retransmit(sent);
    if (sender)
      sender->on_timeout();
    return;
  }
  receiver->receive(sent, sender ? std::exchange(sender->sends_in_flight_, 0) : 0);
  if (sender)
    sender->on_delivered(sent.bytes->size());
}

auto sim_stream::retransmit(const packet& sent) -> void {
  deliver(sent, sent.network->clock + retransmit_interval);
}

auto sim_stream::receive(const packet& sent, std::uint64_t whole_sends) -> void {
  {
    auto heap_charge = heap_scope(host_.network.metered ? host_.heap_account : nullptr);
    input += *sent.bytes;
  }
  auto& activity = host_.activity;
  auto inside_machine = sent.from_machine == sent.to_machine;
  (inside_machine ? activity.near_frames : activity.frames_in) += whole_sends;
  (inside_machine ? activity.near_bytes : activity.bytes_in) += sent.bytes->size();
  packet_arriving_ = false;
  readable_.wake();
}

auto sim_stream::on_delivered(std::size_t bytes) -> void {
  bytes_in_flight_ -= std::min(bytes_in_flight_, bytes);
  packet_in_flight_ = false;
  writable_.wake();
  send_next_packet();
  if (closing_ && output_.empty() && !packet_in_flight_)
    announce_close();
}

auto sim_stream::on_refused() -> void {
  bytes_in_flight_ = 0;
  on_timeout();
}

auto sim_stream::on_timeout() -> void {
  packet_in_flight_ = false;
  if (!closed)
    break_stream();
}

}  // namespace reachridge
