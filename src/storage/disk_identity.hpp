// The id of a storage node's disk.
#pragma once
#include <string>

#include "runtime/host.hpp"

namespace reachridge {

// Returns the id that is stored on the host's disk. An empty disk receives a new random id, so that a replacement disk
// is never mistaken for the lost disk (design 6.10). Throws request_error (damaged) if the disk holds records but no
// id, or if the id record has another format.
auto load_or_create_disk_id(host& host) -> std::string;

}  // namespace reachridge
