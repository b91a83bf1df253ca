#include "configuration/configuration_record.hpp"

#include <zlib.h>

#include <array>

#include "runtime/request_error.hpp"

namespace reachridge {
namespace {

constexpr auto max_inflated_bytes = std::size_t{16} << 20;
constexpr auto inflate_buffer_bytes = std::size_t{1} << 14;

auto deflate(const std::string& plain) -> std::string {
  auto size = ::compressBound(plain.size());
  auto out = std::string(size, '\0');
  if (::compress2(reinterpret_cast<Bytef*>(out.data()), &size, reinterpret_cast<const Bytef*>(plain.data()),
                  plain.size(), Z_BEST_SPEED) != Z_OK)
    throw request_error(errc::busy, "cannot deflate the text of a configuration");
  out.resize(size);
  return out;
}

auto inflate(const std::string& bytes) -> std::string {
  auto stream = z_stream();
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  if (::inflateInit(&stream) != Z_OK)
    throw decode_error("cannot initialize the inflation of a configuration");
  auto out = std::string();
  auto buffer = std::array<char, inflate_buffer_bytes>();
  auto result = Z_OK;
  while (result == Z_OK && out.size() <= max_inflated_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = buffer.size();
    result = ::inflate(&stream, Z_NO_FLUSH);
    out.append(buffer.data(), buffer.size() - stream.avail_out);
  }
  ::inflateEnd(&stream);
  if (result != Z_STREAM_END)
    throw decode_error("cannot inflate a configuration: the data is damaged or too large");
  return out;
}

auto pools_to_value(const std::map<std::string, pool>& pools) -> value {
  auto out = object();
  for (const auto& [name, entry] : pools)
    out[name] = object{{"cells", entry.partitions}, {"keep_ms", entry.keep_ms}, {"urgency", entry.urgency}};
  return out;
}

auto pools_from_value(const value& stored) -> std::map<std::string, pool> {
  if (!stored.is_object())
    throw decode_error("field 'pools' of a configuration is missing or not an object");
  auto out = std::map<std::string, pool>();
  for (const auto& entry : stored.get_object()) {
    const auto& fields = entry.value();
    out[std::string(entry.key())] = {get_int(fields, "cells"), get_int(fields, "keep_ms"), get_int(fields, "urgency")};
  }
  return out;
}

}  // namespace

auto configuration_record::from_compiled(const compiled_configuration_ptr& compiled) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->number = compiled->number;
  out->after = compiled->after;
  out->pools = compiled->pools;
  if (compiled->origin.empty()) {
    out->deflated_rules_ = deflate(compiled->body);
    return out;
  }
  auto fields = boost::json::parse(compiled->body);
  fields.as_object().erase("origin");
  out->deflated_rules_ = deflate(to_json(fields));
  out->deflated_origin_ = deflate(compiled->origin);
  return out;
}

auto configuration_record::from_value(const value& stored) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->number = get_int(stored, "number");
  out->after = get_int_or(stored, "after", -1);
  out->pools = pools_from_value(get_value(stored, "pools"));
  out->deflated_rules_ = get_string(stored, "rules");
  out->deflated_origin_ = get_string_or(stored, "origin");
  return out;
}

auto configuration_record::from_received(const value& head, const std::string& deflated_rules) -> pointer {
  auto out = std::make_shared<configuration_record>();
  out->deflated_rules_ = deflated_rules;
  if (!head.is_object()) {
    out->number = out->compiled()->number;
    out->pools = out->compiled()->pools;
    return out;
  }
  out->number = get_int(head, "number");
  out->pools = pools_from_value(get_value(head, "pools"));
  return out;
}

auto configuration_record::to_value() const -> value {
  auto out = object{{"number", number}, {"after", after}, {"pools", pools_to_value(pools)}, {"rules", deflated_rules_}};
  if (!deflated_origin_.empty())
    out["origin"] = deflated_origin_;
  return out;
}

auto configuration_record::head() const -> value {
  return object{{"number", number}, {"pools", pools_to_value(pools)}};
}

auto configuration_record::content() const -> value {
  auto out = boost::json::parse(inflate(deflated_rules_));
  if (!deflated_origin_.empty())
    out.as_object()["origin"] = inflate(deflated_origin_);
  return out;
}

auto configuration_record::body() const -> std::string {
  if (deflated_origin_.empty())
    return inflate(deflated_rules_);
  return to_json(content());
}

auto configuration_record::compiled() const -> const compiled_configuration_ptr& {
  if (!compiled_)
    compiled_ = compile_configuration(inflate(deflated_rules_));
  return compiled_;
}

auto configuration_record::same_content(const configuration_record& other) const -> bool {
  if (deflated_rules_ == other.deflated_rules_ && deflated_origin_ == other.deflated_origin_)
    return true;
  return content() == other.content();
}

}  // namespace reachridge
