#include "reachctl/console.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "cluster/types.hpp"

namespace reachridge {
namespace {

constexpr auto request_timeout = 5 * second;
constexpr auto poll_interval = 200 * millisecond;
constexpr auto one_line_size = std::size_t{60};  // shorter JSON is printed on the line of its key

constexpr auto status_ok = 200;
constexpr auto status_unavailable = 503;
constexpr auto status_timeout = 504;

auto as_text(const value& item) -> std::string {
  return item.is_string() ? std::string(item.get_string()) : to_json(item);
}

auto fits_one_line(const value& item) -> bool {
  return !item.is_structured() || to_json(item).size() < one_line_size;
}

// Prints a value to stdout, one field or element a line, indented by two spaces for each level.
auto print_indented(const value& item, int level) -> void {
  auto indent = std::string(static_cast<std::size_t>(level) * 2, ' ');
  if (item.is_array()) {
    for (const auto& element : item.get_array())
      std::cout << indent << "- " << as_text(element) << '\n';
    return;
  }
  if (!item.is_object()) {
    std::cout << indent << as_text(item) << '\n';
    return;
  }
  for (const auto& field : item.get_object()) {
    std::cout << indent << std::string(field.key()) << ":";
    if (fits_one_line(field.value())) {
      std::cout << ' ' << as_text(field.value()) << '\n';
    } else {
      std::cout << '\n';
      print_indented(field.value(), level + 1);
    }
  }
}

}  // namespace

auto read_file(const std::string& file) -> std::string {
  auto input = std::ifstream(file);
  if (!input)
    throw request_error(errc::usage, file + ": file cannot be read");
  auto content = std::ostringstream();
  content << input.rdbuf();
  return content.str();
}

auto console::run() -> task<int> {
  auto argument = options_.argument;
  switch (options_.requested) {
    case operation::put:
      co_return co_await put_configuration();
    case operation::configuration_in_force:
      co_return co_await wait_until_true("/v1/charter/held?number=" + argument, {}, "held");
    case operation::drain:
      co_return co_await drain();
    case operation::undrain: {
      auto body = to_json(drain_target());
      co_return co_await show("POST", "/v1/stay", body);
    }
    case operation::recreate_partition: {
      auto body = to_json(object{{"cell", argument}});
      co_return co_await show("POST", "/v1/refound", body);
    }
    case operation::check:  // main() handles this operation without a deployment
    case operation::read_page:
      break;
  }
  co_return co_await show("GET", options_.page, "");
}

auto console::put_configuration() -> task<int> {
  auto path = std::string("/v1/charter") + (options_.dry_run ? "?dry=yes" : "");
  auto body = read_file(options_.argument);
  co_return co_await show("PUT", path, body);
}

auto console::drain() -> task<int> {
  auto request = drain_target();
  request["kind"] = options_.drain_kind;
  auto body = to_json(request);
  auto status = co_await show("POST", "/v1/leave", body);
  if (status != done || options_.wait_s == 0)
    co_return status;
  auto entry_name = options_.zone.empty() ? options_.argument : zone_key(options_.zone);
  co_return co_await wait_until_true("/v1/leave", entry_name, "done");
}

auto console::drain_target() const -> object {
  if (options_.zone.empty())
    return object{{"name", options_.argument}};
  return object{{"zone", options_.zone}};
}

auto console::ask(std::string method, std::string path, std::string body) -> task<http_reply> {
  auto last_reply = http_reply();
  for (const auto& address : options_.addresses) {
    auto reply = co_await fetch(host_, address, method, path, body, host_.now() + request_timeout);
    if (reply.status > 0 && reply.status != status_unavailable)
      co_return reply;
    if (reply.status > 0)
      last_reply = reply;
  }
  co_return last_reply;
}

auto console::show(std::string method, std::string path, std::string body) -> task<int> {
  auto reply = co_await ask(method, path, body);
  co_return print(reply);
}

auto console::wait_until_true(std::string path, std::string name, std::string key) -> task<int> {
  auto deadline = host_.now() + options_.wait_s * second;
  while (true) {
    auto reply = co_await ask("GET", path, "");
    const auto& entry = name.empty() ? reply.body : get_value(reply.body, name);
    auto condition_holds = reply.status == status_ok && get_bool(entry, key);
    if (condition_holds || host_.now() >= deadline) {
      auto status = print(reply);
      co_return status == done && !condition_holds ? not_yet : status;
    }
    co_await sleep_for(host_, poll_interval);
  }
}

auto console::print(const http_reply& reply) const -> exit_status {
  if (reply.status == 0) {
    std::cerr << "no node answered; the request may have been carried out\n";
    return unreached;
  }
  if (options_.json || reply.body.is_null())
    std::cout << reply.plain;
  else
    print_indented(reply.body, 0);
  if (reply.status == status_ok)
    return done;
  return reply.status == status_timeout || reply.status == status_unavailable ? unreached : refused;
}

}  // namespace reachridge
