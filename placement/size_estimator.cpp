#include "placement/size_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lycheetrestle::placement {

namespace {

// Usage lags and varies, so a learnt size is reserved with a tenth more.
constexpr double LearntMargin = 1.1;
// Fewer jobs say too little about a team.
constexpr std::size_t JobsToLearnFrom = 3;
// A job that is larger than estimated overcommits its worker until the next
// report, a smaller one only wastes room; so the estimate is above most jobs.
constexpr double Quantile = 0.8;
constexpr double LowestRatio = 0.05;
constexpr double HighestRatio = 8;

double quantileOf(std::vector<double> &Values) {
  if (Values.size() < JobsToLearnFrom)
    return 1;
  auto Middle =
      Values.begin() + std::ptrdiff_t(double(Values.size() - 1) * Quantile);
  std::nth_element(Values.begin(), Middle, Values.end());
  return std::clamp(*Middle, LowestRatio, HighestRatio);
}

std::uint64_t scaled(std::uint64_t Value, double Factor) {
  return std::max<std::uint64_t>(
      1, std::uint64_t(std::ceil(double(Value) * Factor - 1e-9)));
}

} // namespace

bool hasLearnt(const fleet::job_record &Job) {
  return Job.Learned.Cores != 0 || Job.Learned.MemoryMb != 0;
}

size_estimator::size_estimator(std::span<const fleet::job_record> Jobs,
                               bool ScaleUnlearnt)
    : ScaleUnlearnt(ScaleUnlearnt) {
  struct samples {
    std::vector<double> Cores, Memory;
  };
  std::unordered_map<std::string_view, samples> ByTeam;
  for (const auto &Job : Jobs) {
    if (!hasLearnt(Job))
      continue;
    auto &Team = ByTeam[Job.Team];
    if (Job.Declared.Cores != 0)
      Team.Cores.push_back(double(Job.Learned.Cores) / Job.Declared.Cores);
    if (Job.Declared.MemoryMb != 0)
      Team.Memory.push_back(double(Job.Learned.MemoryMb) /
                            double(Job.Declared.MemoryMb));
  }
  for (auto &[Name, Samples] : ByTeam)
    Ratios[Name] = {quantileOf(Samples.Cores), quantileOf(Samples.Memory)};
}

fleet::resources size_estimator::sized(const fleet::job_record &Job,
                                       team_ratio Ratio, double Margin) const {
  fleet::resources Size;
  // Accelerators are handed out whole, so nothing can be saved on them.
  Size.Accelerators =
      std::max(Job.Declared.Accelerators, Job.Learned.Accelerators);
  Size.Cores = std::uint32_t(Job.Learned.Cores != 0
                                 ? scaled(Job.Learned.Cores, Margin)
                                 : scaled(Job.Declared.Cores, Ratio.Cores));
  Size.MemoryMb = Job.Learned.MemoryMb != 0
                      ? scaled(Job.Learned.MemoryMb, Margin)
                      : scaled(Job.Declared.MemoryMb, Ratio.Memory);
  return Size;
}

fleet::resources size_estimator::estimate(const fleet::job_record &Job) const {
  team_ratio Ratio;
  if (auto Found = Ratios.find(Job.Team); Found != Ratios.end())
    Ratio = Found->second;
  if (!ScaleUnlearnt)
    Ratio = {std::max(1.0, Ratio.Cores), std::max(1.0, Ratio.Memory)};
  return sized(Job, Ratio, LearntMargin);
}

fleet::resources size_estimator::smallest(const fleet::job_record &Job) const {
  team_ratio Ratio;
  if (auto Found = Ratios.find(Job.Team);
      ScaleUnlearnt && Found != Ratios.end())
    Ratio = {std::min(1.0, Found->second.Cores),
             std::min(1.0, Found->second.Memory)};
  return sized(Job, Ratio, 1);
}

} // namespace lycheetrestle::placement
