#ifndef LYCHEETRESTLE_WORKSPACES_WORKSPACE_H
#define LYCHEETRESTLE_WORKSPACES_WORKSPACE_H

#include "workspaces/key_digest.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheetrestle::workspaces {

/// What a workspace may have running on all endpoints together; 0 means no
/// limit of that resource.
struct resource_limit {
  std::uint32_t MilliCores = 0; ///< Thousandths of a core.
  std::uint32_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
  /// \returns whether no resource is limited.
  bool isUnlimited() const {
    return MilliCores == 0 && MemoryMb == 0 && Accelerators == 0;
  }
  bool operator==(const resource_limit &) const = default;
};

/// A customer of the deployment, whose callers authenticate with its keys.
struct workspace_spec {
  std::string Name;
  std::vector<key_digest> Keys;
  std::uint32_t Priority = 0; ///< 0 is the highest priority.
  /// Share of a full pool relative to the other workspaces, and the rate in
  /// jobs a second above which jobs rank last.
  std::uint32_t Weight = 1;
  resource_limit Limit;
  bool operator==(const workspace_spec &) const = default;
};

inline constexpr std::size_t MaxWorkspaces = 10'000;
/// Keys of all workspaces of a configuration.
inline constexpr std::size_t MaxKeys = 200'000;
inline constexpr std::size_t MaxKeyBytes = 256;

} // namespace lycheetrestle::workspaces

#endif
