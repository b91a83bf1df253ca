// Links between our own processes: framed CBOR, requests and notes (design 3.3).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wax/host.hpp"
#include "wax/verdict.hpp"

namespace hive {

constexpr auto frame_most = std::size_t{8} << 20;

auto frame(const tree& t) -> std::string;
// Takes one whole frame off the front of `in`, if there; throws bad_bytes on a malformed one.
auto unframe(std::string& in, std::size_t& used) -> std::optional<tree>;

// One standing link, either side of it. Held by shared_ptr; may outlive its link.
class wire {
 public:
  explicit wire(link_ptr l) : way(std::move(l)) {}
  auto tell(const tree& t) -> void {
    if (way && !way->shut) way->send(frame(t));
  }
  [[nodiscard]] auto live() const -> bool { return way && !way->shut; }
  [[nodiscard]] auto owed() const -> std::size_t { return way ? way->owed() : 0; }
  auto drop() -> void {
    if (way) way->close();
  }
  std::string who;       // the name the other side gave in its hello
  bool replies = false;  // the other side answers beats, said in its hello
  int quiet = 0;         // sweeps of the accepting side since it last heard anything
  link_ptr way;
};
using wire_ptr = std::shared_ptr<wire>;

// What a process answers its colleagues.
struct answers {
  std::function<task<tree>(wire_ptr, tree)> ask;           // a request; the tree is the reply
  std::function<void(const wire_ptr&, const tree&)> note;  // one-way, in order of sending
  std::function<void(const wire_ptr&)> gone;               // the link ended
  std::function<bool(const std::string&)> may_relay;       // is this the address of a member?
  // The span between two sweeps for links whose other side has vanished without a word (its machine lost its power,
  // or a cut lasts): it is asked for a sign of life and, if none comes, its link ends. 0: such links stay.
  tick sweep = 0;
};

// Accepts colleagues' links and serves them until the nest ends.
auto serve(host& h, nest& home, std::unique_ptr<door> d, answers a, std::string me) -> task<void>;

// A link that is dialled again whenever it falls. Liveness is a round trip:
// a beat unanswered for `lose` ends the link.
class colleague {
 public:
  struct ways {
    std::string me, addr;
    tick beat, lose;
    // Who could pass it on where the straight way is cut: one hop, no more.
    std::function<std::vector<std::string>()> vias = {};
  };
  colleague(host& h, ways w);
  auto ask(tree t, tick until) -> task<tree>;  // throws verdict
  auto tell(const tree& t) -> bool;            // false: no link now
  auto quit() -> void { fall(); }              // open requests end at once
  [[nodiscard]] auto up() const -> bool { return on; }
  [[nodiscard]] auto heard() const -> tick { return last; }
  [[nodiscard]] auto addr() const -> const std::string& { return set.addr; }
  // When a straight dial last found nobody listening there, since the link last stood; -never: not so.
  [[nodiscard]] auto refused_at() const -> tick { return none_at; }
  [[nodiscard]] auto relayed() const -> bool { return on && over_hop; }
  std::function<void(const tree&)> on_note;
  std::function<void(bool)> on_turn;  // came up or went down
  std::function<void()> on_gone;      // its link was closed and the dial after that refused: its process is gone
  wire_ptr line;

 private:
  struct slot {
    signal done;
    std::optional<tree> out;
    bool lost = false;
  };
  auto run() -> task<void>;
  auto beats(wire_ptr w) -> task<void>;
  auto take(const tree& t) -> void;
  auto fall() -> void;
  host& h;
  ways set;
  bool on = false, over_hop = false;
  tick last = 0, none_at = -never;
  std::int64_t count = 0;
  std::map<std::int64_t, std::shared_ptr<slot>> open;
  nest home;
};

}  // namespace hive
