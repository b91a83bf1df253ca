// The proxy for downstream links (design 7).
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>

#include "forager/talk.hpp"
#include "scout/session.hpp"
#include "wax/http.hpp"

namespace hive {

class forager {
 public:
  forager(host& h, const config& c);
  ~forager();
  [[nodiscard]] auto status() const -> tree;
  auto leave(tick limit) -> task<void>;  // unready, links told to return
  auto reload(const config& c) -> void { set = c; }
  [[nodiscard]] auto ready() const -> bool;            // new links should come here
  [[nodiscard]] auto rules() const -> const charter&;  // of the newest configuration; only where one is known
  [[nodiscard]] auto serves() const -> bool;           // what comes is served, also while new links should go elsewhere
  // Serves one link from its first request to its last. A door spawns one for each link it takes.
  auto attend(std::shared_ptr<talk> io) -> task<void>;
  session ses;

 private:
  struct downstream {
    std::shared_ptr<talk> io;
    std::string name;
    std::map<std::string, std::string> topics;  // as asked -> subscription
    std::uint64_t id = 0;
    int flying = 0;
    bool over = false, told = false;  // told: sent away, since this node is going down
  };
  using downstream_ptr = std::shared_ptr<downstream>;
  struct sub_row {
    std::string asked, topic, cell, at;  // at: the comb's address it was sent to
    std::int64_t last = -1, epoch = 0;
    std::int64_t turn = 0;  // openings so far; what an earlier one still sends does not count
    bool open = false, told = false;
    tick sent = 0;
    downstream_ptr to;
  };

  auto page(request r) -> task<response>;
  auto stream(request r, std::shared_ptr<lines> io) -> task<void>;
  auto line(downstream_ptr d, tree t) -> void;
  auto publish(downstream_ptr d, tree t) -> task<void>;
  auto send_publish(std::string who, std::string topic, std::int64_t seq, std::string body) -> task<tree>;
  auto count_topic(downstream_ptr d, tree t) -> task<void>;
  auto ask_lead(std::string cell, tree q, tick patience, tick until) -> task<tree>;
  [[nodiscard]] auto patience(const space& s) const -> tick;
  auto send_away(const downstream_ptr& d) -> void;
  auto subscribe(const downstream_ptr& d, const tree& t) -> void;
  auto finish(const std::string& sid, bool tell) -> void;
  auto drop(const downstream_ptr& d) -> void;
  auto open_sub(const std::string& sid, sub_row& r) -> void;
  auto tender() -> task<void>;
  auto beats() -> task<void>;
  auto row() -> void;
  auto reach(const std::string& addr) -> colleague&;
  auto on_note(const std::string& addr, const tree& t) -> void;
  auto say(const downstream_ptr& d, const tree& t) -> void;
  struct way {  // where a topic leads by the newest charter
    std::string topic;
    space home;
  };
  auto judge(act a, const std::string& who, const std::string& topic, std::size_t n) -> way;
  [[nodiscard]] auto lead_of(const std::string& cell) const -> std::string;  // the address of its primary
  auto fields(const tree& t, std::initializer_list<const char*> known) const -> void;

  host& h;
  config set;
  std::map<std::string, std::unique_ptr<colleague>> mates;
  std::map<std::string, sub_row> subs;
  std::map<std::uint64_t, downstream_ptr> links;
  std::uint64_t seated = 0, before = 0;  // before: the last one seated when this node began to leave
  std::string mark;                      // sets this run's subscriptions apart from an earlier one's
  std::int64_t count = 0, judged = 0;
  std::uint64_t acked = 0, refused = 0, unclear = 0, delivered = 0;
  bool going = false, ever = false;
  std::size_t early = 0;    // links that wait for the first lease
  tick alone_since = 0;     // when another forager of this zone was last known, or nothing yet
  std::size_t away_to = 0;  // links sent away so far: spreads them over the others
  nest home;
};

}  // namespace hive
