#include "wax/tree.hpp"

#include <cbor.h>

#include <boost/crc.hpp>
#include <cmath>
#include <vector>

namespace hive {
namespace {

constexpr auto deepest = 24U;

auto put(std::string& out, const tree& t) -> void {
  unsigned char buf[16];
  auto add = [&](std::size_t n) { out.append(reinterpret_cast<char*>(buf), n); };
  switch (t.kind()) {
    case boost::json::kind::null:
      add(cbor_encode_null(buf, sizeof buf));
      break;
    case boost::json::kind::bool_:
      add(cbor_encode_bool(t.get_bool(), buf, sizeof buf));
      break;
    case boost::json::kind::int64:
      if (auto v = t.get_int64(); v >= 0)
        add(cbor_encode_uint(static_cast<std::uint64_t>(v), buf, sizeof buf));
      else
        add(cbor_encode_negint(static_cast<std::uint64_t>(-(v + 1)), buf, sizeof buf));
      break;
    case boost::json::kind::uint64:
      add(cbor_encode_uint(t.get_uint64(), buf, sizeof buf));
      break;
    case boost::json::kind::double_:
      add(cbor_encode_double(t.get_double(), buf, sizeof buf));
      break;
    case boost::json::kind::string:
      add(cbor_encode_string_start(t.get_string().size(), buf, sizeof buf));
      out.append(t.get_string().data(), t.get_string().size());
      break;
    case boost::json::kind::array:
      add(cbor_encode_array_start(t.get_array().size(), buf, sizeof buf));
      for (const auto& v : t.get_array())
        put(out, v);
      break;
    case boost::json::kind::object:
      add(cbor_encode_map_start(t.get_object().size(), buf, sizeof buf));
      for (const auto& kv : t.get_object()) {
        add(cbor_encode_string_start(kv.key().size(), buf, sizeof buf));
        out.append(kv.key().data(), kv.key().size());
        put(out, kv.value());
      }
      break;
  }
}

// Builds the tree from libcbor's stream of events.
struct builder {
  struct level {
    tree* at;
    std::size_t left;
    bool map;
    std::string key;
    bool keyed = false;
  };
  tree root;
  std::vector<level> path;
  bool done = false;
  std::string fault;

  auto put(tree v) -> tree* {
    if (path.empty()) {
      if (done) {
        fault = "more than one value";
        return nullptr;
      }
      root = std::move(v);
      done = true;
      return &root;
    }
    auto& top = path.back();
    if (top.map) {
      if (!top.keyed) {
        if (!v.is_string()) {
          fault = "a key that is no string";
          return nullptr;
        }
        top.key = std::string(v.get_string());
        top.keyed = true;
        return nullptr;
      }
      top.keyed = false;
      --top.left;
      auto [it, fresh] = top.at->get_object().emplace(top.key, std::move(v));
      if (!fresh) fault = "a repeated key";
      return &it->value();
    }
    --top.left;
    auto& row = top.at->get_array();
    row.push_back(std::move(v));
    return &row.back();
  }
  auto settle() -> void {
    while (!path.empty() && path.back().left == 0 && !path.back().keyed)
      path.pop_back();
  }
  auto open(tree v, std::size_t n, bool map) -> void {
    if (path.size() >= deepest) {
      fault = "nested too deep";
      return;
    }
    if (auto* at = put(std::move(v)); at && n)
      path.push_back({at, n, map, {}, false});
    else if (!at && fault.empty())
      fault = "a container as key";
  }
};

auto self(void* p) -> builder& { return *static_cast<builder*>(p); }

auto hooks() -> cbor_callbacks {
  auto h = cbor_empty_callbacks;
  h.uint8 = [](void* p, std::uint8_t v) { self(p).put(std::int64_t{v}); };
  h.uint16 = [](void* p, std::uint16_t v) { self(p).put(std::int64_t{v}); };
  h.uint32 = [](void* p, std::uint32_t v) { self(p).put(std::int64_t{v}); };
  h.uint64 = [](void* p, std::uint64_t v) {
    if (v <= INT64_MAX)
      self(p).put(static_cast<std::int64_t>(v));
    else
      self(p).put(v);
  };
  h.negint8 = [](void* p, std::uint8_t v) { self(p).put(-1 - std::int64_t{v}); };
  h.negint16 = [](void* p, std::uint16_t v) { self(p).put(-1 - std::int64_t{v}); };
  h.negint32 = [](void* p, std::uint32_t v) { self(p).put(-1 - std::int64_t{v}); };
  h.negint64 = [](void* p, std::uint64_t v) {
    if (v <= INT64_MAX)
      self(p).put(-1 - static_cast<std::int64_t>(v));
    else
      self(p).fault = "a number out of range";
  };
  h.string = [](void* p, cbor_data d, std::size_t n) {
    self(p).put(tree(boost::json::string_view(reinterpret_cast<const char*>(d), n)));
  };
  h.array_start = [](void* p, std::size_t n) { self(p).open(twigs{}, n, false); };
  h.map_start = [](void* p, std::size_t n) { self(p).open(branch{}, n, true); };
  h.null = [](void* p) { self(p).put(nullptr); };
  h.boolean = [](void* p, bool v) { self(p).put(v); };
  h.float8 = [](void* p, double v) { self(p).put(v); };
  h.byte_string = [](void* p, cbor_data, std::size_t) { self(p).fault = "a byte string"; };
  h.byte_string_start = [](void* p) { self(p).fault = "an open byte string"; };
  h.string_start = [](void* p) { self(p).fault = "an open string"; };
  h.indef_array_start = [](void* p) { self(p).fault = "an open array"; };
  h.indef_map_start = [](void* p) { self(p).fault = "an open map"; };
  h.tag = [](void* p, std::uint64_t) { self(p).fault = "a tag"; };
  h.float2 = [](void* p, float) { self(p).fault = "a half float"; };
  h.float4 = [](void* p, float) { self(p).fault = "a short float"; };
  h.undefined = [](void* p) { self(p).fault = "undefined"; };
  h.indef_break = [](void* p) { self(p).fault = "a break"; };
  return h;
}

}  // namespace

auto pack(const tree& t) -> std::string {
  auto out = std::string();
  put(out, t);
  return out;
}

auto unpack(std::string_view bytes) -> tree {
  static const auto h = hooks();
  auto b = builder();
  while (!bytes.empty()) {
    auto r = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &h, &b);
    if (r.status != CBOR_DECODER_FINISHED) throw bad_bytes("torn or foreign bytes");
    if (!b.fault.empty()) throw bad_bytes(b.fault);
    bytes.remove_prefix(r.read);
    b.settle();
  }
  if (!b.done || !b.path.empty()) throw bad_bytes("bytes end too early");
  return std::move(b.root);
}

