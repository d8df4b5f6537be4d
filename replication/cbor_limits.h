#ifndef LYCHEETRESTLE_REPLICATION_CBOR_LIMITS_H
#define LYCHEETRESTLE_REPLICATION_CBOR_LIMITS_H

#include <cstddef>
#include <string_view>

namespace lycheetrestle::replication {

/// Validates the structure of CBOR bytes before they are decoded. nlohmann-json
/// decodes nested arrays, maps and indefinite-length strings recursively
/// without a depth limit, so a small malicious message could overflow the
/// stack.
/// \param Bytes the encoded message.
/// \param MaxDepth the deepest nesting allowed.
/// \param MaxItems the most data items allowed, which bounds memory.
/// \returns whether Bytes hold one complete item of definite length, without
/// tags, within both limits.
bool isBoundedCbor(std::string_view Bytes, std::size_t MaxDepth,
                   std::size_t MaxItems);

} // namespace lycheetrestle::replication

#endif
