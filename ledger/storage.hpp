// Names and shapes of what the replicated log keeps on disk (design 4.1).
#pragma once
#include <string>
#include <vector>

#include "ledger/ledger.hpp"

namespace hive {

auto slot(std::int64_t i) -> std::string;  // the key of entry `i`
auto to_tree(const std::vector<voter>& p) -> tree;
auto to_panel(const tree& t) -> std::vector<voter>;

}  // namespace hive
