// Parses, checks and compiles the JSON text of a configuration (design 7.1).
#include <algorithm>
#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <cctype>
#include <optional>
#include <set>
#include <sstream>

#include "configuration/compiled_configuration.hpp"
#include "configuration/configuration_errors.hpp"
#include "configuration/field_reader.hpp"
#include "configuration/repeated_keys.hpp"
#include "configuration/rule_parser.hpp"

namespace reachridge {
namespace {

using boost::property_tree::ptree;

constexpr auto max_spaces = std::size_t{20000};
constexpr auto max_rules = std::size_t{1000};
constexpr auto max_name_bytes = std::size_t{64};

constexpr auto max_keep_s = std::int64_t{7} * 86400;     // a week
constexpr auto max_timeout_ms = std::int64_t{86400000};  // a day

constexpr auto number_range = integer_range{1, std::int64_t{1} << 52};
constexpr auto after_range = integer_range{0, std::int64_t{1} << 52};
constexpr auto subscriptions_range = integer_range{1, 1000000};
constexpr auto keep_ms_range = integer_range{0, max_keep_s * 1000};
constexpr auto keep_s_range = integer_range{0, max_keep_s};
constexpr auto urgency_range = integer_range{0, 9};
constexpr auto partitions_range = integer_range{1, 64};
constexpr auto timeout_range = integer_range{0, max_timeout_ms};

constexpr auto any_predecessor = std::int64_t{-1};
constexpr auto default_subscriptions = std::int64_t{1000};
constexpr auto default_partitions = std::int64_t{4};
constexpr auto default_rule = "allow all on *";

constexpr auto invalid_name = "must be 1 to 64 letters, digits, '-', '_' or '.'";

auto configuration_fields() -> const std::set<std::string>& {
  static const auto names = std::set<std::string>{"number", "after", "spaces", "rules", "subscriptions", "origin"};
  return names;
}

auto space_fields() -> const std::set<std::string>& {
  static const auto names = std::set<std::string>{"name",    "prefix", "pool",  "keep_s",     "keep_ms",
                                                  "urgency", "cells",  "order", "timeout_ms", "aim_ms"};
  return names;
}

// Returns whether the text is a valid name of a space or a pool.
auto is_valid_name(const std::string& text) -> bool {
  if (text.empty() || text.size() > max_name_bytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' ||
           character == '.';
  });
}

// The parsed text. Boost.PropertyTree parses many times slower than Boost.JSON, so `with_repeated_keys` is filled only
// when it is needed to report an error: the line of a syntax error or a repeated key.
struct document {
  value root;
  std::optional<ptree> with_repeated_keys;
};

auto parse_with_repeated_keys(const std::string& body) -> ptree {
  auto out = ptree();
  auto in = std::istringstream(body);
  boost::property_tree::read_json(in, out);
  return out;
}

auto parse_document(const std::string& body, configuration_errors& errors) -> document {
  auto out = document();
  auto error = boost::json::error_code();
  out.root = boost::json::parse(body, error);
  try {
    if (error.failed() || has_repeated_keys(body, out.root))
      out.with_repeated_keys = parse_with_repeated_keys(body);
    if (error)
      errors.add("charter", error.message());
  } catch (const boost::property_tree::json_parser_error& thrown) {
    errors.add("line " + std::to_string(thrown.line()), thrown.message());
  }
  if (errors.empty() && !out.root.is_object())
    errors.add("charter", "is not a JSON object");
  return out;
}

// Compiles a document whose root is an object. Each step records its errors and continues, so that all errors are
// reported at once.
class configuration_compiler {
 public:
  configuration_compiler(const document& parsed, compiled_configuration& out, configuration_errors& errors)
      : document_(parsed), out_(out), errors_(errors) {}

  auto compile() -> void {
    compile_top_level_fields();
    compile_spaces();
    out_.index();
    compile_rules(read_rules());
    check_routes();
  }

 private:
  auto compile_top_level_fields() -> void {
    const auto* with_repeated_keys = document_.with_repeated_keys ? &*document_.with_repeated_keys : nullptr;
    auto fields = field_reader(document_.root, with_repeated_keys, "", errors_);
    fields.check_keys(configuration_fields());
    out_.number = fields.read_required_integer("number", number_range);
    out_.after = fields.read_integer("after", after_range, any_predecessor);
    out_.subscriptions = fields.read_integer("subscriptions", subscriptions_range, default_subscriptions);
    out_.origin = fields.string("origin", "");
  }

  auto compile_spaces() -> void {
    const auto& spaces = get_value(document_.root, "spaces");
    if (!spaces.is_array())
      return errors_.add("spaces", "must be an array of spaces");
    // If the key "spaces" is repeated, get_child returns the first list, which may be shorter than the list in
    // `spaces`.
    static const auto no_entries = ptree();
    const auto& entries = document_.with_repeated_keys ? document_.with_repeated_keys->get_child("spaces") : no_entries;
    auto next_entry = entries.begin();
    auto position = 0;
    for (const auto& fields : spaces.get_array()) {
      const auto place = "spaces[" + std::to_string(position++) + "].";
      const auto* with_repeated_keys = next_entry != entries.end() ? &(next_entry++)->second : nullptr;
      if (!fields.is_object()) {
        errors_.add(place, "is not a JSON object");
        continue;
      }
      auto reader = field_reader(fields, with_repeated_keys, place, errors_);
      add_space(reader, compile_space(reader));
    }
    if (spaces.get_array().size() > max_spaces)
      errors_.add("spaces", "number of spaces exceeds " + std::to_string(max_spaces));
  }

