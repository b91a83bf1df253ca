// The durable part of the replicated log: entries, term and vote, the snapshot that precedes them (design 4.1).
#include "ledger/storage.hpp"
#include "ledger/ledger.hpp"

namespace hive {

auto slot(std::int64_t i) -> std::string {
  char buf[32];
  std::snprintf(buf, sizeof buf, "L/e/%016llx", static_cast<unsigned long long>(i));
  return buf;
}
auto to_tree(const std::vector<voter>& p) -> tree {
  auto out = twigs();
  for (const auto& v : p)
    out.push_back(branch{{"addr", v.addr}, {"id", v.id}});
  return out;
}
auto to_panel(const tree& t) -> std::vector<voter> {
  auto out = std::vector<voter>();
  if (t.is_array())
    for (const auto& v : t.get_array())
      out.push_back({str(v, "addr"), str(v, "id")});
  return out;
}

auto ledger::load() -> void {
  auto meta = disk.get("L/meta");
  if (!meta) {
    auto had = false;
    disk.scan("L/", [&](const std::string&, const std::string&) { had = true; });
    if (had) throw verdict("damaged", "the ledger's folder lacks its first record");
    char buf[20];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(h.chance()));
    me.id = buf;
    keep_meta();
    return;
  }
  auto m = unseal(*meta);
  if (num(m, "format") != 1) throw verdict("damaged", "the ledger's format is not 1");
  me.id = str(m, "id");
  term = num(m, "term");
  voted = str(m, "voted");
  founded = yes(m, "founded");
  if (auto cap = disk.get("L/cap")) {
    auto t = unseal(*cap);
    base = num(t, "idx");
    base_term = num(t, "term");
    base_panel = to_panel(sub(t, "panel"));
    base_realm = str_or(t, "realm");
    base_state = sub(t, "state");
    if (!base_state.is_null()) law.restore(base_state);
  }
  agreed = applied = base;
  disk.scan("L/e/", [&](const std::string& k, const std::string& v) {
    auto i = static_cast<std::int64_t>(std::stoull(k.substr(4), nullptr, 16));
    if (i <= base) return;
    if (i != last() + 1) throw verdict("damaged", "the ledger lacks entry " + std::to_string(last() + 1));
    auto t = unseal(v);
    log.push_back({num(t, "t"), sub(t, "d")});
  });
  solid = last();
  seat();
  // It may have promised a leader quiet just before it went down (design 4.4).
  if (term > 0) heard_lead = h.now();
}

auto ledger::keep_meta() -> void {
  disk.put("L/meta",
           seal(branch{{"format", 1}, {"id", me.id}, {"term", term}, {"voted", voted}, {"founded", founded}}));
}

auto ledger::term_at(std::int64_t i) const -> std::int64_t {
  if (i == base) return base_term;
  if (i < base || i > last()) return -1;
  return log[static_cast<std::size_t>(i - base - 1)].term;
}

auto ledger::panel_at(std::int64_t idx) const -> std::vector<voter> {
  auto out = base_panel;
  for (auto i = base + 1; i <= std::min(idx, last()); ++i)
    if (const auto& p = sub(log[static_cast<std::size_t>(i - base - 1)].deed, "panel"); p.is_array()) out = to_panel(p);
  return out;
}

auto ledger::append(row r) -> std::int64_t {
  auto i = last() + 1;
  disk.put(slot(i), seal(branch{{"t", r.term}, {"d", r.deed}}));
  if (const auto& p = sub(r.deed, "panel"); p.is_array()) panel = to_panel(p);
  if (realm.empty()) realm = str_or(r.deed, "realm");
  log.push_back(std::move(r));
  return i;
}

auto ledger::chop(std::int64_t from) -> void {
  while (last() >= from) {
    disk.cut(slot(last()));
    log.pop_back();
  }
  solid = std::min(solid, last());
  seat();
}

}  // namespace hive
