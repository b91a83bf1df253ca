#include "configuration/rule_parser.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <string_view>
#include <utility>

namespace reachridge {
namespace {

constexpr auto max_number_digits = std::size_t{7};

constexpr auto mask_of(action allowed) -> std::int64_t {
  return static_cast<std::int64_t>(allowed);
}

constexpr auto action_masks = std::to_array<std::pair<std::string_view, std::int64_t>>({
    {"publish", mask_of(action::publish)},
    {"subscribe", mask_of(action::subscribe)},
    {"read", mask_of(action::read)},
    {"all", mask_of(action::publish) | mask_of(action::subscribe) | mask_of(action::read)},
});

struct token {
  std::string text;
  std::size_t column;  // counted from 1
};

auto is_space(char character) -> bool {
  return std::isspace(static_cast<unsigned char>(character)) != 0;
}

// Splits a rule into commas and words. Whitespace and commas separate words.
auto tokenize(const std::string& rule) -> std::vector<token> {
  auto tokens = std::vector<token>();
  auto position = std::size_t{0};
  while (position < rule.size()) {
    if (is_space(rule[position])) {
      ++position;
      continue;
    }
    const auto start = position++;
    if (rule[start] != ',')
      while (position < rule.size() && rule[position] != ',' && !is_space(rule[position]))
        ++position;
    tokens.push_back({rule.substr(start, position - start), start + 1});
  }
  return tokens;
}

// Recursive-descent parser for one rule. Appends the compiled steps to `program`.
class rule_parser {
 public:
  rule_parser(const std::string& rule, std::vector<rule_step>& program) : tokens_(tokenize(rule)), program_(program) {}

  auto parse() -> void {
    const auto keyword = next_token("'allow', 'deny' or 'route'");
    if (keyword == "route")
      return parse_route();
    if (keyword != "allow" && keyword != "deny")
      fail("'" + keyword + "' is not a valid keyword, expected 'allow', 'deny' or 'route'");
    parse_decision(keyword == "allow" ? rule_step::kind::allow : rule_step::kind::deny);
  }

 private:
  // Every test of the rule jumps to the step after the rule if the test fails.
  auto parse_decision(enum rule_step::kind decision) -> void {
    const auto first_test = program_.size();
    add_test(rule_step::kind::action, "", parse_actions());
    expect("on");
    add_test(rule_step::kind::topic, parse_pattern(), 0);
    if (accept("for"))
      add_test(rule_step::kind::caller, parse_pattern(), 0);
    if (accept("under"))
      add_test(rule_step::kind::size, "", parse_number());
    expect_end();
    program_.push_back({decision, {}, {}, 0, 0});
    for (auto i = first_test; i + 1 < program_.size(); ++i)
      program_[i].next_on_mismatch = program_.size();
  }

  auto parse_route() -> void {
    const auto from = parse_pattern();
    expect("to");
    const auto target = parse_pattern();
    expect_end();
    if (!is_route(from, target))
      fail("a route needs a '*' at the end of both patterns or in neither");
    program_.push_back({rule_step::kind::route, from, target, 0, program_.size() + 1});
  }

  static auto is_route(const std::string& from, const std::string& target) -> bool {
    const auto stars = std::count(from.begin(), from.end(), '*');
    if (stars != std::count(target.begin(), target.end(), '*'))
      return false;
    if (stars == 0)
      return true;
    return stars == 1 && from.back() == '*' && target.back() == '*';
  }

  auto parse_actions() -> std::int64_t {
    auto mask = std::int64_t{0};
    do {
      const auto name = next_token("an action");
      const auto* found = std::find_if(action_masks.begin(), action_masks.end(), [&](const auto& candidate) {
        return candidate.first == name;
      });
      if (found == action_masks.end())
        fail("'" + name + "' is not a valid action, expected 'publish', 'subscribe', 'read' or 'all'");
      mask |= found->second;
    } while (accept(","));
    return mask;
  }

  auto parse_pattern() -> std::string {
    auto pattern = next_token("a pattern");
    // std::strchr also finds the terminating zero byte, so a pattern may contain zero bytes, which match literally.
    const auto is_allowed = [](char character) {
      return std::isalnum(static_cast<unsigned char>(character)) || std::strchr("-_./*:", character);
    };
    if (!std::all_of(pattern.begin(), pattern.end(), is_allowed))
      fail("'" + pattern + "' is not a valid pattern");
    return pattern;
  }

  auto parse_number() -> std::int64_t {
    const auto number = next_token("a number of bytes");
    const auto only_digits = number.find_first_not_of("0123456789") == std::string::npos;
    if (number.size() > max_number_digits || !only_digits)
      fail("'" + number + "' is not a valid number of bytes");
    return std::stoll(number);
  }

  auto add_test(enum rule_step::kind kind, std::string pattern, std::int64_t number) -> void {
    program_.push_back({kind, std::move(pattern), {}, number, 0});
  }

  // Consumes and returns the next token. `expected` describes the token in the error if the rule ends here.
  auto next_token(const std::string& expected) -> std::string {
    if (position_ >= tokens_.size())
      fail("rule ends where " + expected + " is expected");
    return tokens_[position_++].text;
  }

  auto accept(std::string_view text) -> bool {
    if (position_ >= tokens_.size() || tokens_[position_].text != text)
      return false;
    ++position_;
    return true;
  }

  auto expect(const std::string& text) -> void {
    const auto taken = next_token("'" + text + "'");
    if (taken != text)
      fail("'" + taken + "' found where '" + text + "' is expected");
  }

  auto expect_end() -> void {
    if (position_ >= tokens_.size())
      return;
    const auto& extra = tokens_[position_++];
    fail("'" + extra.text + "' is unexpected after the end of the rule");
  }

  // Throws an error with the column of the last consumed token.
  [[noreturn]] auto fail(const std::string& message) const -> void {
    const auto column = position_ == 0 ? 1 : tokens_[position_ - 1].column;
    throw rule_syntax_error("column " + std::to_string(column) + ": " + message);
  }

  std::vector<token> tokens_;
  std::size_t position_ = 0;
  std::vector<rule_step>& program_;
};

}  // namespace

auto append_rule(const std::string& rule, std::vector<rule_step>& program) -> void {
  rule_parser(rule, program).parse();
}

}  // namespace reachridge
