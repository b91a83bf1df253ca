#include "rpc/relay.hpp"

#include <cstddef>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto connect_timeout = 1 * second;
constexpr auto max_unsent_bytes = std::size_t{1} << 20;  // reading pauses while more bytes are queued for a slow reader

// Copies the bytes of `source` to `target` until either stream ends, then closes `target`.
auto copy_bytes(byte_stream_ptr source, byte_stream_ptr target) -> task<void> {
  while (true) {
    if (!source->input.empty()) {
      target->send(source->input);
      source->input.clear();
      source->input_consumed();
      auto open = co_await target->wait_until_sent(max_unsent_bytes, never);
      if (!open)
        break;
    }
    auto more = co_await source->read_more();
    if (!more)
      break;
  }
  target->close();
}

}  // namespace

auto relay_stream(host& machine, task_group& tasks, byte_stream_ptr stream, std::string address, std::string own_name)
    -> task<void> {
  auto target = co_await machine.connect(address, machine.now() + connect_timeout);
  if (!target)
    co_return stream->close();
  log(log_level::info, own_name, "relaying the connection from " + stream->remote_address + " to " + address);
  tasks.spawn(copy_bytes(target, stream));
  co_await copy_bytes(stream, target);
}

}  // namespace reachridge
