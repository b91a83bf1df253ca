// One cell on one comb: its log, its role, its pair (design 6).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "comb/partition_state.hpp"
#include "scout/session.hpp"
#include "wax/colleague.hpp"
#include "wax/config.hpp"

namespace hive {

// A copy that lacks at most so many entries may be called in step next, and is brought up by entries, not by state.
constexpr auto near_entries = std::int64_t{256};

// What a log entry takes of a buffer or a frame, about.
auto entry_bytes(const tree& entry) -> std::size_t;

// What a cell needs of the comb it stands on.
struct partition_context {
  host& h;
  const config& set;
  session& ses;
  std::function<colleague&(const std::string& addr)> reach;
  std::function<bool()> leaving;  // this comb is going down
};

class partition {
 public:
  struct pending_reply {  // a publish or read that waits for its answer
    std::optional<tree> out;
    std::optional<verdict> bad;
    signal done;
  };
  using pending_reply_ptr = std::shared_ptr<pending_reply>;

  partition(partition_context context, std::string id);

  // Commands, worked by the comb's one owner task.
  auto publish(const tree& t, pending_reply_ptr s) -> void;
  auto subscribe(const tree& t, const wire_ptr& w) -> void;
  auto finish(const std::string& sid) -> void;
  auto read(const tree& t, pending_reply_ptr s) -> void;
  auto count(const tree& t, pending_reply_ptr s) -> void;  // who is subscribed to a topic
  auto lost(const wire_ptr& w) -> void;                    // a forager's link ended

  // The logging channel.
  auto on_join(tree t) -> task<tree>;
  auto on_copy(tree t) -> task<tree>;
  auto on_log(const wire_ptr& w, const tree& t) -> void;
  auto on_wait(std::int64_t epoch) -> void;            // its new primary still replays
  auto channel_closed(const wire_ptr& w) -> bool;      // did this cell follow a primary on it?
  auto primary_gone(const std::string& name) -> void;  // that comb's process is known to be dead
  auto link_turned() -> void { log_grown.wake(); }     // a copy's link came up or fell
  auto on_ack(const std::string& member, const tree& t) -> void;

  [[nodiscard]] auto load_units() const -> std::int64_t {
    return role == replica_role::primary ? 2 : role == replica_role::backup ? 1 : 0;
  }
  // Held by nobody's word any more, quiet for long, and nothing is at work in it.
  [[nodiscard]] auto obsolete() const -> bool;
  auto wipe() -> void;
  [[nodiscard]] auto live() const -> bool { return role == replica_role::primary; }
  [[nodiscard]] auto status() const -> tree;
  [[nodiscard]] auto configuration_number() const -> std::int64_t;  // the number of the configuration that it works by
  [[nodiscard]] auto usage() const -> std::int64_t { return admitted; }
  auto apply_row(const cell_row& r) -> void;  // the ledger's word, as the session brings it
  const std::string id;

 private:
  enum class replica_role { idle, backup, primary };
  struct entry {
    std::int64_t epoch;
    bool go;  // a go-live point: the last entry of its operation
    tree e;
    tick born;
  };
  struct replica {  // what the primary knows of one copy it feeds
    std::int64_t next = 0, acked = -1, done = -1;
    std::int64_t lacked_at_join = -1;  // what it lacked when it joined: bringing that is not lag
    tick heard = 0;
    bool joined = false, nacked = false;
    bool gone = false;  // its process is known to be dead
    tick since = 0;     // when feeding it began
    std::int64_t copies = 0;
    std::int64_t feed = 0;  // the task that feeds it: another one has ended
  };
  struct placement_wish {  // what the control nodes would like, to even out usage
    std::string backup;    // a member to become a backup; empty: none
    std::string replaced;  // the node of the backup whose place it takes
    bool hand_over = false;
    std::string lead;  // the node to hand over to; empty: any backup
  };
  struct pending {
    std::int64_t idx;
    output out;
    pending_reply_ptr to;  // for reads and repeats
    tree reply;
  };

