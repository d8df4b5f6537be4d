#ifndef LYCHEETRESTLE_WORKSPACES_USAGE_H
#define LYCHEETRESTLE_WORKSPACES_USAGE_H

#include "workspaces/workspace.h"

#include <cstdint>

namespace lycheetrestle::workspaces {

/// Sum of the resources of runs.
struct resource_usage {
  std::uint64_t MilliCores = 0;
  std::uint64_t MemoryMb = 0;
  std::uint64_t Accelerators = 0;

  void add(const resource_usage &Other);
  /// \param Other at most this usage.
  void remove(const resource_usage &Other);
  /// \returns the usage of that many runs.
  resource_usage times(std::uint64_t Count) const;
  /// \returns whether the limit allows Size in addition to this usage.
  bool allows(const resource_usage &Size, const resource_limit &Limit) const;
  bool isZero() const { return *this == resource_usage(); }
  bool operator==(const resource_usage &) const = default;
};

} // namespace lycheetrestle::workspaces

#endif
