// The CBOR codec for values, based on libcbor.
#include <cbor.h>

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

#include "runtime/checksum.hpp"
#include "runtime/value.hpp"

namespace reachridge {
namespace {

constexpr auto max_depth = 24U;       // of nested arrays and maps
constexpr auto max_head_bytes = 16U;  // of the head of a CBOR item; a string has its bytes after the head
constexpr auto checksum_bytes = 4U;
constexpr auto byte_bits = 8U;

// Encodes values as CBOR into a string.
class cbor_writer {
 public:
  auto write(const value& item) -> void {
    switch (item.kind()) {
      case boost::json::kind::null:
        return append(cbor_encode_null(head_.data(), head_.size()));
      case boost::json::kind::bool_:
        return append(cbor_encode_bool(item.get_bool(), head_.data(), head_.size()));
      case boost::json::kind::int64:
        return write_integer(item.get_int64());
      case boost::json::kind::uint64:
        return append(cbor_encode_uint(item.get_uint64(), head_.data(), head_.size()));
      case boost::json::kind::double_:
        return append(cbor_encode_double(item.get_double(), head_.data(), head_.size()));
      case boost::json::kind::string:
        return write_string(item.get_string());
      case boost::json::kind::array:
        return write_array(item.get_array());
      case boost::json::kind::object:
        return write_map(item.get_object());
    }
  }
  auto take() -> std::string {
    return std::move(output_);
  }

 private:
  // Appends the first `size` bytes of `head_` to the output.
  auto append(std::size_t size) -> void {
    output_.append(reinterpret_cast<const char*>(head_.data()), size);
  }

  auto write_integer(std::int64_t number) -> void {
    if (number >= 0)
      return append(cbor_encode_uint(static_cast<std::uint64_t>(number), head_.data(), head_.size()));
    append(cbor_encode_negint(static_cast<std::uint64_t>(-(number + 1)), head_.data(), head_.size()));
  }
  auto write_string(boost::json::string_view text) -> void {
    append(cbor_encode_string_start(text.size(), head_.data(), head_.size()));
    output_.append(text.data(), text.size());
  }
  auto write_array(const array& items) -> void {
    append(cbor_encode_array_start(items.size(), head_.data(), head_.size()));
    for (const auto& item : items)
      write(item);
  }
  auto write_map(const object& fields) -> void {
    append(cbor_encode_map_start(fields.size(), head_.data(), head_.size()));
    for (const auto& field : fields) {
      write_string(field.key());
      write(field.value());
    }
  }

  std::array<unsigned char, max_head_bytes> head_{};
  std::string output_;
};

// Builds a value from the callbacks of libcbor's streaming decoder. The caller must check `error` after each callback.
class value_builder {
 public:
  // Adds a scalar item: the root value, an element of an array, or the key or the value of a map field.
  auto add(value item) -> void {
    insert(std::move(item));
  }

  // Begins an array of `size` elements or a map of `size` fields. The following items become its elements or fields.
  auto begin_container(value container, std::size_t size) -> void {
    if (open_containers_.size() >= max_depth)
      return fail("CBOR arrays and maps are nested too deeply");
    auto is_map = container.is_object();
    auto* inserted = insert(std::move(container));
    if (!inserted && error_.empty())
      return fail("a CBOR map key is an array or a map");
    if (inserted && size)
      open_containers_.push_back({inserted, size, is_map, {}, false});
  }

  // Ends the containers that have all their items. Must be called after each callback.
  auto end_complete_containers() -> void {
    while (!open_containers_.empty() && open_containers_.back().is_complete())
      open_containers_.pop_back();
  }

  auto fail(const char* message) -> void {
    error_ = message;
  }
  [[nodiscard]] auto error() const -> const std::string& {
    return error_;
  }
  [[nodiscard]] auto is_complete() const -> bool {
    return has_root_ && open_containers_.empty();
  }
  auto take() -> value {
    return std::move(root_);
  }

 private:
  // An array or a map that is not complete yet.
  struct open_container {
    value* container;
    std::size_t remaining;  // number of elements or fields to follow
    bool is_map;
    std::string key;  // key of the field whose value comes next
    bool has_key;
    [[nodiscard]] auto is_complete() const -> bool {
      return remaining == 0 && !has_key;
    }
  };

  // Adds an item and returns its address in the tree. Returns null if the item is a map key or an error occurred.
  auto insert(value item) -> value* {
    if (open_containers_.empty())
      return insert_root(std::move(item));
    auto& top = open_containers_.back();
    if (!top.is_map)
      return insert_element(top, std::move(item));
    if (top.has_key)
      return insert_field(top, std::move(item));
    set_key(top, item);
    return nullptr;
  }
  auto insert_root(value item) -> value* {
    if (has_root_) {
      fail("more than one CBOR value");
      return nullptr;
    }
    root_ = std::move(item);
    has_root_ = true;
    return &root_;
  }
  auto insert_element(open_container& top, value item) -> value* {
    --top.remaining;
    auto& elements = top.container->get_array();
    elements.push_back(std::move(item));
    return &elements.back();
  }
  auto set_key(open_container& top, const value& item) -> void {
    if (!item.is_string())
      return fail("a CBOR map key is not a string");
    top.key = std::string(item.get_string());
    top.has_key = true;
  }
  auto insert_field(open_container& top, value item) -> value* {
    top.has_key = false;
    --top.remaining;
    auto [field, inserted] = top.container->get_object().emplace(top.key, std::move(item));
    if (!inserted)
      fail("a CBOR map has a repeated key");
    return &field->value();
  }

