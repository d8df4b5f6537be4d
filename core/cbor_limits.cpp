#include "core/cbor_limits.h"

#include <cstdint>
#include <vector>

namespace lycheetrestle::core {

namespace {

// Major types of RFC 8949; integers (0 and 1) and simple values (7) have no
// contents to skip.
constexpr unsigned ByteString = 2;
constexpr unsigned TextString = 3;
constexpr unsigned Array = 4;
constexpr unsigned Map = 5;
constexpr unsigned Tag = 6;
// Additional information from this value on states that an argument of 1, 2, 4
// or 8 bytes follows.
constexpr unsigned FirstWideInfo = 24;
// Larger values are reserved or start an indefinite length.
constexpr unsigned MaxDefiniteInfo = 27;

} // namespace

std::optional<std::size_t> measureCbor(std::string_view Bytes,
                                       std::size_t MaxDepth,
                                       std::size_t MaxItems) {
  // Number of items still expected at each nesting level.
  std::vector<std::uint64_t> Expected{1};
  std::size_t Items = 0;
  std::size_t Position = 0;
  while (!Expected.empty()) {
    if (Expected.back() == 0) {
      Expected.pop_back();
      continue;
    }
    --Expected.back();
    if (Position >= Bytes.size() || ++Items > MaxItems)
      return std::nullopt;
    const auto Head = static_cast<std::uint8_t>(Bytes[Position++]);
    const unsigned Major = Head >> 5u;
    const unsigned Info = Head & 31u;
    if (Info > MaxDefiniteInfo)
      return std::nullopt;
    std::uint64_t Argument = Info;
    if (Info >= FirstWideInfo) {
      const std::size_t Width = std::size_t{1} << (Info - FirstWideInfo);
      if (Bytes.size() - Position < Width)
        return std::nullopt;
      Argument = 0;
      for (std::size_t I = 0; I < Width; ++I)
        Argument =
            (Argument << 8u) | static_cast<std::uint8_t>(Bytes[Position + I]);
      Position += Width;
    }
    if (Major == ByteString || Major == TextString) {
      if (Argument > Bytes.size() - Position)
        return std::nullopt;
      Position += Argument;
    } else if (Major == Array || Major == Map) {
      if (Expected.size() > MaxDepth || Argument > MaxItems)
        return std::nullopt;
      Expected.push_back(Major == Map ? 2 * Argument : Argument);
    } else if (Major == Tag) {
      return std::nullopt;
    }
  }
  return Position;
}

bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth,
                   std::size_t MaxItems) {
  return measureCbor(Bytes, MaxDepth, MaxItems) == Bytes.size();
}

std::optional<nlohmann::json>
parseCbor(std::string_view Bytes, std::size_t MaxDepth, std::size_t MaxItems) {
  if (!isBoundedCbor(Bytes, MaxDepth, MaxItems))
    return std::nullopt;
  auto Value = nlohmann::json::from_cbor(Bytes, true, false);
  if (Value.is_discarded())
    return std::nullopt;
  return Value;
}

} // namespace lycheetrestle::core
