#include "runtime/socket_address.hpp"

#include <arpa/inet.h>

#include <cstdint>

namespace reachridge {

auto to_socket_address(const std::string& text) -> sockaddr_in {
  auto colon = text.rfind(':');
  auto address = sockaddr_in();
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

auto to_text(const sockaddr_in& address) -> std::string {
  char ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace reachridge
