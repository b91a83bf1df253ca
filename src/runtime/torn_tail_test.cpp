#include "runtime/torn_tail.hpp"

#include <leveldb/db.h>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "runtime/ev_host.hpp"
#include "runtime/request_error.hpp"
#include "runtime/scratch_folder.hpp"

// Must be the last include, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {
using namespace reachridge;
namespace fs = std::filesystem;

// The number of synced writes in the log.
constexpr auto write_count = 5;

// A LevelDB folder with synced writes whose log file `damage` can change, in order to simulate a loss of power.
class damaged_folder {
 public:
  // `value_bytes` is the size of the value of each write.
  explicit damaged_folder(std::size_t value_bytes) {
    write_log(value_bytes);
    for (const auto& entry : fs::directory_iterator(folder_.path()))
      if (entry.path().extension() == ".log")
        log_ = entry.path();
  }
  [[nodiscard]] auto log_bytes() const -> std::string {
    auto input = std::ifstream(log_, std::ios::binary);
    auto content = std::ostringstream();
    content << input.rdbuf();
    return content.str();
  }
  auto damage(const std::function<void(std::string&)>& change) const -> void {
    auto bytes = log_bytes();
    change(bytes);
    std::ofstream(log_, std::ios::binary | std::ios::trunc) << bytes;
  }
  // Opens the folder with a host and returns the keys in it, or "none" if the folder cannot be opened.
  [[nodiscard]] auto keys_after_opening() const -> std::string {
    try {
      auto machine = ev_host(folder_.path());
      auto keys = std::string();
      machine.disk()->scan("k", [&](const std::string& key, const std::string&) {
        keys += key + " ";
      });
      return keys;
    } catch (const request_error&) {
      return "none";
    }
  }

 private:
  auto write_log(std::size_t value_bytes) const -> void {
    auto options = leveldb::Options();
    options.create_if_missing = true;
    auto* raw = static_cast<leveldb::DB*>(nullptr);
    CHECK(leveldb::DB::Open(options, folder_.path(), &raw).ok());
    auto database = std::unique_ptr<leveldb::DB>(raw);
    auto synced = leveldb::WriteOptions();
    synced.sync = true;
    for (auto i = 0; i < write_count; ++i) {
      auto content = std::string(value_bytes, static_cast<char>('a' + i));
      CHECK(database->Put(synced, "k" + std::to_string(i), content).ok());
    }
  }
  scratch_folder folder_;
  fs::path log_;
};

using damage_function = std::function<void(std::string&)>;

// Returns functions that tear the last write, whose value has `value_bytes`, in different ways.
auto torn_last_writes(std::size_t value_bytes) -> std::vector<damage_function> {
  auto written_bytes = static_cast<std::ptrdiff_t>(value_bytes);
  return {
      [](auto& bytes) {
        bytes[bytes.size() - 100] = 'Z';
      },
      [](auto& bytes) {
        bytes.resize(bytes.size() - 200);
      },
      [written_bytes](auto& bytes) {
        std::fill(bytes.end() - written_bytes / 2, bytes.end(), '\0');
      },
      [written_bytes](auto& bytes) {
        std::fill(bytes.end() - written_bytes, bytes.end() - 50, '\0');
      },
  };
}

// The first size fits into one block of the log, the second needs several blocks.
constexpr auto value_sizes = {std::size_t{500}, std::size_t{100000}};
}  // namespace

TEST_GROUP(torn_tail_logs){};

TEST(torn_tail_logs, an_intact_log_has_no_torn_tail) {
  auto folder = damaged_folder(500);
  CHECK_FALSE(torn_tail(folder.log_bytes()).has_value());
  CHECK_FALSE(torn_tail("").has_value());
  STRCMP_EQUAL("k0 k1 k2 k3 k4 ", folder.keys_after_opening().c_str());
}

TEST(torn_tail_logs, only_a_torn_last_write_is_removed) {
  for (auto value_bytes : value_sizes)
    for (const auto& tear : torn_last_writes(value_bytes)) {
      auto folder = damaged_folder(value_bytes);
      folder.damage(tear);
      STRCMP_EQUAL("k0 k1 k2 k3 ", folder.keys_after_opening().c_str());
    }
}

// A synced write is altered. The store must not cut the log and must not open the folder as if it were intact.
TEST(torn_tail_logs, damage_before_the_last_write_is_not_a_torn_tail) {
  for (auto value_bytes : value_sizes) {
    auto folder = damaged_folder(value_bytes);
    folder.damage([&](auto& bytes) {
      bytes[value_bytes * 2] = 'Z';
    });
    CHECK_FALSE(torn_tail(folder.log_bytes()).has_value());
    STRCMP_EQUAL("none", folder.keys_after_opening().c_str());
  }
}
