// Ownership of a POSIX file descriptor.
#pragma once
#include <unistd.h>

#include <utility>

namespace reachridge {

// Owns a file descriptor and closes the descriptor in the destructor. A negative value, as returned by a failed system
// call, is kept but not closed.
class file_descriptor {
 public:
  explicit file_descriptor(int owned) : descriptor_(owned) {}
  file_descriptor(file_descriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  auto operator=(file_descriptor&&) -> file_descriptor& = delete;
  ~file_descriptor() {
    if (descriptor_ >= 0)
      ::close(descriptor_);
  }
  [[nodiscard]] auto get() const -> int {
    return descriptor_;
  }

 private:
  int descriptor_;
};

}  // namespace reachridge
