#ifndef LYCHEETRESTLE_FLEET_CBOR_ARCHIVE_H
#define LYCHEETRESTLE_FLEET_CBOR_ARCHIVE_H

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace lycheetrestle::fleet {

/// Longest string and list that a reader accepts.
constexpr std::size_t MaxStringBytes = 4096;
constexpr std::size_t MaxListItems = 20'000;
/// Longest byte string that a reader accepts: a document of the largest size
/// that an operator may send. It exceeds the limit of a stored response body,
/// because the state machine drops larger bodies itself.
constexpr std::size_t MaxByteStringBytes = 4u << 20;

/// Last enumerator of an enumeration; readers refuse larger values.
template <typename Type> inline constexpr Type LargestEnumerator{};

/// Writes the fields of a record to a JSON array, which is encoded as CBOR.
/// Writer and reader both call `fields(Archive, Record)`, so that order and
/// types are defined once.
class cbor_writer {
public:
  template <typename... Types> void operator()(const Types &...Values) {
    (Items.push_back(write(Values)), ...);
  }
  /// Writes bytes that need not be UTF-8.
  void bytes(const std::string &Value) {
    Fits &= Value.size() <= MaxByteStringBytes;
    Items.push_back(nlohmann::json::binary(
        std::vector<std::uint8_t>(Value.begin(), Value.end())));
  }
  nlohmann::json take() { return std::move(Items); }

  /// \returns the record, also when no reader accepts it.
  template <typename Type> static nlohmann::json toJson(const Type &Value) {
    return cbor_writer().write(Value);
  }
  /// \returns the record, or nothing when a reader would refuse it because of
  /// the length of a string or list.
  template <typename Type>
  static std::optional<nlohmann::json> toReadableJson(const Type &Value) {
    cbor_writer Writer;
    auto Json = Writer.write(Value);
    return Writer.Fits ? std::optional(std::move(Json)) : std::nullopt;
  }

private:
  template <typename Type> nlohmann::json write(const Type &Value) {
    if constexpr (std::is_enum_v<Type>) {
      return static_cast<std::underlying_type_t<Type>>(Value);
    } else if constexpr (std::same_as<Type, std::string>) {
      Fits &= Value.size() <= MaxStringBytes;
      return Value;
    } else if constexpr (std::is_arithmetic_v<Type>) {
      return Value;
    } else if constexpr (requires { Value.has_value(); }) {
      return Value ? write(*Value) : nlohmann::json();
    } else if constexpr (requires { Value.begin(); }) {
      Fits &= Value.size() <= MaxListItems;
      auto List = nlohmann::json::array();
      for (const auto &Item : Value)
        List.push_back(write(Item));
      return List;
    } else {
      cbor_writer Nested;
      fields(Nested, Value);
      Fits &= Nested.Fits;
      return Nested.take();
    }
  }

  bool Fits = true; ///< No length exceeds what a reader accepts.
  nlohmann::json Items = nlohmann::json::array();
};

/// Reads what cbor_writer wrote. It never throws; from the first value of a
/// wrong type or range on, all values keep their defaults and complete() is
/// false.
class cbor_reader {
public:
  explicit cbor_reader(const nlohmann::json &Value)
      : Items(Value), Ok(Value.is_array()) {}

  template <typename... Types> void operator()(Types &...Values) {
    (readNext(Values), ...);
  }
  void bytes(std::string &Value) {
    const auto *Item = next();
    if (!Item)
      return;
    if (!Item->is_binary() || Item->get_binary().size() > MaxByteStringBytes) {
      Ok = false;
      return;
    }
    Value.assign(Item->get_binary().begin(), Item->get_binary().end());
  }
  /// \returns whether every value was read and none is left over.
  bool complete() const { return Ok && Position == Items.size(); }

  /// \returns whether the value was read.
  template <typename Type>
  static bool fromJson(const nlohmann::json &Item, Type &Value) {
    if constexpr (std::same_as<Type, bool>) {
      if (!Item.is_boolean())
        return false;
      Value = Item.get<bool>();
      return true;
    } else if constexpr (std::is_enum_v<Type>) {
      std::underlying_type_t<Type> Number = 0;
      if (!fromJson(Item, Number) ||
          Number > static_cast<std::underlying_type_t<Type>>(
                       LargestEnumerator<Type>))
        return false;
      Value = static_cast<Type>(Number);
      return true;
    } else if constexpr (std::integral<Type>) {
      return readInteger(Item, Value);
    } else if constexpr (std::same_as<Type, std::string>) {
      if (!Item.is_string() ||
          Item.get_ref<const std::string &>().size() > MaxStringBytes)
        return false;
      Value = Item.get_ref<const std::string &>();
      return true;
    } else if constexpr (requires { Value.has_value(); }) {
      Value.reset();
      return Item.is_null() || fromJson(Item, Value.emplace());
    } else if constexpr (requires { Value.begin(); }) {
      if (!Item.is_array() || Item.size() > MaxListItems)
        return false;
      Value.clear();
      Value.reserve(Item.size());
      for (const auto &Element : Item)
        if (!fromJson(Element, Value.emplace_back()))
          return false;
      return true;
    } else {
      cbor_reader Nested(Item);
      fields(Nested, Value);
      return Nested.complete();
    }
  }

private:
  template <typename Type>
  static bool readInteger(const nlohmann::json &Item, Type &Value) {
    if (Item.is_number_unsigned()) {
      auto Number = Item.get<std::uint64_t>();
      if (!std::in_range<Type>(Number))
        return false;
      Value = static_cast<Type>(Number);
      return true;
    }
    if (!Item.is_number_integer())
      return false;
    auto Number = Item.get<std::int64_t>();
    if (!std::in_range<Type>(Number))
      return false;
    Value = static_cast<Type>(Number);
    return true;
  }

  const nlohmann::json *next() {
    if (!Ok || Position >= Items.size()) {
      Ok = false;
      return nullptr;
    }
    return &Items[Position++];
  }

  template <typename Type> void readNext(Type &Value) {
    const auto *Item = next();
    if (Item && !fromJson(*Item, Value))
      Ok = false;
  }

  const nlohmann::json &Items;
  std::size_t Position = 0;
  bool Ok;
};

} // namespace lycheetrestle::fleet

#endif
