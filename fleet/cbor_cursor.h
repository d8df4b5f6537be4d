#ifndef LYCHEETRESTLE_FLEET_CBOR_CURSOR_H
#define LYCHEETRESTLE_FLEET_CBOR_CURSOR_H

#include "fleet/cbor_archive.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace lycheetrestle::fleet {

/// Reads records in place from bytes that core::isBoundedCbor() has accepted.
/// It reads the same records as basic_cbor_reader and refuses the same ones.
///
/// A leader decodes the lists of runs of a thousand endpoints; building a JSON
/// value of each list first took ten times as long. Never throws; after the
/// first value of a wrong type or range isOk() is false.
/// \tparam Limits message_limits or log_limits.
template <typename Limits> class basic_cbor_cursor {
public:
  explicit basic_cbor_cursor(std::string_view Bytes) : Bytes(Bytes) {}

  bool isOk() const { return Ok; }
  /// \returns whether all bytes were read without an error.
  bool isComplete() const { return Ok && Position == Bytes.size(); }

  /// Reads the next item.
  /// \returns whether it was read.
  template <typename Type> bool read(Type &Value) {
    if (Ok)
      readValue(Value);
    return Ok;
  }
  /// Reads a byte string.
  /// \returns whether it was read.
  bool readBytes(std::string &Value) {
    if (Ok)
      readText(ByteString, Limits::ByteStringBytes, Value);
    return Ok;
  }
  /// Reads the head of a map.
  /// \returns its number of pairs, or 0 when the item is no map.
  std::size_t beginMap() { return beginContainer(Map); }
  /// Reads the head of an array.
  /// \returns its number of items, or 0 when the item is no array.
  std::size_t beginArray() { return beginContainer(Array); }

  // The interface that fields() calls.
  template <typename... Types> void operator()(Types &...Values) {
    (readNext(Values), ...);
  }
  template <typename... Types> void trailing(Types &...Values) {
    (readTrailing(Values), ...);
  }
  void bytes(std::string &Value) {
    if (takeItem())
      readText(ByteString, Limits::ByteStringBytes, Value);
  }

private:
  /// Major types, in the upper three bits of the first byte of an item.
  enum major_type : std::uint8_t {
    Unsigned = 0,
    Negative = 1,
    ByteString = 2,
    Text = 3,
    Array = 4,
    Map = 5
  };
  enum simple_value : std::uint8_t { False = 0xf4, True = 0xf5, Null = 0xf6 };

  struct head {
    std::uint8_t Major = 0;
    std::uint64_t Argument = 0;
  };

  bool fail() {
    Ok = false;
    return false;
  }

  head readHead() {
    if (!Ok || Position >= Bytes.size()) {
      fail();
      return {};
    }
    auto First = static_cast<std::uint8_t>(Bytes[Position++]);
    head Head{static_cast<std::uint8_t>(First >> 5), First & 0x1fu};
    // Smaller arguments are part of the first byte; otherwise it tells the
    // length of the argument.
    constexpr std::uint64_t FirstLong = 24;
    constexpr std::uint64_t LastLong = 27;
    if (Head.Argument < FirstLong)
      return Head;
    std::size_t Length = std::size_t(1) << (Head.Argument - FirstLong);
    if (Head.Argument > LastLong || Bytes.size() - Position < Length) {
      fail();
      return {};
    }
    Head.Argument = 0;
    for (; Length > 0; --Length)
      Head.Argument =
          (Head.Argument << 8) | static_cast<std::uint8_t>(Bytes[Position++]);
    return Head;
  }

  std::size_t beginContainer(major_type Type) {
    auto Head = readHead();
    if (!Ok || Head.Major != Type || Head.Argument > Bytes.size()) {
      fail();
      return 0;
    }
    return static_cast<std::size_t>(Head.Argument);
  }

  void readText(major_type Type, std::size_t Limit, std::string &Value) {
    auto Head = readHead();
    if (!Ok || Head.Major != Type || Head.Argument > Limit ||
        Head.Argument > Bytes.size() - Position) {
      fail();
      return;
    }
    Value.assign(Bytes.substr(Position, Head.Argument));
    Position += Head.Argument;
  }

  template <typename Type> void readInteger(Type &Value) {
    auto Head = readHead();
    if (!Ok)
      return;
    if (Head.Major == Unsigned && std::in_range<Type>(Head.Argument)) {
      Value = static_cast<Type>(Head.Argument);
      return;
    }
    if (Head.Major == Negative && std::in_range<std::int64_t>(Head.Argument)) {
      auto Number = -1 - static_cast<std::int64_t>(Head.Argument);
      if (std::in_range<Type>(Number)) {
        Value = static_cast<Type>(Number);
        return;
      }
    }
    fail();
  }

  bool isNext(simple_value Value) const {
    return Position < Bytes.size() &&
           static_cast<std::uint8_t>(Bytes[Position]) == Value;
  }

  template <typename Type> void readValue(Type &Value) {
    if constexpr (std::same_as<Type, bool>) {
      Value = isNext(True);
      if (!Value && !isNext(False))
        fail();
      ++Position;
    } else if constexpr (std::is_enum_v<Type>) {
      std::underlying_type_t<Type> Number = 0;
      readInteger(Number);
      if (!Ok || Number > static_cast<std::underlying_type_t<Type>>(
                              LargestEnumerator<Type>))
        fail();
      else
        Value = static_cast<Type>(Number);
    } else if constexpr (std::integral<Type>) {
      readInteger(Value);
    } else if constexpr (std::same_as<Type, std::string>) {
      readText(Text, Limits::StringBytes, Value);
    } else if constexpr (requires { Value.has_value(); }) {
      Value.reset();
      if (isNext(Null))
        ++Position;
      else
        readValue(Value.emplace());
    } else if constexpr (requires { Value.begin(); }) {
      auto Count = beginArray();
      if (Count > Limits::ListItems) {
        fail();
        return;
      }
      Value.clear();
      Value.reserve(Count);
      for (; Ok && Count > 0; --Count)
        readValue(Value.emplace_back());
    } else {
      auto Outer = std::exchange(ItemsLeft, beginArray());
      if (Ok)
        fields(*this, Value);
      if (ItemsLeft != 0)
        fail();
      ItemsLeft = Outer;
    }
  }

  bool takeItem() {
    if (!Ok || ItemsLeft == 0)
      return fail();
    --ItemsLeft;
    return true;
  }

  template <typename Type> void readNext(Type &Value) {
    if (takeItem())
      readValue(Value);
  }

  template <typename Type> void readTrailing(Type &Value) {
    if (Ok && ItemsLeft > 0)
      readNext(Value);
  }

  std::string_view Bytes;
  std::size_t Position = 0;
  std::size_t ItemsLeft = 0; ///< Of the record that is being read.
  bool Ok = true;
};

using cbor_cursor = basic_cbor_cursor<message_limits>;

} // namespace lycheetrestle::fleet

#endif
