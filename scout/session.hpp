// A node's session: signs of life one way, lease and news the other (design 5.1).
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "scout/version_deadlines.hpp"
#include "scout/view.hpp"
#include "wax/colleague.hpp"
#include "wax/config.hpp"

namespace hive {

// A short mark of a list of queens, so that a list is sent only to who has another.
auto mark_of(const std::vector<std::string>& row) -> std::int64_t;

class session {
 public:
  // `doors`: where a session can stand; the next is tried when one is silent or gives no lease.
  session(host& h, const config& c, std::vector<std::string> doors);
  seat me;
  view known;
  signal news;  // something in `known`, or the lease, has changed

  [[nodiscard]] auto leased() const -> bool { return until > h.now(); }
  [[nodiscard]] auto lease_left() const -> tick { return std::max<tick>(0, until - h.now()); }
  // The oldest version that may be served by now: the newest whose time to come into force has passed.
  [[nodiscard]] auto need() const -> std::int64_t { return std::max(least, deadlines.required(h.now())); }
  // The newest version that the control plane has told of, held here or not.
  [[nodiscard]] auto newest() const -> std::int64_t { return newest_told; }
  // Versions that must come into force, with the time left from `since`.
  [[nodiscard]] auto due_versions(tick since) const -> twigs { return deadlines.to_tree(h.now(), since); }
  // Served by a version that no newer one has replaced for longer than the bound (design 5.3).
  [[nodiscard]] auto may_serve() const -> bool { return leased() && known.law && known.law->number >= need(); }
  // What the majority has answered since this start: nothing older may be acted on.
  [[nodiscard]] auto fresh() const -> bool { return ever && known.cells_ver >= cells_need; }
  auto ask(tree t, tick limit) -> task<tree>;  // a request to the control plane
  auto propose(tree deed, tick limit) -> task<tree>;
  auto leave(tick limit) -> task<void>;  // says that this node serves no more
  [[nodiscard]] auto door() const -> std::string { return doors[at]; }
  [[nodiscard]] auto wishes() const -> const twigs& { return wish; }
  std::function<std::int64_t()> serving;  // the number reported; by default the one known
  bool gone = false;

 private:
  auto run() -> task<void>;
  auto take_queens(const tree& row) -> void;
  auto take_versions(const tree& answer, tick asked) -> void;
  auto leave_door() -> void;
  host& h;
  config set;
  std::vector<std::string> seeds, queens, doors;  // doors: the queens last told of, then the seeds
  std::set<std::string> met;                      // all that were ever among the doors
  std::size_t at = 0;
  tick until = 0, move_at = never;  // move_at: when the session goes over to `move_to`
  std::string move_to;
  std::int64_t least = 0, cells_need = 0, newest_told = 0;
  version_deadlines deadlines;
  bool ever = false;
  twigs wish;
  signal turned;                    // the line came up, fell, or its queen is gone
  std::shared_ptr<colleague> line;  // shared: a request may outlive the choice of another door
  nest home;
};

}  // namespace hive
