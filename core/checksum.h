#ifndef LYCHEETRESTLE_CORE_CHECKSUM_H
#define LYCHEETRESTLE_CORE_CHECKSUM_H

#include <cstdint>
#include <string_view>

namespace lycheetrestle::core {

/// \param Bytes the bytes to check.
/// \returns their CRC-32.
std::uint32_t crc32(std::string_view Bytes);

/// \param Bytes the bytes to hash.
/// \returns a 64-bit FNV-1a hash that is the same in every process and build,
/// unlike std::hash.
std::uint64_t stableHash(std::string_view Bytes);

} // namespace lycheetrestle::core

#endif
