// The long HTTP link of docs/api.md as the forager's seam wants it (design 7.4).
#pragma once
#include <memory>

#include "forager/talk.hpp"
#include "wax/http.hpp"

namespace hive {

// Each line is one JSON request; each answer leaves as one JSON line.
class http_talk : public talk {
 public:
  explicit http_talk(std::shared_ptr<lines> l) : io(std::move(l)) {}
  auto next(tick until) -> task<std::optional<tree>> override;
  auto put(const tree& t) -> void override { io->put(t); }
  auto end() -> void override { io->end(); }
  auto way() -> link& override { return io->way(); }

 private:
  std::shared_ptr<lines> io;
};

}  // namespace hive
