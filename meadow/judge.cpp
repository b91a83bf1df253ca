#include "meadow/judge.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace hive {
namespace {

struct post {  // one publish, whatever was tried of it
  std::string body;
  std::int64_t first = -1, pos = -1, acked = -1, last_try = -1;
  int tries = 0, refused = 0;
  bool over = false;
};
struct ear {  // one subscription across its resumes
  bool on = false;
  std::int64_t since = 0, pos = -1, start = -1;
  std::set<std::pair<std::string, std::int64_t>> got;
  std::map<std::string, std::int64_t> by;  // the highest seq per sender
};
using post_key = std::tuple<std::string, std::string, std::int64_t>;  // topic, who, seq

struct court {
  std::vector<breach> out;
  std::map<post_key, post> posts;
  std::map<std::pair<std::string, std::string>, ear> ears;  // who, topic
  std::map<std::string, std::int64_t> keep;
  std::map<std::pair<std::string, std::int64_t>, std::pair<std::string, std::int64_t>> at;  // topic, pos -> who, seq
  std::map<post_key, std::int64_t> where;
  std::vector<std::pair<std::int64_t, std::int64_t>> held;       // t, number
  std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> seen;  // node -> t, number
  std::set<std::string> left, leaves;
  std::int64_t put = 0, newest = -1, back = -1;
  bool read_leaves = false;

  auto bad(const char* rule, std::string what) -> void { out.push_back({rule, std::move(what)}); }
  auto keep_of(const std::string& topic) -> std::int64_t {
    auto it = keep.find(topic.substr(0, topic.find('/')));
    return it == keep.end() ? 0 : it->second;
  }

  auto got(const tree& e) -> void {
    auto who = str(e, "who"), topic = str(e, "topic"), from = str(e, "from"), body = str(e, "body");
    auto seq = num(e, "seq"), pos = num(e, "pos"), t = num(e, "t");
    auto name = who + " " + topic + " @" + std::to_string(pos) + " from " + from + " #" + std::to_string(seq) + " t=" + std::to_string(t);
    auto it = ears.find({who, topic});
    if (it == ears.end() || !it->second.on) return bad("unasked", name);
    auto& ear = it->second;
    auto p = posts.find({topic, from, seq});
    if (p == posts.end()) bad("unsent", name);
    else if (p->second.body != body) bad("altered", name);
    if (!ear.got.insert({from, seq}).second) bad("twice", name);
    if (auto h = ear.by.find(from); h != ear.by.end() && h->second > seq) bad("late", name + " after #" + std::to_string(h->second));
    ear.by[from] = std::max(ear.by[from], seq);
    if (pos <= ear.pos) bad("order", name + " after @" + std::to_string(ear.pos));
    ear.pos = std::max(ear.pos, pos);
    auto [w, fresh] = at.emplace(std::pair(topic, pos), std::pair(from, seq));
    if (!fresh && w->second != std::pair(from, seq)) bad("order", name + ": another saw " + w->second.first + " #" + std::to_string(w->second.second) + " there");
    auto [s, first] = where.emplace(post_key(topic, from, seq), pos);
    if (!first && s->second != pos) bad("repeat", name + ": delivered at @" + std::to_string(s->second) + " too");
  }

  auto gone(const tree& e) -> void {
    auto topic = str(e, "topic");
    auto after = num(e, "after"), t = num(e, "t");
    auto old = false;
    for (const auto& [k, p] : posts) {
      if (std::get<0>(k) != topic || p.tries == 0) continue;
      auto w = where.find(k);
      auto pos = p.pos >= 0 ? p.pos : w == where.end() ? -1 : w->second;
      // One whose position nobody knows may be what it lacks, if it may have run.
      auto lacks = pos > after || (pos < 0 && p.refused < p.tries);
      if (lacks && t - p.first > keep_of(topic) * 1000) old = true;
    }
    if (!old) bad("resume", str(e, "who") + " " + topic + " after @" + std::to_string(after) + " t=" + std::to_string(t));
    auto& ear = ears[{str(e, "who"), topic}];
    ear = ear_end(ear);
  }
  static auto ear_end(const ear& old) -> ear {
    auto e = ear();
    e.got = old.got;  // a message is not delivered twice even so
    e.by = old.by;
    return e;
  }

  auto probe(const tree& e) -> void {
    auto node = str(e, "node");
    auto n = num(e, "number"), t0 = num(e, "t0"), t = num(e, "t");
    auto& row = seen[node];
    for (const auto& [when, number] : held)
      if (t0 >= when + 3000 && n < number) bad("stale", node + " served by " + std::to_string(n) + " at " + std::to_string(t0) + ", " + std::to_string(number) + " was told held at " + std::to_string(when));
    for (const auto& [when, number] : row)
      if (t0 > when + 250 && n < number) bad("drift", node + " served by " + std::to_string(n) + " at " + std::to_string(t0) + " after " + std::to_string(number) + " at " + std::to_string(when));
    row.emplace_back(t, n);
  }

