#include "routing/service_owner.h"

#include "core/checksum.h"

#include <cstdint>

namespace lycheetrestle::routing {

namespace {

// The last bytes of the input barely reach the high bits of FNV-1a, so names
// that differ only in their last digit would rank alike for every service. This
// is the finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t Hash) {
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdull;
  Hash ^= Hash >> 33;
  Hash *= 0xc4ceb9fe1a85ec53ull;
  Hash ^= Hash >> 33;
  return Hash;
}

} // namespace

std::string serviceOwner(std::string_view Service,
                         const std::set<std::string> &LiveEntries) {
  std::string Owner;
  std::uint64_t Best = 0;
  for (const auto &Entry : LiveEntries) {
    auto Weight = mix(core::stableHash(std::string(Service) + "\n" + Entry));
    if (!Owner.empty() && Weight <= Best)
      continue;
    Owner = Entry;
    Best = Weight;
  }
  return Owner;
}

} // namespace lycheetrestle::routing
