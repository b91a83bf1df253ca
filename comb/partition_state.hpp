// The replayed state of one cell: a deterministic machine over log entries (design 6.1).
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wax/loop.hpp"
#include "wax/tree.hpp"

namespace hive {

// Sequence numbers accepted of one downstream on one topic, as runs.
struct tally {
  std::map<std::int64_t, std::int64_t> runs;  // first -> last
  std::int64_t high = -1, at = 0;             // at: the cell's clock at the last accepted one
  [[nodiscard]] auto has(std::int64_t seq) const -> bool;
  auto add(std::int64_t seq) -> void;
};

struct message {
  std::int64_t pos = 0;
  std::string from, body;
  std::int64_t seq = 0, at = 0, wall = 0;  // at: the cell's clock; wall: a date for readers
  std::int64_t keep = 0;                   // milliseconds: its space's, when it was published
};

struct listener {  // one open subscription
  std::string topic, who;
  std::int64_t last = 0;  // the last position sent on it
};

struct topic_row {
  std::deque<message> kept;
  std::int64_t floor = 0;  // the highest position that expired
  std::int64_t at = 0;     // the cell's clock when it was last published or subscribed to
  std::set<std::string> open;
};

// What an entry makes the primary say, once the backup has it. A backup drops these.
struct output {
  enum class kind { accepted, refused, opened, gone, deliver } what;
  std::vector<std::string> ids;  // subscriptions, or the downstream of a publish
  std::string topic;
  message msg;
  std::int64_t pos = 0;
};

enum class standing { fresh, repeat, below };

class partition_state {
 public:
  // Applies one entry; the same on both sides.
  auto apply(std::int64_t pos, const tree& e) -> std::vector<output>;
  [[nodiscard]] auto weigh(const std::string& who, const std::string& topic, std::int64_t seq) const -> standing;
  [[nodiscard]] auto capture() const -> tree;
  static auto restore(const tree& t) -> partition_state;

  std::int64_t clock = 0;  // milliseconds of the cell's own time, moved by logged reads only
  std::int64_t keep = 0, resend = 10000, law = 0;
  std::int64_t root = 0;  // nothing at or below it is known: the cell was founded again there
  std::map<std::string, topic_row> topics;
  std::map<std::string, listener> open;
  std::map<std::pair<std::string, std::string>, tally> callers;  // by downstream and topic

 private:
  auto expire() -> void;
  auto close(const std::string& id) -> void;
};

}  // namespace hive
