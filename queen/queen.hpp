// The control node: ledger, sessions, placement, the operators' door (design 5).
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>

#include "ledger/ledger.hpp"
#include "queen/leave_orders.hpp"
#include "queen/realm.hpp"
#include "scout/version_deadlines.hpp"
#include "scout/view.hpp"
#include "wax/http.hpp"

namespace hive {

class queen {
 public:
  queen(host& h, const config& c);
  ~queen();
  [[nodiscard]] auto status() const -> tree;
  auto page(request r) -> task<response>;
  [[nodiscard]] auto leads() const -> bool { return book.leads(); }
  [[nodiscard]] auto zones() const -> std::set<std::string>;  // where nodes stand whose sessions are known here
  [[nodiscard]] auto ready() const -> bool;                   // may take orders: it is in touch with a majority
  auto reload(const config& c) -> void { set = c; }
  auto leave(tick limit) -> task<void>;  // gives up the lead first
  realm law;

 private:
  struct guest {  // a session that stands here
    seat row;
    tick seen = 0;
    tick told = -never;                // when it was last told of cells
    tick configuration_sent = -never;  // when it was last sent a configuration
    std::int64_t sent_number = 0;      // which one
    std::int64_t charter = 0;
    tick grant = 0;  // until when the leader lets this queen give it a lease
  };
  struct grant {  // at the leader: who may hold a lease, and what it serves
    tick until = 0;
    std::int64_t charter = 0;
  };
  auto ask(wire_ptr w, tree t) -> task<tree>;
  auto on_session(tree t) -> task<tree>;
  auto on_swap(const tree& t) -> tree;
  auto on_draw(const tree& t) -> tree;
  auto on_held(const tree& t) -> tree;
  auto to_leader(tree t) -> task<tree>;
  auto deed(tree d) -> task<tree>;
  auto swaps(std::string addr) -> task<void>;
  auto meet() -> void;  // swaps with each queen that the seeds or the ledger name
  [[nodiscard]] auto queens() const -> std::set<std::string>;     // the other queens' addresses
  [[nodiscard]] auto stands() const -> std::vector<std::string>;  // where sessions can stand now
  auto sweep() -> task<void>;
  auto place() -> task<void>;
  auto refresh() -> void;                                      // the ledger moved: bring the view up to it
  auto time_version(const configuration_ptr& before) -> void;  // a command was applied: is a version new?
  // What goes with a lease that nodes or a queen may give until `lease` from now: which versions must be in force
  // when, counted from `since`. `timed`: the receiver understands times to come.
  [[nodiscard]] auto versions_to_tree(tick since, bool timed) const -> branch;
  // When the node may be sent the newest configuration: changes in quick succession are sent as one.
  [[nodiscard]] auto configuration_due(const guest& g) const -> tick;
  [[nodiscard]] auto sure() const -> bool;
  [[nodiscard]] auto lends(const std::string& name) const -> bool;  // could this node be given a lease here now?
  [[nodiscard]] auto lacking(const charter& next) const -> std::string;
  [[nodiscard]] auto live_combs() const -> std::map<std::string, seat>;
  // As those, with the combs of evacuated zones if the others stand in fewer than two localities.
  [[nodiscard]] auto combs_at_need() const -> std::map<std::string, seat>;
  [[nodiscard]] auto rest_without(const std::string& name) const -> branch;
  [[nodiscard]] auto all_lost(const cell_row& c) const -> bool;
  auto refound(std::string id, bool forsake) -> task<tree>;
  auto balance() -> void;
  // How many copies a partition of this pool is to have.
  [[nodiscard]] auto copies_of(const std::string& pool) const -> std::int64_t;
  // The members for a partition that is founded: the least laden nodes first, each in a zone of its own while there is
  // one. Empty: no two zones have a node.
  [[nodiscard]] static auto founders(const std::vector<seat>& by_load, std::int64_t copies) -> std::vector<seat>;
  enum class shift { back, hand, later };  // a backup moves; a lead is handed over; a backup moves so that the lead can
  auto wish_move(shift kind, const seat& hi, const seat& lo, std::map<std::string, seat>& combs) -> bool;
  auto loads() const -> std::map<std::string, std::int64_t>;
  auto wishes_for(const std::string& name) const -> twigs;
  auto page_charter(request r) -> task<response>;
  // Orders to leave and to stay: queen/leave_orders.cpp.
  auto page_leave(request r) -> task<response>;
  auto list_leavings() -> task<response>;
  // Asks the leader to decide, fenced by the last order on that name that is applied here.
  auto order(const leave_order& o) -> task<tree>;
  // Decides at the leader, after contact with a majority: a refusal that rests on what one control node sees of the
  // others would be wrong while that one is cut off. `after`: the fence that the asking node gave.
  auto decide(const leave_order& o, std::int64_t after) -> task<tree>;
  [[nodiscard]] auto knows_comb(const std::string& name) const -> bool;
  [[nodiscard]] auto why_not_retire(const leave_order& o, const branch& rest) const -> std::optional<verdict>;

  host& h;
  config set;
  std::string source;  // this queen's sessions in the vector of versions
  view known;
  std::map<std::string, guest> guests;
  std::map<std::string, grant> grants;
  std::map<std::string, tick> mates_seen;
  std::set<std::string> swapping;  // the queens that a task swaps with
  struct crowd {                   // who stands at another queen, and what each serves
    std::int64_t ver = 0;
    std::map<std::string, std::int64_t> charters;
  };
  std::map<std::string, crowd> standing;
  std::int64_t lives = 0;  // tellings of who stands here
  std::map<std::string, std::int64_t> drawn;
  version_deadlines deadlines;     // of the versions agreed on lately, as the leader timed them
  std::int64_t newest_agreed = 0;  // as the leader last said
  std::int64_t grant_cells = 0, boot = 0, bump = 0;
  tick granted_at = -never;  // when the leader was last asked for leases and gave them: a round trip
  signal news;
  struct move {  // a wish to a primary: another backup in the place of one it has, or to hand over to one it has
    std::string cell, prim;
    std::string back;      // the node wanted as a backup; empty: hand over
    std::string replaced;  // the backup whose place it takes
    std::string lead;      // whom to hand over to
    [[nodiscard]] auto hands_over() const -> bool { return back.empty(); }
    [[nodiscard]] auto to_tree() const -> tree;
    static auto from_tree(const tree& t) -> move;
  };
  std::vector<move> wish;
  tick wished = 0;

 public:
  ledger book;  // after all that its callbacks use: a snapshot on its disk is restored while it is made

 private:
  nest home;
};

}  // namespace hive
