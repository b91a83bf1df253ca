#include "runtime/store.hpp"

#include <algorithm>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto retry_delay = 250 * millisecond;  // delay between a failed write and its retry
constexpr auto max_write_delay = millisecond;    // a busy loop delays a write by at most this time
// On a slow disk, changes are collected for a fixed share of the time of a write before the write begins.
constexpr auto slow_write = 10 * millisecond;  // the disk is slow if its last write took this time or longer
constexpr auto collection_share = 16;
constexpr auto longest_collection = 4 * millisecond;

}  // namespace

auto store::get(const std::string& key) -> std::optional<std::string> {
  auto changes = newest_pending(key);
  auto change = changes.find(key);
  if (change == changes.end())
    return get_written(key);
  if (change->second->erased)
    return {};
  return change->second->value;
}

auto store::newest_pending(const std::string& prefix) const -> pending_changes {
  auto newest = pending_changes();
  for (const auto* changes : {&writing_, &pending_})
    for (const auto& change : *changes)
      if (change.key.starts_with(prefix))
        newest[change.key] = &change;
  return newest;
}

auto store::scan(const std::string& prefix, const visitor& visit) -> void {
  auto changes = newest_pending(prefix);
  auto change = changes.begin();
  auto visit_next_change = [&] {
    if (!change->second->erased)
      visit(change->first, change->second->value);
    ++change;
  };
  scan_written(prefix, [&](const std::string& key, const std::string& value) {
    while (change != changes.end() && change->first < key)
      visit_next_change();
    auto changed = change != changes.end() && change->first == key;
    if (changed) {
      visit_next_change();
    } else {
      visit(key, value);
    }
  });
  while (change != changes.end())
    visit_next_change();
}

auto store::sync_up_to(change_number last) -> task<void> {
  while (!is_durable(last)) {
    if (failed_)
      throw request_error(errc::disk_failed, "the disk does not take writes", execution_outcome::unknown);
    if (!flushing_) {
      flushing_ = true;
      tasks_.spawn(flush());
    }
    co_await flushed_.wait(loop_);
  }
}

// The store's task group owns this task, because the caller of `sync` may be destroyed during the write.
auto store::flush() -> task<void> {
  co_await collect_changes();
  while (true) {
    auto written = co_await write_pending();
    if (written)
      break;
    flushed_.wake();
    co_await sleep_for(loop_, retry_delay);
  }
  flushing_ = false;
  flushed_.wake();
}

// Requests that arrived together are handled before a write begins, so that their changes share it. What misses a write
// on a slow disk waits almost two writes, so more changes are collected there, also those that other nodes send.
auto store::collect_changes() -> task<void> {
  co_await until_idle(loop_, max_write_delay);
  if (last_write_time_ >= slow_write)
    co_await sleep_for(loop_, std::min(last_write_time_ / collection_share, longest_collection));
}

auto store::write_pending() -> task<bool> {
  // The changes of a failed write stay first, because no later change may become durable before them.
  for (auto& change : pending_)
    writing_.push_back(std::move(change));
  pending_.clear();
  auto written_up_to = requested_;
  bytes += pending_bytes_;
  pending_bytes_ = 0;
  ++syncs;
  auto began_at = loop_.now();
  try {
    co_await write(writing_);
    last_write_time_ = loop_.now() - began_at;
    write_times.add(last_write_time_);
    durable_ = written_up_to;
    writing_.clear();
    failed_ = false;
  } catch (const std::exception&) {
    failed_ = true;
  }
  co_return !failed_;
}

}  // namespace reachridge
