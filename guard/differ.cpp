#include "guard/differ.hpp"

#include <algorithm>
#include <set>

#include "scout/view.hpp"

namespace hive {
namespace {

// How long news may take from one node to another while nothing is cut (design 5.2).
constexpr auto news_ms = std::int64_t{3000};

auto show(const tree& t) -> std::string {
  return t.is_null() ? "nothing" : t.is_string() ? std::string(t.get_string()) : text(t);
}

auto keys(const tree& a, const tree& b) -> std::set<std::string> {
  auto out = std::set<std::string>();
  for (const auto* t : {&a, &b})
    if (t->is_object())
      for (const auto& kv : t->get_object())
        out.insert(std::string(kv.key()));
  return out;
}

// Does a node with these beliefs pull such a member at all (design 5.2)?
auto needs(const tree& beliefs, const tree& member) -> bool {
  return interest::from_tree(sub(beliefs, "need")).covers(str_or(member, "kind"), str_or(member, "zone"));
}

}  // namespace

auto compare(const tree& a, const tree& b) -> std::vector<parting> {
  auto out = std::vector<parting>();
  const auto& x = sub(a, "beliefs");
  const auto& y = sub(b, "beliefs");
  if (sub(x, "charter") != sub(y, "charter"))
    out.push_back({"charter", show(sub(x, "charter")), show(sub(y, "charter")), false, news_ms});
  for (const auto& id : keys(sub(x, "cells"), sub(y, "cells"))) {
    const auto& p = sub(sub(x, "cells"), id);
    const auto& q = sub(sub(y, "cells"), id);
    if (p.is_null() || q.is_null()) {
      out.push_back({"cell " + id, show(p), show(q), false, news_ms});
      continue;
    }
    auto same_epoch = num_or(p, "epoch", 0) == num_or(q, "epoch", 0);
    if (!same_epoch)
      out.push_back({"cell " + id + " epoch", show(sub(p, "epoch")), show(sub(q, "epoch")), false, news_ms});
    for (auto k : {"prim", "back", "step"}) {
      if (sub(p, k) == sub(q, k)) continue;
      // One epoch means one claim: two readings of it can never both be right.
      out.push_back({"cell " + id + " " + k, show(sub(p, k)), show(sub(q, k)), same_epoch, news_ms});
    }
  }
  for (const auto& n : keys(sub(x, "members"), sub(y, "members"))) {
    const auto& p = sub(sub(x, "members"), n);
    const auto& q = sub(sub(y, "members"), n);
    if (p.is_null() ? !needs(x, q) : !needs(y, p)) continue;
    if (p.is_null() != q.is_null())
      out.push_back({"member " + n, p.is_null() ? "away" : "here", q.is_null() ? "away" : "here", false, -1});
  }
  for (const auto& n : keys(sub(x, "leavings"), sub(y, "leavings")))
    if (sub(sub(x, "leavings"), n) != sub(sub(y, "leavings"), n))
      out.push_back(
          {"leaving " + n, show(sub(sub(x, "leavings"), n)), show(sub(sub(y, "leavings"), n)), false, news_ms});
  // What both hold themselves.
  for (const auto& id : keys(sub(a, "cells"), sub(b, "cells"))) {
    const auto& p = sub(sub(a, "cells"), id);
    const auto& q = sub(sub(b, "cells"), id);
    if (p.is_null() || q.is_null()) continue;
    auto name = "copy of " + id;
    auto prim = [](const tree& t) { return str_or(t, "role") == "primary"; };
    if (prim(p) && prim(q)) {
      auto same = num_or(p, "epoch", 0) == num_or(q, "epoch", 0);
      out.push_back({name + " led twice", show(sub(p, "epoch")), show(sub(q, "epoch")), same, news_ms});
      continue;
    }
    if (!prim(p) && !prim(q)) continue;
    const auto& lead = prim(p) ? p : q;
    const auto& copy = prim(p) ? q : p;
    if (str_or(copy, "role") != "backup" || num_or(lead, "epoch", 0) != num_or(copy, "epoch", 0)) continue;
    if (num_or(copy, "last", 0) != num_or(lead, "last", 0))
      out.push_back({name + " position", show(sub(p, "last")), show(sub(q, "last")), false, -1});
  }
  return out;
}

}  // namespace hive
