#include "configuration/repeated_keys.hpp"

#include <boost/json/basic_parser_impl.hpp>

namespace reachridge {
namespace {

// Handler of a Boost.JSON streaming parser. Counts the keys of all objects in a text, including repeated ones.
struct key_counter {
  static constexpr auto max_object_size = std::size_t(-1);
  static constexpr auto max_array_size = std::size_t(-1);
  static constexpr auto max_key_size = std::size_t(-1);
  static constexpr auto max_string_size = std::size_t(-1);
  using error_code = boost::json::error_code;
  using string_view = boost::json::string_view;

  std::size_t keys = 0;

  auto on_document_begin(error_code&) -> bool {
    return true;
  }
  auto on_document_end(error_code&) -> bool {
    return true;
  }
  auto on_object_begin(error_code&) -> bool {
    return true;
  }
  auto on_object_end(std::size_t members, error_code&) -> bool {
    keys += members;
    return true;
  }
  auto on_array_begin(error_code&) -> bool {
    return true;
  }
  auto on_array_end(std::size_t, error_code&) -> bool {
    return true;
  }
  auto on_key_part(string_view, std::size_t, error_code&) -> bool {
    return true;
  }
  auto on_key(string_view, std::size_t, error_code&) -> bool {
    return true;
  }
  auto on_string_part(string_view, std::size_t, error_code&) -> bool {
    return true;
  }
  auto on_string(string_view, std::size_t, error_code&) -> bool {
    return true;
  }
  auto on_number_part(string_view, error_code&) -> bool {
    return true;
  }
  auto on_int64(std::int64_t, string_view, error_code&) -> bool {
    return true;
  }
  auto on_uint64(std::uint64_t, string_view, error_code&) -> bool {
    return true;
  }
  auto on_double(double, string_view, error_code&) -> bool {
    return true;
  }
  auto on_bool(bool, error_code&) -> bool {
    return true;
  }
  auto on_null(error_code&) -> bool {
    return true;
  }
  auto on_comment_part(string_view, error_code&) -> bool {
    return true;
  }
  auto on_comment(string_view, error_code&) -> bool {
    return true;
  }
};

auto count_distinct_keys(const value& parsed) -> std::size_t {
  auto count = std::size_t{0};
  if (parsed.is_object()) {
    count += parsed.get_object().size();
    for (const auto& member : parsed.get_object())
      count += count_distinct_keys(member.value());
  } else if (parsed.is_array()) {
    for (const auto& element : parsed.get_array())
      count += count_distinct_keys(element);
  }
  return count;
}

}  // namespace

auto has_repeated_keys(const std::string& body, const value& parsed) -> bool {
  auto parser = boost::json::basic_parser<key_counter>(boost::json::parse_options());
  auto error = boost::json::error_code();
  parser.write_some(false, body.data(), body.size(), error);
  return error.failed() || parser.handler().keys != count_distinct_keys(parsed);
}

}  // namespace reachridge
