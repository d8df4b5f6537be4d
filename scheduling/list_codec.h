#ifndef LYCHEETRESTLE_SCHEDULING_LIST_CODEC_H
#define LYCHEETRESTLE_SCHEDULING_LIST_CODEC_H

#include "core/cbor_limits.h"
#include "fleet/cbor_appender.h"
#include "fleet/cbor_cursor.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

// Messages between schedulers: a CBOR map from one name to a list of records.

/// \param Name tells the kind of the message.
/// \param ToRecord converts an item into a type with fields().
template <typename Item, typename Converter>
std::string encodeList(const std::string &Name, std::span<const Item> Items,
                       Converter &&ToRecord) {
  std::string Bytes;
  fleet::cbor_appender Appender(Bytes);
  Appender.beginMap(1);
  Appender.append(Name);
  Appender.beginArray(Items.size());
  for (const auto &Each : Items)
    Appender.append(ToRecord(Each));
  return Bytes;
}

/// Reads a message of encodeList() item by item.
class list_reader {
public:
  /// \param MaxDepth the deepest nesting allowed.
  /// \param MaxItems the most data items allowed, which bounds memory.
  list_reader(std::string_view Bytes, std::size_t MaxDepth,
              std::size_t MaxItems)
      : Cursor(Bytes) {
    IsValid = core::isBoundedCbor(Bytes, MaxDepth, MaxItems) &&
              Cursor.beginMap() == 1 && Cursor.read(Name);
    if (IsValid)
      Count = Cursor.beginArray();
    IsValid &= Cursor.isOk() && Count <= fleet::MaxListItems;
  }

  /// \returns whether the bytes are a message with this name.
  bool hasName(std::string_view Wanted) const {
    return IsValid && Name == Wanted;
  }

  /// \param FromRecord converts a record into an optional item.
  /// \returns all items, or nothing when one of them cannot be read.
  template <typename Item, typename Record, typename Converter>
  std::optional<std::vector<Item>> readItems(Converter &&FromRecord) {
    std::vector<Item> Items;
    Items.reserve(Count);
    for (; Count > 0; --Count) {
      Record Value;
      if (!Cursor.read(Value))
        return std::nullopt;
      auto Decoded = FromRecord(std::move(Value));
      if (!Decoded)
        return std::nullopt;
      Items.push_back(std::move(*Decoded));
    }
    if (!Cursor.isComplete())
      return std::nullopt;
    return Items;
  }

private:
  fleet::cbor_cursor Cursor;
  std::string Name;
  std::size_t Count = 0;
  bool IsValid = false;
};

} // namespace lycheetrestle::scheduling

#endif
