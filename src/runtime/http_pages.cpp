#include "runtime/http_pages.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto metric_prefix = "reachridge";
// This part of the status is not exported as metrics because it has one row for each pair of nodes.
constexpr auto omitted_part = std::string_view("beliefs");

// Returns whether a field name consists of letters and underscores. The program chooses these names; all other names
// are data, for example the names of nodes.
auto is_fixed_name(const std::string& name) -> bool {
  return std::all_of(name.begin(), name.end(), [](unsigned char byte) {
    return std::isalpha(byte) || byte == '_';
  });
}

// Appends a label to the labels of a metric. The key of the first label is `of`, the key of each further label is `at`.
auto add_label(const std::string& labels, const std::string& name) -> std::string {
  const auto* key = labels.empty() ? "of" : "at";
  const auto* separator = labels.empty() ? "" : ",";
  return labels + separator + key + "=\"" + name + "\"";
}

auto metric_line(const std::string& name, const std::string& labels, const std::string& number) -> std::string {
  return name + (labels.empty() ? "" : "{" + labels + "}") + " " + number + "\n";
}

// Appends one line to `out` for each number and boolean in a part of the status. Fixed field names become parts of the
// metric's name, other field names become labels.
auto append_metrics(const value& part, const std::string& name, const std::string& labels, std::string& out) -> void {
  if (part.is_bool()) {
    out += metric_line(name, labels, part.get_bool() ? "1" : "0");
  } else if (part.is_number()) {
    out += metric_line(name, labels, to_json(part));
  } else if (part.is_object()) {
    for (const auto& field : part.get_object()) {
      auto key = std::string(field.key());
      if (key == omitted_part)
        continue;
      if (is_fixed_name(key)) {
        append_metrics(field.value(), name + "_" + key, labels, out);
      } else {
        append_metrics(field.value(), name, add_label(labels, key), out);
      }
    }
  }
}

auto metrics_page(const value& status) -> std::string {
  auto out = std::string();
  append_metrics(status, metric_prefix, "", out);
  return out;
}

auto plain_page(std::string text) -> http_response {
  auto page = http_response();
  page.plain = std::move(text);
  return page;
}

}  // namespace

auto common_page(const std::string& path, const std::function<value()>& status) -> std::optional<http_response> {
  if (path == "/healthz")
    return plain_page("alive\n");
  if (path == "/status")
    return http_response{.status = 200, .body = status(), .plain = {}};
  if (path == "/ring")
    return plain_page(recent_log());
  if (path == "/metrics")
    return plain_page(metrics_page(status()));
  return {};
}

}  // namespace reachridge
