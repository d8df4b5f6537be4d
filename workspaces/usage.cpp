#include "workspaces/usage.h"

namespace lycheetrestle::workspaces {

namespace {

bool isWithin(std::uint64_t Used, std::uint64_t Size, std::uint32_t Limit) {
  // What asks for none of a resource does not wait for it.
  return Limit == 0 || Size == 0 || Used + Size <= Limit;
}

} // namespace

void resource_usage::add(const resource_usage &Other) {
  MilliCores += Other.MilliCores;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
}

void resource_usage::remove(const resource_usage &Other) {
  MilliCores -= Other.MilliCores;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
}

resource_usage resource_usage::times(std::uint64_t Count) const {
  return {MilliCores * Count, MemoryMb * Count, Accelerators * Count};
}

bool resource_usage::allows(const resource_usage &Size,
                            const resource_limit &Limit) const {
  return isWithin(MilliCores, Size.MilliCores, Limit.MilliCores) &&
         isWithin(MemoryMb, Size.MemoryMb, Limit.MemoryMb) &&
         isWithin(Accelerators, Size.Accelerators, Limit.Accelerators);
}

} // namespace lycheetrestle::workspaces
