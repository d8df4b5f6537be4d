#include "workspaces/key_digest.h"

#include <openssl/sha.h>

#include <array>

namespace lycheetrestle::workspaces {

key_digest digestOf(std::string_view Key) {
  if (Key.empty())
    return {};
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Bytes{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Bytes.data());
  static constexpr char Digits[] = "0123456789abcdef";
  key_digest Digest;
  Digest.reserve(2 * Bytes.size());
  for (auto Byte : Bytes) {
    Digest += Digits[Byte >> 4];
    Digest += Digits[Byte & 15];
  }
  return Digest;
}

} // namespace lycheetrestle::workspaces
