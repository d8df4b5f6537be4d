#ifndef LYCHEETRESTLE_WORKSPACES_KEY_DIGEST_H
#define LYCHEETRESTLE_WORKSPACES_KEY_DIGEST_H

#include <string>
#include <string_view>

namespace lycheetrestle::workspaces {

/// SHA-256 of a key as 64 lower-case hexadecimal digits; empty stands for no
/// key. Processes exchange and compare digests, so that a key is in no message,
/// log line or metric, and the time of a lookup tells nothing about keys.
using key_digest = std::string;

/// \param Key as the caller sent it.
/// \returns its digest; that of an empty key is empty.
key_digest digestOf(std::string_view Key);

} // namespace lycheetrestle::workspaces

#endif
