#include "replication/cbor_limits.h"

#include <cstdint>
#include <vector>

namespace lycheetrestle::replication {

bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth,
                   std::size_t MaxItems) {
  // Items still expected at each level; the outermost level expects one.
  std::vector<std::uint64_t> Expected{1};
  std::size_t Items = 0;
  std::size_t At = 0;
  while (!Expected.empty()) {
    if (Expected.back() == 0) {
      Expected.pop_back();
      continue;
    }
    --Expected.back();
    if (At >= Bytes.size() || ++Items > MaxItems)
      return false;
    const auto Head = static_cast<std::uint8_t>(Bytes[At++]);
    const unsigned Major = Head >> 5u;
    const unsigned Info = Head & 31u;
    if (Info > 27)
      return false; // reserved values and indefinite lengths
    std::uint64_t Argument = Info;
    if (Info >= 24) {
      const std::size_t Width = std::size_t{1} << (Info - 24);
      if (Bytes.size() - At < Width)
        return false;
      Argument = 0;
      for (std::size_t I = 0; I < Width; ++I)
        Argument = (Argument << 8u) | static_cast<std::uint8_t>(Bytes[At + I]);
      At += Width;
    }
    if (Major == 2 || Major == 3) {
      if (Argument > Bytes.size() - At)
        return false;
      At += Argument;
    } else if (Major == 4 || Major == 5) {
      if (Expected.size() > MaxDepth || Argument > MaxItems)
        return false;
      Expected.push_back(Major == 5 ? 2 * Argument : Argument);
    } else if (Major == 6) {
      return false;
    }
  }
  return At == Bytes.size();
}

} // namespace lycheetrestle::replication
