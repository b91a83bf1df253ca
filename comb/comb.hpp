// The node that holds topics: its cells and the one task that works their commands (design 6.7).
#pragma once
#include <array>
#include <map>
#include <memory>
#include <string>

#include "comb/partition.hpp"
#include "wax/http.hpp"

namespace hive {

class comb {
 public:
  comb(host& h, const config& c);
  ~comb();
  [[nodiscard]] auto status() const -> tree;
  // Hands its cells over; returns when nothing is led here, or at the limit.
  auto leave(tick limit) -> task<void>;
  auto reload(const config& c) -> void;
  [[nodiscard]] auto partition_at(const std::string& id) const -> const partition*;
  auto reach(const std::string& addr) -> colleague&;  // the standing link to another comb
  session ses;

 private:
  struct command {
    enum class kind { publish, subscribe, finish, read, count, lost } what;
    std::string partition;
    tree t;
    wire_ptr w;
    partition::pending_reply_ptr s;
  };
  auto ask(wire_ptr w, tree t) -> task<tree>;
  auto note(const wire_ptr& w, const tree& t) -> void;
  auto work() -> task<void>;
  auto found() -> task<void>;
  auto inquire(std::string name) -> task<void>;  // does the process that closed its link still live?
  auto add(const std::string& id) -> partition&;
  auto lane(const std::string& partition_id) const -> std::size_t;
  auto queue(command c) -> void;
  auto page(request r) -> task<response>;
  auto serving() const -> std::int64_t;

  host& h;
  config set;
  std::map<std::string, std::unique_ptr<colleague>> peers;
  std::map<std::string, std::unique_ptr<partition>> partitions;
  std::array<std::deque<command>, 10> lanes;  // by urgency: 9 first
  signal more;
  bool going = false;
  std::uint64_t worked = 0;
  nest home;
};

auto disk_id(host& h) -> std::string;

}  // namespace hive
