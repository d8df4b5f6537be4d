#include "placement/size_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lycheetrestle::placement {

namespace {

// Reported usage lags behind and varies, so a tenth more is reserved.
constexpr double UsageMargin = 1.1;
// Fewer jobs with reported usage are not representative of their team.
constexpr std::size_t MinSamples = 3;
// A job that is larger than estimated overcommits its worker until the next
// report, while a smaller one only leaves capacity unused; so the estimate lies
// above most jobs of the team.
constexpr double UsageQuantile = 0.8;
// Bounds of the ratio of used to declared resources.
constexpr double MinUsageRatio = 0.05;
constexpr double MaxUsageRatio = 8;

// Keeps rounding errors from adding a whole core or MB.
constexpr double RoundingTolerance = 1e-9;

// Returns the UsageQuantile of a team's usage ratios within their bounds, or 1
// when there are fewer than MinSamples. Reorders Values.
double teamUsageRatio(std::vector<double> &Values) {
  if (Values.size() < MinSamples)
    return 1;
  auto Position = Values.begin() +
                  std::ptrdiff_t(double(Values.size() - 1) * UsageQuantile);
  std::nth_element(Values.begin(), Position, Values.end());
  return std::clamp(*Position, MinUsageRatio, MaxUsageRatio);
}

std::uint64_t scaleUp(std::uint64_t Value, double Factor) {
  return std::max<std::uint64_t>(
      1, std::uint64_t(std::ceil(double(Value) * Factor - RoundingTolerance)));
}

} // namespace

bool hasReportedUsage(const fleet::job_record &Job) {
  return Job.Learned.Cores != 0 || Job.Learned.MemoryMb != 0;
}

size_estimator::size_estimator(std::span<const fleet::job_record> Jobs,
                               bool ScaleDownByTeamUsage)
    : ScaleDownByTeamUsage(ScaleDownByTeamUsage) {
  struct samples {
    std::vector<double> Cores, Memory;
  };
  std::unordered_map<std::string_view, samples> ByTeam;
  for (const auto &Job : Jobs) {
    if (!hasReportedUsage(Job))
      continue;
    auto &Team = ByTeam[Job.Team];
    if (Job.Declared.Cores != 0)
      Team.Cores.push_back(double(Job.Learned.Cores) / Job.Declared.Cores);
    if (Job.Declared.MemoryMb != 0)
      Team.Memory.push_back(double(Job.Learned.MemoryMb) /
                            double(Job.Declared.MemoryMb));
  }
  for (auto &[Name, Samples] : ByTeam)
    Ratios[Name] = {teamUsageRatio(Samples.Cores),
                    teamUsageRatio(Samples.Memory)};
}

fleet::resources size_estimator::scaledSize(const fleet::job_record &Job,
                                            team_ratio Ratio,
                                            double Margin) const {
  fleet::resources Size;
  // Accelerators are assigned whole, so they are never scaled down.
  Size.Accelerators =
      std::max(Job.Declared.Accelerators, Job.Learned.Accelerators);
  Size.Cores = std::uint32_t(Job.Learned.Cores != 0
                                 ? scaleUp(Job.Learned.Cores, Margin)
                                 : scaleUp(Job.Declared.Cores, Ratio.Cores));
  Size.MemoryMb = Job.Learned.MemoryMb != 0
                      ? scaleUp(Job.Learned.MemoryMb, Margin)
                      : scaleUp(Job.Declared.MemoryMb, Ratio.Memory);
  return Size;
}

fleet::resources size_estimator::estimate(const fleet::job_record &Job) const {
  team_ratio Ratio;
  if (auto Found = Ratios.find(Job.Team); Found != Ratios.end())
    Ratio = Found->second;
  if (!ScaleDownByTeamUsage)
    Ratio = {std::max(1.0, Ratio.Cores), std::max(1.0, Ratio.Memory)};
  return scaledSize(Job, Ratio, UsageMargin);
}

fleet::resources
size_estimator::minimumSize(const fleet::job_record &Job) const {
  team_ratio Ratio;
  if (auto Found = Ratios.find(Job.Team);
      ScaleDownByTeamUsage && Found != Ratios.end())
    Ratio = {std::min(1.0, Found->second.Cores),
             std::min(1.0, Found->second.Memory)};
  return scaledSize(Job, Ratio, 1);
}

} // namespace lycheetrestle::placement
