#include "wax/ring.hpp"

#include <date/date.h>

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
#include <sstream>

namespace hive {
namespace {

namespace bl = boost::log;

auto real_now() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct state {
  std::deque<std::string> rows;
  std::size_t most = 4000;
  std::string folder;
  bool echo = false;
  std::int64_t (*now)() = real_now;
  int spills = 0;
};
auto ring() -> state& {
  static auto s = state();
  return s;
}

class ring_end : public bl::sinks::basic_formatted_sink_backend<char, bl::sinks::concurrent_feeding> {
 public:
  auto consume(const bl::record_view&, const string_type& row) -> void {
    auto& r = ring();
    r.rows.push_back(row);
    while (r.rows.size() > r.most)
      r.rows.pop_front();
    if (r.echo) std::cerr << row + '\n';  // one write a line
  }
};

auto source() -> bl::sources::severity_logger<grade>& {
  static auto src = [] {
    using front = bl::sinks::unlocked_sink<ring_end>;
    auto sink = boost::make_shared<front>(boost::make_shared<ring_end>());
    sink->set_formatter(bl::expressions::stream << bl::expressions::smessage);
    bl::core::get()->add_sink(sink);
    return bl::sources::severity_logger<grade>();
  }();
  return src;
}

auto stamp(std::int64_t ms) -> std::string {
  auto at = date::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(ms));
  return date::format("%FT%TZ", at);
}

}  // namespace

auto log(grade g, const std::string& who, const std::string& what) -> void {
  static const char* const names[] = {"fine", "note", "warn", "grave"};
  BOOST_LOG_SEV(source(), g) << stamp(ring().now()) << ' ' << names[static_cast<int>(g)] << ' ' << who << ": " << what;
}

auto ring_text() -> std::string {
  auto out = std::string();
  for (const auto& row : ring().rows)
    out += row + "\n";
  return out;
}

auto spill(const std::string& why) -> void {
  auto& r = ring();
  log(grade::warn, "ring", "written out: " + why);
  if (r.folder.empty()) return;
  auto name = r.folder + "/ring-" + std::to_string(r.spills++ % 8) + ".log";
  auto out = std::ofstream(name, std::ios::trunc);
  out << "# " << why << "\n" << ring_text();
}

auto ring_setup(std::size_t lines, const std::string& folder, bool echo) -> void {
  ring().most = lines;
  ring().folder = folder;
  ring().echo = echo;
}
auto ring_clock(std::int64_t (*now_ms)()) -> void { ring().now = now_ms ? now_ms : real_now; }

}  // namespace hive
