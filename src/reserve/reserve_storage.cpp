// Start and end of a control node's reserve storage node; see reserve_storage.hpp.
#include "reserve/reserve_storage.hpp"

#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto replica_prefix = "C/";         // the keys of the replicas on a storage node's disk
constexpr auto idle_timeouts_until_end = 10;  // in failure timeouts

}  // namespace

reserve_storage::reserve_storage(host& host, const settings& settings, control_node& control)
    : host_(host), settings_(settings), control_(control), tasks_(host) {
  if (settings_.reserve_address.empty())
    return;
  if (has_stored_replicas())
    start();
  control_.on_storage_shortage = [this] {
    start();
  };
}

reserve_storage::~reserve_storage() {
  control_.on_storage_shortage = nullptr;
}

auto reserve_storage::has_stored_replicas() const -> bool {
  auto found = false;
  host_.disk()->scan(replica_prefix, [&](const std::string& /*key*/, const std::string& /*record*/) {
    found = true;
  });
  return found;
}

auto reserve_storage::storage_settings() const -> settings {
  auto out = settings_;
  out.address = settings_.reserve_address;
  out.http_address.clear();
  out.seeds = {settings_.address};
  for (const auto& seed : settings_.seeds)
    if (seed != settings_.address)
      out.seeds.push_back(seed);
  return out;
}

auto reserve_storage::start() -> void {
  if (node_ || leaving_)
    return;
  reachridge::log(log_level::warning, settings_.name,
                  "starts the reserve storage node: too few storage nodes for " + std::to_string(settings_.replicas) +
                      " replicas, or replicas on the disk");
  auto options = storage_node_options{.disk_id = control_.raft.disk_id(), .reserve = true};
  node_ = std::make_unique<storage_node>(host_, storage_settings(), std::move(options));
  tasks_.spawn(end_when_unneeded());
}

auto reserve_storage::end_when_unneeded() -> task<void> {
  auto needed_at = host_.now();
  while (host_.now() - needed_at < settings_.failure_timeout * idle_timeouts_until_end) {
    co_await sleep_for(host_, settings_.failure_timeout);
    auto is_needed = node_->holds_replicas() || control_.lacks_storage_nodes() || leaving_;
    if (is_needed)
      needed_at = host_.now();
  }
  reachridge::log(log_level::info, settings_.name, "ends the reserve storage node: enough storage nodes are available");
  co_await node_->leave(host_.now() + settings_.heartbeat_interval);
  node_.reset();
}

auto reserve_storage::reload(const settings& settings) -> void {
  settings_ = settings;
  if (node_)
    node_->reload(storage_settings());
}

auto reserve_storage::leave(monotonic_time limit) -> task<void> {
  leaving_ = true;
  if (node_)
    co_await node_->leave(limit);
}

}  // namespace reachridge
