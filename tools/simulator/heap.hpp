// Accounts of live heap bytes, one per process of a simulated fleet (docs/CAPACITY.md). Allocations are counted only in
// a program that links tools/simulator/heap.cpp; in any other program the accounts stay at zero.
#pragma once
#include <cstdint>
#include <utility>

namespace reachridge {

inline std::int64_t* heap_account = nullptr;  // the account charged for allocations; null: none
inline bool heap_counted = false;             // true if the program links heap.cpp

// Opens an account in bytes. An account is never destroyed, because a block may be freed after its process has ended.
auto open_heap_account() -> std::int64_t*;

// Charges allocations to an account until the end of the scope. A null account charges nobody.
class heap_scope {
 public:
  explicit heap_scope(std::int64_t* account) : previous_account_(std::exchange(heap_account, account)) {}
  heap_scope(const heap_scope&) = delete;
  auto operator=(const heap_scope&) -> heap_scope& = delete;
  ~heap_scope() {
    heap_account = previous_account_;
  }

 private:
  std::int64_t* previous_account_;
};

}  // namespace reachridge
