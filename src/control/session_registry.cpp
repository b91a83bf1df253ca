#include "control/session_registry.hpp"

#include <algorithm>
#include <utility>

namespace reachridge {
namespace {

constexpr auto update_number_bits = 32;  // a version is the boot id followed by an update number of this many bits

}  // namespace

auto session_registry::start(std::string source, std::int64_t boot_id) -> void {
  source_ = std::move(source);
  boot_id_ = boot_id;
  auto& own_table = table();
  own_table.version = own_table.delta_floor = boot_id_ << update_number_bits;
}

auto session_registry::find(const std::string& name) -> node_session* {
  auto it = sessions_.find(name);
  return it == sessions_.end() ? nullptr : &it->second;
}
auto session_registry::find(const std::string& name) const -> const node_session* {
  auto it = sessions_.find(name);
  return it == sessions_.end() ? nullptr : &it->second;
}

auto session_registry::live_nodes(monotonic_time now, monotonic_time timeout) const -> served_versions {
  auto nodes = served_versions();
  for (const auto& [name, session] : sessions_)
    if (now - session.last_contact <= timeout)
      nodes[name] = session.served_version;
  return nodes;
}

auto session_registry::next_table_version() -> std::int64_t {
  return (boot_id_ << update_number_bits) + ++table_updates_;
}
auto session_registry::next_live_nodes_version() -> std::int64_t {
  return (boot_id_ << update_number_bits) + ++live_nodes_updates_;
}

auto session_registry::record_heartbeat(const session_request& request, monotonic_time now) -> bool {
  const auto& node = request.node;
  auto& session = sessions_[node.name];
  session.last_contact = now;
  session.served_version = request.served_version;
  auto node_with_old_load = node;
  node_with_old_load.load = session.node.load;
  auto& own_table = table();
  auto own_row = own_table.rows.find(node.name);
  auto changed = own_row == own_table.rows.end() || node_with_old_load.to_value() != session.node.to_value();
  if (changed)
    own_table.upsert(node, next_table_version());
  else
    own_row->second.load = node.load;
  session.node = node;
  return changed;
}

auto session_registry::remove(const std::string& name) -> bool {
  if (sessions_.erase(name) == 0)
    return false;
  table().remove(name, next_table_version());
  return true;
}

auto session_registry::remove_timed_out(monotonic_time now, monotonic_time timeout) -> std::vector<std::string> {
  auto silent = std::vector<std::string>();
  for (const auto& [name, session] : sessions_)
    if (now - session.last_contact > timeout)
      silent.push_back(name);
  for (const auto& name : silent)
    remove(name);
  return silent;
}

auto session_registry::extend_for_pause(monotonic_time now, monotonic_time pause) -> void {
  for (auto& [name, session] : sessions_)
    session.last_contact = std::min(now, session.last_contact + pause);
}

}  // namespace reachridge
