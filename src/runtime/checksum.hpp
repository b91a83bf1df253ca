// Checksums of stored and transferred bytes.
#pragma once
#include <cstdint>
#include <string_view>

namespace reachridge {

// Returns the CRC-32 of the bytes (ISO-HDLC, as in gzip).
[[nodiscard]] auto crc_32(std::string_view bytes) -> std::uint32_t;

}  // namespace reachridge
