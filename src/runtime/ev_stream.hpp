// TCP streams and listening sockets on libev (design 3.1). Only ev_host uses this header.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/ev_host.hpp"
#include "runtime/file_descriptor.hpp"
#include "runtime/io_watcher.hpp"

namespace reachridge {

// Returns a new non-blocking TCP socket. The descriptor is negative if the system call failed.
[[nodiscard]] auto open_socket() -> file_descriptor;

// A connected TCP socket. Bytes that are sent within one turn of the loop are written with one system call at the end
// of the turn, or earlier if they fill the buffer.
class ev_stream : public byte_stream, public buffered_stream {
 public:
  ev_stream(ev_host& machine, file_descriptor socket);
  ~ev_stream() override;
  auto send(std::string_view bytes) -> void override;
  auto flush_buffer() -> void override {
    write_pending();
  }
  auto close() -> void override;
  [[nodiscard]] auto unsent_bytes() const -> std::size_t override {
    return output_.size();
  }
  auto input_consumed() -> void override {
    update_events();
  }
  auto acknowledge_promptly() -> void override {
    acknowledges_promptly_ = true;
  }
  [[nodiscard]] auto peer_has_closed() const -> bool override;

 private:
  auto on_event(int events) -> void;
  auto read_available() -> void;
  auto send_acknowledgement() -> void;
  // Reads once from the socket. Returns whether more bytes may be available.
  auto read_once() -> bool;
  // Writes as much of the output as the socket accepts.
  auto write_pending() -> void;
  // Watches for readability while `input` has room, and for writability while the socket's buffer is full.
  auto update_events() -> void;
  // Stops receiving and sending, and wakes the waiting coroutines.
  auto mark_closed() -> void;

  ev_host& host_;
  file_descriptor socket_;
  io_watcher watcher_;
  std::string output_;    // queued bytes that the socket has not accepted yet
  bool closing_ = false;  // `close` was called: no more bytes are queued
  bool acknowledges_promptly_ = false;
};

// A listening TCP socket. Adds each new connection to the queue `accepted`.
class ev_listener : public listener {
 public:
  ev_listener(ev_host& machine, file_descriptor socket);

 private:
  auto accept_pending() -> void;

  ev_host& host_;
  file_descriptor socket_;
  io_watcher watcher_;
};

}  // namespace reachridge
