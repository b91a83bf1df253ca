// Temporary folders for tests.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace reachridge {

// Creates a new folder under /tmp. The destructor removes the folder and its contents.
class scratch_folder {
 public:
  scratch_folder() {
    char name[] = "/tmp/reachridge-test-XXXXXX";
    if (!::mkdtemp(name))
      throw std::runtime_error("cannot create a temporary folder under /tmp");
    path_ = name;
  }
  scratch_folder(const scratch_folder&) = delete;
  auto operator=(const scratch_folder&) -> scratch_folder& = delete;
  ~scratch_folder() {
    std::filesystem::remove_all(path_);
  }
  [[nodiscard]] auto path() const -> const std::string& {
    return path_;
  }

 private:
  std::string path_;
};

}  // namespace reachridge
