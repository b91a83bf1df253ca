// The control node's pages for operators (docs/api.md).
#include "queen/queen.hpp"

namespace hive {

// What the fleet as it is now cannot give yet. No refusal: a charter holds whatever combs are there, and
// cells are founded once there is room for them.
auto queen::lacking(const charter& next) const -> std::string {
  auto zones = std::set<std::string>();
  for (const auto& [n, s] : known.all())
    if (s.kind == "comb" && !s.disk.empty() && !law.leavings.count(n)) zones.insert(s.zone);
  for (const auto& [n, s] : next.spaces) {
    if (s.keep_ms == 0 || zones.size() >= 2) continue;
    return "space '" + n + "' is kept: that wants combs with disks in two localities, and " +
           std::to_string(zones.size()) + " has or have one now";
  }
  return {};
}

auto queen::page_charter(request r) -> task<response> {
  if (r.path == "/v1/charter/held" && r.verb == "GET") {
    auto n = std::int64_t{0};
    try {
      n = std::stoll(r.query["number"]);
    } catch (const std::exception&) {
      throw verdict("malformed", "held wants ?number=N");
    }
    auto q = tree(branch{{"op", "held"}, {"number", n}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{200, out, {}};
  }
  if (r.path != "/v1/charter") throw verdict("not_found", "no page " + r.path);
  if (r.verb == "GET") {
    auto q = tree(branch{{"op", "fresh"}});
    auto out = co_await ask(nullptr, std::move(q));
    if (!sub(out, "charter").is_string()) throw verdict("not_found", "no charter was accepted yet");
    co_return response{200, boost::json::parse(str(out, "charter")), {}};
  }
  if (r.verb != "PUT" && r.verb != "POST") throw verdict("malformed", "charter takes GET and PUT");
  auto next = compile(r.body);
  auto warn = lacking(*next);
  if (r.query["dry"] == "yes") {
    auto fresh = twigs();
    for (const auto& [n, s] : next->pools)
      for (auto k = std::int64_t{0}; k < s.cells; ++k)
        if (auto id = n + "/" + std::to_string(k); !law.cells.count(id)) fresh.emplace_back(id);
    auto plan = branch{{"dry", true}, {"number", next->number}, {"cells_to_place", fresh}};
    if (!warn.empty()) plan["warn"] = warn;
    co_return response{200, plan, {}};
  }
  auto d = tree(branch{{"k", "charter"}, {"record", configuration_record::from_charter(next)->to_tree()}});
  auto out = co_await deed(std::move(d));
  if (!yes(out, "ok")) throw verdict::from_tree(out);
  if (!warn.empty()) out.as_object()["warn"] = warn;
  co_return response{200, out, {}};
}

auto queen::page(request r) -> task<response> {
  if (auto p = common_page(r.path, [this] { return status(); })) co_return *p;
  if (r.path == "/readyz") {
    if (ready()) co_return response{200, {}, "ready\n"};
    throw verdict("no_leader", "no ledger leader is in reach", ran::no, set.lose / msec);
  }
  if (r.path == "/v1/members") {
    auto rows = twigs();
    for (const auto& [q, t] : known.tables)
      for (const auto& [n, s] : t.rows) {
        auto o = s.to_tree();
        o.as_object()["queen"] = q;
        rows.push_back(o);
      }
    co_return response{200, rows, {}};
  }
  if (r.path == "/v1/voters") {
    auto q = tree(branch{{"op", "voters"}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{
        200,
        branch{{"leader", sub(out, "leader")}, {"changing", sub(out, "changing")}, {"voters", sub(out, "voters")}},
        {}};
  }
  if (r.path == "/v1/cells") {
    auto q = tree(branch{{"op", "fresh"}});
    auto out = co_await ask(nullptr, std::move(q));
    co_return response{200, sub(sub(out, "realm"), "cells"), {}};
  }
  if (r.path.compare(0, 11, "/v1/charter") == 0) co_return co_await page_charter(std::move(r));
  if (r.path == "/v1/refound" && r.verb == "POST") {
    auto ec = boost::json::error_code();
    auto t = boost::json::parse(r.body, ec);
    if (ec || !sub(t, "cell").is_string()) throw verdict("malformed", "the body wants {\"cell\": ID}");
    auto q = tree(branch{{"op", "refound"}, {"cell", str(t, "cell")}});
    auto out = co_await ask(nullptr, std::move(q));
    if (!yes(out, "ok")) throw verdict::from_tree(out);
    co_return response{200, out, {}};
  }
  if (r.path == "/v1/leave" || r.path == "/v1/stay") co_return co_await page_leave(std::move(r));
  throw verdict("not_found", "no page " + r.path);
}

}  // namespace hive
