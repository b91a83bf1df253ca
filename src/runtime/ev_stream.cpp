#include "runtime/ev_stream.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "runtime/socket_address.hpp"

namespace reachridge {
namespace {

constexpr auto max_buffered_bytes = std::size_t{64} << 10;  // more output is written before the end of the turn
constexpr auto max_input_bytes = std::size_t{16} << 20;     // twice the largest frame
constexpr auto read_buffer_bytes = std::size_t{64} << 10;
constexpr auto max_reads_per_event = 4;     // so that one stream does not block the others
constexpr auto max_accepts_per_event = 64;  // so that new connections do not block the streams

// Returns whether a system call that failed with this error may succeed at the next attempt.
auto is_transient(int error) -> bool {
  return error == EAGAIN || error == EINTR;
}

}  // namespace

auto open_socket() -> file_descriptor {
  return file_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

ev_stream::ev_stream(ev_host& machine, file_descriptor socket)
    : byte_stream(machine),
      host_(machine),
      socket_(std::move(socket)),
      watcher_(machine.loop, socket_.get(), EV_READ, [this](int events) {
        on_event(events);
      }) {
  auto enabled = 1;
  setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

ev_stream::~ev_stream() {
  if (!output_.empty())
    write_pending();
}

auto ev_stream::send(std::string_view bytes) -> void {
  if (closed || closing_)
    return;
  auto socket_is_full = !output_.empty() && !is_linked();  // libev reports when the socket accepts bytes again
  output_.append(bytes);
  if (socket_is_full)
    return;
  if (output_.size() >= max_buffered_bytes) {
    write_pending();
  } else {
    host_.flush_at_turn_end(*this);
  }
}

auto ev_stream::close() -> void {
  if (closed)
    return;
  closing_ = true;
  write_pending();
  ::shutdown(socket_.get(), output_.empty() ? SHUT_RDWR : SHUT_RD);
  mark_closed();
}

// After a pause of the loop, the socket may hold the end of the stream before the loop has read it, so this function
// asks the socket. The socket does not report the end while it holds unread bytes.
auto ev_stream::peer_has_closed() const -> bool {
  if (closed)
    return true;
  auto byte = char{};
  auto received = ::recv(socket_.get(), &byte, sizeof byte, MSG_PEEK);
  return received == 0 || (received < 0 && !is_transient(errno));
}

auto ev_stream::on_event(int events) -> void {
  if (events & EV_WRITE)
    write_pending();
  if (events & EV_READ)
    read_available();
}

auto ev_stream::read_available() -> void {
  auto may_have_more = true;
  for (auto reads = 0; reads < max_reads_per_event && may_have_more; ++reads)
    may_have_more = !closed && input.size() < max_input_bytes && read_once();
  if (acknowledges_promptly_ && !closed)
    send_acknowledgement();
  if (!closed)
    update_events();
}

// The system returns to delayed acknowledgements by itself, so this is repeated after every read.
auto ev_stream::send_acknowledgement() -> void {
  auto enabled = 1;
  setsockopt(socket_.get(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
}

auto ev_stream::read_once() -> bool {
  char buffer[read_buffer_bytes];
  auto received = ::recv(socket_.get(), buffer, sizeof buffer, 0);
  if (received > 0) {
    input.append(buffer, static_cast<std::size_t>(received));
    readable_.wake();
    return received == static_cast<ssize_t>(sizeof buffer);
  }
  auto ended = received == 0 || !is_transient(errno);
  if (ended)
    mark_closed();
  return false;
}

auto ev_stream::write_pending() -> void {
  if (is_linked())
    unlink();
  while (!output_.empty()) {
    ++host_.socket_writes;
    auto sent = ::send(socket_.get(), output_.data(), output_.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      output_.erase(0, static_cast<std::size_t>(sent));
    } else if (is_transient(errno)) {
      break;
    } else {
      output_.clear();
      mark_closed();
      return;
    }
  }
  writable_.wake();
  update_events();
}

auto ev_stream::update_events() -> void {
  if (closed)
    return watcher_.set_events(0);
  auto has_room = input.size() < max_input_bytes;
  auto waits_for_socket = !output_.empty() && !is_linked();
  watcher_.set_events((has_room ? EV_READ : 0) | (waits_for_socket ? EV_WRITE : 0));
}

auto ev_stream::mark_closed() -> void {
  closed = true;
  watcher_.set_events(0);
  readable_.wake();
  writable_.wake();
}

ev_listener::ev_listener(ev_host& machine, file_descriptor socket)
    : host_(machine), socket_(std::move(socket)), watcher_(machine.loop, socket_.get(), EV_READ, [this](int) {
        accept_pending();
      }) {}

auto ev_listener::accept_pending() -> void {
  for (auto accepts = 0; accepts < max_accepts_per_event; ++accepts) {
    auto peer = sockaddr_in();
    auto size = socklen_t{sizeof peer};
    auto descriptor = ::accept4(socket_.get(), reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0)
      break;
    auto stream = std::make_shared<ev_stream>(host_, file_descriptor(descriptor));
    stream->remote_address = to_text(peer);
    accepted.push(stream);
  }
}

}  // namespace reachridge
