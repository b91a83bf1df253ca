#include "reachctl/options.hpp"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

#include "runtime/settings.hpp"

namespace reachridge {
namespace {

constexpr auto commands_help = R"(commands:
  check FILE          compile a configuration locally and report every error
  put FILE            send a configuration (--dry: validate it against the cluster, change nothing)
  charter             show the latest accepted configuration
  held N              show whether configuration N is in force (--wait S: wait until it is)
  leave NAME          drain a storage node: --kind drain, evacuate or retire (--wait S: wait until done)
  leave --zone ZONE   evacuate a zone: its storage nodes hand their partitions over, new connections go elsewhere
  stay NAME           cancel a drain, unless it is a completed retirement
  stay --zone ZONE    cancel the evacuation of a zone
  refound CELL        recreate a partition that has lost all replicas; its data is lost
  leavings            list the drains and what is left on each node
  members             list the members with a session, and the control node of each session
  cells               list the replicas and the epoch of each partition
  voters              list the voters of the replicated log, their state and any change in progress
  status              show the status of the node at --at
  ring                show the recent log of the node at --at

exit: 0 done or yes, 1 refused, 2 wrong usage, 3 no answer (the request may have been carried out), 4 not yet
)";

struct command {
  std::string_view name;
  std::size_t arguments;  // number of words after the command
  operation requested;
  std::string_view page;  // path that read_page requests
};
constexpr command commands[] = {{"check", 1, operation::check, ""},
                                {"put", 1, operation::put, ""},
                                {"charter", 0, operation::read_page, "/v1/charter"},
                                {"held", 1, operation::configuration_in_force, ""},
                                {"leave", 1, operation::drain, ""},
                                {"stay", 1, operation::undrain, ""},
                                {"refound", 1, operation::recreate_partition, ""},
                                {"leavings", 0, operation::read_page, "/v1/leave"},
                                {"members", 0, operation::read_page, "/v1/members"},
                                {"cells", 0, operation::read_page, "/v1/cells"},
                                {"voters", 0, operation::read_page, "/v1/voters"},
                                {"status", 0, operation::read_page, "/status"},
                                {"ring", 0, operation::read_page, "/ring"}};

auto find_command(const std::string& name) -> const command* {
  for (const auto& entry : commands)
    if (entry.name == name)
      return &entry;
  return nullptr;
}

// Owns a string that popt has allocated.
class popt_string {
 public:
  popt_string() = default;
  popt_string(const popt_string&) = delete;
  auto operator=(const popt_string&) -> popt_string& = delete;
  ~popt_string() {
    std::free(text_);
  }
  // Returns the address to which popt writes the string.
  auto target() -> char** {
    return &text_;
  }
  // Returns no value if the option was not given.
  [[nodiscard]] auto get() const -> std::optional<std::string> {
    return text_ ? std::optional<std::string>(text_) : std::nullopt;
  }

 private:
  char* text_ = nullptr;
};

// The command line as popt has parsed it, before validation.
struct raw_options {
  std::vector<std::string> words;
  std::optional<std::string> addresses;
  std::optional<std::string> drain_kind;
  std::optional<std::string> zone;
  int wait_s = 0;
  bool json = false;
  bool dry_run = false;
};

// Prints an error and the usage to stderr.
auto wrong_usage(const std::string& error) -> parsed_options {
  std::cerr << error << "\n\nusage: reachctl --at IP:PORT,... COMMAND\n" << commands_help;
  return {{}, usage};
}

// Copies the command and its arguments into `chosen`. Returns an error text, which is empty on success.
auto parse_command(const raw_options& raw, options& chosen) -> std::string {
  if (raw.words.empty())
    return "no command given";
  const auto& name = raw.words[0];
  const auto* found = find_command(name);
  if (!found)
    return "'" + name + "' is no command";
  auto takes_zone = found->requested == operation::drain || found->requested == operation::undrain;
  if (raw.zone && !takes_zone)
    return "option zone is only valid for the commands leave and stay";
  auto expected = raw.zone ? 0 : found->arguments;
  if (raw.words.size() != expected + 1)
    return "'" + name + "' expects " + std::to_string(expected) + " argument(s)";
  chosen.requested = found->requested;
  chosen.page = found->page;
  if (expected > 0)
    chosen.argument = raw.words[1];
  return {};
}

// Splits a list of addresses at its commas into `chosen`. Returns an error text, which is empty on success.
auto parse_addresses(const std::string& list, options& chosen) -> std::string {
  auto input = std::istringstream(list);
  for (auto address = std::string(); std::getline(input, address, ',');) {
    if (!is_address(address))
      return "option at: '" + address + "' is not of the form IP:PORT";
    chosen.addresses.push_back(address);
  }
  return {};
}

auto validate(const raw_options& raw) -> parsed_options {
  auto chosen = options();
  if (auto error = parse_addresses(raw.addresses.value_or(""), chosen); !error.empty())
    return wrong_usage(error);
  if (auto error = parse_command(raw, chosen); !error.empty())
    return wrong_usage(error);
  if (chosen.requested != operation::check && chosen.addresses.empty())
    return wrong_usage("option at is missing");
  if (raw.zone)
    chosen.drain_kind = "evacuate";
  if (raw.drain_kind)
    chosen.drain_kind = *raw.drain_kind;
  chosen.zone = raw.zone.value_or("");
  chosen.wait_s = raw.wait_s;
  chosen.json = raw.json;
  chosen.dry_run = raw.dry_run;
  return {chosen, done};
}

}  // namespace

auto parse_options(int argc, const char** argv) -> parsed_options {
  auto raw = raw_options();
  auto addresses = popt_string();
  auto drain_kind = popt_string();
  auto zone = popt_string();
  auto json = 0;
  auto dry_run = 0;
  auto help = 0;
  poptOption table[] = {
      {"at", 'a', POPT_ARG_STRING, addresses.target(), 0,
       "comma-separated HTTP addresses of control nodes (or of one node)", "IP:PORT,..."},
      {"kind", 'k', POPT_ARG_STRING, drain_kind.target(), 0, "kind of drain: drain, evacuate or retire", "KIND"},
      {"zone", 'z', POPT_ARG_STRING, zone.target(), 0, "a whole zone instead of a node name", "ZONE"},
      {"wait", 'w', POPT_ARG_INT, &raw.wait_s, 0, "seconds to wait for completion", "S"},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "print the reply as JSON", nullptr},
      {"dry", 'n', POPT_ARG_NONE, &dry_run, 0, "validate only, change nothing", nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help", nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  auto context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>(
      poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext);
  if (auto result = poptGetNextOpt(context.get()); result < -1)
    return wrong_usage(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result));
  if (help) {
    poptPrintHelp(context.get(), stdout, 0);
    std::cout << '\n' << commands_help;
    return {{}, done};
  }
  while (const auto* argument = poptGetArg(context.get()))
    raw.words.emplace_back(argument);
  raw.addresses = addresses.get();
  raw.drain_kind = drain_kind.get();
  raw.zone = zone.get();
  raw.json = json != 0;
  raw.dry_run = dry_run != 0;
  return validate(raw);
}

}  // namespace reachridge
