#include "runtime/log.hpp"

#include <date/date.h>

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>

namespace reachridge {
namespace {

namespace logging = boost::log;

constexpr auto default_max_lines = std::size_t{4000};
constexpr auto max_dump_files = 8;

// The names of the log levels in the log lines. Operators and scripts search for these words.
constexpr auto level_names = std::to_array<const char*>({"fine", "note", "warn", "grave"});

auto system_clock_ms() -> std::int64_t {
  auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

struct log_ring {
  std::deque<std::string> lines;
  std::size_t max_lines = default_max_lines;
  std::string folder;
  bool to_stderr = false;
  std::int64_t (*now_ms)() = system_clock_ms;
  int dumps = 0;  // number of files written
};

auto ring() -> log_ring& {
  static auto shared = log_ring();
  return shared;
}

// The Boost.Log backend that appends each formatted line to the ring.
class log_ring_backend : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::concurrent_feeding> {
 public:
  auto consume(const logging::record_view&, const string_type& line) -> void {
    auto& target = ring();
    target.lines.push_back(line);
    while (target.lines.size() > target.max_lines)
      target.lines.pop_front();
    if (target.to_stderr)
      std::cerr << line + '\n';  // one write per line
  }
};

auto make_logger() -> logging::sources::severity_logger<log_level> {
  using frontend = logging::sinks::unlocked_sink<log_ring_backend>;
  auto sink = boost::make_shared<frontend>(boost::make_shared<log_ring_backend>());
  sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
  return logging::sources::severity_logger<log_level>();
}

auto logger() -> logging::sources::severity_logger<log_level>& {
  static auto shared = make_logger();
  return shared;
}

auto format_time(std::int64_t milliseconds) -> std::string {
  auto time = date::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(milliseconds));
  return date::format("%FT%TZ", time);
}

}  // namespace

auto log(log_level level, const std::string& source, const std::string& message) -> void {
  const auto* level_name = level_names.at(static_cast<std::size_t>(level));
  BOOST_LOG_SEV(logger(), level) << format_time(ring().now_ms()) << ' ' << level_name << ' ' << source << ": "
                                 << message;
}

auto recent_log() -> std::string {
  auto text = std::string();
  for (const auto& line : ring().lines)
    text += line + "\n";
  return text;
}

auto dump_log(const std::string& reason) -> void {
  auto& dumped = ring();
  log(log_level::warning, "ring", "log dump: " + reason);
  if (dumped.folder.empty())
    return;
  auto number = dumped.dumps++ % max_dump_files;
  auto file = std::ofstream(dumped.folder + "/ring-" + std::to_string(number) + ".log", std::ios::trunc);
  file << "# " << reason << "\n" << recent_log();
}

auto configure_logging(std::size_t max_lines, const std::string& folder, bool to_stderr) -> void {
  ring().max_lines = max_lines;
  ring().folder = folder;
  ring().to_stderr = to_stderr;
}

auto set_log_clock(std::int64_t (*now_ms)()) -> void {
  ring().now_ms = now_ms ? now_ms : system_clock_ms;
}

}  // namespace reachridge