  value root_;
  bool has_root_ = false;
  std::vector<open_container> open_containers_;  // from the outermost to the innermost
  std::string error_;
};

auto builder_of(void* context) -> value_builder& {
  return *static_cast<value_builder*>(context);
}

// Adds an unsigned number. JSON values hold it as a signed number if it is in range.
auto add_unsigned(void* context, std::uint64_t number) -> void {
  if (number <= INT64_MAX) {
    builder_of(context).add(static_cast<std::int64_t>(number));
  } else {
    builder_of(context).add(number);
  }
}

// CBOR encodes a negative number n as the unsigned number -1 - n.
auto add_negative(void* context, std::uint64_t number) -> void {
  if (number <= INT64_MAX) {
    builder_of(context).add(-1 - static_cast<std::int64_t>(number));
  } else {
    builder_of(context).fail("a negative CBOR number is below the 64-bit range");
  }
}

// Sets the callbacks for the CBOR types that `encode_cbor` produces.
auto set_value_callbacks(cbor_callbacks& callbacks) -> void {
  callbacks.uint8 = [](void* context, std::uint8_t number) {
    add_unsigned(context, number);
  };
  callbacks.uint16 = [](void* context, std::uint16_t number) {
    add_unsigned(context, number);
  };
  callbacks.uint32 = [](void* context, std::uint32_t number) {
    add_unsigned(context, number);
  };
  callbacks.uint64 = add_unsigned;
  callbacks.negint8 = [](void* context, std::uint8_t number) {
    add_negative(context, number);
  };
  callbacks.negint16 = [](void* context, std::uint16_t number) {
    add_negative(context, number);
  };
  callbacks.negint32 = [](void* context, std::uint32_t number) {
    add_negative(context, number);
  };
  callbacks.negint64 = add_negative;
  callbacks.string = [](void* context, cbor_data bytes, std::size_t size) {
    builder_of(context).add(value(boost::json::string_view(reinterpret_cast<const char*>(bytes), size)));
  };
  callbacks.array_start = [](void* context, std::size_t size) {
    builder_of(context).begin_container(array{}, size);
  };
  callbacks.map_start = [](void* context, std::size_t size) {
    builder_of(context).begin_container(object{}, size);
  };
  callbacks.null = [](void* context) {
    builder_of(context).add(nullptr);
  };
  callbacks.boolean = [](void* context, bool flag) {
    builder_of(context).add(flag);
  };
  callbacks.float8 = [](void* context, double number) {
    builder_of(context).add(number);
  };
}

// Sets the callbacks for all other CBOR types. Each of them reports an error.
auto set_error_callbacks(cbor_callbacks& callbacks) -> void {
  callbacks.byte_string = [](void* context, cbor_data, std::size_t) {
    builder_of(context).fail("a CBOR byte string is not supported");
  };
  callbacks.byte_string_start = [](void* context) {
    builder_of(context).fail("a CBOR byte string of indefinite length is not supported");
  };
  callbacks.string_start = [](void* context) {
    builder_of(context).fail("a CBOR string of indefinite length is not supported");
  };
  callbacks.indef_array_start = [](void* context) {
    builder_of(context).fail("a CBOR array of indefinite length is not supported");
  };
  callbacks.indef_map_start = [](void* context) {
    builder_of(context).fail("a CBOR map of indefinite length is not supported");
  };
  callbacks.tag = [](void* context, std::uint64_t) {
    builder_of(context).fail("a CBOR tag is not supported");
  };
  callbacks.float2 = [](void* context, float) {
    builder_of(context).fail("a 16-bit CBOR float is not supported");
  };
  callbacks.float4 = [](void* context, float) {
    builder_of(context).fail("a 32-bit CBOR float is not supported");
  };
  callbacks.undefined = [](void* context) {
    builder_of(context).fail("the CBOR value undefined is not supported");
  };
  callbacks.indef_break = [](void* context) {
    builder_of(context).fail("a CBOR break is not supported");
  };
}

auto all_callbacks() -> cbor_callbacks {
  auto callbacks = cbor_empty_callbacks;
  set_value_callbacks(callbacks);
  set_error_callbacks(callbacks);
  return callbacks;
}

}  // namespace

auto encode_cbor(const value& encoded) -> std::string {
  auto writer = cbor_writer();
  writer.write(encoded);
  return writer.take();
}

auto decode_cbor(std::string_view bytes) -> value {
  static const auto callbacks = all_callbacks();
  auto builder = value_builder();
  while (!bytes.empty()) {
    auto item = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &callbacks, &builder);
    if (item.status != CBOR_DECODER_FINISHED)
      throw decode_error("CBOR bytes are truncated or malformed");
    if (!builder.error().empty())
      throw decode_error(builder.error());
    bytes.remove_prefix(item.read);
    builder.end_complete_containers();
  }
  if (!builder.is_complete())
    throw decode_error("CBOR bytes end before the value is complete");
  return builder.take();
}

auto encode_with_checksum(const value& encoded) -> std::string {
  auto body = encode_cbor(encoded);
  auto checksum = crc_32(body);
  auto out = std::string(checksum_bytes, '\0');
  for (auto i = 0U; i < checksum_bytes; ++i)
    out[i] = static_cast<char>(checksum >> (byte_bits * i));
  return out + body;
}

auto decode_with_checksum(std::string_view bytes) -> value {
  if (bytes.size() < checksum_bytes)
    throw decode_error("stored bytes are shorter than a checksum");
  auto checksum = std::uint32_t{0};
  for (auto i = 0U; i < checksum_bytes; ++i)
    checksum |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (byte_bits * i);
  auto body = bytes.substr(checksum_bytes);
  if (crc_32(body) != checksum)
    throw decode_error("stored bytes do not match their checksum");
  return decode_cbor(body);
}

}  // namespace reachridge
