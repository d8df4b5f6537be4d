#ifndef LYCHEETRESTLE_FLEET_CBOR_APPENDER_H
#define LYCHEETRESTLE_FLEET_CBOR_APPENDER_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace lycheetrestle::fleet {

/// Appends records to a string as CBOR, with the bytes that cbor_writer and the
/// encoder of nlohmann::json give.
///
/// A snapshot of the schedule is taken in one step of a leader. Building a JSON
/// value for it first took five times as long.
class cbor_appender {
public:
  explicit cbor_appender(std::string &Bytes) : Bytes(Bytes) {}

  template <typename... Types> void operator()(const Types &...Values) {
    (append(Values), ...);
  }
  /// Appends fields that an earlier version of the record did not have.
  template <typename... Types> void trailing(const Types &...Values) {
    (*this)(Values...);
  }
  /// Appends bytes that need not be UTF-8.
  void bytes(std::string_view Value) {
    appendHead(ByteString, Value.size());
    Bytes.append(Value);
  }
  /// Appends UTF-8 text.
  void text(std::string_view Value) {
    appendHead(Text, Value.size());
    Bytes.append(Value);
  }
  /// Appends the head of an array, to be followed by its items.
  void beginArray(std::size_t Items) { appendHead(Array, Items); }
  /// Appends the head of a map, to be followed by its keys and values.
  void beginMap(std::size_t Pairs) { appendHead(Map, Pairs); }

  template <typename Type> void append(const Type &Value) {
    if constexpr (std::is_enum_v<Type>) {
      append(static_cast<std::underlying_type_t<Type>>(Value));
    } else if constexpr (std::same_as<Type, bool>) {
      Bytes.push_back(static_cast<char>(Value ? True : False));
    } else if constexpr (std::signed_integral<Type>) {
      if (Value < 0)
        appendHead(Negative, static_cast<std::uint64_t>(-(Value + 1)));
      else
        appendHead(Unsigned, static_cast<std::uint64_t>(Value));
    } else if constexpr (std::unsigned_integral<Type>) {
      appendHead(Unsigned, Value);
    } else if constexpr (std::same_as<Type, std::string>) {
      text(Value);
    } else if constexpr (requires { Value.has_value(); }) {
      if (Value)
        append(*Value);
      else
        Bytes.push_back(static_cast<char>(Null));
    } else if constexpr (requires { Value.begin(); }) {
      beginArray(Value.size());
      for (const auto &Item : Value)
        append(Item);
    } else {
      field_counter Counter;
      fields(Counter, Value);
      beginArray(Counter.Count);
      fields(*this, Value);
    }
  }

private:
  /// Major types, in the upper three bits of the first byte.
  enum major_type : std::uint8_t {
    Unsigned = 0x00,
    Negative = 0x20,
    ByteString = 0x40,
    Text = 0x60,
    Array = 0x80,
    Map = 0xa0
  };
  enum simple_value : std::uint8_t { False = 0xf4, True = 0xf5, Null = 0xf6 };

  /// Counts the fields of a record, because the head of an array precedes them.
  struct field_counter {
    std::size_t Count = 0;
    template <typename... Types> void operator()(const Types &...) {
      Count += sizeof...(Types);
    }
    template <typename... Types> void trailing(const Types &...) {
      Count += sizeof...(Types);
    }
    void bytes(std::string_view) { ++Count; }
  };

  void appendHead(major_type Type, std::uint64_t Argument) {
    // Smaller arguments are part of the first byte; otherwise it tells the
    // length of the argument.
    constexpr std::uint64_t FirstLong = 24;
    auto First = static_cast<unsigned>(Type);
    if (Argument < FirstLong) {
      Bytes.push_back(static_cast<char>(First + Argument));
      return;
    }
    unsigned Log = Argument > 0xffffffff ? 3
                   : Argument > 0xffff   ? 2
                   : Argument > 0xff     ? 1
                                         : 0;
    Bytes.push_back(static_cast<char>(First + FirstLong + Log));
    for (int Shift = (8 << Log) - 8; Shift >= 0; Shift -= 8)
      Bytes.push_back(static_cast<char>((Argument >> Shift) & 0xff));
  }

  std::string &Bytes;
};

} // namespace lycheetrestle::fleet

#endif
