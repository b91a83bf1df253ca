// Conversion of socket addresses between the text form IP:PORT and the form of the system calls.
#pragma once
#include <netinet/in.h>

#include <string>

namespace reachridge {

// Converts IP:PORT. The text must be valid according to `is_address` (settings.hpp).
[[nodiscard]] auto to_socket_address(const std::string& text) -> sockaddr_in;
// Returns IP:PORT.
[[nodiscard]] auto to_text(const sockaddr_in& address) -> std::string;

}  // namespace reachridge
