// Replaces operator new by a counting one. A header before each block holds the size and the charged account.
#include "simulator/heap.hpp"

#include <cstddef>
#include <cstdlib>
#include <new>

namespace {

struct alignas(std::max_align_t) block_header {
  std::int64_t size;
  std::int64_t* account;
};
[[maybe_unused]] const auto counted = reachridge::heap_counted = true;

}  // namespace

// Replaces all forms except the aligned ones, because a library may allocate with one form and free with another. The
// aligned forms are only paired with each other.
auto operator new(std::size_t size, const std::nothrow_t&) noexcept -> void* {
  auto* header = static_cast<block_header*>(std::malloc(size + sizeof(block_header)));
  if (!header)
    return nullptr;
  header->size = static_cast<std::int64_t>(size);
  header->account = reachridge::heap_account;
  if (header->account)
    *header->account += header->size;
  return header + 1;
}
auto operator new(std::size_t size) -> void* {
  if (auto* block = operator new(size, std::nothrow))
    return block;
  throw std::bad_alloc();
}
auto operator new[](std::size_t size) -> void* {
  return operator new(size);
}
auto operator new[](std::size_t size, const std::nothrow_t& tag) noexcept -> void* {
  return operator new(size, tag);
}
auto operator delete(void* block) noexcept -> void {
  if (!block)
    return;
  auto* header = static_cast<block_header*>(block) - 1;
  if (header->account)
    *header->account -= header->size;
  std::free(header);
}
auto operator delete(void* block, std::size_t) noexcept -> void {
  operator delete(block);
}
auto operator delete(void* block, const std::nothrow_t&) noexcept -> void {
  operator delete(block);
}
auto operator delete[](void* block) noexcept -> void {
  operator delete(block);
}
auto operator delete[](void* block, std::size_t) noexcept -> void {
  operator delete(block);
}
auto operator delete[](void* block, const std::nothrow_t&) noexcept -> void {
  operator delete(block);
}
