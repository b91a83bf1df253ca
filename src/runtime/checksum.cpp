#include "runtime/checksum.hpp"

#include <zlib.h>

namespace reachridge {

auto crc_32(std::string_view bytes) -> std::uint32_t {
  return static_cast<std::uint32_t>(::crc32_z(0, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()));
}

}  // namespace reachridge
