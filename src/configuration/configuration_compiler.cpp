// Reads, checks and compiles the text of a configuration (design 7.1).
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

constexpr auto any = std::int64_t{-1};
constexpr auto default_subscriptions = std::int64_t{1000};
constexpr auto default_partitions = std::int64_t{4};
constexpr auto default_rule = "allow all on *";

constexpr auto invalid_name = "wants 1 to 64 letters, digits, '-', '_', '.'";

auto configuration_fields() -> const std::set<std::string>& {
  static const auto names = std::set<std::string>{"number", "after", "spaces", "rules", "subscriptions", "origin"};
  return names;
}

auto space_fields() -> const std::set<std::string>& {
  static const auto names = std::set<std::string>{"name",    "prefix", "pool",  "keep_s",     "keep_ms",
                                                  "urgency", "cells",  "order", "timeout_ms", "aim_ms"};
  return names;
}

// Names of spaces and pools.
auto is_name(const std::string& text) -> bool {
  if (text.empty() || text.size() > max_name_bytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' ||
           character == '.';
  });
}

// The text as parsed. The property tree, many times slower, is made only where it has a fault to name: the line of a
// syntax error, a repeated key.
struct document {
  value root;
  std::optional<ptree> with_repeats;
};

auto parse_with_repeats(const std::string& body) -> ptree {
  auto out = ptree();
  auto in = std::istringstream(body);
  boost::property_tree::read_json(in, out);
  return out;
}

auto parse_document(const std::string& body, configuration_errors& faults) -> document {
  auto out = document();
  auto error = boost::json::error_code();
  out.root = boost::json::parse(body, error);
  try {
    if (error.failed() || has_repeated_keys(body, out.root))
      out.with_repeats = parse_with_repeats(body);
    if (error)
      faults.add("charter", error.message());
  } catch (const boost::property_tree::json_parser_error& thrown) {
    faults.add("line " + std::to_string(thrown.line()), thrown.message());
  }
  if (faults.empty() && !out.root.is_object())
    faults.add("charter", "is no JSON object");
  return out;
}

// Compiles a document whose root is an object. Each step notes its faults and goes on, so that all are named at once.
class configuration_compiler {
 public:
  configuration_compiler(const document& read, compiled_configuration& out, configuration_errors& faults)
      : document_(read), out_(out), faults_(faults) {}

  auto compile() -> void {
    compile_head();
    compile_spaces();
    out_.index();
    compile_rules(read_rules());
    check_routes();
  }

 private:
  auto compile_head() -> void {
    const auto* repeats = document_.with_repeats ? &*document_.with_repeats : nullptr;
    auto fields = field_reader(document_.root, repeats, "", faults_);
    fields.check_keys(configuration_fields());
    out_.number = fields.required_integer("number", number_range);
    out_.after = fields.integer("after", after_range, any);
    out_.subscriptions = fields.integer("subscriptions", subscriptions_range, default_subscriptions);
    out_.origin = fields.string("origin", "");
  }

  auto compile_spaces() -> void {
    const auto& spaces = get_value(document_.root, "spaces");
    if (!spaces.is_array())
      return faults_.add("spaces", "wants a list of spaces");
    // Where "spaces" itself is repeated this is the list that comes first, which may be shorter.
    static const auto no_list = ptree();
    const auto& list = document_.with_repeats ? document_.with_repeats->get_child("spaces") : no_list;
    auto repeats = list.begin();
    auto position = 0;
    for (const auto& fields : spaces.get_array()) {
      const auto place = "spaces[" + std::to_string(position++) + "].";
      const auto* with_repeats = repeats != list.end() ? &(repeats++)->second : nullptr;
      if (!fields.is_object()) {
        faults_.add(place, "is no space");
        continue;
      }
      auto reader = field_reader(fields, with_repeats, place, faults_);
      add_space(reader, compile_space(reader));
    }
    if (spaces.get_array().size() > max_spaces)
      faults_.add("spaces", "more than " + std::to_string(max_spaces));
  }

