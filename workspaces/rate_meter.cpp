#include "workspaces/rate_meter.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::workspaces {

namespace {

using seconds = std::chrono::duration<double>;

// A bucket holds what the rate gives in this time, and this many standard
// deviations of the number of independent arrivals in it. Without them, small
// workspaces within their rates had many jobs above it by chance.
constexpr double BurstS = 1.0;
constexpr double Deviations = 4.0;
// Time in which a bucket fills: the longest one has a rate of 1.
constexpr double FullS = BurstS + Deviations;
// A rate of 0 has no next token.
constexpr double MaxWaitS = 1.0;

double capacityOf(std::uint32_t RatePerS) {
  double Expected = RatePerS * BurstS;
  return Expected + Deviations * std::sqrt(Expected);
}

} // namespace

double rate_meter::tokensAt(const bucket &Bucket, std::uint32_t RatePerS,
                            core::time_point Now) {
  double ElapsedS = std::max(0.0, seconds(Now - Bucket.UpdatedAt).count());
  return std::min(capacityOf(RatePerS), Bucket.Tokens + ElapsedS * RatePerS);
}

bool rate_meter::take(std::string_view Workspace, std::uint32_t RatePerS,
                      core::time_point Now) {
  auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    Found =
        Buckets
            .emplace(std::string(Workspace), bucket{capacityOf(RatePerS), Now})
            .first;
  auto &Bucket = Found->second;
  Bucket.Tokens = tokensAt(Bucket, RatePerS, Now);
  Bucket.UpdatedAt = Now;
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

core::duration rate_meter::untilToken(std::string_view Workspace,
                                      std::uint32_t RatePerS,
                                      core::time_point Now) const {
  auto Found = Buckets.find(Workspace);
  double Tokens = Found == Buckets.end()
                      ? capacityOf(RatePerS)
                      : tokensAt(Found->second, RatePerS, Now);
  if (Tokens >= 1)
    return {};
  double WaitS = RatePerS == 0 ? MaxWaitS : (1 - Tokens) / RatePerS;
  return std::chrono::duration_cast<core::duration>(
      seconds(std::min(WaitS, MaxWaitS)));
}

void rate_meter::prune(core::time_point Now) {
  std::erase_if(Buckets, [Now](const auto &Item) {
    return seconds(Now - Item.second.UpdatedAt).count() >= FullS;
  });
}

} // namespace lycheetrestle::workspaces