  auto end(const tree& e) -> void {
    auto t = num(e, "t");
    auto quiet = num_or(e, "quiet", 0);
    for (const auto& [k, p] : posts) {
      const auto& [topic, who, seq] = k;
      auto name = topic + " from " + who + " #" + std::to_string(seq);
      if (where.count(k) && p.tries > 0 && p.refused == p.tries) bad("refused", name + ": refused " + std::to_string(p.tries) + " times, yet delivered");
      if (p.acked < 0 || keep_of(topic) == 0 || p.acked > t - quiet) continue;
      for (const auto& [w, ear] : ears) {
        if (w.second != topic || !ear.on || ear.since >= p.first) continue;
        if (!ear.got.count({who, seq})) bad("lost", name + ": acknowledged, never came to " + w.first);
      }
    }
    if (newest >= 0 && newest != put) bad("readback", "told " + std::to_string(put) + " was accepted, read " + std::to_string(newest));
    if (read_leaves)
      for (const auto& n : left)
        if (!leaves.count(n)) bad("forgotten", n + " was told gone, and is not");
    if (back >= 0) bad("serving", "nothing was served after machines came back at " + std::to_string(back));
  }

  auto take(const tree& e) -> void {
    auto k = str(e, "e");
    auto t = num_or(e, "t", 0);
    auto topic = str_or(e, "topic"), who = str_or(e, "who");
    if (k == "space") keep[str(e, "name")] = num(e, "keep_s");
    else if (k == "try") {
      auto& p = posts[{topic, who, num(e, "seq")}];
      if (p.first < 0) p.first = t;
      p.body = str(e, "body");
      p.last_try = t;
      ++p.tries;
    } else if (k == "verdict") {
      auto& p = posts[{topic, who, num(e, "seq")}];
      auto v = str(e, "verdict");
      if (v == "refused") ++p.refused;
      if (v == "refused" && num_or(e, "retry", -1) < 0 && p.acked >= 0 && t - p.acked <= 10000)
        bad("unrepeated", topic + " from " + who + " #" + std::to_string(num(e, "seq")) + ": accepted, yet its repeat was refused");
      if (v == "acked") {
        if (p.acked < 0) p.acked = t;
        if (auto pos = num_or(e, "pos", -1); pos >= 0) {
          if (p.pos >= 0 && p.pos != pos) bad("repeat", topic + " " + who + " acknowledged at two positions");
          p.pos = pos;
        }
      }
    } else if (k == "subbed") {
      auto& ear = ears[{who, topic}];
      if (!ear.on) {
        ear.on = true;
        ear.since = t;
        ear.pos = num(e, "pos");
      }
    } else if (k == "gone") gone(e);
    else if (k == "unsub") ears[{who, topic}] = ear_end(ears[{who, topic}]);
    else if (k == "got") got(e);
    else if (k == "held") held.emplace_back(t, num(e, "number"));
    else if (k == "probe") probe(e);
    else if (k == "put") put = std::max(put, num(e, "number"));
    else if (k == "newest") newest = num(e, "number");
    else if (k == "left") left.insert(str(e, "name"));
    else if (k == "leaves") {
      read_leaves = true;
      leaves.clear();
      for (const auto& n : list(e, "names")) leaves.insert(std::string(n.as_string()));
    } else if (k == "back") back = t;
    else if (k == "served") {
      if (back >= 0 && t > back + 12000) bad("serving", "served again only " + std::to_string(t - back) + " ms after machines came back");
      back = -1;
    } else if (k == "end") end(e);
  }
};

}  // namespace

auto judge(const std::vector<tree>& seen) -> std::vector<breach> {
  auto c = court();
  for (const auto& e : seen) c.take(e);
  return std::move(c.out);
}

}  // namespace hive

