#include "runtime/request_error.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace reachridge {
namespace {

struct code_name {
  errc code;
  std::string_view text;
};

// The texts of the error codes on the wire. Other processes and clients match these texts.
constexpr auto code_names = std::to_array<code_name>({
    {errc::malformed, "malformed"},
    {errc::not_found, "not_found"},
    {errc::busy, "busy"},
    {errc::unclear, "unclear"},
    {errc::no_leader, "no_leader"},
    {errc::not_primary, "not_here"},
    {errc::moving, "moving"},
    {errc::unreplicated, "lone"},
    {errc::log_full, "full"},
    {errc::throttled, "slow"},
    {errc::unreachable, "away"},
    {errc::not_ready, "not_ready"},
    {errc::no_lease, "no_lease"},
    {errc::permission_denied, "denied"},
    {errc::no_such_space, "no_space"},
    {errc::message_too_long, "too_long"},
    {errc::too_large, "too_large"},
    {errc::no_room, "no_room"},
    {errc::sequence_too_low, "below"},
    {errc::position_expired, "gone"},
    {errc::position_unknown, "ahead"},
    {errc::invalid_configuration, "bad_charter"},
    {errc::stale_version, "stale"},
    {errc::version_taken, "taken"},
    {errc::superseded, "overtaken"},
    {errc::conflict, "conflict"},
    {errc::old_epoch, "old"},
    {errc::catching_up, "catching_up"},
    {errc::unsettled, "unsettled"},
    {errc::too_few_nodes, "too_few"},
    {errc::last_replica, "last_copy"},
    {errc::foreign_disk, "foreign"},
    {errc::disk_failed, "disk"},
    {errc::damaged, "damaged"},
    {errc::internal, "broken"},
    {errc::listen_failed, "listen"},
    {errc::bad_http, "bad_http"},
    {errc::invalid_settings, "settings"},
    {errc::usage, "usage"},
    {errc::out_of_range, "shape"},
    {errc::invalid_scenario, "scene"},
    {errc::nothing_to_shrink, "passes"},
    {errc::process_not_started, "spawn"},
    {errc::fit_failed, "fit"},
});

constexpr auto outcome_texts = std::to_array<std::pair<execution_outcome, std::string_view>>({
    {execution_outcome::not_executed, "refused"},
    {execution_outcome::unknown, "unclear"},
    {execution_outcome::executed, "done"},
});

auto outcome_text(execution_outcome outcome) -> std::string_view {
  return std::find_if(outcome_texts.begin(), outcome_texts.end(),
                      [&](const auto& entry) {
                        return entry.first == outcome;
                      })
      ->second;
}

// Returns execution_outcome::unknown for a text that this release does not know.
auto parse_outcome(std::string_view text) -> execution_outcome {
  const auto* found = std::find_if(outcome_texts.begin(), outcome_texts.end(), [&](const auto& entry) {
    return entry.second == text;
  });
  return found == outcome_texts.end() ? execution_outcome::unknown : found->first;
}

}  // namespace

auto to_string(errc code) -> std::string_view {
  const auto* found = std::find_if(code_names.begin(), code_names.end(), [&](const code_name& entry) {
    return entry.code == code;
  });
  return found == code_names.end() ? to_string(errc::internal) : found->text;
}

auto parse_errc(std::string_view text) -> std::optional<errc> {
  const auto* found = std::find_if(code_names.begin(), code_names.end(), [&](const code_name& entry) {
    return entry.text == text;
  });
  if (found == code_names.end())
    return {};
  return found->code;
}

request_error::request_error(errc reason, std::string text, execution_outcome executed, std::int64_t retry_after,
                             value additional_fields)
    : code(reason),
      message(std::move(text)),
      outcome(executed),
      retry_after_ms(retry_after),
      details(std::move(additional_fields)) {}

auto request_error::code_text() const -> std::string {
  return code == errc::unrecognized ? unrecognized_code_ : std::string(to_string(code));
}

auto request_error::to_value() const -> value {
  auto out = object{{"verdict", outcome_text(outcome)}, {"code", code_text()}, {"why", message}};
  if (retry_after_ms >= 0)
    out["retry_ms"] = retry_after_ms;
  if (!details.is_null())
    out["more"] = details;
  return out;
}

auto request_error::from_value(const value& encoded) -> request_error {
  auto text = get_string_or(encoded, "code", to_string(errc::internal));
  auto out = request_error(parse_errc(text).value_or(errc::unrecognized), get_string_or(encoded, "why"),
                           parse_outcome(get_string_or(encoded, "verdict")), get_int_or(encoded, "retry_ms", -1),
                           get_value(encoded, "more"));
  if (out.code == errc::unrecognized)
    out.unrecognized_code_ = text;
  return out;
}

}  // namespace reachridge