  [[nodiscard]] auto me() const -> std::string { return context.ses.me.member(); }
  [[nodiscard]] auto last() const -> std::int64_t { return base + static_cast<std::int64_t>(log.size()); }
  [[nodiscard]] auto epoch_at(std::int64_t i) const -> std::int64_t;
  [[nodiscard]] auto kept() const -> bool { return state.keep > 0; }
  [[nodiscard]] auto key(std::int64_t i) const -> std::string;
  [[nodiscard]] auto safe() const -> std::int64_t;            // up to here outputs may go out
  [[nodiscard]] auto lag_of(const replica& k) const -> tick;  // real-time lag of its replay
  [[nodiscard]] auto awaits_silent_backup() const -> bool;    // is an output waiting for a copy that does not answer?
  [[nodiscard]] auto in_touch(const std::string& member) const -> bool;
  [[nodiscard]] auto unreplicated() const -> bool;  // keeps messages, and no backup is in touch
  [[nodiscard]] auto copies_wanted() const -> std::size_t;
  [[nodiscard]] auto lost_backups() const -> std::set<std::string>;  // silent for `lose`, or with their disk gone
  [[nodiscard]] auto leaves(const std::string& member) const -> bool;
  [[nodiscard]] auto wish() const -> placement_wish;
  [[nodiscard]] auto step_with(const std::string& member, const placement_wish& wished) const
      -> std::vector<std::string>;
  [[nodiscard]] auto disk_lost(const std::string& member) const -> bool;
  auto load() -> void;
  auto save() -> void;  // a capture to disk; entries before it go
  auto append(entry e) -> std::int64_t;
  auto operate(std::vector<tree> row) -> void;  // one operation: entries, the last a go-live point
  auto release() -> void;
  auto dispatch(pending& p) -> void;
  auto clock_entry() -> std::vector<tree>;
  [[nodiscard]] auto configuration_entry() const -> std::optional<tree>;
  auto follow_and_lead() -> task<void>;
  auto flush_log() -> task<void>;
  auto replay() -> task<void>;
  auto feed(std::string member, std::int64_t leadership, std::int64_t number) -> task<void>;
  auto start_feed(const std::string& member) -> void;
  auto propose(cell_row next, std::string why) -> task<bool>;
  auto claim(std::string why) -> task<void>;
  auto tend_replicas() -> task<void>;  // one round of what a primary owes its copies:
  auto log_time() -> void;
  auto forget_strays() -> void;
  auto slow_for_lag() -> void;
  auto drop_lost() -> task<void>;
  auto restore_copies() -> task<void>;
  auto draw_copy(const std::vector<std::string>& stay) -> task<void>;
  auto begin_copy(const std::string& member) -> void;
  auto bring_in_step() -> task<void>;
  auto give_up_copy() -> task<void>;
  auto hand_over() -> task<void>;
  auto go_live() -> void;
  auto halt(const std::string& why) -> void;
  auto refuse_waiting(const std::string& why) -> void;  // final answers at once to what waits
  auto refill_tokens() -> void;
  auto ack(bool nack) -> void;

  partition_context context;
  host& h;
  store& disk;
  replica_role role = replica_role::idle;
  cell_row row;
  std::int64_t leadership = 0;
  bool broken = false;
  partition_state state;
  std::deque<entry> log;
  std::int64_t base = 0, base_epoch = 0, applied = 0, synced = 0, trimmed = 0;
  std::int64_t released = 0;  // the last entry of which an output has left: a copy that lacks it is not in step
  bool urgent = false;
  std::int64_t wipes = 0;  // a sync begun before one says nothing of what came after
  int inside = 0;          // joins and copies at work
  std::deque<pending> pending_outputs;
  std::map<std::string, replica> replicas;
  std::set<std::string> proving;      // copies whose ack is needed while a move is in flight
  std::int64_t unsettled_epoch = -1;  // the epoch at which a move was proposed whose answer never came
  std::string joining;                // the copy being made to restore redundancy, or for a wish
  std::int64_t feeds = 0;             // feeding tasks begun
  std::int64_t joins = 0;             // joins asked for: a copy of the state belongs to one of them
  tick joining_since = 0;
  tick next_draw = 0;  // after a draw in vain, where a backup stands
  std::set<std::string> excluded;
  std::map<std::pair<std::string, std::pair<std::string, std::int64_t>>, std::vector<pending_reply_ptr>>
      waiting_publishes;
  struct subscriber {  // where a subscription's deliveries go, and from which entry on:
    wire_ptr w;        // what is older comes, if at all, with the answer of that entry
    std::int64_t from;
    std::int64_t turn;  // the forager's count of openings: the same one again is a retry
  };
  std::map<std::string, subscriber> subscribers;  // by subscription
  std::map<std::string, tick> unlinked;           // subscriptions whose forager is gone
  std::string followed;                           // whom this backup follows
  std::int64_t followed_epoch = 0;
  wire_ptr followed_link;
  tick heard = 0, clock_at = 0, born_at = 0, back_at = 0;
  std::string copy_part;
  std::int64_t join_id = 0;  // the join that this backup answered last
  tick lag_was = 0;          // smoothed
  double share = 1;          // the admission share of gradual slowing
  double tokens = 0, peak = 0;
  tick refilled_at = 0, window = 0;
  std::int64_t in_window = 0, admitted = 0, slowed = 0, stops = 0;
  bool handing_over = false, look_at_once = true;  // the first look at the ledger's word is taken at once
  bool followed_gone = false;                      // the primary's process is known to be dead
  signal log_grown, entries_received, wake_up, unsynced_entries;
  nest home;
};

}  // namespace hive
