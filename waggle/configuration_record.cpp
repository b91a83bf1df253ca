#include "waggle/configuration_record.hpp"

#include <zlib.h>

#include <array>

#include "wax/verdict.hpp"

namespace hive {
namespace {

constexpr auto inflated_limit = std::size_t{16} << 20;  // bytes
constexpr auto inflate_step = std::size_t{1} << 14;     // bytes

auto deflated(const std::string& plain) -> std::string {
  auto size = ::compressBound(plain.size());
  auto out = std::string(size, '\0');
  if (::compress2(reinterpret_cast<Bytef*>(out.data()), &size, reinterpret_cast<const Bytef*>(plain.data()),
                  plain.size(), Z_BEST_SPEED) != Z_OK)
    throw verdict("busy", "a configuration could not be deflated");
  out.resize(size);
  return out;
}

auto inflated(const std::string& bytes) -> std::string {
  auto in = z_stream();
  in.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  in.avail_in = static_cast<uInt>(bytes.size());
  if (::inflateInit(&in) != Z_OK) throw bad_bytes("no room to inflate a configuration");
  auto out = std::string();
  auto buffer = std::array<char, inflate_step>();
  auto result = Z_OK;
  while (result == Z_OK && out.size() <= inflated_limit) {
    in.next_out = reinterpret_cast<Bytef*>(buffer.data());
    in.avail_out = buffer.size();
    result = ::inflate(&in, Z_NO_FLUSH);
    out.append(buffer.data(), buffer.size() - in.avail_out);
  }
  ::inflateEnd(&in);
  if (result != Z_STREAM_END) throw bad_bytes("a configuration that does not inflate");
  return out;
}

auto pools_to_tree(const std::map<std::string, pool>& pools) -> tree {
  auto out = branch();
  for (const auto& [name, p] : pools)
    out[name] = branch{{"cells", p.cells}, {"keep_ms", p.keep_ms}, {"urgency", p.urgency}};
  return out;
}

auto pools_from_tree(const tree& stored) -> std::map<std::string, pool> {
  if (!stored.is_object()) throw bad_bytes("a configuration without pools");
  auto out = std::map<std::string, pool>();
  for (const auto& entry : stored.get_object()) {
    const auto& row = entry.value();
    out[std::string(entry.key())] = {num(row, "cells"), num(row, "keep_ms"), num(row, "urgency")};
  }
  return out;
}

}  // namespace

auto configuration_record::from_charter(const charter_ptr& compiled) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->number = compiled->number;
  out->after = compiled->after;
  out->pools = compiled->pools;
  if (compiled->origin.empty()) {
    out->rules_deflated = deflated(compiled->body);
    return out;
  }
  auto fields = boost::json::parse(compiled->body);
  fields.as_object().erase("origin");
  out->rules_deflated = deflated(text(fields));
  out->origin_deflated = deflated(compiled->origin);
  return out;
}

auto configuration_record::from_tree(const tree& stored) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->number = num(stored, "number");
  out->after = num_or(stored, "after", -1);
  out->pools = pools_from_tree(sub(stored, "pools"));
  out->rules_deflated = str(stored, "rules");
  out->origin_deflated = str_or(stored, "origin");
  return out;
}

auto configuration_record::from_pull(const tree& head, const std::string& rules) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->rules_deflated = rules;
  if (!head.is_object()) {
    out->number = out->compiled()->number;
    out->pools = out->compiled()->pools;
    return out;
  }
  out->number = num(head, "number");
  out->pools = pools_from_tree(sub(head, "pools"));
  return out;
}

auto configuration_record::to_tree() const -> tree {
  auto out = branch{{"number", number}, {"after", after}, {"pools", pools_to_tree(pools)}, {"rules", rules_deflated}};
  if (!origin_deflated.empty()) out["origin"] = origin_deflated;
  return out;
}

auto configuration_record::head() const -> tree { return branch{{"number", number}, {"pools", pools_to_tree(pools)}}; }

auto configuration_record::content() const -> tree {
  auto out = boost::json::parse(inflated(rules_deflated));
  if (!origin_deflated.empty()) out.as_object()["origin"] = inflated(origin_deflated);
  return out;
}

auto configuration_record::body() const -> std::string {
  if (origin_deflated.empty()) return inflated(rules_deflated);
  return text(content());
}

auto configuration_record::compiled() const -> const charter_ptr& {
  if (!compiled_rules) compiled_rules = compile(inflated(rules_deflated));
  return compiled_rules;
}

auto configuration_record::same_content(const configuration_record& other) const -> bool {
  if (rules_deflated == other.rules_deflated && origin_deflated == other.origin_deflated) return true;
  return content() == other.content();
}

}  // namespace hive
