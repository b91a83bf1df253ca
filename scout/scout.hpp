// The agent beside a forager: holds the control-plane link and feeds it (design 5.4).
#pragma once
#include <string>

#include "scout/session.hpp"

namespace hive {

class scout {
 public:
  scout(host& h, const config& c);
  session ses;
  [[nodiscard]] auto status() const -> tree;
  auto leave(tick limit) -> task<void>;
  auto reload(const config& c) -> void { set = c; }

 private:
  auto ask(wire_ptr w, tree t) -> task<tree>;
  host& h;
  config set;
  std::int64_t confirmed = 0;  // the number the forager said it serves
  tick seen = 0;               // when the forager last asked
  nest home;
};

}  // namespace hive
