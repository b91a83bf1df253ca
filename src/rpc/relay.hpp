// Relays a connection to a third process (design 3.8).
#pragma once
#include <string>

#include "runtime/host.hpp"

namespace reachridge {

// Connects to `address` and copies bytes in both directions between that connection and `stream` until one of them
// ends; then both are closed. If the connection cannot be made, `stream` is closed immediately. The log line appears
// under `own_name`.
auto relay_stream(host& machine, task_group& tasks, byte_stream_ptr stream, std::string address, std::string own_name)
    -> task<void>;

}  // namespace reachridge
