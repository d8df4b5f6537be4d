#ifndef LYCHEETRESTLE_FLEET_FLAT_WRITER_H
#define LYCHEETRESTLE_FLEET_FLAT_WRITER_H

#include <concepts>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

namespace lycheetrestle::fleet {

/// Concatenates the fields of a record, for hashing only. It builds no
/// document, which makes it several times faster than cbor_writer on a
/// declaration of 10,000 hosts.
class flat_writer {
public:
  template <typename... Types> void operator()(const Types &...Values) {
    (put(Values), ...);
  }
  void bytes(const std::string &Value) { put(Value); }
  std::string take() { return std::move(Bytes); }

private:
  template <typename Type> void put(const Type &Value) {
    if constexpr (std::is_enum_v<Type>) {
      put(static_cast<std::underlying_type_t<Type>>(Value));
    } else if constexpr (std::integral<Type>) {
      // Little-endian on every machine.
      auto Number = static_cast<std::uint64_t>(Value);
      for (std::size_t Byte = 0; Byte < sizeof(Type); ++Byte)
        Bytes.push_back(static_cast<char>(Number >> (8 * Byte)));
    } else if constexpr (std::same_as<Type, std::string>) {
      put(static_cast<std::uint32_t>(Value.size()));
      Bytes += Value;
    } else if constexpr (requires { Value.has_value(); }) {
      put(Value.has_value());
      if (Value)
        put(*Value);
    } else if constexpr (requires { Value.begin(); }) {
      put(static_cast<std::uint32_t>(Value.size()));
      for (const auto &Item : Value)
        put(Item);
    } else {
      fields(*this, Value);
    }
  }

  std::string Bytes;
};

} // namespace lycheetrestle::fleet

#endif
