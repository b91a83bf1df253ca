// Includes all headers of the HTTP/1.1 server and client, which exchange JSON with clients and operators and use the
// parsers of Boost.Beast (design 3.7).
#pragma once
#include "runtime/http_client.hpp"
#include "runtime/http_message.hpp"
#include "runtime/http_pages.hpp"
#include "runtime/http_server.hpp"
#include "runtime/json_lines.hpp"
