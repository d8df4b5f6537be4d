#ifndef LYCHEETRESTLE_CORE_CBOR_LIMITS_H
#define LYCHEETRESTLE_CORE_CBOR_LIMITS_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace lycheetrestle::core {

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

/// Like isBoundedCbor(), but for an item that more bytes may follow.
/// \returns the size of the first item in bytes, or nothing when it is
/// malformed or exceeds a limit.
std::optional<std::size_t>
measureCbor(std::string_view Bytes, std::size_t MaxDepth, std::size_t MaxItems);

/// Decodes CBOR after isBoundedCbor() has accepted it. Never throws.
/// \returns the value, or nothing when the bytes are malformed or exceed a
/// limit.
std::optional<nlohmann::json>
parseCbor(std::string_view Bytes, std::size_t MaxDepth, std::size_t MaxItems);

} // namespace lycheetrestle::core

#endif
