// HTTP pages of the control node for operators (docs/api.md), with one function per page.
#include <algorithm>

#include "control/control_node.hpp"

namespace reachridge {
namespace {

constexpr auto configuration_path = std::string_view("/v1/charter");
constexpr auto in_force_path = std::string_view("/v1/charter/held");

auto ok_response(value body) -> http_response {
  return {200, std::move(body), {}};
}

auto page_not_found(const std::string& path) -> request_error {
  return {errc::not_found, "unknown page " + path};
}

// Returns the HTTP response for the result of a command. Throws the request_error of a refused command.
auto accepted_response(value answer) -> http_response {
  if (!get_bool(answer, "ok"))
    throw request_error::from_value(answer);
  return ok_response(std::move(answer));
}

auto parse_number(const std::string& text) -> std::int64_t {
  try {
    return std::stoll(text);
  } catch (const std::exception&) {
    throw request_error(errc::malformed, "the query parameter number must be an integer");
  }
}

}  // namespace

auto control_node::handle_page(http_request request) -> task<http_response> {
  const auto& path = request.path;
  if (auto page = common_page(path, [this] {
        return status();
      }))
    co_return *page;
  if (path == "/readyz")
    co_return ready_page();
  if (path == "/v1/members")
    co_return members_page();
  if (path == "/v1/voters")
    co_return co_await voters_page();
  if (path == "/v1/cells")
    co_return co_await partitions_page();
  if (path.compare(0, configuration_path.size(), configuration_path) == 0)
    co_return co_await configuration_page(std::move(request));
  if (path == "/v1/refound" && request.method == "POST")
    co_return co_await recreation_page(std::move(request));
  if (path == "/v1/leave" || path == "/v1/stay")
    co_return co_await drain_page(std::move(request));
  throw page_not_found(path);
}

auto control_node::ready_page() const -> http_response {
  if (ready())
    return {200, {}, "ready\n"};
  throw request_error(errc::no_leader, "no leader of the replicated log is reachable", execution_outcome::not_executed,
                      settings_.failure_timeout / millisecond);
}

auto control_node::members_page() const -> http_response {
  auto encoded_nodes = array();
  for (const auto& [source, table] : view_.session_tables)
    for (const auto& [name, node] : table.rows) {
      auto encoded = node.to_value();
      encoded.as_object()["queen"] = source;
      encoded_nodes.push_back(std::move(encoded));
    }
  return ok_response(std::move(encoded_nodes));
}

auto control_node::voters_page() -> task<http_response> {
  auto request = value(object{{"op", "voters"}});
  auto answer = co_await handle_call(nullptr, std::move(request));
  co_return ok_response(object{{"leader", get_value(answer, "leader")},
                               {"changing", get_value(answer, "changing")},
                               {"voters", get_value(answer, "voters")}});
}

auto control_node::partitions_page() -> task<http_response> {
  auto request = value(object{{"op", "fresh"}});
  auto answer = co_await handle_call(nullptr, std::move(request));
  co_return ok_response(get_value(get_value(answer, "realm"), "cells"));
}

auto control_node::configuration_page(http_request request) -> task<http_response> {
  auto is_read = request.method == "GET";
  auto is_write = request.method == "PUT" || request.method == "POST";
  if (request.path == in_force_path && is_read)
    co_return co_await in_force_page(std::move(request));
  if (request.path != configuration_path)
    throw page_not_found(request.path);
  if (is_read)
    co_return co_await read_configuration_page();
  if (!is_write)
    throw request_error(errc::malformed, "this page accepts only GET and PUT");
  auto next = compile_configuration(request.body);
  if (request.query["dry"] == "yes")
    co_return ok_response(plan_configuration(*next));
  co_return co_await submit_configuration(next);
}

auto control_node::in_force_page(http_request request) -> task<http_response> {
  auto number = parse_number(request.query["number"]);
  auto call = value(object{{"op", "held"}, {"number", number}});
  auto answer = co_await handle_call(nullptr, std::move(call));
  co_return ok_response(std::move(answer));
}

auto control_node::read_configuration_page() -> task<http_response> {
  auto request = value(object{{"op", "fresh"}});
  auto answer = co_await handle_call(nullptr, std::move(request));
  if (!get_value(answer, "charter").is_string())
    throw request_error(errc::not_found, "no configuration has been accepted yet");
  co_return ok_response(boost::json::parse(get_string(answer, "charter")));
}

auto control_node::plan_configuration(const compiled_configuration& next) const -> object {
  auto new_partitions = array();
  for (const auto& [name, pool] : next.pools)
    for (auto number = std::int64_t{0}; number < pool.partitions; ++number) {
      auto id = name + "/" + std::to_string(number);
      if (!state.partitions.count(id))
        new_partitions.emplace_back(id);
    }
  auto plan = object{{"dry", true}, {"number", next.number}, {"cells_to_place", std::move(new_partitions)}};
  if (auto warning = zone_warning(next); !warning.empty())
    plan["warn"] = warning;
  return plan;
}

auto control_node::submit_configuration(compiled_configuration_ptr next) -> task<http_response> {
  auto warning = zone_warning(*next);
  auto command = encode(configuration_command{configuration_record::from_compiled(next)});
  auto answer = co_await propose(std::move(command));
  auto response = accepted_response(std::move(answer));
  if (!warning.empty())
    response.body.as_object()["warn"] = warning;
  co_return response;
}

// This is only a warning: a configuration is valid regardless of the current storage nodes, and its partitions are
// assigned as soon as suitable nodes exist.
auto control_node::zone_warning(const compiled_configuration& next) const -> std::string {
  auto zones = std::set<std::string>();
  for (const auto& [name, node] : view_.nodes()) {
    auto can_hold_replicas = node.kind == "comb" && !node.reserve && !node.disk_id.empty() && !state.drains.count(name);
    if (can_hold_replicas)
      zones.insert(node.zone);
  }
  if (zones.size() >= 2)
    return {};
  auto retaining_space = std::find_if(next.spaces.begin(), next.spaces.end(), [](const auto& space) {
    return space.second.keep_ms != 0;
  });
  if (retaining_space == next.spaces.end())
    return {};
  return "space '" + retaining_space->first +
         "' retains messages and requires storage nodes with disks in two zones, but only " +
         std::to_string(zones.size()) + " zone(s) have one now";
}

auto control_node::recreation_page(http_request request) -> task<http_response> {
  auto error = boost::json::error_code();
  auto body = boost::json::parse(request.body, error);
  if (error || !get_value(body, "cell").is_string())
    throw request_error(errc::malformed, "the request body must be {\"cell\": ID}");
  auto call = value(object{{"op", "refound"}, {"cell", get_string(body, "cell")}});
  auto answer = co_await handle_call(nullptr, std::move(call));
  co_return accepted_response(std::move(answer));
}

}  // namespace reachridge
