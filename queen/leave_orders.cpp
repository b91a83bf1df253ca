#include "queen/leave_orders.hpp"

#include <algorithm>
#include <set>

#include "queen/queen.hpp"

namespace hive {
namespace {

constexpr auto name_most = std::size_t{100};

}  // namespace

auto good_node_name(const std::string& name) -> bool {
  if (name.empty() || name.size() > name_most) return false;
  return std::all_of(name.begin(), name.end(),
                     [](unsigned char c) { return c > ' ' && c < 127 && c != '/' && c != ':'; });
}

auto read_leave_order(const request& r) -> leave_order {
  auto ec = boost::json::error_code();
  auto t = boost::json::parse(r.body, ec);
  if (ec || !t.is_object()) throw verdict("malformed", "the body is no JSON object");
  for (const auto& kv : t.get_object())
    if (kv.key() != "name" && kv.key() != "zone" && kv.key() != "kind" && kv.key() != "copies")
      throw verdict("malformed", "unknown field " + std::string(kv.key()));
  auto whole_zone = sub(t, "zone").is_string();
  if (whole_zone == sub(t, "name").is_string()) throw verdict("malformed", "either name or zone is wanted");
  auto name = str(t, whole_zone ? "zone" : "name");
  if (!good_node_name(name))
    throw verdict("malformed", "that is no name of a " + std::string(whole_zone ? "zone" : "node"));
  auto out = leave_order();
  out.begins = r.path != "/v1/stay";
  out.name = whole_zone ? zone_key(name) : name;
  out.kind = str_or(t, "kind", whole_zone ? "evacuate" : "drain");
  if (out.kind != "drain" && out.kind != "evacuate" && out.kind != "retire")
    throw verdict("malformed", "kind is drain, evacuate or retire");
  if (const auto& v = sub(t, "copies"); v.is_int64() && v.get_int64() > 0)
    out.copies = v.get_int64();
  else if (!v.is_null())
    throw verdict("malformed", "copies wants a number above 0");
  return out;
}

auto leave_order::to_tree() const -> tree {
  return branch{{"begins", begins}, {"name", name}, {"kind", kind}, {"copies", copies}};
}
auto leave_order::from_tree(const tree& t) -> leave_order {
  auto out = leave_order{yes(t, "begins"), str(t, "name"), str(t, "kind"), num(t, "copies")};
  if (out.copies < 1) throw verdict("malformed", "copies wants a number above 0");
  return out;
}

auto queen::knows_comb(const std::string& name) const -> bool {
  if (law.leavings.count(name)) return true;
  if (const auto* s = known.find(name); s && s->kind == "comb") return true;
  return !law.held_by(name).empty();
}

// Why this node may not be retired now; none: it may. `rest`: who could hold copies without it.
auto queen::why_not_retire(const leave_order& o, const branch& rest) const -> std::optional<verdict> {
  for (const auto& [id, c] : law.cells) {
    auto has = std::any_of(c.step.begin(), c.step.end(), [&](auto& m) { return name_of(m) == o.name; });
    auto other = std::any_of(c.step.begin(), c.step.end(), [&](auto& m) {
      const auto* s = known.find(name_of(m));
      return name_of(m) != o.name && s && s->member() == m;
    });
    if (has && !other)
      return verdict("last_copy", o.name + " holds the last copy in step of " + id + " that is in reach", ran::no,
                     set.lose / msec);
  }
  if (auto why = law.too_few(rest, o.copies); !why.empty()) return verdict("too_few", why);
  return {};
}

auto queen::order(const leave_order& o) -> task<tree> {
  auto request = o.to_tree();
  request.as_object()["op"] = "leave";
  request.as_object()["after"] = law.orders.index_of(o.name);
  auto out = co_await ask(nullptr, std::move(request));
  if (!yes(out, "ok")) throw verdict::from_tree(out);
  co_return out;
}

// The ledger carries the order out if no other order on that name came after the fence. A refusal goes through the
// ledger as well: what was decided before it must not be carried out after it.
auto queen::decide(const leave_order& o, std::int64_t after) -> task<tree> {
  auto command = branch{{"k", o.begins ? "leave" : "stay"}, {"name", o.name}, {"after", after}};
  auto refusal = std::optional<verdict>();
  if (o.begins) {
    command["kind"] = o.kind;
    auto of_zone = !zone_of_key(o.name).empty();
    auto row = law.leavings.find(o.name);
    auto under_way = row != law.leavings.end() && row->second.kind == "retire";
    if (!of_zone && !knows_comb(o.name)) {
      refusal = verdict("not_found", "no comb " + o.name + " is known");
    } else if (o.kind == "retire" && !under_way) {
      auto rest = rest_without(o.name);
      refusal = why_not_retire(o, rest);
      command["rest"] = std::move(rest);
      command["copies"] = o.copies;
    }
  }
  if (refusal) {
    command.erase("kind");
    command["k"] = "decline";
  }
  auto out = co_await deed(std::move(command));
  if (!yes(out, "ok")) throw verdict::from_tree(out);
  if (refusal) throw *refusal;
  co_return out;
}

auto queen::list_leavings() -> task<response> {
  auto q = tree(branch{{"op", "fresh"}});
  auto out = co_await ask(nullptr, std::move(q));
  auto now = realm();
  now.restore(sub(out, "realm"));
  auto rows = branch();
  for (const auto& [n, l] : now.leavings) {
    // Of a zone the ledger knows no nodes: what is left there is what those in reach hold.
    auto zone = zone_of_key(n);
    auto ids = std::set<std::string>();
    if (zone.empty()) {
      for (const auto& id : now.held_by(n))
        ids.insert(id);
    } else {
      for (const auto& [m, s] : known.all())
        if (s.kind == "comb" && s.zone == zone)
          for (const auto& id : now.held_by(m))
            ids.insert(id);
    }
    auto left = twigs();
    for (const auto& id : ids)
      left.emplace_back(id);
    rows[n] = branch{{"kind", l.kind}, {"done", zone.empty() ? l.done : ids.empty()}, {"left", left}};
  }
  co_return response{200, rows, {}};
}

// One that was overtaken is decided again, as long as its caller waits: then it is the newer one.
auto queen::page_leave(request r) -> task<response> {
  if (r.verb == "GET") co_return co_await list_leavings();
  auto o = read_leave_order(r);
  r.until = std::min(r.until, h.now() + set.lose);
  auto fault = verdict("overtaken", "its caller waits no longer", ran::no, 0);
  while (r.awaited(h.now())) {
    try {
      auto out = co_await order(o);
      auto zone = zone_of_key(o.name);
      if (o.begins && !zone.empty() && !zones().count(zone))
        out.as_object()["warn"] = "no node of zone " + zone + " is known now";
      co_return response{200, out, {}};
    } catch (const verdict& v) {
      if (v.code != "overtaken") throw;
      fault = v;
    }
    // What overtook it is applied here in a moment.
    auto end = std::min(r.until, h.now() + set.beat / 4);
    co_await news.wait(h, end);
  }
  throw fault;
}

}  // namespace hive
