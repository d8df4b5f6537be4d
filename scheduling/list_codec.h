#ifndef LYCHEETRESTLE_SCHEDULING_LIST_CODEC_H
#define LYCHEETRESTLE_SCHEDULING_LIST_CODEC_H

#include "fleet/cbor_appender.h"
#include "fleet/cbor_archive.h"

#include <concepts>
#include <span>
#include <string>
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

/// \param FromRecord converts a record into an optional item.
/// \returns whether all items were read.
template <typename Record, typename Item, typename Converter>
bool decodeList(const nlohmann::json &List, std::vector<Item> &Items,
                Converter &&FromRecord) {
  if (!List.is_array() || List.size() > fleet::MaxListItems)
    return false;
  Items.reserve(List.size());
  for (const auto &Each : List) {
    Record Value;
    if (!fleet::cbor_reader::fromJson(Each, Value))
      return false;
    auto Decoded = FromRecord(std::move(Value));
    if (!Decoded)
      return false;
    Items.push_back(std::move(*Decoded));
  }
  return true;
}

} // namespace lycheetrestle::scheduling

#endif