  static auto compile_space(field_reader& fields) -> space {
    fields.check_keys(space_fields());
    auto out = space();
    compile_names(fields, out);
    out.keep_ms = compile_keep_ms(fields);
    out.urgency = fields.integer("urgency", urgency_range, 0);
    out.partitions = fields.integer("cells", partitions_range, default_partitions);
    out.timeout_ms = fields.integer("timeout_ms", timeout_range, 0);
    out.target_ms = fields.integer("aim_ms", timeout_range, 0);
    const auto order = fields.string("order", "topic");
    if (order != "topic" && order != "sender")
      fields.add_fault("order", "'" + order + "' is neither topic nor sender");
    out.by_topic = order != "sender";
    return out;
  }

  static auto compile_names(field_reader& fields, space& out) -> void {
    const auto name = fields.required_string("name");
    if (name && !is_name(*name))
      fields.add_fault("name", invalid_name);
    out.name = name.value_or("");
    out.prefix = fields.string("prefix", out.name + "/");
    if (!is_topic(out.prefix))
      fields.add_fault("prefix", "wants 1 to 200 printable characters without a space");
    out.pool = fields.string("pool", out.name);
    if (!is_name(out.pool))
      fields.add_fault("pool", invalid_name);
  }

  // Given in milliseconds or in seconds, not both.
  static auto compile_keep_ms(field_reader& fields) -> std::int64_t {
    if (!fields.has("keep_ms"))
      return fields.required_integer("keep_s", keep_s_range) * 1000;
    if (fields.has("keep_s"))
      fields.add_fault("keep_ms", "stands beside keep_s");
    return fields.required_integer("keep_ms", keep_ms_range);
  }

  // Checks the space against those before it.
  auto add_space(field_reader& fields, const space& added) -> void {
    if (!out_.spaces.emplace(added.name, added).second)
      fields.add_fault("name", "'" + added.name + "' is the name of two spaces");
    if (!prefixes_.insert(added.prefix).second)
      fields.add_fault("prefix", "'" + added.prefix + "' is the prefix of two spaces");
    const auto of_pool = partitions_of_pools_.emplace(added.pool, added.partitions).first->second;
    if (of_pool != added.partitions)
      fields.add_fault("cells", "pool '" + added.pool + "' has " + std::to_string(of_pool) + " in another space");
  }

  auto read_rules() -> std::vector<std::string> {
    if (!document_.root.as_object().contains("rules"))
      return {default_rule};
    const auto& rules = get_value(document_.root, "rules");
    if (!rules.is_array()) {
      faults_.add("rules", "wants a list of strings");
      return {};
    }
    auto out = std::vector<std::string>();
    auto position = 0;
    for (const auto& rule : rules.get_array()) {
      const auto place = "rules[" + std::to_string(position++) + "]";
      if (rule.is_string())
        out.emplace_back(rule.get_string());
      else
        faults_.add(place, "wants a string");
    }
    if (out.size() > max_rules)
      faults_.add("rules", "more than " + std::to_string(max_rules));
    return out;
  }

  auto compile_rules(const std::vector<std::string>& rules) -> void {
    for (auto i = std::size_t{0}; i < rules.size(); ++i) {
      try {
        append_rule(rules[i], out_.rules);
      } catch (const rule_syntax_error& error) {
        faults_.add("rules[" + std::to_string(i) + "]", error.what());
      }
    }
  }

  // Every route has to lead into a space.
  auto check_routes() -> void {
    for (const auto& step : out_.rules) {
      if (step.kind != rule_step::kind::route)
        continue;
      const auto stem = step.target.substr(0, step.target.find('*'));
      if (!out_.space_of(stem))
        faults_.add("rules", "route to '" + step.target + "': no space '" + stem.substr(0, stem.find('/')) + "'");
    }
  }

  const document& document_;
  compiled_configuration& out_;
  configuration_errors& faults_;
  std::set<std::string> prefixes_;
  std::map<std::string, std::int64_t> partitions_of_pools_;
};

}  // namespace

auto compile_configuration(const std::string& body) -> compiled_configuration_ptr {
  auto out = std::make_shared<compiled_configuration>();
  auto faults = configuration_errors();
  const auto read = parse_document(body, faults);
  if (faults.empty())
    configuration_compiler(read, *out, faults).compile();
  if (!faults.empty())
    throw faults.to_error();
  out->body = body;
  return out;
}

}  // namespace reachridge