  static auto compile_space(field_reader& fields) -> space {
    fields.check_keys(space_fields());
    auto out = space();
    compile_name_fields(fields, out);
    out.keep_ms = compile_keep_ms(fields);
    out.urgency = fields.read_integer("urgency", urgency_range, 0);
    out.partitions = fields.read_integer("cells", partitions_range, default_partitions);
    out.timeout_ms = fields.read_integer("timeout_ms", timeout_range, 0);
    out.target_ms = fields.read_integer("aim_ms", timeout_range, 0);
    const auto order = fields.string("order", "topic");
    if (order != "topic" && order != "sender")
      fields.add_error("order", "'" + order + "' is neither 'topic' nor 'sender'");
    out.by_topic = order != "sender";
    return out;
  }

  static auto compile_name_fields(field_reader& fields, space& out) -> void {
    const auto name = fields.read_required_string("name");
    if (name && !is_valid_name(*name))
      fields.add_error("name", invalid_name);
    out.name = name.value_or("");
    out.prefix = fields.string("prefix", out.name + "/");
    if (!is_topic(out.prefix))
      fields.add_error("prefix", "must be 1 to 200 printable characters without spaces");
    out.pool = fields.string("pool", out.name);
    if (!is_valid_name(out.pool))
      fields.add_error("pool", invalid_name);
  }

  // The retention is given either in milliseconds or in seconds.
  static auto compile_keep_ms(field_reader& fields) -> std::int64_t {
    if (!fields.has("keep_ms"))
      return fields.read_required_integer("keep_s", keep_s_range) * 1000;
    if (fields.has("keep_s"))
      fields.add_error("keep_ms", "cannot be combined with keep_s");
    return fields.read_required_integer("keep_ms", keep_ms_range);
  }

  // Adds a space after checking it for conflicts with the spaces before it.
  auto add_space(field_reader& fields, const space& added) -> void {
    if (!out_.spaces.emplace(added.name, added).second)
      fields.add_error("name", "'" + added.name + "' is already the name of another space");
    if (!prefixes_.insert(added.prefix).second)
      fields.add_error("prefix", "'" + added.prefix + "' is already the prefix of another space");
    const auto known_partitions = pool_partitions_.emplace(added.pool, added.partitions).first->second;
    if (known_partitions != added.partitions)
      fields.add_error("cells",
                       "pool '" + added.pool + "' has " + std::to_string(known_partitions) + " cells in another space");
  }

  auto read_rules() -> std::vector<std::string> {
    if (!document_.root.as_object().contains("rules"))
      return {default_rule};
    const auto& rules = get_value(document_.root, "rules");
    if (!rules.is_array()) {
      errors_.add("rules", "must be an array of strings");
      return {};
    }
    auto out = std::vector<std::string>();
    auto position = 0;
    for (const auto& rule : rules.get_array()) {
      const auto place = "rules[" + std::to_string(position++) + "]";
      if (rule.is_string())
        out.emplace_back(rule.get_string());
      else
        errors_.add(place, "must be a string");
    }
    if (out.size() > max_rules)
      errors_.add("rules", "number of rules exceeds " + std::to_string(max_rules));
    return out;
  }

  auto compile_rules(const std::vector<std::string>& rules) -> void {
    for (auto i = std::size_t{0}; i < rules.size(); ++i) {
      try {
        append_rule(rules[i], out_.rules);
      } catch (const rule_syntax_error& error) {
        errors_.add("rules[" + std::to_string(i) + "]", error.what());
      }
    }
  }

  // Checks that the target of every route lies in a space.
  auto check_routes() -> void {
    for (const auto& step : out_.rules) {
      if (step.kind != rule_step::kind::route)
        continue;
      const auto fixed_prefix = step.target.substr(0, step.target.find('*'));
      if (!out_.space_of(fixed_prefix))
        errors_.add("rules", "route to '" + step.target + "': no space '" +
                                 fixed_prefix.substr(0, fixed_prefix.find('/')) + "'");
    }
  }

  const document& document_;
  compiled_configuration& out_;
  configuration_errors& errors_;
  std::set<std::string> prefixes_;
  std::map<std::string, std::int64_t> pool_partitions_;
};

}  // namespace

auto compile_configuration(const std::string& body) -> compiled_configuration_ptr {
  auto out = std::make_shared<compiled_configuration>();
  auto errors = configuration_errors();
  const auto parsed = parse_document(body, errors);
  if (errors.empty())
    configuration_compiler(parsed, *out, errors).compile();
  if (!errors.empty())
    throw errors.to_error();
  out->body = body;
  return out;
}

}  // namespace reachridge