auto seal(const tree& t) -> std::string {
  auto body = pack(t);
  auto crc = boost::crc_32_type();
  crc.process_bytes(body.data(), body.size());
  auto sum = crc.checksum();
  auto out = std::string(4, '\0');
  for (auto i = 0U; i < 4; ++i)
    out[i] = static_cast<char>(sum >> (8 * i));
  return out + body;
}

auto unseal(std::string_view bytes) -> tree {
  if (bytes.size() < 4) throw bad_bytes("shorter than its checksum");
  auto sum = std::uint32_t{0};
  for (auto i = 0U; i < 4; ++i)
    sum |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  auto body = bytes.substr(4);
  auto crc = boost::crc_32_type();
  crc.process_bytes(body.data(), body.size());
  if (crc.checksum() != sum) throw bad_bytes("checksum differs");
  return unpack(body);
}

auto sub(const tree& t, std::string_view key) -> const tree& {
  static const auto none = tree();
  if (!t.is_object()) return none;
  const auto* v = t.get_object().if_contains({key.data(), key.size()});
  return v ? *v : none;
}
auto num(const tree& t, std::string_view key) -> std::int64_t {
  const auto& v = sub(t, key);
  if (!v.is_int64()) throw bad_bytes("no number " + std::string(key));
  return v.get_int64();
}
auto num_or(const tree& t, std::string_view key, std::int64_t other) -> std::int64_t {
  const auto& v = sub(t, key);
  return v.is_int64() ? v.get_int64() : other;
}
auto str(const tree& t, std::string_view key) -> std::string {
  const auto& v = sub(t, key);
  if (!v.is_string()) throw bad_bytes("no string " + std::string(key));
  return std::string(v.get_string());
}
auto str_or(const tree& t, std::string_view key, std::string_view other) -> std::string {
  const auto& v = sub(t, key);
  return v.is_string() ? std::string(v.get_string()) : std::string(other);
}
auto yes(const tree& t, std::string_view key) -> bool {
  const auto& v = sub(t, key);
  return v.is_bool() && v.get_bool();
}
auto list(const tree& t, std::string_view key) -> const twigs& {
  static const auto none = twigs();
  const auto& v = sub(t, key);
  return v.is_array() ? v.get_array() : none;
}
auto text(const tree& t) -> std::string { return boost::json::serialize(t); }

}  // namespace hive
