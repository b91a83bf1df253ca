// The ledger: a log that a majority of voters agrees on and has synced (design 4).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wax/colleague.hpp"
#include "wax/config.hpp"
#include "wax/host.hpp"

namespace hive {

constexpr auto seats_least = std::size_t{3};  // voters that silence alone does not bring below

struct voter {
  std::string addr, id;
  auto operator==(const voter&) const -> bool = default;
};

class ledger {
 public:
  struct rules {
    std::function<tree(std::int64_t idx, const tree& deed)> apply;
    std::function<tree()> capture;
    std::function<void(const tree&)> restore;
    std::function<void()> turned;  // who leads has changed
  };
  ledger(host& h, const config& c, rules r);

  // A colleague's request: op is l.vote, l.append, l.capture, l.who or l.enter.
  auto ask(std::string op, tree t) -> task<tree>;
  // Puts a deed into the log; returns what applying it gave. Leader only.
  auto propose(tree deed, tick until) -> task<tree>;
  // Returns once everything accepted before the call has been applied here. Leader only.
  auto fresh(tick until) -> task<void>;

  // Hands the lead to a colleague that has everything, if it leads.
  auto yield(tick until) -> task<void>;
  [[nodiscard]] auto leads() const -> bool { return role == part::lead; }
  [[nodiscard]] auto leader() const -> const std::string& { return lead; }
  [[nodiscard]] auto since() const -> tick { return lead_since; }
  // Leads, and a majority has taken the entry that opened this leadership.
  [[nodiscard]] auto settled() const -> bool { return leads() && applied >= first_own; }
  [[nodiscard]] auto quorum_at() const -> tick;  // when a majority last confirmed this leader
  [[nodiscard]] auto commit() const -> std::int64_t { return agreed; }
  [[nodiscard]] auto stand() const -> tree;  // for /status
  auto reach(const std::string& addr) -> colleague&;
  // Asks the leader, wherever it is; throws verdict("no_leader") while there is none.
  auto ask_leader(tree t, tick until) -> task<tree>;
  [[nodiscard]] auto disk_id() const -> const std::string& { return me.id; }
  [[nodiscard]] auto voters() const -> const std::vector<voter>& { return panel; }

 private:
  enum class part { follow, run, lead };
  struct row {
    std::int64_t term;
    tree deed;
  };
  struct mark {  // what the leader knows of one colleague
    std::int64_t match = 0, next = 1;
    tick heard = -never;
    bool busy = false;
  };
  struct wait {
    std::int64_t term;
    std::optional<tree> out;
    bool lost = false;
    signal done;
  };

  [[nodiscard]] auto last() const -> std::int64_t { return base + static_cast<std::int64_t>(log.size()); }
  [[nodiscard]] auto term_at(std::int64_t i) const -> std::int64_t;
  [[nodiscard]] auto may_vote() const -> bool;
  [[nodiscard]] auto majority() const -> std::size_t { return panel.size() / 2 + 1; }
  auto load() -> void;
  auto keep_meta() -> void;
  auto append(row r) -> std::int64_t;
  auto chop(std::int64_t from) -> void;  // removes from and all after it
  [[nodiscard]] auto panel_at(std::int64_t idx) const -> std::vector<voter>;
  auto seat() -> void;  // the voters as the log now has them
  auto follow(std::int64_t t, const std::string& who) -> void;
  auto take_lead() -> void;
  auto advance() -> void;
  auto settle() -> task<void>;
  auto clock() -> task<void>;
  auto found() -> task<void>;
  auto enter(std::string via) -> task<void>;
  auto enter_again() -> task<void>;
  auto unseat(voter v, const char* why) -> task<void>;
  [[nodiscard]] auto disk_at(const std::string& addr) const -> std::string;  // of the voter or learner there
  [[nodiscard]] auto seated(const std::string& addr) const -> bool;
  [[nodiscard]] auto peers() const -> std::vector<std::string>;  // seeds and voters, this one not among them
  [[nodiscard]] auto silent(tick span) const
      -> std::vector<voter>;  // leader only: not heard for so long, the longest first
  auto run_for(bool dry) -> task<bool>;
  auto usurp() -> task<void>;
  auto leader_gone(const std::string& addr) -> void;
  auto canvass(voter v, tree t, std::shared_ptr<std::set<std::string>> yes, std::shared_ptr<std::size_t> left,
               std::shared_ptr<signal> s) -> task<void>;
  auto feed(std::string addr, std::int64_t t) -> task<void>;
  auto send_capture(std::string addr, std::int64_t t) -> task<void>;
  auto applier() -> task<void>;
  auto shrink() -> void;
  auto on_vote(tree t) -> task<tree>;
  auto on_append(tree t) -> task<tree>;
  auto on_capture(tree t) -> task<tree>;
  auto on_enter(tree t) -> task<tree>;
  auto answer(bool ok) const -> branch;

  host& h;
  config set;
  rules law;
  store& disk;
  voter me;
  tick heat;  // base of the election timeout: half of lose
  part role = part::follow;
  std::int64_t term = 0, base = 0, base_term = 0, agreed = 0, applied = 0, solid = 0;
  std::string voted, lead;
  std::string realm, base_realm;  // the disk that led this ledger first names it
  std::deque<row> log;
  std::vector<voter> panel, base_panel;
  tree base_state;
  bool founded = false;
  tick heard_lead = -never, lead_since = 0;
  tick orphaned = -never;      // when the leader's process was last known to be dead
  std::int64_t first_own = 0;  // index of the entry that opened this leadership
  std::map<std::string, mark> marks;
  std::map<std::int64_t, std::shared_ptr<wait>> waits;
  std::map<std::string, std::string> learners;  // address and disk
  std::map<std::string, std::unique_ptr<colleague>> mates;
  signal grown, agreed_more, beat_in, pushed;
  bool changing = false, leaving = false, urged = false, entering = false;
  nest home;
};

}  // namespace hive
