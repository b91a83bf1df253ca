// The one kind of error: what went wrong, and may the request have run (design 3.4).
#pragma once
#include <exception>
#include <string>

#include "wax/tree.hpp"

namespace hive {

enum class ran { no, maybe, yes };

struct verdict : std::exception {
  std::string code;  // one of those listed in docs/api.md
  std::string why;
  ran run = ran::no;
  std::int64_t back_ms = -1;  // when to come back; -1: the verdict is final
  tree more;                  // particulars, if any

  verdict(std::string c, std::string w, ran r = ran::no, std::int64_t b = -1, tree m = {})
      : code(std::move(c)), why(std::move(w)), run(r), back_ms(b), more(std::move(m)) {}
  [[nodiscard]] auto what() const noexcept -> const char* override { return why.c_str(); }

  [[nodiscard]] auto to_tree() const -> tree {
    auto t = branch{{"verdict", run == ran::maybe ? "unclear"
                                : run == ran::yes ? "done"
                                                  : "refused"},
                    {"code", code},
                    {"why", why}};
    if (back_ms >= 0) t["retry_ms"] = back_ms;
    if (!more.is_null()) t["more"] = more;
    return t;
  }
  static auto from_tree(const tree& t) -> verdict {
    auto kind = str_or(t, "verdict");
    return {str_or(t, "code", "broken"), str_or(t, "why"),
            kind == "refused" ? ran::no
            : kind == "done"  ? ran::yes
                              : ran::maybe,
            num_or(t, "retry_ms", -1), sub(t, "more")};
  }
};

}  // namespace hive
