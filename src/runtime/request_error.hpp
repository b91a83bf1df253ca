// Errors of requests: an error code, and whether the request may have been executed (design 3.4).
#pragma once
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/value.hpp"

namespace reachridge {

// The reason why a request failed. The texts of the codes on the wire are in request_error.cpp and in docs/api.md.
enum class errc {
  malformed,              // the request is malformed
  not_found,              // the object, page or subscription does not exist
  busy,                   // the node cannot execute the request now; the client may retry after the given time
  unclear,                // the connection was lost before the reply arrived
  no_leader,              // no leader of the replicated log is known or reachable
  not_primary,            // this node is not the primary of the partition
  moving,                 // the primary role of the partition is being handed over
  unreplicated,           // a space that keeps messages accepts none until a backup is in sync
  log_full,               // the log buffer for a backup is full
  throttled,              // admission is slowed because a backup lags
  unreachable,            // there is no connection to the node that has to execute the request
  not_ready,              // this node does not serve requests yet, or is shutting down
  no_lease,               // this node holds no configuration lease
  permission_denied,      // the access rules of the configuration forbid the request
  no_such_space,          // no space contains the topic
  message_too_long,       // a message or a body exceeds its size limit
  too_large,              // a command exceeds the size limit of the replicated log
  no_room,                // no node can take the data because of its capacity limits
  sequence_too_low,       // the sequence number is below the highest accepted one and is not known as accepted
  position_expired,       // messages after the subscriber's position have expired
  position_unknown,       // the position was never assigned
  invalid_configuration,  // the configuration does not compile
  stale_version,          // the configuration version is not newer than the current one
  version_taken,          // the name or version number is already in use with different content
  superseded,             // another order on the same name was applied first
  conflict,               // the request contradicts committed state
  old_epoch,              // the request belongs to an epoch or term that has ended
  catching_up,            // a new voter or replica still lacks entries
  unsettled,              // an earlier change is not committed yet
  too_few_nodes,          // the remaining nodes cannot hold all replicas
  last_replica,           // the node holds the last replica of a partition
  foreign_disk,           // the disk belongs to another deployment
  disk_failed,            // the disk failed to write
  damaged,                // stored data has a wrong checksum or is incomplete
  internal,               // any error that has no code of its own
  listen_failed,          // the process cannot listen on the address
  bad_http,               // the bytes are not HTTP that this server supports
  invalid_settings,       // the settings are invalid
  usage,                  // the command line is invalid
  out_of_range,           // an argument is outside its range
  invalid_scenario,       // the scenario file is invalid
  nothing_to_shrink,      // the simulator run violates no invariant
  process_not_started,    // a child process could not be started
  fit_failed,             // there are too few points to fit a curve
  unrecognized,           // a code of another release; request_error keeps its text
};

// Returns the text of a code on the wire.
[[nodiscard]] auto to_string(errc code) -> std::string_view;
// Returns the code for a text on the wire, or nullopt if this release does not know the text.
[[nodiscard]] auto parse_errc(std::string_view text) -> std::optional<errc>;

// Whether a failed request was executed.
enum class execution_outcome {
  not_executed,  // the request was not executed and will not be
  unknown,       // the request may have been executed, or may still be executed later
  executed
};

// The error of a request. It is thrown inside a process and sent to other processes and to clients.
struct request_error : std::exception {
  errc code;
  std::string message;
  execution_outcome outcome = execution_outcome::not_executed;
  std::int64_t retry_after_ms = -1;  // time after which the client may retry; -1 if a retry is useless
  value details;                     // additional fields; null if there are none

  request_error(errc reason, std::string text, execution_outcome executed = execution_outcome::not_executed,
                std::int64_t retry_after = -1, value additional_fields = {});
  [[nodiscard]] auto what() const noexcept -> const char* override {
    return message.c_str();
  }
  // Returns the text of the code on the wire. For errc::unrecognized this is the text that was received.
  [[nodiscard]] auto code_text() const -> std::string;

  // Encodes the error for the wire.
  [[nodiscard]] auto to_value() const -> value;
  // Decodes an error from the wire. A missing code becomes errc::internal, and a missing outcome becomes unknown.
  static auto from_value(const value& encoded) -> request_error;

 private:
  std::string unrecognized_code_;
};

}  // namespace reachridge
