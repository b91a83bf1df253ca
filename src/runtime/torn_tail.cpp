#include "runtime/torn_tail.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "runtime/file_descriptor.hpp"

namespace reachridge {
namespace {

// The log format of LevelDB (doc/log_format.md in its sources): a log consists of blocks, a block of fragments. A
// fragment is a header (4 bytes of checksum, 2 of length, 1 of type) followed by its data. A record is one or more
// fragments.
constexpr auto block_bytes = std::size_t{32768};
constexpr auto header_bytes = std::size_t{7};
constexpr auto length_offset = std::size_t{4};
constexpr auto type_offset = std::size_t{6};  // the checksum covers the type and the data
constexpr auto checksum_mask_delta = 0xa282ead8U;
enum fragment_type : unsigned char { none = 0, full = 1, first = 2, middle = 3, last = 4 };

struct fragment {
  std::size_t size = 0;  // including the header; 0 if the header is invalid
  unsigned char type = none;
  bool is_intact = false;  // the header is valid and the checksum matches
  [[nodiscard]] auto begins_record() const -> bool {
    return type == full || type == first;
  }
};

auto byte_at(std::string_view bytes, std::size_t offset) -> std::uint32_t {
  return static_cast<unsigned char>(bytes[offset]);
}

// Returns the CRC-32C of the bytes, masked as the log format requires.
auto masked_checksum(std::string_view bytes) -> std::uint32_t {
  auto crc = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>();
  crc.process_bytes(bytes.data(), bytes.size());
  auto checksum = static_cast<std::uint32_t>(crc.checksum());
  return ((checksum >> 15) | (checksum << 17)) + checksum_mask_delta;
}

auto stored_checksum(std::string_view header) -> std::uint32_t {
  return byte_at(header, 0) | byte_at(header, 1) << 8 | byte_at(header, 2) << 16 | byte_at(header, 3) << 24;
}

auto room_in_block(std::size_t offset) -> std::size_t {
  return block_bytes - offset % block_bytes;
}

// Returns the offset of the next fragment. The rest of a block is padding if it is too short for a header.
auto skip_padding(std::size_t offset) -> std::size_t {
  auto room = room_in_block(offset);
  return room < header_bytes ? offset + room : offset;
}

auto read_fragment(std::string_view log, std::size_t offset) -> fragment {
  auto room = std::min(room_in_block(offset), log.size() - offset);
  if (room < header_bytes)
    return {};
  auto bytes = log.substr(offset, room);
  auto length = std::size_t{byte_at(bytes, length_offset) | byte_at(bytes, length_offset + 1) << 8};
  auto type = static_cast<unsigned char>(byte_at(bytes, type_offset));
  auto header_is_valid = type != none && type <= last && header_bytes + length <= room;
  if (!header_is_valid)
    return {0, type, false};
  auto checksum = masked_checksum(bytes.substr(type_offset, 1 + length));
  return {header_bytes + length, type, checksum == stored_checksum(bytes)};
}

// Compares the numbers in the names of two log files. LevelDB pads the numbers to 6 digits, and larger numbers have
// more digits, so a longer name is newer.
auto is_newer(const std::filesystem::path& candidate, const std::filesystem::path& other) -> bool {
  auto number = [](const std::filesystem::path& file) {
    auto stem = file.stem().string();
    return std::pair(stem.size(), stem);
  };
  return number(candidate) > number(other);
}

// Returns the path of the newest log file that is not empty, or an empty path if there is none.
auto newest_log(const std::string& folder) -> std::filesystem::path {
  auto newest = std::filesystem::path();
  auto error = std::error_code();
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    auto has_bytes = entry.path().extension() == ".log" && entry.file_size(error) != 0 && !error;
    if (!has_bytes)
      continue;
    if (newest.empty() || is_newer(entry.path(), newest))
      newest = entry.path();
  }
  return newest;
}

auto read_file(const std::filesystem::path& file) -> std::string {
  auto input = std::ifstream(file, std::ios::binary);
  auto content = std::ostringstream();
  content << input.rdbuf();
  return content.str();
}

auto truncate_synced(const std::filesystem::path& file, std::size_t size) -> bool {
  auto opened = file_descriptor(::open(file.c_str(), O_RDWR | O_CLOEXEC));
  return opened.get() >= 0 && ::ftruncate(opened.get(), static_cast<off_t>(size)) == 0 && ::fsync(opened.get()) == 0;
}

}  // namespace

auto torn_tail(std::string_view log) -> std::optional<std::size_t> {
  auto unfinished = std::optional<std::size_t>();  // offset of the record whose last fragment was not read yet
  auto torn = std::optional<std::size_t>();        // offset of the first torn record
  auto offset = std::size_t{0};
  while (offset < log.size()) {
    auto next = read_fragment(log, offset);
    if (!torn && !next.is_intact)
      torn = unfinished.value_or(offset);
    if (torn && next.is_intact && next.begins_record())
      return {};
    if (next.type == first)
      unfinished = offset;
    if (next.type == last)
      unfinished.reset();
    offset = skip_padding(offset + (next.size ? next.size : room_in_block(offset)));
  }
  return torn ? torn : unfinished;
}

auto cut_torn_tail(const std::string& folder) -> bool {
  auto log = newest_log(folder);
  if (log.empty())
    return false;
  auto begin = torn_tail(read_file(log));
  return begin && truncate_synced(log, *begin);
}

}  // namespace reachridge
