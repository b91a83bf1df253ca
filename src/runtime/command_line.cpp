// Reads the settings of a daemon from its flags with popt, and from the settings file that the flags name.
#include <popt.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "runtime/settings.hpp"
#include "runtime/settings_keys.hpp"

namespace reachridge {
namespace {

using popt_context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
using popt_text = std::unique_ptr<char, decltype(&std::free)>;

// The result of parsing the command line. `values` contains the given flags by key.
struct parsed_flags {
  std::string file;
  std::map<std::string, std::string> values;
  std::vector<setting_error> errors;
};

// Returns the option table of popt. popt stores the value of option i in texts[i]. Option 0 is the settings file, and
// the other options are the keys of the settings in their order.
auto option_table(std::vector<char*>& texts) -> std::vector<poptOption> {
  const auto& keys = setting_keys();
  texts.assign(keys.size() + 1, nullptr);
  auto options = std::vector<poptOption>();
  options.push_back({"config", 'c', POPT_ARG_STRING, &texts[0], 0, "settings file", "FILE"});
  for (auto i = std::size_t{0}; i < keys.size(); ++i)
    options.push_back({keys[i].name, '\0', POPT_ARG_STRING, &texts[i + 1], 0, keys[i].help, "VALUE"});
  options.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
  options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return options;
}

// Takes ownership of a text that popt allocated. Returns nullopt if the option was not given.
auto take_text(char*& text) -> std::optional<std::string> {
  auto owned = popt_text(std::exchange(text, nullptr), &std::free);
  if (!owned)
    return {};
  return owned.get();
}

auto parse_flags(int argc, const char** argv, const std::string& about) -> parsed_flags {
  auto texts = std::vector<char*>();
  auto options = option_table(texts);
  auto context = popt_context(poptGetContext(nullptr, argc, argv, options.data(), 0), &poptFreeContext);
  auto usage = "- " + about;
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  auto flags = parsed_flags();
  if (auto error = poptGetNextOpt(context.get()); error < -1)
    flags.errors.push_back({poptBadOption(context.get(), 0), poptStrerror(error)});
  if (const auto* argument = poptGetArg(context.get()))
    flags.errors.push_back({argument, "is not a flag"});
  flags.file = take_text(texts[0]).value_or("");
  const auto& keys = setting_keys();
  for (auto i = std::size_t{0}; i < keys.size(); ++i)
    if (auto text = take_text(texts[i + 1]))
      flags.values[keys[i].name] = *text;
  return flags;
}

}  // namespace

auto command_line(int argc, const char** argv, const std::string& about, const required_settings& required)
    -> settings_source {
  auto flags = parse_flags(argc, argv, about);
  auto read = [flags, required](std::vector<setting_error>& errors) {
    errors.insert(errors.end(), flags.errors.begin(), flags.errors.end());
    return read_settings(flags.file, flags.values, required, errors);
  };
  return {read, flags.file};
}

}  // namespace reachridge
