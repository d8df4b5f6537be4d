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

/// Longest string and list that a reader of messages accepts.
constexpr std::size_t MaxStringBytes = 4096;
constexpr std::size_t MaxListItems = 20'000;
/// Longest byte string that a reader of messages accepts. It exceeds the limit
/// of a stored response body, because the state machine drops larger bodies
/// itself.
constexpr std::size_t MaxByteStringBytes = 1u << 20;

/// Deepest nesting of log entries and snapshots; they use about half of it.
constexpr std::size_t MaxRecordDepth = 16;

/// Limits of a reader of messages from other processes.
struct message_limits {
  static constexpr std::size_t StringBytes = MaxStringBytes;
  static constexpr std::size_t ListItems = MaxListItems;
  static constexpr std::size_t ByteStringBytes = MaxByteStringBytes;
};

/// Limits of a reader of the replicated log and of snapshots: none. What one
/// replica has accepted and applied must be readable by every other one, or
/// each of them stops when it replays the entry. Limits apply where a value
/// enters the system.
struct log_limits {
  static constexpr std::size_t StringBytes =
      std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t ListItems = StringBytes;
  static constexpr std::size_t ByteStringBytes = StringBytes;
};

/// Last enumerator of an enumeration; readers refuse larger values.
template <typename Type> inline constexpr Type LargestEnumerator{};

/// Writes the fields of a record to a JSON array, which is encoded as CBOR.
/// Writer and reader both call `fields(Archive, Record)`, so that order and
/// types are defined once.
class cbor_writer {
public:
  template <typename... Types> void operator()(const Types &...Values) {
    (Items.push_back(toJson(Values)), ...);
  }
  /// Writes fields that an earlier version of the record did not have.
  template <typename... Types> void trailing(const Types &...Values) {
    (*this)(Values...);
  }
  /// Writes bytes that need not be UTF-8.
  void bytes(const std::string &Value) {
    Items.push_back(nlohmann::json::binary(
        std::vector<std::uint8_t>(Value.begin(), Value.end())));
  }
  nlohmann::json take() { return std::move(Items); }

  template <typename Type> static nlohmann::json toJson(const Type &Value) {
    if constexpr (std::is_enum_v<Type>) {
      return static_cast<std::underlying_type_t<Type>>(Value);
    } else if constexpr (std::is_arithmetic_v<Type> ||
                         std::same_as<Type, std::string>) {
      return Value;
    } else if constexpr (requires { Value.has_value(); }) {
      return Value ? toJson(*Value) : nlohmann::json();
    } else if constexpr (requires { Value.begin(); }) {
      auto List = nlohmann::json::array();
      for (const auto &Item : Value)
        List.push_back(toJson(Item));
      return List;
    } else {
      cbor_writer Nested;
      fields(Nested, Value);
      return Nested.take();
    }
  }

private:
  nlohmann::json Items = nlohmann::json::array();
};

/// Reads what cbor_writer wrote. It never throws; from the first value of a
/// wrong type or range on, all values keep their defaults and complete() is
/// false.
/// \tparam Limits message_limits or log_limits.
template <typename Limits> class basic_cbor_reader {
public:
  explicit basic_cbor_reader(const nlohmann::json &Value)
      : Items(Value), Ok(Value.is_array()) {}

  template <typename... Types> void operator()(Types &...Values) {
    (readNext(Values), ...);
  }
  /// Reads fields that an earlier version of the record did not have: they
  /// keep their defaults when the record ends before them. Must be the last
  /// fields of their record.
  template <typename... Types> void trailing(Types &...Values) {
    (readTrailing(Values), ...);
  }
  void bytes(std::string &Value) {
    const auto *Item = next();
    if (!Item)
      return;
    if (!Item->is_binary() ||
        Item->get_binary().size() > Limits::ByteStringBytes) {
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
          Item.get_ref<const std::string &>().size() > Limits::StringBytes)
        return false;
      Value = Item.get_ref<const std::string &>();
      return true;
    } else if constexpr (requires { Value.has_value(); }) {
      Value.reset();
      return Item.is_null() || fromJson(Item, Value.emplace());
    } else if constexpr (requires { Value.begin(); }) {
      if (!Item.is_array() || Item.size() > Limits::ListItems)
        return false;
      Value.clear();
      Value.reserve(Item.size());
      for (const auto &Element : Item)
        if (!fromJson(Element, Value.emplace_back()))
          return false;
      return true;
    } else {
      basic_cbor_reader Nested(Item);
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

  template <typename Type> void readTrailing(Type &Value) {
    if (Ok && Position < Items.size())
      readNext(Value);
  }

  const nlohmann::json &Items;
  std::size_t Position = 0;
  bool Ok;
};

using cbor_reader = basic_cbor_reader<message_limits>;
using log_reader = basic_cbor_reader<log_limits>;

} // namespace lycheetrestle::fleet

#endif