#ifdef HIVE_TESTS
#include <CppUTest/TestHarness.h>
namespace {
auto rule_of(const char* rows) -> std::string {
  auto seen = std::vector<hive::tree>();
  auto all = boost::json::parse(std::string("[") + rows + "]");
  for (auto& e : all.as_array()) seen.push_back(e);
  auto out = std::string();
  for (auto& b : hive::judge(seen)) out += b.rule + " ";
  return out;
}
#define SPACE R"({"e":"space","name":"a","keep_s":35},)"
#define SUB R"({"e":"subbed","t":1,"who":"w","topic":"a/x","pos":0},)"
#define TRY(s) R"({"e":"try","t":10,"who":"c","topic":"a/x","seq":)" s R"(,"body":"b)" s R"("},)"
#define SAID(s, v) R"({"e":"verdict","t":20,"who":"c","topic":"a/x","seq":)" s R"(,"verdict":")" v R"("},)"
#define GOT(s, p) R"({"e":"got","t":30,"who":"w","topic":"a/x","pos":)" p R"(,"from":"c","seq":)" s R"(,"body":"b)" s R"("},)"
#define END R"({"e":"end","t":90000,"quiet":1000})"
}  // namespace
// Each check has a history that it must reject, next to one that it must let pass.
TEST_GROUP(judge_rules){};
TEST(judge_rules, a_clean_run_passes) {
  STRCMP_EQUAL("", rule_of(SPACE SUB TRY("1") SAID("1", "acked") GOT("1", "5") TRY("2") SAID("2", "unclear") GOT("2", "6") END).c_str());
}
TEST(judge_rules, twice_and_late_and_order) {
  STRCMP_EQUAL("twice order ", rule_of(SUB TRY("1") GOT("1", "5") GOT("1", "5") END).c_str());
  STRCMP_EQUAL("late ", rule_of(SUB TRY("1") TRY("2") GOT("2", "5") GOT("1", "6") END).c_str());
  STRCMP_EQUAL("order ", rule_of(SUB TRY("1") TRY("2") GOT("1", "6") GOT("2", "5") END).c_str());
  STRCMP_EQUAL("order ", rule_of(SUB R"({"e":"subbed","t":1,"who":"v","topic":"a/x","pos":0},)" TRY("1") TRY("2") GOT("1", "5")
    R"({"e":"got","t":30,"who":"v","topic":"a/x","pos":5,"from":"c","seq":2,"body":"b2"},)" END).c_str());
}
TEST(judge_rules, repeat_at_two_places) {
  STRCMP_EQUAL("repeat ", rule_of(SUB R"({"e":"subbed","t":1,"who":"v","topic":"a/x","pos":0},)" TRY("1") GOT("1", "5")
    R"({"e":"got","t":30,"who":"v","topic":"a/x","pos":7,"from":"c","seq":1,"body":"b1"},)" END).c_str());
}
TEST(judge_rules, a_repeat_is_acknowledged) {
  STRCMP_EQUAL("unrepeated ", rule_of(SUB TRY("1") SAID("1", "acked") GOT("1", "5") TRY("1") SAID("1", "refused") END).c_str());
  STRCMP_EQUAL("", rule_of(SUB TRY("1") SAID("1", "acked") GOT("1", "5") TRY("1") R"({"e":"verdict","t":20,"who":"c","topic":"a/x","seq":1,"verdict":"refused","retry":100},)" END).c_str());
}
TEST(judge_rules, lost_only_where_kept) {
  STRCMP_EQUAL("lost ", rule_of(SPACE SUB TRY("1") SAID("1", "acked") END).c_str());
  STRCMP_EQUAL("", rule_of(SUB TRY("1") SAID("1", "acked") END).c_str());
  STRCMP_EQUAL("", rule_of(SPACE SUB TRY("1") SAID("1", "unclear") END).c_str());
}
TEST(judge_rules, cannot_resume_only_when_expired) {
  STRCMP_EQUAL("resume ", rule_of(SPACE SUB TRY("1") SAID("1", "acked") R"({"e":"gone","t":34000,"who":"w","topic":"a/x","after":0},)" END).c_str());
  STRCMP_EQUAL("", rule_of(SPACE SUB TRY("1") SAID("1", "acked") R"({"e":"gone","t":36000,"who":"w","topic":"a/x","after":0},)" END).c_str());
}
TEST(judge_rules, refused_on_every_try) {
  STRCMP_EQUAL("refused ", rule_of(SUB TRY("1") SAID("1", "refused") GOT("1", "5") END).c_str());
  STRCMP_EQUAL("", rule_of(SUB TRY("1") SAID("1", "refused") TRY("1") GOT("1", "5") END).c_str());
}
TEST(judge_rules, unsent_altered_unasked) {
  STRCMP_EQUAL("unsent ", rule_of(SUB GOT("1", "5") END).c_str());
  STRCMP_EQUAL("altered ", rule_of(SUB TRY("1") R"({"e":"got","t":30,"who":"w","topic":"a/x","pos":5,"from":"c","seq":1,"body":"else"},)" END).c_str());
  STRCMP_EQUAL("unasked ", rule_of(TRY("1") GOT("1", "5") END).c_str());
}
TEST(judge_rules, stale_and_drift) {
  STRCMP_EQUAL("stale ", rule_of(R"({"e":"held","t":100,"number":2},{"e":"probe","t":3300,"t0":3200,"node":"f","number":1},)" END).c_str());
  STRCMP_EQUAL("", rule_of(R"({"e":"held","t":100,"number":2},{"e":"probe","t":3100,"t0":3000,"node":"f","number":1},)" END).c_str());
  STRCMP_EQUAL("drift ", rule_of(R"({"e":"probe","t":100,"t0":90,"node":"f","number":2},{"e":"probe","t":400,"t0":390,"node":"f","number":1},)" END).c_str());
}
TEST(judge_rules, readback_forgotten_serving) {
  STRCMP_EQUAL("readback ", rule_of(R"({"e":"put","t":1,"number":3},{"e":"newest","t":2,"number":2},)" END).c_str());
  STRCMP_EQUAL("forgotten ", rule_of(R"({"e":"left","t":1,"name":"c1"},{"e":"leaves","t":2,"names":[]},)" END).c_str());
  STRCMP_EQUAL("serving ", rule_of(R"({"e":"back","t":1},)" END).c_str());
  STRCMP_EQUAL("serving ", rule_of(R"({"e":"back","t":1},{"e":"served","t":12500},)" END).c_str());
  STRCMP_EQUAL("", rule_of(R"({"e":"back","t":1},{"e":"served","t":11500},)" END).c_str());
}
#endif
