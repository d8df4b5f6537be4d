#include "core/checksum.h"

#include <boost/crc.hpp>

namespace lycheetrestle::core {

std::uint32_t crc32(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

std::uint64_t stableHash(std::string_view Bytes) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037ull;
  constexpr std::uint64_t Prime = 1099511628211ull;
  std::uint64_t Hash = OffsetBasis;
  for (unsigned char Byte : Bytes)
    Hash = (Hash ^ Byte) * Prime;
  return Hash;
}

} // namespace lycheetrestle::core
