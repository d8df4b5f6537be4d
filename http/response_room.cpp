#include "http/response_room.h"

namespace lycheetrestle::http {

namespace {

constexpr std::size_t SmallResponseBytes = 16'384;

} // namespace

bool response_room::fits(std::size_t Size) const {
  return Size <= SmallResponseBytes || Held + Size <= Bytes;
}

std::shared_ptr<void> response_room::hold(std::size_t Size) {
  if (Size <= SmallResponseBytes)
    return nullptr;
  Held += Size;
  return {static_cast<void *>(nullptr), [this, Size](void *) { Held -= Size; }};
}

} // namespace lycheetrestle::http
