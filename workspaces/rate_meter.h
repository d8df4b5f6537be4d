#ifndef LYCHEETRESTLE_WORKSPACES_RATE_METER_H
#define LYCHEETRESTLE_WORKSPACES_RATE_METER_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lycheetrestle::workspaces {

/// Token buckets that tell which jobs a workspace submits above its rate.
///
/// Designed for one workspace that sends several times its usual number of jobs
/// for some seconds. A bucket holds what the rate gives in one second and four
/// standard deviations of as many arrivals, so that a workspace within its rate
/// hardly ever exceeds it by the chance of its arrivals.
class rate_meter {
public:
  /// Takes a token for a job.
  /// \param RatePerS jobs a second; 0 gives no tokens.
  /// \returns whether the job is within the rate.
  bool take(std::string_view Workspace, std::uint32_t RatePerS,
            core::time_point Now);
  /// \returns the time until take() can return true, at most a second.
  core::duration untilToken(std::string_view Workspace, std::uint32_t RatePerS,
                            core::time_point Now) const;
  /// Forgets workspaces whose buckets are full again.
  void prune(core::time_point Now);
  std::size_t size() const { return Buckets.size(); }

private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  struct bucket {
    double Tokens = 0;
    core::time_point UpdatedAt{};
  };
  static double tokensAt(const bucket &Bucket, std::uint32_t RatePerS,
                         core::time_point Now);

  std::unordered_map<std::string, bucket, text_hash, std::equal_to<>> Buckets;
};

} // namespace lycheetrestle::workspaces

#endif
