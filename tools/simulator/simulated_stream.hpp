// Byte streams between the processes of a simulated fleet (design 9.1).
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "simulator/simulated_network.hpp"

namespace reachridge {

// One end of a stream. Each end holds a weak pointer to the other, because either may be destroyed with its process.
// Bytes travel in packets, at most one per direction at a time. A packet that cannot be delivered is retransmitted
// until the stream times out. The bytes of a packet in flight are delivered even if the sending process ends.
class sim_stream : public byte_stream, public std::enable_shared_from_this<sim_stream> {
 public:
  sim_stream(sim_host& owner, machine& remote) : byte_stream(owner), host_(owner), remote_machine_(remote) {}
  ~sim_stream() override {
    announce_close();
  }
  struct ends {
    std::shared_ptr<sim_stream> connecting, accepting;
  };
  // Creates both ends of a connection from `from` to a listener of `to` at `address`.
  static auto open(sim_host& from, sim_host& to, const std::string& address) -> ends;

  auto send(std::string_view bytes) -> void override;
  auto close() -> void override;
  [[nodiscard]] auto unsent_bytes() const -> std::size_t override {
    return output_.size() + bytes_in_flight_;
  }

 private:
  // Bytes in flight from one end to the other.
  struct packet {
    simulated_network* network;
    machine *from_machine, *to_machine;
    std::weak_ptr<sim_stream> from, to;
    std::shared_ptr<std::string> bytes;
    monotonic_time sent_at;
  };
  // The notice in flight that one end has closed the stream.
  struct close_notice {
    simulated_network* network;
    machine *from_machine, *to_machine;
    std::weak_ptr<sim_stream> to;
    monotonic_time sent_at;
  };

  // Notifies the other end that this end has closed, unless the machine has no power.
  auto announce_close() -> void;
  static auto deliver_close(const close_notice& notice, monotonic_time at) -> void;
  static auto on_close_arrival(const close_notice& notice) -> void;
  auto break_stream() -> void;

  auto send_next_packet() -> void;
  auto take_packet_bytes() -> std::shared_ptr<std::string>;
  static auto deliver(const packet& sent, monotonic_time at) -> void;
  static auto on_arrival(const packet& sent) -> void;
  static auto retransmit(const packet& sent) -> void;
  auto receive(const packet& sent, std::uint64_t whole_sends) -> void;
  auto on_delivered(std::size_t bytes) -> void;
  auto on_refused() -> void;
  auto on_timeout() -> void;

  std::weak_ptr<sim_stream> peer_;
  sim_host& host_;
  machine& remote_machine_;
  std::string output_;
  std::size_t bytes_in_flight_ = 0;
  std::uint64_t sends_ = 0, sends_in_flight_ = 0;  // a send is counted with the packet that carries its last byte
  bool packet_in_flight_ = false, closing_ = false, close_announced_ = false, packet_arriving_ = false;
};

}  // namespace reachridge
