#include "forager/http_talk.hpp"

namespace hive {

auto http_talk::next(tick until) -> task<std::optional<tree>> {
  auto l = std::optional<std::string>();
  try {
    l = co_await io->next(until);
  } catch (const verdict& v) {  // a line beyond all bounds: nothing after it can be read
    co_return tree(branch{{"op", "bad"}, {"code", v.code}, {"why", v.why}, {"last", true}});
  }
  if (!l) co_return std::nullopt;
  auto ec = boost::json::error_code();
  auto t = boost::json::parse(*l, ec);
  if (ec || !t.is_object())
    co_return tree(branch{{"op", "bad"}, {"code", "malformed"}, {"why", "a line that is no JSON object"}});
  co_return std::move(t);
}

}  // namespace hive
