// Encodes and decodes the messages of client_messages.hpp as JSON. Only this codec knows their field names.
//
// The decode functions throw request_error (errc::malformed) whose text names the invalid field.
#pragma once
#include <map>
#include <string>

#include "gateway/client_messages.hpp"

namespace reachridge::client_api {

// Returns the operation that a request names, which may be undefined. Throws request_error (errc::malformed) if the
// request is not an object or names no operation.
auto operation_name(const value& request) -> std::string;
// Returns operation::unknown if no operation has this name.
auto parse_operation(const std::string& name) -> operation;

// Throws request_error (errc::malformed) if a heartbeat has an unknown field.
auto check_heartbeat(const value& request) -> void;
// Returns the error that the transport reported instead of a request.
auto decode_unreadable(const value& request) -> request_error;
auto decode_enrol(const value& request) -> enrol_request;
auto decode_publish(const value& request) -> publish_request;
auto decode_subscribe(const value& request) -> subscribe_request;
auto decode_unsubscribe(const value& request) -> unsubscribe_request;
auto decode_count(const value& request) -> count_request;
// Decodes the body of an HTTP publish request.
auto decode_single_publish(const std::string& body) -> single_publish_request;
// Decodes the query parameters of an HTTP read request.
auto decode_read(const std::map<std::string, std::string>& query) -> read_request;
auto decode_echoed_fields(const value& request) -> echoed_fields;
// Returns whether the transport cannot read any request after this one.
auto is_last_request(const value& request) -> bool;

auto encode_enrolled(const std::string& client, const std::string& gateway) -> object;
// Encodes the answer to an HTTP publish request. `encode_published` encodes the answer on a client connection.
auto encode_publish_result(const publish_result& result) -> object;
auto encode_published(const publish_result& result, const echoed_fields& echoed) -> object;
auto encode_publish_error(const request_error& error, const echoed_fields& echoed) -> object;
auto encode_counted(std::int64_t count, const echoed_fields& echoed) -> object;
auto encode_count_error(const request_error& error, const echoed_fields& echoed) -> object;
auto encode_subscribed(const subscribe_result& result) -> object;
auto encode_unsubscribed(const std::string& topic) -> object;
// Encodes the answer to a request that failed before it was sent to a storage node. `operation` is the name that the
// request gave.
auto encode_request_error(const request_error& error, const std::string& operation, const echoed_fields& echoed)
    -> object;
// Encodes the error that refuses a whole connection.
auto encode_connection_error(const request_error& error) -> object;
auto encode_delivery(const delivery& message) -> object;
auto encode_subscription_ended(const subscription_ended& ended) -> object;
// Encodes a refused request if the subscription was not open yet, and otherwise the end of the subscription.
auto encode_subscription_refused(const subscription_refused& refused) -> object;
auto encode_redirect(const redirect& target) -> object;
auto encode_heartbeat() -> object;

}  // namespace reachridge::client_api
